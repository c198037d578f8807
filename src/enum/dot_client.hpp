// Client for DNS over TLS (RFC 7858): keeps a few connections to each name server, sends many look-ups over
// one connection, and opens connections as the handshake admission allows.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/router.hpp"
#include "handshakes/admission.hpp"
#include "net/connections.hpp"

namespace heathturn {

/// Serializes the look-ups that a DotClient sends, and receives their results.
class DotClientHandler {
 public:
  virtual ~DotClientHandler() = default;
  /// Returns the query of the attempt with this message id, which its answer must carry.
  virtual std::string serialize_query(Handle attempt, std::uint16_t message_id) = 0;
  /// The client forgets the attempt, whatever the message says.
  virtual void on_dot_answer(Handle attempt, const std::string& message) = 0;
  /// `result`: not_sent or connect_failed if the query was never sent, reset if the server may have run it.
  virtual void on_dot_failed(Handle attempt, maddershed::AttemptResult result) = 0;
};

/// Sends look-ups to name servers over TLS, on behalf of one handler.
class DotClient : public ConnectionHandler {
 public:
  DotClient(Clock& clock, TimerQueue& timers, Connections& net, const handshakes::Settings& settings,
            std::uint64_t seed, DotClientHandler& handler);

  /// Adds a server or updates its data. New connections use this TLS context.
  void update_server(ExchangeId server, const Address& address, const std::string& name,
                     std::shared_ptr<tls::Context> context);
  /// No new look-up is sent to the server; those in flight may finish.
  void remove_server(ExchangeId server);

  /// Sends the look-up of the attempt, at once or when a connection has room. `deadline_ms` (Unix time): the
  /// answer is useless afterwards.
  void send(Handle attempt, ExchangeId server, double deadline_ms);
  /// The handler no longer waits for the attempt and gets no report on it.
  void abandon(Handle attempt);

  /// Counts of the handshakes.
  [[nodiscard]] const handshakes::Admission::Counts& counts() const { return admission_.counts(); }
  /// Number of handshakes and connections that ended for each TLS reason ("tls_...").
  [[nodiscard]] const std::map<std::string, std::uint64_t>& tls_failures() const { return tls_failures_; }

  void on_connected(Handle connection) override;
  void on_input(Handle connection, evbuffer* in) override;
  void on_ended(Handle connection, const char* reason) override;

 private:
  struct ConnectionState {
    ExchangeId server;
    handshakes::Kind admitted = handshakes::Kind::full;
    double since_ms = 0;  ///< when it was opened or, once established, when it was established
    bool established = false;
    bool retiring = false;  ///< gets no new look-up, and is closed after its last one
    std::uint16_t next_message_id = 0;
    std::unordered_map<std::uint16_t, Handle> attempts;  ///< by message id; no_handle: abandoned
  };
  struct QueuedAttempt {
    Handle attempt = no_handle;
    double deadline_ms = 0;
  };
  struct Server {
    Address address;
    std::string name;
    std::shared_ptr<tls::Context> context;
    std::deque<QueuedAttempt> queue;
    std::vector<Handle> connections;
    TimerQueue::Key admission_timer;
    bool listed = false;
  };
  struct AttemptState {
    ExchangeId server;
    Handle connection = no_handle;  ///< no_handle while the attempt is queued
    std::uint16_t message_id = 0;
  };
  void process_queue(ExchangeId id);
  void send_queued(ExchangeId id);
  void open_connection(ExchangeId id, Server& server, handshakes::Kind admitted);
  void close_if_unused(Handle connection);
  void erase_if_unused(ExchangeId id);
  void fail_attempt(Handle attempt, maddershed::AttemptResult result);

  Clock& clock_;
  TimerQueue& timers_;
  Connections& net_;
  DotClientHandler& handler_;
  handshakes::Admission admission_;
  std::map<ExchangeId, Server> servers_;
  std::unordered_map<Handle, ConnectionState> connections_;
  std::unordered_map<Handle, AttemptState> attempts_;
  std::map<std::string, std::uint64_t> tls_failures_;
};

}  // namespace heathturn
