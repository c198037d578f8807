// Discrete-event simulation of handshakes: a converter with one processor, and routers that reconnect to it
// after its restart, each with the real admission module or with a simple strategy to compare it with.
// The same seed gives the same result.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "handshakes/admission.hpp"

namespace heathturn::emulator {

/// When a router opens a connection: as the admission module decides, after an exponential backoff, or
/// without delay.
enum class Strategy { admission, backoff, none };
/// Name of the strategy in the table and the plots.
[[nodiscard]] const char* strategy_name(Strategy strategy);

/// What is simulated. Costs are processor time of a converter that is warm.
struct SimulationSettings {
  std::uint32_t router_count = 5;
  std::uint64_t seed = 1;
  double full_cost_ms = 2;
  double resumed_cost_ms = 0.3;
  double set_up_cost_ms = 1;
  double calls_per_second = 300;  ///< at all routers together
  double call_timeout_ms = 1500;
  double start_capacity = 0.3;    ///< share of its capacity that the converter has at its start
  double cold_time_ms = 10000;    ///< time from its start until the converter is warm
  double crash_backlog_ms = 800;  ///< a longer queue of work makes the converter crash
  double restart_time_ms = 2000;  ///< from a crash until the new process accepts connections
  double handshake_timeout_ms = 1000;
  double connect_time_ms = 1;  ///< network latency, one way
  std::uint32_t connections_per_router = 2;
  double disconnect_at_ms = 30000;  ///< all connections are reset once; sessions stay valid
  double duration_ms = 60000;
  handshakes::Settings admission{};
};

/// What the simulation counted and measured.
struct SimulationResult {
  std::uint64_t calls = 0, answered_in_time = 0;
  /// Handshakes that the converter completed. abandoned_handshakes: those that the router had given up
  /// before.
  std::uint64_t full_handshakes = 0, resumed_handshakes = 0, abandoned_handshakes = 0;
  std::uint32_t crashes = 0;
  double all_connected_at_ms = -1;  ///< first time when every router had a connection; -1: never
  double max_backlog_ms = 0;
  std::vector<double> backlog_samples_ms;  ///< one sample every 250 ms
};

/// Runs the simulation once.
[[nodiscard]] SimulationResult simulate_handshakes(Strategy strategy, const SimulationSettings& settings);

}  // namespace heathturn::emulator
