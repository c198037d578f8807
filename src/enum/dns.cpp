#include "enum/dns.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace heathturn::dns {
namespace {

/// Bits of the header's flags.
namespace flag {
constexpr std::uint32_t response = 0x8000, authoritative = 0x0400, truncated = 0x0200;
constexpr std::uint32_t recursion_desired = 0x0100, recursion_available = 0x0080;
constexpr std::uint32_t authentic_data = 0x0020, checking_disabled = 0x0010;
}  // namespace flag

constexpr std::size_t max_name_bytes = 255;
constexpr std::size_t max_label_bytes = 63;
constexpr std::size_t max_number_digits = 15;  // of an E.164 number
constexpr int max_name_pointers = 16;          // compression pointers that one name may lead through
constexpr std::uint32_t max_query_additional_records = 16;

char to_lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool names_equal(const std::string& a, const std::string& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return to_lower(x) == to_lower(y); });
}

/// Reads a message from its start. A read past the end fails, as does each one after it; ok() tells.
class MessageReader {
 public:
  explicit MessageReader(const std::string& bytes) : bytes_(bytes) {}
  [[nodiscard]] bool ok() const { return ok_; }
  [[nodiscard]] std::size_t position() const { return position_; }
  [[nodiscard]] bool at_end() const { return position_ == bytes_.size(); }
  void fail() { ok_ = false; }

  /// Reads a big-endian number of `width` bytes.
  std::uint32_t read_number(std::size_t width) {
    if (!require_bytes(width)) return 0;
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < width; ++i)
      value = value << 8 | static_cast<std::uint8_t>(bytes_[position_++]);
    return value;
  }
  std::string read_bytes(std::size_t count) {
    if (!require_bytes(count)) return {};
    position_ += count;
    return bytes_.substr(position_ - count, count);
  }
  /// Reads a name and follows its compression pointers. Each pointer must lead further back than the one
  /// before it, so that a message cannot contain a loop, and their number is limited, so that a message with
  /// many names takes no more than time in proportion to its length.
  std::string read_name() {
    std::string out;
    std::size_t offset = position_;
    std::size_t limit = position_;
    int pointers = 0;
    while (ok_) {
      if (offset >= bytes_.size()) break;
      const auto length = static_cast<std::uint8_t>(bytes_[offset]);
      if (length >= 0xc0) {
        if (offset + 1 >= bytes_.size()) break;
        const auto target =
            static_cast<std::size_t>((length & 0x3f) << 8 | static_cast<std::uint8_t>(bytes_[offset + 1]));
        if (pointers == 0) position_ = offset + 2;
        if (++pointers > max_name_pointers || target >= limit) break;
        limit = offset = target;
        continue;
      }
      if (length > max_label_bytes || offset + 1 + length > bytes_.size()) break;
      out.append(bytes_, offset, std::size_t{1} + length);
      if (out.size() > max_name_bytes) break;
      offset += std::size_t{1} + length;
      if (length == 0) {
        if (pointers == 0) position_ = offset;
        return out;
      }
    }
    fail();
    return {};
  }

 private:
  bool require_bytes(std::size_t count) {
    if (ok_ && count <= bytes_.size() - position_) return true;
    fail();
    return false;
  }
  const std::string& bytes_;
  std::size_t position_ = 0;
  bool ok_ = true;
};

/// Appends a big-endian number of `width` bytes.
void append_number(std::string& out, std::uint32_t value, std::size_t width) {
  for (std::size_t i = width; i-- > 0;) out.push_back(static_cast<char>(value >> (8 * i)));
}

/// Layout of the data of a record type whose names may be compressed: the number of names, and the number of
/// bytes before them.
struct NameLayout {
  std::size_t prefix_bytes = 0;
  std::size_t name_count = 0;
};
NameLayout name_layout(std::uint16_t record_type) {
  switch (record_type) {
    case 2:   // NS
    case 5:   // CNAME
    case 12:  // PTR
    case 39:  // DNAME
      return {0, 1};
    case 6:  // SOA
      return {0, 2};
    case 15:  // MX
      return {2, 1};
    case 33:  // SRV
      return {6, 1};
    default:
      return {};
  }
}

/// Reads the data of a NAPTR record: order, preference, three character strings and a name.
std::string read_naptr_data(MessageReader& in) {
  std::string out = in.read_bytes(4);
  for (int i = 0; i < 3; ++i) {
    const auto length = in.read_number(1);
    append_number(out, length, 1);
    out += in.read_bytes(length);
  }
  return out + in.read_name();
}

/// Reads a record. Fails `in` when the data does not end where its length says. `data_size`: that length.
Record read_record(MessageReader& in, std::size_t& data_size) {
  Record record;
  record.name = in.read_name();
  record.type = static_cast<std::uint16_t>(in.read_number(2));
  record.dns_class = static_cast<std::uint16_t>(in.read_number(2));
  record.ttl = in.read_number(4);
  data_size = in.read_number(2);
  const auto end = in.position() + data_size;
  if (record.type == type::naptr) {
    record.data = read_naptr_data(in);
  } else if (const auto layout = name_layout(record.type); layout.name_count > 0) {
    record.data = in.read_bytes(layout.prefix_bytes);
    for (std::size_t i = 0; i < layout.name_count; ++i) record.data += in.read_name();
    if (in.ok() && in.position() <= end) record.data += in.read_bytes(end - in.position());
  } else {
    record.data = in.read_bytes(data_size);
  }
  if (in.position() != end) in.fail();
  return record;
}

/// The numbers of records in the sections of a message, as its header tells them.
struct SectionCounts {
  std::uint32_t questions = 0, answers = 0, authority = 0, additional = 0;
};
/// Reads the counts, and what precedes them, from the start of the message.
SectionCounts read_counts(MessageReader& in) {
  in.read_bytes(4);  // id and flags
  SectionCounts counts;
  counts.questions = in.read_number(2);
  counts.answers = in.read_number(2);
  counts.authority = in.read_number(2);
  counts.additional = in.read_number(2);
  return counts;
}

Question read_question(MessageReader& in) {
  Question question;
  question.name = in.read_name();
  question.type = static_cast<std::uint16_t>(in.read_number(2));
  question.dns_class = static_cast<std::uint16_t>(in.read_number(2));
  return question;
}

/// Takes the fields of an OPT record. A second one, or one whose owner is not the root, is an error.
void read_edns(const Record& record, Message& message, MessageReader& in) {
  if (message.edns || record.name.size() != 1) return in.fail();
  Edns edns;
  edns.udp_payload_bytes = std::max<std::uint16_t>(record.dns_class, default_udp_payload_bytes);
  edns.extended_rcode = static_cast<std::uint8_t>(record.ttl >> 24);
  edns.version = static_cast<std::uint8_t>(record.ttl >> 16);
  edns.dnssec_ok = (record.ttl & 0x8000U) != 0;
  message.edns = edns;
}

void write_record(std::string& out, const Record& record) {
  out += record.name;
  append_number(out, record.type, 2);
  append_number(out, record.dns_class, 2);
  append_number(out, record.ttl, 4);
  append_number(out, static_cast<std::uint32_t>(record.data.size()), 2);
  out += record.data;
}

}  // namespace

bool Question::matches(const Question& other) const {
  return type == other.type && dns_class == other.dns_class && names_equal(name, other.name);
}

std::optional<Header> parse_header(const std::string& bytes) {
  if (bytes.size() < header_bytes) return std::nullopt;
  MessageReader in(bytes);
  Header header;
  header.id = static_cast<std::uint16_t>(in.read_number(2));
  const auto flags = in.read_number(2);
  const auto is_set = [flags](std::uint32_t which) { return (flags & which) != 0; };
  header.response = is_set(flag::response);
  header.opcode = static_cast<std::uint8_t>(flags >> 11 & 15U);
  header.authoritative = is_set(flag::authoritative);
  header.truncated = is_set(flag::truncated);
  header.recursion_desired = is_set(flag::recursion_desired);
  header.recursion_available = is_set(flag::recursion_available);
  header.authentic_data = is_set(flag::authentic_data);
  header.checking_disabled = is_set(flag::checking_disabled);
  header.rcode = static_cast<std::uint16_t>(flags & 15U);
  return header;
}

std::optional<Question> parse_question(const std::string& bytes) {
  MessageReader in(bytes);
  const auto counts = read_counts(in);
  const auto question = read_question(in);
  return in.ok() && counts.questions == 1 ? std::optional(question) : std::nullopt;
}

std::optional<Message> parse_message(const std::string& bytes) {
  const auto header = parse_header(bytes);
  if (!header) return std::nullopt;
  MessageReader in(bytes);
  Message message{*header, {}, {}, {}, {}};
  const auto [questions, answers, authority, additional] = read_counts(in);
  if (!in.ok() || questions > 1) return std::nullopt;
  if (questions == 1) message.question = read_question(in);
  for (std::uint32_t i = 0; in.ok() && i < answers + authority + additional; ++i) {
    std::size_t size = 0;
    auto record = read_record(in, size);
    if (i < answers) {
      message.answers.push_back(std::move(record));
    } else if (i < answers + authority) {
      message.authority.push_back(std::move(record));
    } else if (record.type == type::opt) {
      read_edns(record, message, in);
    }
  }
  if (!in.ok() || !in.at_end()) return std::nullopt;
  if (message.edns)
    message.rcode = static_cast<std::uint16_t>(message.rcode | message.edns->extended_rcode << 4);
  return message;
}

std::optional<Message> parse_query(const std::string& bytes) {
  if (bytes.size() > max_query_bytes) return std::nullopt;
  MessageReader in(bytes);
  const auto counts = read_counts(in);
  if (!in.ok() || counts.questions != 1 || counts.answers != 0 || counts.authority != 0) return std::nullopt;
  if (counts.additional > max_query_additional_records) return std::nullopt;
  return parse_message(bytes);
}

std::string serialize_message(const Message& message) {
  std::string out;
  append_number(out, message.id, 2);
  const auto bit_if = [](bool set, std::uint32_t which) { return set ? which : 0U; };
  const std::uint32_t flags =
      bit_if(message.response, flag::response) | (message.opcode & 15U) << 11 |
      bit_if(message.authoritative, flag::authoritative) | bit_if(message.truncated, flag::truncated) |
      bit_if(message.recursion_desired, flag::recursion_desired) |
      bit_if(message.recursion_available, flag::recursion_available) |
      bit_if(message.authentic_data, flag::authentic_data) |
      bit_if(message.checking_disabled, flag::checking_disabled) | (message.rcode & 15U);
  append_number(out, flags, 2);
  append_number(out, message.question ? 1 : 0, 2);
  append_number(out, static_cast<std::uint32_t>(message.answers.size()), 2);
  append_number(out, static_cast<std::uint32_t>(message.authority.size()), 2);
  append_number(out, message.edns ? 1 : 0, 2);
  if (message.question) {
    out += message.question->name;
    append_number(out, message.question->type, 2);
    append_number(out, message.question->dns_class, 2);
  }
  for (const auto& record : message.answers) write_record(out, record);
  for (const auto& record : message.authority) write_record(out, record);
  if (message.edns) {
    const auto ttl = static_cast<std::uint32_t>(message.rcode >> 4) << 24 |
                     static_cast<std::uint32_t>(message.edns->version) << 16 |
                     (message.edns->dnssec_ok ? 0x8000U : 0U);
    write_record(out, {std::string(1, '\0'), type::opt, message.edns->udp_payload_bytes, ttl, {}});
  }
  return out;
}

std::string serialize_within(const Message& message, std::size_t max_bytes) {
  auto bytes = serialize_message(message);
  if (bytes.size() <= max_bytes) return bytes;
  // The authority section of a positive answer may be omitted without truncation. Of the other records a part
  // alone would be misleading, so all of them are omitted.
  auto reduced = message;
  if (!reduced.answers.empty()) reduced.authority.clear();
  bytes = serialize_message(reduced);
  if (bytes.size() <= max_bytes) return bytes;
  reduced.answers.clear();
  reduced.authority.clear();
  reduced.truncated = true;
  return serialize_message(reduced);
}

std::optional<std::string> name_from_text(const std::string& text) {
  std::string out;
  std::size_t start = 0;
  const auto size = text.ends_with('.') ? text.size() - 1 : text.size();
  while (start < size) {
    const auto dot = std::min(text.find('.', start), size);
    const auto length = dot - start;
    if (length == 0 || length > max_label_bytes) return std::nullopt;
    out.push_back(static_cast<char>(length));
    out.append(text, start, length);
    start = dot + 1;
  }
  out.push_back('\0');
  if (out.size() > max_name_bytes) return std::nullopt;
  return out;
}

std::string name_to_text(const std::string& name) {
  std::string out;
  for (std::size_t offset = 0; offset < name.size() && name[offset] != '\0';) {
    const auto length = static_cast<std::uint8_t>(name[offset]);
    if (!out.empty()) out += '.';
    for (std::size_t i = offset + 1; i <= offset + length && i < name.size(); ++i) {
      const auto c = static_cast<unsigned char>(name[i]);
      if (c > ' ' && c < 127 && c != '.' && c != '\\') {
        out += to_lower(name[i]);
      } else {
        std::array<char, 8> escaped{};
        std::snprintf(escaped.data(), escaped.size(), "\\%03u", static_cast<unsigned>(c));
        out += escaped.data();
      }
    }
    offset += std::size_t{1} + length;
  }
  return out;
}

std::optional<std::string> number_from_name(const std::string& name, const std::string& suffix) {
  const auto text = name_to_text(name);
  const auto dotted_suffix = "." + suffix;
  if (!text.ends_with(dotted_suffix)) return std::nullopt;
  const auto labels = text.substr(0, text.size() - dotted_suffix.size());
  std::string digits;
  for (std::size_t i = 0; i < labels.size(); ++i) {
    const bool is_digit = labels[i] >= '0' && labels[i] <= '9';
    if (i % 2 == 0 ? !is_digit : labels[i] != '.') return std::nullopt;
    if (is_digit) digits.insert(digits.begin(), labels[i]);
  }
  if (digits.empty() || labels.size() % 2 == 0 || digits.size() > max_number_digits) return std::nullopt;
  return digits;
}

}  // namespace heathturn::dns
