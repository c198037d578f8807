// The sub-commands of `heathturn config`: check, fmt, diff, show and convert.
#pragma once

#include <CLI/CLI.hpp>

namespace heathturn {

/// Adds the sub-commands. Each runs while the command line is parsed, and stores its exit status in `status`,
/// which must outlive the parsing.
void add_config_commands(CLI::App& app, int& status);

}  // namespace heathturn
