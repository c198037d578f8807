// Parses the decision module's settings from `path=value` lines, the form shared by the simulator's wire
// protocol and the platform's configuration. Both the adapter and the call router use it.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "maddershed/call_controller.hpp"

namespace maddershed {

/// Invalid input; what() names the fault and the key or place.
class InputError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// The settings of the decision module, and the layout of its load reports.
struct ParsedSettings {
  Settings settings;
  std::vector<std::string> report_columns;  ///< names of a load report's figures, in order
};

/// Parses `path=value` lines. Throws InputError naming the key when a required setting is missing, or a value
/// is not a number or is out of range.
[[nodiscard]] ParsedSettings parse_settings(const std::string& text);

/// Builds a load report from figures in the order of `columns`. Unknown columns, and figures without a
/// column, are ignored.
[[nodiscard]] LoadReport to_load_report(const std::vector<std::string>& columns,
                                        const std::vector<float>& figures);

/// Converts an exchange number, which travels as a float; a value outside 0 to 65535 gives no_exchange.
[[nodiscard]] ExchangeNumber to_exchange_number(float value);

}  // namespace maddershed
