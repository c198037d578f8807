// The event loop, and every stream connection in one table of numbered slots.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "core/clock.hpp"
#include "core/slots.hpp"
#include "core/timer_queue.hpp"
#include "log/event.hpp"
#include "net/address.hpp"
#include "net/framing.hpp"
#include "net/tls/context.hpp"

namespace heathturn {

/// What a connection ended by, as the log names it.
namespace reason {
inline constexpr const char* peer_closed = "peer_closed";
inline constexpr const char* reset = "reset";
inline constexpr const char* refused = "refused";
inline constexpr const char* unreachable = "unreachable";
inline constexpr const char* connect_timeout = "connect_timeout";
inline constexpr const char* over_long = "over_long";
inline constexpr const char* malformed = "malformed";
inline constexpr const char* unknown_op = "unknown_op";
inline constexpr const char* slow_reader = "slow_reader";
inline constexpr const char* silent = "silent";
inline constexpr const char* too_many = "too_many";
inline constexpr const char* withdrawn = "withdrawn";
inline constexpr const char* idle = "idle";
inline constexpr const char* finished = "finished";
}  // namespace reason

/// Thrown by who reads a message that cannot be used: its connection ends by this reason.
struct Unreadable {
  const char* reason;
};

/// The owner of connections of one kind.
class ConnectionUser {
 public:
  virtual ~ConnectionUser() = default;
  virtual void on_connected(Handle) {}
  virtual void on_input(Handle connection, evbuffer* in) = 0;
  /// The connection is gone already; `reason` says by what.
  virtual void on_ended(Handle connection, const char* reason) = 0;
};

class Connections {
 public:
  Connections(Clock& clock, TimerQueue& timers, LogSink log);
  ~Connections();
  Connections(const Connections&) = delete;
  Connections& operator=(const Connections&) = delete;

  /// Runs until stop(); deadlines are served between the events.
  void run();
  void stop() { stopping_ = true; }
  [[nodiscard]] event_base* base() const { return base_.get(); }

  /// `side` names the kind of peer in the log.
  Handle connect(const Address& to, ConnectionUser& user, const char* side, double timeout_ms);
  /// The same with TLS: `timeout_ms` bounds the handshake too, and on_connected() comes after it. The id and
  /// name are the converter's; its own session is taken up again where there is one. `offered`: there was
  /// one.
  struct Secured {
    std::shared_ptr<tls::Context> context;
    std::uint32_t id = 0;
    std::string name;
  };
  Handle connect(const Address& to, ConnectionUser& user, const char* side, double timeout_ms,
                 const Secured& secured, bool& offered);
  /// Of an open TLS connection: its session was taken up again.
  [[nodiscard]] bool resumed(Handle connection);
  /// When the certificate ends that the peer has shown, Unix ms; 0 for none.
  [[nodiscard]] double shown_not_after(Handle connection);
  /// What the peers of a listener may hold here.
  struct Bounds {
    std::size_t connections = 0;  ///< beyond, the idlest one makes room
    std::size_t requests = 0;     ///< open at once on one connection; 0: no bound
    double first_message_ms = 0;  ///< a connection without a whole message ends after this; 0: never
  };
  /// Returns where it listens. Throws std::runtime_error when the address cannot be had.
  Address listen(const Address& at, ConnectionUser& user, const char* side, const Bounds& bounds);
  void listen_local(const std::string& path, ConnectionUser& user, const char* side, std::size_t most);
  /// Other bounds for who connects from now on to the listener at this address.
  void set_bounds(const Address& at, const Bounds& bounds);
  /// Bytes that one peer may leave unread.
  void set_most_unsent(std::size_t bytes) { most_unsent_ = bytes; }
  /// A request is open on the connection, which is not ended for its idleness until end_request(). False when
  /// it has as many already as it may have.
  bool begin_request(Handle connection);
  void end_request(Handle connection);
  using Take = std::function<void(const std::string&)>;
  /// Gives `take` each whole line that has come, or each message behind a count of `width` bytes. One longer
  /// than `most` ends the connection, and so does Unreadable.
  void each_line(Handle connection, evbuffer* in, std::size_t most, const Take& take);
  void each_counted(Handle connection, evbuffer* in, std::size_t width, std::size_t most, const Take& take);
  /// False when the connection is gone, or ends here because the peer does not read.
  bool write(Handle connection, std::string_view bytes);
  void close(Handle connection, const char* reason);
  /// Ends the connection once all that was written has left.
  void finish(Handle connection);
  [[nodiscard]] bool has(Handle connection) { return table_.find(connection) != nullptr; }
  /// Where the peer is; nothing for a local one.
  [[nodiscard]] Address peer(Handle connection);
  [[nodiscard]] std::size_t unsent();
  [[nodiscard]] std::size_t size() const { return table_.size(); }

 private:
  struct Listener {
    Connections* owner = nullptr;
    ConnectionUser* user = nullptr;
    const char* side = "";
    Bounds bounds;
    std::size_t open = 0;
    evconnlistener* handle = nullptr;
    Address at;
    TimerQueue::Key reopen;
  };
  struct Connection {
    bufferevent* stream = nullptr;
    ConnectionUser* user = nullptr;
    const char* side = "";
    std::string peer;
    Address address;
    double since = 0;
    double heard = 0;          ///< its last whole message
    std::size_t requests = 0;  ///< open ones
    bool spoken = false;       ///< a whole message has come
    bool connected = false;
    bool finishing = false;
    Listener* listener = nullptr;
    TimerQueue::Key timeout;
    std::shared_ptr<tls::Context> context;  ///< outlives what the SSL holds of it
    std::shared_ptr<tls::Context::Connection> secured;
  };
  /// What a bufferevent's callbacks are given: it lives as long as the bufferevent.
  struct Hook {
    Connections* owner;
    Handle connection;
  };
  void each(Handle connection, const std::function<Framed(std::string&)>& next, const Take& take);
  Handle adopt(bufferevent* stream, Connection connection);
  Handle begin(bufferevent* stream, Connection connection, const Address& to, double timeout_ms);
  void log_refused(const Connection& connection, const char* why);
  void bind(evconnlistener* handle, ConnectionUser& user, const char* side, const Bounds& bounds);
  bool make_room(Listener& listener);
  void accepted(Listener& listener, evutil_socket_t socket, sockaddr* from);
  void drop(Handle connection, const char* reason);
  void on_event(Handle connection, short what);
  static void read_callback(bufferevent* stream, void* context);
  static void write_callback(bufferevent* stream, void* context);
  static void event_callback(bufferevent* stream, short what, void* context);

  Clock& clock_;
  TimerQueue& timers_;
  LogSink log_;
  std::unique_ptr<event_base, void (*)(event_base*)> base_;
  SlotTable<Connection> table_;
  std::map<Handle, std::unique_ptr<Hook>> hooks_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::size_t most_unsent_ = std::size_t{1} << 20;
  bool stopping_ = false;
};

}  // namespace heathturn
