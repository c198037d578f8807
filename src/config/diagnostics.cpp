#include "config/diagnostics.hpp"

#include <algorithm>
#include <map>

namespace heathturn {
namespace {

constexpr std::size_t max_diagnostics = 1000;  // kept; more are only counted

/// The errors, one a line.
std::string errors_text(const Diagnostics& diagnostics) {
  std::string out;
  for (const auto& each : diagnostics.all()) {
    if (each.is_warning) continue;
    if (!out.empty()) out += '\n';
    out += each.to_text();
  }
  if (diagnostics.omitted_count() > 0)
    out += "\nand " + std::to_string(diagnostics.omitted_count()) + " more";
  return out;
}

}  // namespace

std::string Diagnostic::to_text() const {
  auto out = file + ":";
  if (line > 0) out += std::to_string(line) + ":" + std::to_string(column) + ":";
  out += " ";
  if (is_warning) out += "warning: ";
  out += key + ": " + message;
  if (!expected.empty()) out += "; expected " + expected;
  return out;
}

void Diagnostics::add(Diagnostic diagnostic) {
  // An invalid value is reported once, not again by the checks that depend on it.
  const auto dot = diagnostic.key.rfind('.');
  const auto field = dot == std::string::npos ? diagnostic.key : diagnostic.key.substr(dot + 1);
  if (!seen_.insert({diagnostic.file, diagnostic.line, field}).second) return;
  if (!diagnostic.is_warning) ++error_count_;
  if (diagnostics_.size() >= max_diagnostics) {
    ++omitted_count_;
    return;
  }
  diagnostics_.push_back(std::move(diagnostic));
}

void Diagnostics::sort_by_location() {
  std::map<std::string, std::size_t> order;
  for (const auto& each : diagnostics_) order.try_emplace(each.file, order.size());
  std::stable_sort(diagnostics_.begin(), diagnostics_.end(),
                   [&order](const Diagnostic& a, const Diagnostic& b) {
                     return std::tuple(order.at(a.file), a.line, a.column) <
                            std::tuple(order.at(b.file), b.line, b.column);
                   });
}

ConfigError::ConfigError(const Diagnostics& diagnostics) : InputError(errors_text(diagnostics)) {}

}  // namespace heathturn
