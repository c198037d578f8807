#include "platform/converter_backend.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "net/tls/ending.hpp"

namespace heathturn {

using namespace maddershed;

namespace {

constexpr double retry_first_ms = 50;  // between attempts to connect, doubling
constexpr double retry_most_ms = 1000;
constexpr std::size_t most_unsaid = 4096;  // releases kept for a converter that cannot be reached
constexpr double watch_every_ms = 100;
constexpr double heard_apart_ms = 150;    // what one connection may tell later than the other
constexpr double behind_wait_ms = 400;    // for the test of one that is behind while the other is heard
constexpr double silent_after_ms = 2000;  // nothing heard, while calls stand: a test is sent
constexpr double test_wait_ms = 1000;     // and not answered by then: the connections are dead
// Rule: the caller of a call that nobody releases hears of its end within 8 s. Silence is noticed 3 s after
// it began and its connections are closed; this much later the calls are taken for over.
constexpr double lost_after_ms = 4000;
// A machine that has stopped for a drain may leave its connections open for seconds, and fail each test on
// them: its calls are cut by then.
constexpr double down_after_ms = 1000;
constexpr double probe_kept_ms = 10000;   // without an answer
constexpr double unheard_kept_ms = 1000;  // a connection that was dead already has ended by then
constexpr double gone_after_ms = 1000;    // the last releases of one that is gone may still be under way

FailureCause cause_of(const std::string& note) {
  if (note == "all_trunks_busy") return FailureCause::no_circuit;
  if (note == "via_said_no") return FailureCause::tandem_refused;
  if (note == "far_cpu_full") return FailureCause::destination_processor_full;
  if (note == "cpu_full") return FailureCause::processor_full;
  if (note == "number_busy") return FailureCause::number_busy;
  return FailureCause::none;
}

/// What a release before the answer means.
AttemptResult result_of(int why) {
  switch (why) {
    case cause::no_circuit:
      return AttemptResult::not_set_up;
    case cause::timer_expired:
      return AttemptResult::not_sent;
    case cause::temporary_failure:
      return AttemptResult::reset;
    default:
      return AttemptResult::error;
  }
}

}  // namespace

ConverterBackend::ConverterBackend(Clock& clock, TimerQueue& timers, Connections& net, Router& router,
                                   const Config& config)
    : clock_(clock), timers_(timers), net_(net), router_(router), config_(config) {}

// ---- The list -------------------------------------------------------------------------------------------

void ConverterBackend::update_list(const std::vector<Converter>& list, bool is_snapshot) {
  DirectoryUpdate update;
  update.kind = is_snapshot ? DirectoryUpdate::Kind::snapshot : DirectoryUpdate::Kind::changes;
  if (is_snapshot) {
    for (auto& [id, link] : links_) link.converter.entry.state = ExchangeState::gone;
  }
  for (const auto& converter : list) {
    update.entries.push_back(converter.entry);
    const auto id = converter.entry.exchange;
    // One never known here, and gone already, leaves nothing behind.
    if (converter.entry.state == ExchangeState::gone && !links_.contains(id)) continue;
    auto [it, fresh] = links_.try_emplace(id);
    auto& link = it->second;
    const bool restarted = !fresh && link.converter.entry.started_at != converter.entry.started_at;
    const bool moved = !fresh && link.converter.address != converter.address;
    link.converter = converter;
    for (std::size_t i = 0; moved && i < held_connections; ++i) {
      if (link.lines[i].connection != no_handle) net_.close(link.lines[i].connection, reason::withdrawn);
    }
    if (fresh) {
      link.unreached = clock_.now_ms();
      watch(id);
    }
    // A process that began anew holds none of the calls that stood before. News of it comes late: the calls
    // that it took since then are its own.
    if (restarted && converter.entry.started_at)
      router_.exchange_lost(id, to_ms(*converter.entry.started_at));
    // The own exchange is sent nothing, and has no group to tell of.
    link.own = converter.entry.number == config_.settings.home_exchange;
    list_for_admission(link);
    numbers_.insert(converter.entry.number);
    if (converter.entry.state != ExchangeState::ready || link.own) continue;
    for (std::size_t i = 0; i < held_connections; ++i) {
      if (link.lines[i].connection == no_handle) open(link, i);
    }
  }
  for (auto& [id, link] : links_) {
    if (link.converter.entry.state != ExchangeState::gone) {
      link.gone = 0;
    } else if (link.gone == 0) {
      link.gone = clock_.now_ms();
    }
  }
  router_.directory_updated(update);
}

bool ConverterBackend::all_states_reported() const {
  return std::all_of(links_.begin(), links_.end(), [](const auto& each) {
    const auto& link = each.second;
    return link.state_told || link.own || link.converter.entry.state != ExchangeState::ready;
  });
}

std::vector<ConverterView> ConverterBackend::view() const {
  std::vector<ConverterView> out;
  for (const auto& [id, link] : links_) {
    const auto open =
        std::count_if(link.lines.begin(), link.lines.end(), [](const Line& l) { return l.open; });
    out.push_back({link.converter, static_cast<std::size_t>(open)});
  }
  return out;
}

// ---- Connections ----------------------------------------------------------------------------------------

void ConverterBackend::enable_tls(std::shared_ptr<tls::Context> context,
                                  const handshakes::Settings& settings) {
  context_ = std::move(context);
  if (admission_) return;
  admission_ = std::make_unique<handshakes::Admission>(settings, config_.seed);
  // Set by a reload: those known so far are not listed again.
  for (const auto& [id, link] : links_) list_for_admission(link);
}

void ConverterBackend::list_for_admission(const Link& link) {
  if (!context_ || link.own) return;
  const auto& entry = link.converter.entry;
  admission_->update_converter(entry.exchange, clock_.now_ms(),
                               entry.started_at ? std::optional(to_ms(*entry.started_at)) : std::nullopt,
                               held_connections);
}

/// As the admission allows; no_handle when it must wait. What cannot wait with it is given back at once.
Handle ConverterBackend::open_secured(Link& link, std::size_t line) {
  const auto id = link.converter.entry.exchange;
  const double now = clock_.now_ms();
  double latest = 0;
  for (const auto attempt : link.waiting) latest = std::max(latest, attempts_[attempt].due);
  const auto verdict =
      admission_->request_handshake(id, now, context_->sessions().has(id.value), latest > 0 ? latest : 1e300);
  if (verdict.admitted) {
    link.lines[line].admitted = verdict.kind;
    link.lines[line].since = now;
    bool offered = false;
    return net_.connect(link.converter.address, *this, "converter", context_->config().handshake_ms,
                        {context_, id.value, link.converter.name}, offered);
  }
  open_at(link, line, verdict.retry_at_ms);
  const bool other_coming = std::any_of(link.lines.begin(), link.lines.end(),
                                        [](const Line& l) { return l.connection != no_handle; });
  if (other_coming) return no_handle;
  std::vector<Handle> late;
  for (const auto attempt : link.waiting) {
    if (attempts_[attempt].due <= verdict.retry_at_ms) late.push_back(attempt);
  }
  for (const auto attempt : late) {
    forget(attempt);
    router_.attempt_ended(attempt, {.result = AttemptResult::connect_failed});
  }
  return no_handle;
}

void ConverterBackend::open(Link& link, std::size_t line) {
  timers_.cancel(link.lines[line].retry);
  const auto connection =
      context_ ? open_secured(link, line)
               : net_.connect(link.converter.address, *this, "converter", config_.connect_timeout_ms);
  if (connection == no_handle) return;
  link.lines[line].connection = connection;
  link.lines[line].open = false;
  lines_[connection] = {link.converter.entry.exchange, line};
}

void ConverterBackend::open_later(Link& link, std::size_t line) {
  if (link.converter.entry.state == ExchangeState::gone) return;
  link.retry_ms = std::clamp(2 * link.retry_ms, retry_first_ms, retry_most_ms);
  open_at(link, line, clock_.now_ms() + link.retry_ms);
}

void ConverterBackend::open_at(Link& link, std::size_t line, double time) {
  const auto id = link.converter.entry.exchange;
  timers_.cancel(link.lines[line].retry);
  link.lines[line].retry = timers_.schedule(time, [this, id, line] {
    auto& later = links_[id];
    later.lines[line].retry = {};
    if (later.converter.entry.state != ExchangeState::gone && later.lines[line].connection == no_handle) {
      open(later, line);
    }
  });
}

/// Stays with one connection as long as it is heard, so that set-ups and the group's state go in one order;
/// the other takes over when it is heard and the first is not.
Handle ConverterBackend::open_connection(Link& link) {
  const auto& lines = link.lines;
  for (std::size_t i = 0; i < held_connections; ++i) {
    const auto& now = lines[link.preferred];
    const auto& other = lines[i];
    if (!other.open) continue;
    if (!now.open ||
        std::pair(other.spoken, other.heard - heard_apart_ms) > std::pair(now.spoken, now.heard)) {
      link.preferred = i;
    }
  }
  return lines[link.preferred].open ? lines[link.preferred].connection : no_handle;
}

void ConverterBackend::on_connected(Handle connection) {
  const auto at = lines_[connection];
  auto& link = links_[at.exchange];
  if (context_) {
    const auto& line = link.lines[at.line];
    const double now = clock_.now_ms();
    admission_->handshake_finished(at.exchange, now, line.admitted, handshakes::Outcome::established,
                                   net_.resumed(connection), now - line.since);
  }
  link.lines[at.line].open = true;
  link.lines[at.line].heard = clock_.now_ms();
  link.retry_ms = 0;
  link.unreached = 0;
  for (const auto& call : std::exchange(link.unsaid, {})) say_end(link, call, connection);
  for (const auto attempt : std::exchange(link.waiting, {})) {
    if (attempts_.contains(attempt)) write_set_up(attempt, connection);
  }
}

void ConverterBackend::on_ended(Handle connection, const char* why) {
  const auto at = lines_[connection];
  lines_.erase(connection);
  auto& link = links_[at.exchange];
  if (context_) {
    const auto& line = link.lines[at.line];
    const double now = clock_.now_ms();
    if (line.open) {
      admission_->connection_closed(at.exchange, now, std::string_view(why) == reason::reset);
    } else {
      admission_->handshake_finished(at.exchange, now, line.admitted, tls::ending_of(why), false,
                                     now - line.since);
    }
  }
  link.lines[at.line] = {};
  if (link.unreached == 0 && open_connection(link) == no_handle) link.unreached = clock_.now_ms();
  std::vector<Handle> broken;
  for (const auto& [call, attempt] : link.attempts) {
    if (attempts_[attempt].connection == connection) broken.push_back(attempt);
  }
  for (const auto attempt : broken) {
    // A set-up ends with its connection; a call that stands does not.
    if (router_.is_established(attempt)) {
      attempts_[attempt].connection = no_handle;
      continue;
    }
    forget(attempt);
    router_.attempt_ended(attempt, {.result = AttemptResult::reset});
  }
  std::vector<std::string> unheard;
  for (const auto& [call, said] : link.unheard) {
    if (said.connection == connection) unheard.push_back(call);
  }
  for (const auto& call : unheard) {
    link.unheard.erase(call);
    say_end(link, call, no_handle);
  }
  const bool other_coming = std::any_of(link.lines.begin(), link.lines.end(),
                                        [](const Line& l) { return l.connection != no_handle; });
  if (!other_coming) fail_waiting(link);
  open_later(link, at.line);
}

/// No connection came up for them: nothing ran.
void ConverterBackend::fail_waiting(Link& link) {
  for (const auto attempt : std::exchange(link.waiting, {})) {
    if (!attempts_.contains(attempt)) continue;
    forget(attempt);
    router_.attempt_ended(attempt, {.result = AttemptResult::connect_failed});
  }
}

void ConverterBackend::on_input(Handle connection, evbuffer* in) {
  const auto at = lines_[connection];
  auto& link = links_[at.exchange];
  auto& told = link.lines[at.line];
  told.spoken = true;
  told.heard = clock_.now_ms();
  told.tested_at = 0;
  net_.each_line(connection, in, most_line,
                 [&](const std::string& line) { on_message(link, connection, parse_message(line)); });
}

/// Guards against a machine that vanished, or one connection that leads nowhere any more: it stays open and
/// quiet for ever.
void ConverterBackend::watch(ExchangeId id) {
  auto& link = links_[id];
  const double now = clock_.now_ms();
  if (link.gone != 0 && now - link.gone >= gone_after_ms) {
    // Guards against calls that nobody ends: what is gone sends no releases any more.
    router_.exchange_lost(id, now);
    // Guards against growth: converters are replaced all day, each by one with a new id.
    if (link.attempts.empty()) return drop(id);
  }
  std::erase_if(probes_, [now](const auto& each) { return now - each.second.second >= probe_kept_ms; });
  std::erase_if(link.unheard, [now](const auto& each) { return now - each.second.at >= unheard_kept_ms; });
  timers_.schedule(now + watch_every_ms, [this, id] { watch(id); });
  if (link.attempts.empty()) return;  // nothing is out and nothing stands
  if (link.down != 0 && now - link.down >= down_after_ms) router_.exchange_lost(id, now);
  if (link.unreached != 0) {
    if (now - link.unreached >= lost_after_ms) router_.exchange_lost(id, now);
    return;
  }
  double told_last = 0;
  for (const auto& line : link.lines) told_last = std::max(told_last, line.open ? line.told : 0);
  for (auto& line : link.lines) {
    if (!line.open) continue;
    // The state of the group goes on all connections: one that lacks what the other has brought is likely
    // dead, and so is soon the only one left if it is kept.
    const bool behind = told_last - line.heard >= heard_apart_ms;
    const bool other_told = told_last > line.tested_at;
    if (line.tested_at != 0 && now - line.tested_at >= (other_told ? behind_wait_ms : test_wait_ms)) {
      net_.close(line.connection, reason::silent);
    } else if (line.tested_at == 0 && (behind || now - line.heard >= silent_after_ms)) {
      line.tested_at = now;
      send_test(link, line.connection, 0);
    }
  }
}

/// Forgets a converter that is gone for good.
void ConverterBackend::drop(ExchangeId id) {
  auto& link = links_[id];
  for (auto& line : link.lines) {
    if (line.connection != no_handle) net_.close(line.connection, reason::withdrawn);
    timers_.cancel(line.retry);
  }
  if (context_) {
    admission_->remove_converter(id);
    context_->sessions().drop(id.value);
  }
  links_.erase(id);
}

// ---- Attempts -------------------------------------------------------------------------------------------

void ConverterBackend::send_attempt(Handle attempt, ExchangeId exchange, const Request& request,
                                    double time_left_ms) {
  const auto it = links_.find(exchange);
  if (it == links_.end()) return router_.attempt_ended(attempt, {.result = AttemptResult::connect_failed});
  auto& link = it->second;
  Message message;
  message.op = Op::offer;
  message.call_id = request.wire_id;
  message.fields = {{"class", request.class_name},
                    {"key", request.key},
                    {"left", std::to_string(std::lround(std::floor(time_left_ms)))}};
  message.description = request.body;
  attempts_[attempt] = {exchange, request.wire_id, no_handle, serialize_message(message),
                        clock_.now_ms() + time_left_ms};
  link.unheard.erase(request.wire_id);  // an end said before must not follow the new attempt
  link.attempts[request.wire_id] = attempt;
  if (const auto connection = open_connection(link); connection != no_handle) {
    return write_set_up(attempt, connection);
  }
  link.waiting.push_back(attempt);
  bool coming = false;
  for (std::size_t i = 0; i < held_connections; ++i) {
    coming = coming || link.lines[i].connection != no_handle;
  }
  if (!coming) open(link, 0);
}

void ConverterBackend::write_set_up(Handle attempt, Handle connection) {
  auto& out = attempts_[attempt];
  out.connection = connection;
  const auto line = std::move(out.line);
  if (net_.write(connection, line)) return;
  // The write ended the connection, which ends its set-ups; one that it did not know of ends here.
  if (!attempts_.contains(attempt)) return;
  forget(attempt);
  router_.attempt_ended(attempt, {.result = AttemptResult::reset});
}

void ConverterBackend::forget(Handle attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  auto& link = links_[it->second.exchange];
  std::erase(link.waiting, attempt);
  link.attempts.erase(it->second.call_id);
  attempts_.erase(it);
}

void ConverterBackend::abandon_attempt(Handle attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  const auto out = it->second;
  forget(attempt);
  // A set-up that still waited for its connection never left.
  if (out.connection != no_handle) say_end(links_[out.exchange], out.call_id, out.connection);
}

void ConverterBackend::release_call(Handle attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  const auto out = it->second;
  forget(attempt);
  say_end(links_[out.exchange], out.call_id, out.connection);
}

/// Guards against a release that is written on a connection already dead: until the converter confirms it,
/// it goes once more when its connection ends.
void ConverterBackend::say_end(Link& link, const std::string& call, Handle preferred) {
  Message message;
  message.call_id = call;
  message.code = cause::normal;
  const auto line = serialize_message(message);
  for (const auto connection : {preferred, open_connection(link)}) {
    if (connection == no_handle || !net_.write(connection, line)) continue;
    if (link.unheard.size() < most_unsaid) link.unheard[call] = {connection, clock_.now_ms()};
    return;
  }
  if (link.unsaid.size() < most_unsaid) link.unsaid.push_back(call);
}

void ConverterBackend::release_at_all_converters(const std::string& call) {
  for (auto& [id, link] : links_) say_end(link, call, no_handle);
}

void ConverterBackend::send_test(Link& link, Handle connection, int why) {
  std::array<char, 24> id{};
  std::snprintf(id.data(), id.size(), "%016llx", static_cast<unsigned long long>(++last_test_));
  Message message;
  message.op = Op::test;
  message.call_id = id.data();
  message.code = why;
  if (why == 1) probes_[message.call_id] = {link.converter.entry.exchange, clock_.now_ms()};
  net_.write(connection, serialize_message(message));
}

void ConverterBackend::probe(ExchangeId exchange) {
  const auto it = links_.find(exchange);
  const auto connection = it == links_.end() ? no_handle : open_connection(it->second);
  if (connection == no_handle) return router_.exchange_reported(exchange, {}, false);
  send_test(it->second, connection, 1);
}

// ---- What converters say --------------------------------------------------------------------------------

LoadReport ConverterBackend::load_of(const Message& message) const {
  const auto* load = message.field("load");
  return load == nullptr ? LoadReport{} : parse_load_report(*load, config_.columns);
}

void ConverterBackend::on_message(Link& link, Handle connection, const Message& message) {
  const auto id = link.converter.entry.exchange;
  const bool failed_test =
      message.op == Op::tested && message.code.value_or(1) == 0 && !probes_.contains(message.call_id);
  if (!failed_test) {
    link.down = 0;
  } else if (link.down == 0) {
    link.down = clock_.now_ms();
  }
  switch (message.op) {
    case Op::ringing:
      return;
    case Op::ended:
      link.unheard.erase(message.call_id);
      return;
    case Op::group:
      link.state_told = true;
      if (const auto at = lines_.find(connection); at != lines_.end()) {
        link.lines[at->second.line].told = clock_.now_ms();
      }
      // Each connection brings the same news, and the later one would bring older news after newer.
      if (connection != open_connection(link)) return;
      return router_.exchange_reported(id, load_of(message));
    case Op::tested: {
      const auto probe = probes_.find(message.call_id);
      if (probe == probes_.end()) return;
      const double elapsed = clock_.now_ms() - probe->second.second;
      probes_.erase(probe);
      return router_.exchange_reported(id, load_of(message), message.code.value_or(1) != 0, elapsed);
    }
    case Op::accept: {
      if (!message.description) throw Unreadable{reason::malformed};
      const auto it = link.attempts.find(message.call_id);
      if (it != link.attempts.end()) return router_.attempt_succeeded(it->second, *message.description);
      // It stands for nobody: the word that it was given up has crossed it, or a restart lies between.
      return say_end(link, message.call_id, connection);
    }
    case Op::end:
      return on_end(link, connection, message);
    case Op::offer:
    case Op::test:
      break;
  }
  throw Unreadable{reason::unknown_op};  // nothing that a converter may say
}

void ConverterBackend::on_end(Link& link, Handle connection, const Message& message) {
  const int why = message.code.value_or(cause::normal);
  const auto it = link.attempts.find(message.call_id);
  if (it == link.attempts.end()) {
    // Only what ends a standing call is passed on: a refusal for an unknown id ends a set-up given up.
    if (why == cause::normal || why == cause::temporary_failure) stray_(message.call_id, why);
    return;
  }
  const auto attempt = it->second;
  AttemptOutcome outcome;
  outcome.report = load_of(message);
  if (router_.is_established(attempt)) {
    outcome.result = why == cause::normal ? AttemptResult::ended : AttemptResult::reset;
    Message heard;
    heard.op = Op::ended;
    heard.call_id = message.call_id;
    net_.write(connection, serialize_message(heard));
  } else {
    outcome.result = result_of(why);
    if (const auto* note = message.field("note")) outcome.cause = cause_of(*note);
    outcome.wait_hint_ms = std::max(0.0, message.number("waited", 0));
  }
  forget(attempt);
  router_.attempt_ended(attempt, outcome);
}

}  // namespace heathturn
