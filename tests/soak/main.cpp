// The soak: plays short, dense faults against the real call router, one process for each seed, and checks the
// rules of the platform's protocol. Usage: heathturn_soak PROGRAM FIRST_SEED LAST_SEED [JOBS [TRAFFIC_S]]
// Exit status: 0 no rule was broken, 1 one was, or a run did not count.
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>

#include "scenario.hpp"

namespace heathturn::soak {
namespace {

constexpr double default_traffic_s = 8;

/// Runs one seed in a process of its own and prints its result. Returns whether it passed.
int run_seed(const std::string& program, std::uint64_t seed, double traffic_ms) {
  ::signal(SIGPIPE, SIG_IGN);
  const auto folder = std::filesystem::temp_directory_path() /
                      ("heathturn-soak-" + std::to_string(::getpid()) + "-" + std::to_string(seed));
  std::filesystem::create_directories(folder);
  RunResult result;
  {
    Scenario scenario(program, folder.string(), seed, traffic_ms);
    result = scenario.run();
  }
  std::ostringstream out;
  const bool passed = result.violations.empty() && !result.harness_late;
  out << "seed " << seed << (passed ? " passed: " : " FAILED: ") << result.summary << "\n";
  if (result.harness_late) out << "  the stand-ins were late, the run does not count\n";
  for (const auto& each : result.violations) out << "  " << each;
  if (passed) {
    std::filesystem::remove_all(folder);
  } else {
    out << "  log of the call router: " << (folder / "router.log").string() << "\n";
  }
  std::cout << out.str() << std::flush;
  return passed ? 0 : 1;
}

/// Runs all seeds, `jobs` at a time. Returns the number of those that failed.
int run_seeds(const std::string& program, std::uint64_t first, std::uint64_t last, int jobs,
              double traffic_ms) {
  int failed = 0, running = 0;
  const auto wait_for_one = [&] {
    int status = 0;
    ::wait(&status);
    --running;
    if (status != 0) ++failed;
  };
  for (auto seed = first; seed <= last; ++seed) {
    if (running >= jobs) wait_for_one();
    std::cout.flush();
    if (::fork() == 0) {
      int status = 1;
      try {
        status = run_seed(program, seed, traffic_ms);
      } catch (const std::exception& error) {
        std::cout << "seed " << seed << " FAILED: " << error.what() << std::endl;
      }
      std::_Exit(status);
    }
    ++running;
  }
  while (running > 0) wait_for_one();
  return failed;
}

}  // namespace
}  // namespace heathturn::soak

int main(int argc, char** argv) {
  using namespace heathturn::soak;
  if (argc < 4) {
    std::cerr << "usage: heathturn_soak PROGRAM FIRST_SEED LAST_SEED [JOBS [TRAFFIC_S]]\n";
    return 2;
  }
  const std::uint64_t first = std::strtoull(argv[2], nullptr, 10), last = std::strtoull(argv[3], nullptr, 10);
  const int jobs = argc > 4 ? std::atoi(argv[4]) : 1;
  const double traffic_s = argc > 5 ? std::atof(argv[5]) : default_traffic_s;
  const int failed = run_seeds(argv[1], first, last, jobs, traffic_s * 1000);
  std::cout << last - first + 1 - static_cast<std::uint64_t>(failed) << " passed, " << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}
