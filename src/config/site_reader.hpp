// Reads the operator's files into an EnumConfig: checks every value and fills in the defaults. Only this
// module interprets the files' fields.
#pragma once

#include <string>
#include <vector>

#include "config/diagnostics.hpp"
#include "config/enum_config.hpp"

namespace heathturn {

/// A resolved setting: its key, its value as the file format writes it, and where the value comes from.
struct ResolvedSetting {
  std::string key;
  std::string value;
  std::string origin;  ///< "FILE:LINE", "default", or the policy that it is inherited from
};

/// Reads the file and everything it includes. Errors and warnings are added to `diagnostics`; after an error
/// the result must not be put into service. Each resolved setting is appended to `resolved_settings`, if
/// given, in order.
[[nodiscard]] EnumConfig read_site(const std::string& path, Diagnostics& diagnostics,
                                   std::vector<ResolvedSetting>* resolved_settings = nullptr);

/// Reads the file for use in service. Throws ConfigError with all errors.
[[nodiscard]] EnumConfig load_site(const std::string& path);

/// "FILE:LINE"; "default" for a built-in value.
[[nodiscard]] std::string location_text(const EnumConfig& config, const SourceLocation& location);

/// Describes a route's targets, as in "70% to pool north, 30% to pool south, then pool west".
[[nodiscard]] std::string targets_text(const EnumConfig& config, const std::vector<Target>& targets);
/// Describes what a route requires of a look-up besides the prefix, as in "class abroad, tenant tui, Mon
/// 08:00-18:00"; empty when nothing.
[[nodiscard]] std::string conditions_text(const EnumConfig& config, const Route& route);
/// Describes the numbers with this prefix: "numbers 649", or "all numbers" for an empty one.
[[nodiscard]] std::string numbers_text(const std::string& prefix);

}  // namespace heathturn
