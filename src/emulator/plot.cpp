#include "emulator/plot.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace heathturn::emulator {
namespace {

// Size of one plot and its margins, in SVG user units.
constexpr double plot_width = 720, plot_height = 300, left_margin = 80, right_margin = 140, top_margin = 40,
                 bottom_margin = 50;
constexpr std::array<const char*, 4> colours = {"#1b6ca8", "#c2571a", "#3a7d44", "#7a3b8f"};
constexpr int tick_count = 5;

std::string text_element(double x, double y, const std::string& text, const char* attributes = "") {
  std::array<char, 512> out{};
  std::snprintf(out.data(), out.size(), "<text x=\"%.1f\" y=\"%.1f\" %s>%s</text>\n", x, y, attributes,
                text.c_str());
  return out.data();
}
std::string line_element(double x1, double y1, double x2, double y2, const char* colour) {
  std::array<char, 256> out{};
  std::snprintf(out.data(), out.size(),
                "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"%s\"/>\n", x1, y1, x2, y2,
                colour);
  return out.data();
}
std::string format_number(double value) {
  std::array<char, 32> out{};
  std::snprintf(out.data(), out.size(), "%g", value);
  return out.data();
}

/// The smallest of 1, 2 or 5 times a power of ten that is not below the value; 1 for values up to 0.
double round_up_for_axis(double value) {
  if (value <= 0) return 1;
  const double unit = std::pow(10, std::floor(std::log10(value)));
  for (const double factor : {1.0, 2.0, 5.0, 10.0}) {
    if (factor * unit >= value) return factor * unit;
  }
  return value;
}

/// One plot, `offset` below the top of the document.
std::string plot_elements(const Plot& plot, double offset) {
  double max_x = 0, max_y = 0;
  for (const auto& series : plot.series) {
    for (const auto& [x, y] : series.points) {
      max_x = std::max(max_x, x);
      max_y = std::max(max_y, y);
    }
  }
  max_x = std::max(max_x, 1e-9);
  max_y = round_up_for_axis(max_y);
  const auto to_svg_x = [&](double x) {
    return left_margin + x / max_x * (plot_width - left_margin - right_margin);
  };
  const auto to_svg_y = [&](double y) {
    return offset + plot_height - bottom_margin - y / max_y * (plot_height - top_margin - bottom_margin);
  };
  auto out = text_element(left_margin, offset + top_margin - 15, plot.title, "font-weight=\"bold\"");
  for (int i = 0; i <= tick_count; ++i) {
    const double x = max_x * i / tick_count, y = max_y * i / tick_count;
    out += line_element(left_margin, to_svg_y(y), plot_width - right_margin, to_svg_y(y), "#dddddd");
    out += text_element(left_margin - 8, to_svg_y(y) + 4, format_number(y), "text-anchor=\"end\"");
    out += text_element(to_svg_x(x), offset + plot_height - bottom_margin + 18, format_number(x),
                        "text-anchor=\"middle\"");
  }
  out += text_element((left_margin + plot_width - right_margin) / 2, offset + plot_height - 12, plot.x_label,
                      "text-anchor=\"middle\"");
  out += text_element(8, offset + top_margin, plot.y_label);
  for (std::size_t i = 0; i < plot.series.size(); ++i) {
    const auto* colour = colours[i % colours.size()];
    out += "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" + std::string(colour) + "\" points=\"";
    for (const auto& [x, y] : plot.series[i].points) {
      std::array<char, 64> point{};
      std::snprintf(point.data(), point.size(), "%.1f,%.1f ", to_svg_x(x), to_svg_y(y));
      out += point.data();
    }
    out += "\"/>\n";
    const double legend_y = offset + top_margin + 20 * static_cast<double>(i);
    out += line_element(plot_width - right_margin + 10, legend_y - 4, plot_width - right_margin + 30,
                        legend_y - 4, colour);
    out += text_element(plot_width - right_margin + 36, legend_y, plot.series[i].name);
  }
  return out;
}

}  // namespace

std::string to_svg(const std::vector<Plot>& plots) {
  const double total_height = plot_height * static_cast<double>(plots.size());
  auto out = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + format_number(plot_width) +
             "\" height=\"" + format_number(total_height) +
             "\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" "
             "fill=\"white\"/>\n";
  for (std::size_t i = 0; i < plots.size(); ++i)
    out += plot_elements(plots[i], plot_height * static_cast<double>(i));
  return out + "</svg>\n";
}

}  // namespace heathturn::emulator
