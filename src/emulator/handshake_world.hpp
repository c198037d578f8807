// A world in simulated time, from a seed: a converter with one processor line, and routers that come back to
// it after its restart, each with the real admission module, or with a plain way to compare with.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "handshakes/admission.hpp"

namespace heathturn::emulator {

enum class Way { admission, backoff, none };
[[nodiscard]] const char* way_text(Way way);

/// Times in ms; costs are processor time of a warm converter.
struct HandshakePlan {
  std::uint32_t routers = 5;
  std::uint64_t seed = 1;
  double full_cost = 2;
  double resumed_cost = 0.3;
  double set_up_cost = 1;
  double calls_a_second = 300;  ///< of all routers together
  double deadline = 1500;       ///< of a call
  double start_capacity = 0.3;
  double cold_time = 10000;
  double fall_backlog = 800;   ///< of work in line, over which it falls over
  double restart_time = 2000;  ///< until it is back, cold
  double handshake_timeout = 1000;
  double connect_time = 1;        ///< one way
  std::uint32_t connections = 2;  ///< that each router wants
  double cut_at = 30000;          ///< all connections are cut once, sessions stay good
  double length = 60000;
  handshakes::Settings admission{};
};

struct HandshakeResult {
  std::uint64_t calls = 0, in_time = 0;
  std::uint64_t full = 0, resumed = 0, wasted = 0;  ///< handshakes done; done for nobody
  std::uint32_t falls = 0;
  double all_back = -1;  ///< when every router had a connection again, first; -1: never
  double worst_backlog = 0;
  std::vector<double> backlog;  ///< of each 250 ms
};

[[nodiscard]] HandshakeResult run_handshakes(Way way, const HandshakePlan& plan);

}  // namespace heathturn::emulator
