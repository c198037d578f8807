// What the settings say of one number: its class, the routes looked at, the pool and the policy.
#pragma once

#include <optional>
#include <string>

#include "config/enum_config.hpp"
#include "config/site_reader.hpp"

namespace heathturn {

struct NumberQuery {
  std::string number;
  std::string class_name;   ///< empty: the number's
  std::string tenant_name;  ///< empty: none
  std::optional<std::uint16_t> minute_of_week;
};

/// Lines of text. Throws InputError when the question names what is not there.
[[nodiscard]] std::string explain_number(const EnumConfig& config, const NumberQuery& question);
/// One setting a line, `key = value  # origin`.
[[nodiscard]] std::string notes_text(const std::vector<ResolvedSetting>& notes);

}  // namespace heathturn
