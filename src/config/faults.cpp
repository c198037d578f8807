#include "config/faults.hpp"

#include <algorithm>
#include <map>

namespace heathturn {
namespace {

constexpr std::size_t most_kept = 1000;

std::string joined(const Faults& faults) {
  std::string out;
  for (const auto& each : faults.all()) {
    if (each.warning) continue;
    if (!out.empty()) out += '\n';
    out += each.line_text();
  }
  if (faults.left_out() > 0) out += "\nand " + std::to_string(faults.left_out()) + " more";
  return out;
}

}  // namespace

std::string Fault::line_text() const {
  auto out = file + ":";
  if (line > 0) out += std::to_string(line) + ":" + std::to_string(column) + ":";
  out += " ";
  if (warning) out += "warning: ";
  out += key + ": " + text;
  if (!expected.empty()) out += "; expected " + expected;
  return out;
}

void Faults::add(Fault fault) {
  // A value that is wrong in itself is not told of again by what depends on it.
  const auto dot = fault.key.rfind('.');
  const auto last = dot == std::string::npos ? fault.key : fault.key.substr(dot + 1);
  if (!seen_.insert({fault.file, fault.line, last}).second) return;
  if (!fault.warning) ++errors_;
  if (faults_.size() >= most_kept) {
    ++left_out_;
    return;
  }
  faults_.push_back(std::move(fault));
}

void Faults::sort() {
  std::map<std::string, std::size_t> order;
  for (const auto& each : faults_) order.try_emplace(each.file, order.size());
  std::stable_sort(faults_.begin(), faults_.end(), [&order](const Fault& a, const Fault& b) {
    return std::tuple(order.at(a.file), a.line, a.column) < std::tuple(order.at(b.file), b.line, b.column);
  });
}

ConfigError::ConfigError(const Faults& faults) : InputError(joined(faults)) {}

}  // namespace heathturn
