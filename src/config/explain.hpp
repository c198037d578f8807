// Explains which settings apply to a number: its class, the routes that were considered, the pools and the
// policy.
#pragma once

#include <optional>
#include <string>

#include "config/enum_config.hpp"
#include "config/site_reader.hpp"

namespace heathturn {

/// A look-up to be explained.
struct NumberQuery {
  std::string number;
  std::string class_name;                       ///< empty: the class of the number, or of its tenant
  std::string tenant_name;                      ///< empty: none
  std::optional<std::uint16_t> minute_of_week;  ///< default: 0, Monday 00:00
};

/// Returns several lines of text. Throws InputError for an invalid number, or an unknown class or tenant.
[[nodiscard]] std::string explain_number(const EnumConfig& config, const NumberQuery& query);
/// Lists one setting a line, as `key = value  # origin`.
[[nodiscard]] std::string settings_listing(const std::vector<ResolvedSetting>& settings);

}  // namespace heathturn
