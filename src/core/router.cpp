#include "core/router.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace heathturn {

using namespace maddershed;

Router::Router(Clock& clock, Deadlines& deadlines, const Settings& settings, std::uint64_t seed)
    : Router(clock, deadlines, to_ms(settings.release_wait),
             [module = std::make_shared<CallController>(settings, seed)](Time now, const Event& event,
                                                                         std::vector<Action>& actions) {
               module->handle(now, event, actions);
             }) {}

Router::Router(Clock& clock, Deadlines& deadlines, double release_wait_ms, Decide decide)
    : clock_(clock),
      deadlines_(deadlines),
      log_([](LogLevel, const char*, const std::vector<LogField>&) {}),
      decide_(std::move(decide)),
      release_wait_ms_(release_wait_ms) {}

void Router::start() { feed(Started{}); }

/// An action may bring the next event from within itself (a refused send, say): events wait in line, so that
/// the module sees one at a time.
void Router::feed(Event event) {
  events_.push_back(std::move(event));
  if (feeding_) return;
  feeding_ = true;
  std::vector<Action> actions;
  while (!events_.empty()) {
    const auto next = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    decide_(module_time(clock_.now()), next, actions);
    for (const auto& action : actions) std::visit([this](const auto& each) { act(each); }, action);
  }
  feeding_ = false;
}

// ---- Fronts -------------------------------------------------------------------------------------------

void Router::offer(Front& front, Request request, const std::function<void(Handle)>& taken) {
  const double now = clock_.now();
  CallOffered call;
  call.traffic_class = request.traffic_class;
  call.circuits = request.circuits;
  call.destination = request.destination;
  call.tandem = request.advised;
  call.in_transit = request.in_transit;
  call.redialled = request.redialled;
  call.was_cut_off = request.cut_before;
  call.called_number = request.number_called;
  call.routed = request.routed;
  call.alternates = request.alternates;
  call.attempt_limit = request.most_attempts;
  call.retry_wait = to_duration(request.retry_wait_ms);
  const double left = std::max(0.0, request.left_ms - answer_margin_ms);
  call.time_left = to_duration(left);
  Open open;
  open.request = std::move(request);
  open.front = &front;
  open.since = now;
  open.deadline = now + left;
  const auto handle = requests_.add(std::move(open));
  ++open_;
  ++counts_.offered;
  call.call.value = handle;
  taken(handle);
  // Whatever the module does, the caller has its answer before it gives up.
  requests_.find(handle)->backstop = deadlines_.set(now + left + 1, [this, handle] {
    if (auto* late = requests_.find(handle); late != nullptr) {
      late->backstop = {};
      conclude(handle, false, 0);
      feed(CallerLeft{CallId{handle}});
    }
  });
  feed(call);
}

void Router::caller_left(Handle handle) {
  auto* open = requests_.find(handle);
  if (open == nullptr || open->answered) return;
  open->answered = true;
  --open_;
  ++counts_.left;
  deadlines_.cancel(open->backstop);
  feed(CallerLeft{CallId{handle}});
  drop(handle);
}

void Router::caller_released(Handle handle) {
  auto* open = requests_.find(handle);
  if (open == nullptr || !open->standing) return;
  const auto attempt = open->attempt;
  open->front = nullptr;  // it said so itself
  carrier_->release(attempt);
  finish_attempt(attempt, {.result = AttemptResult::cancelled});
}

/// Every final answer that the caller gets without a standing call passes here, once.
void Router::conclude(Handle handle, bool refuse, double wait_ms) {
  auto* open = requests_.find(handle);
  if (open == nullptr || open->answered) return;
  open->answered = true;
  --open_;
  ++(refuse ? counts_.refused : counts_.failed);
  deadlines_.cancel(open->backstop);
  Front* front = open->front;
  if (refuse) {
    front->refused(handle, wait_ms);
  } else {
    front->failed(handle);
  }
  // What is still out must not go on as a call that nobody waits for.
  if (open = requests_.find(handle); open != nullptr && open->attempt != no_handle) {
    const auto attempt = open->attempt;
    if (auto* out = attempts_.find(attempt); out != nullptr && out->on_the_way) carrier_->give_up(attempt);
    finish_attempt(attempt, {.result = AttemptResult::cancelled});
  }
  drop(handle);
}

/// Forgets a request that is owed nothing and has nothing out.
void Router::drop(Handle handle) {
  auto* open = requests_.find(handle);
  if (open == nullptr || !open->answered || open->attempt != no_handle) return;
  deadlines_.cancel(open->backstop);
  requests_.erase(handle);
}

// ---- Actions of the module ----------------------------------------------------------------------------

void Router::act(const SendSetUp& action) {
  const Handle handle = action.call.value;
  auto* open = requests_.find(handle);
  if (open == nullptr || open->answered) return;
  if (open->attempt != no_handle) {
    // Rule: never two attempts out.
    log_(LogLevel::warn, "attempt_suppressed", {{"cause", "another_is_out"}});
    return;
  }
  const auto asked = open->request.most_attempts;
  if (open->attempts >= (asked == 0 ? most_attempts_ever : std::min(asked, most_attempts_ever))) {
    // Rule: at most so many attempts. The caller is told at once, and the module that this one never left.
    log_(LogLevel::warn, "attempt_suppressed", {{"cause", "limit"}});
    conclude(handle, false, 0);
    feed(CallerLeft{CallId{handle}});
    return;
  }
  const double now = clock_.now();
  Attempt attempt;
  attempt.request = handle;
  attempt.exchange = action.exchange;
  attempt.number = open->attempts++;
  attempt.sent = now;
  const auto id = attempts_.add(std::move(attempt));
  open->attempt = id;
  const auto known = exchanges_.find(action.exchange);
  if (known == exchanges_.end() || known->second.state != ExchangeState::ready) {
    // Rule: nothing new to a converter that drains or is gone.
    log_(LogLevel::warn, "attempt_suppressed", {{"cause", "not_in_service"}});
    finish_attempt(id, {.result = AttemptResult::not_sent});
    return;
  }
  const double due = std::max(now, std::min(to_ms(action.deadline), open->deadline));
  attempts_.find(id)->deadline = deadlines_.set(due, [this, id] {
    auto* out = attempts_.find(id);
    if (out == nullptr) return;
    out->deadline = {};
    const bool sent = out->on_the_way;
    if (sent) carrier_->give_up(id);
    finish_attempt(id, {.result = sent ? AttemptResult::timed_out : AttemptResult::not_sent});
  });
  if (now < open->not_before) {
    // Rule: the release is awaited after a time-out, a reset or a cancel.
    log_(LogLevel::info, "attempt_held", {{"cause", "release_wait"}});
    deadlines_.set(open->not_before, [this, id] { depart(id); });
    return;
  }
  depart(id);
}

void Router::depart(Handle id) {
  auto* attempt = attempts_.find(id);
  if (attempt == nullptr) return;
  const auto* open = requests_.find(attempt->request);
  const auto known = exchanges_.find(attempt->exchange);
  // The converter may have begun to drain while the attempt was held.
  if (known == exchanges_.end() || known->second.state != ExchangeState::ready) {
    finish_attempt(id, {.result = AttemptResult::not_sent});
    return;
  }
  attempt->on_the_way = true;
  attempt->sent = clock_.now();
  ++counts_.attempts;
  const double left = std::max(1.0, attempt->deadline.due - attempt->sent);
  carrier_->send(id, attempt->exchange, open->request, left);
}

void Router::act(const Refuse& action) { conclude(action.call.value, true, to_ms(action.retry_after)); }
void Router::act(const Fail& action) { conclude(action.call.value, false, 0); }

void Router::act(const Cancel& action) {
  auto* open = requests_.find(action.call.value);
  if (open == nullptr || open->standing || open->attempt == no_handle) return;
  const auto id = open->attempt;
  auto* attempt = attempts_.find(id);
  if (attempt->number != action.attempt) return;
  if (attempt->on_the_way) carrier_->give_up(id);
  finish_attempt(id, {.result = AttemptResult::cancelled});
}

void Router::act(const SetTimer& action) {
  deadlines_.set(to_ms(action.due) + 0.001, [this, token = action.token] { feed(TimerDue{token}); });
}
void Router::act(const Probe& action) { carrier_->probe(action.exchange); }
void Router::act(const LogLine& action) { log_(LogLevel::info, "module", {{"text", action.text}}); }

// ---- Carriers -----------------------------------------------------------------------------------------

bool Router::is_standing(Handle id) {
  auto* attempt = attempts_.find(id);
  auto* open = attempt == nullptr ? nullptr : requests_.find(attempt->request);
  return open != nullptr && open->standing;
}

std::size_t Router::standing_at(ExchangeId exchange) const {
  const auto it = standing_at_.find(exchange);
  return it == standing_at_.end() ? 0 : it->second;
}

std::vector<Router::CallView> Router::calls() {
  std::vector<CallView> out;
  for (const auto handle : requests_.handles()) {
    const auto& open = *requests_.find(handle);
    out.push_back({open.request.name, open.request.class_name, open.standing, open.attempts,
                   clock_.now() - open.since});
  }
  return out;
}

void Router::stands(Handle id, const std::string& answer) {
  auto* attempt = attempts_.find(id);
  if (attempt == nullptr) return;
  const auto handle = attempt->request;
  auto* open = requests_.find(handle);
  if (open->standing) return;
  deadlines_.cancel(attempt->deadline);
  if (open->answered) {
    // The caller has left, and the module lets its attempts run where it may not cancel: nobody wants this.
    carrier_->release(id);
    finish_attempt(id, {.result = AttemptResult::cancelled});
    return;
  }
  open->answered = true;
  open->standing = true;
  --open_;
  ++counts_.served;
  ++standing_at_[attempt->exchange];
  deadlines_.cancel(open->backstop);
  const CallStands event{CallId{handle}, attempt->number, attempt->exchange,
                         to_duration(clock_.now() - attempt->sent)};
  open->front->served(handle, answer);
  // The call may stand for long, and nobody asks for its description again.
  if (open = requests_.find(handle); open != nullptr) std::string().swap(open->request.body);
  feed(event);
}

void Router::ended(Handle id, const Outcome& outcome) { finish_attempt(id, outcome); }

void Router::finish_attempt(Handle id, const Outcome& outcome) {
  auto* attempt = attempts_.find(id);
  if (attempt == nullptr) return;
  const double now = clock_.now();
  const auto handle = attempt->request;
  auto* open = requests_.find(handle);
  AttemptEnded event;
  event.call.value = handle;
  event.attempt = attempt->number;
  event.exchange = attempt->exchange;
  event.result = outcome.result;
  event.cause = outcome.cause;
  event.wait_hint = to_duration(outcome.wait_hint_ms);
  event.elapsed = to_duration(now - attempt->sent);
  event.report = outcome.report;
  event.call_finished = open->answered;
  deadlines_.cancel(attempt->deadline);
  if (open->standing) {
    if (--standing_at_[attempt->exchange] == 0) standing_at_.erase(attempt->exchange);
    const bool normal = outcome.result == AttemptResult::ended;
    if (!normal) ++counts_.cut;
    if (open->front != nullptr) open->front->over(handle, normal ? CallEnd::normal : CallEnd::cut);
    open = requests_.find(handle);
  }
  attempts_.erase(id);
  open->attempt = no_handle;
  if (outcome.result == AttemptResult::timed_out || outcome.result == AttemptResult::reset ||
      outcome.result == AttemptResult::cancelled) {
    // The same clock reading as the module's, which counts its own wait from this event.
    open->not_before = now + std::max(release_wait_ms_, open->request.retry_wait_ms);
  } else {
    open->not_before = std::max(open->not_before, now + open->request.retry_wait_ms);
  }
  drop(handle);
  feed(event);
}

void Router::report(ExchangeId exchange, const LoadReport& report, bool ok, double elapsed) {
  feed(ExchangeReport{exchange, ok, to_duration(elapsed), report});
}

void Router::directory(const DirectoryUpdate& update) {
  if (update.kind == DirectoryUpdate::Kind::snapshot || update.kind == DirectoryUpdate::Kind::cached) {
    for (auto& [id, entry] : exchanges_) entry.state = ExchangeState::gone;
  }
  for (const auto& entry : update.entries) exchanges_[entry.exchange] = entry;
  // Guards against growth: ids are new all day long, and what is not listed counts as gone.
  std::erase_if(exchanges_, [](const auto& each) { return each.second.state == ExchangeState::gone; });
  feed(update);
}

void Router::exchange_lost(ExchangeId exchange, double before) {
  if (standing_at(exchange) == 0) return;
  for (const auto id : attempts_.handles()) {
    auto* attempt = attempts_.find(id);
    if (attempt == nullptr || attempt->exchange != exchange) continue;
    const auto* open = requests_.find(attempt->request);
    if (!open->standing || attempt->sent >= before) continue;
    carrier_->release(id);
    finish_attempt(id, {.result = AttemptResult::reset});
  }
}

}  // namespace heathturn
