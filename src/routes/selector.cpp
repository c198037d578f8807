#include "routes/selector.hpp"

#include <algorithm>
#include <utility>

namespace heathturn::routes {

using maddershed::ExchangeNumber;
using maddershed::no_exchange;

namespace {

/// A number given back is not given out again before so many others are: what is still said of the one that
/// had it should not be taken for news of the next.
constexpr std::size_t least_free = 64;

std::uint32_t rank_of(const Pool& pool, const std::string& zone) {
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
  std::map<std::string, std::shared_ptr<PolicyLimiter>> gates;
  gates_.clear();
  for (const auto& policy : config_->policies) {
    auto& gate = gates[policy.name];
    if (const auto it = gates_by_name_.find(policy.name); it != gates_by_name_.end()) gate = it->second;
    if (!gate) gate = std::make_shared<PolicyLimiter>();
    gate->set_limits(policy);
    gates_.push_back(gate);
  }
  gates_by_name_ = std::move(gates);
  ++version_;
}

ExchangeNumber Selector::take_number() {
  if (free_.size() <= least_free) return next_number_++;
  const auto out = free_.front();
  free_.pop_front();
  return out;
}

void Selector::set_members(const std::vector<std::vector<PoolMember>>& pools) {
  for (auto& [name, numbered] : numbers_) numbered.listed = false;
  for (std::uint32_t i = 0; i < pools_.size() && i < pools.size(); ++i) {
    auto& pool = pools_[i];
    pool.members.clear();
    for (const auto& each : pools[i]) {
      const auto [it, fresh] = numbers_.try_emplace(each.name);
      auto& numbered = it->second;
      if (fresh) {
        numbered.number = take_number();
        numbered.id = next_id_++;
      }
      numbered.listed = true;
      numbered.pool = i;
      pool.members.push_back({each.name, numbered.number, numbered.id, each.weight,
                              rank_of(config_->pools[i], each.zone), each.ready});
    }
    set_taking(pool);
  }
  std::erase_if(numbers_, [this](const auto& each) {
    if (!each.second.listed) free_.push_back(each.second.number);
    return !each.second.listed;
  });
  ++version_;
}

/// Members of the best zone that has one in service share the first choices.
void Selector::set_taking(PoolState& pool) {
  std::uint32_t best = any;
  pool.ready = false;
  for (const auto& each : pool.members) {
    pool.ready = pool.ready || each.ready;
    if (each.ready && each.weight > 0) best = std::min(best, each.zone_rank);
  }
  std::vector<WeightedRoundRobin::Slot> slots;
  pool.taking.clear();
  for (std::size_t i = 0; i < pool.members.size(); ++i) {
    const auto& each = pool.members[i];
    if (!each.ready || each.weight <= 0 || each.zone_rank != best) continue;
    pool.taking.push_back(i);
    slots.push_back({each.id, each.weight});
  }
  pool.spread.set_slots(slots);
}

ExchangeNumber Selector::exchange_number_of(const std::string& name) const {
  const auto it = numbers_.find(name);
  return it == numbers_.end() ? no_exchange : it->second.number;
}

std::uint32_t Selector::pool_of(const std::string& name) const {
  const auto it = numbers_.find(name);
  return it == numbers_.end() ? any : it->second.pool;
}

/// The place among the targets of the pool that has the first choice. The share of a pool with nobody in
/// service goes to the others with a share, by theirs; then the order counts.
std::size_t Selector::first_pool(const Route& route, const std::vector<Target>& targets) {
  const auto sharing =
      std::count_if(targets.begin(), targets.end(), [](const auto& each) { return each.share > 0; });
  if (sharing > 1) {
    auto& state = route_states_[static_cast<std::uint32_t>(&route - config_->routes.data())];
    if (state.version != version_) {
      std::vector<WeightedRoundRobin::Slot> slots;
      for (const auto& each : targets) slots.push_back({each.pool, pools_[each.pool].ready ? each.share : 0});
      state.spread.set_slots(slots);
      state.version = version_;
    }
    const auto place = state.spread.next();
    if (place != WeightedRoundRobin::no_slot) return place;
  }
  const auto ready = [this](const Target& each) { return pools_[each.pool].ready; };
  const auto with_share = std::find_if(targets.begin(), targets.end(),
                                       [&](const auto& each) { return each.share > 0 && ready(each); });
  if (with_share != targets.end()) return static_cast<std::size_t>(with_share - targets.begin());
  const auto first = std::find_if(targets.begin(), targets.end(), ready);
  return first == targets.end() ? 0 : static_cast<std::size_t>(first - targets.begin());
}

/// Who is in service, in order: as `first`, the one whose turn it is; then those that are owed most, the
/// other zones, and those without a weight.
void Selector::add_members(PoolState& pool, bool first, std::vector<ExchangeNumber>& out) {
  std::size_t chosen = WeightedRoundRobin::no_slot;
  if (first) {
    if (const auto place = pool.spread.next(); place != WeightedRoundRobin::no_slot) {
      chosen = pool.taking[place];
      out.push_back(pool.members[chosen].number);
    }
  }
  struct Order {
    bool idle;
    std::uint32_t zone_rank;
    double owed;
    std::size_t index;
  };
  std::vector<Order> others;
  std::vector<double> owed(pool.members.size(), 0);
  for (std::size_t i = 0; i < pool.taking.size(); ++i) owed[pool.taking[i]] = pool.spread.credit(i);
  for (std::size_t i = 0; i < pool.members.size(); ++i) {
    const auto& each = pool.members[i];
    if (each.ready && i != chosen) others.push_back({each.weight <= 0, each.zone_rank, -owed[i], i});
  }
  const auto room = std::min(others.size(), max_candidates - std::min(max_candidates, out.size()));
  std::partial_sort(others.begin(), others.begin() + static_cast<std::ptrdiff_t>(room), others.end(),
                    [](const Order& a, const Order& b) {
                      return std::tie(a.idle, a.zone_rank, a.owed, a.index) <
                             std::tie(b.idle, b.zone_rank, b.owed, b.index);
                    });
  for (std::size_t i = 0; i < room; ++i) out.push_back(pool.members[others[i].index].number);
}

std::optional<Choice> Selector::choose(const LookUp& look_up) {
  const auto* route = table_->find(look_up);
  if (route == nullptr) return std::nullopt;
  Choice out;
  out.route = route;
  out.policy = route->policy;
  const auto& targets = config_->target_lists[route->targets];
  const auto first = first_pool(*route, targets);
  add_members(pools_[targets[first].pool], true, out.candidates);
  for (std::size_t i = 0; i < targets.size() && out.candidates.size() < max_candidates; ++i) {
    if (i != first) add_members(pools_[targets[i].pool], false, out.candidates);
  }
  return out;
}

}  // namespace heathturn::routes
