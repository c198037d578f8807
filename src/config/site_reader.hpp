// Turns the operator's files into the ENUM front's settings: every value read once, checked and given its
// default. What a file means is said here alone.
#pragma once

#include <string>
#include <vector>

#include "config/enum_config.hpp"
#include "config/faults.hpp"

namespace heathturn {

/// A setting as resolved: its key, its value in the language's own form, and where the value came from.
struct Note {
  std::string key;
  std::string value;
  std::string origin;  ///< "FILE:LINE", "default", or of whom it was taken over
};

/// Reads the file and all that it includes. Faults and warnings go to `faults`; with an error among them the
/// result is of no use but for finding more. `notes`, where given, is told of each setting in order.
[[nodiscard]] EnumConfig read_site(const std::string& path, Faults& faults,
                                   std::vector<Note>* notes = nullptr);

/// The same for a program that goes by it. Throws ConfigError with every fault.
[[nodiscard]] EnumConfig load_site(const std::string& path);

/// "FILE:LINE" for a place; "default" for none.
[[nodiscard]] std::string where_text(const EnumConfig& config, const Where& where);

/// Text of a route's targets, as in "70% to pool north, 30% to pool south, then pool west".
[[nodiscard]] std::string targets_text(const EnumConfig& config, const std::vector<Target>& targets);
/// What a route asks of a look-up beside its prefix, as in "class abroad, tenant tui, Mon 08:00-18:00"; empty
/// when nothing.
[[nodiscard]] std::string conditions_text(const EnumConfig& config, const Route& route);
/// "numbers 649", "all numbers".
[[nodiscard]] std::string numbers_text(const std::string& prefix);

}  // namespace heathturn
