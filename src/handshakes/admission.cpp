#include "handshakes/admission.hpp"

#include <algorithm>
#include <cmath>

namespace heathturn::handshakes {
namespace {

// Additive increase and multiplicative decrease of Converter::rate_factor.
constexpr double rate_factor_decrease = 0.5;   // multiplier after a slow or failed handshake
constexpr double rate_factor_increment = 0.1;  // added after a handshake that was not slow
constexpr double min_rate_factor = 0.05;
constexpr std::uint32_t max_backoff_doublings = 10;

}  // namespace

Admission::Admission(const Settings& settings, std::uint64_t seed) : settings_(settings), random_(seed) {}

/// 0 at the converter's start, 1 once it is warm or when it is not known to have started recently.
double Admission::warm_fraction(const Converter& converter, double now_ms) const {
  if (!converter.started_ms || settings_.cold_time_ms <= 0) return 1;
  return std::clamp((now_ms - *converter.started_ms) / settings_.cold_time_ms, 0.0, 1.0);
}

double Admission::handshake_cost_ms(const Converter& converter, Kind kind) const {
  return kind == Kind::full ? converter.full_cost_ms : settings_.resumed_cost_ms;
}

/// Processor time (ms) that this router may use per ms: its part of the processor share, less while the
/// converter is cold and after slow or failed handshakes.
double Admission::refill_rate(const Converter& converter, double now_ms) const {
  const double capacity =
      settings_.start_capacity + (1 - settings_.start_capacity) * warm_fraction(converter, now_ms);
  return settings_.processor_share * capacity * converter.rate_factor / settings_.router_count;
}

/// The time that all routers together need for one handshake each within the processor share.
double Admission::all_routers_time_ms(const Converter& converter, double now_ms, double cost_ms) const {
  return cost_ms / refill_rate(converter, now_ms);
}

/// Saved tokens are limited to one full handshake, because all routers would use a larger burst at the same
/// time.
void Admission::refill(Converter& converter, double now_ms) {
  const double passed = std::max(0.0, now_ms - converter.refilled_at_ms);
  converter.refilled_at_ms = std::max(converter.refilled_at_ms, now_ms);
  converter.tokens_ms =
      std::min(converter.full_cost_ms, converter.tokens_ms + passed * refill_rate(converter, now_ms));
}

/// All routers notice a restart at the same time: each waits for a random part of the time that all of them
/// need.
void Admission::delay_randomly(Converter& converter, double now_ms) {
  const double all_ms = all_routers_time_ms(converter, now_ms, converter.full_cost_ms);
  converter.not_before_ms = std::max(converter.not_before_ms,
                                     now_ms + random_fraction() * std::min(settings_.max_backoff_ms, all_ms));
  // Enough for one handshake at that time; the random delay alone spreads the routers.
  converter.tokens_ms = converter.full_cost_ms;
  converter.refilled_at_ms = converter.not_before_ms;
}

void Admission::update_converter(ExchangeId id, double now_ms, std::optional<double> started_ms,
                                 std::optional<std::uint32_t> max_connections) {
  const auto [it, is_new] = converters_.try_emplace(id);
  auto& converter = it->second;
  converter.max_connections = max_connections.value_or(settings_.connections_per_converter);
  if (!is_new && converter.started_ms == started_ms) return;
  if (is_new) converter.full_cost_ms = settings_.full_cost_ms;
  converter.started_ms = started_ms;
  converter.failures_in_a_row = 0;
  converter.rate_factor = 1;
  converter.refilled_at_ms = now_ms;
  converter.tokens_ms = converter.full_cost_ms;
  if (started_ms && warm_fraction(converter, now_ms) < 1) delay_randomly(converter, now_ms);
}

void Admission::remove_converter(ExchangeId id) {
  const auto it = converters_.find(id);
  if (it == converters_.end()) return;
  in_flight_ -= it->second.in_flight;
  converters_.erase(it);
}

std::uint32_t Admission::allowed_connections(ExchangeId id, double now_ms) const {
  const auto it = converters_.find(id);
  if (it == converters_.end()) return 0;
  const double additional = warm_fraction(it->second, now_ms) * (it->second.max_connections - 1);
  return 1 + static_cast<std::uint32_t>(std::floor(additional));
}

Decision Admission::request_handshake(ExchangeId id, double now_ms, bool has_session, double deadline_ms) {
  const auto it = converters_.find(id);
  if (it == converters_.end()) return {false, Kind::full, now_ms, true};
  auto& converter = it->second;
  refill(converter, now_ms);
  Decision decision;
  decision.kind = has_session && !converter.expect_full ? Kind::resumed : Kind::full;
  const double cost_ms = handshake_cost_ms(converter, decision.kind);
  decision.retry_at_ms = converter.not_before_ms;
  if (converter.tokens_ms < cost_ms) {
    decision.retry_at_ms = std::max(
        decision.retry_at_ms, now_ms + (cost_ms - converter.tokens_ms) / refill_rate(converter, now_ms));
  }
  const bool at_limit = converter.in_flight >= settings_.max_in_flight_per_converter ||
                        in_flight_ >= settings_.max_in_flight ||
                        converter.open_connections + converter.in_flight >= allowed_connections(id, now_ms);
  if (decision.retry_at_ms <= now_ms && !at_limit) {
    decision.admitted = true;
    converter.tokens_ms -= cost_ms;
    ++converter.in_flight;
    ++in_flight_;
    return decision;
  }
  // The end of another handshake is needed first; when that will be is unknown, so the caller retries soon.
  if (at_limit)
    decision.retry_at_ms = std::max(decision.retry_at_ms, now_ms + settings_.slow_handshake_ms / 4);
  decision.past_deadline = decision.retry_at_ms >= deadline_ms;
  ++counts_.deferred;
  return decision;
}

void Admission::handshake_finished(ExchangeId id, double now_ms, Kind admitted, Outcome outcome, bool resumed,
                                   double elapsed_ms) {
  const auto it = converters_.find(id);
  if (it == converters_.end()) return;  // removed meanwhile, with its handshakes in flight
  auto& converter = it->second;
  if (converter.in_flight == 0) return;
  --converter.in_flight;
  --in_flight_;
  refill(converter, now_ms);
  const bool may_be_full = outcome == Outcome::established ? !resumed : outcome != Outcome::refused;
  // It may have cost more than the tokens taken for it. The difference is taken now, and may leave the
  // balance negative.
  if (admitted == Kind::resumed && may_be_full)
    converter.tokens_ms -= converter.full_cost_ms - settings_.resumed_cost_ms;
  if (outcome == Outcome::established) {
    ++converter.open_connections;
    converter.failures_in_a_row = 0;
    ++(resumed ? counts_.resumed : counts_.full);
    if (resumed) {
      converter.declined_in_a_row = 0;
      if (++converter.resumed_in_a_row >= settings_.min_resumed_in_a_row) converter.expect_full = false;
    } else if (admitted == Kind::resumed) {
      ++counts_.declined;
      converter.resumed_in_a_row = 0;
      if (++converter.declined_in_a_row >= settings_.max_declined_in_a_row) converter.expect_full = true;
    }
    if (elapsed_ms > settings_.slow_handshake_ms) {
      converter.rate_factor = std::max(min_rate_factor, converter.rate_factor * rate_factor_decrease);
    } else {
      converter.rate_factor = std::min(1.0, converter.rate_factor + rate_factor_increment);
    }
    return;
  }
  ++counts_.failed;
  ++converter.failures_in_a_row;
  // A failed verification does not indicate overload, so the rate stays. The backoff applies all the same,
  // since an early retry would fail again.
  if (outcome != Outcome::not_verified)
    converter.rate_factor = std::max(min_rate_factor, converter.rate_factor * rate_factor_decrease);
  const double first_ms =
      std::max(settings_.initial_backoff_ms, all_routers_time_ms(converter, now_ms, converter.full_cost_ms));
  const double widest_ms = std::min(
      settings_.max_backoff_ms,
      std::ldexp(first_ms,
                 static_cast<int>(std::min(converter.failures_in_a_row - 1, max_backoff_doublings))));
  converter.not_before_ms = now_ms + random_fraction() * widest_ms;
}

void Admission::connection_closed(ExchangeId id, double now_ms, bool reset) {
  const auto it = converters_.find(id);
  if (it == converters_.end()) return;
  auto& converter = it->second;
  if (converter.open_connections > 0) --converter.open_connections;
  // The last connection was reset: the process is taken to have died, and all routers to have noticed it.
  if (reset && converter.open_connections == 0) {
    converter.started_ms = now_ms;
    delay_randomly(converter, now_ms);
  }
}

}  // namespace heathturn::handshakes
