// The program's only clock, Unix time in milliseconds, and conversions to the time types of the decision
// module.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

#include "maddershed/call_controller.hpp"

namespace heathturn {

/// A clock that never goes back, even when the system clock is set back: the decision module relies on that.
/// Until the system clock has caught up, it advances with the steady clock; if it stopped, no timer would
/// expire.
class Clock {
 public:
  /// Unix time in ms.
  [[nodiscard]] double now_ms() {
    if (fixed_ms_) return last_ms_ = std::max(last_ms_, *fixed_ms_);
    const double steady_ms = read_ms<std::chrono::steady_clock>();
    const double elapsed_ms = last_steady_ms_ == 0 ? 0 : steady_ms - last_steady_ms_;
    last_steady_ms_ = steady_ms;
    return last_ms_ = std::max(last_ms_ + elapsed_ms, read_ms<std::chrono::system_clock>());
  }
  /// For tests: the clock stays at this time until it is set again.
  void set(double unix_ms) { fixed_ms_ = unix_ms; }

 private:
  template <typename Source>
  static double read_ms() {
    return std::chrono::duration<double, std::milli>(Source::now().time_since_epoch()).count();
  }
  std::optional<double> fixed_ms_;
  double last_ms_ = 0;
  double last_steady_ms_ = 0;  ///< steady clock at the last reading; 0: not read yet
};

// Conversions between milliseconds and the module's types. Fractions of a microsecond are truncated.
inline maddershed::Time to_time(double ms) {
  return maddershed::Time{maddershed::Duration{static_cast<std::int64_t>(ms * 1000)}};
}
inline double to_ms(maddershed::Duration d) { return static_cast<double>(d.count()) / 1000; }
inline double to_ms(maddershed::Time t) { return to_ms(t.since_epoch); }
inline maddershed::Duration to_duration(double ms) {
  return maddershed::Duration{static_cast<std::int64_t>(ms * 1000)};
}

}  // namespace heathturn
