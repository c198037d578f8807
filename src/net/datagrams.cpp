#include "net/datagrams.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace heathturn {
namespace {

constexpr std::size_t most_datagram = 65535;
constexpr int most_in_a_row = 64;  // of one socket, before the others have their turn

int new_socket() { return ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

}  // namespace

Datagrams::Datagrams(event_base* base, LogSink log)
    : base_(base), log_(std::move(log)), buffer_(most_datagram, '\0') {}

Datagrams::~Datagrams() {
  for (const auto handle : table_.handles()) close(handle);
}

Handle Datagrams::adopt(int descriptor, DatagramUser& user, bool connected) {
  const auto handle = table_.add({descriptor, nullptr, &user, connected});
  auto& hook = hooks_[handle];
  hook = std::make_unique<Hook>(Hook{this, handle});
  event* ready = event_new(
      base_, descriptor, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* context) {
        const auto [owner, socket] = *static_cast<Hook*>(context);
        owner->receive(socket);
      },
      hook.get());
  table_.find(handle)->ready = ready;
  event_add(ready, nullptr);
  return handle;
}

Handle Datagrams::bind(const Address& at, DatagramUser& user) {
  const int descriptor = new_socket();
  const auto address = at.to_sockaddr();
  if (descriptor < 0 ||
      ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    const std::string why = std::strerror(errno);
    if (descriptor >= 0) ::close(descriptor);
    throw std::runtime_error("cannot take datagrams on " + at.text() + ": " + why);
  }
  return adopt(descriptor, user, false);
}

Address Datagrams::address(Handle handle) {
  sockaddr_in bound{};
  socklen_t length = sizeof bound;
  getsockname(table_.find(handle)->descriptor, reinterpret_cast<sockaddr*>(&bound), &length);
  return Address::from(bound);
}

Handle Datagrams::connect(const Address& to, DatagramUser& user) {
  const int descriptor = new_socket();
  const auto address = to.to_sockaddr();
  if (descriptor < 0 ||
      ::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    log_(LogLevel::warn, "no_socket", {{"to", to.text()}, {"error", std::strerror(errno)}});
    if (descriptor >= 0) ::close(descriptor);
    return no_handle;
  }
  return adopt(descriptor, user, true);
}

bool Datagrams::send(Handle handle, const std::string& bytes) {
  const auto* socket = table_.find(handle);
  return socket != nullptr && ::send(socket->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) >= 0;
}

bool Datagrams::send_to(Handle handle, const Address& to, const std::string& bytes) {
  const auto* socket = table_.find(handle);
  const auto address = to.to_sockaddr();
  return socket != nullptr && ::sendto(socket->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL,
                                       reinterpret_cast<const sockaddr*>(&address), sizeof address) >= 0;
}

void Datagrams::close(Handle handle) {
  auto* socket = table_.find(handle);
  if (socket == nullptr) return;
  event_free(socket->ready);
  ::close(socket->descriptor);
  hooks_.erase(handle);
  table_.erase(handle);
}

void Datagrams::receive(Handle handle) {
  for (int i = 0; i < most_in_a_row; ++i) {
    const auto* socket = table_.find(handle);
    if (socket == nullptr) return;
    sockaddr_in from{};
    socklen_t length = sizeof from;
    const auto got = ::recvfrom(socket->descriptor, buffer_.data(), buffer_.size(), 0,
                                reinterpret_cast<sockaddr*>(&from), &length);
    if (got < 0) {
      // Of a bound socket an error tells of some answer sent earlier: it must not end the front.
      if (errno == ECONNREFUSED && socket->connected) socket->user->on_refused(handle);
      return;
    }
    socket->user->on_datagram(handle, Address::from(from),
                              std::string(buffer_.data(), static_cast<std::size_t>(got)));
  }
}

}  // namespace heathturn
