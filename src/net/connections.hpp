// The event loop and all stream connections (TCP, TLS, Unix sockets), kept in one table and identified by
// handles.
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

/// Reason codes for the end of a connection, as written to the log.
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

/// Thrown by a message handler for an invalid message. The connection is closed with this reason code.
struct ProtocolError {
  const char* reason_code;
};

/// Receives the events of the connections that it opened or accepted.
class ConnectionHandler {
 public:
  virtual ~ConnectionHandler() = default;
  /// The connection is established; with TLS, after the handshake and the verification of the peer.
  virtual void on_connected(Handle) {}
  /// New data has been appended to `in`, which holds all unread input.
  virtual void on_input(Handle connection, evbuffer* in) = 0;
  /// The connection has been closed and its handle is stale.
  virtual void on_ended(Handle connection, const char* reason_code) = 0;
};

/// How long a connection may hold more unsent output than its limit before its peer counts as a slow reader.
inline constexpr double congestion_timeout_ms = 2000;

/// Opens, accepts, reads, writes and closes stream connections, and runs the event loop. Runs on one thread.
class Connections {
 public:
  Connections(Clock& clock, TimerQueue& timers, LogSink log);
  ~Connections();
  Connections(const Connections&) = delete;
  Connections& operator=(const Connections&) = delete;

  /// Runs the event loop until stop(), with due timers between the events. May be called again after that.
  void run();
  void stop() { stopping_ = true; }
  [[nodiscard]] event_base* base() const { return base_.get(); }

  /// Opens a connection, which ends after `timeout_ms` if it is not established by then. `side` names the
  /// kind of peer in the log. The handler is never called from within connect().
  Handle connect(const Address& to, ConnectionHandler& handler, const char* side, double timeout_ms);
  /// The peer of an outgoing TLS connection: its TLS settings, and the id and name of the converter.
  struct TlsPeer {
    std::shared_ptr<tls::Context> context;
    std::uint32_t id = 0;
    std::string name;
  };
  /// The same with TLS: `timeout_ms` covers the handshake too. Offers a session of this peer for resumption
  /// if one is cached; `session_offered` says whether it did. Throws std::bad_alloc.
  Handle connect(const Address& to, ConnectionHandler& handler, const char* side, double timeout_ms,
                 const TlsPeer& tls_peer, bool& session_offered);
  /// Whether an open TLS connection resumed a session.
  [[nodiscard]] bool session_resumed(Handle connection);
  /// When the certificate presented by the peer expires, in Unix ms; 0 without a certificate.
  [[nodiscard]] double peer_certificate_not_after_ms(Handle connection);
  /// Limits on the connections that a listener accepts.
  struct Limits {
    std::size_t max_connections = 0;      ///< when reached, the idlest one is closed
    std::size_t max_open_requests = 0;    ///< on one connection; 0: no limit
    double first_message_timeout_ms = 0;  ///< for its first whole message; 0: none
  };
  /// Listens on a TCP address and returns the bound one. Throws std::runtime_error if that fails.
  Address listen(const Address& at, ConnectionHandler& handler, const char* side, const Limits& limits);
  /// Listens on a Unix socket that only its owner may use. Replaces a socket that nobody listens on any more.
  /// Throws std::runtime_error if the path is in use or too long.
  void listen_local(const std::string& path, ConnectionHandler& handler, const char* side,
                    std::size_t max_connections);
  /// Replaces the limits of the listener at this address. Connections that are open already stay open.
  void set_limits(const Address& at, const Limits& limits);
  /// Limits the output that waits for peers, in bytes.
  struct OutputLimits {
    /// For one connection. Output queued in one turn of the event loop may exceed it, because the peer had no
    /// chance to read it yet; a connection that stays above it for congestion_timeout_ms ends.
    std::size_t per_connection = std::size_t{1} << 20;
    /// For all connections: output that exceeds it ends its connection at once, unless that connection stays
    /// within its own limit.
    std::size_t total = std::size_t{64} << 20;
  };
  void set_output_limits(const OutputLimits& limits) { output_limits_ = limits; }
  /// Counts an open request: until end_request() the connection is not closed as idle. False if the
  /// connection has ended, so that nobody would get the answer, or has reached its limit of open requests.
  bool begin_request(Handle connection);
  void end_request(Handle connection);
  using MessageCallback = std::function<void(const std::string&)>;
  /// Calls `on_message` for each complete line in the input. A line longer than `max_bytes`, or a
  /// ProtocolError thrown by the callback, ends the connection.
  void read_lines(Handle connection, evbuffer* in, std::size_t max_bytes, const MessageCallback& on_message);
  /// The same for messages that follow a big-endian length of `width` bytes.
  void read_length_prefixed(Handle connection, evbuffer* in, std::size_t width, std::size_t max_bytes,
                            const MessageCallback& on_message);
  /// Queues output. False if the connection has ended or is finishing, or ends now because the output of all
  /// connections would exceed its limit. While more than its limit waits on a connection, nothing is read
  /// from it.
  bool write(Handle connection, std::string_view bytes);
  /// Closes the connection at once, without waiting for unsent output.
  void close(Handle connection, const char* reason_code);
  /// Closes the connection once all output has been sent; input is no longer read.
  void finish(Handle connection);
  /// Whether the peer has closed its side, or reset the connection; input that it sent before may still be
  /// unread.
  [[nodiscard]] bool peer_has_closed(Handle connection);
  [[nodiscard]] bool has(Handle connection) { return table_.find(connection) != nullptr; }
  /// The address of the peer; empty for a Unix socket.
  [[nodiscard]] Address peer(Handle connection);
  /// Output of all established connections that has not been sent yet.
  [[nodiscard]] std::size_t unsent_bytes();
  /// Output of one connection that has not been sent yet; 0 if the handle is stale.
  [[nodiscard]] std::size_t unsent_bytes(Handle connection);
  /// Number of connections, including those not yet established.
  [[nodiscard]] std::size_t size() const { return table_.size(); }

 private:
  struct Listener {
    Connections* owner = nullptr;
    ConnectionHandler* handler = nullptr;
    const char* side = "";
    Limits limits;
    std::size_t open_connections = 0;
    evconnlistener* event_listener = nullptr;
    Address address;
    TimerQueue::Key reopen;
  };
  struct Connection {
    bufferevent* stream = nullptr;
    ConnectionHandler* handler = nullptr;
    const char* side = "";
    std::string peer;
    Address address;
    double opened_at_ms = 0;
    double last_message_at_ms = 0;  ///< when the last whole message arrived
    std::size_t open_requests = 0;
    bool message_received = false;
    bool connected = false;
    bool finishing = false;
    bool congested = false;  ///< more output waits than the limit of one connection; reading is paused
    Listener* listener = nullptr;
    TimerQueue::Key timeout;
    TimerQueue::Key congestion_timeout;
    std::shared_ptr<tls::Context> tls_context;  ///< keeps the SSL_CTX alive as long as the SSL
    std::shared_ptr<tls::Context::ConnectionState> tls_state;
  };
  /// Argument of a bufferevent's callbacks; lives as long as the bufferevent.
  struct CallbackContext {
    Connections* owner;
    Handle connection;
  };
  void read_messages(Handle connection, const std::function<FrameStatus(std::string&)>& next_message,
                     const MessageCallback& on_message);
  Handle add_connection(bufferevent* stream, Connection connection);
  Handle start_connecting(bufferevent* stream, Connection connection, const Address& to, double timeout_ms);
  void log_tls_refused(const Connection& connection, const char* reason_code);
  void add_listener(evconnlistener* event_listener, ConnectionHandler& handler, const char* side,
                    const Limits& limits);
  bool close_idlest(Listener& listener);
  void on_accepted(Listener& listener, evutil_socket_t socket, sockaddr* from);
  void end_connection(Handle connection, const char* reason_code);
  void begin_congestion(Handle handle, Connection& connection);
  void end_congestion(Handle handle, Connection& connection);
  void on_output_sent(Handle handle);
  void on_event(Handle connection, short events);
  static void read_callback(bufferevent* stream, void* context);
  static void write_callback(bufferevent* stream, void* context);
  static void event_callback(bufferevent* stream, short events, void* context);

  Clock& clock_;
  TimerQueue& timers_;
  LogSink log_;
  std::unique_ptr<event_base, void (*)(event_base*)> base_;
  SlotTable<Connection> table_;
  std::map<Handle, std::unique_ptr<CallbackContext>> callback_contexts_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  OutputLimits output_limits_;
  bool stopping_ = false;
};

}  // namespace heathturn
