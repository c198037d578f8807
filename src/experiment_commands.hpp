// `heathturn experiment ...`: designs tried in the emulator, with a table and a plot.
#pragma once

#include <CLI/CLI.hpp>

namespace heathturn {

void add_experiment_commands(CLI::App& app, int& status);

}  // namespace heathturn
