// heathturn: a call router on real sockets round the decision module.
#include <google/protobuf/stubs/common.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <random>

#include "config/site_reader.hpp"
#include "config_commands.hpp"
#include "console/console.hpp"
#include "enum/enum_service.hpp"
#include "experiment_commands.hpp"
#include "platform/platform_service.hpp"
#include "program.hpp"

namespace {

using namespace heathturn;

constexpr const char* version = "0.5.0";
constexpr double log_close_ms = 500;

struct Words {
  std::string config;
  std::string site;
  std::string console;
  LogFormat log_format = LogFormat::key_value;
  LogLevel log_level = LogLevel::info;
};

std::uint64_t fresh_seed() {
  std::random_device random;
  return static_cast<std::uint64_t>(random()) << 32 | random();
}

int serve(const Words& words) {
  if (words.config.empty() && words.site.empty()) {
    throw InputError("no configuration: give --config or --site, or set PROXY_CONFIG");
  }
  std::signal(SIGHUP, SIG_IGN);  // until the loop takes it: a file read just now needs no second reading
  std::optional<PlatformConfig> config;
  if (!words.config.empty()) config = parse_platform_config(read_file(words.config));
  std::optional<EnumConfig> site;
  if (!words.site.empty()) site = load_site(words.site);
  auto console_path = words.console;
  if (console_path.empty() && site) console_path = site->console_path;
  EventLog log(config ? config->name : "heathturn", words.log_format, words.log_level);
  int status = 0;
  bool working = false;
  try {
    Program program(log);
    if (config)
      program.add_service(
          std::make_unique<PlatformService>(program, std::move(*config), words.config, words.site));
    if (site && site->has_enum_frontend)
      program.add_service(std::make_unique<EnumService>(program, std::move(*site), words.site, fresh_seed()));
    std::optional<Console> console;
    if (!console_path.empty()) console.emplace(program, console_path, version);
    status = program.run();
    working = program.has_background_work();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "heathturn: %s\n", error.what());
    status = 1;
  }
  // A reader of the log that stands, or a file that is still being read, keeps nobody here.
  if (!log.close(log_close_ms) || working) std::_Exit(status);
  return status;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"heathturn, a call router"};
  app.require_subcommand(1);
  int status = 0;
  Words words;
  if (const char* given = std::getenv("PROXY_CONFIG")) words.config = given;
  auto* serving =
      app.add_subcommand("serve", "Route calls and look-ups until SIGTERM; SIGHUP reads the files again");
  serving->add_option("--config", words.config, "The platform's configuration (default: $PROXY_CONFIG)");
  serving->add_option(
      "--site,--enum", words.site,
      "The operator's file: the ENUM front, TLS towards converters; without it there is neither");
  serving->add_option("--console", words.console, "Unix socket of the console; without it there is none");
  serving->add_option("--log-format", words.log_format, "kv or json (default: kv)")
      ->transform(CLI::CheckedTransformer(
          std::map<std::string, LogFormat>{{"kv", LogFormat::key_value}, {"json", LogFormat::json}}));
  serving->add_option("--log-level", words.log_level, "debug, info, warn or error (default: info)")
      ->transform(CLI::CheckedTransformer(std::map<std::string, LogLevel>{{"debug", LogLevel::debug},
                                                                          {"info", LogLevel::info},
                                                                          {"warn", LogLevel::warn},
                                                                          {"error", LogLevel::error}}));
  serving->footer("Exit status: 0 ended as asked, 1 it could not start.");
  serving->callback([&] { status = serve(words); });

  auto* console =
      app.add_subcommand("console", "Ask the running program: status, converters, calls, drain, quit");
  std::string socket;
  std::vector<std::string> command;
  console->add_option("--socket", socket, "The program's console socket")->required();
  console->add_option("command", command, "One command; with none they are read from standard input");
  console->footer("Exit status: 0 done, 1 there is no console, or it has ended.");
  console->callback([&] { status = run_console(socket, command); });

  add_config_commands(app, status);
  add_experiment_commands(app, status);
  app.add_subcommand("version", "Print the version")->callback([] {
    std::printf("heathturn %s\n", version);
  });
  app.footer("`heathturn COMMAND --help` has each command's options and exit statuses.");
  try {
    CLI11_PARSE(app, argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "heathturn: %s\n", error.what());
    return 1;
  }
  return status;
}
