// What is wrong with the operator's files: each fault one line, with its place, the key and what is expected.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "config/settings_reader.hpp"

namespace heathturn {

struct Fault {
  std::string file;
  int line = 0, column = 0;  ///< from 1; 0: the file as a whole
  std::string key;
  std::string text;
  std::string expected;  ///< empty where the text says it all
  bool warning = false;

  /// "FILE:LINE:COL: key: fault; what is expected".
  [[nodiscard]] std::string line_text() const;
};

/// Collects faults in the order of their finding; one for each key at a place, and so many at most.
class Faults {
 public:
  void add(Fault fault);
  [[nodiscard]] bool any_error() const { return errors_ > 0; }
  [[nodiscard]] std::size_t errors() const { return errors_; }
  [[nodiscard]] const std::vector<Fault>& all() const { return faults_; }
  /// Found beyond those kept.
  [[nodiscard]] std::size_t left_out() const { return left_out_; }
  /// By file as first met, then line and column.
  void sort();

 private:
  std::vector<Fault> faults_;
  std::set<std::tuple<std::string, int, std::string>> seen_;
  std::size_t errors_ = 0;
  std::size_t left_out_ = 0;
};

/// A file that cannot be used; what() is its faults, one a line, without warnings.
class ConfigError : public maddershed::InputError {
 public:
  explicit ConfigError(const Faults& faults);
};

}  // namespace heathturn
