#include "config/settings_reader.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <string_view>

namespace maddershed {
namespace {

using ValuesByKey = std::map<std::string, std::string, std::less<>>;

/// The values of `key=value` lines, by key. Accessors throw InputError naming the key. An empty value counts
/// as missing.
class KeyReader {
 public:
  explicit KeyReader(const std::string& text) {
    std::size_t start = 0;
    while (start < text.size()) {
      const auto end = std::min(text.find('\n', start), text.size());
      const auto line = text.substr(start, end - start);
      if (const auto equals = line.find('='); equals != std::string::npos) {
        values_[line.substr(0, equals)] = line.substr(equals + 1);
      }
      start = end + 1;
    }
  }
  [[nodiscard]] std::optional<std::string> find(const std::string& key) const {
    const auto it = values_.find(key);
    if (it == values_.end() || it->second.empty()) return std::nullopt;
    return it->second;
  }
  [[nodiscard]] std::string text(const std::string& key) const {
    if (auto value = find(key)) return *value;
    throw InputError("setting " + key + " is missing");
  }
  [[nodiscard]] double number(const std::string& key) const { return to_number(key, text(key)); }
  [[nodiscard]] double number(const std::string& key, double fallback) const {
    const auto value = find(key);
    return value ? to_number(key, *value) : fallback;
  }
  /// A whole number from 0 to `max`.
  [[nodiscard]] std::uint32_t count(const std::string& key, std::uint32_t max) const {
    const double value = number(key);
    if (value < 0 || value > max || value != std::floor(value)) {
      throw InputError("setting " + key + " is out of range");
    }
    return static_cast<std::uint32_t>(value);
  }
  /// A duration in microseconds.
  [[nodiscard]] Duration duration(const std::string& key, double fallback) const {
    const double value = number(key, fallback);
    if (value < 0 || value > 1e15) throw InputError("setting " + key + " is out of range");
    return Duration{static_cast<std::int64_t>(value)};
  }
  [[nodiscard]] bool flag(const std::string& key) const { return find(key) == "true"; }
  /// Values separated by commas; empty when the key is missing.
  [[nodiscard]] std::vector<std::string> list(const std::string& key) const {
    std::vector<std::string> items;
    std::string rest = find(key).value_or("");
    while (!rest.empty()) {
      const auto comma = std::min(rest.find(','), rest.size());
      items.push_back(rest.substr(0, comma));
      rest.erase(0, comma + 1);
    }
    return items;
  }
  [[nodiscard]] static double to_number(const std::string& key, const std::string& value) {
    double number = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (error != std::errc{} || end != value.data() + value.size() || !std::isfinite(number)) {
      throw InputError("setting " + key + " is not a number");
    }
    return number;
  }

 private:
  ValuesByKey values_;
};

Idempotency to_idempotency(const std::string& effect) {
  if (effect == "side_effect") return Idempotency::not_idempotent;
  return effect == "token" ? Idempotency::keyed : Idempotency::idempotent;
}

}  // namespace

ExchangeNumber to_exchange_number(float value) {
  if (!(value >= 0.0F) || value > 65535.0F) return no_exchange;
  return static_cast<ExchangeNumber>(value);
}

ParsedSettings parse_settings(const std::string& text) {
  const KeyReader keys(text);
  ParsedSettings parsed;
  parsed.report_columns = keys.list("stats.columns");
  auto& settings = parsed.settings;
  const auto class_count = keys.count("classes.count", 1000);
  const auto circuits = keys.list("specifics.circuits_by_class");
  const auto call_lengths_us = keys.list("specifics.call_length_us");
  for (std::uint32_t i = 0; i < class_count; ++i) {
    const auto prefix = "classes." + std::to_string(i) + ".";
    ClassSettings class_settings;
    class_settings.name = keys.find(prefix + "name").value_or("class-" + std::to_string(i));
    class_settings.worth = keys.number(prefix + "importance");
    class_settings.late_worth_share = keys.number(prefix + "late_value", 0);
    class_settings.set_up_objective = Duration{keys.count(prefix + "objective_us", 0xffffffff)};
    class_settings.give_up_after = Duration{keys.count(prefix + "give_up_us", 0xffffffff)};
    class_settings.idempotency = to_idempotency(keys.find(prefix + "effect").value_or("pure"));
    if (i < circuits.size())
      class_settings.circuits = KeyReader::to_number("specifics.circuits_by_class", circuits[i]);
    if (i < call_lengths_us.size()) {
      const auto length_us = KeyReader::to_number("specifics.call_length_us", call_lengths_us[i]);
      class_settings.mean_holding_time =
          Duration{static_cast<std::int64_t>(std::clamp(length_us, 0.0, 1e15))};
    }
    const std::string pools_key = "specifics.skilled_pools." + std::to_string(i);
    for (const auto& pool : keys.list(pools_key)) {
      class_settings.skilled_pools.push_back(
          to_exchange_number(static_cast<float>(KeyReader::to_number(pools_key, pool))));
    }
    settings.classes.push_back(std::move(class_settings));
  }
  settings.uses_pools = keys.text("specifics.network_form") == "groups";
  settings.home_exchange =
      static_cast<ExchangeNumber>(std::clamp(keys.number("specifics.home_no", -1), -1.0, 65535.0));
  settings.controller_count = keys.count("balancers", 1000000);
  settings.release_wait = keys.duration("specifics.guard_us", 0);
  settings.resend_after = keys.duration("specifics.resend_us", 0);
  settings.batch_interval = keys.duration("step_us", 0);
  settings.start_capacity = keys.number("invariants.start_capacity", 1);
  settings.cold_time = keys.duration("invariants.cold_us", 0);
  settings.overload_multiple = keys.number("invariants.fall_multiple", 1);
  settings.overload_duration = keys.duration("invariants.overload_for_us", 0);
  settings.attempt_limit = keys.count("limits.try_limit", 65535);
  settings.max_retry_after = keys.duration("limits.max_retry_after_us", 0);
  settings.sends_retry_after = keys.flag("limits.retry_after");
  settings.cancelling = keys.flag("limits.cancelling");
  settings.probes = keys.flag("limits.probes");
  settings.peer_messages = keys.flag("limits.peers");
  settings.directory_by_subscription = keys.find("discovery") == "ask";
  settings.tandem_advice = keys.flag("specifics.hints_route");
  settings.has_wait_hints = keys.flag("specifics.retry_hint");
  return parsed;
}

LoadReport to_load_report(const std::vector<std::string>& columns, const std::vector<float>& figures) {
  LoadReport report;
  for (std::size_t i = 0; i < std::min(columns.size(), figures.size()); ++i) {
    const std::string_view name = columns[i];
    const double value = figures[i];
    if (name == "spare") report.free_circuits = value;
    if (name == "total") report.total_circuits = value;
    if (name == "utilization") report.utilisation = value;
    if (name == "backlog") report.queued_set_ups = value;
    if (name == "outstanding") report.outstanding_messages = value;
    if (name == "recent_ms") report.queue_wait_ms = value;
    if (name == "allowed") report.allowed_set_ups_per_second = value;
    if (name == "cut_by") report.requested_shed_share = value;
  }
  return report;
}

}  // namespace maddershed
