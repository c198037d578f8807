// `heathturn config ...`: check, fmt, diff, show and convert on the command line.
#pragma once

#include <CLI/CLI.hpp>

namespace heathturn {

/// Adds the sub-commands; each is run from within the parse and leaves its exit status in `status`.
void add_config_commands(CLI::App& app, int& status);

}  // namespace heathturn
