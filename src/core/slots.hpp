// A table of numbered slots. A handle is a slot's number and its generation, so that a handle kept too long
// finds nothing rather than the slot's next tenant.
#pragma once

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace heathturn {

using Handle = std::uint64_t;  ///< 0 is never one
inline constexpr Handle no_handle = 0;

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
    ++used_;
    return (static_cast<Handle>(slot.generation) << 32) | index;
  }
  [[nodiscard]] T* find(Handle handle) {
    const auto index = static_cast<std::uint32_t>(handle);
    if (index >= slots_.size()) return nullptr;
    auto& slot = slots_[index];
    return slot.value && slot.generation == handle >> 32 ? &*slot.value : nullptr;
  }
  /// True when the handle was still good.
  bool erase(Handle handle) {
    if (find(handle) == nullptr) return false;
    auto& slot = slots_[static_cast<std::uint32_t>(handle)];
    slot.value.reset();
    slot.generation = slot.generation % max_generation + 1;
    free_.push_back(static_cast<std::uint32_t>(handle));
    --used_;
    return true;
  }
  [[nodiscard]] std::size_t size() const { return used_; }
  [[nodiscard]] std::vector<Handle> handles() const {
    std::vector<Handle> all;
    for (std::uint32_t i = 0; i < slots_.size(); ++i) {
      if (slots_[i].value) all.push_back((static_cast<Handle>(slots_[i].generation) << 32) | i);
    }
    return all;
  }

 private:
  // Handles are the module's call ids, to which it adds a small number: they stay far from the largest one.
  static constexpr std::uint32_t max_generation = 0x7fffffff;
  struct Slot {
    std::uint32_t generation = 1;
    std::optional<T> value;
  };
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> free_;
  std::size_t used_ = 0;
};

}  // namespace heathturn
