// Admission of TLS handshakes: decides when a connection to a converter may be opened, and whether its
// handshake is expected to resume a session. A full handshake costs a converter processor time just when it
// is cold, and after its restart all routers reconnect at once without coordinating. Does no I/O and reads no
// clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>

#include "core/router.hpp"

namespace heathturn::handshakes {

/// Costs are processor time of a converter that is warm.
struct Settings {
  std::uint32_t router_count = 1;  ///< routers that share the converters, this one included
  double full_cost_ms = 2;         ///< of a full handshake
  double resumed_cost_ms = 0.3;    ///< of a resumed handshake
  double processor_share = 0.4;    ///< of a converter's processor, for the handshakes of all routers together
  double start_capacity = 0.3;     ///< share of its capacity that a converter has at its start
  double cold_time_ms = 10000;     ///< time from its start until a converter is warm
  std::uint32_t max_in_flight_per_converter = 2;  ///< handshakes of this router with one converter
  std::uint32_t max_in_flight = 16;               ///< handshakes of this router with all converters
  std::uint32_t connections_per_converter = 4;    ///< once the converter is warm; 1 at its start
  double slow_handshake_ms = 200;  ///< a handshake that takes longer indicates an overloaded converter
  /// The delay after a first failure is random, up to this or to the time that all routers need for one full
  /// handshake each, whichever is longer. The range doubles with each further failure.
  double initial_backoff_ms = 100;
  double max_backoff_ms = 30000;  ///< maximum delay after any number of failures
  /// Full handshakes are expected after this many sessions were declined in a row.
  std::uint32_t max_declined_in_a_row = 3;
  /// Resumed handshakes are expected again after this many in a row.
  std::uint32_t min_resumed_in_a_row = 2;
};

enum class Kind { full, resumed };
/// How a handshake ended.
enum class Outcome { established, refused, reset, timed_out, not_verified };

/// The answer to a request for a handshake.
struct Decision {
  bool admitted = false;
  Kind kind = Kind::full;  ///< the expected kind
  double retry_at_ms = 0;  ///< earliest time of the next request; only when not admitted
  /// Not admitted, and not before the given deadline either: the requests that wait for it fail at once.
  bool past_deadline = false;
};

/// Limits the handshakes of this router with each converter to its part of the processor share. It assumes
/// that all routers have the same settings. Times are in ms of the caller's clock.
class Admission {
 public:
  Admission(const Settings& settings, std::uint64_t seed);

  /// Adds a converter or updates it. `started_ms`: when its process started, if that is known and recent.
  /// `max_connections`: for this converter, if it differs from the settings.
  void update_converter(ExchangeId converter, double now_ms, std::optional<double> started_ms,
                        std::optional<std::uint32_t> max_connections = std::nullopt);
  /// Removes a converter with all of its state.
  void remove_converter(ExchangeId converter);

  /// Asks whether a connection may be opened now. When admitted, handshake_finished() must follow.
  [[nodiscard]] Decision request_handshake(ExchangeId converter, double now_ms, bool has_session,
                                           double deadline_ms);
  /// `admitted`: the kind that request_handshake() expected. `resumed`: whether an established connection
  /// did resume a session.
  void handshake_finished(ExchangeId converter, double now_ms, Kind admitted, Outcome outcome, bool resumed,
                          double elapsed_ms);
  /// An established connection has ended. `reset`: abnormally, so its process may have died.
  void connection_closed(ExchangeId converter, double now_ms, bool reset);

  /// Connections that may be open to a converter now; 0 for one that is not listed.
  [[nodiscard]] std::uint32_t allowed_connections(ExchangeId converter, double now_ms) const;

  /// Totals since the start: handshakes established as full and as resumed, sessions declined, handshakes
  /// failed, and requests not admitted.
  struct Counts {
    std::uint64_t full = 0, resumed = 0, declined = 0, failed = 0, deferred = 0;
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }
  [[nodiscard]] std::size_t converter_count() const { return converters_.size(); }

 private:
  struct Converter {
    std::optional<double> started_ms;
    double tokens_ms = 0;  ///< its processor time that this router may use for handshakes; may be negative
    double refilled_at_ms = 0;
    double not_before_ms = 0;  ///< end of the backoff or of the random delay after its restart
    double rate_factor = 1;    ///< reduces the refill rate when handshakes are slow or fail
    double full_cost_ms = 0;
    std::uint32_t failures_in_a_row = 0;
    std::uint32_t max_connections = 1;  ///< once it is warm
    std::uint32_t in_flight = 0, open_connections = 0;
    std::uint32_t declined_in_a_row = 0, resumed_in_a_row = 0;
    bool expect_full = false;
  };
  [[nodiscard]] double warm_fraction(const Converter& converter, double now_ms) const;
  [[nodiscard]] double refill_rate(const Converter& converter, double now_ms) const;
  [[nodiscard]] double all_routers_time_ms(const Converter& converter, double now_ms, double cost_ms) const;
  [[nodiscard]] double handshake_cost_ms(const Converter& converter, Kind kind) const;
  void refill(Converter& converter, double now_ms);
  void delay_randomly(Converter& converter, double now_ms);
  double random_fraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  Settings settings_;
  std::mt19937_64 random_;
  std::map<ExchangeId, Converter> converters_;
  std::uint32_t in_flight_ = 0;  ///< with all converters
  Counts counts_;
};

}  // namespace heathturn::handshakes
