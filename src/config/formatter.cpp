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

constexpr std::size_t widest = 100;  // columns
constexpr std::size_t indent = 2;

// ---- Tokens -----------------------------------------------------------------------------------------------

struct Token {
  enum class Kind { word, text, open, close, list_open, list_close, colon, separator, comment, end };
  Kind kind = Kind::end;
  std::string text;
  std::size_t line = 0;
};

/// The text is one that protobuf's parser has taken, so there is nothing here that is no token.
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

/// What stands between braces, or at the top.
struct Block {
  std::vector<Entry> entries;
  std::vector<std::string> tail;  ///< comments behind the last entry
  bool gap_before_tail = false;
};

struct Value {
  std::string text;            ///< of a plain one
  std::vector<Block> message;  ///< one, for a message
  std::vector<std::string> before;
  std::string beside;
};

struct Entry {
  std::vector<std::string> before;  ///< comments on lines of their own
  std::string beside;               ///< a comment on the same line
  bool gap = false;                 ///< a blank line stood before it
  std::string key;
  bool list = false;
  std::vector<Value> values;
  std::vector<std::string> tail;  ///< comments at the end of a list
};

class Reader {
 public:
  explicit Reader(const std::string& text) : lexer_(text) { take(); }

  Block block() {
    Block out;
    std::vector<std::string> comments;
    bool gap = false;
    std::size_t last_line = 0;
    while (true) {
      if (token_.kind == Token::Kind::comment) {
        // On the line of the entry before it, it belongs to that one.
        if (comments.empty() && !out.entries.empty() && token_.line == last_line &&
            out.entries.back().beside.empty()) {
          out.entries.back().beside = token_.text;
        } else {
          if (comments.empty()) gap = gap || (last_line > 0 && token_.line > last_line + 1);
          comments.push_back(token_.text);
        }
        last_line = token_.line;
        take();
        continue;
      }
      if (token_.kind == Token::Kind::separator) {
        last_line = token_.line;
        take();
        continue;
      }
      if (token_.kind == Token::Kind::end || token_.kind == Token::Kind::close) break;
      Entry entry;
      entry.gap = gap || (comments.empty() && last_line > 0 && token_.line > last_line + 1);
      entry.before = std::move(comments);
      comments.clear();
      gap = false;
      read(entry);
      last_line = previous_line_;
      out.entries.push_back(std::move(entry));
    }
    out.tail = std::move(comments);
    out.gap_before_tail = gap;
    return out;
  }

 private:
  void take() {
    previous_line_ = token_.line;
    token_ = lexer_.next();
  }
  /// Comments between the parts of one entry go before it: there is no line of theirs in the layout.
  void skip_comments(std::vector<std::string>& to) {
    while (token_.kind == Token::Kind::comment) {
      to.push_back(token_.text);
      take();
    }
  }

  void read(Entry& entry) {
    if (token_.kind == Token::Kind::list_open) {  // the name of an extension
      while (token_.kind != Token::Kind::list_close && token_.kind != Token::Kind::end) {
        entry.key += token_.text;
        take();
      }
    }
    entry.key += token_.text;
    take();
    skip_comments(entry.before);
    if (token_.kind == Token::Kind::colon) {
      take();
      skip_comments(entry.before);
    }
    if (token_.kind == Token::Kind::list_open) {
      read_list(entry);
    } else {
      entry.values.push_back(value(entry.before));
    }
  }

  void read_list(Entry& entry) {
    entry.list = true;
    take();
    std::vector<std::string> comments;
    std::size_t last_line = 0;
    while (token_.kind != Token::Kind::list_close && token_.kind != Token::Kind::end) {
      if (token_.kind == Token::Kind::separator) {
        last_line = token_.line;
        take();
      } else if (token_.kind == Token::Kind::comment) {
        const bool beside = comments.empty() && !entry.values.empty() && token_.line == last_line &&
                            entry.values.back().beside.empty();
        if (beside) {
          entry.values.back().beside = token_.text;
        } else {
          comments.push_back(token_.text);
        }
        last_line = token_.line;
        take();
      } else {
        auto next = value(comments);
        next.before = std::move(comments);
        comments.clear();
        last_line = previous_line_;
        entry.values.push_back(std::move(next));
      }
    }
    entry.tail = std::move(comments);
    take();
  }

  Value value(std::vector<std::string>& comments) {
    Value out;
    if (token_.kind == Token::Kind::open) {
      take();
      out.message.push_back(block());
      take();
      return out;
    }
    // Texts that stand side by side are one; a number may have its sign apart.
    while (true) {
      out.text += token_.text;
      const auto kind = token_.kind;
      const bool sign = kind == Token::Kind::word && token_.text == "-";
      take();
      if (sign) {
        skip_comments(comments);
        continue;
      }
      if (kind != Token::Kind::text) break;
      if (token_.kind == Token::Kind::comment && !next_is_text()) break;
      skip_comments(comments);
      if (token_.kind != Token::Kind::text) break;
      out.text += " ";
    }
    return out;
  }
  /// A text goes on behind comments.
  bool next_is_text() {
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
  if (!entry.before.empty() || !entry.tail.empty()) return true;
  for (const auto& each : entry.values) {
    if (!each.before.empty() || !each.beside.empty()) return true;
    if (!each.message.empty() && has_comments(each.message.front())) return true;
  }
  return false;
}
bool has_comments(const Block& block) {
  if (!block.tail.empty()) return true;
  for (const auto& each : block.entries) {
    if (!each.beside.empty() || has_comments(each)) return true;
  }
  return false;
}

/// On one line, where the entry may stand so: without comments, and with no message inside a message.
std::optional<std::string> flat(const Entry& entry, bool inside_message);
std::optional<std::string> flat(const Block& block) {
  if (has_comments(block)) return std::nullopt;
  std::string out = "{";
  for (const auto& each : block.entries) {
    const auto text = flat(each, true);
    if (!text) return std::nullopt;
    out += " " + *text;
  }
  return out + (block.entries.empty() ? "}" : " }");
}
std::optional<std::string> flat(const Entry& entry, bool inside_message) {
  if (!entry.tail.empty()) return std::nullopt;
  std::string out = entry.key;
  std::string items;
  for (const auto& each : entry.values) {
    if (!each.before.empty() || !each.beside.empty()) return std::nullopt;
    auto text = std::optional(each.text);
    if (!each.message.empty()) {
      if (inside_message) return std::nullopt;
      text = flat(each.message.front());
    }
    if (!text) return std::nullopt;
    items += (items.empty() ? "" : ", ") + *text;
  }
  const bool message = !entry.list && !entry.values.empty() && !entry.values.front().message.empty();
  if (entry.list) return out + ": [" + items + "]";
  return out + (message ? " " : ": ") + items;
}

class Printer {
 public:
  std::string print(const Block& block) {
    entries(block, 0);
    return std::move(out_);
  }

 private:
  void line(std::size_t depth, const std::string& text) {
    out_ += std::string(depth * indent, ' ') + text + "\n";
  }

  void entries(const Block& block, std::size_t depth) {
    bool first = true;
    for (const auto& each : block.entries) {
      if (!first && each.gap) out_ += "\n";
      first = false;
      entry(each, depth);
    }
    if (!first && block.gap_before_tail && !block.tail.empty()) out_ += "\n";
    for (const auto& each : block.tail) line(depth, each);
  }

  void entry(const Entry& entry, std::size_t depth) {
    for (const auto& each : entry.before) line(depth, each);
    const auto beside = entry.beside.empty() ? "" : "  " + entry.beside;
    if (const auto text = flat(entry, false); text && depth * indent + text->size() <= widest) {
      return line(depth, *text + beside);
    }
    if (entry.list) return list(entry, depth, beside);
    const auto& value = entry.values.front();
    if (value.message.empty()) return line(depth, entry.key + ": " + value.text + beside);
    line(depth, entry.key + " {");
    entries(value.message.front(), depth + 1);
    line(depth, "}" + beside);
  }

  void list(const Entry& entry, std::size_t depth, const std::string& beside) {
    line(depth, entry.key + ": [");
    for (std::size_t i = 0; i < entry.values.size(); ++i) {
      const auto& each = entry.values[i];
      for (const auto& comment : each.before) line(depth + 1, comment);
      const auto end = std::string(i + 1 < entry.values.size() ? "," : "") +
                       (each.beside.empty() ? "" : "  " + each.beside);
      if (each.message.empty()) {
        line(depth + 1, each.text + end);
      } else if (const auto text = flat(each.message.front());
                 text && (depth + 1) * indent + text->size() <= widest) {
        line(depth + 1, *text + end);
      } else {
        line(depth + 1, "{");
        entries(each.message.front(), depth + 2);
        line(depth + 1, "}" + end);
      }
    }
    for (const auto& comment : entry.tail) line(depth + 1, comment);
    line(depth, "]" + beside);
  }

  std::string out_;
};

}  // namespace

std::optional<std::string> format_source(const std::string& name, const std::string& text,
                                         Diagnostics& diagnostics) {
  const auto before = parse_source_text(name, text, diagnostics);
  if (diagnostics.has_errors()) return std::nullopt;
  auto out = Printer().print(Reader(text).block());
  Diagnostics diagnostics_after;
  const auto after = parse_source_text(name, out, diagnostics_after);
  if (diagnostics_after.has_errors() ||
      !google::protobuf::util::MessageDifferencer::Equals(before->message, after->message)) {
    diagnostics.add({name, 0, 0, "layout",
                     "the formatted text would not mean the same; the file stays as it is", "", false});
    return std::nullopt;
  }
  return out;
}

void replace_file(const std::string& path, const std::string& text) {
  const auto fail = [&path](const char* what) {
    throw std::runtime_error("cannot " + std::string(what) + " " + path + ": " + std::strerror(errno));
  };
  std::string target = path;
  if (char* real = ::realpath(path.c_str(), nullptr); real != nullptr) {
    target = real;
    std::free(real);  // NOLINT: realpath's own
  }
  struct stat found {};
  const mode_t mode = ::stat(target.c_str(), &found) == 0 ? found.st_mode & 07777U : 0644U;
  auto beside = target + ".XXXXXX";
  const int file = ::mkstemp(beside.data());
  if (file < 0) fail("write beside");
  bool good = ::fchmod(file, mode) == 0;
  for (std::size_t at = 0; good && at < text.size();) {
    const auto wrote = ::write(file, text.data() + at, text.size() - at);
    good = wrote > 0;
    if (good) at += static_cast<std::size_t>(wrote);
  }
  good = good && ::fsync(file) == 0;
  good = ::close(file) == 0 && good;
  if (!good || ::rename(beside.c_str(), target.c_str()) != 0) {
    const int error = errno;
    ::unlink(beside.c_str());
    errno = error;
    fail("write");
  }
}

}  // namespace heathturn
