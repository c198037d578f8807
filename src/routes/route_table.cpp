#include "routes/route_table.hpp"

#include <algorithm>
#include <map>
#include <numeric>

namespace heathturn::routes {
namespace {

std::vector<std::pair<std::string, std::uint32_t>> class_entries(const EnumConfig& config) {
  std::vector<std::pair<std::string, std::uint32_t>> entries;
  for (const auto& each : config.class_prefixes) entries.emplace_back(each.prefix, each.traffic_class);
  return entries;
}

}  // namespace

RouteTable::RouteTable(const EnumConfig& config) : config_(config), class_prefixes_(class_entries(config)) {
  route_order_.resize(config.routes.size());
  std::iota(route_order_.begin(), route_order_.end(), 0U);
  const auto prefix = [&config](std::uint32_t index) -> const std::string& {
    return config.routes[index].prefix;
  };
  std::stable_sort(route_order_.begin(), route_order_.end(),
                   [&](auto a, auto b) { return prefix(a) < prefix(b); });
  std::vector<std::pair<std::string, std::uint32_t>> entries;
  for (std::uint32_t i = 0; i < route_order_.size(); ++i) {
    if (i > 0 && prefix(route_order_[i]) == prefix(route_order_[i - 1])) continue;
    entries.emplace_back(prefix(route_order_[i]), static_cast<std::uint32_t>(run_starts_.size()));
    run_starts_.push_back(i);
  }
  run_starts_.push_back(static_cast<std::uint32_t>(route_order_.size()));
  route_prefixes_ = PrefixTrie(std::move(entries));

  std::map<int, NetworksOfLength, std::greater<>> by_length;
  for (std::uint32_t i = 0; i < config.tenants.size(); ++i) {
    for (const auto& network : config.tenants[i].networks) {
      auto& networks = by_length[network.prefix_length];
      networks.mask = network.prefix_length == 0 ? 0U : ~0U << (32 - network.prefix_length);
      networks.tenants[network.host] = i;
    }
  }
  for (auto& [length, networks] : by_length) networks_.push_back(std::move(networks));
}

std::uint32_t RouteTable::tenant_of(std::uint32_t host) const {
  for (const auto& networks : networks_) {
    if (const auto it = networks.tenants.find(host & networks.mask); it != networks.tenants.end())
      return it->second;
  }
  return no_index;
}

std::uint32_t RouteTable::class_of(std::string_view number, std::uint32_t tenant) const {
  if (tenant != no_index && config_.tenants[tenant].traffic_class != no_index)
    return config_.tenants[tenant].traffic_class;
  const auto found = class_prefixes_.longest_match(number);
  return found == PrefixTrie::no_value ? 0 : found;
}

RouteTable::MatchResult RouteTable::match(const Route& route, const LookUp& look_up) const {
  if (route.traffic_class != no_index && route.traffic_class != look_up.traffic_class)
    return MatchResult::other_class;
  if (route.tenant != no_index && route.tenant != look_up.tenant) return MatchResult::other_tenant;
  if (route.schedule == no_index) return MatchResult::matched;
  const auto& spans = config_.schedules[route.schedule];
  const bool in_schedule = std::any_of(spans.begin(), spans.end(), [&](const auto& span) {
    return span.from <= look_up.minute_of_week && look_up.minute_of_week < span.to;
  });
  return in_schedule ? MatchResult::matched : MatchResult::other_time;
}

/// Visits the routes whose prefix the number begins with, those of the longest prefix first, until `visit`
/// returns false.
template <typename Visit>
void RouteTable::for_each_candidate(std::string_view number, const Visit& visit) const {
  const auto matches = route_prefixes_.all_matches(number);
  for (auto i = matches.size; i-- > 0;) {
    const auto run = matches.values[i];
    for (auto at = run_starts_[run]; at < run_starts_[run + 1]; ++at) {
      if (!visit(config_.routes[route_order_[at]])) return;
    }
  }
}

const Route* RouteTable::find(const LookUp& look_up) const {
  const Route* found = nullptr;
  for_each_candidate(look_up.number, [&](const Route& route) {
    if (match(route, look_up) == MatchResult::matched) found = &route;
    return found == nullptr;
  });
  return found;
}

std::vector<RouteTable::Evaluation> RouteTable::explain(const LookUp& look_up) const {
  std::vector<Evaluation> evaluations;
  for_each_candidate(look_up.number, [&](const Route& route) {
    evaluations.push_back({&route, match(route, look_up)});
    return evaluations.back().result != MatchResult::matched;
  });
  return evaluations;
}

std::vector<const Route*> RouteTable::candidate_routes(std::string_view number) const {
  std::vector<const Route*> candidates;
  for_each_candidate(number, [&](const Route& route) {
    candidates.push_back(&route);
    return true;
  });
  return candidates;
}

std::size_t RouteTable::memory_bytes() const {
  return route_prefixes_.memory_bytes() +
         (run_starts_.capacity() + route_order_.capacity()) * sizeof(std::uint32_t);
}

}  // namespace heathturn::routes
