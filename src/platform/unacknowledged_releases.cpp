#include "platform/unacknowledged_releases.hpp"

#include <algorithm>

namespace heathturn {
namespace {

constexpr std::size_t max_calls = 4096;  // of one converter; releases beyond that are not tracked

}  // namespace

void UnacknowledgedReleases::add(const std::string& call_id, Handle connection, double now_ms) {
  if (by_call_id_.size() >= max_calls && !by_call_id_.contains(call_id)) return;
  auto& state = by_call_id_[call_id];
  state.connections.push_back(connection);
  state.last_sent_at_ms = now_ms;
}

void UnacknowledgedReleases::acknowledged(const std::string& call_id, Handle connection) {
  const auto it = by_call_id_.find(call_id);
  if (it == by_call_id_.end()) return;
  auto& connections = it->second.connections;
  auto copy = std::find(connections.begin(), connections.end(), connection);
  if (copy == connections.end()) copy = connections.begin();  // acknowledged on another connection
  if (copy != connections.end()) connections.erase(copy);
  if (connections.empty() && !it->second.acknowledgement_lost) by_call_id_.erase(it);
}

std::vector<std::string> UnacknowledgedReleases::connection_ended(Handle connection, EndedBy ended_by,
                                                                  double read_before_ms) {
  std::vector<std::string> unreleased;
  for (auto it = by_call_id_.begin(); it != by_call_id_.end();) {
    auto& [call_id, state] = *it;
    if (std::erase(state.connections, connection) == 0) {
      ++it;
      continue;
    }
    const bool may_be_unread = ended_by == EndedBy::this_process || state.last_sent_at_ms >= read_before_ms;
    if (ended_by == EndedBy::this_process) state.acknowledgement_lost = true;
    if (state.connections.empty() && may_be_unread) unreleased.push_back(call_id);
    it = state.connections.empty() && !state.acknowledgement_lost ? by_call_id_.erase(it) : std::next(it);
  }
  return unreleased;
}

std::vector<std::string> UnacknowledgedReleases::take_all() {
  std::vector<std::string> call_ids;
  call_ids.reserve(by_call_id_.size());
  for (const auto& [call_id, state] : by_call_id_) call_ids.push_back(call_id);
  by_call_id_.clear();
  return call_ids;
}

void UnacknowledgedReleases::forget_sent_before(double time_ms) {
  std::erase_if(by_call_id_, [time_ms](const auto& each) { return each.second.last_sent_at_ms < time_ms; });
}

}  // namespace heathturn
