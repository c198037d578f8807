// Log lines about single requests and attempts, limited in rate.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "core/clock.hpp"
#include "log/event.hpp"

namespace heathturn {

/// Writes lines about single requests, at most `max_lines_per_second`: their number is up to the callers, and
/// a flood of requests must neither take the time of the thread nor hide the other lines of the log.
class RequestLog {
 public:
  static constexpr std::uint32_t max_lines_per_second = 400;

  explicit RequestLog(Clock& clock)
      : clock_(clock), sink_([](LogLevel, const char*, const std::vector<LogField>&) {}) {}
  void set_sink(LogSink sink) { sink_ = std::move(sink); }

  /// Writes the line with the fields that `make_fields()` returns, or counts it as omitted.
  template <typename MakeFields>
  void write(LogLevel level, const char* event, MakeFields make_fields) {
    if (!take_line()) return;
    sink_(level, event, make_fields());
  }

 private:
  static constexpr double period_ms = 1000;

  bool take_line() {
    const double now_ms = clock_.now_ms();
    if (now_ms - period_started_ms_ >= period_ms) {
      period_started_ms_ = now_ms;
      lines_in_period_ = 0;
      if (const auto omitted = std::exchange(omitted_, 0); omitted > 0)
        sink_(LogLevel::warn, "request_lines_omitted", {{"count", omitted}});
    }
    if (lines_in_period_ >= max_lines_per_second) {
      ++omitted_;
      return false;
    }
    ++lines_in_period_;
    return true;
  }

  Clock& clock_;
  LogSink sink_;
  double period_started_ms_ = 0;
  std::uint32_t lines_in_period_ = 0;
  std::uint64_t omitted_ = 0;
};

}  // namespace heathturn
