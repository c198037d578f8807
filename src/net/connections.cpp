#include "net/connections.hpp"

#include <event2/bufferevent_ssl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <map>
#include <new>
#include <stdexcept>

namespace heathturn {
namespace {

constexpr double accept_retry_delay_ms = 50;  // when file descriptors have run out

event_base* new_event_base() {
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  if (base == nullptr) throw std::runtime_error("cannot create an event loop");
  return base;
}

void disable_nagle(evutil_socket_t socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

const char* reason_for_errno(int error) {
  switch (error) {
    case ECONNREFUSED:
      return reason::refused;
    case EHOSTUNREACH:
    case ENETUNREACH:
    case ETIMEDOUT:
      return reason::unreachable;
    default:
      return reason::reset;
  }
}

}  // namespace

Connections::Connections(Clock& clock, TimerQueue& timers, LogSink log)
    : clock_(clock), timers_(timers), log_(std::move(log)), base_(new_event_base(), event_base_free) {}

Connections::~Connections() {
  for (const auto handle : table_.handles()) bufferevent_free(table_.find(handle)->stream);
  for (auto& listener : listeners_) evconnlistener_free(listener->event_listener);
}

void Connections::run() {
  event* wake_timer = evtimer_new(
      base_.get(), [](evutil_socket_t, short, void*) {}, nullptr);
  while (!stopping_) {
    if (const auto due = timers_.next_due_ms()) {
      const double delay_ms = std::max(0.0, *due - clock_.now_ms());
      const auto delay_us = static_cast<long long>(delay_ms * 1000) + 1;
      const timeval delay{static_cast<time_t>(delay_us / 1000000),
                          static_cast<suseconds_t>(delay_us % 1000000)};
      evtimer_add(wake_timer, &delay);
    } else {
      evtimer_del(wake_timer);
    }
    event_base_loop(base_.get(), EVLOOP_ONCE | EVLOOP_NO_EXIT_ON_EMPTY);
    timers_.run_due(clock_.now_ms());
  }
  event_free(wake_timer);
  stopping_ = false;
}

Handle Connections::add_connection(bufferevent* stream, Connection connection) {
  connection.stream = stream;
  connection.opened_at_ms = clock_.now_ms();
  const auto handle = table_.add(std::move(connection));
  auto& callback_context = callback_contexts_[handle];
  callback_context = std::make_unique<CallbackContext>(CallbackContext{this, handle});
  bufferevent_setcb(stream, read_callback, write_callback, event_callback, callback_context.get());
  return handle;
}

Handle Connections::connect(const Address& to, ConnectionHandler& handler, const char* side,
                            double timeout_ms) {
  Connection connection;
  connection.handler = &handler;
  connection.side = side;
  return start_connecting(
      bufferevent_socket_new(base_.get(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS),
      std::move(connection), to, timeout_ms);
}

Handle Connections::connect(const Address& to, ConnectionHandler& handler, const char* side,
                            double timeout_ms, const TlsPeer& tls_peer, bool& session_offered) {
  Connection connection;
  connection.handler = &handler;
  connection.side = side;
  connection.tls_context = tls_peer.context;
  connection.tls_state = std::make_shared<tls::Context::ConnectionState>();
  connection.tls_state->id = tls_peer.id;
  connection.tls_state->name = tls_peer.name;
  SSL* ssl = tls_peer.context->create_ssl(*connection.tls_state, to, session_offered);
  bufferevent* stream = ssl == nullptr
                            ? nullptr
                            : bufferevent_openssl_socket_new(base_.get(), -1, ssl, BUFFEREVENT_SSL_CONNECTING,
                                                             BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  if (stream == nullptr) throw std::bad_alloc();
  // Reports a close without a TLS close_notify as an error. Complete messages received before it stay valid.
  bufferevent_openssl_set_allow_dirty_shutdown(stream, 0);
  return start_connecting(stream, std::move(connection), to, timeout_ms);
}

Handle Connections::start_connecting(bufferevent* stream, Connection connection, const Address& to,
                                     double timeout_ms) {
  connection.peer = to.text();
  connection.address = to;
  const auto handle = add_connection(stream, std::move(connection));
  const auto address = to.to_sockaddr();
  // connect() can fail at once, for want of a descriptor or by a refusal. A timer reports the failure, so
  // that the handler is never called from within this function.
  if (bufferevent_socket_connect(stream, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    const char* reason_code = errno == EMFILE || errno == ENFILE ? reason::too_many : reason_for_errno(errno);
    table_.find(handle)->timeout = timers_.schedule(
        clock_.now_ms(), [this, handle, reason_code] { end_connection(handle, reason_code); });
    return handle;
  }
  disable_nagle(bufferevent_getfd(stream));
  table_.find(handle)->timeout = timers_.schedule(clock_.now_ms() + timeout_ms, [this, handle] {
    const auto* pending = table_.find(handle);
    // The handshake starts once the TCP connection is established.
    const bool stalled =
        pending->tls_state != nullptr && SSL_in_before(bufferevent_openssl_get_ssl(pending->stream)) == 0;
    end_connection(handle, stalled ? tls::reason::stalled : reason::connect_timeout);
  });
  return handle;
}

bool Connections::session_resumed(Handle handle) {
  const auto* connection = table_.find(handle);
  return connection != nullptr && connection->tls_state != nullptr &&
         SSL_session_reused(bufferevent_openssl_get_ssl(connection->stream)) == 1;
}

double Connections::peer_certificate_not_after_ms(Handle handle) {
  const auto* connection = table_.find(handle);
  return connection == nullptr || connection->tls_state == nullptr ? 0
                                                                   : connection->tls_state->peer_not_after_ms;
}

/// Logs that the peer failed verification or the handshake, with its certificate.
void Connections::log_tls_refused(const Connection& connection, const char* reason_code) {
  const auto& tls_state = *connection.tls_state;
  log_(LogLevel::warn, "tls_refused",
       {{"converter", tls_state.name},
        {"peer", connection.peer},
        {"reason", reason_code},
        {"subject", tls_state.peer_certificate.subject},
        {"issuer", tls_state.peer_certificate.issuer},
        {"not_before", tls_state.peer_certificate.not_before},
        {"not_after", tls_state.peer_certificate.not_after}});
}

Address Connections::listen(const Address& at, ConnectionHandler& handler, const char* side,
                            const Limits& limits) {
  const auto address = at.to_sockaddr();
  evconnlistener* event_listener = evconnlistener_new_bind(
      base_.get(), nullptr, nullptr, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, 512,
      reinterpret_cast<const sockaddr*>(&address), sizeof address);
  if (event_listener == nullptr) {
    throw std::runtime_error("cannot listen on " + at.text() + ": " + std::strerror(errno));
  }
  add_listener(event_listener, handler, side, limits);
  sockaddr_in bound{};
  socklen_t length = sizeof bound;
  getsockname(evconnlistener_get_fd(event_listener), reinterpret_cast<sockaddr*>(&bound), &length);
  listeners_.back()->address = Address::from(bound);
  log_(LogLevel::info, "listening", {{"side", side}, {"at", Address::from(bound).text()}});
  return Address::from(bound);
}

void Connections::listen_local(const std::string& path, ConnectionHandler& handler, const char* side,
                               std::size_t max_connections) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  if (path.size() >= sizeof address.sun_path) throw std::runtime_error("socket path is too long: " + path);
  std::memcpy(address.sun_path, path.c_str(), path.size());
  // Removes the socket file of an earlier process. A socket that still accepts connections, and a file of any
  // other type, is left alone.
  struct stat file_status {};
  if (::lstat(path.c_str(), &file_status) == 0) {
    const int probe = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const bool in_use = ::connect(probe, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    ::close(probe);
    if (in_use || !S_ISSOCK(file_status.st_mode))
      throw std::runtime_error("in use by something else: " + path);
    ::unlink(path.c_str());
  }
  const auto previous_mask = ::umask(0177);
  evconnlistener* event_listener =
      evconnlistener_new_bind(base_.get(), nullptr, nullptr, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 8,
                              reinterpret_cast<sockaddr*>(&address), sizeof address);
  const int error = errno;
  ::umask(previous_mask);
  if (event_listener == nullptr)
    throw std::runtime_error("cannot listen on " + path + ": " + std::strerror(error));
  add_listener(event_listener, handler, side, {.max_connections = max_connections});
}

void Connections::add_listener(evconnlistener* event_listener, ConnectionHandler& handler, const char* side,
                               const Limits& limits) {
  auto& listener = *listeners_.emplace_back(std::make_unique<Listener>());
  listener = {this, &handler, side, limits, 0, event_listener, {}, {}};
  evconnlistener_set_cb(
      event_listener,
      [](evconnlistener*, evutil_socket_t socket, sockaddr* from, int, void* context) {
        auto& self = *static_cast<Listener*>(context);
        self.owner->on_accepted(self, socket, from);
      },
      &listener);
  // Guards against EMFILE: the listener would stay ready, and the event loop would spin on it.
  evconnlistener_set_error_cb(event_listener, [](evconnlistener* failed, void* context) {
    auto& self = *static_cast<Listener*>(context);
    self.owner->log_(LogLevel::warn, "accept_failed", {{"side", self.side}, {"error", std::strerror(errno)}});
    evconnlistener_disable(failed);
    self.owner->timers_.schedule(self.owner->clock_.now_ms() + accept_retry_delay_ms,
                                 [failed] { evconnlistener_enable(failed); });
  });
}

void Connections::on_accepted(Listener& listener, evutil_socket_t socket, sockaddr* from) {
  evutil_make_socket_nonblocking(socket);
  Connection connection;
  connection.handler = listener.handler;
  connection.side = listener.side;
  connection.listener = &listener;
  connection.connected = true;
  if (from->sa_family == AF_INET) {
    disable_nagle(socket);
    connection.address = Address::from(*reinterpret_cast<sockaddr_in*>(from));
    connection.peer = connection.address.text();
  } else {
    connection.peer = "local";
  }
  bufferevent* stream =
      bufferevent_socket_new(base_.get(), socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  const bool has_room = listener.open_connections < listener.limits.max_connections || close_idlest(listener);
  ++listener.open_connections;
  const auto handle = add_connection(stream, std::move(connection));
  if (!has_room) return end_connection(handle, reason::too_many);
  // Guards against peers that connect and never complete a first message.
  if (const double timeout_ms = listener.limits.first_message_timeout_ms; timeout_ms > 0) {
    table_.find(handle)->timeout = timers_.schedule(
        clock_.now_ms() + timeout_ms, [this, handle] { end_connection(handle, reason::silent); });
  }
  bufferevent_enable(stream, EV_READ | EV_WRITE);
  listener.handler->on_connected(handle);
}

/// Closes the connection of this listener that has been idle longest, those without any message first. False
/// if there is none to close. Guards regular peers against others that connect and stay idle: a connection
/// with an open request stays, and so does one whose first message has not been read yet.
bool Connections::close_idlest(Listener& listener) {
  Handle idlest = no_handle;
  std::pair<bool, double> lowest_rank;
  for (const auto handle : table_.handles()) {
    const auto& each = *table_.find(handle);
    if (each.listener != &listener || each.open_requests > 0 || each.finishing) continue;
    char byte = 0;
    if (!each.message_received &&
        ::recv(bufferevent_getfd(each.stream), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0)
      continue;
    const std::pair rank{each.message_received,
                         each.message_received ? each.last_message_at_ms : each.opened_at_ms};
    if (idlest != no_handle && rank >= lowest_rank) continue;
    idlest = handle;
    lowest_rank = rank;
  }
  if (idlest == no_handle) return false;
  end_connection(idlest, reason::idle);
  return true;
}

void Connections::set_limits(const Address& at, const Limits& limits) {
  for (auto& listener : listeners_) {
    if (listener->address == at) listener->limits = limits;
  }
}

bool Connections::begin_request(Handle handle) {
  auto* connection = table_.find(handle);
  if (connection == nullptr) return false;
  const auto max_open_requests =
      connection->listener == nullptr ? 0 : connection->listener->limits.max_open_requests;
  if (max_open_requests != 0 && connection->open_requests >= max_open_requests) return false;
  ++connection->open_requests;
  return true;
}

void Connections::end_request(Handle handle) {
  if (auto* connection = table_.find(handle); connection != nullptr && connection->open_requests > 0) {
    --connection->open_requests;
  }
}

void Connections::read_messages(Handle connection,
                                const std::function<FrameStatus(std::string&)>& next_message,
                                const MessageCallback& on_message) {
  std::string message;
  // The callback may end the connection, which frees its input buffer.
  for (auto* entry = table_.find(connection); entry != nullptr && !entry->finishing && !entry->congested;
       entry = table_.find(connection)) {
    const auto status = next_message(message);
    if (status == FrameStatus::incomplete) return;
    if (status == FrameStatus::over_long) return end_connection(connection, reason::over_long);
    if (!entry->message_received) timers_.cancel(entry->timeout);
    entry->message_received = true;
    entry->last_message_at_ms = clock_.now_ms();
    try {
      on_message(message);
    } catch (const ProtocolError& error) {
      return end_connection(connection, error.reason_code);
    }
  }
}

void Connections::read_lines(Handle connection, evbuffer* in, std::size_t max_bytes,
                             const MessageCallback& on_message) {
  read_messages(
      connection, [=](std::string& out) { return next_line(in, max_bytes, out); }, on_message);
}

void Connections::read_length_prefixed(Handle connection, evbuffer* in, std::size_t width,
                                       std::size_t max_bytes, const MessageCallback& on_message) {
  read_messages(
      connection, [=](std::string& out) { return next_length_prefixed(in, width, max_bytes, out); },
      on_message);
}

bool Connections::write(Handle handle, std::string_view bytes) {
  auto* connection = table_.find(handle);
  if (connection == nullptr || connection->finishing) return false;
  evbuffer* out = bufferevent_get_output(connection->stream);
  const bool exceeds_limit = evbuffer_get_length(out) + bytes.size() > output_limits_.per_connection;
  if (exceeds_limit && unsent_bytes() + bytes.size() > output_limits_.total) {
    end_connection(handle, reason::slow_reader);
    return false;
  }
  evbuffer_add(out, bytes.data(), bytes.size());
  if (exceeds_limit && !connection->congested) begin_congestion(handle, *connection);
  return true;
}

/// Pauses reading, so that a peer that does not read cannot make the program queue more output by what it
/// sends. Ends the connection unless its output soon falls below the limit.
void Connections::begin_congestion(Handle handle, Connection& connection) {
  connection.congested = true;
  bufferevent_disable(connection.stream, EV_READ);
  bufferevent_setwatermark(connection.stream, EV_WRITE, output_limits_.per_connection, 0);
  connection.congestion_timeout = timers_.schedule(clock_.now_ms() + congestion_timeout_ms, [this, handle] {
    end_connection(handle, reason::slow_reader);
  });
}

void Connections::end_congestion(Handle handle, Connection& connection) {
  connection.congested = false;
  timers_.cancel(connection.congestion_timeout);
  bufferevent_setwatermark(connection.stream, EV_WRITE, 0, 0);
  if (connection.finishing) return;
  bufferevent_enable(connection.stream, EV_READ);
  // Messages that arrived before the pause are still in the input buffer.
  evbuffer* in = bufferevent_get_input(connection.stream);
  if (evbuffer_get_length(in) > 0) connection.handler->on_input(handle, in);
}

void Connections::close(Handle handle, const char* reason_code) { end_connection(handle, reason_code); }

void Connections::finish(Handle handle) {
  auto* connection = table_.find(handle);
  if (connection == nullptr) return;
  if (evbuffer_get_length(bufferevent_get_output(connection->stream)) == 0) {
    return end_connection(handle, reason::finished);
  }
  connection->finishing = true;
  bufferevent_disable(connection->stream, EV_READ);
}

std::size_t Connections::unsent_bytes() {
  std::size_t sum = 0;
  for (const auto handle : table_.handles()) {
    const auto* connection = table_.find(handle);
    if (connection->connected) sum += evbuffer_get_length(bufferevent_get_output(connection->stream));
  }
  return sum;
}

std::size_t Connections::unsent_bytes(Handle handle) {
  const auto* connection = table_.find(handle);
  return connection == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(connection->stream));
}

bool Connections::peer_has_closed(Handle handle) {
  const auto* connection = table_.find(handle);
  if (connection == nullptr) return true;
  pollfd entry{bufferevent_getfd(connection->stream), POLLRDHUP, 0};
  return ::poll(&entry, 1, 0) > 0;
}

Address Connections::peer(Handle handle) {
  const auto* connection = table_.find(handle);
  return connection == nullptr ? Address{} : connection->address;
}

/// Every connection ends here, with exactly one log line.
void Connections::end_connection(Handle handle, const char* reason_code) {
  auto* connection = table_.find(handle);
  if (connection == nullptr) return;
  timers_.cancel(connection->timeout);
  timers_.cancel(connection->congestion_timeout);
  if (connection->listener != nullptr) --connection->listener->open_connections;
  auto* handler = connection->handler;
  std::vector<LogField> fields = {
      {"side", connection->side},
      {"peer", connection->peer},
      {"reason", reason_code},
      {"after_ms", static_cast<long long>(clock_.now_ms() - connection->opened_at_ms)}};
  if (const auto unsent = unsent_bytes(handle); unsent > 0) fields.push_back({"unsent", unsent});
  log_(LogLevel::info, "connection_ended", fields);
  if (connection->tls_state != nullptr && connection->connected) {
    // Sends close_notify only for a regular end, when it can be sent at once. Marks the connection as shut
    // down in any case, because OpenSSL would otherwise make the session unusable for resumption.
    SSL* ssl = bufferevent_openssl_get_ssl(connection->stream);
    if (reason_code == reason::finished) SSL_shutdown(ssl);
    SSL_set_shutdown(ssl, SSL_SENT_SHUTDOWN | SSL_RECEIVED_SHUTDOWN);
  }
  bufferevent_free(connection->stream);
  callback_contexts_.erase(handle);
  table_.erase(handle);
  handler->on_ended(handle, reason_code);
}

void Connections::read_callback(bufferevent* stream, void* context) {
  const auto [owner, handle] = *static_cast<CallbackContext*>(context);
  const auto* connection = owner->table_.find(handle);
  if (connection == nullptr || connection->finishing || connection->congested) return;
  connection->handler->on_input(handle, bufferevent_get_input(stream));
}

void Connections::write_callback(bufferevent*, void* context) {
  const auto [owner, handle] = *static_cast<CallbackContext*>(context);
  owner->on_output_sent(handle);
}

/// Output was sent. Called when all of it was; while the connection is congested, when its limit holds again.
void Connections::on_output_sent(Handle handle) {
  auto* connection = table_.find(handle);
  if (connection == nullptr) return;
  const auto unsent = unsent_bytes(handle);
  if (connection->finishing && unsent == 0) return end_connection(handle, reason::finished);
  if (connection->congested && unsent <= output_limits_.per_connection) end_congestion(handle, *connection);
}

void Connections::event_callback(bufferevent*, short events, void* context) {
  const auto [owner, handle] = *static_cast<CallbackContext*>(context);
  owner->on_event(handle, events);
}

void Connections::on_event(Handle handle, short events) {
  const int error = EVUTIL_SOCKET_ERROR();
  auto* connection = table_.find(handle);
  if (connection == nullptr) return;
  if ((events & BEV_EVENT_CONNECTED) != 0) {
    if (connection->tls_state != nullptr) {
      const char* reason_code =
          tls::Context::verify_peer(bufferevent_openssl_get_ssl(connection->stream), *connection->tls_state);
      if (reason_code != nullptr) {
        log_tls_refused(*connection, reason_code);
        return end_connection(handle, reason_code);
      }
    }
    connection->connected = true;
    timers_.cancel(connection->timeout);
    bufferevent_enable(connection->stream, EV_READ | EV_WRITE);
    connection->handler->on_connected(handle);
    return;
  }
  if (connection->tls_state != nullptr && (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    const auto ssl_error = bufferevent_get_openssl_error(connection->stream);
    auto* ssl = bufferevent_openssl_get_ssl(connection->stream);
    // A connection that was refused before the handshake started is no TLS failure.
    const bool handshake_started = SSL_in_before(ssl) == 0;
    const char* reason_code =
        handshake_started ? tls::Context::failure_reason(ssl, *connection->tls_state, ssl_error) : nullptr;
    if (reason_code != nullptr) {
      log_tls_refused(*connection, reason_code);
      return end_connection(handle, reason_code);
    }
  }
  if ((events & BEV_EVENT_EOF) != 0) return end_connection(handle, reason::peer_closed);
  if ((events & BEV_EVENT_ERROR) != 0) {
    const char* reason_code = reason_for_errno(error);
    end_connection(handle, connection->connected ? reason::reset : reason_code);
  }
}

}  // namespace heathturn
