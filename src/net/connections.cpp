#include "net/connections.hpp"

#include <event2/bufferevent_ssl.h>
#include <netinet/tcp.h>
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

constexpr double accept_pause_ms = 50;  // after the descriptors ran out

event_base* make_base() {
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  if (base == nullptr) throw std::runtime_error("no event loop can be had");
  return base;
}

void no_delay(evutil_socket_t socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

const char* reason_of(int error) {
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
    : clock_(clock), timers_(timers), log_(std::move(log)), base_(make_base(), event_base_free) {}

Connections::~Connections() {
  for (const auto handle : table_.handles()) bufferevent_free(table_.find(handle)->stream);
  for (auto& listener : listeners_) evconnlistener_free(listener->handle);
}

void Connections::run() {
  event* wake = evtimer_new(
      base_.get(), [](evutil_socket_t, short, void*) {}, nullptr);
  while (!stopping_) {
    if (const auto due = timers_.next_due_ms()) {
      const double wait = std::max(0.0, *due - clock_.now_ms());
      const auto micros = static_cast<long long>(wait * 1000) + 1;
      const timeval delay{static_cast<time_t>(micros / 1000000), static_cast<suseconds_t>(micros % 1000000)};
      evtimer_add(wake, &delay);
    } else {
      evtimer_del(wake);
    }
    event_base_loop(base_.get(), EVLOOP_ONCE | EVLOOP_NO_EXIT_ON_EMPTY);
    timers_.run_due(clock_.now_ms());
  }
  event_free(wake);
}

Handle Connections::adopt(bufferevent* stream, Connection connection) {
  connection.stream = stream;
  connection.since = clock_.now_ms();
  const auto handle = table_.add(std::move(connection));
  auto& hook = hooks_[handle];
  hook = std::make_unique<Hook>(Hook{this, handle});
  bufferevent_setcb(stream, read_callback, write_callback, event_callback, hook.get());
  return handle;
}

Handle Connections::connect(const Address& to, ConnectionUser& user, const char* side, double timeout_ms) {
  Connection connection;
  connection.user = &user;
  connection.side = side;
  return begin(bufferevent_socket_new(base_.get(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS),
               std::move(connection), to, timeout_ms);
}

Handle Connections::connect(const Address& to, ConnectionUser& user, const char* side, double timeout_ms,
                            const Secured& secured, bool& offered) {
  Connection connection;
  connection.user = &user;
  connection.side = side;
  connection.context = secured.context;
  connection.secured = std::make_shared<tls::Context::Connection>();
  connection.secured->id = secured.id;
  connection.secured->name = secured.name;
  SSL* ssl = secured.context->open(*connection.secured, to, offered);
  bufferevent* stream = ssl == nullptr
                            ? nullptr
                            : bufferevent_openssl_socket_new(base_.get(), -1, ssl, BUFFEREVENT_SSL_CONNECTING,
                                                             BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  if (stream == nullptr) throw std::bad_alloc();
  // A peer that closes without a word of it is told of as such; what had come by then is whole or it is not.
  bufferevent_openssl_set_allow_dirty_shutdown(stream, 0);
  return begin(stream, std::move(connection), to, timeout_ms);
}

Handle Connections::begin(bufferevent* stream, Connection connection, const Address& to, double timeout_ms) {
  connection.peer = to.text();
  connection.address = to;
  const auto handle = adopt(stream, std::move(connection));
  const auto address = to.to_sockaddr();
  // A socket may be lacking, or the refusal come at once: the user hears of it later, never from in here.
  if (bufferevent_socket_connect(stream, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    const char* why = errno == EMFILE || errno == ENFILE ? reason::too_many : reason_of(errno);
    table_.find(handle)->timeout =
        timers_.schedule(clock_.now_ms(), [this, handle, why] { drop(handle, why); });
    return handle;
  }
  no_delay(bufferevent_getfd(stream));
  table_.find(handle)->timeout = timers_.schedule(clock_.now_ms() + timeout_ms, [this, handle] {
    const auto* late = table_.find(handle);
    // Its handshake begins when the connection is up.
    const bool stalled =
        late->secured != nullptr && SSL_in_before(bufferevent_openssl_get_ssl(late->stream)) == 0;
    drop(handle, stalled ? tls::reason::stalled : reason::connect_timeout);
  });
  return handle;
}

bool Connections::resumed(Handle handle) {
  const auto* connection = table_.find(handle);
  return connection != nullptr && connection->secured != nullptr &&
         SSL_session_reused(bufferevent_openssl_get_ssl(connection->stream)) == 1;
}

double Connections::shown_not_after(Handle handle) {
  const auto* connection = table_.find(handle);
  return connection == nullptr || connection->secured == nullptr ? 0 : connection->secured->shown_not_after;
}

/// A peer that was not accepted, with what it has shown.
void Connections::log_refused(const Connection& connection, const char* why) {
  const auto& secured = *connection.secured;
  log_(LogLevel::warn, "tls_refused",
       {{"converter", secured.name},
        {"peer", connection.peer},
        {"reason", why},
        {"subject", secured.shown.subject},
        {"issuer", secured.shown.issuer},
        {"not_before", secured.shown.not_before},
        {"not_after", secured.shown.not_after}});
}

Address Connections::listen(const Address& at, ConnectionUser& user, const char* side, const Bounds& bounds) {
  const auto address = at.to_sockaddr();
  evconnlistener* handle = evconnlistener_new_bind(
      base_.get(), nullptr, nullptr, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, 512,
      reinterpret_cast<const sockaddr*>(&address), sizeof address);
  if (handle == nullptr) {
    throw std::runtime_error("cannot listen on " + at.text() + ": " + std::strerror(errno));
  }
  bind(handle, user, side, bounds);
  sockaddr_in bound{};
  socklen_t length = sizeof bound;
  getsockname(evconnlistener_get_fd(handle), reinterpret_cast<sockaddr*>(&bound), &length);
  listeners_.back()->at = Address::from(bound);
  log_(LogLevel::info, "listening", {{"side", side}, {"at", Address::from(bound).text()}});
  return Address::from(bound);
}

void Connections::listen_local(const std::string& path, ConnectionUser& user, const char* side,
                               std::size_t most) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  if (path.size() >= sizeof address.sun_path) throw std::runtime_error("socket path is too long: " + path);
  std::memcpy(address.sun_path, path.c_str(), path.size());
  // What an earlier process left there goes; what one still answers on, or what is no socket, stays.
  struct stat found {};
  if (::lstat(path.c_str(), &found) == 0) {
    const int probe = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const bool taken = ::connect(probe, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    ::close(probe);
    if (taken || !S_ISSOCK(found.st_mode)) throw std::runtime_error("in use by something else: " + path);
    ::unlink(path.c_str());
  }
  const auto before = ::umask(0177);
  evconnlistener* handle =
      evconnlistener_new_bind(base_.get(), nullptr, nullptr, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 8,
                              reinterpret_cast<sockaddr*>(&address), sizeof address);
  const int error = errno;
  ::umask(before);
  if (handle == nullptr) throw std::runtime_error("cannot listen on " + path + ": " + std::strerror(error));
  bind(handle, user, side, {.connections = most});
}

void Connections::bind(evconnlistener* handle, ConnectionUser& user, const char* side, const Bounds& bounds) {
  auto& listener = *listeners_.emplace_back(std::make_unique<Listener>());
  listener = {this, &user, side, bounds, 0, handle, {}, {}};
  evconnlistener_set_cb(
      handle,
      [](evconnlistener*, evutil_socket_t socket, sockaddr* from, int, void* context) {
        auto& at = *static_cast<Listener*>(context);
        at.owner->accepted(at, socket, from);
      },
      &listener);
  // Guards against EMFILE: the listener would be ready again at once, and the loop would spin on it.
  evconnlistener_set_error_cb(handle, [](evconnlistener* at, void* context) {
    auto& self = *static_cast<Listener*>(context);
    self.owner->log_(LogLevel::warn, "accept_failed", {{"side", self.side}, {"error", std::strerror(errno)}});
    evconnlistener_disable(at);
    self.owner->timers_.schedule(self.owner->clock_.now_ms() + accept_pause_ms,
                                 [at] { evconnlistener_enable(at); });
  });
}

void Connections::accepted(Listener& listener, evutil_socket_t socket, sockaddr* from) {
  evutil_make_socket_nonblocking(socket);
  Connection connection;
  connection.user = listener.user;
  connection.side = listener.side;
  connection.listener = &listener;
  connection.connected = true;
  if (from->sa_family == AF_INET) {
    no_delay(socket);
    connection.address = Address::from(*reinterpret_cast<sockaddr_in*>(from));
    connection.peer = connection.address.text();
  } else {
    connection.peer = "local";
  }
  bufferevent* stream =
      bufferevent_socket_new(base_.get(), socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  const bool room = listener.open < listener.bounds.connections || make_room(listener);
  ++listener.open;
  const auto handle = adopt(stream, std::move(connection));
  if (!room) return drop(handle, reason::too_many);
  // Guards against peers that connect and say nothing, or never end what they say first.
  if (const double wait = listener.bounds.first_message_ms; wait > 0) {
    table_.find(handle)->timeout =
        timers_.schedule(clock_.now_ms() + wait, [this, handle] { drop(handle, reason::silent); });
  }
  listener.user->on_connected(handle);
  if (has(handle)) bufferevent_enable(stream, EV_READ | EV_WRITE);
}

/// Guards the usual callers against those that connect and stay: where the places are taken, the connection
/// that has said nothing for longest makes room, those that never said anything first. One with a request
/// open stays, and so does one whose first message lies unread.
bool Connections::make_room(Listener& listener) {
  Handle idlest = no_handle;
  std::pair<bool, double> least;
  for (const auto handle : table_.handles()) {
    const auto& each = *table_.find(handle);
    if (each.listener != &listener || each.requests > 0 || each.finishing) continue;
    char byte = 0;
    if (!each.spoken && ::recv(bufferevent_getfd(each.stream), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0)
      continue;
    const std::pair order{each.spoken, each.spoken ? each.heard : each.since};
    if (idlest != no_handle && order >= least) continue;
    idlest = handle;
    least = order;
  }
  if (idlest == no_handle) return false;
  drop(idlest, reason::idle);
  return true;
}

void Connections::set_bounds(const Address& at, const Bounds& bounds) {
  for (auto& listener : listeners_) {
    if (listener->at == at) listener->bounds = bounds;
  }
}

bool Connections::begin_request(Handle handle) {
  auto* connection = table_.find(handle);
  if (connection == nullptr) return true;
  const auto most = connection->listener == nullptr ? 0 : connection->listener->bounds.requests;
  if (most != 0 && connection->requests >= most) return false;
  ++connection->requests;
  return true;
}

void Connections::end_request(Handle handle) {
  if (auto* connection = table_.find(handle); connection != nullptr && connection->requests > 0) {
    --connection->requests;
  }
}

void Connections::each(Handle connection, const std::function<Framed(std::string&)>& next, const Take& take) {
  std::string message;
  // What is taken may end the connection, and the buffer with it.
  for (auto* at = table_.find(connection); at != nullptr && !at->finishing; at = table_.find(connection)) {
    const auto framed = next(message);
    if (framed == Framed::none) return;
    if (framed == Framed::over_long) return drop(connection, reason::over_long);
    if (!at->spoken) timers_.cancel(at->timeout);
    at->spoken = true;
    at->heard = clock_.now_ms();
    try {
      take(message);
    } catch (const Unreadable& error) {
      return drop(connection, error.reason);
    }
  }
}

void Connections::each_line(Handle connection, evbuffer* in, std::size_t most, const Take& take) {
  each(
      connection, [=](std::string& out) { return next_line(in, most, out); }, take);
}

void Connections::each_counted(Handle connection, evbuffer* in, std::size_t width, std::size_t most,
                               const Take& take) {
  each(
      connection, [=](std::string& out) { return next_counted(in, width, most, out); }, take);
}

bool Connections::write(Handle handle, std::string_view bytes) {
  auto* connection = table_.find(handle);
  if (connection == nullptr || connection->finishing) return false;
  evbuffer* out = bufferevent_get_output(connection->stream);
  // Guards against a peer that does not read: what it leaves here must not grow without end.
  if (evbuffer_get_length(out) + bytes.size() > most_unsent_) {
    drop(handle, reason::slow_reader);
    return false;
  }
  evbuffer_add(out, bytes.data(), bytes.size());
  return true;
}

void Connections::close(Handle handle, const char* why) { drop(handle, why); }

void Connections::finish(Handle handle) {
  auto* connection = table_.find(handle);
  if (connection == nullptr) return;
  if (evbuffer_get_length(bufferevent_get_output(connection->stream)) == 0) {
    return drop(handle, reason::finished);
  }
  connection->finishing = true;
  bufferevent_disable(connection->stream, EV_READ);
}

std::size_t Connections::unsent() {
  std::size_t sum = 0;
  for (const auto handle : table_.handles()) {
    const auto* connection = table_.find(handle);
    if (connection->connected) sum += evbuffer_get_length(bufferevent_get_output(connection->stream));
  }
  return sum;
}

Address Connections::peer(Handle handle) {
  const auto* connection = table_.find(handle);
  return connection == nullptr ? Address{} : connection->address;
}

/// Every connection ends here, with its one line in the log.
void Connections::drop(Handle handle, const char* why) {
  auto* connection = table_.find(handle);
  if (connection == nullptr) return;
  timers_.cancel(connection->timeout);
  if (connection->listener != nullptr) --connection->listener->open;
  auto* user = connection->user;
  log_(LogLevel::info, "connection_ended",
       {{"side", connection->side},
        {"peer", connection->peer},
        {"reason", why},
        {"after_ms", static_cast<long long>(clock_.now_ms() - connection->since)}});
  if (connection->secured != nullptr && connection->connected) {
    // Told in TLS's own words where that can be done at once; without them OpenSSL would spoil the session.
    SSL* ssl = bufferevent_openssl_get_ssl(connection->stream);
    if (why == reason::finished) SSL_shutdown(ssl);
    SSL_set_shutdown(ssl, SSL_SENT_SHUTDOWN | SSL_RECEIVED_SHUTDOWN);
  }
  bufferevent_free(connection->stream);
  hooks_.erase(handle);
  table_.erase(handle);
  user->on_ended(handle, why);
}

void Connections::read_callback(bufferevent* stream, void* context) {
  const auto [owner, handle] = *static_cast<Hook*>(context);
  if (const auto* connection = owner->table_.find(handle); connection != nullptr && !connection->finishing) {
    connection->user->on_input(handle, bufferevent_get_input(stream));
  }
}

void Connections::write_callback(bufferevent*, void* context) {
  const auto [owner, handle] = *static_cast<Hook*>(context);
  if (const auto* connection = owner->table_.find(handle); connection != nullptr && connection->finishing) {
    owner->drop(handle, reason::finished);
  }
}

void Connections::event_callback(bufferevent*, short what, void* context) {
  const auto [owner, handle] = *static_cast<Hook*>(context);
  owner->on_event(handle, what);
}

void Connections::on_event(Handle handle, short what) {
  const int error = EVUTIL_SOCKET_ERROR();
  auto* connection = table_.find(handle);
  if (connection == nullptr) return;
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    if (connection->secured != nullptr) {
      const char* why =
          tls::Context::accept(bufferevent_openssl_get_ssl(connection->stream), *connection->secured);
      if (why != nullptr) {
        log_refused(*connection, why);
        return drop(handle, why);
      }
    }
    connection->connected = true;
    timers_.cancel(connection->timeout);
    bufferevent_enable(connection->stream, EV_READ | EV_WRITE);
    connection->user->on_connected(handle);
    return;
  }
  if (connection->secured != nullptr && (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    const auto fault = bufferevent_get_openssl_error(connection->stream);
    auto* ssl = bufferevent_openssl_get_ssl(connection->stream);
    // Refused before the handshake: it is no fault of TLS.
    const bool came_up = SSL_in_before(ssl) == 0;
    const char* why = came_up ? tls::Context::reason_of(ssl, *connection->secured, fault) : nullptr;
    if (why != nullptr) {
      log_refused(*connection, why);
      return drop(handle, why);
    }
  }
  if ((what & BEV_EVENT_EOF) != 0) return drop(handle, reason::peer_closed);
  if ((what & BEV_EVENT_ERROR) != 0) {
    const char* why = reason_of(error);
    drop(handle, connection->connected ? reason::reset : why);
  }
}

}  // namespace heathturn
