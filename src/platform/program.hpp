// The program on the platform: its parts put together, and its life from start to SIGTERM.
#pragma once

#include "config/config.hpp"

namespace heathturn {

inline constexpr const char* program_version = "0.1.0";

/// Serves until SIGTERM or SIGINT; returns the exit status.
int serve(const Config& config);

}  // namespace heathturn
