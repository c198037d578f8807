// How a handshake came to its end, by the reason code of its connection.
#pragma once

#include <string_view>

#include "handshakes/admission.hpp"
#include "net/connections.hpp"

namespace heathturn::tls {

[[nodiscard]] inline handshakes::Outcome ending_of(std::string_view why) {
  using handshakes::Outcome;
  if (why == heathturn::reason::refused || why == heathturn::reason::unreachable ||
      why == heathturn::reason::too_many) {
    return Outcome::refused;
  }
  if (why == heathturn::reason::connect_timeout || why == reason::stalled) return Outcome::timed_out;
  if (why == heathturn::reason::reset || why == heathturn::reason::peer_closed || why == reason::broken_off) {
    return Outcome::reset;
  }
  return Outcome::not_verified;
}

}  // namespace heathturn::tls
