#include "config/sources.hpp"

#include <fcntl.h>
#include <google/protobuf/io/tokenizer.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <optional>
#include <set>
#include <string_view>

#include "config/units.hpp"

namespace heathturn {
namespace {

namespace pb = google::protobuf;

constexpr std::size_t max_files = 1000;
constexpr std::size_t max_nesting_depth = 32;  // of includes, and of messages in a file
constexpr int max_bare_numbers = 1000;         // reported per file
constexpr const char* syntax_format = "protobuf text format, see docs/configuration.md";

// ---- Text -----------------------------------------------------------------------------------------------

/// Offset of the first byte that is zero or not valid UTF-8, if any.
std::optional<std::size_t> find_invalid_byte(std::string_view text) {
  for (std::size_t i = 0; i < text.size();) {
    const auto lead = static_cast<unsigned char>(text[i]);
    std::size_t continuation_bytes = 0;
    std::uint32_t code_point = lead, min_code_point = 0;
    if (lead < 0x80) {
      if (lead == 0) return i;
      ++i;
      continue;
    }
    if ((lead & 0xe0U) == 0xc0) {
      continuation_bytes = 1, code_point = lead & 0x1fU, min_code_point = 0x80;
    } else if ((lead & 0xf0U) == 0xe0) {
      continuation_bytes = 2, code_point = lead & 0x0fU, min_code_point = 0x800;
    } else if ((lead & 0xf8U) == 0xf0) {
      continuation_bytes = 3, code_point = lead & 0x07U, min_code_point = 0x10000;
    } else {
      return i;
    }
    if (i + continuation_bytes >= text.size()) return i;
    for (std::size_t k = 1; k <= continuation_bytes; ++k) {
      const auto next = static_cast<unsigned char>(text[i + k]);
      if ((next & 0xc0U) != 0x80) return i;
      code_point = code_point << 6U | (next & 0x3fU);
    }
    if (code_point < min_code_point || code_point > 0x10ffff ||
        (code_point >= 0xd800 && code_point <= 0xdfff))
      return i;
    i += continuation_bytes + 1;
  }
  return std::nullopt;
}

/// Offset of the start of a line; lines count from 0.
std::size_t line_start(const std::string& text, int line) {
  std::size_t at = 0;
  for (; line > 0; --line) {
    const auto end = text.find('\n', at);
    if (end == std::string::npos) return text.size();
    at = end + 1;
  }
  return at;
}

/// Offset of a column as protobuf counts it: a tab advances to the next multiple of 8.
std::size_t offset_of(const std::string& text, int line, int column) {
  auto at = line_start(text, line);
  for (int current = 0; current < column && at < text.size() && text[at] != '\n'; ++at) {
    current = text[at] == '\t' ? current / 8 * 8 + 8 : current + 1;
  }
  return at;
}

bool is_word_character(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_';
}

/// The key of the value at offset `at`, which is the word before the colon; empty if there is none.
std::string key_before(const std::string& text, std::size_t at) {
  auto end = text.find_last_not_of(" \t\r\n", at == 0 ? 0 : at - 1);
  if (end == std::string::npos || (text[end] != ':' && text[end] != '[' && text[end] != ',')) return "";
  // In a list, the key is before the opening bracket.
  if (text[end] != ':') end = text.rfind(':', end);
  if (end == std::string::npos || end == 0) return "";
  end = text.find_last_not_of(" \t\r\n", end - 1);
  if (end == std::string::npos) return "";
  auto start = end + 1;
  while (start > 0 && is_word_character(text[start - 1])) --start;
  return text.substr(start, end + 1 - start);
}

/// Description of the format of a text field, by its name; nullptr if it may be any text.
const char* expected_format(const std::string& key) {
  for (const char* each : {"late_share", "share", "start_capacity"}) {
    if (key == each) return units::share_format;
  }
  for (const char* each :
       {"aim", "give_up", "deadline", "retry_wait", "fetch_every", "heartbeat", "release_wait", "step",
        "cold_time", "handshake", "most_age", "full_cost", "resumed_cost", "slow"}) {
    if (key == each) return units::duration_format;
  }
  return key == "rate" ? units::rate_format : nullptr;
}

// ---- Parser errors --------------------------------------------------------------------------------

/// The field names of a message type, as a list for a diagnostic; empty for an unknown type.
std::string field_names(const std::string& message) {
  const auto* descriptor = pb::DescriptorPool::generated_pool()->FindMessageTypeByName(message);
  std::string out;
  for (int i = 0; descriptor != nullptr && i < descriptor->field_count(); ++i) {
    out += (i == 0 ? "" : i + 1 == descriptor->field_count() ? " or " : ", ") + descriptor->field(i)->name();
  }
  return out;
}

/// The text between `prefix`, which ends with an opening quote, and the next quote; empty if they are not
/// found.
std::string quoted_after(const std::string& text, const char* prefix) {
  const auto at = text.find(prefix);
  if (at == std::string::npos) return "";
  const auto from = at + std::strlen(prefix);
  return text.substr(from, text.find('"', from) - from);
}

/// Turns the messages of protobuf's parser into diagnostics with better wording.
class ParserErrorCollector : public pb::io::ErrorCollector {
 public:
  ParserErrorCollector(const std::string& name, const std::string& text, Diagnostics& diagnostics)
      : name_(name), text_(text), diagnostics_(diagnostics) {}

  void AddError(int line, pb::io::ColumnNumber column, const std::string& message) override {
    // protobuf may report one error twice, and stops parsing after it; only the first report is kept. For a
    // number with a unit but without quotes, the second report is the more helpful one.
    const bool unquoted =
        error_ == "Need space between number and identifier." && message.starts_with("Expected string");
    if (error_line_ >= 0 && !unquoted) return;
    error_line_ = line;
    error_column_ = column;
    error_ = message;
  }
  void AddWarning(int line, pb::io::ColumnNumber column, const std::string& message) override {
    const auto field = quoted_after(message, "no field named \"");
    if (field.empty() || error_line_ >= 0) return;
    // protobuf reports the position after the name.
    const auto at = text_.rfind(field, offset_of(text_, line, column));
    const auto start = line_start(text_, line);
    if (at != std::string::npos && at >= start) column = static_cast<int>(at - start);
    unknown_field_line_ = line;
    const auto fields = field_names(quoted_after(message, "Message type \""));
    diagnostics_.add({name_, line + 1, column + 1, field, "unknown field", fields, false});
  }
  /// Reports a number without quotes where a text is expected, and returns its range of offsets. Returns
  /// nothing for other errors.
  [[nodiscard]] std::optional<std::pair<std::size_t, std::size_t>> report_bare_number() {
    constexpr std::string_view prefix = "Expected string, got: ";
    if (!error_.starts_with(prefix)) return std::nullopt;
    const auto at = offset_of(text_, error_line_, error_column_);
    const auto token = error_.substr(prefix.size());
    const auto key = key_before(text_, at);
    if (token.empty() || text_.compare(at, token.size(), token) != 0 || key.empty()) return std::nullopt;
    if (token != "-" && !(token.front() >= '0' && token.front() <= '9')) return std::nullopt;
    auto end = at + token.size();
    while (end < text_.size() && (is_word_character(text_[end]) || text_[end] == '.' || text_[end] == '%'))
      ++end;
    const auto number = text_.substr(at, end - at);
    const bool is_plain_number = number.find_first_not_of("0123456789.-") == std::string::npos;
    const char* format = expected_format(key);
    Diagnostic diagnostic{name_, error_line_ + 1, error_column_ + 1, key, number, "", false};
    if (format != nullptr) {
      diagnostic.message += is_plain_number ? " has no unit" : " is not in quotes";
      diagnostic.expected = format;
    } else {
      diagnostic.message += " is not a text";
      diagnostic.expected = "a text in quotes";
    }
    diagnostics_.add(std::move(diagnostic));
    return std::pair(at, end);
  }
  /// Reports the recorded error as a syntax error.
  void report_error() {
    // An unknown field on this line has already been reported.
    if (error_line_ < 0 || error_line_ == unknown_field_line_) return;
    auto message = error_;
    if (!message.empty() && message.back() == '.') message.pop_back();
    const auto at = offset_of(text_, error_line_, error_column_);
    if (text_.find_first_not_of(" \t\r\n", at) == std::string::npos)
      message = "unexpected end of the file: " + message;
    diagnostics_.add({name_, error_line_ + 1, error_column_ + 1, "syntax", message, syntax_format, false});
  }
  void clear_error() { error_line_ = -1; }

 private:
  const std::string& name_;
  const std::string& text_;
  Diagnostics& diagnostics_;
  int error_line_ = -1, error_column_ = 0, unknown_field_line_ = -1;
  std::string error_;
};

/// The path without links, or the path itself when it cannot be resolved.
std::string real_path(const std::string& path) {
  char* found = ::realpath(path.c_str(), nullptr);
  if (found == nullptr) return path;
  std::string out = found;
  std::free(found);  // NOLINT: allocated by realpath()
  return out;
}

/// Resolves a path relative to the directory of a file.
std::string resolve_relative(const std::string& file, const std::string& path) {
  if (path.starts_with('/')) return path;
  const auto slash = file.rfind('/');
  return slash == std::string::npos ? path : file.substr(0, slash + 1) + path;
}

}  // namespace

bool is_json_form(const std::string& text) {
  const auto at = text.find_first_not_of(" \t\r\n");
  return at != std::string::npos && text[at] == '{';
}

std::unique_ptr<SourceFile> parse_source_text(const std::string& name, const std::string& original,
                                              Diagnostics& diagnostics) {
  auto out = std::make_unique<SourceFile>();
  out->name = name;
  if (is_json_form(original)) {
    diagnostics.add({name, 1, 1, "syntax",
                     "this is the JSON form of earlier versions; `heathturn config convert " + name +
                         "` writes the new one",
                     syntax_format, false});
    return out;
  }
  if (const auto invalid_byte = find_invalid_byte(original)) {
    const auto line =
        std::count(original.begin(), original.begin() + static_cast<std::ptrdiff_t>(*invalid_byte), '\n');
    const auto start = line_start(original, static_cast<int>(line));
    diagnostics.add({name, static_cast<int>(line) + 1, static_cast<int>(*invalid_byte - start) + 1, "syntax",
                     "invalid byte", "UTF-8 without zero bytes", false});
    return out;
  }
  // The parser stops at a bare number. To report all of them in one run, each one is replaced by an empty
  // text and the file is parsed again.
  auto text = original;
  ParserErrorCollector collector(out->name, text, diagnostics);
  for (int replaced = 0;; ++replaced) {
    out->message.Clear();
    out->locations = std::make_unique<pb::TextFormat::ParseInfoTree>();
    pb::TextFormat::Parser parser;
    parser.AllowUnknownField(true);
    parser.SetRecursionLimit(static_cast<int>(max_nesting_depth));
    parser.RecordErrorsTo(&collector);
    parser.WriteLocationsTo(out->locations.get());
    pb::io::ArrayInputStream in(text.data(), static_cast<int>(text.size()));
    if (parser.Parse(&in, &out->message)) {
      out->complete = true;
      break;
    }
    const auto number = replaced < max_bare_numbers ? collector.report_bare_number() : std::nullopt;
    if (!number) {
      collector.report_error();
      break;
    }
    const auto [from, to] = *number;
    text.replace(from, to - from, "\"\"" + std::string(std::max<std::size_t>(to - from, 2) - 2, ' '));
    collector.clear_error();
  }
  return out;
}

bool read_source_file(const std::string& path, std::size_t max_bytes, std::string& text,
                      Diagnostic reported_as, Diagnostics& diagnostics) {
  const auto report = [&](const std::string& problem, const std::string& expected) {
    reported_as.message = path + " " + problem;
    reported_as.expected = expected;
    diagnostics.add(reported_as);
    return false;
  };
  // Non-blocking, because opening a named pipe without a writer would block.
  const int file = ::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK);
  if (file < 0) return report(std::string("cannot be read: ") + std::strerror(errno), "a file");
  struct stat found {};
  const bool stat_succeeded = ::fstat(file, &found) == 0;
  std::string problem, expected = "a text file";
  if (!stat_succeeded || !S_ISREG(found.st_mode)) {
    problem = stat_succeeded && S_ISDIR(found.st_mode) ? "is a directory" : "is not a regular file";
  } else if (static_cast<std::size_t>(found.st_size) > max_bytes) {
    problem = "has " + std::to_string(found.st_size) + " bytes";
    expected = "no more than " + std::to_string(max_bytes);
  }
  text.clear();
  std::array<char, 65536> buffer{};
  while (problem.empty()) {
    const auto got = ::read(file, buffer.data(), buffer.size());
    if (got == 0) break;
    if (got < 0) problem = std::string("cannot be read: ") + std::strerror(errno);
    if (got > 0) text.append(buffer.data(), static_cast<std::size_t>(got));
    if (text.size() > max_bytes) problem = "grows while it is read";
  }
  ::close(file);
  return problem.empty() || report(problem, expected);
}

namespace {

/// Loads a file after its includes, depth first.
class Loader {
 public:
  explicit Loader(Diagnostics& diagnostics) : diagnostics_(diagnostics) {}

  /// `reported_as` has the location of the include, for diagnostics about the file as a whole.
  void load(const std::string& path, const Diagnostic& reported_as) {
    const auto resolved = real_path(path);
    const auto cycle_start = std::find(include_chain_.begin(), include_chain_.end(), resolved);
    if (cycle_start != include_chain_.end()) {
      std::string cycle;
      for (auto at = cycle_start - include_chain_.begin();
           at < static_cast<std::ptrdiff_t>(include_chain_.size()); ++at) {
        cycle += include_names_[static_cast<std::size_t>(at)] + " -> ";
      }
      auto diagnostic = reported_as;
      diagnostic.message = "an include cycle: " + cycle + path;
      diagnostic.expected = "includes without a cycle";
      return add_incomplete(std::move(diagnostic));
    }
    if (!loaded_.insert(resolved).second) return;
    if (loaded_.size() > max_files || include_chain_.size() >= max_nesting_depth) {
      auto diagnostic = reported_as;
      diagnostic.message = "too many files";
      diagnostic.expected =
          "at most " + std::to_string(max_files) + " files, " + std::to_string(max_nesting_depth) + " deep";
      return add_incomplete(std::move(diagnostic));
    }
    std::string text;
    if (!read_source_file(path, std::min(max_file_bytes, max_total_bytes - total_bytes_), text, reported_as,
                          diagnostics_)) {
      sources_.complete = false;
      return;
    }
    total_bytes_ += text.size();
    auto file = parse_source_text(path, text, diagnostics_);
    std::string().swap(text);
    include_chain_.push_back(resolved);
    include_names_.push_back(path);
    const auto* field = file->message.GetDescriptor()->FindFieldByName("include");
    for (int i = 0; i < file->message.include_size(); ++i) {
      if (file->locations == nullptr) break;
      const auto location = file->locations->GetLocation(field, i);
      load(resolve_relative(path, file->message.include(i)),
           {path, location.line + 1, location.column + 1, "include", "", "", false});
    }
    include_chain_.pop_back();
    include_names_.pop_back();
    sources_.complete = sources_.complete && file->complete;
    sources_.files.push_back(std::move(file));
  }
  [[nodiscard]] Sources take() { return std::move(sources_); }

 private:
  /// Adds a diagnostic for a file that is not loaded.
  void add_incomplete(Diagnostic diagnostic) {
    sources_.complete = false;
    diagnostics_.add(std::move(diagnostic));
  }
  Diagnostics& diagnostics_;
  /// The files on the way to the current one: their real paths, and their paths as written.
  std::vector<std::string> include_chain_, include_names_;
  std::set<std::string> loaded_;  ///< real paths
  Sources sources_;
  std::size_t total_bytes_ = 0;
};

}  // namespace

Sources load_sources(const std::string& path, Diagnostics& diagnostics) {
  Loader loader(diagnostics);
  loader.load(path, {path, 0, 0, "file", "", "", false});
  return loader.take();
}

}  // namespace heathturn
