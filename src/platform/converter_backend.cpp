#include "platform/converter_backend.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>

#include "net/tls/handshake_outcome.hpp"

namespace heathturn {

using namespace maddershed;

namespace {

constexpr double min_reconnect_delay_ms = 50;  // doubled after each attempt
constexpr double max_reconnect_delay_ms = 1000;
constexpr std::size_t max_queued_releases = 4096;  // per converter
constexpr double check_interval_ms = 100;
// A connection is lagging when its latest message is older than the other one's by more than this.
constexpr double max_receive_lag_ms = 150;
constexpr double lagging_test_timeout_ms = 400;  // for a test on a lagging connection
constexpr double silence_before_test_ms = 2000;  // while calls are open
constexpr double test_timeout_ms = 1000;         // the connection counts as dead after that
// Rule: the caller of a call that nobody releases learns of its end within 8 s. Silence is detected and the
// connections are closed 3 s after it began; this long after that, the calls count as ended.
constexpr double unreachable_timeout_ms = 4000;
// A machine stopped for a drain may leave its connections open for seconds and fail each test on them: its
// calls are ended after this time.
constexpr double failing_tests_timeout_ms = 1000;
constexpr double probe_timeout_ms = 10000;
// A peer that ends a connection this long after a release was written to it has read the release.
constexpr double release_read_timeout_ms = 1000;
// A second copy of an answer may follow some milliseconds after the first one.
constexpr double answer_copy_window_ms = 50;
constexpr double gone_grace_period_ms = 1000;  // the converter's last releases may still be in flight

FailureCause cause_of(const std::string& note) {
  if (note == "all_trunks_busy") return FailureCause::no_circuit;
  if (note == "via_said_no") return FailureCause::tandem_refused;
  if (note == "far_cpu_full") return FailureCause::destination_processor_full;
  if (note == "cpu_full") return FailureCause::processor_full;
  if (note == "number_busy") return FailureCause::number_busy;
  return FailureCause::none;
}

/// Result of an attempt that the converter ended with this cause before it answered.
AttemptResult result_of(int cause_code) {
  switch (cause_code) {
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

UnacknowledgedReleases::EndedBy ended_by(std::string_view end_reason) {
  const bool by_peer = end_reason == reason::peer_closed || end_reason == reason::reset;
  return by_peer ? UnacknowledgedReleases::EndedBy::peer : UnacknowledgedReleases::EndedBy::this_process;
}

}  // namespace

ConverterBackend::ConverterBackend(Clock& clock, TimerQueue& timers, Connections& net, Router& router,
                                   const PlatformConfig& config)
    : clock_(clock), timers_(timers), net_(net), router_(router), config_(config) {}

// ---- Converter list -------------------------------------------------------------------------------------

void ConverterBackend::update_list(const std::vector<Converter>& list, bool is_snapshot) {
  DirectoryUpdate update;
  std::vector<Succession> successions;
  update.kind = is_snapshot ? DirectoryUpdate::Kind::snapshot : DirectoryUpdate::Kind::changes;
  if (is_snapshot) {
    for (auto& [id, peer] : peers_) peer.converter.entry.state = ExchangeState::gone;
  }
  for (const auto& converter : list) {
    update.entries.push_back(converter.entry);
    const auto id = converter.entry.exchange;
    // A converter that was not known before and is gone already needs no state.
    if (converter.entry.state == ExchangeState::gone && !peers_.contains(id)) continue;
    auto [it, is_new] = peers_.try_emplace(id);
    auto& peer = it->second;
    const bool restarted = !is_new && peer.converter.entry.started_at != converter.entry.started_at;
    const bool moved = !is_new && peer.converter.address != converter.address;
    peer.converter = converter;
    for (std::size_t i = 0; moved && i < connections_per_converter; ++i) {
      if (peer.connections[i].handle != no_handle) net_.close(peer.connections[i].handle, reason::withdrawn);
    }
    if (is_new) {
      peer.unreachable_since_ms = clock_.now_ms();
      check_peer(id);
    }
    if (converter.entry.state != ExchangeState::gone && (is_new || moved)) {
      for (const auto& succession : withdraw_predecessors(converter)) {
        update.entries.push_back(peers_[succession.predecessor].converter.entry);
        successions.push_back(succession);
      }
    }
    // A restarted process has lost the calls established before its start. The list reports the restart late,
    // so calls established since then are kept.
    if (restarted && converter.entry.started_at)
      router_.exchange_lost(id, to_ms(*converter.entry.started_at));
    // This router's own exchange gets no messages and has no circuit group to report on.
    peer.is_own_exchange = converter.entry.number == config_.settings.home_exchange;
    register_for_admission(peer);
    numbers_.insert(converter.entry.number);
    // A converter that drains gets connections too, for the releases of the calls that it completes.
    if (converter.entry.state == ExchangeState::gone || peer.is_own_exchange) continue;
    for (std::size_t i = 0; i < connections_per_converter; ++i) {
      if (peer.connections[i].handle == no_handle) connect(peer, i);
    }
  }
  for (auto& [id, peer] : peers_) {
    if (peer.converter.entry.state != ExchangeState::gone) {
      peer.gone_since_ms = 0;
    } else if (peer.gone_since_ms == 0) {
      peer.gone_since_ms = clock_.now_ms();
    }
  }
  router_.directory_updated(update);
  for (const auto& succession : successions) hand_over_releases(succession);
  // Whatever waits longer than the grace period of a drain would be sent too late.
  for (auto& [id, peer] : peers_) {
    if (peer.converter.entry.state != ExchangeState::ready) fail_waiting_attempts(peer);
  }
}

/// A process has the address to itself: a converter that was listed there before has gone, even when the list
/// does not say so, and its connections, if they were opened again, lead to the new process. Returns these
/// converters.
std::vector<ConverterBackend::Succession> ConverterBackend::withdraw_predecessors(
    const Converter& successor) {
  std::vector<Succession> successions;
  for (auto& [id, peer] : peers_) {
    if (id == successor.entry.exchange || peer.converter.address != successor.address) continue;
    if (peer.converter.entry.state == ExchangeState::gone && !has_connections(peer)) continue;
    peer.converter.entry.state = ExchangeState::gone;
    successions.push_back({id, successor.entry.exchange});
  }
  return successions;
}

/// Before the list told of it, the successor may have been sent calls in the name of its predecessor. The
/// calls of the predecessor are over, and are released at the successor, so that none is left there.
void ConverterBackend::hand_over_releases(const Succession& succession) {
  auto& predecessor = peers_[succession.predecessor];
  router_.exchange_lost(succession.predecessor, std::numeric_limits<double>::infinity());
  close_connections(predecessor);
  std::set<std::string> unreleased;
  for (auto& call_id : std::exchange(predecessor.queued_releases, {})) unreleased.insert(std::move(call_id));
  for (auto& call_id : predecessor.unacknowledged_releases.take_all()) unreleased.insert(std::move(call_id));
  auto& successor = peers_[succession.successor];
  for (const auto& call_id : unreleased) send_release(successor, call_id, no_handle);
}

void ConverterBackend::close_connections(Peer& peer) {
  for (auto& state : peer.connections) {
    if (state.handle != no_handle) net_.close(state.handle, reason::withdrawn);
    timers_.cancel(state.reconnect_timer);
  }
}

bool ConverterBackend::has_connections(const Peer& peer) {
  return std::any_of(peer.connections.begin(), peer.connections.end(),
                     [](const ConnectionState& state) { return state.handle != no_handle; });
}

bool ConverterBackend::all_states_reported() const {
  return std::all_of(peers_.begin(), peers_.end(), [](const auto& each) {
    const auto& peer = each.second;
    return peer.state_reported || peer.is_own_exchange || peer.converter.entry.state != ExchangeState::ready;
  });
}

std::vector<ConverterView> ConverterBackend::view() const {
  std::vector<ConverterView> out;
  for (const auto& [id, peer] : peers_) {
    const auto open = std::count_if(peer.connections.begin(), peer.connections.end(),
                                    [](const ConnectionState& state) { return state.open; });
    out.push_back({peer.converter, static_cast<std::size_t>(open)});
  }
  return out;
}

// ---- Connections ----------------------------------------------------------------------------------------

void ConverterBackend::enable_tls(std::shared_ptr<tls::Context> context,
                                  const handshakes::Settings& settings) {
  tls_context_ = std::move(context);
  if (admission_) return;
  admission_ = std::make_unique<handshakes::Admission>(settings, config_.seed);
  // TLS may be enabled by a reload, and the converters known so far are not listed again.
  for (const auto& [id, peer] : peers_) register_for_admission(peer);
}

void ConverterBackend::register_for_admission(const Peer& peer) {
  if (!tls_context_ || peer.is_own_exchange) return;
  const auto& entry = peer.converter.entry;
  admission_->update_converter(entry.exchange, clock_.now_ms(),
                               entry.started_at ? std::optional(to_ms(*entry.started_at)) : std::nullopt,
                               connections_per_converter);
}

/// Connects if the admission allows it now; otherwise schedules a retry, returns no_handle, and fails at once
/// the waiting attempts that would expire before it, unless another connection is open or being opened.
Handle ConverterBackend::connect_tls(Peer& peer, std::size_t index) {
  const auto id = peer.converter.entry.exchange;
  const double now_ms = clock_.now_ms();
  double latest_deadline_ms = 0;
  for (const auto attempt : peer.waiting_attempts)
    latest_deadline_ms = std::max(latest_deadline_ms, attempts_[attempt].deadline_ms);
  const auto decision = admission_->request_handshake(id, now_ms, tls_context_->sessions().has(id.value),
                                                      latest_deadline_ms > 0 ? latest_deadline_ms : 1e300);
  if (decision.admitted) {
    peer.connections[index].admitted_kind = decision.kind;
    peer.connections[index].started_at_ms = now_ms;
    bool offered = false;
    return net_.connect(peer.converter.address, *this, "converter",
                        tls_context_->config().handshake_timeout_ms,
                        {tls_context_, id.value, peer.converter.name}, offered);
  }
  connect_at(peer, index, decision.retry_at_ms);
  if (has_connections(peer)) return no_handle;
  std::vector<Handle> expired;
  for (const auto attempt : peer.waiting_attempts) {
    if (attempts_[attempt].deadline_ms <= decision.retry_at_ms) expired.push_back(attempt);
  }
  for (const auto attempt : expired) {
    erase_attempt(attempt);
    router_.attempt_ended(attempt, {.result = AttemptResult::connect_failed});
  }
  return no_handle;
}

void ConverterBackend::connect(Peer& peer, std::size_t index) {
  timers_.cancel(peer.connections[index].reconnect_timer);
  const auto connection =
      tls_context_ ? connect_tls(peer, index)
                   : net_.connect(peer.converter.address, *this, "converter", config_.connect_timeout_ms);
  if (connection == no_handle) return;
  peer.connections[index].handle = connection;
  peer.connections[index].open = false;
  locations_[connection] = {peer.converter.entry.exchange, index};
}

void ConverterBackend::reconnect_later(Peer& peer, std::size_t index) {
  if (peer.converter.entry.state == ExchangeState::gone) return;
  peer.reconnect_delay_ms =
      std::clamp(2 * peer.reconnect_delay_ms, min_reconnect_delay_ms, max_reconnect_delay_ms);
  connect_at(peer, index, clock_.now_ms() + peer.reconnect_delay_ms);
}

void ConverterBackend::connect_at(Peer& peer, std::size_t index, double time_ms) {
  const auto id = peer.converter.entry.exchange;
  timers_.cancel(peer.connections[index].reconnect_timer);
  peer.connections[index].reconnect_timer = timers_.schedule(time_ms, [this, id, index] {
    auto& retried = peers_[id];
    retried.connections[index].reconnect_timer = {};
    if (retried.converter.entry.state != ExchangeState::gone &&
        retried.connections[index].handle == no_handle) {
      connect(retried, index);
    }
  });
}

/// Returns the open connection to use, or no_handle. Stays with one connection as long as messages arrive on
/// it, so that set-ups and group states keep their order; switches when only the other one receives.
Handle ConverterBackend::select_connection(Peer& peer) {
  const auto& connections = peer.connections;
  for (std::size_t i = 0; i < connections_per_converter; ++i) {
    const auto& current = connections[peer.preferred];
    const auto& other = connections[i];
    if (!other.open) continue;
    if (!current.open || std::pair(other.received_any, other.last_received_ms - max_receive_lag_ms) >
                             std::pair(current.received_any, current.last_received_ms)) {
      peer.preferred = i;
    }
  }
  return connections[peer.preferred].open ? connections[peer.preferred].handle : no_handle;
}

void ConverterBackend::on_connected(Handle connection) {
  const auto location = locations_[connection];
  auto& peer = peers_[location.exchange];
  if (tls_context_) {
    const auto& state = peer.connections[location.index];
    const double now_ms = clock_.now_ms();
    admission_->handshake_finished(location.exchange, now_ms, state.admitted_kind,
                                   handshakes::Outcome::established, net_.session_resumed(connection),
                                   now_ms - state.started_at_ms);
  }
  peer.connections[location.index].open = true;
  peer.connections[location.index].last_received_ms = clock_.now_ms();
  peer.reconnect_delay_ms = 0;
  peer.unreachable_since_ms = 0;
  for (const auto& call_id : std::exchange(peer.queued_releases, {})) send_release(peer, call_id, connection);
  for (const auto attempt : std::exchange(peer.waiting_attempts, {})) {
    if (attempts_.contains(attempt)) write_set_up(attempt, connection);
  }
}

void ConverterBackend::on_ended(Handle connection, const char* end_reason) {
  const auto location = locations_[connection];
  locations_.erase(connection);
  auto& peer = peers_[location.exchange];
  if (tls_context_) {
    const auto& state = peer.connections[location.index];
    const double now_ms = clock_.now_ms();
    if (state.open) {
      admission_->connection_closed(location.exchange, now_ms, std::string_view(end_reason) == reason::reset);
    } else {
      admission_->handshake_finished(location.exchange, now_ms, state.admitted_kind,
                                     tls::handshake_outcome(end_reason), false, now_ms - state.started_at_ms);
    }
  }
  peer.connections[location.index] = {};
  if (peer.unreachable_since_ms == 0 && select_connection(peer) == no_handle)
    peer.unreachable_since_ms = clock_.now_ms();
  std::vector<Handle> affected;
  for (const auto& [call_id, attempt] : peer.attempts) {
    if (attempts_[attempt].connection == connection) affected.push_back(attempt);
  }
  for (const auto attempt : affected) {
    // A pending set-up ends with its connection; an established call does not.
    if (router_.is_established(attempt)) {
      attempts_[attempt].connection = no_handle;
      continue;
    }
    end_with_unknown_outcome(attempt, no_handle, {});
  }
  const auto unreleased = peer.unacknowledged_releases.connection_ended(
      connection, ended_by(end_reason), clock_.now_ms() - release_read_timeout_ms);
  for (const auto& call_id : unreleased) send_release(peer, call_id, no_handle);
  if (!has_connections(peer)) fail_waiting_attempts(peer);
  reconnect_later(peer, location.index);
}

/// Ends an attempt of which the converter may have a call: that is released, so that its own end can't be
/// taken for one of the next attempt.
void ConverterBackend::end_with_unknown_outcome(Handle attempt, Handle preferred, AttemptOutcome outcome) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  const auto attempt_state = it->second;
  erase_attempt(attempt);
  auto& peer = peers_[attempt_state.exchange];
  peer.ended_attempts.add(attempt_state.call_id, clock_.now_ms());
  send_release(peer, attempt_state.call_id, preferred);
  outcome.result = AttemptResult::reset;
  router_.attempt_ended(attempt, outcome);
}

/// Fails the attempts that waited for a connection: they were never sent.
void ConverterBackend::fail_waiting_attempts(Peer& peer) {
  for (const auto attempt : std::exchange(peer.waiting_attempts, {})) {
    if (!attempts_.contains(attempt)) continue;
    erase_attempt(attempt);
    router_.attempt_ended(attempt, {.result = AttemptResult::connect_failed});
  }
}

void ConverterBackend::on_input(Handle connection, evbuffer* in) {
  const auto location = locations_[connection];
  auto& peer = peers_[location.exchange];
  auto& state = peer.connections[location.index];
  state.received_any = true;
  state.last_received_ms = clock_.now_ms();
  state.test_sent_at_ms = 0;
  net_.read_lines(connection, in, max_line_bytes,
                  [&](const std::string& line) { on_message(peer, connection, parse_message(line)); });
}

/// Runs the periodic checks of one converter. Detects a machine that vanished or a single dead connection,
/// which would otherwise stay open and silent for ever.
void ConverterBackend::check_peer(ExchangeId id) {
  auto& peer = peers_[id];
  const double now_ms = clock_.now_ms();
  if (peer.gone_since_ms != 0 && now_ms - peer.gone_since_ms >= gone_grace_period_ms) {
    // A converter that is gone sends no more releases, so its calls must be ended here.
    router_.exchange_lost(id, now_ms);
    // Converters are replaced all day, each by one with a new id: keeping their state would leak memory.
    if (peer.attempts.empty()) return remove_peer(id);
  }
  std::erase_if(probes_,
                [now_ms](const auto& each) { return now_ms - each.second.second >= probe_timeout_ms; });
  peer.unacknowledged_releases.forget_sent_before(now_ms - config_.max_time_left_ms());
  peer.ended_attempts.forget_ended_before(now_ms - config_.max_time_left_ms());
  timers_.schedule(now_ms + check_interval_ms, [this, id] { check_peer(id); });
  if (peer.attempts.empty() && peer.unacknowledged_releases.empty()) return;
  if (peer.failing_tests_since_ms != 0 && now_ms - peer.failing_tests_since_ms >= failing_tests_timeout_ms)
    router_.exchange_lost(id, now_ms);
  if (peer.unreachable_since_ms != 0) {
    if (now_ms - peer.unreachable_since_ms >= unreachable_timeout_ms) router_.exchange_lost(id, now_ms);
    return;
  }
  double latest_group_state_ms = 0;
  for (const auto& state : peer.connections)
    latest_group_state_ms = std::max(latest_group_state_ms, state.open ? state.last_group_state_ms : 0);
  for (auto& state : peer.connections) {
    if (!state.open) continue;
    // A converter reports its group state on all its connections. One that did not receive what the other
    // received is probably dead; if it were kept, it could soon be the only one left.
    const bool lagging = latest_group_state_ms - state.last_received_ms >= max_receive_lag_ms;
    const bool other_reported = latest_group_state_ms > state.test_sent_at_ms;
    if (state.test_sent_at_ms != 0 &&
        now_ms - state.test_sent_at_ms >= (other_reported ? lagging_test_timeout_ms : test_timeout_ms)) {
      net_.close(state.handle, reason::silent);
    } else if (state.test_sent_at_ms == 0 &&
               (lagging || now_ms - state.last_received_ms >= silence_before_test_ms)) {
      state.test_sent_at_ms = now_ms;
      send_test(peer, state.handle, 0);
    }
  }
}

/// Removes a converter that is gone for good.
void ConverterBackend::remove_peer(ExchangeId id) {
  close_connections(peers_[id]);
  if (tls_context_) {
    admission_->remove_converter(id);
    tls_context_->sessions().remove(id.value);
  }
  peers_.erase(id);
}

// ---- Attempts -------------------------------------------------------------------------------------------

void ConverterBackend::send_attempt(Handle attempt, ExchangeId exchange, const Request& request,
                                    double time_left_ms) {
  const auto it = peers_.find(exchange);
  if (it == peers_.end()) return router_.attempt_ended(attempt, {.result = AttemptResult::connect_failed});
  auto& peer = it->second;
  // An answer to the attempt before would be taken for one to this attempt, and its release would cut this
  // one.
  if (release_may_arrive(peer, request.wire_id)) {
    return router_.attempt_ended(attempt, {.result = AttemptResult::not_sent, .exchange_excluded = true});
  }
  Message message;
  message.op = Op::offer;
  message.call_id = request.wire_id;
  message.fields = {{"class", request.class_name},
                    {"key", request.key},
                    {"left", std::to_string(std::lround(std::floor(time_left_ms)))}};
  message.description = request.body;
  const double now_ms = clock_.now_ms();
  const auto last_ended_ms = peer.ended_attempts.ended_at_ms(request.wire_id);
  attempts_[attempt] = {.exchange = exchange,
                        .call_id = request.wire_id,
                        .repeated = last_ended_ms.has_value(),
                        .serialized_offer = serialize_message(message),
                        .deadline_ms = now_ms + time_left_ms};
  peer.attempts[request.wire_id] = attempt;
  const double due_ms = last_ended_ms.value_or(0) + answer_copy_window_ms;
  if (now_ms >= due_ms) return write_or_wait(attempt);
  timers_.schedule(due_ms, [this, attempt] { write_or_wait(attempt); });
}

/// Writes the set-up on an open connection; without one, the attempt waits.
void ConverterBackend::write_or_wait(Handle attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  auto& peer = peers_[it->second.exchange];
  if (const auto connection = select_connection(peer); connection != no_handle) {
    return write_set_up(attempt, connection);
  }
  peer.waiting_attempts.push_back(attempt);
  if (!has_connections(peer)) connect(peer, 0);
}

void ConverterBackend::write_set_up(Handle attempt, Handle connection) {
  const auto line = std::move(attempts_[attempt].serialized_offer);
  if (net_.write(connection, line)) {
    attempts_[attempt].connection = connection;
    return;
  }
  // The connection has ended, and the converter has not got the set-up. The end of other attempts may have
  // ended this one too.
  if (!attempts_.contains(attempt)) return;
  erase_attempt(attempt);
  router_.attempt_ended(attempt, {.result = AttemptResult::connect_failed});
}

void ConverterBackend::erase_attempt(Handle attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  auto& peer = peers_[it->second.exchange];
  std::erase(peer.waiting_attempts, attempt);
  peer.attempts.erase(it->second.call_id);
  attempts_.erase(it);
}

void ConverterBackend::abandon_attempt(Handle attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  const auto attempt_state = it->second;
  erase_attempt(attempt);
  // A set-up that was not written was never sent.
  if (attempt_state.connection == no_handle) return;
  auto& peer = peers_[attempt_state.exchange];
  peer.ended_attempts.add(attempt_state.call_id, clock_.now_ms());
  send_release(peer, attempt_state.call_id, attempt_state.connection);
}

void ConverterBackend::release_call(Handle attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  const auto attempt_state = it->second;
  erase_attempt(attempt);
  send_release(peers_[attempt_state.exchange], attempt_state.call_id, attempt_state.connection);
}

/// Sends a release, or queues it until a connection is open. It may have been written to a dead connection:
/// until the converter acknowledges it, it is sent again when that connection ends.
void ConverterBackend::send_release(Peer& peer, const std::string& call_id, Handle preferred) {
  Message message;
  message.call_id = call_id;
  message.code = cause::normal;
  const auto line = serialize_message(message);
  for (const auto connection : {preferred, select_connection(peer)}) {
    if (connection == no_handle || !net_.write(connection, line)) continue;
    peer.unacknowledged_releases.add(call_id, connection, clock_.now_ms());
    return;
  }
  if (peer.queued_releases.size() < max_queued_releases) peer.queued_releases.push_back(call_id);
}

/// Whether a release of this call is queued for the converter, or was sent and may still arrive there.
bool ConverterBackend::release_may_arrive(const Peer& peer, const std::string& call_id) {
  const auto& queued = peer.queued_releases;
  return peer.unacknowledged_releases.may_arrive(call_id) ||
         std::find(queued.begin(), queued.end(), call_id) != queued.end();
}

void ConverterBackend::release_at_all_converters(const std::string& call_id) {
  for (auto& [id, peer] : peers_) send_release(peer, call_id, no_handle);
}

void ConverterBackend::send_test(Peer& peer, Handle connection, int code) {
  std::array<char, 24> id{};
  std::snprintf(id.data(), id.size(), "%016llx", static_cast<unsigned long long>(++last_test_id_));
  Message message;
  message.op = Op::test;
  message.call_id = id.data();
  message.code = code;
  if (code == 1) probes_[message.call_id] = {peer.converter.entry.exchange, clock_.now_ms()};
  net_.write(connection, serialize_message(message));
}

void ConverterBackend::probe(ExchangeId exchange) {
  const auto it = peers_.find(exchange);
  const auto connection = it == peers_.end() ? no_handle : select_connection(it->second);
  if (connection == no_handle) return router_.exchange_reported(exchange, {}, false);
  send_test(it->second, connection, 1);
}

// ---- Messages from converters ---------------------------------------------------------------------------

LoadReport ConverterBackend::load_report_of(const Message& message) const {
  const auto* load = message.field("load");
  return load == nullptr ? LoadReport{} : parse_load_report(*load, config_.report_columns);
}

void ConverterBackend::on_message(Peer& peer, Handle connection, const Message& message) {
  const auto id = peer.converter.entry.exchange;
  const bool failed_test =
      message.op == Op::tested && message.code.value_or(1) == 0 && !probes_.contains(message.call_id);
  if (!failed_test) {
    peer.failing_tests_since_ms = 0;
  } else if (peer.failing_tests_since_ms == 0) {
    peer.failing_tests_since_ms = clock_.now_ms();
  }
  switch (message.op) {
    case Op::ringing:
      return;
    case Op::ended:
      peer.unacknowledged_releases.acknowledged(message.call_id, connection);
      return;
    case Op::group:
      peer.state_reported = true;
      if (const auto location = locations_.find(connection); location != locations_.end()) {
        peer.connections[location->second.index].last_group_state_ms = clock_.now_ms();
      }
      // Each connection delivers the same states; one that lags would deliver older ones after newer ones.
      if (connection != select_connection(peer)) return;
      return router_.exchange_reported(id, load_report_of(message));
    case Op::tested: {
      const auto probe = probes_.find(message.call_id);
      if (probe == probes_.end()) return;
      const double elapsed_ms = clock_.now_ms() - probe->second.second;
      probes_.erase(probe);
      return router_.exchange_reported(id, load_report_of(message), message.code.value_or(1) != 0,
                                       elapsed_ms);
    }
    case Op::accept: {
      if (!message.description) throw ProtocolError{reason::malformed};
      const auto it = peer.attempts.find(message.call_id);
      if (it != peer.attempts.end()) return router_.attempt_succeeded(it->second, *message.description);
      // No request waits for it: it crossed the release of an abandoned attempt, or this process restarted.
      router_.message_unmatched(id, message.call_id, "accept", "no_attempt", -1);
      return send_release(peer, message.call_id, connection);
    }
    case Op::end:
      return on_end_message(peer, connection, message);
    case Op::offer:
    case Op::test:
      break;
  }
  throw ProtocolError{reason::unknown_op};  // converters do not send these
}

void ConverterBackend::on_end_message(Peer& peer, Handle connection, const Message& message) {
  const int cause_code = message.code.value_or(cause::normal);
  const auto it = peer.attempts.find(message.call_id);
  if (it == peer.attempts.end()) {
    router_.message_unmatched(peer.converter.entry.exchange, message.call_id, "end", "no_attempt",
                              cause_code);
    // Only the end of an established call is passed on; a refusal of an unknown id belongs to an abandoned
    // set-up.
    if (cause_code == cause::normal || cause_code == cause::temporary_failure)
      on_unknown_call_end_(message.call_id, cause_code);
    return;
  }
  const auto attempt = it->second;
  const bool established = router_.is_established(attempt);
  // A set-up is answered on its own connection. Anything else is about an earlier attempt of the call.
  if (!established && attempts_[attempt].connection != connection) {
    return router_.message_unmatched(peer.converter.entry.exchange, message.call_id, "end",
                                     "other_connection", cause_code);
  }
  AttemptOutcome outcome;
  outcome.cause_code = cause_code;
  outcome.report = load_report_of(message);
  const bool may_be_of_earlier_attempt = attempts_[attempt].repeated;
  if (established) {
    outcome.result = cause_code == cause::normal ? AttemptResult::ended : AttemptResult::reset;
    Message acknowledgement;
    acknowledgement.op = Op::ended;
    acknowledgement.call_id = message.call_id;
    net_.write(connection, serialize_message(acknowledgement));
  } else {
    outcome.result = result_of(cause_code);
    // A call has ended here of which no answer arrived: that of this attempt, or of an earlier one.
    if (cause_code == cause::normal) outcome.result = AttemptResult::reset;
    if (outcome.result == AttemptResult::reset) return end_with_unknown_outcome(attempt, connection, outcome);
    if (const auto* note = message.field("note")) outcome.cause = cause_of(*note);
    outcome.wait_hint_ms = std::max(0.0, message.number("waited", 0));
  }
  erase_attempt(attempt);
  if (!established) peer.ended_attempts.add(message.call_id, clock_.now_ms());
  // The call must not stay at the converter when it is over for its caller.
  if (established && may_be_of_earlier_attempt) send_release(peer, message.call_id, connection);
  router_.attempt_ended(attempt, outcome);
}

}  // namespace heathturn
