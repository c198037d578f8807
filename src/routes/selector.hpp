// Maps a look-up to the name servers that may answer it, in order of preference: the pools of its route by
// their shares, the members of a pool by zone and weight. Does no I/O. It leaves the choice among these
// candidates to the decision module, which makes it when they are under load.
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

/// A member of a pool, as the operator's file or a registry lists it.
struct PoolMember {
  std::string name;
  double weight = 1;  ///< not negative; a member of weight 0 comes after all others of its pool
  std::string zone;
  bool ready = true;  ///< in service
};

/// The result of routing one look-up.
struct Choice {
  const Route* route = nullptr;
  std::uint32_t policy = 0;                            ///< index into EnumConfig::policies
  std::vector<maddershed::ExchangeNumber> candidates;  ///< in order; empty: nothing is in service
};

/// Chooses the candidates for look-ups. Holds the routing settings in use and, across changes of them, the
/// members' numbers and the policies' limiters.
class Selector {
 public:
  /// Maximum number of candidates of one look-up.
  static constexpr std::size_t max_candidates = 16;

  explicit Selector(std::shared_ptr<const EnumConfig> config);
  /// Replaces the settings. set_members() must follow: until then no pool has members. The shares of pools
  /// and members are counted from zero again; the limiter of a policy that keeps its name is kept.
  void apply_config(std::shared_ptr<const EnumConfig> config) { apply_config(*prepare(std::move(config))); }
  /// Settings with their index.
  struct PreparedConfig {
    std::shared_ptr<const EnumConfig> config;
    std::unique_ptr<RouteTable> table;
  };
  /// Builds the index, which takes long for large settings. May be called on any thread.
  [[nodiscard]] static std::shared_ptr<PreparedConfig> prepare(std::shared_ptr<const EnumConfig> config);
  /// As above, with an index that is already built; moves from `prepared`.
  void apply_config(PreparedConfig& prepared);

  /// Replaces the lists of members, one for each pool. Members that are no longer listed are removed; new
  /// ones are given a number.
  void set_members(const std::vector<std::vector<PoolMember>>& pools);
  /// The member's number for the decision module; no_exchange when it is not listed.
  [[nodiscard]] maddershed::ExchangeNumber exchange_number_of(const std::string& name) const;
  /// The index of the member's pool, for the pool's limit; `no_index` when it is not listed.
  [[nodiscard]] std::uint32_t pool_of(const std::string& name) const;

  /// Chooses the candidates for a look-up and takes its turn in the shares. Nothing when no route matches.
  [[nodiscard]] std::optional<Choice> choose(const LookUp& look_up);
  [[nodiscard]] const RouteTable& route_table() const { return *table_; }
  /// The limiter of a policy, by its index. It stays valid for its holders when a reload removes the policy.
  [[nodiscard]] std::shared_ptr<PolicyLimiter> limiter(std::uint32_t policy) const {
    return limiters_[policy];
  }

 private:
  struct Member {
    std::string name;
    maddershed::ExchangeNumber number = maddershed::no_exchange;
    std::uint64_t id = 0;
    double weight = 0;
    std::uint32_t zone_rank = 0;  ///< index of its zone in the pool's order of preference
    bool ready = false;
  };
  struct PoolState {
    std::vector<Member> members;
    std::vector<std::size_t> preferred;  ///< the members that are slots of `round_robin`, in its order
    WeightedRoundRobin round_robin;
    bool ready = false;  ///< a member is in service
  };
  /// What is kept of a listed member when the lists are replaced.
  struct MemberRecord {
    maddershed::ExchangeNumber number = maddershed::no_exchange;
    std::uint64_t id = 0;  ///< never reused
    std::uint32_t pool = 0;
    bool listed = false;
  };
  struct RouteState {
    WeightedRoundRobin round_robin;
    std::uint64_t version = 0;  ///< `version_` when the slots of `round_robin` were set
  };
  maddershed::ExchangeNumber allocate_number();
  void set_preferred(PoolState& pool);
  std::size_t first_target(const Route& route, const std::vector<Target>& targets);
  void append_candidates(PoolState& pool, bool takes_turn,
                         std::vector<maddershed::ExchangeNumber>& candidates);

  std::shared_ptr<const EnumConfig> config_;
  std::unique_ptr<RouteTable> table_;
  std::vector<std::shared_ptr<PolicyLimiter>> limiters_;  ///< by index of the policy
  std::map<std::string, std::shared_ptr<PolicyLimiter>> limiters_by_name_;
  std::vector<PoolState> pools_;
  std::map<std::string, MemberRecord> member_records_;       ///< by name
  std::deque<maddershed::ExchangeNumber> released_numbers_;  ///< in the order of their release
  maddershed::ExchangeNumber next_number_ = 0;
  std::uint64_t next_id_ = 1;
  std::uint64_t version_ = 1;                                   ///< of settings and member lists together
  std::unordered_map<std::uint32_t, RouteState> route_states_;  ///< of routes with more than one share
};

}  // namespace heathturn::routes
