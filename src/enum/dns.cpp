#include "enum/dns.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace heathturn::dns {
namespace {

namespace flag {
constexpr std::uint32_t response = 0x8000, authoritative = 0x0400, truncated = 0x0200;
constexpr std::uint32_t recursion_desired = 0x0100, recursion_available = 0x0080;
constexpr std::uint32_t authentic_data = 0x0020, checking_disabled = 0x0010;
}  // namespace flag

constexpr std::size_t most_name = 255;
constexpr std::size_t most_label = 63;
constexpr std::size_t most_number = 15;  // digits of an E.164 number

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool same_name(const std::string& a, const std::string& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return lower(x) == lower(y); });
}

class Reader {
 public:
  explicit Reader(const std::string& bytes) : bytes_(bytes) {}
  [[nodiscard]] bool good() const { return good_; }
  [[nodiscard]] std::size_t at() const { return at_; }
  [[nodiscard]] bool done() const { return at_ == bytes_.size(); }
  void fail() { good_ = false; }

  std::uint32_t number(std::size_t width) {
    if (!need(width)) return 0;
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < width; ++i) value = value << 8 | static_cast<std::uint8_t>(bytes_[at_++]);
    return value;
  }
  std::string take(std::size_t count) {
    if (!need(count)) return {};
    at_ += count;
    return bytes_.substr(at_ - count, count);
  }
  /// A name, followed through its compression. Each pointer must lead further back than the one before, so
  /// that no message can lead round in a circle.
  std::string name() {
    std::string out;
    std::size_t here = at_;
    std::size_t bound = at_;
    bool jumped = false;
    while (good_) {
      if (here >= bytes_.size()) break;
      const auto length = static_cast<std::uint8_t>(bytes_[here]);
      if (length >= 0xc0) {
        if (here + 1 >= bytes_.size()) break;
        const auto target =
            static_cast<std::size_t>((length & 0x3f) << 8 | static_cast<std::uint8_t>(bytes_[here + 1]));
        if (!jumped) at_ = here + 2;
        jumped = true;
        if (target >= bound) break;
        bound = here = target;
        continue;
      }
      if (length > most_label || here + 1 + length > bytes_.size()) break;
      out.append(bytes_, here, std::size_t{1} + length);
      if (out.size() > most_name) break;
      here += std::size_t{1} + length;
      if (length == 0) {
        if (!jumped) at_ = here;
        return out;
      }
    }
    fail();
    return {};
  }

 private:
  bool need(std::size_t count) {
    if (good_ && count <= bytes_.size() - at_) return true;
    fail();
    return false;
  }
  const std::string& bytes_;
  std::size_t at_ = 0;
  bool good_ = true;
};

void put(std::string& out, std::uint32_t value, std::size_t width) {
  for (std::size_t i = width; i-- > 0;) out.push_back(static_cast<char>(value >> (8 * i)));
}

/// The fields before, and the number of, names in the data of a type whose names may be compressed.
struct NamesIn {
  std::size_t before = 0;
  std::size_t names = 0;
};
NamesIn names_in(std::uint16_t of_type) {
  switch (of_type) {
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

/// Order, preference, three texts and a name, and nothing else.
std::string read_naptr(Reader& in) {
  std::string out = in.take(4);
  for (int i = 0; i < 3; ++i) {
    const auto length = in.number(1);
    put(out, length, 1);
    out += in.take(length);
  }
  return out + in.name();
}

Record read_record(Reader& in, std::size_t& size_of_data) {
  Record record;
  record.name = in.name();
  record.type = static_cast<std::uint16_t>(in.number(2));
  record.dns_class = static_cast<std::uint16_t>(in.number(2));
  record.ttl = in.number(4);
  size_of_data = in.number(2);
  const auto end = in.at() + size_of_data;
  if (record.type == type::naptr) {
    record.data = read_naptr(in);
  } else if (const auto names = names_in(record.type); names.names > 0) {
    record.data = in.take(names.before);
    for (std::size_t i = 0; i < names.names; ++i) record.data += in.name();
    if (in.good() && in.at() <= end) record.data += in.take(end - in.at());
  } else {
    record.data = in.take(size_of_data);
  }
  if (in.at() != end) in.fail();
  return record;
}

Question take_question(Reader& in) {
  Question question;
  question.name = in.name();
  question.type = static_cast<std::uint16_t>(in.number(2));
  question.dns_class = static_cast<std::uint16_t>(in.number(2));
  return question;
}

void read_edns(const Record& record, Message& message, Reader& in) {
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
  put(out, record.type, 2);
  put(out, record.dns_class, 2);
  put(out, record.ttl, 4);
  put(out, static_cast<std::uint32_t>(record.data.size()), 2);
  out += record.data;
}

}  // namespace

bool Question::matches(const Question& other) const {
  return type == other.type && dns_class == other.dns_class && same_name(name, other.name);
}

std::optional<Header> parse_header(const std::string& bytes) {
  if (bytes.size() < header_bytes) return std::nullopt;
  Reader in(bytes);
  Header header;
  header.id = static_cast<std::uint16_t>(in.number(2));
  const auto flags = in.number(2);
  const auto is = [flags](std::uint32_t which) { return (flags & which) != 0; };
  header.response = is(flag::response);
  header.opcode = static_cast<std::uint8_t>(flags >> 11 & 15U);
  header.authoritative = is(flag::authoritative);
  header.truncated = is(flag::truncated);
  header.recursion_desired = is(flag::recursion_desired);
  header.recursion_available = is(flag::recursion_available);
  header.authentic_data = is(flag::authentic_data);
  header.checking_disabled = is(flag::checking_disabled);
  header.rcode = static_cast<std::uint16_t>(flags & 15U);
  return header;
}

std::optional<Question> parse_question(const std::string& bytes) {
  Reader in(bytes);
  in.take(4);
  const auto questions = in.number(2);
  in.take(6);
  const auto question = take_question(in);
  return in.good() && questions == 1 ? std::optional(question) : std::nullopt;
}

std::optional<Message> parse_message(const std::string& bytes) {
  const auto header = parse_header(bytes);
  if (!header) return std::nullopt;
  Reader in(bytes);
  in.take(4);
  Message message{*header, {}, {}, {}, {}};
  const auto questions = in.number(2);
  const auto answers = in.number(2);
  const auto authority = in.number(2);
  const auto additional = in.number(2);
  if (!in.good() || questions > 1) return std::nullopt;
  if (questions == 1) message.question = take_question(in);
  for (std::uint32_t i = 0; in.good() && i < answers + authority + additional; ++i) {
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
  if (!in.good() || !in.done()) return std::nullopt;
  if (message.edns)
    message.rcode = static_cast<std::uint16_t>(message.rcode | message.edns->extended_rcode << 4);
  return message;
}

std::string serialize_message(const Message& message) {
  std::string out;
  put(out, message.id, 2);
  const auto bit = [](bool set, std::uint32_t which) { return set ? which : 0U; };
  const std::uint32_t flags = bit(message.response, flag::response) | (message.opcode & 15U) << 11 |
                              bit(message.authoritative, flag::authoritative) |
                              bit(message.truncated, flag::truncated) |
                              bit(message.recursion_desired, flag::recursion_desired) |
                              bit(message.recursion_available, flag::recursion_available) |
                              bit(message.authentic_data, flag::authentic_data) |
                              bit(message.checking_disabled, flag::checking_disabled) | (message.rcode & 15U);
  put(out, flags, 2);
  put(out, message.question ? 1 : 0, 2);
  put(out, static_cast<std::uint32_t>(message.answers.size()), 2);
  put(out, static_cast<std::uint32_t>(message.authority.size()), 2);
  put(out, message.edns ? 1 : 0, 2);
  if (message.question) {
    out += message.question->name;
    put(out, message.question->type, 2);
    put(out, message.question->dns_class, 2);
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

std::string serialize_within(const Message& message, std::size_t most) {
  auto whole = serialize_message(message);
  if (whole.size() <= most) return whole;
  // The authority of a positive answer may be left out without a word; of the rest a part would mislead.
  auto less = message;
  if (!less.answers.empty()) less.authority.clear();
  whole = serialize_message(less);
  if (whole.size() <= most) return whole;
  less.answers.clear();
  less.authority.clear();
  less.truncated = true;
  return serialize_message(less);
}

std::optional<std::string> name_from_text(const std::string& text) {
  std::string out;
  std::size_t start = 0;
  const auto size = text.ends_with('.') ? text.size() - 1 : text.size();
  while (start < size) {
    const auto dot = std::min(text.find('.', start), size);
    const auto length = dot - start;
    if (length == 0 || length > most_label) return std::nullopt;
    out.push_back(static_cast<char>(length));
    out.append(text, start, length);
    start = dot + 1;
  }
  out.push_back('\0');
  if (out.size() > most_name) return std::nullopt;
  return out;
}

std::string name_to_text(const std::string& name) {
  std::string out;
  for (std::size_t at = 0; at < name.size() && name[at] != '\0';) {
    const auto length = static_cast<std::uint8_t>(name[at]);
    if (!out.empty()) out += '.';
    for (std::size_t i = at + 1; i <= at + length && i < name.size(); ++i) {
      const auto c = static_cast<unsigned char>(name[i]);
      if (c > ' ' && c < 127 && c != '.' && c != '\\') {
        out += lower(name[i]);
      } else {
        std::array<char, 8> escaped{};
        std::snprintf(escaped.data(), escaped.size(), "\\%03u", static_cast<unsigned>(c));
        out += escaped.data();
      }
    }
    at += std::size_t{1} + length;
  }
  return out;
}

std::optional<std::string> number_from_name(const std::string& name, const std::string& suffix) {
  const auto text = name_to_text(name);
  const auto tail = "." + suffix;
  if (!text.ends_with(tail)) return std::nullopt;
  const auto labels = text.substr(0, text.size() - tail.size());
  std::string digits;
  for (std::size_t i = 0; i < labels.size(); ++i) {
    const bool digit = labels[i] >= '0' && labels[i] <= '9';
    if (i % 2 == 0 ? !digit : labels[i] != '.') return std::nullopt;
    if (digit) digits.insert(digits.begin(), labels[i]);
  }
  if (digits.empty() || labels.size() % 2 == 0 || digits.size() > most_number) return std::nullopt;
  return digits;
}

}  // namespace heathturn::dns
