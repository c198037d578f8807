// Formats the operator's files. All comments are kept, and formatting a formatted file changes nothing.
#pragma once

#include <optional>
#include <string>

#include "config/diagnostics.hpp"

namespace heathturn {

/// Returns the formatted text, or nothing and diagnostics when the text cannot be parsed. Invariant, checked
/// here on the parsed messages: the text has the same meaning before and after.
[[nodiscard]] std::optional<std::string> format_source(const std::string& name, const std::string& text,
                                                       Diagnostics& diagnostics);

/// Replaces a file atomically: a concurrent reader sees either the old or the new text. Keeps the file's
/// mode, and replaces the target of a symbolic link. Throws std::runtime_error.
void replace_file(const std::string& path, const std::string& text);

}  // namespace heathturn
