// The limits at the door of one policy: how many look-ups may be open, and how fast they are let in.
#pragma once

#include <algorithm>
#include <cstdint>

#include "config/enum_config.hpp"

namespace heathturn::routes {

/// A token bucket and a count. What it turns away is refused at once.
class Gate {
 public:
  enum class Verdict { in, too_many_open, too_fast };

  /// Limits change without a word to those inside; what was saved up stays, within the new burst.
  void set_limits(const Policy& policy) {
    const bool first = rate_ == 0;
    most_open_ = policy.most_open;
    rate_ = policy.rate;
    burst_ = policy.burst;
    tokens_ = first ? burst_ : std::min(tokens_, burst_);
  }
  [[nodiscard]] Verdict enter(double now_ms) {
    if (most_open_ > 0 && open_ >= most_open_) return turned_away(Verdict::too_many_open);
    if (rate_ > 0) {
      // A clock set back must not drain the bucket.
      if (now_ms > filled_at_) tokens_ = std::min(burst_, tokens_ + (now_ms - filled_at_) / 1000 * rate_);
      filled_at_ = now_ms;
      if (tokens_ < 1) return turned_away(Verdict::too_fast);
      tokens_ -= 1;
    }
    ++open_;
    return Verdict::in;
  }
  void leave() { --open_; }
  [[nodiscard]] std::uint32_t open() const { return open_; }
  [[nodiscard]] std::uint64_t turned_away() const { return turned_away_; }

 private:
  Verdict turned_away(Verdict why) {
    ++turned_away_;
    return why;
  }
  std::uint32_t most_open_ = 0;
  double rate_ = 0, burst_ = 0;
  double tokens_ = 0, filled_at_ = 0;
  std::uint32_t open_ = 0;
  std::uint64_t turned_away_ = 0;
};

}  // namespace heathturn::routes
