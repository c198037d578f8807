#include "config/units.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <ctime>
#include <string_view>

namespace heathturn::units {
namespace {

struct Unit {
  std::string_view name;
  double factor;
};
/// Factors to the unit that the parsers return: ms, bytes and per second.
constexpr std::array<Unit, 5> duration_units{{{"us", 1e-3}, {"ms", 1}, {"s", 1e3}, {"m", 6e4}, {"h", 3.6e6}}};
constexpr std::array<Unit, 7> size_units{{{"B", 1},
                                          {"KiB", 1024.0},
                                          {"MiB", 1048576.0},
                                          {"GiB", 1073741824.0},
                                          {"kB", 1e3},
                                          {"MB", 1e6},
                                          {"GB", 1e9}}};
constexpr std::array<Unit, 3> rate_units{{{"/s", 1}, {"/m", 1.0 / 60}, {"/h", 1.0 / 3600}}};
constexpr std::array<std::string_view, 7> days = {"Mon", "Tue", "Wed", "Thu", "Fri", "Sat", "Sun"};
constexpr int minutes_per_day = 24 * 60;

template <typename Value>
Parsed<Value> invalid(std::string error) {
  return {std::nullopt, std::move(error)};
}

/// Splits a text into the unsigned number that it begins with and the rest.
std::optional<std::pair<double, std::string_view>> leading_number(std::string_view text) {
  if (text.empty() || !(text.front() >= '0' && text.front() <= '9')) return std::nullopt;
  double value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
  if (error != std::errc{} || !std::isfinite(value)) return std::nullopt;
  return std::pair(value, text.substr(static_cast<std::size_t>(end - text.data())));
}

template <std::size_t count>
Parsed<double> parse_with_unit(const std::string& text, const std::array<Unit, count>& units) {
  if (!text.empty() && text.front() == '-') return invalid<double>("is negative");
  const auto parts = leading_number(text);
  if (!parts) return invalid<double>("is not a number with a unit");
  const auto [value, unit] = *parts;
  if (unit.empty()) return invalid<double>("has no unit");
  for (const auto& each : units) {
    if (each.name == unit) return {value * each.factor, ""};
  }
  return invalid<double>("has the unknown unit \"" + std::string(unit) + "\"");
}

std::string_view trim_spaces(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
  return text;
}

/// Removes and returns the text before the separator, or all of it when there is no separator.
std::string_view next_part(std::string_view& text, char separator) {
  const auto at = std::min(text.find(separator), text.size());
  const auto part = text.substr(0, at);
  text.remove_prefix(std::min(text.size(), at + 1));
  return part;
}

/// Index of a day name, from 0 for Monday.
std::optional<int> parse_day(std::string_view text) {
  const auto it = std::find(days.begin(), days.end(), text);
  return it == days.end() ? std::nullopt : std::optional(static_cast<int>(it - days.begin()));
}

/// Parses "HH:MM", up to "24:00", into minutes of the day.
std::optional<int> parse_clock_time(std::string_view text) {
  const auto digit = [&text](std::size_t at) { return text[at] >= '0' && text[at] <= '9'; };
  if (text.size() != 5 || text[2] != ':' || !digit(0) || !digit(1) || !digit(3) || !digit(4))
    return std::nullopt;
  const int hours = (text[0] - '0') * 10 + (text[1] - '0');
  const int minutes = (text[3] - '0') * 10 + (text[4] - '0');
  if (minutes > 59 || hours * 60 + minutes > minutes_per_day) return std::nullopt;
  return hours * 60 + minutes;
}

void add_span(std::vector<WeekSpan>& out, int from, int to) {
  out.push_back({static_cast<std::uint16_t>(from), static_cast<std::uint16_t>(to)});
}

/// Parses one part, such as "Mon-Fri 08:00-18:00", "Sat" or "22:00-06:00" (every day), and appends its spans.
/// A span whose end is before its start ends on the next day. Returns the error, empty if there is none.
std::string parse_part(std::string_view part, std::vector<WeekSpan>& out) {
  int first = 0, last = 6, from = 0, to = minutes_per_day;
  auto rest = part;
  if (const auto word = next_part(rest, ' ');
      !word.empty() && !(word.front() >= '0' && word.front() <= '9')) {
    auto ends = word;
    const auto begin = parse_day(next_part(ends, '-'));
    const auto end = ends.empty() ? begin : parse_day(ends);
    if (!begin || !end) return "has the unknown day \"" + std::string(word) + "\"";
    first = *begin;
    last = *end;
    rest = trim_spaces(rest);
  } else {
    rest = part;
  }
  if (!rest.empty()) {
    auto ends = rest;
    const auto begin = parse_clock_time(next_part(ends, '-'));
    const auto end = parse_clock_time(ends);
    if (!begin || !end || *begin == *end || *begin == minutes_per_day) {
      return "has the invalid time \"" + std::string(rest) + "\"";
    }
    from = *begin;
    to = *end;
  }
  for (int day = first;; day = (day + 1) % 7) {
    const int start = day * minutes_per_day;
    if (to > from) {
      add_span(out, start + from, start + to);
    } else {
      const int next = (day + 1) % 7 * minutes_per_day;
      add_span(out, start + from, start + minutes_per_day);
      if (to > 0) add_span(out, next, next + to);
    }
    if (day == last) break;
  }
  return "";
}

/// Formats minutes of the day as "HH:MM".
std::string clock_text(int minute) {
  std::array<char, 8> out{};
  std::snprintf(out.data(), out.size(), "%02d:%02d", minute / 60 % 100, minute % 60);
  return out.data();
}

}  // namespace

Parsed<double> parse_duration(const std::string& text) { return parse_with_unit(text, duration_units); }
Parsed<double> parse_size(const std::string& text) { return parse_with_unit(text, size_units); }
Parsed<double> parse_rate(const std::string& text) { return parse_with_unit(text, rate_units); }

Parsed<double> parse_share(const std::string& text) {
  if (!text.empty() && text.front() == '-') return invalid<double>("is negative");
  const auto parts = leading_number(text);
  if (!parts || (!parts->second.empty() && parts->second != "%")) return invalid<double>("is not a share");
  const bool percent = !parts->second.empty();
  // "35" is ambiguous: 35% or 35 times the whole.
  if (!percent && parts->first > 1) return invalid<double>("is above 1 and has no %");
  const double value = percent ? parts->first / 100 : parts->first;
  if (value > 1) return invalid<double>("is above 100%");
  return {value, ""};
}

std::vector<WeekSpan> merge_overlapping(std::vector<WeekSpan> spans) {
  std::sort(spans.begin(), spans.end());
  std::vector<WeekSpan> out;
  for (const auto& span : spans) {
    if (!out.empty() && span.from <= out.back().to) {
      out.back().to = std::max(out.back().to, span.to);
    } else {
      out.push_back(span);
    }
  }
  return out;
}

Parsed<std::vector<WeekSpan>> parse_week_spans(const std::string& text) {
  std::vector<WeekSpan> spans;
  std::string_view rest = text;
  do {
    const auto part = trim_spaces(next_part(rest, ','));
    if (part.empty()) return invalid<std::vector<WeekSpan>>("has an empty part");
    if (auto error = parse_part(part, spans); !error.empty()) {
      return invalid<std::vector<WeekSpan>>(std::move(error));
    }
  } while (!rest.empty());
  return {merge_overlapping(std::move(spans)), ""};
}

std::string week_text(const std::vector<WeekSpan>& spans) {
  std::string out;
  for (const auto& span : spans) {
    for (int at = span.from; at < span.to;) {
      const int day = at / minutes_per_day, start = day * minutes_per_day;
      const int end = std::min<int>(span.to, start + minutes_per_day);
      out += (out.empty() ? "" : ", ") + std::string(days[static_cast<std::size_t>(day)]);
      if (at != start || end != start + minutes_per_day)
        out += " " + clock_text(at - start) + "-" + clock_text(end - start);
      at = end;
    }
  }
  return out;
}

Parsed<TimeZone> parse_time_zone(const std::string& text) {
  if (text == "utc") return {TimeZone{}, ""};
  if (text == "local") return {TimeZone{true, 0}, ""};
  if (text.size() == 6 && (text[0] == '+' || text[0] == '-')) {
    const auto minutes = parse_clock_time(std::string_view(text).substr(1));
    if (minutes && *minutes <= 14 * 60) return {TimeZone{false, text[0] == '-' ? -*minutes : *minutes}, ""};
  }
  return invalid<TimeZone>("is not a time zone");
}

std::string time_zone_text(const TimeZone& zone) {
  if (zone.local) return "local";
  if (zone.offset_minutes == 0) return "utc";
  return (zone.offset_minutes < 0 ? "-" : "+") + clock_text(std::abs(zone.offset_minutes));
}

std::uint16_t minute_of_week(double unix_ms, const TimeZone& zone) {
  const auto seconds = static_cast<std::time_t>(std::floor(unix_ms / 1000));
  if (zone.local) {
    std::tm parts{};
    localtime_r(&seconds, &parts);
    const int day = (parts.tm_wday + 6) % 7;
    return static_cast<std::uint16_t>(day * minutes_per_day + parts.tm_hour * 60 + parts.tm_min);
  }
  // The Unix epoch was a Thursday, three days after the start of a week.
  const auto minutes = static_cast<std::int64_t>(std::floor(static_cast<double>(seconds) / 60)) +
                       zone.offset_minutes + 3 * minutes_per_day;
  return static_cast<std::uint16_t>(((minutes % minutes_per_week) + minutes_per_week) % minutes_per_week);
}

std::string number_text(double number) {
  std::array<char, 40> buffer{};
  const double rounded = std::round(number * 1e6) / 1e6;
  const auto end =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), rounded, std::chars_format::fixed).ptr;
  return {buffer.data(), end};
}

std::string duration_text(double ms) {
  constexpr std::array<Unit, 3> display_units{{{"m", 6e4}, {"s", 1e3}, {"ms", 1}}};
  for (const auto& unit : display_units) {
    const double value = ms / unit.factor;
    const bool exact = std::abs(value * 1000 - std::round(value * 1000)) < 1e-6;
    if (value >= 1 && exact && (unit.name != "m" || value == std::floor(value))) {
      return number_text(value) + std::string(unit.name);
    }
  }
  return number_text(ms) + "ms";
}

std::string share_text(double share) { return number_text(share * 100) + "%"; }

std::string rate_text(double per_second) {
  constexpr std::array<std::string_view, 2> slower_units = {"/m", "/h"};
  if (per_second == std::floor(per_second)) return number_text(per_second) + "/s";
  double value = per_second;
  for (const auto unit : slower_units) {
    value *= 60;
    if (std::abs(value - std::round(value)) < 1e-6) return number_text(std::round(value)) + std::string(unit);
  }
  return number_text(per_second) + "/s";
}

}  // namespace heathturn::units
