// Describes in sentences how two versions of the operator's settings differ in their effect.
#pragma once

#include <string>
#include <vector>

#include "config/enum_config.hpp"

namespace heathturn {

/// One change.
struct SiteChange {
  std::string kind;     ///< "site", "decisions", "class", "tenant", "registry", "pool", "policy", "route"
  std::string subject;  ///< its kind and name, or the numbers concerned
  std::string text;     ///< one sentence, which begins with the subject
  bool needs_restart = false;  ///< cannot be applied by a reload
};

/// All changes between two versions.
struct SiteDifference {
  std::vector<SiteChange> changes;
  std::size_t prefix_count = 0;        ///< distinct route prefixes of both versions
  std::size_t moved_prefix_count = 0;  ///< of these, the ones whose first choices change
  /// "about 3 of 12 ranges of numbers change their first pool"; empty if none does.
  [[nodiscard]] std::string summary() const;
};

/// Compares two configurations. Order, comments, includes and the distribution over files make no difference,
/// nor do routes without an effect.
[[nodiscard]] SiteDifference diff_sites(const EnumConfig& before, const EnumConfig& after);

/// Formats a difference as JSON: {"changes":[{"kind","subject","text","restart"}],"ranges","moved"}.
[[nodiscard]] std::string to_json(const SiteDifference& difference);

}  // namespace heathturn
