// The event loop of the soak: all sockets of the stand-ins, and timers, on one thread and the real clock.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace heathturn::soak {

/// Steady time in ms.
inline double now_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

/// A connection of a stand-in.
struct Connection {
  int socket = -1;
  std::string input, output;
  double opened_ms = 0;
  std::size_t sent_bytes = 0;
  bool silent = false;  ///< carries nothing in either direction, and stays open
  std::size_t piece_bytes =
      0;  ///< output is written in pieces of this size, one each `piece_interval_ms`; 0: whole
  double next_piece_ms = 0;
  std::function<void(Connection&)> on_input;
  std::function<void(Connection&)> on_closed;  ///< by the peer
  [[nodiscard]] bool open() const { return socket >= 0; }
  void send(const std::string& bytes) { output += bytes; }
};

/// Calls `on_line` for each complete line of the input, as long as the connection is open.
template <typename OnLine>
void take_lines(Connection& from, OnLine on_line) {
  for (std::size_t end; from.open() && (end = from.input.find('\n')) != std::string::npos;) {
    const auto line = from.input.substr(0, end);
    from.input.erase(0, end + 1);
    on_line(line);
  }
}

/// Runs the stand-ins. Connections stay allocated until the loop is destroyed, so that pointers to them hold.
class EventLoop {
 public:
  static constexpr double piece_interval_ms = 6;
  struct Listener {
    int socket = -1;
    int port = 0;
    std::function<void(Connection&)> on_accept;
  };

  EventLoop() = default;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  ~EventLoop() {
    for (auto& each : listeners_) close(*each);
    for (auto* each : live_) close(*each);
  }

  /// `port`: 0 for one that the system chooses.
  Listener& listen(std::function<void(Connection&)> on_accept, int port = 0) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = loopback(port);
    if (::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(socket, 512) != 0) {
      throw std::runtime_error("a stand-in cannot listen on port " + std::to_string(port));
    }
    socklen_t length = sizeof address;
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length);
    listeners_.push_back(
        std::make_unique<Listener>(Listener{socket, ntohs(address.sin_port), std::move(on_accept)}));
    return *listeners_.back();
  }
  static void close(Listener& listener) {
    if (listener.socket >= 0) ::close(listener.socket);
    listener.socket = -1;
  }
  /// Null if the connection is refused.
  Connection* connect(int port) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
      ::close(socket);
      return nullptr;
    }
    return &add(socket);
  }
  static void close(Connection& connection, bool reset = false) {
    if (!connection.open()) return;
    const linger reset_on_close{1, 0};
    if (reset) ::setsockopt(connection.socket, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
    ::close(connection.socket);
    connection.socket = -1;
  }
  [[nodiscard]] static bool peer_has_closed(const Connection& connection) {
    pollfd entry{connection.socket, POLLRDHUP, 0};
    return ::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }
  /// Writes what can be written now, so that a close right after it does not discard it.
  static void flush(Connection& connection) {
    if (!connection.open() || connection.output.empty()) return;
    const auto sent =
        ::send(connection.socket, connection.output.data(), connection.output.size(), MSG_NOSIGNAL);
    record_sent(connection, sent);
  }
  void after(double delay_ms, std::function<void()> callback) {
    timers_.emplace(now_ms() + delay_ms, std::move(callback));
  }
  void run_for(double duration_ms) {
    run_until([] { return false; }, duration_ms);
  }
  /// True if the condition holds within that time.
  bool run_until(const std::function<bool()>& condition, double within_ms) {
    const double end_ms = now_ms() + within_ms;
    while (!condition()) {
      if (now_ms() >= end_ms) return false;
      turn();
    }
    return true;
  }
  /// The longest turn so far: how late an observation may have been.
  [[nodiscard]] double longest_turn_ms() const { return longest_turn_ms_; }

 private:
  static sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }
  Connection& add(int socket) {
    ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) | O_NONBLOCK);
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto& connection = *connections_.emplace_back(std::make_unique<Connection>());
    connection.socket = socket;
    connection.opened_ms = now_ms();
    live_.push_back(&connection);
    return connection;
  }
  void turn() {
    std::erase_if(live_, [](const Connection* each) { return !each->open(); });
    std::vector<pollfd> polled;
    for (const auto& each : listeners_) polled.push_back({each->socket, POLLIN, 0});
    const auto listener_count = polled.size();
    const auto connections = live_;
    for (const auto* each : connections) polled.push_back({each->silent ? -1 : each->socket, POLLIN, 0});
    ::poll(polled.data(), polled.size(), 1);
    const double started_ms = now_ms();
    for (std::size_t i = 0; i < listener_count; ++i) {
      auto& listener = *listeners_[i];
      if (listener.socket < 0 || polled[i].revents == 0) continue;
      const int socket = ::accept4(listener.socket, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket >= 0) listener.on_accept(add(socket));
    }
    for (std::size_t i = 0; i < connections.size(); ++i) {
      if (connections[i]->open() && polled[listener_count + i].revents != 0) read(*connections[i]);
    }
    while (!timers_.empty() && timers_.begin()->first <= now_ms()) {
      const auto callback = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      callback();
    }
    for (std::size_t i = 0; i < live_.size(); ++i) write(*live_[i]);
    longest_turn_ms_ = std::max(longest_turn_ms_, now_ms() - started_ms);
  }
  static void record_sent(Connection& connection, ssize_t sent) {
    if (sent <= 0) return;
    connection.sent_bytes += static_cast<std::size_t>(sent);
    connection.output.erase(0, static_cast<std::size_t>(sent));
  }
  static void read(Connection& connection) {
    char buffer[65536];
    const auto received = ::recv(connection.socket, buffer, sizeof buffer, 0);
    if (received < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (received <= 0) {
      close(connection);
      if (connection.on_closed) connection.on_closed(connection);
      return;
    }
    connection.input.append(buffer, static_cast<std::size_t>(received));
    if (connection.on_input) connection.on_input(connection);
  }
  static void write(Connection& connection) {
    if (!connection.open() || connection.silent || connection.output.empty()) return;
    if (connection.piece_bytes == 0) return flush(connection);
    if (now_ms() < connection.next_piece_ms) return;
    connection.next_piece_ms = now_ms() + piece_interval_ms;
    const auto size = std::min(connection.piece_bytes, connection.output.size());
    const auto sent = ::send(connection.socket, connection.output.data(), size, MSG_NOSIGNAL);
    record_sent(connection, sent);
  }

  std::vector<std::unique_ptr<Listener>> listeners_;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::vector<Connection*> live_;
  std::multimap<double, std::function<void()>> timers_;
  double longest_turn_ms_ = 0;
};

}  // namespace heathturn::soak
