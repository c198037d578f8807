// The decision module: which calls are set up, over which route, and which are refused.
// Its interface (settings, events, actions) is include/maddershed/call_controller.hpp; read that first.
// The mechanism and each departure from it are explained in docs/design.md.
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
// Origin: [paper] the ARO paper; [design] the project's design page; [ours] chosen here, see docs/design.md.
using namespace std::chrono_literals;
constexpr Duration tick_every = 50ms;        // pump of held calls [ours]
constexpr Duration assess_every = 100ms;     // assessment of f [design]
constexpr int samples_averaged = 3;          // k [design]
constexpr double rho_thresh = 0.95;          // [design]
constexpr double f_min = 0.005;              // [design]
constexpr double rate_ratio_above = 0.8;     // latest report, for the rate ratio to apply [design]
constexpr Duration rate_window = 2s;         // count of alpha [design]
constexpr double rate_enough = 8;            // set-ups in the window for the rate ratio to apply [ours]
constexpr Duration alpha_thresh_every = 5s;  // [design]
constexpr double alpha_thresh_weight = 0.2;  // [design]
constexpr double step_up_most = 1.15;        // growth of f in one assessment [ours]
constexpr double step_down_most = 0.7;       // cut of f in one assessment [ours]
constexpr Duration report_fresh = 1s;        // a sample counts so long, or the usual gap between own
constexpr Duration report_fresh_most = 5s;   // calls if that is longer, then it is unheard [ours]
constexpr double steps_most = 4;             // assessments that one sample after a gap may stand for [ours]
constexpr double growth_gap = 0.12;          // seconds between own calls past which f grows slower [ours]
constexpr double growth_rate = 0.4;          // own calls a second below which it grows no slower still [ours]
constexpr double messages_a_call = 4;        // at a processor: look, set-up, answer, release [design]
constexpr double delay_weight = 0.3;         // smoothing of the own set-up delay [ours]
constexpr double delay_target_share = 0.4;   // of the shortest aim: the full set-up delay [ours]
constexpr double full_rho = 1.3;             // what a processor that turned a set-up away counts as [ours]
constexpr double window_floor = 1;           // set-ups out to one processor that are always in order [ours]
constexpr double own_window_floor = 4;  // the same, over all far processors: the own one is in the way [ours]
constexpr double window_slack = 1.1;    // set-ups out, of those answered within the target delay [ours]
constexpr int misses_pressed = 2;   // overdue in a row that press a processor while others are prompt [ours]
constexpr double rare_calls = 0.5;  // own calls in a target delay under which a window is no brake [ours]
constexpr Duration offered_memory = 8s;       // memory of the offered rates [ours]
constexpr double rate_span_least = 1;         // seconds: shorter ones tell no rate [ours]
constexpr double reserve_base = 0.03;         // share of a group kept from overflow [ours]
constexpr double reserve_slope = 0.5;         // more, for each share of direct calls blocked [ours]
constexpr double reserve_most = 0.3;          // at most [ours]
constexpr double blocking_weight = 0.05;      // smoothing of direct blocking [ours]
constexpr double throttled_below = 0.9;       // f under which a tandem is skipped [ours]
constexpr Duration turned_back_first = 1s;    // a tandem that turned back is skipped for that number, [ours]
constexpr Duration turned_back_most = 32s;    // twice as long each time in a row: it may have no group [ours]
constexpr double onward_weight = 0.1;         // smoothing of how often a tandem gets calls through [ours]
constexpr std::uint32_t tandem_tries = 2;     // for one call whose direct group exists [ours]
constexpr std::uint32_t errors_most = 1;      // of one call that are met with another try: the second time it
                                              // is the call that cannot be used [ours]
constexpr double stuck_after_targets = 3;     // target delays after which a set-up counts as stuck; 1 where
constexpr double prompt_targets = 0.5;        // set-ups stand within this many on average [ours]
constexpr double give_up_aims = 1.5;          // aims after which an unanswered set-up is given up [ours]
constexpr double another_try_targets = 1;     // target delays that another try after it would need [ours]
constexpr double late_window_share = 0.5;     // of the windows that late tries may fill [ours]
constexpr double pressed_window_share = 0.5;  // that calls to pressed processors may fill [ours]
constexpr double late_hold_share = 0.8;       // of the aim: how long a late try is held [ours]
constexpr double latest_send_share = 0.7;     // of the aim since the first try: later ones are late [ours]
constexpr Duration full_pause = 250ms;        // after the own processor turned a set-up away [ours]
constexpr Duration down_pause_first = 250ms;  // far processor full or not reached, doubling [ours]
constexpr Duration down_pause_most = 2s;      // [ours]
constexpr Duration subscribe_again_first = 1s;  // after a failed call to the directory, doubling [ours]
constexpr Duration subscribe_again_most = 8s;   // [ours]
constexpr Duration stalled_after = 250ms;       // without a turn: five ticks left out [ours]
constexpr Duration log_gap = 5s;                // between log lines on one exchange [ours]

constexpr std::uint64_t tick_token = 0;
constexpr std::uint64_t subscribe_token = 1;
constexpr std::uint64_t call_token_base = 16;

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
Duration scaled(Duration d, double by) { return Duration{std::llround(static_cast<double>(d.count()) * by)}; }

/// Absent, negative, absurd and not-a-number figures are unheard.
std::optional<double> heard(const std::optional<double>& figure) {
  if (!figure || !std::isfinite(*figure) || *figure < 0 || *figure > 1e7) return std::nullopt;
  return figure;
}

/// A rate that forgets: events a second over about `offered_memory`, or since it was begun if that is
/// shorter: else windows and budgets would start at a fraction of what is usual and open only over that
/// memory.
struct FadingRate {
  Time since{};
  double sum = 0;  // of what is not forgotten
  Time last{};
  [[nodiscard]] double faded(Time now) const {
    return sum * std::exp(-seconds(now - last) / seconds(offered_memory));
  }
  [[nodiscard]] double at(Time now) const {
    const double span = std::max(rate_span_least, seconds(now - since)) / seconds(offered_memory);
    return faded(now) / seconds(offered_memory) / (1 - std::exp(-span));
  }
  void count(Time now) {
    sum = faded(now) + 1;
    last = now;
  }
};

// ---- Far-processor health ---------------------------------------------------------------------------

/// What is known of one far exchange: its processor, and the group of circuits towards it.
struct FarExchange {
  DirectoryEntry entry;
  // the loop on f
  double f = 1;
  double alpha_thresh = 0;  // set-ups a second; 0: not yet known
  Time alpha_thresh_at;
  struct Sample {
    Time at;
    double rho;
  };
  std::vector<Sample> samples;  // the last k of rho
  bool reported = false;        // the latest sample is a report
  bool news = false;            // a sample came since the last assessment
  Time assessed_at;             // the last assessment with news
  double rate = 0;              // usual own calls a second towards it, as last assessed
  int missed = 0;               // set-ups overdue in a row
  Duration overdue{0};          // age of the oldest unanswered set-up, as last taken for a sample
  std::multiset<Time> sent;     // set-ups sent within rate_window, repeats included
  void sample(double rho, bool report, Time now) {
    if (samples.size() >= samples_averaged) samples.erase(samples.begin());
    samples.push_back({now, rho});
    reported = report;
    news = true;
  }
  // own observation
  double delay = 0;  // smoothed set-up delay, seconds
  Time delay_at;
  FadingRate answered;
  std::multiset<Time> unanswered;  // when the set-ups were sent that are still out
  Time closed_until;               // no set-up before (processor full, or not reached)
  Duration down_pause = down_pause_first;
  double cold_tokens = 0;
  Time cold_tokens_at;
  // the group
  double free = 0, total = 0;
  bool group_told = false;  // until then a direct set-up is tried: without a circuit it comes back at once
  double blocking = 0;      // smoothed share of direct calls that found no circuit
  /// How a tandem fares with calls to one number, and with all of them (`onward`).
  struct TurnedBack {
    Time until;
    Duration pause{0};
  };
  std::map<ExchangeNumber, TurnedBack> turned_back;
  double onward = 0.5;
  bool holding_back = false;  // as logged
  Time logged_at;

  /// Since the own controller last woke from a stall: before, answers were not missing but not looked at.
  [[nodiscard]] Duration oldest_age(Time now, Time woke_at) const {
    return unanswered.empty() ? Duration{0} : now - std::max(*unanswered.begin(), woke_at);
  }
  [[nodiscard]] double reserve(double circuits) const {
    const double share = std::min(reserve_most, reserve_base + reserve_slope * blocking);
    return std::ceil(share * total) + circuits - 1;
  }
};

struct HealthSettings {
  double delay_target = 0.5;  // seconds
  Duration resend_after{0};
};

/// The one place where a report of whatever columns becomes a sample of rho. `rate` is the usual one of
/// calls.
std::optional<double> rho_of(const LoadReport& r, double f, double delay_target, double rate) {
  std::optional<double> rho;
  const auto take = [&rho](double value) { rho = std::max(rho.value_or(0), std::min(value, 2.0)); };
  if (const auto u = heard(r.utilisation)) take(*u);
  if (const auto w = heard(r.queue_wait_ms)) take(rho_thresh * *w / 1000 / delay_target);
  // A share to hold back is absolute, not one more cut: this value leads the loop to f = 1 - share.
  if (const auto h = heard(r.requested_shed_share))
    take(rho_thresh * f / std::max(f_min, 1 - std::min(*h, 1.0)));
  // Little's law, with as many messages at the far processor as at the own one. A hung processor looks idle.
  if (const auto q = heard(r.queued_set_ups))
    take(rho_thresh * *q / std::max(4.0, messages_a_call * rate * delay_target));
  return rho;
}

void hear_delay(FarExchange& far, Duration elapsed, const HealthSettings& hs, Time now) {
  far.delay += delay_weight * (seconds(elapsed) - far.delay);
  far.delay_at = now;
  // Only where no report is fresh: the own processor's wait is in it too.
  if (!far.reported || far.samples.empty()) {
    far.sample(rho_thresh * std::min(2.0, seconds(elapsed) / hs.delay_target), false, now);
  }
  // Repeats of a set-up that waited are load as well: without them alpha_thresh sinks in a storm.
  if (hs.resend_after > Duration{0}) {
    const double repeats = std::floor(std::log2(seconds(elapsed) / seconds(hs.resend_after) + 1));
    for (int i = 0; i < static_cast<int>(std::min(repeats, 8.0)); ++i) far.sent.insert(now);
  }
}

/// The set-up delay as it looks now: what was answered lately, or the age of what was not.
double delay_now(const FarExchange& far, Time now, Time woke_at) {
  const double answered = now - far.delay_at < report_fresh ? far.delay : 0;
  return std::max(answered, seconds(far.oldest_age(now, woke_at)));
}

/// `rate`: own calls a second towards it. Where these are few, samples are few: each then counts longer and
/// for more, and f returns slower without one, since every controller that tries again is one of many.
void assess(FarExchange& far, const HealthSettings& hs, double rate, Time now, Time woke_at, bool prompt) {
  far.rate = rate;
  far.sent.erase(far.sent.begin(), far.sent.lower_bound(now - rate_window));
  const Duration gap{std::llround(1e6 / std::max(rate, 0.01))};
  const Duration fresh = std::clamp(gap, report_fresh, report_fresh_most);
  // An unanswered set-up is a sample when it is overdue, and again each time its age has doubled.
  const Duration age = far.oldest_age(now, woke_at);
  if (seconds(age) < hs.delay_target) far.overdue = Duration{0};
  if (seconds(age) >= hs.delay_target && age >= 2 * far.overdue) {
    if (far.overdue == Duration{0}) ++far.missed;
    far.overdue = age;
    if (far.missed >= (prompt ? misses_pressed : 1))
      far.sample(rho_thresh * std::min(2.0, seconds(age) / hs.delay_target), false, now);
  }
  std::erase_if(far.samples, [&](const auto& each) { return now - each.at > fresh; });
  double mean = 0;
  for (const auto& each : far.samples) mean += each.rho / static_cast<double>(far.samples.size());
  const bool heard_report = far.reported && !far.samples.empty();

  double ratio = rho_thresh / std::max(mean, 0.01);
  const double alpha = static_cast<double>(far.sent.size()) / seconds(rate_window);
  const bool enough = static_cast<double>(far.sent.size()) >= rate_enough;
  if (enough && heard_report && far.samples.back().rho > rate_ratio_above && far.alpha_thresh > 0) {
    ratio = std::min(ratio, far.alpha_thresh / alpha);
  }
  const double unheard = seconds(now - far.assessed_at) / seconds(report_fresh_most);
  double steps = std::min(1.0, growth_gap * std::max(rate, growth_rate) * (1 + unheard));
  if (far.news) {
    steps = std::clamp(seconds(now - far.assessed_at) / seconds(assess_every), 1.0, steps_most);
    far.assessed_at = now;
  } else {
    ratio = std::max(ratio, 1.0);  // One high sample cuts once.
  }
  far.news = false;
  ratio = std::clamp(ratio, std::pow(step_down_most, steps), std::pow(step_up_most, steps));
  far.f = std::clamp(far.f * ratio, f_min, 1.0);

  if (enough && mean > 0.1 && now - far.alpha_thresh_at >= alpha_thresh_every) {
    const double target = rho_thresh * alpha / mean;
    far.alpha_thresh += (far.alpha_thresh > 0 ? alpha_thresh_weight : 1) * (target - far.alpha_thresh);
    far.alpha_thresh_at = now;
  }
}

// ---- Class split and throttle -----------------------------------------------------------------------

/// Calls towards one number: what is offered by class, the throttle's counters, and who waits.
struct Destination {
  std::vector<FadingRate> offered;  // by kind of call: its class, and apart from these its late tries
  std::vector<double> counter;      // r of each class
  std::set<std::tuple<double, Time, CallId>> held;  // highest worth first, then oldest first

  [[nodiscard]] double offered_rate(Time now) const {
    double sum = 0;
    for (const auto& rate : offered) sum += rate.at(now);
    return sum;
  }
};

/// The share of kind `which` to throttle so that 1 - f of all that is offered goes, lowest worth first.
double throttled_share(const Destination& to, const std::vector<double>& worths, std::size_t which, double f,
                       Time now) {
  const double to_cut = (1 - f) * to.offered_rate(now);
  double below = 0;
  for (std::size_t i = 0; i < worths.size(); ++i) {
    if (std::tuple(worths[i], i) < std::tuple(worths[which], which)) below += to.offered[i].at(now);
  }
  const double own = to.offered[which].at(now);
  return own > 0 ? std::clamp((to_cut - below) / own, 0.0, 1.0) : 0.0;
}

/// The deterministic counter: true when the call may go.
bool passes(Destination& to, std::size_t which, double throttled) {
  auto& r = to.counter[which];
  r += 1 - throttled;
  if (r < 1 - 1e-9) return false;
  r -= 1;
  return true;
}

// ---- Calls ------------------------------------------------------------------------------------------

struct Call {
  CallOffered offer;
  Time arrived, deadline, hold_until;
  Time first_arrived;    // of the caller's first try
  std::size_t kind = 0;  // its class; past its aim, the number of classes more
  Time not_before;       // the release wait
  bool attempt_out = false;
  bool standing = false;
  bool over = false;  // finally answered, or the caller left
  bool may_have_run = false;
  bool throttled = false;  // waits until its class is not cut any more
  bool held = false;
  std::uint32_t attempts = 0;
  std::uint32_t tandem_attempts = 0;
  std::uint32_t errors = 0;
  ExchangeId sent_to;
  std::optional<ExchangeId> beyond;  // the destination, when sent to a tandem
  Time sent_at;
};

void check_settings(const Settings& s) {
  const auto require = [](bool good, const char* name) {
    if (!good) throw std::invalid_argument(std::string("setting out of range: ") + name);
  };
  require(!s.classes.empty(), "classes");
  for (const auto& c : s.classes) {
    require(std::isfinite(c.worth) && c.worth >= 0, "worth");
    require(c.set_up_objective > Duration{0}, "aim");
    require(c.give_up_after > Duration{0}, "give_up");
  }
  require(s.controller_count >= 1, "controllers");
  require(s.attempt_limit >= 1, "attempt_limit");
  require(s.release_wait >= Duration{0}, "release_wait");
  require(s.resend_after >= Duration{0}, "resend_after");
  require(s.cold_time >= Duration{0}, "cold_time");
  require(s.start_capacity > 0 && s.start_capacity <= 1, "start_capacity");
  require(s.overload_multiple > 0, "fall_multiple");
}

}  // namespace

class CallController::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed) : s_(std::move(settings)), random_(seed) {
    check_settings(s_);
    Duration shortest = s_.classes.front().set_up_objective;
    for (const auto& c : s_.classes) {
      shortest = std::min(shortest, c.set_up_objective);
      worths_.push_back(c.worth);
    }
    for (const auto& c : s_.classes) worths_.push_back(c.worth * c.late_worth_share);
    double target = seconds(shortest) * delay_target_share;
    if (s_.resend_after > Duration{0}) target = std::min(target, seconds(s_.resend_after));
    health_ = {target, s_.resend_after};
    longest_try_.resize(s_.classes.size());
  }

  void handle(Time now, const Event& event, std::vector<Action>& actions) {
    if (now - now_ > stalled_after) woke_at_ = now;
    now_ = now;
    out_ = &actions;
    std::visit([this](const auto& e) { on(e); }, event);
    out_ = nullptr;
  }

 private:
  void act(Action action) { out_->push_back(std::move(action)); }

  // ---- Trunk groups, budgets of processors ------------------------------------------------------------

  FarExchange* find(ExchangeId id) {
    const auto it = far_.find(id);
    return it == far_.end() ? nullptr : &it->second;
  }
  /// The machine in service under a number: ready, and the one started last if there are several.
  FarExchange* serving(ExchangeNumber number) {
    FarExchange* best = nullptr;
    for (auto& [id, far] : far_) {
      if (far.entry.number != number || far.entry.state != ExchangeState::ready) continue;
      if (best == nullptr || far.entry.started_at.value_or(Time{}) > best->entry.started_at.value_or(Time{}))
        best = &far;
    }
    return best;
  }
  Destination& destination(ExchangeNumber number) {
    auto& to = destinations_[number];
    to.offered.resize(worths_.size(), FadingRate{.since = started_});
    to.counter.resize(worths_.size());
    return to;
  }

  [[nodiscard]] bool cold(const FarExchange& far) const {
    return far.entry.started_at && now_ - *far.entry.started_at < s_.cold_time;
  }
  double chance() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
  /// Calls a second towards a number, not less than half of the mean over all.
  double usual_rate(ExchangeNumber number) {
    const double mean = offered_.at(now_) / std::max(1.0, static_cast<double>(destinations_.size()));
    return std::max(destination(number).offered_rate(now_), mean / 2);
  }
  /// Rule: a cold processor is not pushed over. Its budget is this controller's usual rate towards it, times
  /// the share of capacity it has for certain by now, spread evenly so that a burst cannot spend it early. It
  /// starts at a random part of one set-up: many controllers of rare calls then are spread evenly as well.
  void refill_cold_tokens(FarExchange& far) {
    const double age = seconds(now_ - *far.entry.started_at) / seconds(s_.cold_time);
    const double capacity = s_.start_capacity + (1 - s_.start_capacity) * std::clamp(age, 0.0, 1.0);
    const double gained =
        usual_rate(far.entry.number) * capacity * seconds(std::max(Duration{0}, now_ - far.cold_tokens_at));
    far.cold_tokens = std::min(1.0, far.cold_tokens + gained);
    far.cold_tokens_at = now_;
  }
  /// Guards against every way a processor may fail to answer (silence, hang, slowness, a lost link): no more
  /// set-ups are out to it than it answers within the target delay. It could hold back a burst to a healthy
  /// one.
  bool takes_set_up(FarExchange& far, double share, bool in_transit) {
    if (far.entry.state != ExchangeState::ready || now_ < far.closed_until) return false;
    double window =
        std::max(window_floor, std::ceil(window_slack * far.answered.at(now_) * health_.delay_target));
    if (cold(far)) {
      refill_cold_tokens(far);
      if (far.cold_tokens < 1) return false;
      window = 1;
    }
    // Set-ups stuck at some silent far processors say nothing of the own one: they must not fill its window.
    const double own_window = std::ceil(window_slack * own_answered_.at(now_) * health_.delay_target);
    const auto stuck = scaled(target_delay(), prompt() ? 1 : stuck_after_targets);
    const auto young = std::distance(out_in_all_.lower_bound(now_ - stuck), out_in_all_.end());
    // A call in transit was let in where it came from, and turning it back costs no less than sending it on.
    if (!in_transit && static_cast<double>(young) >= share * std::max(own_window_floor, own_window))
      return false;
    // Where own calls are rarer than the target delay a window brakes nothing; an overdue one only blocks it.
    const bool rare = prompt() && far.rate * health_.delay_target < rare_calls;
    const auto oldest = rare ? far.unanswered.lower_bound(now_ - stuck) : far.unanswered.begin();
    const auto out = std::distance(oldest, far.unanswered.end());
    return in_transit || static_cast<double>(out) < share * window;
  }

  [[nodiscard]] Duration target_delay() const { return Duration{std::llround(health_.delay_target * 1e6)}; }
  /// Answers come promptly over all far processors: an overdue one is then lost or stuck far away, and tells
  /// nothing of a queue here.
  [[nodiscard]] bool prompt() const { return set_up_delay_ < prompt_targets * health_.delay_target; }
  /// The events of this turn came while the own controller stood still: their delays are the stall's.
  [[nodiscard]] bool just_woke() const { return now_ == woke_at_; }
  /// Late tries leave part of the windows to calls that can still be in time.
  [[nodiscard]] double window_share(const Call& call) const {
    return call.kind < s_.classes.size() ? 1.0 : late_window_share;
  }

  // ---- Route choice -----------------------------------------------------------------------------------

  [[nodiscard]] std::uint32_t limit(const Call& call) const {
    const auto own = call.offer.attempt_limit;
    return own == 0 ? s_.attempt_limit : std::min(own, s_.attempt_limit);
  }
  [[nodiscard]] bool skilled(const Call& call, ExchangeNumber number) const {
    if (call.offer.routed) {
      const auto& to = call.offer.alternates;
      return number == call.offer.destination || std::find(to.begin(), to.end(), number) != to.end();
    }
    const auto& pools = s_.classes[call.offer.traffic_class].skilled_pools;
    return !s_.uses_pools || pools.empty() || std::find(pools.begin(), pools.end(), number) != pools.end();
  }
  bool tandem_shows_room(FarExchange& far, const Call& call) {
    if (far.entry.number == s_.home_exchange || far.entry.number == call.offer.destination) return false;
    if (!skilled(call, far.entry.number) || cold(far) || far.f < throttled_below) return false;
    if (far.free < call.offer.circuits + far.reserve(call.offer.circuits)) return false;
    if (delay_now(far, now_, woke_at_) > health_.delay_target) return false;
    const auto back = far.turned_back.find(call.offer.destination);
    if (back != far.turned_back.end() && now_ < back->second.until) return false;
    return takes_set_up(far, window_share(call), call.offer.in_transit);
  }
  /// One random tandem that shows room, likelier the more room it shows and the more calls it gets through:
  /// a thin group often leads to an exchange that has no group to the destination either.
  FarExchange* choose_tandem(const Call& call) {
    FarExchange* chosen = nullptr;
    double weights = 0;
    if (call.offer.routed) {  // the order of the route is the operator's
      for (const auto number : call.offer.alternates) {
        FarExchange* far = serving(number);
        if (far != nullptr && tandem_shows_room(*far, call)) return far;
      }
      return nullptr;
    }
    for (auto& [id, far] : far_) {
      if (!tandem_shows_room(far, call)) continue;
      if (s_.tandem_advice && far.entry.number == call.offer.tandem) return &far;
      const double weight = far.onward * far.onward * (1 + far.free - far.reserve(call.offer.circuits));
      weights += weight;
      if (chance() * weights < weight) chosen = &far;
    }
    return chosen;
  }
  void got_onward(FarExchange& tandem, ExchangeNumber number, bool through) {
    tandem.onward += onward_weight * ((through ? 1 : 0) - tandem.onward);
    if (through) {
      tandem.turned_back.erase(number);
      return;
    }
    auto& back = tandem.turned_back[number];
    back.pause = std::clamp(2 * back.pause, turned_back_first, turned_back_most);
    back.until = now_ + back.pause;
  }
  /// Direct first, else one random tandem. False when there is no way just now.
  bool place(Call& call) {
    FarExchange* direct = serving(call.offer.destination);
    // On a route the next in order takes the place of a first choice that has gone since.
    for (std::size_t i = 0; direct == nullptr && i < call.offer.alternates.size(); ++i)
      direct = serving(call.offer.alternates[i]);
    if (direct == nullptr || now_ < own_down_until_) return false;
    // A subscriber of an exchange whose controller is away may ask here for this very exchange: it is sent
    // nothing from here, but a tandem may have a group to it.
    const bool at_home = direct->entry.number == s_.home_exchange;
    if (at_home && call.offer.in_transit) return false;
    // A throttled call is held, not refused at once: a short pause costs it nothing when f returns in time.
    if (call.throttled &&
        throttled_share(destination(call.offer.destination), worths_, call.kind, direct->f, now_) > 0) {
      return false;
    }
    if (call.attempts >= limit(call) || now_ < call.not_before) return false;
    const double share = window_share(call) * (direct->f < throttled_below ? pressed_window_share : 1);
    const bool direct_open = takes_set_up(*direct, share, call.offer.in_transit);
    if (!direct_open && !s_.uses_pools) return false;  // whatever the way, it ends at this processor
    const double keep = call.offer.in_transit ? direct->reserve(call.offer.circuits) : 0;
    const bool room = !at_home && (!direct->group_told || direct->free >= call.offer.circuits + keep) &&
                      skilled(call, call.offer.destination);
    if (call.attempts == 0 && direct->total > 0)
      direct->blocking += blocking_weight * ((room ? 0 : 1) - direct->blocking);
    if (room && direct_open) {
      send(call, *direct, nullptr);
      return true;
    }
    if (call.offer.in_transit) return false;
    // Without a group to the destination a tandem is the only way: the attempt limit alone binds.
    const bool linked = !direct->group_told || direct->total > 0;
    if (linked && call.tandem_attempts >= tandem_tries) return false;
    FarExchange* tandem = choose_tandem(call);
    if (tandem == nullptr) return false;
    ++call.tandem_attempts;
    send(call, *tandem, s_.uses_pools ? nullptr : direct);
    return true;
  }
  void send(Call& call, FarExchange& far, FarExchange* beyond) {
    call.attempt_out = true;
    call.sent_to = far.entry.exchange;
    call.beyond = beyond == nullptr ? std::nullopt : std::optional(beyond->entry.exchange);
    call.sent_at = now_;
    ++call.attempts;
    for (FarExchange* each : {&far, beyond}) {
      if (each == nullptr) continue;
      each->sent.insert(now_);
      each->unanswered.insert(now_);
      if (cold(*each)) each->cold_tokens -= 1;
    }
    far.free -= call.offer.circuits;
    out_in_all_.insert(now_);
    // A set-up lost in a silent processor would hold its window and f down long after the processor is back.
    const Duration aim = s_.classes[call.offer.traffic_class].set_up_objective;
    Time patience = now_ + scaled(aim, give_up_aims);
    // Where answers come promptly an overdue one is lost: given up in time for another try within the aim.
    const Time in_time = call.first_arrived + aim - s_.release_wait - s_.batch_interval -
                         scaled(target_delay(), another_try_targets);
    if (!call.offer.in_transit && in_time >= now_ + target_delay() && prompt()) patience = in_time;
    act(SendSetUp{call.offer.call, far.entry.exchange, std::min(call.deadline, patience)});
  }

  // ---- Call life --------------------------------------------------------------------------------------

  void hold(Call& call) {
    call.held = true;
    destination(call.offer.destination).held.insert(place_in_line(call));
    set_timer(call, call.hold_until);
  }
  void release(Call& call) {
    if (call.held) destination(call.offer.destination).held.erase(place_in_line(call));
    call.held = false;
  }
  [[nodiscard]] std::tuple<double, Time, CallId> place_in_line(const Call& call) const {
    return {-worths_[call.kind], call.arrived, call.offer.call};
  }
  void set_timer(const Call& call, Time due) { act(SetTimer{due, call.offer.call.value + call_token_base}); }

  /// Who is refused, or leaves by himself, dials the number again.
  void remember_unserved(const Call& call) {
    if (call.offer.called_number != 0 && !call.offer.in_transit && !call.standing) {
      unserved_[call.offer.called_number] = call.first_arrived;
    }
  }
  /// Rule: exactly one final answer. Every end that this controller decides passes here.
  void finish(Call& call, bool refuse) {
    release(call);
    remember_unserved(call);
    const bool provable =
        !call.may_have_run || s_.classes[call.offer.traffic_class].idempotency == Idempotency::idempotent;
    if (refuse && provable) {
      act(Refuse{call.offer.call, s_.sends_retry_after ? s_.max_retry_after : Duration{0}});
    } else {
      act(Fail{call.offer.call});
    }
    calls_.erase(call.offer.call);
  }
  /// Places the call, holds it for room, or refuses it.
  void proceed(Call& call) {
    if (now_ >= call.hold_until) return finish(call, true);
    if (place(call)) return release(call);
    if (call.offer.in_transit || call.attempts >= limit(call)) return finish(call, true);
    if (!call.held) hold(call);
  }
  void pump(Destination& to) {
    const auto line = to.held;  // a copy: proceed changes the line
    for (const auto& [worth, since, id] : line) {
      const auto it = calls_.find(id);
      if (it != calls_.end() && it->second.held && now_ >= it->second.not_before) proceed(it->second);
    }
  }
  /// The attempt's set-up phase is over, well or badly.
  void answered(Call& call) {
    out_in_all_.erase(out_in_all_.find(call.sent_at));
    for (const auto& id : {std::optional(call.sent_to), call.beyond}) {
      FarExchange* far = id ? find(*id) : nullptr;
      if (far == nullptr) continue;
      const auto it = far->unanswered.find(call.sent_at);
      if (it != far->unanswered.end()) far->unanswered.erase(it);
    }
  }

  // ---- Events -----------------------------------------------------------------------------------------

  void on(const Started&) {
    woke_at_ = Time{};  // started, not woken
    started_ = own_answered_.since = offered_.since = now_;
    act(SetTimer{now_ + tick_every, tick_token});
    if (s_.directory_by_subscription) act(SubscribeDirectory{});
  }

  void on(const DirectoryUpdate& update) {
    if (update.kind == DirectoryUpdate::Kind::failed) {
      if (!s_.directory_by_subscription) return;
      act(SetTimer{now_ + subscribe_pause_ + Duration{static_cast<std::int64_t>(random_() % 500000)},
                   subscribe_token});
      subscribe_pause_ = std::min(2 * subscribe_pause_, subscribe_again_most);
      return;
    }
    if (update.kind != DirectoryUpdate::Kind::cached) subscribe_pause_ = subscribe_again_first;
    if (update.kind != DirectoryUpdate::Kind::changes) {
      for (auto& [id, far] : far_) far.entry.state = ExchangeState::gone;
    }
    for (const auto& entry : update.entries) {
      const auto [it, fresh] = far_.try_emplace(entry.exchange);
      auto& far = it->second;
      if (fresh) far.answered.since = now_;
      if (far.entry.started_at !=
          entry.started_at) {  // a new processor: nothing that was known of the old one holds
        far.f = 1;
        far.samples.clear();
        far.delay = 0;
        far.closed_until = Time{};
        far.down_pause = down_pause_first;
        far.cold_tokens = chance();
        far.cold_tokens_at = now_;
      }
      far.entry = entry;
    }
    // Machines are replaced by ones with new ids all day: what is gone and owes no answer is forgotten.
    std::erase_if(far_, [](const auto& each) {
      return each.second.entry.state == ExchangeState::gone && each.second.unanswered.empty();
    });
  }

  void on(const CallOffered& offer) {
    if (offer.traffic_class >= s_.classes.size() || calls_.contains(offer.call)) {
      act(Fail{offer.call});
      return;
    }
    const auto& settings = s_.classes[offer.traffic_class];
    auto& call = calls_[offer.call];
    call.offer = offer;
    if (!std::isfinite(offer.circuits) || offer.circuits < 0) call.offer.circuits = settings.circuits;
    call.arrived = now_;
    call.deadline = now_ + offer.time_left;
    call.hold_until = call.deadline - 2 * s_.batch_interval;
    recognise_redial(call);
    auto& to = destination(offer.destination);
    to.offered[call.kind].count(now_);
    offered_.count(now_);
    FarExchange* direct = serving(offer.destination);
    if (direct != nullptr && !offer.in_transit) {
      const double cut = throttled_share(to, worths_, call.kind, direct->f, now_);
      call.throttled = !passes(to, call.kind, cut);
    }
    if (!just_woke() || offer.in_transit || now_ >= call.hold_until) return proceed(call);
    // The backlog of a stall is looked at as a whole, one step later: callers who left it meanwhile are told
    // of in this same turn, and it goes in the order of the line, not as one burst in that of arrival.
    hold(call);
    set_timer(call, now_ + s_.batch_interval);
  }

  /// A caller dials again the number just refused: that tells a later try where nothing marks it, and how
  /// much of the aim is left. A try past its aim counts as a kind of its own, of its late worth. Another
  /// caller of the same number shortly after a refusal would be taken for a redial.
  void recognise_redial(Call& call) {
    const auto& settings = s_.classes[call.offer.traffic_class];
    call.first_arrived = now_;
    if (call.offer.in_transit || call.offer.was_cut_off) {
      // neither a first try nor a later one
    } else if (const auto it = unserved_.find(call.offer.called_number); it != unserved_.end()) {
      call.first_arrived = it->second;
      unserved_.erase(it);
    } else if (call.offer.redialled) {
      call.first_arrived = now_ - settings.set_up_objective;
    } else {
      // First tries are given the same time; what one lacks it has waited for the own controller's turn.
      auto& longest = longest_try_[call.offer.traffic_class];
      longest = std::max(longest, call.offer.time_left);
      call.first_arrived = now_ - (longest - call.offer.time_left);
    }
    const Time last = call.first_arrived + scaled(settings.set_up_objective, latest_send_share);
    call.kind = call.offer.traffic_class + (now_ >= last ? s_.classes.size() : 0);
    const Time patience = now_ < last ? last : now_ + scaled(settings.set_up_objective, late_hold_share);
    if (!call.offer.in_transit) call.hold_until = std::min(patience, call.deadline - 2 * s_.batch_interval);
  }

  void on(const CallStands& stands) {
    const auto it = calls_.find(stands.call);
    if (it == calls_.end() || !it->second.attempt_out || it->second.standing) return;
    Call& call = it->second;
    call.standing = true;
    answered(call);
    if (!just_woke()) set_up_delay_ += delay_weight * (seconds(stands.elapsed) - set_up_delay_);
    own_answered_.count(now_);
    if (FarExchange* far = find(stands.exchange)) {
      far->missed = 0;
      if (!call.beyond && !just_woke()) hear_delay(*far, stands.elapsed, health_, now_);
      if (call.beyond) got_onward(*far, call.offer.destination, true);
      far->down_pause = down_pause_first;
      far->answered.count(now_);
    }
    pump(destination(call.offer.destination));
  }

  void on(const AttemptEnded& end) {
    FarExchange* far = find(end.exchange);
    if (far != nullptr) hear_report(*far, end.report);
    const auto it = calls_.find(end.call);
    if (it == calls_.end() || !it->second.attempt_out) return;  // told twice
    Call& call = it->second;
    const auto number = call.offer.destination;
    call.attempt_out = false;
    if (!call.standing) {
      answered(call);
      if (far != nullptr) hear_failure(*far, call, end);
    }
    if (end.call_finished || call.over || call.standing) {
      calls_.erase(it);
    } else {
      try_again(call, end);
    }
    pump(destination(number));
  }
  void hear_failure(FarExchange& far, const Call& call, const AttemptEnded& end) {
    switch (end.result) {
      case AttemptResult::connect_failed:
        pause(far, Duration{0});
        break;
      case AttemptResult::timed_out:
        if (!just_woke() && far.missed >= (prompt() ? misses_pressed : 1))
          hear_delay(far, end.elapsed, health_, now_);
        break;
      case AttemptResult::not_sent:
        if (end.cause == FailureCause::processor_full) own_down_until_ = now_ + full_pause;
        break;
      case AttemptResult::not_set_up:
        if (end.cause == FailureCause::destination_processor_full) {
          if (FarExchange* beyond = call.beyond ? find(*call.beyond) : nullptr)
            turned_away(*beyond, Duration{0});
        }
        if (end.cause == FailureCause::processor_full) turned_away(far, end.wait_hint);
        if (call.beyond) got_onward(far, call.offer.destination, false);
        break;
      default:
        break;
    }
  }
  void hear_report(FarExchange& far, const LoadReport& report) {
    if (const auto total = heard(report.total_circuits)) far.total = *total;
    if (const auto free = heard(report.free_circuits)) {
      far.free = *free;
      far.group_told = true;
    }
    if (const auto rho = rho_of(report, far.f, health_.delay_target, offered_.at(now_)))
      far.sample(*rho, true, now_);
  }
  void turned_away(FarExchange& far, Duration hint) {
    far.sample(full_rho, true, now_);
    pause(far, hint);
  }
  /// No set-up to a processor that was full or not reached, twice as long each time until a call stands.
  void pause(FarExchange& far, Duration hint) {
    far.closed_until = now_ + std::max(hint, far.down_pause);
    far.down_pause = std::min(2 * far.down_pause, down_pause_most);
  }
  /// The call is still owed its answer: another attempt after the release wait, or an end.
  void try_again(Call& call, const AttemptEnded& end) {
    const bool never_ran = end.result == AttemptResult::not_set_up || end.result == AttemptResult::not_sent ||
                           end.result == AttemptResult::connect_failed;
    if (call.offer.retry_wait > Duration{0}) {
      call.not_before = now_ + call.offer.retry_wait;
      set_timer(call, call.not_before);
    }
    if (never_ran) return proceed(call);
    call.may_have_run = true;
    if (end.cause == FailureCause::number_busy) return finish(call, true);
    if (end.result == AttemptResult::error && ++call.errors > errors_most) return finish(call, false);
    const auto& settings = s_.classes[call.offer.traffic_class];
    // Rule: the release is awaited, counted from the batch that told of the end.
    if (end.result != AttemptResult::error)
      call.not_before = std::max(call.not_before, now_ + s_.release_wait + s_.batch_interval);
    const Time latest =
        std::min(call.arrived + settings.set_up_objective, call.deadline - 2 * s_.batch_interval);
    if (settings.idempotency != Idempotency::idempotent || call.not_before >= latest ||
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
    release(call);
    call.over = true;
    // What is still on its way to a caller who left is work for nothing.
    if (call.attempt_out && !call.standing && s_.cancelling) act(Cancel{left.call, call.attempts - 1});
    if (!call.attempt_out) calls_.erase(it);
  }

  void on(const TimerDue& timer) {
    if (timer.token == tick_token) return tick();
    if (timer.token == subscribe_token) return act(SubscribeDirectory{});
    const auto it = calls_.find(CallId{timer.token - call_token_base});
    if (it != calls_.end() && it->second.held && now_ >= it->second.not_before) proceed(it->second);
  }
  void tick() {
    act(SetTimer{now_ + tick_every, tick_token});
    if (now_ - assessed_at_ >= assess_every) {
      assessed_at_ = now_;
      for (auto& [id, far] : far_) {
        assess(far, health_, usual_rate(far.entry.number), now_, woke_at_, prompt());
        log_state(far);
      }
    }
    Duration longest{0};
    for (const auto& c : s_.classes) longest = std::max(longest, c.give_up_after);
    std::erase_if(unserved_, [&](const auto& each) { return now_ - each.second > longest; });
    for (auto& [number, to] : destinations_) {
      if (!to.held.empty()) pump(to);
    }
  }
  void log_state(FarExchange& far) {
    const bool holding = far.f < throttled_below;
    if (holding == far.holding_back || now_ - far.logged_at < log_gap) return;
    far.holding_back = holding;
    far.logged_at = now_;
    act(LogLine{(holding ? "holding back towards exchange " : "no longer holding back towards exchange ") +
                std::to_string(far.entry.number)});
  }

  void on(const ExchangeReport& report) {
    FarExchange* far = find(report.exchange);
    if (far == nullptr) return;
    hear_report(*far, report.report);
    if (const auto it = destinations_.find(far->entry.number); it != destinations_.end()) pump(it->second);
  }
  void on(const PeerMessage&) {}  // nothing is shared between controllers

  Settings s_;
  HealthSettings health_;
  std::mt19937_64 random_;
  Time now_;
  std::vector<Action>* out_ = nullptr;
  std::map<ExchangeId, FarExchange> far_;
  std::map<ExchangeNumber, Destination> destinations_;
  std::map<CallId, Call> calls_;
  std::map<std::uint64_t, Time> unserved_;  // numbers called in vain lately, with the time of the first try
  std::vector<double> worths_;              // of each kind of call
  Time assessed_at_;
  std::multiset<Time> out_in_all_;  // when the set-ups were sent that are still out
  FadingRate own_answered_, offered_;
  double set_up_delay_ = 0;  // smoothed, over all far processors, seconds
  Time own_down_until_, woke_at_, started_;
  std::vector<Duration> longest_try_;  // time left of the longest try so far, of each class
  Duration subscribe_pause_ = subscribe_again_first;
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
