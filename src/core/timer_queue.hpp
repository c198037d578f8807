// The queue of all timers of the program, ordered by due time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace heathturn {

/// Runs callbacks at given times. The event loop calls run_due() and sleeps until next_due_ms().
class TimerQueue {
 public:
  /// Identifies a scheduled timer, for cancel(). Timers with the same due time run in the order in which they
  /// were scheduled.
  struct Key {
    double due_ms = 0;
    std::uint64_t sequence = 0;  ///< 0: no timer
    auto operator<=>(const Key&) const = default;
  };
  /// Runs `callback` once, at `due_ms` (Unix time).
  Key schedule(double due_ms, std::function<void()> callback) {
    const Key key{due_ms, ++last_sequence_};
    timers_.emplace(key, std::move(callback));
    return key;
  }
  /// Removes the timer, if it has not run yet, and clears the key.
  void cancel(Key& key) {
    if (key.sequence != 0) timers_.erase(key);
    key = {};
  }
  /// Due time of the earliest timer; nothing when there is none.
  [[nodiscard]] std::optional<double> next_due_ms() const {
    return timers_.empty() ? std::nullopt : std::optional(timers_.begin()->first.due_ms);
  }
  /// Runs the timers due at `now_ms`, in order. Those scheduled by their callbacks wait for the next call.
  void run_due(double now_ms) {
    const auto newest = last_sequence_;
    for (auto it = timers_.begin(); it != timers_.end() && it->first.due_ms <= now_ms;) {
      if (it->first.sequence > newest) {
        ++it;
        continue;
      }
      const auto callback = std::move(it->second);
      timers_.erase(it);
      callback();
      it = timers_.begin();
    }
  }

 private:
  std::map<Key, std::function<void()>> timers_;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace heathturn
