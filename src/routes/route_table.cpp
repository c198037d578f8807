#include "routes/route_table.hpp"

#include <algorithm>
#include <map>
#include <numeric>

namespace heathturn::routes {
namespace {

std::vector<std::pair<std::string, std::uint32_t>> class_entries(const EnumConfig& config) {
  std::vector<std::pair<std::string, std::uint32_t>> out;
  for (const auto& each : config.class_prefixes) out.emplace_back(each.prefix, each.traffic_class);
  return out;
}

}  // namespace

RouteTable::RouteTable(const EnumConfig& config) : config_(config), classes_(class_entries(config)) {
  order_.resize(config.routes.size());
  std::iota(order_.begin(), order_.end(), 0U);
  const auto prefix = [&config](std::uint32_t index) -> const std::string& {
    return config.routes[index].prefix;
  };
  std::stable_sort(order_.begin(), order_.end(), [&](auto a, auto b) { return prefix(a) < prefix(b); });
  std::vector<std::pair<std::string, std::uint32_t>> entries;
  for (std::uint32_t i = 0; i < order_.size(); ++i) {
    if (i > 0 && prefix(order_[i]) == prefix(order_[i - 1])) continue;
    entries.emplace_back(prefix(order_[i]), static_cast<std::uint32_t>(runs_.size()));
    runs_.push_back(i);
  }
  runs_.push_back(static_cast<std::uint32_t>(order_.size()));
  prefixes_ = PrefixTrie(std::move(entries));

  std::map<int, Width, std::greater<>> widths;
  for (std::uint32_t i = 0; i < config.tenants.size(); ++i) {
    for (const auto& network : config.tenants[i].networks) {
      auto& width = widths[network.length];
      width.mask = network.length == 0 ? 0U : ~0U << (32 - network.length);
      width.tenants[network.host] = i;
    }
  }
  for (auto& [length, width] : widths) widths_.push_back(std::move(width));
}

std::uint32_t RouteTable::tenant_of(std::uint32_t host) const {
  for (const auto& width : widths_) {
    if (const auto it = width.tenants.find(host & width.mask); it != width.tenants.end()) return it->second;
  }
  return any;
}

std::uint32_t RouteTable::class_of(std::string_view number, std::uint32_t tenant) const {
  if (tenant != any && config_.tenants[tenant].traffic_class != any)
    return config_.tenants[tenant].traffic_class;
  const auto found = classes_.longest_match(number);
  return found == PrefixTrie::no_value ? 0 : found;
}

RouteTable::MatchResult RouteTable::match(const Route& route, const LookUp& look_up) const {
  if (route.traffic_class != any && route.traffic_class != look_up.traffic_class)
    return MatchResult::other_class;
  if (route.tenant != any && route.tenant != look_up.tenant) return MatchResult::other_tenant;
  if (route.schedule == any) return MatchResult::matched;
  const auto& spans = config_.schedules[route.schedule];
  const bool now = std::any_of(spans.begin(), spans.end(), [&](const auto& span) {
    return span.from <= look_up.minute_of_week && look_up.minute_of_week < span.to;
  });
  return now ? MatchResult::matched : MatchResult::other_time;
}

/// Visits the routes on a number's way, those of the longest prefix first, until told to stop.
template <typename Visit>
void RouteTable::each_on_way(std::string_view number, const Visit& visit) const {
  const auto path = prefixes_.all_matches(number);
  for (auto at = path.size; at-- > 0;) {
    const auto run = path.values[at];
    for (auto i = runs_[run]; i < runs_[run + 1]; ++i) {
      if (!visit(config_.routes[order_[i]])) return;
    }
  }
}

const Route* RouteTable::find(const LookUp& look_up) const {
  const Route* found = nullptr;
  each_on_way(look_up.number, [&](const Route& route) {
    if (match(route, look_up) == MatchResult::matched) found = &route;
    return found == nullptr;
  });
  return found;
}

std::vector<RouteTable::Evaluation> RouteTable::explain(const LookUp& look_up) const {
  std::vector<Evaluation> out;
  each_on_way(look_up.number, [&](const Route& route) {
    out.push_back({&route, match(route, look_up)});
    return out.back().result != MatchResult::matched;
  });
  return out;
}

std::vector<const Route*> RouteTable::candidate_routes(std::string_view number) const {
  std::vector<const Route*> out;
  each_on_way(number, [&](const Route& route) {
    out.push_back(&route);
    return true;
  });
  return out;
}

std::size_t RouteTable::memory_bytes() const {
  return prefixes_.memory_bytes() + (runs_.capacity() + order_.capacity()) * sizeof(std::uint32_t);
}

}  // namespace heathturn::routes
