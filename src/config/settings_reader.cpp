#include "config/settings_reader.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <string_view>

namespace maddershed {
namespace {

using Keys = std::map<std::string, std::string, std::less<>>;

class KeyReader {
 public:
  explicit KeyReader(const std::string& text) {
    std::size_t start = 0;
    while (start < text.size()) {
      const auto end = std::min(text.find('\n', start), text.size());
      const auto line = text.substr(start, end - start);
      if (const auto equals = line.find('='); equals != std::string::npos) {
        keys_[line.substr(0, equals)] = line.substr(equals + 1);
      }
      start = end + 1;
    }
  }
  [[nodiscard]] std::optional<std::string> find(const std::string& key) const {
    const auto it = keys_.find(key);
    if (it == keys_.end() || it->second.empty()) return std::nullopt;
    return it->second;
  }
  [[nodiscard]] std::string text(const std::string& key) const {
    if (auto value = find(key)) return *value;
    throw InputError("setting " + key + " is missing");
  }
  [[nodiscard]] double number(const std::string& key) const { return to_number(key, text(key)); }
  [[nodiscard]] double number(const std::string& key, double otherwise) const {
    const auto value = find(key);
    return value ? to_number(key, *value) : otherwise;
  }
  /// Whole and not negative.
  [[nodiscard]] std::uint32_t count(const std::string& key, std::uint32_t most) const {
    const double value = number(key);
    if (value < 0 || value > most || value != std::floor(value)) {
      throw InputError("setting " + key + " is out of range");
    }
    return static_cast<std::uint32_t>(value);
  }
  [[nodiscard]] Duration time(const std::string& key, double otherwise) const {
    const double value = number(key, otherwise);
    if (value < 0 || value > 1e15) throw InputError("setting " + key + " is out of range");
    return Duration{static_cast<std::int64_t>(value)};
  }
  [[nodiscard]] bool flag(const std::string& key) const { return find(key) == "true"; }
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
  Keys keys_;
};

Idempotency idempotency_of(const std::string& name) {
  if (name == "side_effect") return Idempotency::not_idempotent;
  return name == "token" ? Idempotency::keyed : Idempotency::idempotent;
}

}  // namespace

/// A number of the plan travels as a real; anything that is not such a number is no exchange.
ExchangeNumber to_exchange_number(float value) {
  if (!(value >= 0.0F) || value > 65535.0F) return no_exchange;
  return static_cast<ExchangeNumber>(value);
}

ParsedSettings parse_settings(const std::string& text) {
  const KeyReader keys(text);
  ParsedSettings parsed;
  parsed.report_columns = keys.list("stats.columns");
  auto& s = parsed.settings;
  const auto class_count = keys.count("classes.count", 1000);
  const auto circuits = keys.list("specifics.circuits_by_class");
  const auto lengths = keys.list("specifics.call_length_us");
  for (std::uint32_t i = 0; i < class_count; ++i) {
    const auto prefix = "classes." + std::to_string(i) + ".";
    ClassSettings c;
    c.name = keys.find(prefix + "name").value_or("class-" + std::to_string(i));
    c.worth = keys.number(prefix + "importance");
    c.late_worth_share = keys.number(prefix + "late_value", 0);
    c.set_up_objective = Duration{keys.count(prefix + "objective_us", 0xffffffff)};
    c.give_up_after = Duration{keys.count(prefix + "give_up_us", 0xffffffff)};
    c.idempotency = idempotency_of(keys.find(prefix + "effect").value_or("pure"));
    if (i < circuits.size()) c.circuits = KeyReader::to_number("specifics.circuits_by_class", circuits[i]);
    if (i < lengths.size()) {
      const auto length = KeyReader::to_number("specifics.call_length_us", lengths[i]);
      c.mean_holding_time = Duration{static_cast<std::int64_t>(std::clamp(length, 0.0, 1e15))};
    }
    const std::string pools_key = "specifics.skilled_pools." + std::to_string(i);
    for (const auto& pool : keys.list(pools_key)) {
      c.skilled_pools.push_back(
          to_exchange_number(static_cast<float>(KeyReader::to_number(pools_key, pool))));
    }
    s.classes.push_back(std::move(c));
  }
  s.uses_pools = keys.text("specifics.network_form") == "groups";
  s.home_exchange =
      static_cast<ExchangeNumber>(std::clamp(keys.number("specifics.home_no", -1), -1.0, 65535.0));
  s.controller_count = keys.count("balancers", 1000000);
  s.release_wait = keys.time("specifics.guard_us", 0);
  s.resend_after = keys.time("specifics.resend_us", 0);
  s.batch_interval = keys.time("step_us", 0);
  s.start_capacity = keys.number("invariants.start_capacity", 1);
  s.cold_time = keys.time("invariants.cold_us", 0);
  s.overload_multiple = keys.number("invariants.fall_multiple", 1);
  s.overload_duration = keys.time("invariants.overload_for_us", 0);
  s.attempt_limit = keys.count("limits.try_limit", 65535);
  s.max_retry_after = keys.time("limits.max_retry_after_us", 0);
  s.sends_retry_after = keys.flag("limits.retry_after");
  s.cancelling = keys.flag("limits.cancelling");
  s.probes = keys.flag("limits.probes");
  s.peer_messages = keys.flag("limits.peers");
  s.directory_by_subscription = keys.find("discovery") == "ask";
  s.tandem_advice = keys.flag("specifics.hints_route");
  s.has_wait_hints = keys.flag("specifics.retry_hint");
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
