// Maps the reason code of a connection that ended during its handshake to the outcome of that handshake.
#pragma once

#include <string_view>

#include "handshakes/admission.hpp"
#include "net/connections.hpp"

namespace heathturn::tls {

/// `reason_code` is one of heathturn::reason or tls::reason. Any other code counts as not_verified.
[[nodiscard]] inline handshakes::Outcome handshake_outcome(std::string_view reason_code) {
  using handshakes::Outcome;
  if (reason_code == heathturn::reason::refused || reason_code == heathturn::reason::unreachable ||
      reason_code == heathturn::reason::too_many) {
    return Outcome::refused;
  }
  if (reason_code == heathturn::reason::connect_timeout || reason_code == reason::stalled)
    return Outcome::timed_out;
  if (reason_code == heathturn::reason::reset || reason_code == heathturn::reason::peer_closed ||
      reason_code == reason::broken_off) {
    return Outcome::reset;
  }
  return Outcome::not_verified;
}

}  // namespace heathturn::tls
