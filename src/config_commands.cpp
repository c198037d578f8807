#include "config_commands.hpp"

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "config/convert.hpp"
#include "config/explain.hpp"
#include "config/formatter.hpp"
#include "config/site_diff.hpp"
#include "config/site_reader.hpp"
#include "config/sources.hpp"
#include "core/clock.hpp"
#include "net/tls/context.hpp"

namespace heathturn {
namespace {

/// Exit statuses: no findings; errors or differences were found; a file cannot be used.
constexpr int exit_ok = 0, exit_findings = 1, exit_unusable = 2;

void print(FILE* to, const Diagnostics& diagnostics) {
  for (const auto& each : diagnostics.all()) std::fprintf(to, "%s\n", each.to_text().c_str());
  if (diagnostics.omitted_count() > 0) std::fprintf(to, "and %zu more\n", diagnostics.omitted_count());
}

/// Loads the TLS files as the program does at its start.
void check_tls(const EnumConfig& config, Diagnostics& diagnostics) {
  const auto check = [&](const std::string& key, const std::optional<tls::TlsConfig>& tls_config,
                         const SourceLocation& location) {
    if (!tls_config) return;
    try {
      const tls::Context context(*tls_config, Clock().now_ms());
    } catch (const std::exception& error) {
      diagnostics.add({config.files[location.file], static_cast<int>(location.line),
                       static_cast<int>(location.column), key, error.what(), "", false});
    }
  };
  for (const auto& pool : config.pools) check("pool." + pool.name + ".tls", pool.tls, pool.location);
  check("converters.tls", config.converter_tls, {static_cast<std::uint32_t>(config.files.size() - 1), 1, 1});
}

int check(const std::vector<std::string>& files, const std::string& platform, bool strict) {
  int status = exit_ok;
  for (const auto& file : files) {
    Diagnostics diagnostics;
    const auto config = read_site(file, diagnostics);
    if (!diagnostics.has_errors()) check_tls(config, diagnostics);
    print(stdout, diagnostics);
    if (diagnostics.has_errors() || (strict && !diagnostics.all().empty())) {
      status = exit_findings;
    } else {
      std::printf("%s: in order, %zu pools, %zu policies, %zu routes\n", file.c_str(), config.pools.size(),
                  config.policies.size(), config.routes.size());
    }
  }
  if (platform.empty()) return status;
  try {
    const auto config = parse_platform_config(read_file(platform));
    std::printf("%s: in order, %zu converters known\n", platform.c_str(), config.known_converters.size());
  } catch (const std::exception& error) {
    std::printf("%s: %s\n", platform.c_str(), error.what());
    status = exit_findings;
  }
  return status;
}

int format(const std::string& file, bool only_check, bool write) {
  Diagnostics diagnostics;
  std::string text;
  if (!read_source_file(file, max_file_bytes, text, {file, 0, 0, "file", "", "", false}, diagnostics)) {
    print(stderr, diagnostics);
    return exit_unusable;
  }
  const auto formatted = format_source(file, text, diagnostics);
  if (!formatted) {
    print(stderr, diagnostics);
    return exit_unusable;
  }
  if (only_check) {
    if (*formatted == text) return exit_ok;
    std::printf("%s: not in its layout; `heathturn config fmt --write %s` puts it right\n", file.c_str(),
                file.c_str());
    return exit_findings;
  }
  if (!write) {
    std::fwrite(formatted->data(), 1, formatted->size(), stdout);
  } else if (*formatted != text) {
    replace_file(file, *formatted);
  }
  return exit_ok;
}

/// Reads a file. Returns false and prints the diagnostics when it cannot be used.
bool load(const std::string& file, EnumConfig& config, std::vector<ResolvedSetting>* settings = nullptr) {
  Diagnostics diagnostics;
  config = read_site(file, diagnostics, settings);
  if (!diagnostics.has_errors()) return true;
  print(stderr, diagnostics);
  return false;
}

int diff(const std::string& before, const std::string& after, bool json) {
  EnumConfig old, current;
  const bool old_is_usable = load(before, old);
  if (!load(after, current) || !old_is_usable) return exit_unusable;
  const auto difference = diff_sites(old, current);
  if (json) {
    std::printf("%s\n", to_json(difference).c_str());
  } else {
    for (const auto& each : difference.changes) {
      std::printf("%s%s\n", each.text.c_str(), each.needs_restart ? " (takes a restart)" : "");
    }
    if (const auto summary = difference.summary(); !summary.empty()) std::printf("%s\n", summary.c_str());
  }
  return difference.changes.empty() ? exit_ok : exit_findings;
}

int show(const std::string& file, const NumberQuery& query, const std::string& at) {
  EnumConfig config;
  std::vector<ResolvedSetting> settings;
  if (!load(file, config, query.number.empty() ? &settings : nullptr)) return exit_unusable;
  auto query_at_time = query;
  if (!at.empty()) {
    // A time of the week has the form of a span without its end.
    const auto spans = units::parse_week_spans(at + "-24:00");
    if (!spans.value || spans.value->size() != 1) {
      throw maddershed::InputError("--at: \"" + at +
                                   "\" is not a time of the week; expected one such as \"Mon 09:30\"");
    }
    query_at_time.minute_of_week = spans.value->front().from;
  }
  const auto text = query.number.empty() ? settings_listing(settings) : explain_number(config, query_at_time);
  std::fwrite(text.data(), 1, text.size(), stdout);
  return exit_ok;
}

int convert(const std::string& file, const std::string& out) {
  const auto text = convert_json_site(file, read_file(file));
  if (out.empty()) {
    std::fwrite(text.data(), 1, text.size(), stdout);
  } else {
    replace_file(out, text);
  }
  return exit_ok;
}

/// Arguments of all sub-commands.
struct Options {
  std::vector<std::string> files;
  std::string file, new_file, platform, out, at;
  NumberQuery query;
  bool strict = false, only_check = false, write = false, json = false;
};

}  // namespace

void add_config_commands(CLI::App& app, int& status) {
  auto* config = app.add_subcommand("config", "Check, format, compare, show and convert the operator's file");
  config->require_subcommand(1);
  auto options = std::make_shared<Options>();
  const auto file = [options](CLI::App* command) {
    command->add_option("file", options->file, "The operator's file")->required();
  };

  auto* checking =
      config->add_subcommand("check", "Report every error in the files, one a line, with its location");
  checking->add_option("files", options->files, "The operator's files");
  checking->add_option("--platform", options->platform, "A configuration from the platform (JSON)");
  checking->add_flag("--strict", options->strict, "Treat warnings as errors");
  checking->footer("Exit status: 0 no errors, 1 errors were found.");
  checking->callback([options, &status] {
    if (options->files.empty() && options->platform.empty())
      throw CLI::RequiredError("a file, or --platform,");
    status = check(options->files, options->platform, options->strict);
  });

  auto* formatting = config->add_subcommand("fmt", "Print the formatted file; all comments are kept");
  file(formatting);
  auto* only_check =
      formatting->add_flag("--check", options->only_check, "Only check whether the file is formatted");
  formatting->add_flag("--write", options->write, "Replace the file atomically")->excludes(only_check);
  formatting->footer(
      "Exit status: 0 done, or already formatted; 1 not formatted (--check); 2 the file cannot be read.");
  formatting->callback(
      [options, &status] { status = format(options->file, options->only_check, options->write); });

  auto* comparing = config->add_subcommand("diff", "Describe how two versions differ in their effect");
  comparing->add_option("old", options->file, "The old version")->required();
  comparing->add_option("new", options->new_file, "The new version")->required();
  comparing->add_flag("--json", options->json, "Print the changes as JSON");
  comparing->footer("Exit status: 0 no changes, 1 changes, 2 a file cannot be used.");
  comparing->callback([options, &status] { status = diff(options->file, options->new_file, options->json); });

  auto* showing = config->add_subcommand("show", "Print every resolved setting and its origin");
  file(showing);
  auto* number =
      showing->add_option("--number", options->query.number, "Explain how this number is routed instead");
  showing->add_option("--class", options->query.class_name, "Assume a look-up of this class")->needs(number);
  showing->add_option("--tenant", options->query.tenant_name, "Assume a look-up by this tenant")
      ->needs(number);
  showing
      ->add_option("--at", options->at,
                   "Assume this time of the week, such as \"Mon 09:30\" (default: Mon 00:00)")
      ->needs(number);
  showing->footer("Exit status: 0 shown, 2 the file cannot be used.");
  showing->callback([options, &status] { status = show(options->file, options->query, options->at); });

  auto* converting = config->add_subcommand("convert", "Convert the JSON form of version 0.3 and earlier");
  file(converting);
  converting->add_option("--out", options->out,
                         "Write to this file, atomically, instead of to standard output");
  converting->footer("Exit status: 0 done, 1 the file cannot be converted.");
  converting->callback([options, &status] { status = convert(options->file, options->out); });
}

}  // namespace heathturn
