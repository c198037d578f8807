// The releases that were sent to one converter and that it has not acknowledged.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "core/slots.hpp"

namespace heathturn {

/// Tracks each copy of a release until the converter acknowledges it. A copy that was not acknowledged may
/// still arrive, however late, and the converter may still answer the set-up that it releases.
class UnacknowledgedReleases {
 public:
  /// A copy of the release was written to this connection at this time (Unix, in ms).
  void add(const std::string& call_id, Handle connection, double now_ms);
  /// The converter acknowledged a copy, usually on the connection that it arrived on.
  void acknowledged(const std::string& call_id, Handle connection);
  /// Who ended a connection. A peer discards what it has not read; what it has not got when this process
  /// closes the connection may arrive later.
  enum class EndedBy { peer, this_process };
  /// Returns the calls with no copy in flight any more that may not have been released: a peer that ends a
  /// connection has read what was written to it before `read_before_ms`.
  std::vector<std::string> connection_ended(Handle connection, EndedBy ended_by, double read_before_ms);
  /// Whether a release of this call may still arrive at the converter.
  [[nodiscard]] bool may_arrive(const std::string& call_id) const { return by_call_id_.contains(call_id); }
  [[nodiscard]] bool empty() const { return by_call_id_.empty(); }
  /// Returns all calls, and forgets them.
  std::vector<std::string> take_all();
  /// Forgets the calls whose latest copy was sent before this time.
  void forget_sent_before(double time_ms);

 private:
  struct State {
    std::vector<Handle> connections;    ///< of the copies in flight
    bool acknowledgement_lost = false;  ///< a copy was in flight on a connection that this process closed
    double last_sent_at_ms = 0;
  };
  std::unordered_map<std::string, State> by_call_id_;
};

}  // namespace heathturn
