#include "config/formatter.hpp"

#include <fcntl.h>
#include <google/protobuf/util/message_differencer.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <stdexcept>
#include <vector>

#include "config/sources.hpp"

namespace heathturn {
namespace {

constexpr std::size_t max_line_width = 100;  // columns, without a comment at the end of the line
constexpr std::size_t indent_width = 2;      // columns

// ---- Tokens -----------------------------------------------------------------------------------------------

/// `line` counts from 1; it is 0 before the first token.
struct Token {
  enum class Kind { word, text, open, close, list_open, list_close, colon, separator, comment, end };
  Kind kind = Kind::end;
  std::string text;
  std::size_t line = 0;
};

/// Splits a text into tokens. The text must have been accepted by protobuf's parser, so there are no lexical
/// errors.
class Lexer {
 public:
  explicit Lexer(const std::string& text) : text_(text) {}

  Token next() {
    while (at_ < text_.size() && std::isspace(static_cast<unsigned char>(text_[at_])) != 0) {
      if (text_[at_] == '\n') ++line_;
      ++at_;
    }
    if (at_ >= text_.size()) return {Token::Kind::end, "", line_};
    const char c = text_[at_];
    using Kind = Token::Kind;
    switch (c) {
      case '#':
        return comment();
      case '"':
      case '\'':
        return quoted(c);
      case '{':
      case '<':
        return single(Kind::open);
      case '}':
      case '>':
        return single(Kind::close);
      case '[':
        return single(Kind::list_open);
      case ']':
        return single(Kind::list_close);
      case ':':
        return single(Kind::colon);
      case ',':
      case ';':
        return single(Kind::separator);
      default:
        return word();
    }
  }

 private:
  Token single(Token::Kind kind) { return {kind, text_.substr(at_++, 1), line_}; }
  Token comment() {
    const auto end = std::min(text_.find('\n', at_), text_.size());
    auto out = text_.substr(at_, end - at_);
    while (!out.empty() && std::isspace(static_cast<unsigned char>(out.back())) != 0) out.pop_back();
    at_ = end;
    return {Token::Kind::comment, out, line_};
  }
  Token quoted(char quote) {
    auto end = at_ + 1;
    while (end < text_.size() && text_[end] != quote) end += text_[end] == '\\' ? 2 : 1;
    end = std::min(end + 1, text_.size());
    Token out{Token::Kind::text, text_.substr(at_, end - at_), line_};
    at_ = end;
    return out;
  }
  Token word() {
    auto end = at_;
    while (end < text_.size() && std::isspace(static_cast<unsigned char>(text_[end])) == 0 &&
           std::strchr("#\"'{}<>[]:,;", text_[end]) == nullptr) {
      ++end;
    }
    Token out{Token::Kind::word, text_.substr(at_, end - at_), line_};
    at_ = end;
    return out;
  }

  const std::string& text_;
  std::size_t at_ = 0, line_ = 1;
};

// ---- Tree -------------------------------------------------------------------------------------------------

struct Entry;

/// The content between braces, or of the whole file.
struct Block {
  std::vector<Entry> entries;
  std::vector<std::string> trailing_comments;  ///< after the last entry
  bool blank_line_before_trailing = false;
};

/// A value of an entry: plain text or a message.
struct Value {
  std::string text;                           ///< of a plain value
  std::vector<Block> message;                 ///< exactly one block for a message, else none
  std::vector<std::string> leading_comments;  ///< on lines of their own before it, in a list
  std::string line_comment;                   ///< on the same line, in a list
};

/// A field with its value, or with a list of values.
struct Entry {
  std::vector<std::string> leading_comments;  ///< on lines of their own before it
  std::string line_comment;                   ///< on the same line
  bool blank_line_before = false;
  std::string key;
  bool is_list = false;
  std::vector<Value> values;
  std::vector<std::string> trailing_comments;  ///< at the end of a list
};

/// Builds the tree of entries and comments from the tokens.
class TreeBuilder {
 public:
  explicit TreeBuilder(const std::string& text) : lexer_(text) { advance(); }

  Block read_block() {
    Block out;
    std::vector<std::string> comments;
    bool blank_line = false;
    std::size_t last_line = 0;
    while (true) {
      if (token_.kind == Token::Kind::comment) {
        // A comment on the line of the preceding entry belongs to that entry.
        if (comments.empty() && !out.entries.empty() && token_.line == last_line &&
            out.entries.back().line_comment.empty()) {
          out.entries.back().line_comment = token_.text;
        } else {
          if (comments.empty()) blank_line = blank_line || (last_line > 0 && token_.line > last_line + 1);
          comments.push_back(token_.text);
        }
        last_line = token_.line;
        advance();
        continue;
      }
      if (token_.kind == Token::Kind::separator) {
        last_line = token_.line;
        advance();
        continue;
      }
      if (token_.kind == Token::Kind::end || token_.kind == Token::Kind::close) break;
      Entry entry;
      entry.blank_line_before =
          blank_line || (comments.empty() && last_line > 0 && token_.line > last_line + 1);
      entry.leading_comments = std::move(comments);
      comments.clear();
      blank_line = false;
      read_entry(entry);
      last_line = previous_line_;
      out.entries.push_back(std::move(entry));
    }
    out.trailing_comments = std::move(comments);
    out.blank_line_before_trailing = blank_line;
    return out;
  }

 private:
  void advance() {
    previous_line_ = token_.line;
    token_ = lexer_.next();
  }
  /// Collects the comments between the parts of an entry. They are moved before the entry, because the layout
  /// has no line for them.
  void skip_comments(std::vector<std::string>& to) {
    while (token_.kind == Token::Kind::comment) {
      to.push_back(token_.text);
      advance();
    }
  }

  void read_entry(Entry& entry) {
    if (token_.kind == Token::Kind::list_open) {  // the name of an extension
      while (token_.kind != Token::Kind::list_close && token_.kind != Token::Kind::end) {
        entry.key += token_.text;
        advance();
      }
    }
    entry.key += token_.text;
    advance();
    skip_comments(entry.leading_comments);
    if (token_.kind == Token::Kind::colon) {
      advance();
      skip_comments(entry.leading_comments);
    }
    if (token_.kind == Token::Kind::list_open) {
      read_list(entry);
    } else {
      entry.values.push_back(read_value(entry.leading_comments));
    }
  }

  void read_list(Entry& entry) {
    entry.is_list = true;
    advance();
    std::vector<std::string> comments;
    std::size_t last_line = 0;
    while (token_.kind != Token::Kind::list_close && token_.kind != Token::Kind::end) {
      if (token_.kind == Token::Kind::separator) {
        last_line = token_.line;
        advance();
      } else if (token_.kind == Token::Kind::comment) {
        const bool on_value_line = comments.empty() && !entry.values.empty() && token_.line == last_line &&
                                   entry.values.back().line_comment.empty();
        if (on_value_line) {
          entry.values.back().line_comment = token_.text;
        } else {
          comments.push_back(token_.text);
        }
        last_line = token_.line;
        advance();
      } else {
        auto next = read_value(comments);
        next.leading_comments = std::move(comments);
        comments.clear();
        last_line = previous_line_;
        entry.values.push_back(std::move(next));
      }
    }
    entry.trailing_comments = std::move(comments);
    advance();
  }

  Value read_value(std::vector<std::string>& comments) {
    Value out;
    if (token_.kind == Token::Kind::open) {
      advance();
      out.message.push_back(read_block());
      advance();
      return out;
    }
    // Adjacent texts are concatenated; a sign may be separated from its number.
    while (true) {
      out.text += token_.text;
      const auto kind = token_.kind;
      const bool is_sign = kind == Token::Kind::word && token_.text == "-";
      advance();
      if (is_sign) {
        skip_comments(comments);
        continue;
      }
      if (kind != Token::Kind::text) break;
      if (token_.kind == Token::Kind::comment && !text_continues()) break;
      skip_comments(comments);
      if (token_.kind != Token::Kind::text) break;
      out.text += " ";
    }
    return out;
  }
  /// Whether a text continues after the comments that begin at the current token.
  bool text_continues() {
    auto ahead = lexer_;
    auto token = ahead.next();
    while (token.kind == Token::Kind::comment) token = ahead.next();
    return token.kind == Token::Kind::text;
  }

  Lexer lexer_;
  Token token_;
  std::size_t previous_line_ = 0;
};

// ---- Layout -----------------------------------------------------------------------------------------------

bool has_comments(const Block& block);
bool has_comments(const Entry& entry) {
  if (!entry.leading_comments.empty() || !entry.trailing_comments.empty()) return true;
  for (const auto& each : entry.values) {
    if (!each.leading_comments.empty() || !each.line_comment.empty()) return true;
    if (!each.message.empty() && has_comments(each.message.front())) return true;
  }
  return false;
}
bool has_comments(const Block& block) {
  if (!block.trailing_comments.empty()) return true;
  for (const auto& each : block.entries) {
    if (!each.line_comment.empty() || has_comments(each)) return true;
  }
  return false;
}

/// The entry on a single line. Returns nothing if it needs several: it contains comments, or a message inside
/// a message.
std::optional<std::string> single_line(const Entry& entry, bool inside_message);
std::optional<std::string> single_line(const Block& block) {
  if (has_comments(block)) return std::nullopt;
  std::string out = "{";
  for (const auto& each : block.entries) {
    const auto text = single_line(each, true);
    if (!text) return std::nullopt;
    out += " " + *text;
  }
  return out + (block.entries.empty() ? "}" : " }");
}
std::optional<std::string> single_line(const Entry& entry, bool inside_message) {
  if (!entry.trailing_comments.empty()) return std::nullopt;
  std::string out = entry.key;
  std::string items;
  for (const auto& each : entry.values) {
    if (!each.leading_comments.empty() || !each.line_comment.empty()) return std::nullopt;
    auto text = std::optional(each.text);
    if (!each.message.empty()) {
      if (inside_message) return std::nullopt;
      text = single_line(each.message.front());
    }
    if (!text) return std::nullopt;
    items += (items.empty() ? "" : ", ") + *text;
  }
  const bool is_message = !entry.is_list && !entry.values.empty() && !entry.values.front().message.empty();
  if (entry.is_list) return out + ": [" + items + "]";
  return out + (is_message ? " " : ": ") + items;
}

/// Writes the tree with one entry a line, and short messages and lists on one line.
class Printer {
 public:
  std::string print(const Block& block) {
    print_entries(block, 0);
    return std::move(out_);
  }

 private:
  void print_line(std::size_t depth, const std::string& text) {
    out_ += std::string(depth * indent_width, ' ') + text + "\n";
  }

  void print_entries(const Block& block, std::size_t depth) {
    bool first = true;
    for (const auto& each : block.entries) {
      if (!first && each.blank_line_before) out_ += "\n";
      first = false;
      print_entry(each, depth);
    }
    if (!first && block.blank_line_before_trailing && !block.trailing_comments.empty()) out_ += "\n";
    for (const auto& each : block.trailing_comments) print_line(depth, each);
  }

  void print_entry(const Entry& entry, std::size_t depth) {
    for (const auto& each : entry.leading_comments) print_line(depth, each);
    const auto line_comment = entry.line_comment.empty() ? "" : "  " + entry.line_comment;
    if (const auto text = single_line(entry, false);
        text && depth * indent_width + text->size() <= max_line_width) {
      return print_line(depth, *text + line_comment);
    }
    if (entry.is_list) return print_list(entry, depth, line_comment);
    const auto& value = entry.values.front();
    if (value.message.empty()) return print_line(depth, entry.key + ": " + value.text + line_comment);
    print_line(depth, entry.key + " {");
    print_entries(value.message.front(), depth + 1);
    print_line(depth, "}" + line_comment);
  }

  void print_list(const Entry& entry, std::size_t depth, const std::string& line_comment) {
    print_line(depth, entry.key + ": [");
    for (std::size_t i = 0; i < entry.values.size(); ++i) {
      const auto& each = entry.values[i];
      for (const auto& comment : each.leading_comments) print_line(depth + 1, comment);
      const auto end = std::string(i + 1 < entry.values.size() ? "," : "") +
                       (each.line_comment.empty() ? "" : "  " + each.line_comment);
      if (each.message.empty()) {
        print_line(depth + 1, each.text + end);
      } else if (const auto text = single_line(each.message.front());
                 text && (depth + 1) * indent_width + text->size() <= max_line_width) {
        print_line(depth + 1, *text + end);
      } else {
        print_line(depth + 1, "{");
        print_entries(each.message.front(), depth + 2);
        print_line(depth + 1, "}" + end);
      }
    }
    for (const auto& comment : entry.trailing_comments) print_line(depth + 1, comment);
    print_line(depth, "]" + line_comment);
  }

  std::string out_;
};

}  // namespace

std::optional<std::string> format_source(const std::string& name, const std::string& text,
                                         Diagnostics& diagnostics) {
  const auto before = parse_source_text(name, text, diagnostics);
  if (diagnostics.has_errors()) return std::nullopt;
  auto out = Printer().print(TreeBuilder(text).read_block());
  Diagnostics diagnostics_after;
  const auto after = parse_source_text(name, out, diagnostics_after);
  if (diagnostics_after.has_errors() ||
      !google::protobuf::util::MessageDifferencer::Equals(before->message, after->message)) {
    diagnostics.add({name, 0, 0, "layout",
                     "the formatted text would have a different meaning; the file is not changed", "",
                     false});
    return std::nullopt;
  }
  return out;
}

void replace_file(const std::string& path, const std::string& text) {
  const auto fail = [&path](const char* action) {
    throw std::runtime_error("cannot " + std::string(action) + " " + path + ": " + std::strerror(errno));
  };
  std::string target = path;  // after symbolic links
  if (char* real = ::realpath(path.c_str(), nullptr); real != nullptr) {
    target = real;
    std::free(real);  // NOLINT: allocated by realpath()
  }
  struct stat found {};
  const mode_t mode = ::stat(target.c_str(), &found) == 0 ? found.st_mode & 07777U : 0644U;
  auto temporary = target + ".XXXXXX";
  const int file = ::mkstemp(temporary.data());
  if (file < 0) fail("create a temporary file next to");
  bool good = ::fchmod(file, mode) == 0;
  for (std::size_t at = 0; good && at < text.size();) {
    const auto written = ::write(file, text.data() + at, text.size() - at);
    good = written > 0;
    if (good) at += static_cast<std::size_t>(written);
  }
  good = good && ::fsync(file) == 0;
  good = ::close(file) == 0 && good;
  if (!good || ::rename(temporary.c_str(), target.c_str()) != 0) {
    const int error = errno;
    ::unlink(temporary.c_str());
    errno = error;
    fail("write");
  }
}

}  // namespace heathturn
