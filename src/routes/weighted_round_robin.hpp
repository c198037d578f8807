// Deterministic weighted round robin: distributes turns over slots in proportion to their weights, with a
// bound on the deviation of each slot from its share.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace heathturn::routes {

/// The algorithm of Tijdeman ("The chairman assignment problem", 1980). As long as the shares do not change,
/// the turns of each slot deviate from its share of all turns by less than 1 - 1/(2n-2) turns for n slots,
/// after any number of turns. When slots are added and removed, each keeps its credit, also while it is
/// absent: over any number of changes no slot deviates by more than n turns, where n includes the absent
/// slots. At most `max_absent_slots` absent slots are remembered; beyond that, the credit of the one that
/// was removed first is distributed over the present slots.
class WeightedRoundRobin {
 public:
  struct Slot {
    std::uint64_t id = 0;  ///< identifies the slot across calls of set_slots()
    double weight = 0;     ///< not negative; a slot of weight 0 gets no turns
  };
  /// Replaces the list of slots, which may be in any order. Their ids must be distinct.
  void set_slots(const std::vector<Slot>& slots);
  /// Takes a turn: the index of its slot in the list given to set_slots(); `no_slot` when no slot has a
  /// weight.
  std::size_t next();
  /// The turns that a slot is owed; negative when it had more than its share.
  [[nodiscard]] double credit(std::size_t index) const { return slots_[index].credit; }
  [[nodiscard]] std::size_t size() const { return slots_.size(); }

  static constexpr std::size_t max_absent_slots = 32;
  static constexpr std::size_t no_slot = static_cast<std::size_t>(-1);

 private:
  struct SlotState {
    std::uint64_t id = 0;
    double share = 0;   ///< of all turns, 0 to 1
    double credit = 0;  ///< turns owed
  };
  void distribute_credit(double credit);
  std::vector<SlotState> slots_;
  std::vector<SlotState> absent_slots_;  ///< in the order of their removal
  std::size_t weighted_count_ = 0;       ///< slots with a share above 0
};

}  // namespace heathturn::routes
