// Turns a look-up into the name servers that may answer it, in order: the route's pools by their shares, the
// members of a pool by zone and weight. Does no I/O, and decides nothing that the decision module decides:
// that one chooses among these when they are pressed.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "routes/policy_limiter.hpp"
#include "routes/route_table.hpp"
#include "routes/weighted_round_robin.hpp"

namespace heathturn::routes {

/// A member as a list names it, the operator's file or a registry.
struct PoolMember {
  std::string name;
  double weight = 1;
  std::string zone;
  bool ready = true;
};

/// What the route module says of one look-up.
struct Choice {
  const Route* route = nullptr;
  std::uint32_t policy = 0;
  std::vector<maddershed::ExchangeNumber> candidates;  ///< in order; empty: nothing is in service
};

class Selector {
 public:
  /// At most so many candidates, in order.
  static constexpr std::size_t max_candidates = 16;

  explicit Selector(std::shared_ptr<const EnumConfig> config);
  /// Goes by other settings from now on. Members are listed anew after it; shares are counted afresh, what is
  /// open under a policy of the same name counts on.
  void apply_config(std::shared_ptr<const EnumConfig> config) { apply_config(*prepare(std::move(config))); }
  /// The index of other settings, which takes long where these are large; it may be made on any thread.
  struct PreparedConfig {
    std::shared_ptr<const EnumConfig> config;
    std::unique_ptr<RouteTable> table;
  };
  [[nodiscard]] static std::shared_ptr<PreparedConfig> prepare(std::shared_ptr<const EnumConfig> config);
  void apply_config(PreparedConfig& prepared);

  /// The whole list, by pool. Who is not named any more is gone; who comes is given a number.
  void set_members(const std::vector<std::vector<PoolMember>>& pools);
  /// Its number for the decision module; no_exchange for one that is not listed.
  [[nodiscard]] maddershed::ExchangeNumber exchange_number_of(const std::string& name) const;
  /// The pool of a member, for its limit.
  [[nodiscard]] std::uint32_t pool_of(const std::string& name) const;

  /// Nothing when no route fits.
  [[nodiscard]] std::optional<Choice> choose(const LookUp& look_up);
  [[nodiscard]] const RouteTable& route_table() const { return *table_; }
  /// The door of a policy. It stays for whoever holds it, also when a reload takes the policy away.
  [[nodiscard]] std::shared_ptr<PolicyLimiter> limiter(std::uint32_t policy) const { return gates_[policy]; }

 private:
  struct Member {
    std::string name;
    maddershed::ExchangeNumber number = maddershed::no_exchange;
    std::uint64_t id = 0;
    double weight = 0;
    std::uint32_t zone_rank = 0;
    bool ready = false;
  };
  struct PoolState {
    std::vector<Member> members;
    std::vector<std::size_t> taking;  ///< members of the best zone in service, as the spread has them
    WeightedRoundRobin spread;
    bool ready = false;
  };
  struct Numbered {
    maddershed::ExchangeNumber number = maddershed::no_exchange;
    std::uint64_t id = 0;
    std::uint32_t pool = 0;
    bool listed = false;
  };
  struct RouteState {
    WeightedRoundRobin spread;
    std::uint64_t version = 0;  ///< of the list that the spread was set by
  };
  maddershed::ExchangeNumber take_number();
  void set_taking(PoolState& pool);
  std::size_t first_pool(const Route& route, const std::vector<Target>& targets);
  void add_members(PoolState& pool, bool first, std::vector<maddershed::ExchangeNumber>& out);

  std::shared_ptr<const EnumConfig> config_;
  std::unique_ptr<RouteTable> table_;
  std::vector<std::shared_ptr<PolicyLimiter>> gates_;
  std::map<std::string, std::shared_ptr<PolicyLimiter>> gates_by_name_;
  std::vector<PoolState> pools_;
  std::map<std::string, Numbered> numbers_;
  std::deque<maddershed::ExchangeNumber> free_;  ///< given back, the longest ago first
  maddershed::ExchangeNumber next_number_ = 0;
  std::uint64_t next_id_ = 1;
  std::uint64_t version_ = 1;
  std::unordered_map<std::uint32_t, RouteState> route_states_;  ///< of routes with more than one share
};

}  // namespace heathturn::routes
