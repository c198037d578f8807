// The file of the ENUM front: where it listens, which numbers go where, and who answers for them.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/config.hpp"

namespace heathturn {

/// Numbers that begin alike; the longest prefix that fits a number counts.
struct NumberRange {
  std::string prefix;
  std::uint32_t traffic_class = 0;
  double deadline_ms = 0;
  maddershed::ExchangeNumber destination = maddershed::no_exchange;
};

struct EurekaConfig {
  Address registry;
  std::string path;         ///< in front of "/apps"
  std::string application;  ///< whose instances are the upstreams
  double fetch_every_ms = 0;
  std::string own_application;  ///< empty: this program does not register itself
  std::string own_instance;
  double heartbeat_ms = 0;
};

struct EnumConfig {
  Address listen;
  std::string suffix;  ///< in lower case, without the last dot
  maddershed::Settings settings;
  std::string settings_text;  ///< as read, to tell whether a later reading differs
  std::vector<NumberRange> numbers;
  std::vector<Converter> upstreams;
  std::optional<EurekaConfig> eureka;
  std::string console;  ///< path of the console's socket; empty: none
  double longest_deadline_ms = 0;

  /// The longest range that the number begins with.
  [[nodiscard]] const NumberRange* range_of(const std::string& number) const;
};

/// Throws InputError naming the key.
[[nodiscard]] EnumConfig parse_enum_config(const std::string& text);

}  // namespace heathturn
