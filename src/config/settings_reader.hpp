// The settings of the decision module, read from the `path=value` lines that the simulator's wire and the
// platform's configuration share. The adapter and the call router both read them here.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "maddershed/call_controller.hpp"

namespace maddershed {

/// Input that cannot be used; the text says what and where.
class InputError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct ParsedSettings {
  Settings settings;
  std::vector<std::string> columns;  ///< figures of a report, in order
};
/// Throws InputError naming the key when a required setting is missing or is not a number.
[[nodiscard]] ParsedSettings parse_settings(const std::string& text);
/// Columns that are not known, and figures beyond the columns, are skipped.
[[nodiscard]] LoadReport to_report(const std::vector<std::string>& columns,
                                   const std::vector<float>& figures);
/// A number of the plan travels as a real; anything that is not such a number is no exchange.
[[nodiscard]] ExchangeNumber exchange_number(float value);

}  // namespace maddershed
