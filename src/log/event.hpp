// One event of the log: a stable name and its fields. Whoever has something to say is given a sink, and knows
// nothing of where it goes.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace heathturn {

enum class LogLevel { debug, info, warn, error };

struct LogField {
  template <typename Value>
  LogField(const char* name, const Value& given) : key(name) {
    if constexpr (std::is_arithmetic_v<Value>) {
      text = std::to_string(given);
      plain = true;
    } else {
      text = given;
    }
  }
  const char* key;
  std::string text;
  bool plain = false;  ///< a number
};

/// `event` is one of docs/log.md.
using LogSink = std::function<void(LogLevel, const char* event, const std::vector<LogField>& fields)>;

}  // namespace heathturn
