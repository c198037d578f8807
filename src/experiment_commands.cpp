#include "experiment_commands.hpp"

#include <cstdio>
#include <memory>

#include "config/formatter.hpp"
#include "emulator/handshake_simulation.hpp"
#include "emulator/plot.hpp"

namespace heathturn {
namespace {

using namespace emulator;

constexpr std::uint32_t most_routers = 1000;

struct Words {
  std::string routers = "5..200";
  std::uint64_t seed = 1;
  std::string out;
  SimulationSettings settings;
};

/// "5..200" or "40". Throws CLI::ValidationError.
std::vector<std::uint32_t> sizes_of(const std::string& text) {
  unsigned from = 0, to = 0;
  char rest = 0;
  if (std::sscanf(text.c_str(), "%u..%u%c", &from, &to, &rest) != 2) {
    if (std::sscanf(text.c_str(), "%u%c", &from, &rest) != 1) from = 0;
    to = from;
  }
  if (from < 1 || to < from || to > most_routers) {
    throw CLI::ValidationError("--routers",
                               "\"" + text + "\" is no range; expected one such as 5..200, up to 1000");
  }
  std::vector<std::uint32_t> out;
  for (auto size = from; size < to; size = std::max(size + 1, size * 2)) out.push_back(size);
  out.push_back(to);
  return out;
}

int run_experiment(const Words& words) {
  const auto sizes = sizes_of(words.routers);
  std::vector<Plot> plots = {{"Time until every router is back", "routers", "ms", {}},
                             {"Falls of the converter", "routers", "falls in a minute", {}},
                             {"Calls answered in time", "routers", "%", {}},
                             {"Work in line, " + std::to_string(sizes.back()) + " routers", "s", "ms", {}}};
  std::printf("%-10s %8s %6s %12s %14s %10s %8s %8s %8s\n", "way", "routers", "falls", "all_back_ms",
              "worst_line_ms", "in_time_%", "full", "resumed", "wasted");
  for (const auto strategy : {Strategy::admission, Strategy::backoff, Strategy::none}) {
    for (auto& plot : plots) plot.series.push_back({strategy_name(strategy), {}});
    for (const auto size : sizes) {
      auto settings = words.settings;
      settings.router_count = size;
      settings.seed = words.seed;
      const auto result = simulate_handshakes(strategy, settings);
      const double in_time =
          100.0 * static_cast<double>(result.answered_in_time) / static_cast<double>(result.calls);
      std::printf("%-10s %8u %6u %12.0f %14.0f %10.1f %8llu %8llu %8llu\n", strategy_name(strategy), size,
                  result.crashes, result.all_connected_at_ms, result.max_backlog_ms, in_time,
                  static_cast<unsigned long long>(result.full_handshakes),
                  static_cast<unsigned long long>(result.resumed_handshakes),
                  static_cast<unsigned long long>(result.abandoned_handshakes));
      plots[0].series.back().points.emplace_back(
          size, result.all_connected_at_ms < 0 ? settings.duration_ms : result.all_connected_at_ms);
      plots[1].series.back().points.emplace_back(size, result.crashes);
      plots[2].series.back().points.emplace_back(size, in_time);
      if (size != sizes.back()) continue;
      for (std::size_t i = 0; i < result.backlog_samples_ms.size(); ++i) {
        plots[3].series.back().points.emplace_back(static_cast<double>(i) * 0.25,
                                                   result.backlog_samples_ms[i]);
      }
    }
  }
  if (!words.out.empty()) replace_file(words.out, to_svg(plots));
  return 0;
}

}  // namespace

void add_experiment_commands(CLI::App& app, int& status) {
  auto* experiment = app.add_subcommand("experiment", "Try designs in simulated time");
  experiment->require_subcommand(1);
  auto words = std::make_shared<Words>();
  auto* command = experiment->add_subcommand(
      "handshakes", "Routers come back to a converter that has just started: admission, plain backoff, none");
  command->add_option("--routers", words->routers, "How many, from..to (default: 5..200, doubling)");
  command->add_option("--seed", words->seed, "Of the random numbers; the same seed gives the same table");
  command->add_option("--plot", words->out, "Write the plots there, as SVG");
  command->add_option("--calls", words->settings.calls_per_second,
                      "Calls a second, of all routers (default: 300)");
  command->add_option("--full-cost", words->settings.full_cost_ms,
                      "Processor time of a full handshake, ms (default: 2)");
  command->add_option("--share", words->settings.admission.processor_share,
                      "Of the processor, for handshakes (default: 0.4)");
  command->footer("Exit status: 0 done, 1 the plot could not be written.");
  command->callback([words, &status] { status = run_experiment(*words); });
}

}  // namespace heathturn
