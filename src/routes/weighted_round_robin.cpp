#include "routes/weighted_round_robin.hpp"

#include <algorithm>

namespace heathturn::routes {

void WeightedRoundRobin::set_slots(const std::vector<Slot>& slots) {
  double total_weight = 0;
  for (const auto& slot : slots) total_weight += slot.weight;
  std::vector<SlotState> new_slots;
  weighted_count_ = 0;
  for (const auto& slot : slots) {
    SlotState state{slot.id, total_weight > 0 ? slot.weight / total_weight : 0, 0};
    if (state.share > 0) ++weighted_count_;
    const auto same_id = [&slot](const SlotState& other) { return other.id == slot.id; };
    if (const auto present = std::find_if(slots_.begin(), slots_.end(), same_id); present != slots_.end()) {
      state.credit = present->credit;
      slots_.erase(present);
    } else if (const auto absent = std::find_if(absent_slots_.begin(), absent_slots_.end(), same_id);
               absent != absent_slots_.end()) {
      state.credit = absent->credit;
      absent_slots_.erase(absent);
    }
    new_slots.push_back(state);
  }
  absent_slots_.insert(absent_slots_.end(), slots_.begin(), slots_.end());
  slots_ = std::move(new_slots);
  while (absent_slots_.size() > max_absent_slots) {
    distribute_credit(absent_slots_.front().credit);
    absent_slots_.erase(absent_slots_.begin());
  }
}

/// Invariant: all credits add up to 0, so the credit of a slot that is forgotten goes to the present ones.
void WeightedRoundRobin::distribute_credit(double credit) {
  for (auto& slot : slots_) slot.credit += credit * slot.share;
}

std::size_t WeightedRoundRobin::next() {
  if (weighted_count_ == 0) return no_slot;
  // Slots with less credit than this are not eligible for the turn.
  const double min_credit = weighted_count_ == 1 ? 0 : 1 / (2 * static_cast<double>(weighted_count_) - 2);
  std::size_t chosen = no_slot, highest_credit = no_slot;
  double fewest_turns_left = 0;
  for (std::size_t i = 0; i < slots_.size(); ++i) {
    auto& slot = slots_[i];
    if (slot.share <= 0) continue;
    slot.credit += slot.share;
    if (highest_credit == no_slot || slot.credit > slots_[highest_credit].credit) highest_credit = i;
    if (slot.credit < min_credit) continue;
    // Turns until its credit would exceed the upper bound, 1 - min_credit.
    const double turns_left = (1 - min_credit - slot.credit) / slot.share;
    if (chosen == no_slot || turns_left < fewest_turns_left) {
      chosen = i;
      fewest_turns_left = turns_left;
    }
  }
  // The absent slots may hold so much credit that no present slot is eligible.
  if (chosen == no_slot) chosen = highest_credit;
  slots_[chosen].credit -= 1;
  return chosen;
}

}  // namespace heathturn::routes
