#include "emulator/plot.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace heathturn::emulator {
namespace {

constexpr double width = 720, height = 300, left = 80, right = 140, top = 40, bottom = 50;
constexpr std::array<const char*, 4> colours = {"#1b6ca8", "#c2571a", "#3a7d44", "#7a3b8f"};
constexpr int ticks = 5;

std::string text(double x, double y, const std::string& words, const char* more = "") {
  std::array<char, 512> out{};
  std::snprintf(out.data(), out.size(), "<text x=\"%.1f\" y=\"%.1f\" %s>%s</text>\n", x, y, more,
                words.c_str());
  return out.data();
}
std::string line(double x1, double y1, double x2, double y2, const char* colour) {
  std::array<char, 256> out{};
  std::snprintf(out.data(), out.size(),
                "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"%s\"/>\n", x1, y1, x2, y2,
                colour);
  return out.data();
}
std::string number(double value) {
  std::array<char, 32> out{};
  std::snprintf(out.data(), out.size(), "%g", value);
  return out.data();
}

/// A round number not below the value.
double round_up(double value) {
  if (value <= 0) return 1;
  const double unit = std::pow(10, std::floor(std::log10(value)));
  for (const double each : {1.0, 2.0, 5.0, 10.0}) {
    if (each * unit >= value) return each * unit;
  }
  return value;
}

std::string one(const Plot& plot, double offset) {
  double most_x = 0, most_y = 0;
  for (const auto& series : plot.series) {
    for (const auto& [x, y] : series.points) {
      most_x = std::max(most_x, x);
      most_y = std::max(most_y, y);
    }
  }
  most_x = std::max(most_x, 1e-9);
  most_y = round_up(most_y);
  const auto at_x = [&](double x) { return left + x / most_x * (width - left - right); };
  const auto at_y = [&](double y) { return offset + height - bottom - y / most_y * (height - top - bottom); };
  auto out = text(left, offset + top - 15, plot.title, "font-weight=\"bold\"");
  for (int i = 0; i <= ticks; ++i) {
    const double x = most_x * i / ticks, y = most_y * i / ticks;
    out += line(left, at_y(y), width - right, at_y(y), "#dddddd");
    out += text(left - 8, at_y(y) + 4, number(y), "text-anchor=\"end\"");
    out += text(at_x(x), offset + height - bottom + 18, number(x), "text-anchor=\"middle\"");
  }
  out += text((left + width - right) / 2, offset + height - 12, plot.x, "text-anchor=\"middle\"");
  out += text(8, offset + top, plot.y);
  for (std::size_t i = 0; i < plot.series.size(); ++i) {
    const auto* colour = colours[i % colours.size()];
    out += "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" + std::string(colour) + "\" points=\"";
    for (const auto& [x, y] : plot.series[i].points) {
      std::array<char, 64> point{};
      std::snprintf(point.data(), point.size(), "%.1f,%.1f ", at_x(x), at_y(y));
      out += point.data();
    }
    out += "\"/>\n";
    const double row = offset + top + 20 * static_cast<double>(i);
    out += line(width - right + 10, row - 4, width - right + 30, row - 4, colour);
    out += text(width - right + 36, row, plot.series[i].name);
  }
  return out;
}

}  // namespace

std::string to_svg(const std::vector<Plot>& plots) {
  const double all = height * static_cast<double>(plots.size());
  auto out = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + number(width) + "\" height=\"" +
             number(all) +
             "\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" "
             "fill=\"white\"/>\n";
  for (std::size_t i = 0; i < plots.size(); ++i) out += one(plots[i], height * static_cast<double>(i));
  return out + "</svg>\n";
}

}  // namespace heathturn::emulator
