// Values with units, as the operator's file writes them: durations, shares, sizes, rates, times of the week.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace heathturn::units {

/// Either a value or what is wrong with the text, as the end of a sentence that begins with the text itself.
template <typename Value>
struct Parsed {
  std::optional<Value> value;
  std::string error;
};

inline constexpr const char* duration_format = "a duration such as \"300ms\", \"1.5s\" or \"2m\"";
inline constexpr const char* share_format = "a share such as \"35%\" or \"0.35\"";
inline constexpr const char* size_format = "a size such as \"64KiB\" or \"2MiB\"";
inline constexpr const char* rate_format = "a rate such as \"200/s\" or \"30/m\"";
inline constexpr const char* times_format =
    "times of the week such as \"Mon-Fri 08:00-18:00, Sat 09:00-12:00\"";
inline constexpr const char* time_zone_format = "\"utc\", \"local\" or an offset such as \"+13:00\"";

/// Milliseconds. Units: us, ms, s, m, h.
[[nodiscard]] Parsed<double> parse_duration(const std::string& text);
/// 0 to 1.
[[nodiscard]] Parsed<double> parse_share(const std::string& text);
/// Bytes. Units: B, KiB, MiB, GiB, kB, MB, GB.
[[nodiscard]] Parsed<double> parse_size(const std::string& text);
/// A second. Units: /s, /m, /h.
[[nodiscard]] Parsed<double> parse_rate(const std::string& text);

inline constexpr std::uint16_t minutes_per_week = 7 * 24 * 60;
/// From a minute of the week (Monday 00:00 is 0) up to and without another; `to` is above `from`.
struct WeekSpan {
  std::uint16_t from = 0, to = 0;
  auto operator<=>(const WeekSpan&) const = default;
};
/// In order, with those that touch or overlap made one.
[[nodiscard]] std::vector<WeekSpan> merge_overlapping(std::vector<WeekSpan> spans);
/// In order, apart from each other, and cut at the end of the week.
[[nodiscard]] Parsed<std::vector<WeekSpan>> parse_week_spans(const std::string& text);
[[nodiscard]] std::string week_text(const std::vector<WeekSpan>& spans);

/// How the clock's time becomes the operator's.
struct TimeZone {
  bool local = false;
  int offset_minutes = 0;  ///< east of UTC, unless local
  bool operator==(const TimeZone&) const = default;
};
[[nodiscard]] Parsed<TimeZone> parse_time_zone(const std::string& text);
[[nodiscard]] std::string time_zone_text(const TimeZone& zone);
[[nodiscard]] std::uint16_t minute_of_week(double unix_ms, const TimeZone& zone);

/// "1.5s", in the largest unit that leaves three digits behind the point at most.
[[nodiscard]] std::string duration_text(double ms);
/// "35%".
[[nodiscard]] std::string share_text(double share);
/// "200/s".
[[nodiscard]] std::string rate_text(double a_second);
/// Without needless digits.
[[nodiscard]] std::string number_text(double number);

}  // namespace heathturn::units
