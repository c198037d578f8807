#include "config/explain.hpp"

#include <algorithm>

#include "routes/route_table.hpp"

namespace heathturn {
namespace {

using maddershed::InputError;
using routes::RouteTable;

template <typename Items>
std::uint32_t index_of(const Items& items, const std::string& name, const char* kind) {
  for (std::uint32_t i = 0; i < items.size(); ++i) {
    if (items[i].name == name) return i;
  }
  throw InputError(std::string("no ") + kind + " is named \"" + name + "\"");
}

const char* match_text(RouteTable::MatchResult match) {
  switch (match) {
    case RouteTable::MatchResult::matched:
      return "taken";
    case RouteTable::MatchResult::other_class:
      return "not taken: it is for another class";
    case RouteTable::MatchResult::other_tenant:
      return "not taken: it is for another tenant";
    case RouteTable::MatchResult::other_time:
      break;
  }
  return "not taken: it is for another time";
}

/// Why a look-up has its class.
std::string class_reason(const EnumConfig& config, const NumberQuery& query, std::uint32_t tenant) {
  if (!query.class_name.empty()) return "as asked";
  if (tenant != no_index && config.tenants[tenant].traffic_class != no_index) return "the tenant's";
  std::string longest_prefix;
  bool found = false;
  for (const auto& each : config.class_prefixes) {
    if (!query.number.starts_with(each.prefix) || (found && each.prefix.size() < longest_prefix.size()))
      continue;
    longest_prefix = each.prefix;
    found = true;
  }
  return found ? "by its prefix " + (longest_prefix.empty() ? "\"\"" : longest_prefix)
               : "the first class, since no prefix fits";
}

std::string pool_text(const Pool& pool, const EnumConfig& config) {
  std::string out = "pool " + pool.name + ":";
  for (const auto& each : pool.members) {
    out += " " + each.converter.name + " (" + each.converter.address.text() + ", weight " +
           units::number_text(each.weight) + (each.zone.empty() ? "" : ", zone " + each.zone) + ")";
  }
  if (pool.from_registry) {
    out += " and what registry " + config.registries[pool.from_registry->registry].name + " lists as " +
           pool.from_registry->application;
  }
  return out;
}

}  // namespace

std::string explain_number(const EnumConfig& config, const NumberQuery& query) {
  const auto& number = query.number;
  if (number.empty() || number.find_first_not_of("0123456789") != std::string::npos) {
    throw InputError("\"" + number + "\" is not a number; expected digits, beginning with the country code");
  }
  if (!config.has_enum_frontend)
    throw InputError("the file configures no ENUM service, so it has no routes for numbers");
  const RouteTable table(config);
  routes::LookUp look_up;
  look_up.number = number;
  if (!query.tenant_name.empty()) look_up.tenant = index_of(config.tenants, query.tenant_name, "tenant");
  look_up.traffic_class = query.class_name.empty()
                              ? table.class_of(number, look_up.tenant)
                              : index_of(config.settings.classes, query.class_name, "class");
  look_up.minute_of_week = query.minute_of_week.value_or(0);
  std::string out = "number " + number + "\n";
  out += "class " + config.settings.classes[look_up.traffic_class].name + " (" +
         class_reason(config, query, look_up.tenant) + ")\n";
  out += "tenant " + (look_up.tenant == no_index ? "none" : config.tenants[look_up.tenant].name) + "\n";
  const auto to = std::min<int>(look_up.minute_of_week + 1, units::minutes_per_week);
  out += "time " + units::week_text({{look_up.minute_of_week, static_cast<std::uint16_t>(to)}}).substr(0, 9) +
         "\n";
  const Route* used_route = nullptr;
  for (const auto& [route, match] : table.explain(look_up)) {
    const auto conditions = conditions_text(config, *route);
    out += "route for " + numbers_text(route->prefix) + (conditions.empty() ? "" : ", " + conditions) +
           " at " + location_text(config, route->location) + ": " + match_text(match) + "\n";
    if (match == RouteTable::MatchResult::matched) used_route = route;
  }
  if (used_route == nullptr) return out + "no route is taken: the look-up is refused\n";
  const auto& targets = config.target_lists[used_route->target_list];
  out += "goes " + targets_text(config, targets) + "\n";
  for (const auto& each : targets) out += pool_text(config.pools[each.pool], config) + "\n";
  const auto& policy = config.policies[used_route->policy];
  out += "policy " + policy.name + " at " + location_text(config, policy.location) + ": deadline " +
         units::duration_text(config.deadline_ms(policy, look_up.traffic_class)) + ", " +
         std::to_string(policy.max_attempts) + " attempts, wait " +
         units::duration_text(policy.retry_wait_ms) + " between them\n";
  return out;
}

std::string settings_listing(const std::vector<ResolvedSetting>& settings) {
  std::size_t origin_column = 0;  // limited, so that a few long settings do not move all origins
  for (const auto& each : settings)
    origin_column =
        std::max(origin_column, std::min<std::size_t>(60, each.key.size() + each.value.size() + 3));
  std::string out;
  for (const auto& each : settings) {
    auto line = each.key + " = " + (each.value.empty() ? "none" : each.value);
    if (line.size() < origin_column) line.resize(origin_column, ' ');
    out += line + "  # " + each.origin + "\n";
  }
  return out;
}

}  // namespace heathturn
