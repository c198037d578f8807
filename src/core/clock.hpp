// The one clock of the program: Unix time in milliseconds.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

#include "maddershed/call_controller.hpp"

namespace heathturn {

/// Never goes back, even when the system's clock does: the decision module relies on that.
class Clock {
 public:
  [[nodiscard]] double now() {
    const double read = set_ ? *set_ : system_now();
    last_ = std::max(last_, read);
    return last_;
  }
  /// For tests: from now on the clock stands at `ms` until it is set again.
  void set(double ms) { set_ = ms; }

 private:
  static double system_now() {
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration<double, std::milli>(since).count();
  }
  std::optional<double> set_;
  double last_ = 0;
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
