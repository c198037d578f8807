#include "handshakes/admission.hpp"

#include <algorithm>
#include <cmath>

namespace heathturn::handshakes {
namespace {

constexpr double ease_cut = 0.5;
constexpr double ease_step = 0.1;
constexpr double ease_least = 0.05;
constexpr std::uint32_t most_doublings = 10;

}  // namespace

Admission::Admission(const Settings& settings, std::uint64_t seed) : settings_(settings), random_(seed) {}

/// 0 at its start, 1 once it is warm or when it started long ago.
double Admission::warmth(const Converter& converter, double now) const {
  if (!converter.started || settings_.cold_time_ms <= 0) return 1;
  return std::clamp((now - *converter.started) / settings_.cold_time_ms, 0.0, 1.0);
}

double Admission::cost_of(const Converter& converter, Kind kind) const {
  return kind == Kind::full ? converter.full_cost : settings_.resumed_cost_ms;
}

/// ms of its processor for each ms that passes: this router's part of the share, less while it is cold.
double Admission::rate(const Converter& converter, double now) const {
  const double capacity = settings_.start_capacity + (1 - settings_.start_capacity) * warmth(converter, now);
  return settings_.processor_share * capacity * converter.ease / settings_.router_count;
}

/// The time in which one handshake of each router fits into the share of them all.
double Admission::all_routers_ms(const Converter& converter, double now, double cost) const {
  return cost / rate(converter, now);
}

/// What is saved up is worth one full handshake at most: a burst would come from all routers alike.
void Admission::refill(Converter& converter, double now) {
  const double passed = std::max(0.0, now - converter.filled_at);
  converter.filled_at = std::max(converter.filled_at, now);
  converter.tokens = std::min(converter.full_cost, converter.tokens + passed * rate(converter, now));
}

/// All routers see a restart at one moment: each takes a random place in the time that all of them need.
void Admission::spread_out(Converter& converter, double now) {
  const double all = all_routers_ms(converter, now, converter.full_cost);
  converter.not_before =
      std::max(converter.not_before, now + chance() * std::min(settings_.max_backoff_ms, all));
  converter.tokens = converter.full_cost;  // one at its place; the random place is what spreads them
  converter.filled_at = converter.not_before;
}

void Admission::update_converter(ExchangeId id, double now, std::optional<double> started,
                                 std::optional<std::uint32_t> connections) {
  const auto [it, fresh] = converters_.try_emplace(id);
  auto& converter = it->second;
  converter.connections = connections.value_or(settings_.connections_per_converter);
  if (!fresh && converter.started == started) return;
  if (fresh) converter.full_cost = settings_.full_cost_ms;
  converter.started = started;
  converter.failures = 0;
  converter.ease = 1;
  converter.filled_at = now;
  converter.tokens = converter.full_cost;
  if (started && warmth(converter, now) < 1) spread_out(converter, now);
}

void Admission::remove_converter(ExchangeId id) {
  const auto it = converters_.find(id);
  if (it == converters_.end()) return;
  under_way_ -= it->second.under_way;
  converters_.erase(it);
}

std::uint32_t Admission::allowed_connections(ExchangeId id, double now) const {
  const auto it = converters_.find(id);
  if (it == converters_.end()) return 0;
  const double more = warmth(it->second, now) * (it->second.connections - 1);
  return 1 + static_cast<std::uint32_t>(std::floor(more));
}

Decision Admission::request_handshake(ExchangeId id, double now, bool has_session, double deadline) {
  const auto it = converters_.find(id);
  if (it == converters_.end()) return {false, Kind::full, now, true};
  auto& converter = it->second;
  refill(converter, now);
  Decision out;
  out.kind = has_session && !converter.expect_full ? Kind::resumed : Kind::full;
  const double cost = cost_of(converter, out.kind);
  out.retry_at_ms = converter.not_before;
  if (converter.tokens < cost) {
    out.retry_at_ms = std::max(out.retry_at_ms, now + (cost - converter.tokens) / rate(converter, now));
  }
  const bool no_place = converter.under_way >= settings_.max_in_flight_per_converter ||
                        under_way_ >= settings_.max_in_flight ||
                        converter.open + converter.under_way >= allowed_connections(id, now);
  if (out.retry_at_ms <= now && !no_place) {
    out.admitted = true;
    converter.tokens -= cost;
    ++converter.under_way;
    ++under_way_;
    return out;
  }
  // A place comes with the end of another handshake, which nobody can tell the time of: soon, as a guess.
  if (no_place) out.retry_at_ms = std::max(out.retry_at_ms, now + settings_.slow_handshake_ms / 4);
  out.past_deadline = out.retry_at_ms >= deadline;
  ++counts_.deferred;
  return out;
}

void Admission::handshake_finished(ExchangeId id, double now, Kind admitted, Outcome outcome, bool resumed,
                                   double elapsed) {
  const auto it = converters_.find(id);
  if (it == converters_.end()) return;  // unlisted meanwhile, with what was under way
  auto& converter = it->second;
  if (converter.under_way == 0) return;
  --converter.under_way;
  --under_way_;
  refill(converter, now);
  const bool may_be_full = outcome == Outcome::established ? !resumed : outcome != Outcome::refused;
  // It may have cost more than was taken for it: the rest is owed, and paid before the next one.
  if (admitted == Kind::resumed && may_be_full)
    converter.tokens -= converter.full_cost - settings_.resumed_cost_ms;
  if (outcome == Outcome::established) {
    ++converter.open;
    converter.failures = 0;
    ++(resumed ? counts_.resumed : counts_.full);
    if (resumed) {
      converter.declined = 0;
      if (++converter.resumed >= settings_.min_resumed_in_a_row) converter.expect_full = false;
    } else if (admitted == Kind::resumed) {
      ++counts_.declined;
      converter.resumed = 0;
      if (++converter.declined >= settings_.max_declined_in_a_row) converter.expect_full = true;
    }
    if (elapsed > settings_.slow_handshake_ms) {
      converter.ease = std::max(ease_least, converter.ease * ease_cut);
    } else {
      converter.ease = std::min(1.0, converter.ease + ease_step);
    }
    return;
  }
  ++counts_.failed;
  ++converter.failures;
  // What cannot be verified is no sign of pressure, but asking again soon would help nobody either.
  if (outcome != Outcome::not_verified) converter.ease = std::max(ease_least, converter.ease * ease_cut);
  const double first =
      std::max(settings_.initial_backoff_ms, all_routers_ms(converter, now, converter.full_cost));
  const double widest =
      std::min(settings_.max_backoff_ms,
               std::ldexp(first, static_cast<int>(std::min(converter.failures - 1, most_doublings))));
  converter.not_before = now + chance() * widest;
}

void Admission::connection_closed(ExchangeId id, double now, bool reset) {
  const auto it = converters_.find(id);
  if (it == converters_.end()) return;
  auto& converter = it->second;
  if (converter.open > 0) --converter.open;
  // The last one was reset: the process has died, and every router knows it by now.
  if (reset && converter.open == 0) {
    converter.started = now;
    spread_out(converter, now);
  }
}

}  // namespace heathturn::handshakes
