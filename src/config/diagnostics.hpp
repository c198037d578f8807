// Errors and warnings about the operator's files, each with its location, its key and what is expected there.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "config/settings_reader.hpp"

namespace heathturn {

/// One error or warning. Its text is a single line.
struct Diagnostic {
  std::string file;
  int line = 0, column = 0;  ///< from 1; line 0: the file as a whole
  std::string key;           ///< path of the field, as in "policy.quick.deadline"
  std::string message;
  std::string expected;  ///< empty when the message is sufficient
  bool is_warning = false;

  /// "FILE:LINE:COLUMN: KEY: MESSAGE; expected EXPECTED", with "warning: " before the key of a warning.
  [[nodiscard]] std::string to_text() const;
};

/// Collects diagnostics in the order in which they are found. Keeps one per field name and line, and a
/// limited number in total.
class Diagnostics {
 public:
  /// Drops a diagnostic of a field that already has one on this line.
  void add(Diagnostic diagnostic);
  [[nodiscard]] bool has_errors() const { return error_count_ > 0; }
  /// Includes errors that were omitted from all().
  [[nodiscard]] std::size_t error_count() const { return error_count_; }
  [[nodiscard]] const std::vector<Diagnostic>& all() const { return diagnostics_; }
  /// Diagnostics found after the limit was reached.
  [[nodiscard]] std::size_t omitted_count() const { return omitted_count_; }
  /// Sorts by file, in the order in which the files first appear, then by line and column.
  void sort_by_location();

 private:
  std::vector<Diagnostic> diagnostics_;
  std::set<std::tuple<std::string, int, std::string>> seen_;
  std::size_t error_count_ = 0;
  std::size_t omitted_count_ = 0;
};

/// Thrown for a configuration that cannot be used. what() has one error a line, without the warnings.
class ConfigError : public maddershed::InputError {
 public:
  explicit ConfigError(const Diagnostics& diagnostics);
};

}  // namespace heathturn
