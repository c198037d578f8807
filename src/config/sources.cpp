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
constexpr std::size_t max_nesting_depth = 32;
constexpr int most_mends = 1000;  // bare numbers told of in one file
constexpr const char* syntax_form = "protobuf text format, see docs/configuration.md";

// ---- Text -----------------------------------------------------------------------------------------------

/// Offset of the first byte that is no UTF-8, if any.
std::optional<std::size_t> not_utf8(std::string_view text) {
  for (std::size_t i = 0; i < text.size();) {
    const auto lead = static_cast<unsigned char>(text[i]);
    std::size_t more = 0;
    std::uint32_t code = lead, least = 0;
    if (lead < 0x80) {
      if (lead == 0) return i;
      ++i;
      continue;
    }
    if ((lead & 0xe0U) == 0xc0) {
      more = 1, code = lead & 0x1fU, least = 0x80;
    } else if ((lead & 0xf0U) == 0xe0) {
      more = 2, code = lead & 0x0fU, least = 0x800;
    } else if ((lead & 0xf8U) == 0xf0) {
      more = 3, code = lead & 0x07U, least = 0x10000;
    } else {
      return i;
    }
    if (i + more >= text.size()) return i;
    for (std::size_t k = 1; k <= more; ++k) {
      const auto next = static_cast<unsigned char>(text[i + k]);
      if ((next & 0xc0U) != 0x80) return i;
      code = code << 6U | (next & 0x3fU);
    }
    if (code < least || code > 0x10ffff || (code >= 0xd800 && code <= 0xdfff)) return i;
    i += more + 1;
  }
  return std::nullopt;
}

/// Offset of the start of a line, from 0.
std::size_t line_start(const std::string& text, int line) {
  std::size_t at = 0;
  for (; line > 0; --line) {
    const auto end = text.find('\n', at);
    if (end == std::string::npos) return text.size();
    at = end + 1;
  }
  return at;
}

/// Where a column of protobuf's, which counts a tab up to the next multiple of 8, is in the text.
std::size_t offset_of(const std::string& text, int line, int column) {
  auto at = line_start(text, line);
  for (int here = 0; here < column && at < text.size() && text[at] != '\n'; ++at) {
    here = text[at] == '\t' ? here / 8 * 8 + 8 : here + 1;
  }
  return at;
}

bool is_word(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_';
}

/// The key before the value at `at`: the word before its colon.
std::string key_before(const std::string& text, std::size_t at) {
  auto end = text.find_last_not_of(" \t\r\n", at == 0 ? 0 : at - 1);
  if (end == std::string::npos || (text[end] != ':' && text[end] != '[' && text[end] != ',')) return "";
  // In a list, the key stands before the bracket.
  if (text[end] != ':') end = text.rfind(':', end);
  if (end == std::string::npos || end == 0) return "";
  end = text.find_last_not_of(" \t\r\n", end - 1);
  if (end == std::string::npos) return "";
  auto start = end + 1;
  while (start > 0 && is_word(text[start - 1])) --start;
  return text.substr(start, end + 1 - start);
}

/// The form that a text field takes, by its name; nothing where it is any text.
const char* form_of(const std::string& key) {
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

// ---- Faults of the parser --------------------------------------------------------------------------------

/// Fields of the message named in protobuf's words, for "has no field named".
std::string fields_of(const std::string& message) {
  const auto* descriptor = pb::DescriptorPool::generated_pool()->FindMessageTypeByName(message);
  std::string out;
  for (int i = 0; descriptor != nullptr && i < descriptor->field_count(); ++i) {
    out += (i == 0 ? "" : i + 1 == descriptor->field_count() ? " or " : ", ") + descriptor->field(i)->name();
  }
  return out;
}

std::string quoted_after(const std::string& text, const char* words) {
  const auto at = text.find(words);
  if (at == std::string::npos) return "";
  const auto from = at + std::strlen(words);
  return text.substr(from, text.find('"', from) - from);
}

class Collector : public pb::io::ErrorCollector {
 public:
  Collector(const std::string& name, const std::string& text, Diagnostics& diagnostics)
      : name_(name), text_(text), diagnostics_(diagnostics) {}

  void AddError(int line, pb::io::ColumnNumber column, const std::string& message) override {
    // protobuf may tell twice of one fault; only the first counts, and it goes no further after it. A number
    // with a unit that lacks its quotes is better told of by the second.
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
    // The place told is the one behind the name.
    const auto at = text_.rfind(field, offset_of(text_, line, column));
    const auto start = line_start(text_, line);
    if (at != std::string::npos && at >= start) column = static_cast<int>(at - start);
    unknown_line_ = line;
    const auto fields = fields_of(quoted_after(message, "Message type \""));
    diagnostics_.add({name_, line + 1, column + 1, field, "there is no such field here", fields, false});
  }
  /// A number where a text with a unit is due: tells of it, and returns the place of the number.
  [[nodiscard]] std::optional<std::pair<std::size_t, std::size_t>> bare_number() {
    constexpr std::string_view words = "Expected string, got: ";
    if (!error_.starts_with(words)) return std::nullopt;
    const auto at = offset_of(text_, error_line_, error_column_);
    const auto token = error_.substr(words.size());
    const auto key = key_before(text_, at);
    if (token.empty() || text_.compare(at, token.size(), token) != 0 || key.empty()) return std::nullopt;
    if (token != "-" && !(token.front() >= '0' && token.front() <= '9')) return std::nullopt;
    auto end = at + token.size();
    while (end < text_.size() && (is_word(text_[end]) || text_[end] == '.' || text_[end] == '%')) ++end;
    const auto number = text_.substr(at, end - at);
    const bool plain = number.find_first_not_of("0123456789.-") == std::string::npos;
    const char* form = form_of(key);
    Diagnostic fault{name_, error_line_ + 1, error_column_ + 1, key, number, "", false};
    if (form != nullptr) {
      fault.message += plain ? " has no unit" : " is not in quotes";
      fault.expected = form;
    } else {
      fault.message += " is no text";
      fault.expected = "a text in quotes";
    }
    diagnostics_.add(std::move(fault));
    return std::pair(at, end);
  }
  void tell() {
    // A word that means nothing is told of already.
    if (error_line_ < 0 || error_line_ == unknown_line_) return;
    auto words = error_;
    if (!words.empty() && words.back() == '.') words.pop_back();
    const auto at = offset_of(text_, error_line_, error_column_);
    if (text_.find_first_not_of(" \t\r\n", at) == std::string::npos)
      words = "the text ends in the middle: " + words;
    diagnostics_.add({name_, error_line_ + 1, error_column_ + 1, "syntax", words, syntax_form, false});
  }
  void clear() { error_line_ = -1; }

 private:
  const std::string& name_;
  const std::string& text_;
  Diagnostics& diagnostics_;
  int error_line_ = -1, error_column_ = 0, unknown_line_ = -1;
  std::string error_;
};

std::string real_path(const std::string& path) {
  char* found = ::realpath(path.c_str(), nullptr);
  if (found == nullptr) return path;
  std::string out = found;
  std::free(found);  // NOLINT: realpath's own
  return out;
}

std::string beside(const std::string& file, const std::string& path) {
  if (path.starts_with('/')) return path;
  const auto slash = file.rfind('/');
  return slash == std::string::npos ? path : file.substr(0, slash + 1) + path;
}

}  // namespace

bool is_json_form(const std::string& text) {
  const auto at = text.find_first_not_of(" \t\r\n");
  return at != std::string::npos && text[at] == '{';
}

std::unique_ptr<SourceFile> parse_source_text(const std::string& name, const std::string& given,
                                              Diagnostics& diagnostics) {
  auto out = std::make_unique<SourceFile>();
  out->name = name;
  if (is_json_form(given)) {
    diagnostics.add({name, 1, 1, "syntax",
                     "this is the JSON form of earlier versions; `heathturn config convert " + name +
                         "` writes the new one",
                     syntax_form, false});
    return out;
  }
  if (const auto bad = not_utf8(given)) {
    const auto line = std::count(given.begin(), given.begin() + static_cast<std::ptrdiff_t>(*bad), '\n');
    const auto start = line_start(given, static_cast<int>(line));
    diagnostics.add({name, static_cast<int>(line) + 1, static_cast<int>(*bad - start) + 1, "syntax",
                     "a byte here is no text", "UTF-8 without zero bytes", false});
    return out;
  }
  // A bare number ends the parser's work. So that one run tells of all of them, each is taken for an empty
  // text in its turn.
  auto text = given;
  Collector collector(out->name, text, diagnostics);
  for (int mended = 0;; ++mended) {
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
    const auto number = mended < most_mends ? collector.bare_number() : std::nullopt;
    if (!number) {
      collector.tell();
      break;
    }
    const auto [from, to] = *number;
    text.replace(from, to - from, "\"\"" + std::string(std::max<std::size_t>(to - from, 2) - 2, ' '));
    collector.clear();
  }
  return out;
}

bool read_source_file(const std::string& path, std::size_t most, std::string& text, Diagnostic from,
                      Diagnostics& diagnostics) {
  const auto refuse = [&](const std::string& why, const std::string& expected) {
    from.message = path + " " + why;
    from.expected = expected;
    diagnostics.add(from);
    return false;
  };
  // Opened without waiting: a path may lead to a pipe that nobody writes to.
  const int file = ::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK);
  if (file < 0) return refuse(std::string("cannot be read: ") + std::strerror(errno), "a file");
  struct stat found {};
  const bool known = ::fstat(file, &found) == 0;
  std::string fault, expected = "a file of text";
  if (!known || !S_ISREG(found.st_mode)) {
    fault = known && S_ISDIR(found.st_mode) ? "is a directory" : "is no regular file";
  } else if (static_cast<std::size_t>(found.st_size) > most) {
    fault = "has " + std::to_string(found.st_size) + " bytes";
    expected = "no more than " + std::to_string(most);
  }
  text.clear();
  std::array<char, 65536> buffer{};
  while (fault.empty()) {
    const auto got = ::read(file, buffer.data(), buffer.size());
    if (got == 0) break;
    if (got < 0) fault = std::string("cannot be read: ") + std::strerror(errno);
    if (got > 0) text.append(buffer.data(), static_cast<std::size_t>(got));
    if (text.size() > most) fault = "grows while it is read";
  }
  ::close(file);
  return fault.empty() || refuse(fault, expected);
}

namespace {

class Loader {
 public:
  explicit Loader(Diagnostics& diagnostics) : diagnostics_(diagnostics) {}

  void load(const std::string& path, const Diagnostic& from) {
    const auto real = real_path(path);
    const auto open = std::find(chain_.begin(), chain_.end(), real);
    if (open != chain_.end()) {
      std::string words;
      for (auto at = open - chain_.begin(); at < static_cast<std::ptrdiff_t>(chain_.size()); ++at) {
        words += names_[static_cast<std::size_t>(at)] + " -> ";
      }
      auto fault = from;
      fault.message = "an include cycle: " + words + path;
      fault.expected = "files that do not lead back to themselves";
      return lacking(std::move(fault));
    }
    if (!seen_.insert(real).second) return;
    if (seen_.size() > max_files || chain_.size() >= max_nesting_depth) {
      auto fault = from;
      fault.message = "too many files";
      fault.expected =
          "at most " + std::to_string(max_files) + " files, " + std::to_string(max_nesting_depth) + " deep";
      return lacking(std::move(fault));
    }
    std::string text;
    if (!read_source_file(path, std::min(max_file_bytes, max_total_bytes - bytes_), text, from,
                          diagnostics_)) {
      out_.complete = false;
      return;
    }
    bytes_ += text.size();
    auto file = parse_source_text(path, text, diagnostics_);
    std::string().swap(text);
    chain_.push_back(real);
    names_.push_back(path);
    const auto* field = file->message.GetDescriptor()->FindFieldByName("include");
    for (int i = 0; i < file->message.include_size(); ++i) {
      if (file->locations == nullptr) break;
      const auto place = file->locations->GetLocation(field, i);
      load(beside(path, file->message.include(i)),
           {path, place.line + 1, place.column + 1, "include", "", "", false});
    }
    chain_.pop_back();
    names_.pop_back();
    out_.complete = out_.complete && file->complete;
    out_.files.push_back(std::move(file));
  }
  [[nodiscard]] Sources take() { return std::move(out_); }

 private:
  void lacking(Diagnostic fault) {
    out_.complete = false;
    diagnostics_.add(std::move(fault));
  }
  Diagnostics& diagnostics_;
  std::vector<std::string> chain_, names_;
  std::set<std::string> seen_;
  Sources out_;
  std::size_t bytes_ = 0;
};

}  // namespace

Sources load_sources(const std::string& path, Diagnostics& diagnostics) {
  Loader loader(diagnostics);
  loader.load(path, {path, 0, 0, "file", "", "", false});
  return loader.take();
}

}  // namespace heathturn
