// DNS messages (RFC 1035, EDNS of RFC 6891): read with every length checked, written without compression but
// for the question's name.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace heathturn::dns {

namespace type {
inline constexpr std::uint16_t cname = 5, soa = 6, naptr = 35, opt = 41;
}
inline constexpr std::uint16_t class_in = 1;

namespace rcode {
inline constexpr std::uint16_t no_error = 0, form_err = 1, serv_fail = 2, nx_domain = 3, not_imp = 4,
                               refused = 5, bad_vers = 16;
}

inline constexpr std::size_t default_udp_payload_bytes = 512;  ///< without EDNS
inline constexpr std::uint16_t advertised_udp_payload_bytes = 1232;
inline constexpr std::size_t header_bytes = 12;

struct Question {
  std::string name;  ///< uncompressed, as on the wire, in the sender's case
  std::uint16_t type = 0;
  std::uint16_t dns_class = 0;
  /// Names differ in nothing by case.
  [[nodiscard]] bool matches(const Question& other) const;
};

struct Record {
  std::string name;  ///< uncompressed
  std::uint16_t type = 0;
  std::uint16_t dns_class = 0;
  std::uint32_t ttl = 0;
  std::string data;  ///< names in it uncompressed
};

struct Edns {
  std::uint16_t udp_payload_bytes = default_udp_payload_bytes;
  std::uint8_t version = 0;
  std::uint8_t extended_rcode = 0;
  bool dnssec_ok = false;
};

/// What can be told of any message from its first bytes.
struct Header {
  std::uint16_t id = 0;
  bool response = false;
  std::uint8_t opcode = 0;
  bool authoritative = false, truncated = false, recursion_desired = false, recursion_available = false;
  bool authentic_data = false, checking_disabled = false;
  std::uint16_t rcode = 0;
};
struct Message : Header {
  std::optional<Question> question;
  std::vector<Record> answers, authority;
  std::optional<Edns> edns;
};

[[nodiscard]] std::optional<Header> parse_header(const std::string& bytes);
/// The question alone, whatever comes after it: a truncated message may be cut anywhere.
[[nodiscard]] std::optional<Question> parse_question(const std::string& bytes);
/// Nothing when the message is malformed in any part: a loop of compression, a length past the end, more
/// than one question, bytes after the last record.
[[nodiscard]] std::optional<Message> parse_message(const std::string& bytes);
[[nodiscard]] std::string serialize_message(const Message& message);
/// At most `most` bytes: what does not fit is left out, and the message says that it was.
[[nodiscard]] std::string serialize_within(const Message& message, std::size_t most);

/// "4.3.2.1.enum.example.org" as on the wire; nothing for what is no name.
[[nodiscard]] std::optional<std::string> name_from_text(const std::string& text);
/// In lower case, without the last dot; bytes that are not plain letters are written as \DDD.
[[nodiscard]] std::string name_to_text(const std::string& name);
/// The E.164 number (its digits) that a name under `suffix` (as name_to_text gives it) stands for.
[[nodiscard]] std::optional<std::string> number_from_name(const std::string& name, const std::string& suffix);

}  // namespace heathturn::dns
