// The one layout of the operator's files. Every comment stays, and a formatted file stays as it is.
#pragma once

#include <optional>
#include <string>

#include "config/diagnostics.hpp"

namespace heathturn {

/// The text in its layout; nothing, and the faults, when it cannot be read. What the text means is the same
/// before and after: that is checked here, on the parsed messages.
[[nodiscard]] std::optional<std::string> format_source(const std::string& name, const std::string& text,
                                                       Diagnostics& diagnostics);

/// Writes a file in one step: whoever reads it meanwhile has the old text or the new one. Keeps the file's
/// mode, and the file that a link leads to. Throws std::runtime_error.
void replace_file(const std::string& path, const std::string& text);

}  // namespace heathturn
