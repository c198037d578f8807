// Line plots of the results of experiments, as SVG.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace heathturn::emulator {

/// One line of a plot, as (x, y) pairs.
struct Series {
  std::string name;
  std::vector<std::pair<double, double>> points;
};
/// Lines over common axes, which start at 0.
struct Plot {
  std::string title, x_label, y_label;
  std::vector<Series> series;
};

/// One SVG document with the plots below one another. Texts are not escaped.
[[nodiscard]] std::string to_svg(const std::vector<Plot>& plots);

}  // namespace heathturn::emulator
