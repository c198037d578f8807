// Keeps shares exactly: which of several takes the next turn, so that none ever strays from its share.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace heathturn::routes {

/// A deterministic spread after Tijdeman ("The chairman assignment problem", 1980). As long as the shares
/// stay as they are, after any number of turns each slot has had its share of them, off by less than 1 -
/// 1/(2n-2) turns for n slots. When slots come and go, what each is owed stays with it, also while it is
/// away: over any number of changes none is off by more than n turns, counting the slots that are away. At
/// most `max_absent_slots` of these are remembered; what the one that left first is owed then goes to the
/// others.
class WeightedRoundRobin {
 public:
  struct Slot {
    std::uint64_t id = 0;  ///< tells the slot again after a change
    double weight = 0;     ///< not negative; 0 takes no turn
  };
  /// In any order; ids differ.
  void set_slots(const std::vector<Slot>& slots);
  /// The place in the list that was set; `no_slot` when no slot has a weight.
  std::size_t next();
  /// What a slot is owed, in turns.
  [[nodiscard]] double credit(std::size_t place) const { return slots_[place].credit; }
  [[nodiscard]] std::size_t size() const { return slots_.size(); }

  static constexpr std::size_t max_absent_slots = 32;
  static constexpr std::size_t no_slot = static_cast<std::size_t>(-1);

 private:
  struct State {
    std::uint64_t id = 0;
    double share = 0;
    double credit = 0;
  };
  void settle(double credit);
  std::vector<State> slots_;
  std::vector<State> away_;  ///< who left first comes first
  std::size_t taking_ = 0;   ///< slots with a share
};

}  // namespace heathturn::routes
