#include "experiment_commands.hpp"

#include <cstdio>
#include <memory>

#include "config/formatter.hpp"
#include "emulator/handshake_simulation.hpp"
#include "emulator/plot.hpp"

namespace heathturn {
namespace {

using namespace emulator;

constexpr std::uint32_t max_routers = 1000;

/// Options of `experiment handshakes`.
struct Options {
  std::string router_range = "5..200";
  std::uint64_t seed = 1;
  std::string plot_path;  ///< empty: no plot
  SimulationSettings settings;
};

/// Parses "5..200" or "40": the first number, doubled until the last one. Throws CLI::ValidationError.
std::vector<std::uint32_t> parse_router_counts(const std::string& text) {
  unsigned from = 0, to = 0;
  char trailing = 0;
  if (std::sscanf(text.c_str(), "%u..%u%c", &from, &to, &trailing) != 2) {
    if (std::sscanf(text.c_str(), "%u%c", &from, &trailing) != 1) from = 0;
    to = from;
  }
  if (from < 1 || to < from || to > max_routers) {
    throw CLI::ValidationError(
        "--routers",
        "\"" + text + "\" is not a valid range; expected a number or a range such as 5..200, at most 1000");
  }
  std::vector<std::uint32_t> counts;
  for (auto router_count = from; router_count < to;
       router_count = std::max(router_count + 1, router_count * 2))
    counts.push_back(router_count);
  counts.push_back(to);
  return counts;
}

int run_experiment(const Options& options) {
  const auto router_counts = parse_router_counts(options.router_range);
  std::vector<Plot> plots = {
      {"Time until every router is connected", "routers", "ms", {}},
      {"Crashes of the converter", "routers", "crashes per minute", {}},
      {"Calls answered in time", "routers", "%", {}},
      {"Backlog of the converter, " + std::to_string(router_counts.back()) + " routers", "s", "ms", {}}};
  std::printf("%-10s %8s %6s %12s %14s %10s %8s %8s %8s\n", "way", "routers", "falls", "all_back_ms",
              "worst_line_ms", "in_time_%", "full", "resumed", "wasted");
  for (const auto strategy : {Strategy::admission, Strategy::backoff, Strategy::none}) {
    for (auto& plot : plots) plot.series.push_back({strategy_name(strategy), {}});
    for (const auto router_count : router_counts) {
      auto settings = options.settings;
      settings.router_count = router_count;
      settings.seed = options.seed;
      const auto result = simulate_handshakes(strategy, settings);
      const double in_time_percent =
          100.0 * static_cast<double>(result.answered_in_time) / static_cast<double>(result.calls);
      std::printf("%-10s %8u %6u %12.0f %14.0f %10.1f %8llu %8llu %8llu\n", strategy_name(strategy),
                  router_count, result.crashes, result.all_connected_at_ms, result.max_backlog_ms,
                  in_time_percent, static_cast<unsigned long long>(result.full_handshakes),
                  static_cast<unsigned long long>(result.resumed_handshakes),
                  static_cast<unsigned long long>(result.abandoned_handshakes));
      plots[0].series.back().points.emplace_back(
          router_count, result.all_connected_at_ms < 0 ? settings.duration_ms : result.all_connected_at_ms);
      plots[1].series.back().points.emplace_back(router_count, result.crashes);
      plots[2].series.back().points.emplace_back(router_count, in_time_percent);
      if (router_count != router_counts.back()) continue;
      for (std::size_t i = 0; i < result.backlog_samples_ms.size(); ++i) {
        plots[3].series.back().points.emplace_back(static_cast<double>(i) * 0.25,
                                                   result.backlog_samples_ms[i]);
      }
    }
  }
  if (!options.plot_path.empty()) replace_file(options.plot_path, to_svg(plots));
  return 0;
}

}  // namespace

void add_experiment_commands(CLI::App& app, int& status) {
  auto* experiment = app.add_subcommand("experiment", "Run simulations");
  experiment->require_subcommand(1);
  auto options = std::make_shared<Options>();
  auto* command = experiment->add_subcommand(
      "handshakes",
      "Simulate routers that reconnect to a converter after its restart: with admission, with exponential "
      "backoff, and with neither");
  command->add_option("--routers", options->router_range,
                      "Number of routers, or from..to with doubling steps (default: 5..200)");
  command->add_option("--seed", options->seed,
                      "Seed of the random numbers; the same seed gives the same table");
  command->add_option("--plot", options->plot_path, "File to write the plots to, as SVG");
  command->add_option("--calls", options->settings.calls_per_second,
                      "Calls per second at all routers together (default: 300)");
  command->add_option("--full-cost", options->settings.full_cost_ms,
                      "Processor time of a full handshake, in ms (default: 2)");
  command->add_option("--share", options->settings.admission.processor_share,
                      "Share of the processor for handshakes (default: 0.4)");
  command->footer("Exit status: 0 success, 1 the plot could not be written.");
  command->callback([options, &status] { status = run_experiment(*options); });
}

}  // namespace heathturn
