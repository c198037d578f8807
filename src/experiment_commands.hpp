// `heathturn experiment ...`: runs simulations, prints a table of the results and writes plots.
#pragma once

#include <CLI/CLI.hpp>

namespace heathturn {

/// Adds the commands to `app`; a command that runs sets `status` to its exit status.
void add_experiment_commands(CLI::App& app, int& status);

}  // namespace heathturn
