#include "platform/release_sender.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "platform/message.hpp"

namespace heathturn {
namespace {

constexpr double silent_period_ms = 50;
constexpr std::size_t max_pending_releases = 4096;  // the oldest is dropped beyond that
constexpr double release_ack_timeout_ms = 250;      // a caller must learn of the end of its call within 1 s
constexpr int checks_before_backoff = 3;
constexpr double max_check_interval_ms = 4000;
// Rule: the caller learns of the end within 8 s. A caller that was sent the release and is still connected by
// then does not acknowledge it.
constexpr double acknowledgement_deadline_ms = 10000;
// Limits on what peers that may be no callers can make the program send.
constexpr int max_transmissions_to_silent_peers = 3;
constexpr int max_transmissions_to_releasing_peers = 8;

double check_interval_ms(int checks) {
  const int doublings = std::max(0, checks - checks_before_backoff);
  return std::min(max_check_interval_ms, std::ldexp(release_ack_timeout_ms, doublings));
}

bool contains(const std::vector<Handle>& connections, Handle connection) {
  return std::find(connections.begin(), connections.end(), connection) != connections.end();
}

}  // namespace

ReleaseSender::ReleaseSender(Clock& clock, TimerQueue& timers, Connections& net)
    : clock_(clock), timers_(timers), net_(net) {}

// ---- Connections ----------------------------------------------------------------------------------------

/// A connection opened for a readiness test is closed by its peer right after the reply, and a release sent
/// on it would be abandoned. A connection is therefore eligible once it was silent for a while after it was
/// opened, or carried what only callers send.
void ReleaseSender::connection_opened(Handle connection) {
  connections_[connection] = {};
  timers_.schedule(clock_.now_ms() + silent_period_ms, [this, connection] {
    const auto it = connections_.find(connection);
    if (it != connections_.end() && it->second.last_message_sequence == 0)
      raise_rank(connection, Rank::silent);
  });
}

void ReleaseSender::message_received(Handle connection) {
  connections_[connection].last_message_sequence = ++message_sequence_;
}

void ReleaseSender::raise_rank(Handle connection, Rank rank) {
  const auto it = connections_.find(connection);
  if (it == connections_.end() || it->second.rank >= rank) return;
  const bool was_caller = is_caller(connection);
  it->second.rank = rank;
  if (was_caller) return;
  for (const auto id : pending_ids()) {
    const auto release = pending_.find(id);
    if (release == pending_.end() || !may_send(release->second, connection)) continue;
    // A release that a caller was sent is sent again only when its acknowledgement is overdue everywhere.
    const bool acknowledgement_due = release->second.checks > 0;
    if (!written_to_caller(release->second) || acknowledgement_due) transmit(id, connection);
  }
}

void ReleaseSender::connection_ended(Handle connection) {
  connections_.erase(connection);
  for (const auto id : pending_ids()) {
    const auto it = pending_.find(id);
    if (it == pending_.end() || std::erase(it->second.connections, connection) == 0) continue;
    if (!written_to_caller(it->second)) {
      it->second.checks = 0;
      it->second.expires_at_ms = 0;
    }
    transmit(id, no_handle);
  }
}

bool ReleaseSender::is_caller(Handle connection) const {
  const auto it = connections_.find(connection);
  return it != connections_.end() && it->second.rank >= Rank::requested;
}

bool ReleaseSender::written_to_caller(const PendingRelease& release) const {
  return std::any_of(release.connections.begin(), release.connections.end(),
                     [this](Handle connection) { return is_caller(connection); });
}

/// Whether the release may be sent on this connection, to which it has not been written yet.
bool ReleaseSender::may_send(const PendingRelease& release, Handle connection) const {
  const auto it = connections_.find(connection);
  if (it == connections_.end() || contains(release.connections, connection)) return false;
  const auto rank = it->second.rank;
  const auto sent = release.transmissions.find(rank);
  const int transmissions = sent == release.transmissions.end() ? 0 : sent->second;
  switch (rank) {
    case Rank::ineligible:
      return false;
    case Rank::silent:
      return transmissions < max_transmissions_to_silent_peers;
    case Rank::released:
      return transmissions < max_transmissions_to_releasing_peers;
    case Rank::requested:
    case Rank::served:
      return true;
  }
  return false;
}

/// The preferred connection if the release may be sent on it, else the one with the highest rank and, among
/// equals, the most recent message. no_handle if there is none.
Handle ReleaseSender::select_connection(const PendingRelease& release, Handle preferred) const {
  if (may_send(release, preferred)) return preferred;
  const auto order = [](const auto& each) {
    return std::tuple(each.second.rank, each.second.last_message_sequence);
  };
  auto best = connections_.end();
  for (auto it = connections_.begin(); it != connections_.end(); ++it) {
    if (!may_send(release, it->first)) continue;
    if (best == connections_.end() || order(*it) > order(*best)) best = it;
  }
  return best == connections_.end() ? no_handle : best->first;
}

// ---- Releases -------------------------------------------------------------------------------------------

/// The pending releases, which may change while one of them is sent.
std::vector<ReleaseSender::ReleaseId> ReleaseSender::pending_ids() const {
  std::vector<ReleaseId> ids;
  ids.reserve(pending_.size());
  for (const auto& [id, release] : pending_) ids.push_back(id);
  return ids;
}

void ReleaseSender::send(const std::string& call_id, int cause_code, Handle preferred) {
  if (const auto known = ids_by_call_id_.find(call_id); known != ids_by_call_id_.end()) erase(known->second);
  if (pending_.size() >= max_pending_releases) erase(pending_.begin()->first);
  Message message;
  message.call_id = call_id;
  message.code = cause_code;
  const auto id = ++last_id_;
  auto& release = pending_[id];
  release.call_id = call_id;
  release.line = serialize_message(message);
  ids_by_call_id_[call_id] = id;
  transmit(id, preferred);
}

/// Writes the release to one more connection if there is one, and checks later whether it was acknowledged.
void ReleaseSender::transmit(ReleaseId id, Handle preferred) {
  auto& release = pending_.at(id);
  for (auto connection = select_connection(release, preferred); connection != no_handle;
       connection = select_connection(release, preferred)) {
    if (!net_.write(connection, release.line)) {
      connections_.erase(connection);
      continue;
    }
    release.connections.push_back(connection);
    ++release.transmissions[connections_[connection].rank];
    break;
  }
  timers_.cancel(release.check_timer);
  // Without any transmission the release waits for a connection.
  if (release.connections.empty()) return;
  release.check_timer =
      timers_.schedule(clock_.now_ms() + check_interval_ms(release.checks), [this, id] { check(id); });
}

/// An acknowledgement is due. Where callers acknowledge releases, the release is sent on another connection,
/// so that it is not lost on one whose peer does not process it; elsewhere it is delivered once a caller's
/// connection has no unsent output.
void ReleaseSender::check(ReleaseId id) {
  auto& release = pending_.at(id);
  release.check_timer = {};
  ++release.checks;
  if (!written_to_caller(release)) return transmit(id, no_handle);
  const double now_ms = clock_.now_ms();
  if (release.expires_at_ms == 0) release.expires_at_ms = now_ms + acknowledgement_deadline_ms;
  if (callers_acknowledge_) return now_ms >= release.expires_at_ms ? erase(id) : transmit(id, no_handle);
  const bool delivered = std::any_of(
      release.connections.begin(), release.connections.end(),
      [this](Handle connection) { return is_caller(connection) && net_.unsent_bytes(connection) == 0; });
  if (delivered) return erase(id);
  release.check_timer = timers_.schedule(now_ms + release_ack_timeout_ms, [this, id] { check(id); });
}

void ReleaseSender::acknowledged(const std::string& call_id, Handle connection) {
  callers_acknowledge_ = true;
  const auto it = ids_by_call_id_.find(call_id);
  if (it == ids_by_call_id_.end() || !contains(pending_.at(it->second).connections, connection)) return;
  erase(it->second);
  raise_rank(connection, Rank::released);
}

void ReleaseSender::erase(ReleaseId id) {
  const auto it = pending_.find(id);
  if (it == pending_.end()) return;
  timers_.cancel(it->second.check_timer);
  ids_by_call_id_.erase(it->second.call_id);
  pending_.erase(it);
}

}  // namespace heathturn
