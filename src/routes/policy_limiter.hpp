// The limits at the door of one policy: how many look-ups may be open, and how fast they are let in.
#pragma once

#include <algorithm>
#include <cstdint>

#include "config/enum_config.hpp"

namespace heathturn::routes {

/// A token bucket and a count. What it turns away is refused at once.
class PolicyLimiter {
 public:
  enum class Decision { admitted, too_many_open, rate_exceeded };

  /// Limits change without a word to those inside; what was saved up stays, within the new burst.
  void set_limits(const Policy& policy) {
    const bool first = rate_per_second_ == 0;
    max_open_ = policy.most_open;
    rate_per_second_ = policy.rate;
    burst_ = policy.burst;
    tokens_ = first ? burst_ : std::min(tokens_, burst_);
  }
  [[nodiscard]] Decision try_acquire(double now_ms) {
    if (max_open_ > 0 && open_count_ >= max_open_) return reject(Decision::too_many_open);
    if (rate_per_second_ > 0) {
      // A clock set back must not drain the bucket.
      if (now_ms > refilled_at_ms_)
        tokens_ = std::min(burst_, tokens_ + (now_ms - refilled_at_ms_) / 1000 * rate_per_second_);
      refilled_at_ms_ = now_ms;
      if (tokens_ < 1) return reject(Decision::rate_exceeded);
      tokens_ -= 1;
    }
    ++open_count_;
    return Decision::admitted;
  }
  void release() { --open_count_; }
  [[nodiscard]] std::uint32_t open_count() const { return open_count_; }
  [[nodiscard]] std::uint64_t rejected_count() const { return rejected_count_; }

 private:
  Decision reject(Decision reason) {
    ++rejected_count_;
    return reason;
  }
  std::uint32_t max_open_ = 0;
  double rate_per_second_ = 0, burst_ = 0;
  double tokens_ = 0, refilled_at_ms_ = 0;
  std::uint32_t open_count_ = 0;
  std::uint64_t rejected_count_ = 0;
};

}  // namespace heathturn::routes
