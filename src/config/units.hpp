// Parses and formats the values with units in the operator's files: durations, shares, sizes, rates, times of
// the week.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace heathturn::units {

/// Either a value or an error. The error continues a sentence that begins with the quoted text, as in
/// `"300" has no unit`.
template <typename Value>
struct Parsed {
  std::optional<Value> value;
  std::string error;  ///< empty when there is a value
};

/// Descriptions of the formats, for "expected ..." in diagnostics.
inline constexpr const char* duration_format = "a duration such as \"300ms\", \"1.5s\" or \"2m\"";
inline constexpr const char* share_format = "a share such as \"35%\" or \"0.35\"";
inline constexpr const char* size_format = "a size such as \"64KiB\" or \"2MiB\"";
inline constexpr const char* rate_format = "a rate such as \"200/s\" or \"30/m\"";
inline constexpr const char* times_format =
    "times of the week such as \"Mon-Fri 08:00-18:00, Sat 09:00-12:00\"";
inline constexpr const char* time_zone_format = "\"utc\", \"local\" or an offset such as \"+13:00\"";

/// Returns milliseconds. Units: us, ms, s, m, h.
[[nodiscard]] Parsed<double> parse_duration(const std::string& text);
/// Returns 0 to 1. Accepts a percentage or a plain fraction.
[[nodiscard]] Parsed<double> parse_share(const std::string& text);
/// Returns bytes. Units: B, KiB, MiB, GiB, kB, MB, GB.
[[nodiscard]] Parsed<double> parse_size(const std::string& text);
/// Returns a rate per second. Units: /s, /m, /h.
[[nodiscard]] Parsed<double> parse_rate(const std::string& text);

inline constexpr std::uint16_t minutes_per_week = 7 * 24 * 60;
/// A half-open span [from, to) in minutes of the week; Monday 00:00 is 0. `to` is greater than `from`.
struct WeekSpan {
  std::uint16_t from = 0, to = 0;
  auto operator<=>(const WeekSpan&) const = default;
};
/// Sorts the spans and merges those that touch or overlap.
[[nodiscard]] std::vector<WeekSpan> merge_overlapping(std::vector<WeekSpan> spans);
/// Parses times of the week. The spans are sorted and disjoint, and a span over the end of the week is split
/// there.
[[nodiscard]] Parsed<std::vector<WeekSpan>> parse_week_spans(const std::string& text);
/// Formats spans of one week, split at each midnight, as parse_week_spans() reads them.
[[nodiscard]] std::string week_text(const std::vector<WeekSpan>& spans);

/// The time zone by which times of the week are evaluated.
struct TimeZone {
  bool local = false;      ///< the zone of the machine
  int offset_minutes = 0;  ///< east of UTC; unused when local
  bool operator==(const TimeZone&) const = default;
};
/// Accepts "utc", "local" and offsets of up to 14 hours.
[[nodiscard]] Parsed<TimeZone> parse_time_zone(const std::string& text);
[[nodiscard]] std::string time_zone_text(const TimeZone& zone);
/// Minute of the week in the zone, from 0 on Monday 00:00. `unix_ms`: milliseconds since the Unix epoch.
[[nodiscard]] std::uint16_t minute_of_week(double unix_ms, const TimeZone& zone);

/// Formats a duration as "1.5s", in the largest of m, s and ms that needs at most three decimal places; whole
/// minutes only.
[[nodiscard]] std::string duration_text(double ms);
/// Formats a share of 0 to 1 as "35%".
[[nodiscard]] std::string share_text(double share);
/// Formats a rate as "200/s", or per minute or hour when only that is a whole number.
[[nodiscard]] std::string rate_text(double per_second);
/// Formats a number with at most six decimal places and no trailing zeros.
[[nodiscard]] std::string number_text(double number);

}  // namespace heathturn::units
