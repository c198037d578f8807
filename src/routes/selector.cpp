#include "routes/selector.hpp"

#include <algorithm>
#include <utility>

namespace heathturn::routes {

using maddershed::ExchangeNumber;
using maddershed::no_exchange;

namespace {

/// A released number is reused only after this many others were released: late messages about its former
/// owner must not be attributed to the next one.
constexpr std::size_t min_released_numbers = 64;

/// Position of the zone in the pool's order of preference; zones that are not in it come last.
std::uint32_t zone_rank_of(const Pool& pool, const std::string& zone) {
  const auto it = std::find(pool.zones.begin(), pool.zones.end(), zone);
  return static_cast<std::uint32_t>(it - pool.zones.begin());
}

}  // namespace

Selector::Selector(std::shared_ptr<const EnumConfig> config) { apply_config(std::move(config)); }

std::shared_ptr<Selector::PreparedConfig> Selector::prepare(std::shared_ptr<const EnumConfig> config) {
  auto table = std::make_unique<RouteTable>(*config);
  return std::make_shared<PreparedConfig>(PreparedConfig{std::move(config), std::move(table)});
}

void Selector::apply_config(PreparedConfig& prepared) {
  config_ = std::move(prepared.config);
  table_ = std::move(prepared.table);
  route_states_.clear();
  pools_.assign(config_->pools.size(), {});
  std::map<std::string, std::shared_ptr<PolicyLimiter>> limiters;
  limiters_.clear();
  for (const auto& policy : config_->policies) {
    auto& limiter = limiters[policy.name];
    if (const auto it = limiters_by_name_.find(policy.name); it != limiters_by_name_.end())
      limiter = it->second;
    if (!limiter) limiter = std::make_shared<PolicyLimiter>();
    limiter->set_limits(policy);
    limiters_.push_back(limiter);
  }
  limiters_by_name_ = std::move(limiters);
  ++version_;
}

ExchangeNumber Selector::allocate_number() {
  if (released_numbers_.size() <= min_released_numbers) return next_number_++;
  const auto number = released_numbers_.front();
  released_numbers_.pop_front();
  return number;
}

void Selector::set_members(const std::vector<std::vector<PoolMember>>& pools) {
  for (auto& [name, record] : member_records_) record.listed = false;
  for (std::uint32_t i = 0; i < pools_.size() && i < pools.size(); ++i) {
    auto& pool = pools_[i];
    pool.members.clear();
    for (const auto& each : pools[i]) {
      const auto [it, is_new] = member_records_.try_emplace(each.name);
      auto& record = it->second;
      if (is_new) {
        record.number = allocate_number();
        record.id = next_id_++;
      }
      record.listed = true;
      record.pool = i;
      pool.members.push_back({each.name, record.number, record.id, each.weight,
                              zone_rank_of(config_->pools[i], each.zone), each.ready});
    }
    set_preferred(pool);
  }
  std::erase_if(member_records_, [this](const auto& each) {
    if (!each.second.listed) released_numbers_.push_back(each.second.number);
    return !each.second.listed;
  });
  ++version_;
}

/// The first candidate is taken from the most preferred zone that has members in service with a weight above
/// 0: these members share the turns by their weights.
void Selector::set_preferred(PoolState& pool) {
  std::uint32_t best_zone = no_index;
  pool.ready = false;
  for (const auto& each : pool.members) {
    pool.ready = pool.ready || each.ready;
    if (each.ready && each.weight > 0) best_zone = std::min(best_zone, each.zone_rank);
  }
  std::vector<WeightedRoundRobin::Slot> slots;
  pool.preferred.clear();
  for (std::size_t i = 0; i < pool.members.size(); ++i) {
    const auto& each = pool.members[i];
    if (!each.ready || each.weight <= 0 || each.zone_rank != best_zone) continue;
    pool.preferred.push_back(i);
    slots.push_back({each.id, each.weight});
  }
  pool.round_robin.set_slots(slots);
}

ExchangeNumber Selector::exchange_number_of(const std::string& name) const {
  const auto it = member_records_.find(name);
  return it == member_records_.end() ? no_exchange : it->second.number;
}

std::uint32_t Selector::pool_of(const std::string& name) const {
  const auto it = member_records_.find(name);
  return it == member_records_.end() ? no_index : it->second.pool;
}

/// Takes a turn among the pools of a route; returns the index in `targets`. The share of a pool with no
/// member in service is distributed over the other pools by their shares; when none of these is in service,
/// the first pool in service is taken.
std::size_t Selector::first_target(const Route& route, const std::vector<Target>& targets) {
  const auto sharing_count =
      std::count_if(targets.begin(), targets.end(), [](const auto& each) { return each.share > 0; });
  if (sharing_count > 1) {
    auto& state = route_states_[static_cast<std::uint32_t>(&route - config_->routes.data())];
    if (state.version != version_) {
      std::vector<WeightedRoundRobin::Slot> slots;
      for (const auto& each : targets) slots.push_back({each.pool, pools_[each.pool].ready ? each.share : 0});
      state.round_robin.set_slots(slots);
      state.version = version_;
    }
    const auto slot = state.round_robin.next();
    if (slot != WeightedRoundRobin::no_slot) return slot;
  }
  const auto is_ready = [this](const Target& each) { return pools_[each.pool].ready; };
  const auto with_share = std::find_if(targets.begin(), targets.end(),
                                       [&](const auto& each) { return each.share > 0 && is_ready(each); });
  if (with_share != targets.end()) return static_cast<std::size_t>(with_share - targets.begin());
  const auto first_ready = std::find_if(targets.begin(), targets.end(), is_ready);
  return first_ready == targets.end() ? 0 : static_cast<std::size_t>(first_ready - targets.begin());
}

/// Appends the members of a pool that are in service: the one whose turn it is, if `takes_turn`; then the
/// other preferred ones, the most credit first; then the other zones, in order; then the members of weight 0.
void Selector::append_candidates(PoolState& pool, bool takes_turn, std::vector<ExchangeNumber>& candidates) {
  std::size_t chosen = WeightedRoundRobin::no_slot;
  if (takes_turn) {
    if (const auto slot = pool.round_robin.next(); slot != WeightedRoundRobin::no_slot) {
      chosen = pool.preferred[slot];
      candidates.push_back(pool.members[chosen].number);
    }
  }
  struct SortKey {
    bool no_weight;
    std::uint32_t zone_rank;
    double negated_credit;
    std::size_t index;
  };
  std::vector<SortKey> others;
  std::vector<double> credits(pool.members.size(), 0);
  for (std::size_t i = 0; i < pool.preferred.size(); ++i)
    credits[pool.preferred[i]] = pool.round_robin.credit(i);
  for (std::size_t i = 0; i < pool.members.size(); ++i) {
    const auto& each = pool.members[i];
    if (each.ready && i != chosen) others.push_back({each.weight <= 0, each.zone_rank, -credits[i], i});
  }
  const auto count = std::min(others.size(), max_candidates - std::min(max_candidates, candidates.size()));
  std::partial_sort(others.begin(), others.begin() + static_cast<std::ptrdiff_t>(count), others.end(),
                    [](const SortKey& a, const SortKey& b) {
                      return std::tie(a.no_weight, a.zone_rank, a.negated_credit, a.index) <
                             std::tie(b.no_weight, b.zone_rank, b.negated_credit, b.index);
                    });
  for (std::size_t i = 0; i < count; ++i) candidates.push_back(pool.members[others[i].index].number);
}

std::optional<Choice> Selector::choose(const LookUp& look_up) {
  const auto* route = table_->find(look_up);
  if (route == nullptr) return std::nullopt;
  Choice choice;
  choice.route = route;
  choice.policy = route->policy;
  const auto& targets = config_->target_lists[route->target_list];
  const auto first = first_target(*route, targets);
  append_candidates(pools_[targets[first].pool], true, choice.candidates);
  for (std::size_t i = 0; i < targets.size() && choice.candidates.size() < max_candidates; ++i) {
    if (i != first) append_candidates(pools_[targets[i].pool], false, choice.candidates);
  }
  return choice;
}

}  // namespace heathturn::routes
