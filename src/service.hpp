// A front with its core and its carrier, as the program runs it and the console shows it.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "core/router.hpp"

namespace heathturn {

struct ConverterView {
  Converter converter;
  std::size_t connections = 0;  ///< open ones, or look-ups out
};

class Service {
 public:
  virtual ~Service() = default;
  [[nodiscard]] virtual const char* kind() const = 0;
  virtual void start() = 0;
  /// Reads its file again and goes on by it, whole, or leaves all as it was. `done` is told the fault, or
  /// nothing, now or later.
  virtual void reload(std::function<void(const std::string& fault)> done) = 0;
  /// Work that the end of the process must not wait for is still under way.
  [[nodiscard]] virtual bool working() const { return false; }
  /// New requests are refused from here on.
  virtual void close_door() = 0;
  [[nodiscard]] virtual Router& router() = 0;
  [[nodiscard]] virtual std::vector<ConverterView> converters() const = 0;
  /// Lines for the console's status beyond the core's counts; empty, or ended by a line feed.
  [[nodiscard]] virtual std::string more_status() const { return ""; }
  /// The longest that a request may take from now.
  [[nodiscard]] virtual double longest_ms() const = 0;
  /// Leaves nothing behind elsewhere; called once, before the end.
  virtual void leave() {}
  /// True while leave() has not been heard of.
  [[nodiscard]] virtual bool leaving() const { return false; }
};

}  // namespace heathturn
