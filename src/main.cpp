// heathturn: a call router on real sockets round the decision module.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <random>

#include "config/enum_config.hpp"
#include "console/console.hpp"
#include "enum/enum_service.hpp"
#include "platform/platform_service.hpp"
#include "program.hpp"

namespace {

using namespace heathturn;

constexpr const char* version = "0.3.0";

struct Files {
  std::string config;
  std::string enum_file;
  std::string console;
};

std::uint64_t fresh_seed() {
  std::random_device random;
  return static_cast<std::uint64_t>(random()) << 32 | random();
}

int check(const Files& files) {
  if (!files.config.empty()) {
    const auto config = parse_config(read_file(files.config));
    std::printf("%s: in order, %zu converters known\n", files.config.c_str(), config.known.size());
  }
  if (!files.enum_file.empty()) {
    const auto config = parse_enum_config(read_file(files.enum_file));
    std::printf("%s: in order, %zu upstreams, %zu ranges of numbers\n", files.enum_file.c_str(),
                config.upstreams.size(), config.numbers.size());
  }
  return 0;
}

int serve(const Files& files) {
  std::signal(SIGHUP, SIG_IGN);  // until the loop takes it: a file read just now needs no second reading
  std::optional<Config> config;
  if (!files.config.empty()) config = parse_config(read_file(files.config));
  std::optional<EnumConfig> enum_config;
  if (!files.enum_file.empty()) enum_config = parse_enum_config(read_file(files.enum_file));
  auto console_path = files.console;
  if (console_path.empty() && enum_config) console_path = enum_config->console;
  Program program(config ? config->name : "heathturn");
  if (config) program.add(std::make_unique<PlatformService>(program, std::move(*config), files.config));
  if (enum_config) {
    program.add(
        std::make_unique<EnumService>(program, std::move(*enum_config), files.enum_file, fresh_seed()));
  }
  std::optional<Console> console;
  if (!console_path.empty()) console.emplace(program, console_path, version);
  return program.run();
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"heathturn, a call router"};
  app.require_subcommand(1);
  Files files;
  if (const char* given = std::getenv("PROXY_CONFIG")) files.config = given;
  auto* serving = app.add_subcommand("serve", "Route calls and look-ups until SIGTERM; SIGHUP reads the files again");
  auto* checking = app.add_subcommand("check-config", "Read the configuration and say what is wrong with it");
  for (auto* each : {serving, checking}) {
    each->add_option("--config", files.config, "The platform's configuration (default: $PROXY_CONFIG)");
    each->add_option("--enum", files.enum_file, "The file of the ENUM front; without it there is none");
  }
  serving->add_option("--console", files.console, "Unix socket of the console; without it there is none");
  auto* console =
      app.add_subcommand("console", "Ask the running program: status, converters, calls, drain, quit");
  std::string socket;
  std::vector<std::string> command;
  console->add_option("--socket", socket, "The program's console socket")->required();
  console->add_option("command", command, "One command; with none they are read from standard input");
  auto* versions = app.add_subcommand("version", "Print the version");
  CLI11_PARSE(app, argc, argv);
  try {
    if (versions->parsed()) {
      std::printf("heathturn %s\n", version);
      return 0;
    }
    if (console->parsed()) return run_console(socket, command);
    if (files.config.empty() && files.enum_file.empty()) {
      throw InputError("no configuration: give --config or --enum, or set PROXY_CONFIG");
    }
    return checking->parsed() ? check(files) : serve(files);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "heathturn: %s\n", error.what());
    return 1;
  }
}
