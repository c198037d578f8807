// The platform's JSON lines: one message a line.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "maddershed/call_controller.hpp"

namespace heathturn {

enum class Op { offer, ringing, accept, end, ended, test, tested, group };

namespace cause {
inline constexpr int normal = 16;
inline constexpr int busy = 17;
inline constexpr int no_circuit = 34;
inline constexpr int temporary_failure = 41;
inline constexpr int congestion = 42;
inline constexpr int error = 47;
inline constexpr int timer_expired = 102;
}  // namespace cause

struct Message {
  Op op = Op::end;
  std::string call_id;
  std::vector<std::pair<std::string, std::string>> fields;  ///< strings; numbers as their text
  std::optional<int> code;
  std::optional<std::string> description;

  [[nodiscard]] const std::string* field(std::string_view name) const;
  [[nodiscard]] double number(std::string_view name, double otherwise) const;
};

/// Throws Unreadable with the reason code for the connection's end.
[[nodiscard]] Message parse_message(const std::string& line);
/// With the line feed.
[[nodiscard]] std::string serialize_message(const Message& message);

/// "dest:2;width:1;via:-1" as pairs; parts without a number are left out, and it is not whole then.
struct NamedNumbers {
  std::vector<std::pair<std::string, double>> values;
  bool well_formed = true;
};
[[nodiscard]] NamedNumbers parse_named_numbers(const std::string& text);
[[nodiscard]] maddershed::LoadReport parse_load_report(const std::string& text,
                                                       const std::vector<std::string>& columns);

}  // namespace heathturn
