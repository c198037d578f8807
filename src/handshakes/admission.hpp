// When a connection to a converter may be opened, and whether it is expected to be resumed: an admission of
// handshakes. A full handshake costs a converter processor time just when it is cold, and after its restart
// all routers come back at once without a word between them. Does no I/O and reads no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>

#include "core/router.hpp"

namespace heathturn::handshakes {

/// Times in ms. Costs are processor time at the converter when it is warm.
struct Settings {
  std::uint32_t router_count = 1;  ///< that share the converters, this one included
  double full_cost_ms = 2;         ///< of a full handshake, until measured
  double resumed_cost_ms = 0.3;    ///< of a resumed one
  double processor_share = 0.4;    ///< of a converter's processor that the handshakes of all routers may take
  double start_capacity = 0.3;     ///< share of its capacity that a converter has at its start
  double cold_time_ms = 10000;     ///< it is warm within this time
  std::uint32_t max_in_flight_per_converter = 2;  ///< handshakes of this router under way with one converter
  std::uint32_t max_in_flight = 16;               ///< under way with all of them
  std::uint32_t connections_per_converter = 4;    ///< to one converter, once it is warm; one at first
  double slow_handshake_ms = 200;                 ///< a handshake that takes longer tells of pressure
  double initial_backoff_ms = 100;                ///< after a first failure, at most
  double max_backoff_ms = 30000;                  ///< after any, at most
  std::uint32_t max_declined_in_a_row =
      3;                                   ///< sessions declined in a row, after which full ones are expected
  std::uint32_t min_resumed_in_a_row = 2;  ///< resumed in a row, after which resumed ones are expected again
};

enum class Kind { full, resumed };
enum class Outcome { established, refused, reset, timed_out, not_verified };

struct Decision {
  bool admitted = false;
  Kind kind = Kind::full;  ///< what is expected
  double retry_at_ms = 0;  ///< not before then; only when not admitted
  /// Not admitted, and never before the deadline that was given: what waits for it is given up at once.
  bool past_deadline = false;
};

class Admission {
 public:
  Admission(const Settings& settings, std::uint64_t seed);

  /// A converter is listed; `started`: when its process began, where that is known to be lately.
  /// `connections`: to this one, where it differs from the settings.
  void update_converter(ExchangeId converter, double now, std::optional<double> started,
                        std::optional<std::uint32_t> connections = std::nullopt);
  /// It is listed no more. Nothing is kept of it.
  void remove_converter(ExchangeId converter);

  /// May a connection be opened now? When admitted, handshake_finished() must follow.
  [[nodiscard]] Decision request_handshake(ExchangeId converter, double now, bool has_session,
                                           double deadline);
  /// `admitted`: as request_handshake() expected it. `resumed`: what it came to be, when established.
  void handshake_finished(ExchangeId converter, double now, Kind admitted, Outcome outcome, bool resumed,
                          double elapsed);
  /// An established connection has ended; `reset`: not in good order, the process may have died with it.
  void connection_closed(ExchangeId converter, double now, bool reset);

  /// Connections that may be open to it now.
  [[nodiscard]] std::uint32_t allowed_connections(ExchangeId converter, double now) const;

  struct Counts {
    std::uint64_t full = 0, resumed = 0, declined = 0, failed = 0, deferred = 0;
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }
  [[nodiscard]] std::size_t converter_count() const { return converters_.size(); }

 private:
  struct Converter {
    std::optional<double> started;
    double tokens = 0;  ///< ms of its processor that this router may use for handshakes; may be owed
    double filled_at = 0;
    double not_before = 0;  ///< backoff, and the spread of the first ones
    double ease = 1;        ///< of the budget: cut when handshakes are slow or fail, back step by step
    double full_cost = 0;   ///< as measured on handshakes that met no pressure, or as set
    std::uint32_t failures = 0;
    std::uint32_t connections = 1;  ///< once it is warm
    std::uint32_t under_way = 0, open = 0;
    std::uint32_t declined = 0, resumed = 0;  ///< in a row
    bool expect_full = false;
  };
  [[nodiscard]] double warmth(const Converter& converter, double now) const;
  [[nodiscard]] double rate(const Converter& converter, double now) const;
  [[nodiscard]] double all_routers_ms(const Converter& converter, double now, double cost) const;
  [[nodiscard]] double cost_of(const Converter& converter, Kind kind) const;
  void refill(Converter& converter, double now);
  void spread_out(Converter& converter, double now);
  double chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  Settings settings_;
  std::mt19937_64 random_;
  std::map<ExchangeId, Converter> converters_;
  std::uint32_t under_way_ = 0;
  Counts counts_;
};

}  // namespace heathturn::handshakes
