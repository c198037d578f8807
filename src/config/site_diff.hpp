// What changes in meaning between two versions of the operator's settings, in sentences.
#pragma once

#include <string>
#include <vector>

#include "config/enum_config.hpp"

namespace heathturn {

struct SiteChange {
  std::string kind;     ///< "site", "decisions", "class", "tenant", "registry", "pool", "policy", "route"
  std::string subject;  ///< its name, or the numbers concerned
  std::string text;     ///< one sentence, beginning with the subject
  bool needs_restart = false;  ///< cannot change in service
};

struct SiteDifference {
  std::vector<SiteChange> changes;
  std::size_t prefix_count = 0;        ///< prefixes of routes in either version
  std::size_t moved_prefix_count = 0;  ///< of these, whose first choices go elsewhere
  /// "about 3 of 12 ranges of numbers change their first pool"; empty when none does.
  [[nodiscard]] std::string summary() const;
};

/// Order, comments, includes and files do not count, nor do routes that change nothing.
[[nodiscard]] SiteDifference diff_sites(const EnumConfig& before, const EnumConfig& after);

/// For programs: {"changes":[{"kind","subject","text","restart"}],"ranges","moved"}.
[[nodiscard]] std::string to_json(const SiteDifference& difference);

}  // namespace heathturn
