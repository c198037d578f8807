// Parses and serializes DNS messages (RFC 1035, with EDNS of RFC 6891). The parser checks every length; the
// serializer writes names without compression.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace heathturn::dns {

/// Record types.
namespace type {
inline constexpr std::uint16_t cname = 5, soa = 6, naptr = 35, opt = 41;
}
inline constexpr std::uint16_t class_in = 1;

/// Response codes, those of EDNS included.
namespace rcode {
inline constexpr std::uint16_t no_error = 0, form_err = 1, serv_fail = 2, nx_domain = 3, not_imp = 4,
                               refused = 5, bad_vers = 16;
}

inline constexpr std::size_t default_udp_payload_bytes = 512;  ///< limit of a message over UDP without EDNS
inline constexpr std::uint16_t advertised_udp_payload_bytes = 1232;  ///< what this program accepts with EDNS
inline constexpr std::size_t header_bytes = 12;
inline constexpr std::size_t max_query_bytes = 4096;  ///< of a query, over UDP and TCP

/// The question of a message.
struct Question {
  std::string name;  ///< in wire format, uncompressed, in the sender's case
  std::uint16_t type = 0;
  std::uint16_t dns_class = 0;
  /// Equality; names are compared without regard to case.
  [[nodiscard]] bool matches(const Question& other) const;
};

/// A resource record.
struct Record {
  std::string name;  ///< in wire format, uncompressed
  std::uint16_t type = 0;
  std::uint16_t dns_class = 0;
  std::uint32_t ttl = 0;  ///< in seconds
  std::string data;       ///< the names in it uncompressed
};

/// The fields of an OPT record.
struct Edns {
  std::uint16_t udp_payload_bytes = default_udp_payload_bytes;
  std::uint8_t version = 0;
  std::uint8_t extended_rcode = 0;
  bool dnssec_ok = false;
};

/// The header of a message, without its counts of records.
struct Header {
  std::uint16_t id = 0;
  bool response = false;
  std::uint8_t opcode = 0;
  bool authoritative = false, truncated = false, recursion_desired = false, recursion_available = false;
  bool authentic_data = false, checking_disabled = false;
  std::uint16_t rcode = 0;
};
/// A message with at most one question. Of the additional section only the OPT record is kept.
struct Message : Header {
  std::optional<Question> question;
  std::vector<Record> answers, authority;
  std::optional<Edns> edns;
};

/// Nothing when the message is shorter than a header.
[[nodiscard]] std::optional<Header> parse_header(const std::string& bytes);
/// Parses the question and ignores everything after it, since a truncated message may be cut anywhere.
/// Nothing unless the message has exactly one question.
[[nodiscard]] std::optional<Question> parse_question(const std::string& bytes);
/// Nothing when any part of the message is malformed: a compression loop, a name that leads through more than
/// 16 compression pointers, a length past the end, more than one question, bytes after the last record.
[[nodiscard]] std::optional<Message> parse_message(const std::string& bytes);
/// Parses a query. Also nothing, decided by its size and the counts in its header, when it is longer than
/// max_query_bytes, has not exactly one question, has answers or authority records, or more than 16
/// additional records.
[[nodiscard]] std::optional<Message> parse_query(const std::string& bytes);
/// The message in wire format; names are not compressed.
[[nodiscard]] std::string serialize_message(const Message& message);
/// The message in at most `max_bytes` bytes. Records are omitted, and the message is marked as truncated, if
/// it does not fit otherwise.
[[nodiscard]] std::string serialize_within(const Message& message, std::size_t max_bytes);

/// Converts a name such as "4.3.2.1.enum.example.org" to wire format; nothing when it is not a valid name.
[[nodiscard]] std::optional<std::string> name_from_text(const std::string& text);
/// Converts a name from wire format to lower-case text without the final dot. Unprintable bytes, spaces, and
/// dots and backslashes within a label are written as \DDD.
[[nodiscard]] std::string name_to_text(const std::string& name);
/// The digits of the E.164 number that a name under `suffix` denotes; nothing for any other name. `suffix`:
/// as name_to_text() returns it.
[[nodiscard]] std::optional<std::string> number_from_name(const std::string& name, const std::string& suffix);

}  // namespace heathturn::dns
