// Delivers the releases of established calls to callers. Which connections get a release, and how long it is
// kept, is explained in docs/design/releases.md.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/clock.hpp"
#include "core/timer_queue.hpp"
#include "net/connections.hpp"

namespace heathturn {

/// Sends releases on the callers' connections. An established call is not bound to a connection: its release
/// is sent on any of them, and kept until a caller has it.
class ReleaseSender {
 public:
  /// How suitable a connection is for sending releases; higher values are preferred. Only `requested` and
  /// `served` show that the peer is a caller with calls here: a release sent on any other connection is kept
  /// for those.
  enum class Rank {
    ineligible,
    silent,     ///< open for a while without a message
    released,   ///< carried a release of a call that this process does not know, or acknowledged a release
    requested,  ///< carried a request, or the release of a known call
    served      ///< carried an answer that established a call
  };
  ReleaseSender(Clock& clock, TimerQueue& timers, Connections& net);

  /// Sends the release of a call, on the preferred connection if that is eligible.
  void send(const std::string& call_id, int cause_code, Handle preferred);
  /// The peer of the connection confirmed the release.
  void acknowledged(const std::string& call_id, Handle connection);

  void connection_opened(Handle connection);
  void message_received(Handle connection);
  /// Makes a connection at least this suitable. The releases that wait for such a connection are written to
  /// it, which may end it.
  void raise_rank(Handle connection, Rank rank);
  /// Sends the releases that were not acknowledged on this connection on another one.
  void connection_ended(Handle connection);

 private:
  struct ConnectionState {
    Rank rank = Rank::ineligible;
    std::uint64_t last_message_sequence = 0;  ///< of its latest message; 0: none received
  };
  /// A release that its caller may not have yet.
  struct PendingRelease {
    std::string call_id;
    std::string line;
    std::vector<Handle> connections;    ///< open ones that it was written to
    std::map<Rank, int> transmissions;  ///< by the connection's rank at that time
    int checks = 0;                     ///< how often an acknowledgement was due
    double expires_at_ms = 0;           ///< set once a caller's connection has it
    TimerQueue::Key check_timer;
  };
  using ReleaseId = std::uint64_t;  ///< in the order in which the calls ended
  [[nodiscard]] bool is_caller(Handle connection) const;
  [[nodiscard]] bool written_to_caller(const PendingRelease& release) const;
  [[nodiscard]] bool may_send(const PendingRelease& release, Handle connection) const;
  [[nodiscard]] Handle select_connection(const PendingRelease& release, Handle preferred) const;
  [[nodiscard]] std::vector<ReleaseId> pending_ids() const;
  void transmit(ReleaseId id, Handle preferred);
  void check(ReleaseId id);
  void erase(ReleaseId id);

  Clock& clock_;
  TimerQueue& timers_;
  Connections& net_;
  std::unordered_map<Handle, ConnectionState> connections_;
  std::map<ReleaseId, PendingRelease> pending_;
  std::unordered_map<std::string, ReleaseId> ids_by_call_id_;
  ReleaseId last_id_ = 0;
  std::uint64_t message_sequence_ = 0;
  bool callers_acknowledge_ = false;  ///< at least one release has been acknowledged
};

}  // namespace heathturn
