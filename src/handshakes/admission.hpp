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
  std::uint32_t routers = 1;       ///< that share the converters, this one included
  double full_cost = 2;            ///< of a full handshake, until measured
  double resumed_cost = 0.3;       ///< of a resumed one
  double share = 0.4;              ///< of a converter's processor that the handshakes of all routers may take
  double start_capacity = 0.3;     ///< share of its capacity that a converter has at its start
  double cold_time = 10000;        ///< it is warm within this time
  std::uint32_t most_at_one = 2;   ///< handshakes of this router under way with one converter
  std::uint32_t most_in_all = 16;  ///< under way with all of them
  std::uint32_t connections = 4;   ///< to one converter, once it is warm; one at first
  double slow = 200;               ///< a handshake that takes longer tells of pressure
  double backoff_first = 100;      ///< after a first failure, at most
  double backoff_most = 30000;     ///< after any, at most
  std::uint32_t declined_most = 3;  ///< sessions declined in a row, after which full ones are expected
  std::uint32_t resumed_least = 2;  ///< resumed in a row, after which resumed ones are expected again
};

enum class Kind { full, resumed };
enum class Ending { established, refused, reset, timed_out, not_verified };

struct Verdict {
  bool admitted = false;
  Kind kind = Kind::full;  ///< what is expected
  double ask_again = 0;    ///< not before then; only when not admitted
  /// Not admitted, and never before the deadline that was given: what waits for it is given up at once.
  bool too_late = false;
};

class Admission {
 public:
  Admission(const Settings& settings, std::uint64_t seed);

  /// A converter is listed; `started`: when its process began, where that is known to be lately.
  /// `connections`: to this one, where it differs from the settings.
  void listed(ExchangeId converter, double now, std::optional<double> started,
              std::optional<std::uint32_t> connections = std::nullopt);
  /// It is listed no more. Nothing is kept of it.
  void unlisted(ExchangeId converter);

  /// May a connection be opened now? When admitted, finished() must follow.
  [[nodiscard]] Verdict ask(ExchangeId converter, double now, bool has_session, double deadline);
  /// `admitted`: as ask() expected it. `resumed`: what it came to be, when established.
  void finished(ExchangeId converter, double now, Kind admitted, Ending ending, bool resumed, double elapsed);
  /// An established connection has ended; `reset`: not in good order, the process may have died with it.
  void closed(ExchangeId converter, double now, bool reset);

  /// Connections that may be open to it now.
  [[nodiscard]] std::uint32_t connections_wanted(ExchangeId converter, double now) const;

  struct Counts {
    std::uint64_t full = 0, resumed = 0, declined = 0, failed = 0, held_back = 0;
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }
  [[nodiscard]] std::size_t known() const { return converters_.size(); }

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
