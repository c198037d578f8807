#include "platform/release_sender.hpp"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

#include "platform/message.hpp"

namespace heathturn {
namespace {

constexpr double quiet_period_ms = 50;
constexpr std::size_t max_queued_releases = 4096;  // the oldest is dropped beyond that
constexpr double release_ack_timeout_ms = 250;     // a caller must learn of the end of its call within 1 s
constexpr int max_release_transmissions = 3;       // per call, each on another connection if there is one

}  // namespace

ReleaseSender::ReleaseSender(Clock& clock, TimerQueue& timers, Connections& net)
    : clock_(clock), timers_(timers), net_(net) {}

// ---- Connections ----------------------------------------------------------------------------------------

/// A connection opened for a readiness test is closed by its peer right after the reply, and a release sent
/// on it would be abandoned. Releases are therefore sent only on connections that carried a request or were
/// quiet for a while after they were opened.
void ReleaseSender::connection_opened(Handle connection) {
  connections_[connection] = {};
  timers_.schedule(clock_.now_ms() + quiet_period_ms, [this, connection] {
    const auto it = connections_.find(connection);
    if (it != connections_.end() && it->second.last_message_sequence == 0)
      raise_rank(connection, Rank::quiet);
  });
}

void ReleaseSender::message_received(Handle connection) {
  connections_[connection].last_message_sequence = ++message_sequence_;
}

void ReleaseSender::raise_rank(Handle connection, Rank rank) {
  const auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  const bool was_ineligible = it->second.rank == Rank::ineligible;
  it->second.rank = std::max(it->second.rank, rank);
  if (!was_ineligible) return;
  for (auto& release : std::exchange(queued_, {}))
    transmit(release.call_id, std::move(release.line), connection, no_handle, 0);
}

void ReleaseSender::connection_ended(Handle connection) {
  connections_.erase(connection);
  std::vector<std::string> call_ids;
  for (const auto& [call_id, release] : unacknowledged_) {
    if (release.connection == connection) call_ids.push_back(call_id);
  }
  for (const auto& call_id : call_ids) {
    auto release = unacknowledged_[call_id];
    erase_unacknowledged(call_id);
    transmit(call_id, std::move(release.line), no_handle, no_handle, release.transmissions - 1);
  }
}

/// The preferred connection if it is eligible, else the one with the highest rank and, among equals, the most
/// recent message, avoiding `avoided` if there is another. no_handle if none is eligible.
Handle ReleaseSender::select_connection(Handle preferred, Handle avoided) const {
  const auto preferred_state = connections_.find(preferred);
  if (preferred_state != connections_.end() && preferred_state->second.rank != Rank::ineligible)
    return preferred;
  const auto order = [avoided](const auto& each) {
    return std::tuple(each.first != avoided, each.second.rank, each.second.last_message_sequence);
  };
  auto best = connections_.end();
  for (auto it = connections_.begin(); it != connections_.end(); ++it) {
    if (it->second.rank == Rank::ineligible) continue;
    if (best == connections_.end() || order(*it) > order(*best)) best = it;
  }
  return best == connections_.end() ? no_handle : best->first;
}

// ---- Releases -------------------------------------------------------------------------------------------

void ReleaseSender::send(const std::string& call_id, int cause_code, Handle preferred) {
  Message message;
  message.call_id = call_id;
  message.code = cause_code;
  transmit(call_id, serialize_message(message), preferred, no_handle, 0);
}

/// Writes the release to a connection, or queues it. `transmissions`: how often it was written before.
void ReleaseSender::transmit(const std::string& call_id, std::string line, Handle preferred, Handle avoided,
                             int transmissions) {
  while (true) {
    const auto connection = select_connection(preferred, avoided);
    if (connection == no_handle) break;
    if (net_.write(connection, line))
      return expect_acknowledgement(call_id, {connection, std::move(line), transmissions + 1, {}});
    connections_.erase(connection);
  }
  if (queued_.size() >= max_queued_releases) queued_.pop_front();
  queued_.push_back({call_id, std::move(line)});
}

/// Where callers acknowledge releases, an unacknowledged one is transmitted again, so that it is not lost on
/// a connection whose peer does not process it.
void ReleaseSender::expect_acknowledgement(const std::string& call_id, UnacknowledgedRelease release) {
  erase_unacknowledged(call_id);
  unacknowledged_[call_id] = std::move(release);
  schedule_check(call_id);
}

void ReleaseSender::schedule_check(const std::string& call_id) {
  unacknowledged_[call_id].retry_timer =
      timers_.schedule(clock_.now_ms() + release_ack_timeout_ms, [this, call_id] { check(call_id); });
}

/// Transmits a release that was not acknowledged on another connection. Where callers don't acknowledge
/// releases, it counts as delivered once its connection has no unsent output.
void ReleaseSender::check(const std::string& call_id) {
  auto& release = unacknowledged_[call_id];
  if (!callers_acknowledge_ && net_.unsent_bytes(release.connection) > 0) return schedule_check(call_id);
  auto unacknowledged = std::move(release);
  unacknowledged_.erase(call_id);
  if (!callers_acknowledge_ || unacknowledged.transmissions >= max_release_transmissions) return;
  transmit(call_id, std::move(unacknowledged.line), no_handle, unacknowledged.connection,
           unacknowledged.transmissions);
}

void ReleaseSender::acknowledged(const std::string& call_id) {
  callers_acknowledge_ = true;
  erase_unacknowledged(call_id);
}

void ReleaseSender::erase_unacknowledged(const std::string& call_id) {
  const auto it = unacknowledged_.find(call_id);
  if (it == unacknowledged_.end()) return;
  timers_.cancel(it->second.retry_timer);
  unacknowledged_.erase(it);
}

}  // namespace heathturn
