#include "net/datagrams.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace heathturn {
namespace {

constexpr std::size_t max_datagram_bytes = 65535;
// Of one connected socket, before the event loop serves the others.
constexpr int max_datagrams_per_turn = 64;
// A bound socket is emptied often, so that the system drops few datagrams of any sender, and few are
// processed between.
constexpr int max_received_per_turn = 1024;
constexpr int max_processed_per_turn = 16;

int new_socket() { return ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

}  // namespace

Datagrams::Datagrams(event_base* base, LogSink log)
    : base_(base), log_(std::move(log)), buffer_(max_datagram_bytes, '\0') {}

Datagrams::~Datagrams() {
  for (const auto handle : table_.handles()) close(handle);
}

Handle Datagrams::add_socket(int descriptor, DatagramHandler& handler, bool connected) {
  const auto handle = table_.add({descriptor, nullptr, nullptr, &handler, connected, FairQueue{}});
  auto& callback_context = callback_contexts_[handle];
  callback_context = std::make_unique<CallbackContext>(CallbackContext{this, handle});
  const auto on_event = [](evutil_socket_t, short, void* context) {
    const auto [owner, socket] = *static_cast<CallbackContext*>(context);
    owner->receive(socket);
  };
  event* read_event = event_new(base_, descriptor, EV_READ | EV_PERSIST, on_event, callback_context.get());
  auto* socket = table_.find(handle);
  socket->read_event = read_event;
  if (!connected) socket->resume_event = evtimer_new(base_, on_event, callback_context.get());
  event_add(read_event, nullptr);
  return handle;
}

Handle Datagrams::bind(const Address& at, DatagramHandler& handler) {
  const int descriptor = new_socket();
  const auto address = at.to_sockaddr();
  if (descriptor < 0 ||
      ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    const std::string error = std::strerror(errno);
    if (descriptor >= 0) ::close(descriptor);
    throw std::runtime_error("cannot receive datagrams on " + at.text() + ": " + error);
  }
  return add_socket(descriptor, handler, false);
}

Address Datagrams::address(Handle handle) {
  sockaddr_in bound{};
  socklen_t length = sizeof bound;
  getsockname(table_.find(handle)->descriptor, reinterpret_cast<sockaddr*>(&bound), &length);
  return Address::from(bound);
}

Handle Datagrams::connect(const Address& to, DatagramHandler& handler) {
  const int descriptor = new_socket();
  const auto address = to.to_sockaddr();
  if (descriptor < 0 ||
      ::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    log_(LogLevel::warn, "no_socket", {{"to", to.text()}, {"error", std::strerror(errno)}});
    if (descriptor >= 0) ::close(descriptor);
    return no_handle;
  }
  return add_socket(descriptor, handler, true);
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
  event_free(socket->read_event);
  if (socket->resume_event != nullptr) event_free(socket->resume_event);
  ::close(socket->descriptor);
  callback_contexts_.erase(handle);
  table_.erase(handle);
}

void Datagrams::receive(Handle handle) {
  const auto* socket = table_.find(handle);
  if (socket == nullptr) return;
  if (socket->connected) {
    receive_from_peer(handle);
  } else {
    receive_from_any(handle);
  }
}

/// The next datagram of the socket and its sender; nothing, with errno set, when there is none.
std::optional<std::string> Datagrams::receive_datagram(const Socket& socket, Address& from) {
  sockaddr_in sender{};
  socklen_t length = sizeof sender;
  const auto received = ::recvfrom(socket.descriptor, buffer_.data(), buffer_.size(), 0,
                                   reinterpret_cast<sockaddr*>(&sender), &length);
  if (received < 0) return std::nullopt;
  from = Address::from(sender);
  return std::string(buffer_.data(), static_cast<std::size_t>(received));
}

void Datagrams::receive_from_peer(Handle handle) {
  for (int i = 0; i < max_datagrams_per_turn; ++i) {
    const auto* socket = table_.find(handle);
    if (socket == nullptr) return;
    Address from;
    const auto bytes = receive_datagram(*socket, from);
    if (!bytes) {
      if (errno == ECONNREFUSED) socket->handler->on_refused(handle);
      return;
    }
    socket->handler->on_datagram(handle, from, *bytes);
  }
}

void Datagrams::receive_from_any(Handle handle) {
  auto* socket = table_.find(handle);
  for (int i = 0; i < max_received_per_turn; ++i) {
    Address from;
    auto bytes = receive_datagram(*socket, from);
    // ECONNREFUSED belongs to an earlier answer to some client.
    if (!bytes && errno == ECONNREFUSED) continue;
    if (!bytes) break;
    socket->received.push(from, std::move(*bytes));
  }
  for (int i = 0; i < max_processed_per_turn && !socket->received.empty(); ++i) {
    const auto [sender, bytes] = socket->received.pop();
    socket->handler->on_datagram(handle, sender, bytes);
    socket = table_.find(handle);
    if (socket == nullptr) return;
  }
  if (socket->received.empty()) return;
  // The rest waits until the event loop has served the others: a timer runs in its next turn.
  const timeval at_once{0, 0};
  evtimer_add(socket->resume_event, &at_once);
}

}  // namespace heathturn
