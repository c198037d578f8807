// Converts the JSON form of the ENUM configuration (version 0.3 and earlier) to the operator's current
// format.
#pragma once

#include <string>

namespace heathturn {

/// Returns the text of the operator's file for a JSON configuration. `name` is the JSON file's name, stated
/// in the first line. Throws InputError naming what cannot be converted, and ConfigError when the result does
/// not parse.
[[nodiscard]] std::string convert_json_site(const std::string& name, const std::string& json);

}  // namespace heathturn
