#include "routes/weighted_round_robin.hpp"

#include <algorithm>

namespace heathturn::routes {

void WeightedRoundRobin::set_slots(const std::vector<Slot>& slots) {
  double sum = 0;
  for (const auto& each : slots) sum += each.weight;
  std::vector<State> fresh;
  taking_ = 0;
  for (const auto& each : slots) {
    State state{each.id, sum > 0 ? each.weight / sum : 0, 0};
    if (state.share > 0) ++taking_;
    const auto same = [&each](const State& other) { return other.id == each.id; };
    if (const auto old = std::find_if(slots_.begin(), slots_.end(), same); old != slots_.end()) {
      state.credit = old->credit;
      slots_.erase(old);
    } else if (const auto back = std::find_if(away_.begin(), away_.end(), same); back != away_.end()) {
      state.credit = back->credit;
      away_.erase(back);
    }
    fresh.push_back(state);
  }
  away_.insert(away_.end(), slots_.begin(), slots_.end());
  slots_ = std::move(fresh);
  while (away_.size() > max_absent_slots) {
    settle(away_.front().credit);
    away_.erase(away_.begin());
  }
}

/// Credits always add up to nothing: what is owed to one that will not be heard of again is the others'.
void WeightedRoundRobin::settle(double credit) {
  for (auto& each : slots_) each.credit += credit * each.share;
}

std::size_t WeightedRoundRobin::next() {
  if (taking_ == 0) return no_slot;
  const double edge = taking_ == 1 ? 0 : 1 / (2 * static_cast<double>(taking_) - 2);
  std::size_t best = no_slot, most_owed = no_slot;
  double soonest = 0;
  for (std::size_t i = 0; i < slots_.size(); ++i) {
    auto& slot = slots_[i];
    if (slot.share <= 0) continue;
    slot.credit += slot.share;
    if (most_owed == no_slot || slot.credit > slots_[most_owed].credit) most_owed = i;
    if (slot.credit < edge) continue;
    // Turns until it would be owed more than it may be.
    const double left = (1 - edge - slot.credit) / slot.share;
    if (best == no_slot || left < soonest) {
      best = i;
      soonest = left;
    }
  }
  if (best == no_slot) best = most_owed;  // who is away is owed so much that nobody here is
  slots_[best].credit -= 1;
  return best;
}

}  // namespace heathturn::routes
