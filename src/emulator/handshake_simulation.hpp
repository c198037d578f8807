// A world in simulated time, from a seed: a converter with one processor line, and routers that come back to
// it after its restart, each with the real admission module, or with a plain way to compare with.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "handshakes/admission.hpp"

namespace heathturn::emulator {

enum class Strategy { admission, backoff, none };
[[nodiscard]] const char* strategy_name(Strategy strategy);

/// Times in ms; costs are processor time of a warm converter.
struct SimulationSettings {
  std::uint32_t router_count = 5;
  std::uint64_t seed = 1;
  double full_cost_ms = 2;
  double resumed_cost_ms = 0.3;
  double set_up_cost_ms = 1;
  double calls_per_second = 300;  ///< of all routers together
  double call_timeout_ms = 1500;  ///< of a call
  double start_capacity = 0.3;
  double cold_time_ms = 10000;
  double crash_backlog_ms = 800;  ///< of work in line, over which it falls over
  double restart_time_ms = 2000;  ///< until it is back, cold
  double handshake_timeout_ms = 1000;
  double connect_time_ms = 1;                ///< one way
  std::uint32_t connections_per_router = 2;  ///< that each router wants
  double disconnect_at_ms = 30000;           ///< all connections are cut once, sessions stay good
  double duration_ms = 60000;
  handshakes::Settings admission{};
};

struct SimulationResult {
  std::uint64_t calls = 0, answered_in_time = 0;
  std::uint64_t full_handshakes = 0, resumed_handshakes = 0,
                abandoned_handshakes = 0;  ///< handshakes done; done for nobody
  std::uint32_t crashes = 0;
  double all_connected_at_ms = -1;  ///< when every router had a connection again, first; -1: never
  double max_backlog_ms = 0;
  std::vector<double> backlog_samples_ms;  ///< of each 250 ms
};

[[nodiscard]] SimulationResult simulate_handshakes(Strategy strategy, const SimulationSettings& settings);

}  // namespace heathturn::emulator
