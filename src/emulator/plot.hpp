// Plots of experiments: lines over a common axis, as SVG.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace heathturn::emulator {

struct Series {
  std::string name;
  std::vector<std::pair<double, double>> points;
};
struct Plot {
  std::string title, x, y;
  std::vector<Series> series;
};

/// The plots below one another.
[[nodiscard]] std::string to_svg(const std::vector<Plot>& plots);

}  // namespace heathturn::emulator
