// Which class a look-up is of, who asks, and which route it takes: the settings as an index.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/enum_config.hpp"
#include "routes/prefix_trie.hpp"

namespace heathturn::routes {

struct LookUp {
  std::string_view number;
  std::uint32_t traffic_class = 0;
  std::uint32_t tenant = any;
  std::uint16_t minute_of_week = 0;
};

class RouteTable {
 public:
  /// The settings outlive the table and stay as they are.
  explicit RouteTable(const EnumConfig& config);

  /// The tenant with the narrowest network that holds the address; `any` when none does.
  [[nodiscard]] std::uint32_t tenant_of(std::uint32_t host) const;
  /// The tenant's class, else that of the longest prefix, else the first one.
  [[nodiscard]] std::uint32_t class_of(std::string_view number, std::uint32_t tenant) const;

  enum class MatchResult { matched, other_class, other_tenant, other_time };
  [[nodiscard]] MatchResult match(const Route& route, const LookUp& look_up) const;
  /// The route that a look-up takes; nothing when none fits.
  [[nodiscard]] const Route* find(const LookUp& look_up) const;
  /// The routes that are looked at, in their order, up to the one that is taken.
  struct Evaluation {
    const Route* route = nullptr;
    MatchResult result = MatchResult::matched;
  };
  [[nodiscard]] std::vector<Evaluation> explain(const LookUp& look_up) const;
  /// All routes whose prefix the number begins with, in the order in which they are tried.
  [[nodiscard]] std::vector<const Route*> candidate_routes(std::string_view number) const;
  [[nodiscard]] std::size_t memory_bytes() const;

 private:
  template <typename Visit>
  void each_on_way(std::string_view number, const Visit& visit) const;

  const EnumConfig& config_;
  PrefixTrie classes_, prefixes_;
  /// Of each prefix, a run in `order_`: indices of routes, in the order of the files.
  std::vector<std::uint32_t> runs_, order_;
  struct Width {
    std::uint32_t mask = 0;
    std::unordered_map<std::uint32_t, std::uint32_t> tenants;  ///< by masked host
  };
  std::vector<Width> widths_;  ///< the narrowest first
};

}  // namespace heathturn::routes
