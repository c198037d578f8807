// Messages of the platform's JSON protocol: one JSON object per line.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "maddershed/call_controller.hpp"

namespace heathturn {

/// Kind of a message; the enumerators are named as on the wire.
enum class Op { offer, ringing, accept, end, ended, test, tested, group };

/// Cause codes of `end` messages, numbered as the causes of ITU-T Q.850.
namespace cause {
inline constexpr int normal = 16;
inline constexpr int busy = 17;
inline constexpr int no_circuit = 34;
inline constexpr int temporary_failure = 41;
inline constexpr int congestion = 42;
inline constexpr int error = 47;
inline constexpr int timer_expired = 102;
}  // namespace cause

/// A message of the platform's protocol.
struct Message {
  Op op = Op::end;
  std::string call_id;                                      ///< for tests, the id of the test
  std::vector<std::pair<std::string, std::string>> fields;  ///< numbers as text
  std::optional<int> code;  ///< `end`: cause; `test`: 1 for a probe; `tested`: 0 for a failed test
  std::optional<std::string> description;

  /// Null when the message has no such field.
  [[nodiscard]] const std::string* field(std::string_view name) const;
  /// The field as a number, or `fallback` when it is missing or not a number.
  [[nodiscard]] double number(std::string_view name, double fallback) const;
};

/// Throws ProtocolError with the reason code for the end of the connection.
[[nodiscard]] Message parse_message(const std::string& line);
/// The result includes the line feed.
[[nodiscard]] std::string serialize_message(const Message& message);

/// Named numbers in the form "dest:2;width:1;via:-1". Parts without a valid number are skipped and make the
/// list not well-formed.
struct NamedNumbers {
  std::vector<std::pair<std::string, double>> values;
  bool well_formed = true;
};
[[nodiscard]] NamedNumbers parse_named_numbers(const std::string& text);
/// Parses the load in a converter's message. `columns`: the names in the settings' `stats.columns`.
[[nodiscard]] maddershed::LoadReport parse_load_report(const std::string& text,
                                                       const std::vector<std::string>& columns);

}  // namespace heathturn
