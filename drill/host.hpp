// Hosts one call controller for each instance named on the wire. Instances share no state.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "codec.hpp"

namespace maddershed::drill {

/// Runs the instances of one process.
class InstanceHost {
 public:
  /// Passes a decoded batch of events to the instances and returns the frame of the reply. Throws WireError
  /// for invalid settings and for an event of an instance that was not launched.
  [[nodiscard]] std::vector<std::uint8_t> handle(Time now, const std::vector<InstanceEvent>& events);

 private:
  struct Instance {
    std::optional<CallController> controller;  ///< empty while it is stopped
    std::vector<std::string> columns;
  };
  void launch(Instance& instance, const Launch& launch);

  std::map<std::uint32_t, Instance> instances_;
};

}  // namespace maddershed::drill
