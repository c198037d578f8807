// A table of numbered slots. A handle holds a slot's index and generation, so that a stale handle finds
// nothing instead of the value that reuses the slot.
#pragma once

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace heathturn {

/// Identifies a value in a SlotTable: the slot's generation in the upper 32 bits, its index in the lower
/// ones.
using Handle = std::uint64_t;
inline constexpr Handle no_handle = 0;  ///< never a valid handle

/// Stores values of one type and finds them by handle.
template <typename T>
class SlotTable {
 public:
  Handle add(T value) {
    if (free_.empty()) {
      free_.push_back(static_cast<std::uint32_t>(slots_.size()));
      slots_.emplace_back();
    }
    const auto index = free_.back();
    free_.pop_back();
    auto& slot = slots_[index];
    slot.value.emplace(std::move(value));
    ++size_;
    return (static_cast<Handle>(slot.generation) << 32) | index;
  }
  /// Null when the handle is stale. The pointer is valid until the next add() or the erase() of this value.
  [[nodiscard]] T* find(Handle handle) {
    const auto index = static_cast<std::uint32_t>(handle);
    if (index >= slots_.size()) return nullptr;
    auto& slot = slots_[index];
    return slot.value && slot.generation == handle >> 32 ? &*slot.value : nullptr;
  }
  /// False when the handle is stale.
  bool erase(Handle handle) {
    if (find(handle) == nullptr) return false;
    auto& slot = slots_[static_cast<std::uint32_t>(handle)];
    slot.value.reset();
    slot.generation = slot.generation % max_generation + 1;
    free_.push_back(static_cast<std::uint32_t>(handle));
    --size_;
    return true;
  }
  [[nodiscard]] std::size_t size() const { return size_; }
  /// Handles of all values, by slot index.
  [[nodiscard]] std::vector<Handle> handles() const {
    std::vector<Handle> all;
    for (std::uint32_t i = 0; i < slots_.size(); ++i) {
      if (slots_[i].value) all.push_back((static_cast<Handle>(slots_[i].generation) << 32) | i);
    }
    return all;
  }

 private:
  // The decision module gets handles as call ids and adds small numbers to them: 31 bits keep them far from
  // the largest 64-bit value.
  static constexpr std::uint32_t max_generation = 0x7fffffff;
  struct Slot {
    std::uint32_t generation = 1;
    std::optional<T> value;
  };
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> free_;  ///< indices of the slots without a value
  std::size_t size_ = 0;
};

}  // namespace heathturn
