#include "core/router.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <memory>
#include <utility>

namespace heathturn {

using namespace maddershed;

namespace {

const char* text_of(AttemptResult result) {
  switch (result) {
    case AttemptResult::ended:
      return "ended";
    case AttemptResult::error:
      return "error";
    case AttemptResult::not_set_up:
      return "not_set_up";
    case AttemptResult::timed_out:
      return "timed_out";
    case AttemptResult::connect_failed:
      return "connect_failed";
    case AttemptResult::reset:
      return "reset";
    case AttemptResult::cancelled:
      return "cancelled";
    case AttemptResult::not_sent:
      break;
  }
  return "not_sent";
}

/// Eight hexadecimal digits.
std::string text_of(ExchangeId exchange) {
  std::array<char, 9> text{};
  std::snprintf(text.data(), text.size(), "%08x", exchange.value);
  return text.data();
}

std::int64_t whole_ms(double duration_ms) { return std::llround(duration_ms); }

}  // namespace

Router::Router(Clock& clock, TimerQueue& timers, const Settings& settings, std::uint64_t seed)
    : Router(clock, timers, to_ms(settings.release_wait),
             [controller = std::make_shared<CallController>(settings, seed)](Time now, const Event& event,
                                                                             std::vector<Action>& actions) {
               controller->handle(now, event, actions);
             }) {}

Router::Router(Clock& clock, TimerQueue& timers, double release_wait_ms, DecisionFunction decide)
    : clock_(clock),
      timers_(timers),
      log_([](LogLevel, const char*, const std::vector<LogField>&) {}),
      request_log_(clock),
      decide_(std::move(decide)),
      release_wait_ms_(release_wait_ms) {}

void Router::start() { process_event(Started{}); }

/// Performing an action may cause another event, such as the failure of a send. Events are queued, so that
/// the module processes one at a time.
void Router::process_event(Event event) {
  events_.push_back(std::move(event));
  if (processing_) return;
  processing_ = true;
  std::vector<Action> actions;
  while (!events_.empty()) {
    const auto next = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    decide_(to_time(clock_.now_ms()), next, actions);
    for (const auto& action : actions) std::visit([this](const auto& each) { perform(each); }, action);
  }
  processing_ = false;
}

// ---- Calls by frontends -------------------------------------------------------------------------------

void Router::offer(Frontend& frontend, Request request, const std::function<void(Handle)>& on_accepted) {
  const double now_ms = clock_.now_ms();
  CallOffered event;
  event.traffic_class = request.traffic_class;
  event.circuits = request.circuits;
  event.destination = request.destination;
  event.tandem = request.tandem;
  event.in_transit = request.in_transit;
  event.redialled = request.redialled;
  event.was_cut_off = request.was_cut_off;
  event.called_number = request.called_number;
  event.routed = request.routed;
  event.alternates = request.alternates;
  event.attempt_limit = request.attempt_limit;
  event.retry_wait = to_duration(request.retry_wait_ms);
  const double time_left_ms = std::max(0.0, request.time_left_ms - answer_margin_ms);
  event.time_left = to_duration(time_left_ms);
  RequestState state;
  state.request = std::move(request);
  state.frontend = &frontend;
  state.offered_at_ms = now_ms;
  state.deadline_ms = now_ms + time_left_ms;
  const auto handle = requests_.add(std::move(state));
  ++pending_count_;
  ++counts_.offered;
  event.call.value = handle;
  on_accepted(handle);
  // Whatever the module decides, the caller gets its answer before it gives up. The timer runs 1 ms after the
  // module's own deadline, so that the module can answer first.
  requests_.find(handle)->answer_timer = timers_.schedule(now_ms + time_left_ms + 1, [this, handle] {
    if (auto* late = requests_.find(handle); late != nullptr) {
      late->answer_timer = {};
      answer_without_call(handle, false, 0, "deadline");
      process_event(CallerLeft{CallId{handle}});
    }
  });
  process_event(event);
}

void Router::caller_left(Handle handle) {
  auto* state = requests_.find(handle);
  if (state == nullptr || state->answered) return;
  state->answered = true;
  --pending_count_;
  ++counts_.abandoned;
  request_log_.write(LogLevel::debug, "caller_left", [&] {
    return std::vector<LogField>{{"call", state->request.wire_id}, {"attempts", state->attempts}};
  });
  timers_.cancel(state->answer_timer);
  process_event(CallerLeft{CallId{handle}});
  erase_if_done(handle);
}

void Router::caller_released(Handle handle) {
  auto* state = requests_.find(handle);
  if (state == nullptr || !state->established) return;
  const auto attempt = state->attempt;
  state->frontend = nullptr;  // it reported the release itself and needs no on_call_ended()
  backend_->release_call(attempt);
  finish_attempt(attempt, {.result = AttemptResult::cancelled});
}

/// Gives the final answer to a request whose call was not established. Each such answer is given here, once.
void Router::answer_without_call(Handle handle, bool refuse, double wait_ms, const char* reason) {
  auto* state = requests_.find(handle);
  if (state == nullptr || state->answered) return;
  state->answered = true;
  --pending_count_;
  ++(refuse ? counts_.refused : counts_.failed);
  request_log_.write(LogLevel::info, refuse ? "request_refused" : "request_failed", [&] {
    return std::vector<LogField>{{"call", state->request.wire_id},
                                 {"reason", reason},
                                 {"attempts", state->attempts},
                                 {"after_ms", whole_ms(clock_.now_ms() - state->offered_at_ms)}};
  });
  timers_.cancel(state->answer_timer);
  Frontend* frontend = state->frontend;
  if (refuse) {
    frontend->on_request_refused(handle, wait_ms);
  } else {
    frontend->on_request_failed(handle);
  }
  // An attempt still in flight must not establish a call that nobody waits for.
  if (state = requests_.find(handle); state != nullptr && state->attempt != no_handle) {
    const auto id = state->attempt;
    if (auto* attempt = attempts_.find(id); attempt != nullptr && attempt->was_sent)
      backend_->abandon_attempt(id);
    finish_attempt(id, {.result = AttemptResult::cancelled});
  }
  erase_if_done(handle);
}

/// Erases a request that has its final answer and no attempt in flight.
void Router::erase_if_done(Handle handle) {
  auto* state = requests_.find(handle);
  if (state == nullptr || !state->answered || state->attempt != no_handle) return;
  timers_.cancel(state->answer_timer);
  requests_.erase(handle);
}

// ---- Actions of the module ----------------------------------------------------------------------------

void Router::perform(const SendSetUp& action) {
  const Handle handle = action.call.value;
  auto* state = requests_.find(handle);
  if (state == nullptr || state->answered) return;
  if (state->attempt != no_handle) {
    // Rule: a request never has two attempts in flight.
    log_(LogLevel::warn, "attempt_suppressed",
         {{"cause", "another_is_out"}, {"call", state->request.wire_id}});
    return;
  }
  const auto limit = state->request.attempt_limit;
  if (state->attempts >=
      (limit == 0 ? max_attempts_per_request : std::min(limit, max_attempts_per_request))) {
    // Rule: the number of attempts is limited. The caller gets its answer at once, and the module is told
    // that the call is over.
    log_(LogLevel::warn, "attempt_suppressed", {{"cause", "limit"}, {"call", state->request.wire_id}});
    answer_without_call(handle, false, 0, "attempt_limit");
    process_event(CallerLeft{CallId{handle}});
    return;
  }
  const double now_ms = clock_.now_ms();
  Attempt attempt;
  attempt.request = handle;
  attempt.exchange = action.exchange;
  attempt.index = state->attempts++;
  attempt.sent_at_ms = now_ms;
  const auto id = attempts_.add(std::move(attempt));
  state->attempt = id;
  const auto known = exchanges_.find(action.exchange);
  if (known == exchanges_.end() || known->second.state != ExchangeState::ready) {
    // Rule: a converter that drains or is gone gets no new attempts.
    log_(LogLevel::warn, "attempt_suppressed",
         {{"cause", "not_in_service"}, {"call", state->request.wire_id}});
    finish_attempt(id, {.result = AttemptResult::not_sent});
    return;
  }
  const double due_ms = std::max(now_ms, std::min(to_ms(action.deadline), state->deadline_ms));
  attempts_.find(id)->deadline_timer = timers_.schedule(due_ms, [this, id] {
    auto* late = attempts_.find(id);
    if (late == nullptr) return;
    late->deadline_timer = {};
    const bool was_sent = late->was_sent;
    if (was_sent) backend_->abandon_attempt(id);
    finish_attempt(id, {.result = was_sent ? AttemptResult::timed_out : AttemptResult::not_sent});
  });
  if (now_ms < state->next_attempt_ms) {
    // Rule: after a timeout, a reset or a cancellation the next attempt waits for the release of the last
    // one.
    log_(LogLevel::info, "attempt_held", {{"cause", "release_wait"}, {"call", state->request.wire_id}});
    timers_.schedule(state->next_attempt_ms, [this, id] { send_attempt(id); });
    return;
  }
  send_attempt(id);
}

void Router::send_attempt(Handle id) {
  auto* attempt = attempts_.find(id);
  if (attempt == nullptr) return;
  const auto* state = requests_.find(attempt->request);
  const auto known = exchanges_.find(attempt->exchange);
  // The converter may have begun to drain while the attempt was held.
  if (known == exchanges_.end() || known->second.state != ExchangeState::ready) {
    finish_attempt(id, {.result = AttemptResult::not_sent});
    return;
  }
  attempt->was_sent = true;
  attempt->sent_at_ms = clock_.now_ms();
  ++counts_.attempts;
  if (attempt->index > 0) ++counts_.retries;
  log_attempt_sent(*state, *attempt);
  const double time_left_ms = std::max(1.0, attempt->deadline_timer.due_ms - attempt->sent_at_ms);
  backend_->send_attempt(id, attempt->exchange, state->request, time_left_ms);
}

void Router::perform(const Refuse& action) {
  answer_without_call(action.call.value, true, to_ms(action.retry_after), "decision");
}
void Router::perform(const Fail& action) { answer_without_call(action.call.value, false, 0, "decision"); }

void Router::perform(const Cancel& action) {
  auto* state = requests_.find(action.call.value);
  if (state == nullptr || state->established || state->attempt == no_handle) return;
  const auto id = state->attempt;
  auto* attempt = attempts_.find(id);
  if (attempt->index != action.attempt) return;
  if (attempt->was_sent) backend_->abandon_attempt(id);
  finish_attempt(id, {.result = AttemptResult::cancelled});
}

void Router::perform(const SetTimer& action) {
  // One microsecond late, so that truncation to the module's microseconds never makes the event early.
  timers_.schedule(to_ms(action.due) + 0.001,
                   [this, token = action.token] { process_event(TimerDue{token}); });
}
void Router::perform(const Probe& action) { backend_->probe(action.exchange); }
void Router::perform(const LogLine& action) { log_(LogLevel::info, "module", {{"text", action.text}}); }

// ---- Calls by backends --------------------------------------------------------------------------------

bool Router::is_established(Handle id) {
  auto* attempt = attempts_.find(id);
  auto* state = attempt == nullptr ? nullptr : requests_.find(attempt->request);
  return state != nullptr && state->established;
}

std::size_t Router::established_count_at(ExchangeId exchange) const {
  const auto it = established_at_.find(exchange);
  return it == established_at_.end() ? 0 : it->second;
}

std::vector<Router::CallView> Router::calls() {
  std::vector<CallView> views;
  for (const auto handle : requests_.handles()) {
    const auto& state = *requests_.find(handle);
    views.push_back({state.request.wire_id, state.request.class_name, state.established, state.attempts,
                     clock_.now_ms() - state.offered_at_ms});
  }
  return views;
}

void Router::attempt_succeeded(Handle id, const std::string& answer) {
  auto* attempt = attempts_.find(id);
  if (attempt == nullptr) return;
  const auto handle = attempt->request;
  auto* state = requests_.find(handle);
  if (state->established) return;
  timers_.cancel(attempt->deadline_timer);
  if (state->answered) {
    // The caller has left. Where the module may not cancel, its attempts go on; their calls are released.
    backend_->release_call(id);
    finish_attempt(id, {.result = AttemptResult::cancelled});
    return;
  }
  state->answered = true;
  state->established = true;
  --pending_count_;
  ++established_at_[attempt->exchange];
  timers_.cancel(state->answer_timer);
  const CallStands event{CallId{handle}, attempt->index, attempt->exchange,
                         to_duration(clock_.now_ms() - attempt->sent_at_ms)};
  const bool answer_sent = state->frontend->on_request_served(handle, answer);
  ++(answer_sent ? counts_.served : counts_.abandoned);
  // Frees the memory of the body, which is not needed again; the call may last long.
  if (state = requests_.find(handle); state != nullptr) std::string().swap(state->request.body);
  process_event(event);
  // Nobody would release a call that its caller was never told of.
  if (!answer_sent) caller_released(handle);
}

void Router::attempt_ended(Handle id, const AttemptOutcome& outcome) { finish_attempt(id, outcome); }

void Router::finish_attempt(Handle id, const AttemptOutcome& outcome) {
  auto* attempt = attempts_.find(id);
  if (attempt == nullptr) return;
  const double now_ms = clock_.now_ms();
  const auto handle = attempt->request;
  auto* state = requests_.find(handle);
  AttemptEnded event;
  event.call.value = handle;
  event.attempt = attempt->index;
  event.exchange = attempt->exchange;
  event.result = outcome.result;
  event.cause = outcome.cause;
  event.wait_hint = to_duration(outcome.wait_hint_ms);
  event.elapsed = to_duration(now_ms - attempt->sent_at_ms);
  event.report = outcome.report;
  event.call_finished = state->answered;
  event.exchange_excluded = outcome.exchange_excluded;
  if (outcome.exchange_excluded)
    log_(LogLevel::info, "attempt_suppressed",
         {{"cause", "release_unacknowledged"}, {"call", state->request.wire_id}});
  timers_.cancel(attempt->deadline_timer);
  log_attempt_ended(*state, *attempt, outcome);
  if (!state->established) count_attempt_without_call(outcome.result);
  if (state->established) {
    if (--established_at_[attempt->exchange] == 0) established_at_.erase(attempt->exchange);
    const bool normal = outcome.result == AttemptResult::ended;
    if (!normal) ++counts_.cut_off;
    if (state->frontend != nullptr)
      state->frontend->on_call_ended(handle, normal ? CallEnd::normal : CallEnd::cut_off);
    state = requests_.find(handle);
  }
  attempts_.erase(id);
  state->attempt = no_handle;
  if (outcome.result == AttemptResult::timed_out || outcome.result == AttemptResult::reset ||
      outcome.result == AttemptResult::cancelled) {
    // The clock is read once, since the module counts its own wait from this event.
    state->next_attempt_ms = now_ms + std::max(release_wait_ms_, state->request.retry_wait_ms);
  } else {
    state->next_attempt_ms = std::max(state->next_attempt_ms, now_ms + state->request.retry_wait_ms);
  }
  erase_if_done(handle);
  process_event(event);
}

/// The first attempt of a request is logged in detail only: the usual request has no other one.
void Router::log_attempt_sent(const RequestState& state, const Attempt& attempt) {
  request_log_.write(attempt.index > 0 ? LogLevel::info : LogLevel::debug, "attempt_sent", [&] {
    return std::vector<LogField>{{"call", state.request.wire_id},
                                 {"attempt", attempt.index},
                                 {"converter", text_of(attempt.exchange)}};
  });
}

void Router::log_attempt_ended(const RequestState& state, const Attempt& attempt,
                               const AttemptOutcome& outcome) {
  const bool usual = state.established && outcome.result == AttemptResult::ended;
  request_log_.write(usual ? LogLevel::debug : LogLevel::info, "attempt_ended", [&] {
    return std::vector<LogField>{{"call", state.request.wire_id},
                                 {"attempt", attempt.index},
                                 {"converter", text_of(attempt.exchange)},
                                 {"result", text_of(outcome.result)},
                                 {"code", outcome.cause_code},
                                 {"established", state.established ? "yes" : "no"},
                                 {"after_ms", whole_ms(clock_.now_ms() - attempt.sent_at_ms)}};
  });
}

void Router::count_attempt_without_call(AttemptResult result) {
  switch (result) {
    case AttemptResult::timed_out:
      ++counts_.timed_out;
      return;
    case AttemptResult::reset:
      ++counts_.reset;
      return;
    case AttemptResult::connect_failed:
    case AttemptResult::not_sent:
      ++counts_.not_sent;
      return;
    case AttemptResult::cancelled:
      return;
    case AttemptResult::ended:
    case AttemptResult::error:
    case AttemptResult::not_set_up:
      ++counts_.rejected;
  }
}

void Router::message_unmatched(ExchangeId exchange, const std::string& wire_id, const char* kind,
                               const char* reason, int code) {
  ++counts_.unmatched;
  request_log_.write(LogLevel::info, "message_unmatched", [&] {
    return std::vector<LogField>{{"call", wire_id},
                                 {"converter", text_of(exchange)},
                                 {"message", kind},
                                 {"code", code},
                                 {"reason", reason}};
  });
}

void Router::exchange_reported(ExchangeId exchange, const LoadReport& report, bool succeeded,
                               double elapsed_ms) {
  process_event(ExchangeReport{exchange, succeeded, to_duration(elapsed_ms), report});
}

void Router::directory_updated(const DirectoryUpdate& update) {
  if (update.kind == DirectoryUpdate::Kind::snapshot || update.kind == DirectoryUpdate::Kind::cached) {
    for (auto& [id, entry] : exchanges_) entry.state = ExchangeState::gone;
  }
  for (const auto& entry : update.entries) exchanges_[entry.exchange] = entry;
  // Replaced exchanges get new ids, so the map would otherwise grow without limit. Unlisted ones count as
  // gone.
  std::erase_if(exchanges_, [](const auto& each) { return each.second.state == ExchangeState::gone; });
  process_event(update);
}

void Router::exchange_lost(ExchangeId exchange, double before_ms) {
  if (established_count_at(exchange) == 0) return;
  for (const auto id : attempts_.handles()) {
    auto* attempt = attempts_.find(id);
    if (attempt == nullptr || attempt->exchange != exchange) continue;
    const auto* state = requests_.find(attempt->request);
    if (!state->established || attempt->sent_at_ms >= before_ms) continue;
    backend_->release_call(id);
    finish_attempt(id, {.result = AttemptResult::reset});
  }
}

}  // namespace heathturn
