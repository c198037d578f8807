// heathturn: a call router on real sockets round the decision module.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>

#include "platform/program.hpp"

int main(int argc, char** argv) {
  CLI::App app{"heathturn, a call router"};
  app.require_subcommand(1);
  std::string path;
  if (const char* given = std::getenv("PROXY_CONFIG")) path = given;
  auto* serve = app.add_subcommand("serve", "Route calls until SIGTERM");
  auto* check = app.add_subcommand("check-config", "Read the configuration and say what is wrong with it");
  for (auto* each : {serve, check}) {
    each->add_option("--config", path, "The configuration file (default: $PROXY_CONFIG)");
  }
  app.add_subcommand("version", "Print the version");
  CLI11_PARSE(app, argc, argv);
  try {
    if (app.got_subcommand("version")) {
      std::printf("heathturn %s\n", heathturn::program_version);
      return 0;
    }
    const auto config = heathturn::parse_config(heathturn::read_file(path));
    if (app.got_subcommand(check)) {
      std::printf("%s: in order, %zu converters known\n", path.c_str(), config.known.size());
      return 0;
    }
    return heathturn::serve(config);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "heathturn: %s\n", error.what());
    return 1;
  }
}
