// The one clock of the program: Unix time in milliseconds.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

#include "maddershed/call_controller.hpp"

namespace heathturn {

/// Never goes back, even when the system's clock is set back: the decision module relies on that. Nor does it
/// stand still then, or no deadline would come: it goes on by the steady clock.
class Clock {
 public:
  [[nodiscard]] double now() {
    if (set_) return last_ = std::max(last_, *set_);
    const double steady = read<std::chrono::steady_clock>();
    const double passed = steady_ == 0 ? 0 : steady - steady_;
    steady_ = steady;
    return last_ = std::max(last_ + passed, read<std::chrono::system_clock>());
  }
  /// For tests: from now on the clock stands at `ms` until it is set again.
  void set(double ms) { set_ = ms; }

 private:
  template <typename Source>
  static double read() {
    return std::chrono::duration<double, std::milli>(Source::now().time_since_epoch()).count();
  }
  std::optional<double> set_;
  double last_ = 0;
  double steady_ = 0;  ///< at the last reading
};

inline maddershed::Time module_time(double ms) {
  return maddershed::Time{maddershed::Duration{static_cast<std::int64_t>(ms * 1000)}};
}
inline double to_ms(maddershed::Duration d) { return static_cast<double>(d.count()) / 1000; }
inline double to_ms(maddershed::Time t) { return to_ms(t.since_epoch); }
inline maddershed::Duration to_duration(double ms) {
  return maddershed::Duration{static_cast<std::int64_t>(ms * 1000)};
}

}  // namespace heathturn
