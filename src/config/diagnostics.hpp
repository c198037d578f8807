// What is wrong with the operator's files: each fault one line, with its place, the key and what is expected.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "config/settings_reader.hpp"

namespace heathturn {

struct Diagnostic {
  std::string file;
  int line = 0, column = 0;  ///< from 1; 0: the file as a whole
  std::string key;
  std::string message;
  std::string expected;  ///< empty where the text says it all
  bool is_warning = false;

  /// "FILE:LINE:COL: key: fault; what is expected".
  [[nodiscard]] std::string to_text() const;
};

/// Collects faults in the order of their finding; one for each key at a place, and so many at most.
class Diagnostics {
 public:
  void add(Diagnostic diagnostic);
  [[nodiscard]] bool has_errors() const { return error_count_ > 0; }
  [[nodiscard]] std::size_t error_count() const { return error_count_; }
  [[nodiscard]] const std::vector<Diagnostic>& all() const { return diagnostics_; }
  /// Found beyond those kept.
  [[nodiscard]] std::size_t omitted_count() const { return omitted_count_; }
  /// By file as first met, then line and column.
  void sort_by_location();

 private:
  std::vector<Diagnostic> diagnostics_;
  std::set<std::tuple<std::string, int, std::string>> seen_;
  std::size_t error_count_ = 0;
  std::size_t omitted_count_ = 0;
};

/// A file that cannot be used; what() is its faults, one a line, without warnings.
class ConfigError : public maddershed::InputError {
 public:
  explicit ConfigError(const Diagnostics& diagnostics);
};

}  // namespace heathturn
