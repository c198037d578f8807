// The attempts at one converter that ended without a call.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>

namespace heathturn {

/// Remembers which calls were sent to a converter in vain, and when their last attempt ended. All attempts of
/// a call bear its id, so that a copy of the last answer could be taken for the answer to the next attempt.
class EndedAttempts {
 public:
  static constexpr std::size_t max_calls = 4096;  ///< attempts beyond that are not remembered

  void add(const std::string& call_id, double now_ms) {
    if (ended_at_ms_.size() < max_calls || ended_at_ms_.contains(call_id)) ended_at_ms_[call_id] = now_ms;
  }
  /// When the last attempt of this call ended here (Unix time); nothing if none did.
  [[nodiscard]] std::optional<double> ended_at_ms(const std::string& call_id) const {
    const auto it = ended_at_ms_.find(call_id);
    return it == ended_at_ms_.end() ? std::nullopt : std::optional(it->second);
  }
  void forget_ended_before(double time_ms) {
    std::erase_if(ended_at_ms_, [time_ms](const auto& each) { return each.second < time_ms; });
  }

 private:
  std::unordered_map<std::string, double> ended_at_ms_;
};

}  // namespace heathturn
