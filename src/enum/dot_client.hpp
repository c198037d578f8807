// DNS over TLS (RFC 7858) towards name servers: a few kept connections to each, many look-ups on one, opened
// as the admission of handshakes allows.
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

/// Who asks over these links.
class DotClientHandler {
 public:
  virtual ~DotClientHandler() = default;
  /// The look-up as a message with this id, which its answer will bear.
  virtual std::string serialize_query(Handle attempt, std::uint16_t id) = 0;
  /// The attempt is over for these links, whatever the message says.
  virtual void on_dot_answer(Handle attempt, const std::string& message) = 0;
  /// connect_failed: it never left; reset: it may have run.
  virtual void on_dot_failed(Handle attempt, maddershed::AttemptResult result) = 0;
};

class DotClient : public ConnectionUser {
 public:
  DotClient(Clock& clock, TimerQueue& timers, Connections& net, const handshakes::Settings& settings,
            std::uint64_t seed, DotClientHandler& user);

  /// A server is listed, or listed anew. Connections opened from now on go by this context.
  void update_server(ExchangeId server, const Address& address, const std::string& name,
                     std::shared_ptr<tls::Context> context);
  /// It is listed no more: nothing new goes there, what is out may end.
  void remove_server(ExchangeId server);

  /// `due`: when the look-up is of no use any more.
  void send(Handle attempt, ExchangeId server, double due);
  void abandon(Handle attempt);

  [[nodiscard]] const handshakes::Admission::Counts& counts() const { return admission_.counts(); }
  /// Ended handshakes and connections by reason, TLS's own ones.
  [[nodiscard]] const std::map<std::string, std::uint64_t>& tls_failures() const { return tls_failures_; }

  void on_connected(Handle connection) override;
  void on_input(Handle connection, evbuffer* in) override;
  void on_ended(Handle connection, const char* reason) override;

 private:
  struct Line {
    ExchangeId server;
    handshakes::Kind admitted = handshakes::Kind::full;
    double since = 0;
    bool open = false;
    bool retiring = false;  ///< takes nothing new, and ends with its last look-up
    std::uint16_t next_id = 0;
    std::unordered_map<std::uint16_t, Handle> asked;  ///< attempts, by message id
  };
  struct Waiting {
    Handle attempt = no_handle;
    double due = 0;
  };
  struct Server {
    Address address;
    std::string name;
    std::shared_ptr<tls::Context> context;
    std::deque<Waiting> waiting;
    std::vector<Handle> lines;
    TimerQueue::Key ask;
    bool listed = false;
  };
  struct At {
    ExchangeId server;
    Handle line = no_handle;  ///< none while it waits
    std::uint16_t id = 0;
  };
  void pump(ExchangeId id);
  void dispatch(ExchangeId id);
  void open(ExchangeId id, Server& server, handshakes::Kind admitted);
  void retire_if_idle(Handle connection);
  void forget_if_done(ExchangeId id);
  void fail(Handle attempt, maddershed::AttemptResult result);

  Clock& clock_;
  TimerQueue& timers_;
  Connections& net_;
  DotClientHandler& user_;
  handshakes::Admission admission_;
  std::map<ExchangeId, Server> servers_;
  std::unordered_map<Handle, Line> lines_;  ///< by connection
  std::unordered_map<Handle, At> attempts_;
  std::map<std::string, std::uint64_t> tls_failures_;
};

}  // namespace heathturn
