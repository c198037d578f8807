// The JSON form of the ENUM file of version 0.3 and before, rewritten as the operator's file is now.
#pragma once

#include <string>

namespace heathturn {

/// `name`: the old file's, for the first line. Throws InputError naming what cannot be carried over.
[[nodiscard]] std::string convert_old_site(const std::string& name, const std::string& json);

}  // namespace heathturn
