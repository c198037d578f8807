// Interface of a service: a frontend with its router and backend, as the program runs it and the console
// shows it.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "config/platform_config.hpp"
#include "core/router.hpp"

namespace heathturn {

/// One converter or upstream as the console shows it.
struct ConverterView {
  Converter converter;
  std::size_t connections = 0;  ///< open connections, or look-ups in flight
};

/// One of the services that the program runs.
class Service {
 public:
  virtual ~Service() = default;
  /// Name of the service in the log and on the console.
  [[nodiscard]] virtual const char* kind() const = 0;
  virtual void start() = 0;
  /// Reads the configuration file again and applies all of it, or nothing when it has an error. `done` gets
  /// the error message, empty on success, either before this returns or later.
  virtual void reload(std::function<void(const std::string& error)> done) = 0;
  /// Background work is in progress that the end of the process must not wait for.
  [[nodiscard]] virtual bool has_background_work() const { return false; }
  /// New requests are refused from now on.
  virtual void refuse_new_requests() = 0;
  [[nodiscard]] virtual Router& router() = 0;
  [[nodiscard]] virtual std::vector<ConverterView> converters() const = 0;
  /// Additional lines for the console's `status`, each ended by a line feed; may be empty.
  [[nodiscard]] virtual std::string extra_status() const { return ""; }
  /// Longest time that a request may take from now, in ms.
  [[nodiscard]] virtual double max_request_ms() const = 0;
  /// Removes the service's registrations elsewhere; called once, before the process ends.
  virtual void deregister() {}
  /// True from deregister() until it has been answered or has failed.
  [[nodiscard]] virtual bool deregistering() const { return false; }
};

}  // namespace heathturn
