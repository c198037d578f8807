// Limits of one policy: how many look-ups may be open at once, and how many may begin per second.
#pragma once

#include <algorithm>
#include <cstdint>

#include "config/enum_config.hpp"

namespace heathturn::routes {

/// A token bucket (rate and burst) combined with a limit on open look-ups. A look-up that it rejects is
/// refused at once; nothing is queued. Times are Unix times in ms.
class PolicyLimiter {
 public:
  enum class Decision { admitted, too_many_open, rate_exceeded };

  /// Applies the limits of `policy`. Look-ups that are open stay open; saved tokens are kept, up to the new
  /// burst. The bucket of a policy that had no rate before starts full.
  void set_limits(const Policy& policy) {
    const bool first = rate_per_second_ == 0;
    max_open_ = policy.max_open_requests;
    rate_per_second_ = policy.rate_per_second;
    burst_ = policy.burst;
    tokens_ = first ? burst_ : std::min(tokens_, burst_);
  }
  /// Each call that returns Decision::admitted must be followed by one release() when the look-up ends.
  [[nodiscard]] Decision try_acquire(double now_ms) {
    if (max_open_ > 0 && open_count_ >= max_open_) return reject(Decision::too_many_open);
    if (rate_per_second_ > 0) {
      // A clock that is set back must not drain the bucket.
      if (now_ms > refilled_at_ms_)
        tokens_ = std::min(burst_, tokens_ + (now_ms - refilled_at_ms_) / 1000 * rate_per_second_);
      refilled_at_ms_ = now_ms;
      if (tokens_ < 1) return reject(Decision::rate_exceeded);
      tokens_ -= 1;
    }
    ++open_count_;
    return Decision::admitted;
  }
  /// Ends an admitted look-up.
  void release() { --open_count_; }
  [[nodiscard]] std::uint32_t open_count() const { return open_count_; }
  /// Look-ups rejected since the policy was first configured, for either limit.
  [[nodiscard]] std::uint64_t rejected_count() const { return rejected_count_; }

 private:
  Decision reject(Decision reason) {
    ++rejected_count_;
    return reason;
  }
  std::uint32_t max_open_ = 0;              ///< 0: no limit
  double rate_per_second_ = 0, burst_ = 0;  ///< rate 0: no limit
  double tokens_ = 0, refilled_at_ms_ = 0;
  std::uint32_t open_count_ = 0;
  std::uint64_t rejected_count_ = 0;
};

}  // namespace heathturn::routes
