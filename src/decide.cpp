// The decision module: which calls are set up, over which route, and which are refused.
// Its interface (settings, events, actions) is include/maddershed/call_controller.hpp; read that first.
// The algorithm, and where it departs from the paper that it follows, is explained in docs/design.md.
#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <stdexcept>
#include <tuple>

#include "maddershed/call_controller.hpp"

namespace maddershed {
namespace {

// ---- Constants --------------------------------------------------------------------------------------
// The overload control follows the ARO paper and keeps its symbols:
//   f      share of the offered calls that is admitted towards a far processor, f_min to 1
//   rho    load of a far processor as seen from here; 1 is fully busy
//   alpha  set-ups per second that this controller sends to a far processor
// rho_thresh and alpha_thresh are the values of rho and alpha that the control steers towards.
// The target delay is the set-up delay at which a processor counts as fully loaded.
// Constants named `..._smoothing` are the weight of the newest value in an exponentially weighted average.
using namespace std::chrono_literals;
constexpr Duration tick_interval = 50ms;         // between two rounds of trying the held calls
constexpr Duration assessment_interval = 100ms;  // between two assessments of f
constexpr int rho_samples_averaged = 3;          // k in the paper
constexpr double rho_thresh = 0.95;
constexpr double f_min = 0.005;
constexpr double rate_ratio_min_rho = 0.8;   // the rate ratio applies only if the latest report is above this
constexpr Duration alpha_window = 2s;        // alpha is counted over this time
constexpr double min_set_ups_for_alpha = 8;  // in the window, for the rate ratio to apply
constexpr Duration alpha_thresh_interval = 5s;  // between two updates of alpha_thresh
constexpr double alpha_thresh_smoothing = 0.2;
constexpr double max_f_growth_factor = 1.15;  // per assessment
constexpr double min_f_cut_factor = 0.7;      // per assessment
// A sample of rho is valid for this long, or for the usual gap between own calls if that is longer, up to the
// maximum.
constexpr Duration min_sample_lifetime = 1s;
constexpr Duration max_sample_lifetime = 5s;
constexpr double max_assessments_per_sample = 4;      // that one sample counts for after a gap
constexpr double slow_growth_gap_seconds = 0.12;      // between own calls; above this f grows more slowly
constexpr double min_growth_calls_per_second = 0.4;   // own calls; lower rates slow the growth no more
constexpr double messages_per_call = 4;               // at a processor: look-up, set-up, answer, release
constexpr double delay_smoothing = 0.3;               // of the measured set-up delay
constexpr double target_delay_objective_share = 0.4;  // target delay as a share of the shortest objective
constexpr double full_processor_rho = 1.3;            // sample for a processor that refused a set-up as full
constexpr double min_window_set_ups = 1;              // unanswered set-ups always allowed to one processor
// Unanswered set-ups always allowed to all far processors together. They are limited together because all of
// them wait for the own processor as well.
constexpr double min_own_window_set_ups = 4;
constexpr double window_factor = 1.1;  // window in units of the set-ups answered within the target delay
// Overdue set-ups in a row that count as overload of one processor while the others answer promptly.
constexpr int min_overdue_in_row = 2;
constexpr double rare_calls_per_target_delay = 0.5;  // own calls; below this a window limits nothing
constexpr Duration rate_time_constant = 8s;          // of the exponentially decaying call rates
constexpr double min_rate_span_seconds = 1;          // a rate measured over less means nothing
// Circuits of a group that overflow calls must leave free for direct calls (trunk reservation).
constexpr double min_reserve_share = 0.03;         // of the group
constexpr double reserve_per_blocked_share = 0.5;  // added in proportion to the share of direct calls blocked
constexpr double max_reserve_share = 0.3;          // of the group
constexpr double blocking_smoothing = 0.05;        // of the share of direct calls blocked
constexpr double throttled_below_f = 0.9;          // an exchange below this is not used as tandem
// A tandem that refused a call to a number is not used for that number for a while, twice as long after each
// refusal in a row: it may have no group to it at all.
constexpr Duration min_tandem_pause = 1s;
constexpr Duration max_tandem_pause = 32s;
constexpr double tandem_success_smoothing = 0.1;  // of a tandem's share of successful calls
constexpr std::uint32_t max_tandem_attempts = 2;  // for one call whose direct group exists
// Errors of one call that lead to another attempt. After one more, the call itself is taken to be the cause,
// and it fails.
constexpr std::uint32_t max_errors_retried = 1;
// An unanswered set-up is stuck after this many target delays, or after 1 where answers are prompt.
constexpr double stuck_after_target_delays = 3;
constexpr double prompt_target_delays = 0.5;        // target delays; answers with a lower mean are prompt
constexpr double give_up_after_objectives = 1.5;    // objectives of its class until a set-up is abandoned
constexpr double retry_target_delays = 1;           // target delays that another attempt would need
constexpr double late_window_share = 0.5;           // of the windows, for late calls
constexpr double throttled_window_share = 0.5;      // of the windows, for calls to throttled processors
constexpr double late_hold_objective_share = 0.8;   // a late call is held for this share of its objective
constexpr double late_after_objective_share = 0.7;  // since the first try; calls sent after this are late
constexpr Duration own_processor_pause = 250ms;     // after the own processor refused a set-up as full
// For a far processor that was full or not reached; doubled each time.
constexpr Duration min_processor_pause = 250ms;
constexpr Duration max_processor_pause = 2s;
// After a failed subscription to the directory; doubled each time.
constexpr Duration min_subscribe_backoff = 1s;
constexpr Duration max_subscribe_backoff = 8s;
constexpr Duration stall_threshold = 250ms;          // without any event: five ticks were missed
constexpr std::size_t max_unserved_numbers = 16384;  // remembered to recognise redials
constexpr Duration min_log_interval = 5s;            // between log lines about one exchange

constexpr std::uint64_t tick_token = 0;
constexpr std::uint64_t subscribe_token = 1;
constexpr std::uint64_t call_token_base = 16;

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
Duration scaled(Duration d, double by) { return Duration{std::llround(static_cast<double>(d.count()) * by)}; }

/// The figure, if it is present, finite, not negative and not absurdly large.
std::optional<double> valid_figure(const std::optional<double>& figure) {
  if (!figure || !std::isfinite(*figure) || *figure < 0 || *figure > 1e7) return std::nullopt;
  return figure;
}

/// Events per second, averaged with exponential decay over about `rate_time_constant`, or over the time since
/// `begin` if that is shorter: otherwise windows and budgets would start at a fraction of their usual size
/// and reach it only after the time constant.
struct DecayingRate {
  Time begin{};
  double decayed_count = 0;  // as of `last_event`
  Time last_event{};
  [[nodiscard]] double count_at(Time now) const {
    return decayed_count * std::exp(-seconds(now - last_event) / seconds(rate_time_constant));
  }
  [[nodiscard]] double per_second(Time now) const {
    const double span = std::max(min_rate_span_seconds, seconds(now - begin)) / seconds(rate_time_constant);
    return count_at(now) / seconds(rate_time_constant) / (1 - std::exp(-span));
  }
  void record(Time now) {
    decayed_count = count_at(now) + 1;
    last_event = now;
  }
};

// ---- Far-processor health ---------------------------------------------------------------------------

/// What is known of one far exchange: its processor, and the group of circuits towards it.
struct FarExchange {
  DirectoryEntry entry;
  // Control of f
  double f = 1;
  double alpha_thresh = 0;  // set-ups per second; 0: not yet known
  Time alpha_thresh_updated_at;
  struct Sample {
    Time at;
    double rho;
  };
  std::vector<Sample> samples;    // the last k of rho
  bool latest_is_report = false;  // the latest sample comes from a report, not from a measured delay
  bool has_new_sample = false;    // a sample was added since the last assessment
  Time sample_assessed_at;        // the last assessment with a new sample
  double usual_rate = 0;          // own calls per second towards it, as of the last assessment
  int overdue_in_row = 0;         // set-ups overdue in a row
  Duration overdue_age{0};        // age of the oldest unanswered set-up when it was last taken as a sample
  std::multiset<Time> sent;       // when set-ups were sent within alpha_window, repeats included
  void add_sample(double rho, bool report, Time now) {
    if (samples.size() >= rho_samples_averaged) samples.erase(samples.begin());
    samples.push_back({now, rho});
    latest_is_report = report;
    has_new_sample = true;
  }
  // Own measurements
  double smoothed_delay_seconds = 0;  // of set-ups
  Time delay_updated_at;
  DecayingRate answer_rate;
  std::multiset<Time> unanswered;  // when the set-ups that are still unanswered were sent
  Time paused_until;               // no set-up before this, as the processor was full or not reached
  Duration next_pause = min_processor_pause;
  double cold_tokens = 0;
  Time cold_tokens_updated_at;
  // The group
  double free_circuits = 0, total_circuits = 0;
  bool group_known = false;  // until then a direct set-up is tried: without a circuit it fails at once
  double blocked_share = 0;  // of direct calls that found no circuit, smoothed
  /// How long this exchange is not used as tandem towards one number.
  struct TandemPause {
    Time until;
    Duration length{0};
  };
  std::map<ExchangeNumber, TandemPause> tandem_pauses;
  double tandem_success_share = 0.5;  // of calls that used it as tandem, smoothed
  bool logged_as_throttled = false;
  Time logged_at;

  /// Age of the oldest unanswered set-up, counted from the end of the own controller's last stall if it was
  /// sent before: during a stall answers are not missing, they are just not processed.
  [[nodiscard]] Duration oldest_age(Time now, Time resumed_at) const {
    return unanswered.empty() ? Duration{0} : now - std::max(*unanswered.begin(), resumed_at);
  }
  [[nodiscard]] double reserved_circuits(double circuits) const {
    const double share =
        std::min(max_reserve_share, min_reserve_share + reserve_per_blocked_share * blocked_share);
    return std::ceil(share * total_circuits) + circuits - 1;
  }
};

struct HealthSettings {
  double target_delay_seconds = 0.5;  // set-up delay at which a processor counts as fully loaded
  Duration resend_after{0};
};

/// Converts a load report, whichever figures it has, into a sample of rho. `rate` is the number of
/// own calls offered per second, to all exchanges. No other place interprets the figures of a report as load.
std::optional<double> rho_from_report(const LoadReport& report, double f, double target_delay_seconds,
                                      double rate) {
  std::optional<double> rho;
  const auto raise_to = [&rho](double value) { rho = std::max(rho.value_or(0), std::min(value, 2.0)); };
  if (const auto utilisation = valid_figure(report.utilisation)) raise_to(*utilisation);
  if (const auto wait_ms = valid_figure(report.queue_wait_ms))
    raise_to(rho_thresh * *wait_ms / 1000 / target_delay_seconds);
  // The requested share is absolute, not relative to the present f: this value makes f settle at 1 - share.
  if (const auto share = valid_figure(report.requested_shed_share))
    raise_to(rho_thresh * f / std::max(f_min, 1 - std::min(*share, 1.0)));
  // Little's law, assuming as many messages at the far processor as at the own one. The queue matters because
  // a hung processor reports a low utilisation.
  if (const auto queue = valid_figure(report.queued_set_ups))
    raise_to(rho_thresh * *queue / std::max(4.0, messages_per_call * rate * target_delay_seconds));
  return rho;
}

void record_delay(FarExchange& far, Duration elapsed, const HealthSettings& health, Time now) {
  far.smoothed_delay_seconds += delay_smoothing * (seconds(elapsed) - far.smoothed_delay_seconds);
  far.delay_updated_at = now;
  // A report takes precedence, since the measured delay includes the wait at the own processor.
  if (!far.latest_is_report || far.samples.empty()) {
    far.add_sample(rho_thresh * std::min(2.0, seconds(elapsed) / health.target_delay_seconds), false, now);
  }
  // Repeats of a set-up that waited are load as well: without them alpha_thresh would fall when many set-ups
  // are repeated.
  if (health.resend_after > Duration{0}) {
    const double repeats = std::floor(std::log2(seconds(elapsed) / seconds(health.resend_after) + 1));
    for (int i = 0; i < static_cast<int>(std::min(repeats, 8.0)); ++i) far.sent.insert(now);
  }
}

/// The present set-up delay: the recently measured one, or the age of the oldest unanswered set-up.
double current_delay_seconds(const FarExchange& far, Time now, Time resumed_at) {
  const double measured = now - far.delay_updated_at < min_sample_lifetime ? far.smoothed_delay_seconds : 0;
  return std::max(measured, seconds(far.oldest_age(now, resumed_at)));
}

/// Updates f. `rate` is the number of own calls per second towards the exchange. Where it is low, samples are
/// few: each is then valid for longer and counts for more, and without one f grows more slowly, because each
/// controller that tries again is one of many.
void assess(FarExchange& far, const HealthSettings& health, double rate, Time now, Time resumed_at,
            bool prompt) {
  far.usual_rate = rate;
  far.sent.erase(far.sent.begin(), far.sent.lower_bound(now - alpha_window));
  const Duration call_gap{std::llround(1e6 / std::max(rate, 0.01))};
  const Duration sample_lifetime = std::clamp(call_gap, min_sample_lifetime, max_sample_lifetime);
  // An unanswered set-up is a sample when it is overdue, and again each time its age has doubled.
  const Duration age = far.oldest_age(now, resumed_at);
  if (seconds(age) < health.target_delay_seconds) far.overdue_age = Duration{0};
  if (seconds(age) >= health.target_delay_seconds && age >= 2 * far.overdue_age) {
    if (far.overdue_age == Duration{0}) ++far.overdue_in_row;
    far.overdue_age = age;
    if (far.overdue_in_row >= (prompt ? min_overdue_in_row : 1))
      far.add_sample(rho_thresh * std::min(2.0, seconds(age) / health.target_delay_seconds), false, now);
  }
  std::erase_if(far.samples, [&](const auto& sample) { return now - sample.at > sample_lifetime; });
  double mean = 0;
  for (const auto& sample : far.samples) mean += sample.rho / static_cast<double>(far.samples.size());
  const bool has_valid_report = far.latest_is_report && !far.samples.empty();

  double ratio = rho_thresh / std::max(mean, 0.01);
  const double alpha = static_cast<double>(far.sent.size()) / seconds(alpha_window);
  const bool enough_set_ups = static_cast<double>(far.sent.size()) >= min_set_ups_for_alpha;
  if (enough_set_ups && has_valid_report && far.samples.back().rho > rate_ratio_min_rho &&
      far.alpha_thresh > 0) {
    ratio = std::min(ratio, far.alpha_thresh / alpha);
  }
  const double lifetimes_without_sample =
      seconds(now - far.sample_assessed_at) / seconds(max_sample_lifetime);
  double steps = std::min(1.0, slow_growth_gap_seconds * std::max(rate, min_growth_calls_per_second) *
                                   (1 + lifetimes_without_sample));
  if (far.has_new_sample) {
    steps = std::clamp(seconds(now - far.sample_assessed_at) / seconds(assessment_interval), 1.0,
                       max_assessments_per_sample);
    far.sample_assessed_at = now;
  } else {
    ratio = std::max(ratio, 1.0);  // One high sample cuts f only once.
  }
  far.has_new_sample = false;
  ratio = std::clamp(ratio, std::pow(min_f_cut_factor, steps), std::pow(max_f_growth_factor, steps));
  far.f = std::clamp(far.f * ratio, f_min, 1.0);

  if (enough_set_ups && mean > 0.1 && now - far.alpha_thresh_updated_at >= alpha_thresh_interval) {
    const double target = rho_thresh * alpha / mean;
    far.alpha_thresh += (far.alpha_thresh > 0 ? alpha_thresh_smoothing : 1) * (target - far.alpha_thresh);
    far.alpha_thresh_updated_at = now;
  }
}

// ---- Throttling by class ----------------------------------------------------------------------------

/// Calls towards one number: the rates offered, the counters of the throttle, and the calls that are held.
struct Destination {
  std::vector<DecayingRate> offered_rates;          // by kind of call, see Call::kind
  std::vector<double> throttle_counters;            // r in the paper, by kind of call
  std::set<std::tuple<double, Time, CallId>> held;  // highest worth first, then oldest first

  [[nodiscard]] double offered_per_second(Time now) const {
    double sum = 0;
    for (const auto& rate : offered_rates) sum += rate.per_second(now);
    return sum;
  }
};

/// The share of calls of `kind` to throttle so that the share 1 - f of all offered calls is, lowest worth
/// first.
double throttled_share(const Destination& destination, const std::vector<double>& worths, std::size_t kind,
                       double f, Time now) {
  const double to_throttle = (1 - f) * destination.offered_per_second(now);
  double lower_worth_rate = 0;
  for (std::size_t i = 0; i < worths.size(); ++i) {
    if (std::tuple(worths[i], i) < std::tuple(worths[kind], kind))
      lower_worth_rate += destination.offered_rates[i].per_second(now);
  }
  const double own_rate = destination.offered_rates[kind].per_second(now);
  return own_rate > 0 ? std::clamp((to_throttle - lower_worth_rate) / own_rate, 0.0, 1.0) : 0.0;
}

/// Deterministic throttle: true if the next call of `kind` may go. Over time the share `throttled` may not.
bool passes_throttle(Destination& destination, std::size_t kind, double throttled) {
  auto& counter = destination.throttle_counters[kind];
  counter += 1 - throttled;
  if (counter < 1 - 1e-9) return false;
  counter -= 1;
  return true;
}

// ---- Calls ------------------------------------------------------------------------------------------

struct Call {
  CallOffered offer;
  Time arrived, deadline, hold_until;
  Time first_arrived;    // when the caller tried for the first time
  std::size_t kind = 0;  // index of its class; for a late call, plus the number of classes
  Time not_before;       // no attempt before this: release wait, or the route's wait between attempts
  bool attempt_in_flight = false;
  bool established = false;
  bool finished = false;  // answered finally, or the caller left
  bool may_have_been_set_up = false;
  bool throttled = false;  // held until its class is no longer throttled
  bool held = false;
  std::uint32_t attempts = 0;
  std::uint32_t tandem_attempts = 0;
  std::uint32_t errors = 0;
  ExchangeId sent_to;
  std::optional<ExchangeId> beyond_tandem;  // the destination's exchange, if sent through a tandem
  std::set<ExchangeId> excluded;            // exchanges that the call must not be sent to any more
  Time sent_at;
};

/// Throws std::invalid_argument, naming the setting, if a setting is out of range.
void check_settings(const Settings& settings) {
  const auto require = [](bool valid, const char* name) {
    if (!valid) throw std::invalid_argument(std::string("setting out of range: ") + name);
  };
  require(!settings.classes.empty(), "classes");
  for (const auto& each : settings.classes) {
    require(std::isfinite(each.worth) && each.worth >= 0, "worth");
    require(each.set_up_objective > Duration{0}, "aim");
    require(each.give_up_after > Duration{0}, "give_up");
  }
  require(settings.controller_count >= 1, "controllers");
  require(settings.attempt_limit >= 1, "attempt_limit");
  require(settings.release_wait >= Duration{0}, "release_wait");
  require(settings.resend_after >= Duration{0}, "resend_after");
  require(settings.cold_time >= Duration{0}, "cold_time");
  require(settings.start_capacity > 0 && settings.start_capacity <= 1, "start_capacity");
  require(settings.overload_multiple > 0, "fall_multiple");
}

}  // namespace

class CallController::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed) : settings_(std::move(settings)), random_(seed) {
    check_settings(settings_);
    Duration shortest = settings_.classes.front().set_up_objective;
    for (const auto& each : settings_.classes) {
      shortest = std::min(shortest, each.set_up_objective);
      worths_.push_back(each.worth);
    }
    for (const auto& each : settings_.classes) worths_.push_back(each.worth * each.late_worth_share);
    double target = seconds(shortest) * target_delay_objective_share;
    if (settings_.resend_after > Duration{0}) target = std::min(target, seconds(settings_.resend_after));
    health_ = {target, settings_.resend_after};
    longest_time_left_.resize(settings_.classes.size());
  }

  void handle(Time now, const Event& event, std::vector<Action>& actions) {
    if (now - now_ > stall_threshold) resumed_at_ = now;
    now_ = now;
    actions_ = &actions;
    std::visit([this](const auto& e) { on(e); }, event);
    actions_ = nullptr;
  }

 private:
  void emit(Action action) { actions_->push_back(std::move(action)); }

  // ---- Circuit groups, budgets of processors ----------------------------------------------------------

  FarExchange* find_exchange(ExchangeId id) {
    const auto it = far_exchanges_.find(id);
    return it == far_exchanges_.end() ? nullptr : &it->second;
  }
  /// The machine in service under a number: ready, and the one started last if there are several.
  FarExchange* serving_exchange(ExchangeNumber number) {
    FarExchange* best = nullptr;
    for (auto& [id, far] : far_exchanges_) {
      if (far.entry.number != number || far.entry.state != ExchangeState::ready) continue;
      if (best == nullptr || far.entry.started_at.value_or(Time{}) > best->entry.started_at.value_or(Time{}))
        best = &far;
    }
    return best;
  }
  /// The state kept for a number; created at its first use.
  Destination& destination_state(ExchangeNumber number) {
    auto& destination = destinations_[number];
    destination.offered_rates.resize(worths_.size(), DecayingRate{.begin = started_at_});
    destination.throttle_counters.resize(worths_.size());
    return destination;
  }

  [[nodiscard]] bool is_cold(const FarExchange& far) const {
    return far.entry.started_at && now_ - *far.entry.started_at < settings_.cold_time;
  }
  /// A random number from 0 to below 1.
  double random_unit() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
  /// Calls per second towards a number, but at least half of the mean over all numbers.
  double usual_rate(ExchangeNumber number) {
    const double mean =
        offered_rate_.per_second(now_) / std::max(1.0, static_cast<double>(destinations_.size()));
    return std::max(destination_state(number).offered_per_second(now_), mean / 2);
  }
  /// Rule: a cold processor must not be overloaded. Its budget is this controller's usual rate towards it
  /// times the share of its capacity that is guaranteed by now. Tokens accrue evenly, so that a burst cannot
  /// use up the budget early. The first fraction of a token is random, so that the first set-ups of many
  /// controllers with rare calls are spread evenly as well.
  void refill_cold_tokens(FarExchange& far) {
    const double age = seconds(now_ - *far.entry.started_at) / seconds(settings_.cold_time);
    const double capacity =
        settings_.start_capacity + (1 - settings_.start_capacity) * std::clamp(age, 0.0, 1.0);
    const double gained = usual_rate(far.entry.number) * capacity *
                          seconds(std::max(Duration{0}, now_ - far.cold_tokens_updated_at));
    far.cold_tokens = std::min(1.0, far.cold_tokens + gained);
    far.cold_tokens_updated_at = now_;
  }
  /// Whether a set-up may be sent to the exchange now. Limits the unanswered set-ups to the number that the
  /// processor answers within the target delay, which covers every way in which it may fail to answer
  /// (silence, hang, slowness, lost link). Known cost: a burst to a healthy processor may be held back.
  /// `share` is the share of the windows that the call may use.
  bool accepts_set_up(FarExchange& far, double share, bool in_transit) {
    if (far.entry.state != ExchangeState::ready || now_ < far.paused_until) return false;
    double window = std::max(min_window_set_ups, std::ceil(window_factor * far.answer_rate.per_second(now_) *
                                                           health_.target_delay_seconds));
    if (is_cold(far)) {
      refill_cold_tokens(far);
      if (far.cold_tokens < 1) return false;
      window = 1;
    }
    // Set-ups stuck at silent far processors tell nothing about the own one and must not fill its window.
    const double own_window =
        std::ceil(window_factor * own_answer_rate_.per_second(now_) * health_.target_delay_seconds);
    const auto stuck_age = scaled(target_delay(), answers_are_prompt() ? 1 : stuck_after_target_delays);
    const auto not_stuck =
        std::distance(all_unanswered_.lower_bound(now_ - stuck_age), all_unanswered_.end());
    // A call in transit was admitted by the exchange it comes from, and refusing it here costs as much work
    // as sending it on.
    if (!in_transit && static_cast<double>(not_stuck) >= share * std::max(min_own_window_set_ups, own_window))
      return false;
    // Where own calls are rarer than the target delay, a window limits nothing; an overdue set-up would only
    // block it.
    const bool calls_are_rare =
        answers_are_prompt() && far.usual_rate * health_.target_delay_seconds < rare_calls_per_target_delay;
    const auto oldest =
        calls_are_rare ? far.unanswered.lower_bound(now_ - stuck_age) : far.unanswered.begin();
    const auto unanswered_count = std::distance(oldest, far.unanswered.end());
    return in_transit || static_cast<double>(unanswered_count) < share * window;
  }

  [[nodiscard]] Duration target_delay() const {
    return Duration{std::llround(health_.target_delay_seconds * 1e6)};
  }
  /// Whether all far processors together answer promptly. An overdue set-up is then lost or stuck at its far
  /// processor and is no sign of a queue at the own one.
  [[nodiscard]] bool answers_are_prompt() const {
    return smoothed_delay_seconds_ < prompt_target_delays * health_.target_delay_seconds;
  }
  /// Whether the present events queued up while the own controller was stalled: their delays are due to that.
  [[nodiscard]] bool just_resumed() const { return now_ == resumed_at_; }
  /// Late calls leave part of the windows to calls that can still meet their objective.
  [[nodiscard]] double window_share(const Call& call) const {
    return call.kind < settings_.classes.size() ? 1.0 : late_window_share;
  }

  // ---- Route choice -----------------------------------------------------------------------------------

  [[nodiscard]] std::uint32_t attempt_limit(const Call& call) const {
    const auto own_limit = call.offer.attempt_limit;
    return own_limit == 0 ? settings_.attempt_limit : std::min(own_limit, settings_.attempt_limit);
  }
  /// Whether the call's route, or else the skilled pools of its class, allow this number.
  [[nodiscard]] bool is_allowed(const Call& call, ExchangeNumber number) const {
    if (call.offer.routed) {
      const auto& alternates = call.offer.alternates;
      return number == call.offer.destination ||
             std::find(alternates.begin(), alternates.end(), number) != alternates.end();
    }
    const auto& pools = settings_.classes[call.offer.traffic_class].skilled_pools;
    return !settings_.uses_pools || pools.empty() ||
           std::find(pools.begin(), pools.end(), number) != pools.end();
  }
  bool tandem_has_room(FarExchange& far, const Call& call) {
    if (far.entry.number == settings_.home_exchange || far.entry.number == call.offer.destination)
      return false;
    if (call.excluded.contains(far.entry.exchange)) return false;
    if (!is_allowed(call, far.entry.number) || is_cold(far) || far.f < throttled_below_f) return false;
    if (far.free_circuits < call.offer.circuits + far.reserved_circuits(call.offer.circuits)) return false;
    if (current_delay_seconds(far, now_, resumed_at_) > health_.target_delay_seconds) return false;
    const auto tandem_pause = far.tandem_pauses.find(call.offer.destination);
    if (tandem_pause != far.tandem_pauses.end() && now_ < tandem_pause->second.until) return false;
    return accepts_set_up(far, window_share(call), call.offer.in_transit);
  }
  /// Chooses a tandem with room at random, weighted by its free circuits and by its share of successful
  /// calls: an exchange behind a small group often has no group to the destination either. A call with its
  /// own route gets the first alternate with room.
  FarExchange* choose_tandem(const Call& call) {
    FarExchange* chosen = nullptr;
    double total_weight = 0;
    if (call.offer.routed) {  // The operator has set the order of the route.
      for (const auto number : call.offer.alternates) {
        FarExchange* far = serving_exchange(number);
        if (far != nullptr && tandem_has_room(*far, call)) return far;
      }
      return nullptr;
    }
    for (auto& [id, far] : far_exchanges_) {
      if (!tandem_has_room(far, call)) continue;
      if (settings_.tandem_advice && far.entry.number == call.offer.tandem) return &far;
      const double weight = far.tandem_success_share * far.tandem_success_share *
                            (1 + far.free_circuits - far.reserved_circuits(call.offer.circuits));
      total_weight += weight;
      if (random_unit() * total_weight < weight) chosen = &far;
    }
    return chosen;
  }
  /// Records whether a tandem could set up a call to `number`.
  void record_tandem_result(FarExchange& tandem, ExchangeNumber number, bool succeeded) {
    tandem.tandem_success_share +=
        tandem_success_smoothing * ((succeeded ? 1 : 0) - tandem.tandem_success_share);
    if (succeeded) {
      tandem.tandem_pauses.erase(number);
      return;
    }
    auto& tandem_pause = tandem.tandem_pauses[number];
    tandem_pause.length = std::clamp(2 * tandem_pause.length, min_tandem_pause, max_tandem_pause);
    tandem_pause.until = now_ + tandem_pause.length;
  }
  /// Sends the call over the direct route, or else through a tandem. False if there is no way at present.
  bool place(Call& call) {
    FarExchange* direct = serving_exchange(call.offer.destination);
    // On a route the next alternate in order replaces a first choice that is no longer in service.
    for (std::size_t i = 0; direct == nullptr && i < call.offer.alternates.size(); ++i)
      direct = serving_exchange(call.offer.alternates[i]);
    if (direct == nullptr || now_ < own_paused_until_) return false;
    // A subscriber of an exchange whose controller is down may call this very exchange from here. There is no
    // direct route to it from here, but a tandem may have a group to it.
    const bool is_home = direct->entry.number == settings_.home_exchange;
    if (is_home && call.offer.in_transit) return false;
    // A throttled call is held, not refused at once: it loses nothing by a short wait if f recovers in time.
    if (call.throttled &&
        throttled_share(destination_state(call.offer.destination), worths_, call.kind, direct->f, now_) > 0) {
      return false;
    }
    if (call.attempts >= attempt_limit(call) || now_ < call.not_before) return false;
    const double share = window_share(call) * (direct->f < throttled_below_f ? throttled_window_share : 1);
    const bool direct_accepts = accepts_set_up(*direct, share, call.offer.in_transit);
    // In a mesh every route, also one through a tandem, ends at the destination's processor.
    if (!direct_accepts && !settings_.uses_pools) return false;
    const double reserved = call.offer.in_transit ? direct->reserved_circuits(call.offer.circuits) : 0;
    const bool has_circuit =
        !is_home && !call.excluded.contains(direct->entry.exchange) &&
        (!direct->group_known || direct->free_circuits >= call.offer.circuits + reserved) &&
        is_allowed(call, call.offer.destination);
    if (call.attempts == 0 && direct->total_circuits > 0)
      direct->blocked_share += blocking_smoothing * ((has_circuit ? 0 : 1) - direct->blocked_share);
    if (has_circuit && direct_accepts) {
      send(call, *direct, nullptr);
      return true;
    }
    if (call.offer.in_transit) return false;
    // Without a group to the destination a tandem is the only way: then only the attempt limit applies.
    const bool has_direct_group = !direct->group_known || direct->total_circuits > 0;
    if (has_direct_group && call.tandem_attempts >= max_tandem_attempts) return false;
    FarExchange* tandem = choose_tandem(call);
    if (tandem == nullptr) return false;
    ++call.tandem_attempts;
    send(call, *tandem, settings_.uses_pools ? nullptr : direct);
    return true;
  }
  /// Sends a set-up to `far`; `beyond` is the destination's exchange if `far` is a tandem, else null.
  void send(Call& call, FarExchange& far, FarExchange* beyond) {
    call.attempt_in_flight = true;
    call.sent_to = far.entry.exchange;
    call.beyond_tandem = beyond == nullptr ? std::nullopt : std::optional(beyond->entry.exchange);
    call.sent_at = now_;
    ++call.attempts;
    for (FarExchange* each : {&far, beyond}) {
      if (each == nullptr) continue;
      each->sent.insert(now_);
      each->unanswered.insert(now_);
      if (is_cold(*each)) each->cold_tokens -= 1;
    }
    far.free_circuits -= call.offer.circuits;
    all_unanswered_.insert(now_);
    // Without a limit, a set-up lost in a silent processor would fill its window and keep f down long after
    // the processor has recovered.
    const Duration objective = settings_.classes[call.offer.traffic_class].set_up_objective;
    Time give_up_at = now_ + scaled(objective, give_up_after_objectives);
    // Where answers are prompt, an overdue set-up is lost: it is abandoned in time for another attempt within
    // the objective.
    const Time latest_for_retry = call.first_arrived + objective - settings_.release_wait -
                                  settings_.batch_interval - scaled(target_delay(), retry_target_delays);
    if (!call.offer.in_transit && latest_for_retry >= now_ + target_delay() && answers_are_prompt())
      give_up_at = latest_for_retry;
    emit(SendSetUp{call.offer.call, far.entry.exchange, std::min(call.deadline, give_up_at)});
  }

  // ---- Life of a call ---------------------------------------------------------------------------------

  /// Holds the call until it can be placed, at most until `hold_until`.
  void hold(Call& call) {
    call.held = true;
    destination_state(call.offer.destination).held.insert(queue_position(call));
    set_timer(call, call.hold_until);
  }
  void stop_holding(Call& call) {
    if (call.held) destination_state(call.offer.destination).held.erase(queue_position(call));
    call.held = false;
  }
  [[nodiscard]] std::tuple<double, Time, CallId> queue_position(const Call& call) const {
    return {-worths_[call.kind], call.arrived, call.offer.call};
  }
  void set_timer(const Call& call, Time due) { emit(SetTimer{due, call.offer.call.value + call_token_base}); }

  /// Callers who are refused, or who leave by themselves, redial the number.
  void remember_unserved(const Call& call) {
    if (call.offer.called_number == 0 || call.offer.in_transit || call.established) return;
    // Guards against callers that ask for ever new numbers.
    if (unserved_numbers_.size() >= max_unserved_numbers &&
        !unserved_numbers_.contains(call.offer.called_number)) {
      return;
    }
    unserved_numbers_[call.offer.called_number] = call.first_arrived;
  }
  /// Rule: a call gets exactly one final answer. Every end that this controller decides on passes through
  /// here.
  void finish(Call& call, bool refuse) {
    stop_holding(call);
    remember_unserved(call);
    const bool is_safe_to_repeat =
        !call.may_have_been_set_up ||
        settings_.classes[call.offer.traffic_class].idempotency == Idempotency::idempotent;
    if (refuse && is_safe_to_repeat) {
      emit(Refuse{call.offer.call, settings_.sends_retry_after ? settings_.max_retry_after : Duration{0}});
    } else {
      emit(Fail{call.offer.call});
    }
    calls_.erase(call.offer.call);
  }
  /// Places the call, holds it until there is room, or refuses it.
  void proceed(Call& call) {
    if (now_ >= call.hold_until) return finish(call, true);
    if (place(call)) return stop_holding(call);
    if (call.offer.in_transit || call.attempts >= attempt_limit(call)) return finish(call, true);
    if (!call.held) hold(call);
  }
  /// Tries the calls held for a destination, in order.
  void retry_held_calls(Destination& destination) {
    const auto held = destination.held;  // a copy, as proceed changes the original
    for (const auto& [worth, arrived, id] : held) {
      const auto it = calls_.find(id);
      if (it != calls_.end() && it->second.held && now_ >= it->second.not_before) proceed(it->second);
    }
  }
  /// The set-up of the call's attempt is no longer unanswered, whether it succeeded or failed.
  void remove_unanswered(Call& call) {
    all_unanswered_.erase(all_unanswered_.find(call.sent_at));
    for (const auto& id : {std::optional(call.sent_to), call.beyond_tandem}) {
      FarExchange* far = id ? find_exchange(*id) : nullptr;
      if (far == nullptr) continue;
      const auto it = far->unanswered.find(call.sent_at);
      if (it != far->unanswered.end()) far->unanswered.erase(it);
    }
  }

  // ---- Events -----------------------------------------------------------------------------------------

  void on(const Started&) {
    resumed_at_ = Time{};  // a start is not the end of a stall
    started_at_ = own_answer_rate_.begin = offered_rate_.begin = now_;
    emit(SetTimer{now_ + tick_interval, tick_token});
    if (settings_.directory_by_subscription) emit(SubscribeDirectory{});
  }

  void on(const DirectoryUpdate& update) {
    if (update.kind == DirectoryUpdate::Kind::failed) {
      if (!settings_.directory_by_subscription) return;
      emit(SetTimer{now_ + subscribe_backoff_ + Duration{static_cast<std::int64_t>(random_() % 500000)},
                    subscribe_token});
      subscribe_backoff_ = std::min(2 * subscribe_backoff_, max_subscribe_backoff);
      return;
    }
    if (update.kind != DirectoryUpdate::Kind::cached) subscribe_backoff_ = min_subscribe_backoff;
    if (update.kind != DirectoryUpdate::Kind::changes) {
      for (auto& [id, far] : far_exchanges_) far.entry.state = ExchangeState::gone;
    }
    for (const auto& entry : update.entries) {
      const auto [it, inserted] = far_exchanges_.try_emplace(entry.exchange);
      auto& far = it->second;
      if (inserted) far.answer_rate.begin = now_;
      // After a restart, what was measured of the processor before no longer holds.
      if (far.entry.started_at != entry.started_at) {
        far.f = 1;
        far.samples.clear();
        far.smoothed_delay_seconds = 0;
        far.paused_until = Time{};
        far.next_pause = min_processor_pause;
        far.cold_tokens = random_unit();
        far.cold_tokens_updated_at = now_;
      }
      far.entry = entry;
    }
    // Machines are replaced by ones with new ids all the time: an exchange that is gone and has no unanswered
    // set-up is removed.
    std::erase_if(far_exchanges_, [](const auto& each) {
      return each.second.entry.state == ExchangeState::gone && each.second.unanswered.empty();
    });
  }

  void on(const CallOffered& offer) {
    if (offer.traffic_class >= settings_.classes.size() || calls_.contains(offer.call)) {
      emit(Fail{offer.call});
      return;
    }
    const auto& class_settings = settings_.classes[offer.traffic_class];
    auto& call = calls_[offer.call];
    call.offer = offer;
    if (!std::isfinite(offer.circuits) || offer.circuits < 0) call.offer.circuits = class_settings.circuits;
    call.arrived = now_;
    call.deadline = now_ + offer.time_left;
    call.hold_until = call.deadline - 2 * settings_.batch_interval;
    classify(call);
    auto& destination = destination_state(offer.destination);
    destination.offered_rates[call.kind].record(now_);
    offered_rate_.record(now_);
    FarExchange* direct = serving_exchange(offer.destination);
    if (direct != nullptr && !offer.in_transit) {
      const double share = throttled_share(destination, worths_, call.kind, direct->f, now_);
      call.throttled = !passes_throttle(destination, call.kind, share);
    }
    if (!just_resumed() || offer.in_transit || now_ >= call.hold_until) return proceed(call);
    // Calls that queued up during a stall are held for one batch interval: the same batch tells which callers
    // have left meanwhile, and the calls are then tried in order of worth, not in a burst in order of
    // arrival.
    hold(call);
    set_timer(call, now_ + settings_.batch_interval);
  }

  /// Sets the call's kind, the time of the caller's first try, and how long the call may be held. A call
  /// whose objective has nearly passed since the first try is late: a kind of its own, with its late worth.
  /// An unmarked redial is recognised as a call to a number that was refused recently. Known limitation:
  /// another caller of the same number shortly after a refusal is taken for a redial.
  void classify(Call& call) {
    const auto& class_settings = settings_.classes[call.offer.traffic_class];
    call.first_arrived = now_;
    if (call.offer.in_transit || call.offer.was_cut_off) {
      // neither a first try nor a redial
    } else if (const auto it = unserved_numbers_.find(call.offer.called_number);
               it != unserved_numbers_.end()) {
      call.first_arrived = it->second;
      unserved_numbers_.erase(it);
    } else if (call.offer.redialled) {
      call.first_arrived = now_ - class_settings.set_up_objective;
    } else {
      // First tries of a class all start with the same time left. A call that has less of it has spent the
      // difference waiting for this controller to process it.
      auto& longest = longest_time_left_[call.offer.traffic_class];
      longest = std::max(longest, call.offer.time_left);
      call.first_arrived = now_ - (longest - call.offer.time_left);
    }
    const Time late_from =
        call.first_arrived + scaled(class_settings.set_up_objective, late_after_objective_share);
    call.kind = call.offer.traffic_class + (now_ >= late_from ? settings_.classes.size() : 0);
    const Time hold_limit = now_ < late_from
                                ? late_from
                                : now_ + scaled(class_settings.set_up_objective, late_hold_objective_share);
    if (!call.offer.in_transit)
      call.hold_until = std::min(hold_limit, call.deadline - 2 * settings_.batch_interval);
  }

  void on(const CallStands& stands) {
    const auto it = calls_.find(stands.call);
    if (it == calls_.end() || !it->second.attempt_in_flight || it->second.established) return;
    Call& call = it->second;
    call.established = true;
    remove_unanswered(call);
    if (!just_resumed())
      smoothed_delay_seconds_ += delay_smoothing * (seconds(stands.elapsed) - smoothed_delay_seconds_);
    own_answer_rate_.record(now_);
    if (FarExchange* far = find_exchange(stands.exchange)) {
      far->overdue_in_row = 0;
      if (!call.beyond_tandem && !just_resumed()) record_delay(*far, stands.elapsed, health_, now_);
      if (call.beyond_tandem) record_tandem_result(*far, call.offer.destination, true);
      far->next_pause = min_processor_pause;
      far->answer_rate.record(now_);
    }
    retry_held_calls(destination_state(call.offer.destination));
  }

  void on(const AttemptEnded& end) {
    FarExchange* far = find_exchange(end.exchange);
    if (far != nullptr) record_report(*far, end.report);
    const auto it = calls_.find(end.call);
    if (it == calls_.end() || !it->second.attempt_in_flight) return;  // a duplicate event
    Call& call = it->second;
    const auto number = call.offer.destination;
    call.attempt_in_flight = false;
    if (end.exchange_excluded) {
      call.excluded.insert(end.exchange);
      if (far != nullptr) far->free_circuits += call.offer.circuits;  // none was seized
    }
    if (!call.established) {
      remove_unanswered(call);
      if (far != nullptr) record_failure(*far, call, end);
    }
    if (end.call_finished || call.finished || call.established) {
      calls_.erase(it);
    } else {
      retry_or_finish(call, end);
    }
    retry_held_calls(destination_state(number));
  }
  void record_failure(FarExchange& far, const Call& call, const AttemptEnded& end) {
    switch (end.result) {
      case AttemptResult::connect_failed:
        pause(far, Duration{0});
        break;
      case AttemptResult::timed_out:
        if (!just_resumed() && far.overdue_in_row >= (answers_are_prompt() ? min_overdue_in_row : 1))
          record_delay(far, end.elapsed, health_, now_);
        break;
      case AttemptResult::not_sent:
        if (end.cause == FailureCause::processor_full) own_paused_until_ = now_ + own_processor_pause;
        break;
      case AttemptResult::not_set_up:
        if (end.cause == FailureCause::destination_processor_full) {
          if (FarExchange* beyond = call.beyond_tandem ? find_exchange(*call.beyond_tandem) : nullptr)
            record_full_processor(*beyond, Duration{0});
        }
        if (end.cause == FailureCause::processor_full) record_full_processor(far, end.wait_hint);
        if (call.beyond_tandem) record_tandem_result(far, call.offer.destination, false);
        break;
      default:
        break;
    }
  }
  void record_report(FarExchange& far, const LoadReport& report) {
    if (const auto total = valid_figure(report.total_circuits)) far.total_circuits = *total;
    if (const auto free = valid_figure(report.free_circuits)) {
      far.free_circuits = *free;
      far.group_known = true;
    }
    if (const auto rho =
            rho_from_report(report, far.f, health_.target_delay_seconds, offered_rate_.per_second(now_)))
      far.add_sample(*rho, true, now_);
  }
  void record_full_processor(FarExchange& far, Duration wait_hint) {
    far.add_sample(full_processor_rho, true, now_);
    pause(far, wait_hint);
  }
  /// No set-up to a processor that was full or not reached; twice as long each time until a call is
  /// established.
  void pause(FarExchange& far, Duration wait_hint) {
    far.paused_until = now_ + std::max(wait_hint, far.next_pause);
    far.next_pause = std::min(2 * far.next_pause, max_processor_pause);
  }
  /// The caller still waits for an answer: another attempt after the release wait, or a final answer.
  void retry_or_finish(Call& call, const AttemptEnded& end) {
    const bool was_not_set_up = end.result == AttemptResult::not_set_up ||
                                end.result == AttemptResult::not_sent ||
                                end.result == AttemptResult::connect_failed;
    if (call.offer.retry_wait > Duration{0}) {
      call.not_before = now_ + call.offer.retry_wait;
      set_timer(call, call.not_before);
    }
    if (was_not_set_up) return proceed(call);
    call.may_have_been_set_up = true;
    if (end.cause == FailureCause::number_busy) return finish(call, true);
    if (end.result == AttemptResult::error && ++call.errors > max_errors_retried) return finish(call, false);
    const auto& class_settings = settings_.classes[call.offer.traffic_class];
    // Rule: no new attempt before the release wait is over, counted from the batch that reported the end.
    if (end.result != AttemptResult::error)
      call.not_before = std::max(call.not_before, now_ + settings_.release_wait + settings_.batch_interval);
    const Time latest = std::min(call.arrived + class_settings.set_up_objective,
                                 call.deadline - 2 * settings_.batch_interval);
    if (class_settings.idempotency != Idempotency::idempotent || call.not_before >= latest ||
        call.offer.in_transit) {
      return finish(call, false);
    }
    call.hold_until = latest;
    hold(call);
    set_timer(call, call.not_before);
  }

  void on(const CallerLeft& left) {
    const auto it = calls_.find(left.call);
    if (it == calls_.end()) return;
    Call& call = it->second;
    remember_unserved(call);
    stop_holding(call);
    call.finished = true;
    // A set-up in flight for a caller who has left is wasted work.
    if (call.attempt_in_flight && !call.established && settings_.cancelling)
      emit(Cancel{left.call, call.attempts - 1});
    if (!call.attempt_in_flight) calls_.erase(it);
  }

  void on(const TimerDue& timer) {
    if (timer.token == tick_token) return tick();
    if (timer.token == subscribe_token) return emit(SubscribeDirectory{});
    const auto it = calls_.find(CallId{timer.token - call_token_base});
    if (it != calls_.end() && it->second.held && now_ >= it->second.not_before) proceed(it->second);
  }
  /// Periodic work: assesses the far processors, forgets old refusals, and tries the held calls.
  void tick() {
    emit(SetTimer{now_ + tick_interval, tick_token});
    if (now_ - assessed_at_ >= assessment_interval) {
      assessed_at_ = now_;
      for (auto& [id, far] : far_exchanges_) {
        assess(far, health_, usual_rate(far.entry.number), now_, resumed_at_, answers_are_prompt());
        log_throttling(far);
      }
    }
    Duration longest{0};
    for (const auto& each : settings_.classes) longest = std::max(longest, each.give_up_after);
    std::erase_if(unserved_numbers_, [&](const auto& each) { return now_ - each.second > longest; });
    for (auto& [number, destination] : destinations_) {
      if (!destination.held.empty()) retry_held_calls(destination);
    }
  }
  void log_throttling(FarExchange& far) {
    const bool throttled = far.f < throttled_below_f;
    if (throttled == far.logged_as_throttled || now_ - far.logged_at < min_log_interval) return;
    far.logged_as_throttled = throttled;
    far.logged_at = now_;
    emit(LogLine{(throttled ? "throttling calls to exchange " : "no longer throttling calls to exchange ") +
                 std::to_string(far.entry.number)});
  }

  void on(const ExchangeReport& report) {
    FarExchange* far = find_exchange(report.exchange);
    if (far == nullptr) return;
    record_report(*far, report.report);
    if (const auto it = destinations_.find(far->entry.number); it != destinations_.end())
      retry_held_calls(it->second);
  }
  void on(const PeerMessage&) {}  // controllers share no state

  Settings settings_;
  HealthSettings health_;
  std::mt19937_64 random_;
  Time now_;
  std::vector<Action>* actions_ = nullptr;
  std::map<ExchangeId, FarExchange> far_exchanges_;
  std::map<ExchangeNumber, Destination> destinations_;
  std::map<CallId, Call> calls_;
  std::map<std::uint64_t, Time> unserved_numbers_;  // called lately without success; time of the first try
  std::vector<double> worths_;                      // of each kind of call
  Time assessed_at_;
  std::multiset<Time> all_unanswered_;  // when the set-ups that are still unanswered were sent
  DecayingRate own_answer_rate_, offered_rate_;
  double smoothed_delay_seconds_ = 0;  // of set-ups, over all far processors
  Time own_paused_until_, resumed_at_, started_at_;
  std::vector<Duration> longest_time_left_;  // of any first try so far, by class
  Duration subscribe_backoff_ = min_subscribe_backoff;
};

CallController::CallController(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
CallController::~CallController() = default;
CallController::CallController(CallController&&) noexcept = default;
CallController& CallController::operator=(CallController&&) noexcept = default;

void CallController::handle(Time now, const Event& event, std::vector<Action>& actions) {
  impl_->handle(now, event, actions);
}

}  // namespace maddershed
