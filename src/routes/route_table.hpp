// The routing settings as an index: finds the tenant and class of a look-up and the route that it takes.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/enum_config.hpp"
#include "routes/prefix_trie.hpp"

namespace heathturn::routes {

/// What the choice of a route depends on.
struct LookUp {
  std::string_view number;           ///< digits of the called number
  std::uint32_t traffic_class = 0;   ///< index of the class
  std::uint32_t tenant = no_index;   ///< index of the tenant; `no_index`: none
  std::uint16_t minute_of_week = 0;  ///< in the time zone of the settings
};

/// Index over the routes, class prefixes and tenants' networks of an EnumConfig.
class RouteTable {
 public:
  /// `config` must outlive the table and must not change.
  explicit RouteTable(const EnumConfig& config);

  /// The tenant with the narrowest network that contains the address (in host order); `no_index` when there
  /// is none.
  [[nodiscard]] std::uint32_t tenant_of(std::uint32_t host) const;
  /// The tenant's class, else the class of the longest matching prefix, else the first class.
  [[nodiscard]] std::uint32_t class_of(std::string_view number, std::uint32_t tenant) const;

  /// Whether the conditions of a route hold for a look-up, or the first one that does not.
  enum class MatchResult { matched, other_class, other_tenant, other_time };
  /// Checks class, tenant and time; the number is not compared with the route's prefix.
  [[nodiscard]] MatchResult match(const Route& route, const LookUp& look_up) const;
  /// The route that a look-up takes; nullptr when none matches.
  [[nodiscard]] const Route* find(const LookUp& look_up) const;
  /// One route that was checked for a look-up, with the result.
  struct Evaluation {
    const Route* route = nullptr;
    MatchResult result = MatchResult::matched;
  };
  /// The routes that find() checks, in order, up to and including the one that matches.
  [[nodiscard]] std::vector<Evaluation> explain(const LookUp& look_up) const;
  /// All routes whose prefix the number begins with, in the order in which find() checks them.
  [[nodiscard]] std::vector<const Route*> candidate_routes(std::string_view number) const;
  /// Memory of the route index, without that of classes and tenants.
  [[nodiscard]] std::size_t memory_bytes() const;

 private:
  template <typename Visit>
  void for_each_candidate(std::string_view number, const Visit& visit) const;

  const EnumConfig& config_;
  PrefixTrie class_prefixes_, route_prefixes_;
  /// The values of `route_prefixes_` are indices into `run_starts_`. The routes of one prefix are the run
  /// from one start to the next in `route_order_`: indices of routes, in the order of the files.
  std::vector<std::uint32_t> run_starts_, route_order_;
  /// The tenants' networks of one prefix length.
  struct NetworksOfLength {
    std::uint32_t mask = 0;
    std::unordered_map<std::uint32_t, std::uint32_t> tenants;  ///< by masked host
  };
  std::vector<NetworksOfLength> networks_;  ///< by length, the longest (narrowest) first
};

}  // namespace heathturn::routes
