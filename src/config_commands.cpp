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

constexpr int in_order = 0, has_faults = 1, not_done = 2;

void print(FILE* to, const Diagnostics& diagnostics) {
  for (const auto& each : diagnostics.all()) std::fprintf(to, "%s\n", each.to_text().c_str());
  if (diagnostics.omitted_count() > 0) std::fprintf(to, "and %zu more\n", diagnostics.omitted_count());
}

/// The files that TLS needs, as a start of the program would find them.
void check_tls(const EnumConfig& config, Diagnostics& diagnostics) {
  const auto check = [&](const std::string& key, const std::optional<tls::TlsConfig>& set,
                         const SourceLocation& location) {
    if (!set) return;
    try {
      const tls::Context context(*set, Clock().now_ms());
    } catch (const std::exception& error) {
      diagnostics.add({config.files[location.file], static_cast<int>(location.line),
                       static_cast<int>(location.column), key, error.what(), "", false});
    }
  };
  for (const auto& pool : config.pools) check("pool." + pool.name + ".tls", pool.tls, pool.location);
  check("converters.tls", config.converter_tls, {static_cast<std::uint32_t>(config.files.size() - 1), 1, 1});
}

int check(const std::vector<std::string>& files, const std::string& platform, bool strict) {
  int status = in_order;
  for (const auto& file : files) {
    Diagnostics diagnostics;
    const auto config = read_site(file, diagnostics);
    if (!diagnostics.has_errors()) check_tls(config, diagnostics);
    print(stdout, diagnostics);
    if (diagnostics.has_errors() || (strict && !diagnostics.all().empty())) {
      status = has_faults;
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
    status = has_faults;
  }
  return status;
}

int format(const std::string& file, bool only_check, bool write) {
  Diagnostics diagnostics;
  std::string text;
  if (!read_source_file(file, max_file_bytes, text, {file, 0, 0, "file", "", "", false}, diagnostics)) {
    print(stderr, diagnostics);
    return not_done;
  }
  const auto formatted = format_source(file, text, diagnostics);
  if (!formatted) {
    print(stderr, diagnostics);
    return not_done;
  }
  if (only_check) {
    if (*formatted == text) return in_order;
    std::printf("%s: not in its layout; `heathturn config fmt --write %s` puts it right\n", file.c_str(),
                file.c_str());
    return has_faults;
  }
  if (!write) {
    std::fwrite(formatted->data(), 1, formatted->size(), stdout);
  } else if (*formatted != text) {
    replace_file(file, *formatted);
  }
  return in_order;
}

/// False, with the faults told, when the file is of no use.
bool load(const std::string& file, EnumConfig& config, std::vector<ResolvedSetting>* notes = nullptr) {
  Diagnostics diagnostics;
  config = read_site(file, diagnostics, notes);
  if (!diagnostics.has_errors()) return true;
  print(stderr, diagnostics);
  return false;
}

int diff(const std::string& before, const std::string& after, bool json) {
  EnumConfig old, fresh;
  const bool good = load(before, old);
  if (!load(after, fresh) || !good) return not_done;
  const auto difference = diff_sites(old, fresh);
  if (json) {
    std::printf("%s\n", to_json(difference).c_str());
  } else {
    for (const auto& each : difference.changes) {
      std::printf("%s%s\n", each.text.c_str(), each.needs_restart ? " (takes a restart)" : "");
    }
    if (const auto summary = difference.summary(); !summary.empty()) std::printf("%s\n", summary.c_str());
  }
  return difference.changes.empty() ? in_order : has_faults;
}

int show(const std::string& file, const NumberQuery& question, const std::string& at) {
  EnumConfig config;
  std::vector<ResolvedSetting> notes;
  if (!load(file, config, question.number.empty() ? &notes : nullptr)) return not_done;
  auto asked = question;
  if (!at.empty()) {
    // A moment is written as a span of times is, without its end.
    const auto spans = units::parse_week_spans(at + "-24:00");
    if (!spans.value || spans.value->size() != 1) {
      throw maddershed::InputError("--at: \"" + at +
                                   "\" is no moment of the week; expected one such as \"Mon 09:30\"");
    }
    asked.minute_of_week = spans.value->front().from;
  }
  const auto text = question.number.empty() ? notes_text(notes) : explain_number(config, asked);
  std::fwrite(text.data(), 1, text.size(), stdout);
  return in_order;
}

int convert(const std::string& file, const std::string& out) {
  const auto text = convert_json_site(file, read_file(file));
  if (out.empty()) {
    std::fwrite(text.data(), 1, text.size(), stdout);
  } else {
    replace_file(out, text);
  }
  return in_order;
}

struct Words {
  std::vector<std::string> files;
  std::string file, other, platform, out, at;
  NumberQuery question;
  bool strict = false, only_check = false, write = false, json = false;
};

}  // namespace

void add_config_commands(CLI::App& app, int& status) {
  auto* config = app.add_subcommand("config", "Check, format, compare, show and convert the operator's file");
  config->require_subcommand(1);
  auto words = std::make_shared<Words>();
  const auto file = [words](CLI::App* command) {
    command->add_option("file", words->file, "The operator's file")->required();
  };

  auto* checking =
      config->add_subcommand("check", "Name every fault of the files, one a line, with its place");
  checking->add_option("files", words->files, "Operators' files");
  checking->add_option("--platform", words->platform, "A configuration as the platform gives it (JSON)");
  checking->add_flag("--strict", words->strict, "Warnings are faults");
  checking->footer("Exit status: 0 in order, 1 faults were found.");
  checking->callback([words, &status] {
    if (words->files.empty() && words->platform.empty()) throw CLI::RequiredError("a file, or --platform,");
    status = check(words->files, words->platform, words->strict);
  });

  auto* formatting = config->add_subcommand("fmt", "Print the file in its layout; every comment stays");
  file(formatting);
  auto* only_check =
      formatting->add_flag("--check", words->only_check, "Only say whether it is in its layout");
  formatting->add_flag("--write", words->write, "Replace the file, in one step")->excludes(only_check);
  formatting->footer(
      "Exit status: 0 done, or in its layout; 1 not in its layout (--check); 2 it cannot be read.");
  formatting->callback([words, &status] { status = format(words->file, words->only_check, words->write); });

  auto* comparing = config->add_subcommand("diff", "Say what changes in meaning between two versions");
  comparing->add_option("old", words->file, "The version before")->required();
  comparing->add_option("new", words->other, "The version after")->required();
  comparing->add_flag("--json", words->json, "For programs");
  comparing->footer("Exit status: 0 nothing changes, 1 something does, 2 a file cannot be used.");
  comparing->callback([words, &status] { status = diff(words->file, words->other, words->json); });

  auto* showing = config->add_subcommand("show", "Print every setting as resolved and where it came from");
  file(showing);
  auto* number =
      showing->add_option("--number", words->question.number, "Explain what this number gets instead");
  showing->add_option("--class", words->question.class_name, "As a look-up of this class")->needs(number);
  showing->add_option("--tenant", words->question.tenant_name, "Asked by this tenant")->needs(number);
  showing
      ->add_option("--at", words->at,
                   "At this moment of the week, such as \"Mon 09:30\" (the default: Mon 00:00)")
      ->needs(number);
  showing->footer("Exit status: 0 shown, 2 the file cannot be used.");
  showing->callback([words, &status] { status = show(words->file, words->question, words->at); });

  auto* converting = config->add_subcommand("convert", "Rewrite the JSON form of version 0.3 and before");
  file(converting);
  converting->add_option("--out", words->out, "Write there, in one step, instead of to standard output");
  converting->footer("Exit status: 0 done, 1 it cannot be converted.");
  converting->callback([words, &status] { status = convert(words->file, words->out); });
}

}  // namespace heathturn
