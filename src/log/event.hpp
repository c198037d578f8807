// One event of the log: a stable name and its fields. Components that log are given a sink and do not know
// where it writes to.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace heathturn {

/// Severity of an event.
enum class LogLevel { debug, info, warn, error };

/// A named value of an event: a number, or a text.
struct LogField {
  template <typename Value>
  LogField(const char* name, const Value& value) : key(name) {
    if constexpr (std::is_arithmetic_v<Value>) {
      text = std::to_string(value);
      is_number = true;
    } else {
      text = value;
    }
  }
  const char* key;
  std::string text;
  bool is_number = false;
};

/// Writes one event. `event` is one of the names in docs/log.md.
using LogSink = std::function<void(LogLevel, const char* event, const std::vector<LogField>& fields)>;

}  // namespace heathturn
