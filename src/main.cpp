// heathturn: a call router on real sockets around the decision module.
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
constexpr double log_close_timeout_ms = 500;

/// Options of `serve`.
struct ServeOptions {
  std::string config_path;
  std::string site_path;
  std::string console_path;
  LogFormat log_format = LogFormat::key_value;
  LogLevel log_level = LogLevel::info;
};

std::uint64_t random_seed() {
  std::random_device random;
  return static_cast<std::uint64_t>(random()) << 32 | random();
}

/// Runs the services and returns the exit status. Throws InputError for an invalid configuration.
int serve(const ServeOptions& options) {
  if (options.config_path.empty() && options.site_path.empty()) {
    throw InputError("no configuration: give --config or --site, or set PROXY_CONFIG");
  }
  std::signal(SIGHUP, SIG_IGN);  // until the event loop handles it: the files are read below anyway
  std::optional<PlatformConfig> config;
  if (!options.config_path.empty()) config = parse_platform_config(read_file(options.config_path));
  std::optional<EnumConfig> site;
  if (!options.site_path.empty()) site = load_site(options.site_path);
  auto console_path = options.console_path;
  if (console_path.empty() && site) console_path = site->console_path;
  EventLog log(config ? config->name : "heathturn", options.log_format, options.log_level);
  int status = 0;
  bool has_background_work = false;
  try {
    Program program(log);
    if (config)
      program.add_service(std::make_unique<PlatformService>(program, std::move(*config), options.config_path,
                                                            options.site_path));
    if (site && site->has_enum_frontend)
      program.add_service(
          std::make_unique<EnumService>(program, std::move(*site), options.site_path, random_seed()));
    std::optional<Console> console;
    if (!console_path.empty()) console.emplace(program, console_path, version);
    status = program.run();
    has_background_work = program.has_background_work();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "heathturn: %s\n", error.what());
    status = 1;
  }
  // A blocked reader of the log, or a file that is still being read, must not keep the process running.
  if (!log.close(log_close_timeout_ms) || has_background_work) std::_Exit(status);
  return status;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"heathturn, a call router"};
  app.require_subcommand(1);
  int status = 0;
  ServeOptions options;
  if (const char* path = std::getenv("PROXY_CONFIG")) options.config_path = path;
  auto* serve_command = app.add_subcommand(
      "serve", "Route calls and look-ups until SIGTERM; SIGHUP reloads the configuration files");
  serve_command->add_option("--config", options.config_path,
                            "Configuration file of the platform (default: $PROXY_CONFIG)");
  serve_command->add_option(
      "--site,--enum", options.site_path,
      "Configuration file of the ENUM service and of TLS to converters; both are off without it");
  serve_command->add_option("--console", options.console_path,
                            "Path of the console's Unix socket; no console without it");
  serve_command->add_option("--log-format", options.log_format, "Log format: kv or json (default: kv)")
      ->transform(CLI::CheckedTransformer(
          std::map<std::string, LogFormat>{{"kv", LogFormat::key_value}, {"json", LogFormat::json}}));
  serve_command
      ->add_option("--log-level", options.log_level,
                   "Minimum log level: debug, info, warn or error (default: info)")
      ->transform(CLI::CheckedTransformer(std::map<std::string, LogLevel>{{"debug", LogLevel::debug},
                                                                          {"info", LogLevel::info},
                                                                          {"warn", LogLevel::warn},
                                                                          {"error", LogLevel::error}}));
  serve_command->footer("Exit status: 0 stopped on request, 1 failed to start.");
  serve_command->callback([&] { status = serve(options); });

  auto* console = app.add_subcommand(
      "console", "Send commands to the running program: status, converters, calls, drain, quit");
  std::string socket;
  std::vector<std::string> command;
  console->add_option("--socket", socket, "Path of the program's console socket")->required();
  console->add_option("command", command, "The command; without one, commands are read from standard input");
  console->footer("Exit status: 0 success, 1 the console could not be reached or closed the connection.");
  console->callback([&] { status = run_console(socket, command); });

  add_config_commands(app, status);
  add_experiment_commands(app, status);
  app.add_subcommand("version", "Print the version")->callback([] {
    std::printf("heathturn %s\n", version);
  });
  app.footer("`heathturn COMMAND --help` lists the options and exit statuses of a command.");
  try {
    CLI11_PARSE(app, argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "heathturn: %s\n", error.what());
    return 1;
  }
  return status;
}
