#include "enum/dot_client.hpp"

#include <algorithm>
#include <cstring>

#include "net/tls/handshake_outcome.hpp"

namespace heathturn {

using handshakes::Outcome;
using maddershed::AttemptResult;

namespace {

// Look-ups in flight on one connection, beyond which another connection is needed.
constexpr std::size_t max_look_ups_per_connection = 64;
constexpr std::size_t max_message_bytes = 65535;

}  // namespace

DotClient::DotClient(Clock& clock, TimerQueue& timers, Connections& net, const handshakes::Settings& settings,
                     std::uint64_t seed, DotClientHandler& handler)
    : clock_(clock), timers_(timers), net_(net), handler_(handler), admission_(settings, seed) {}

void DotClient::update_server(ExchangeId id, const Address& address, const std::string& name,
                              std::shared_ptr<tls::Context> context) {
  auto& server = servers_[id];
  const bool moved = server.listed && server.address != address;
  server.address = address;
  server.name = name;
  server.context = std::move(context);
  if (!server.listed)
    admission_.update_converter(id, clock_.now_ms(), std::nullopt,
                                server.context->config().connections_per_member);
  server.listed = true;
  // Look-ups in flight at the old address may finish there.
  if (!moved) return;
  for (const auto connection : std::vector(server.connections)) {
    connections_.at(connection).retiring = true;
    close_if_unused(connection);
  }
}

void DotClient::remove_server(ExchangeId id) {
  const auto it = servers_.find(id);
  if (it == servers_.end() || !it->second.listed) return;
  auto& server = it->second;
  server.listed = false;
  timers_.cancel(server.admission_timer);
  server.context->sessions().remove(id.value);
  admission_.remove_converter(id);
  for (const auto& queued : std::exchange(server.queue, {}))
    fail_attempt(queued.attempt, AttemptResult::not_sent);
  const auto remaining = servers_.find(id);
  if (remaining == servers_.end()) return;
  for (const auto connection : std::vector(remaining->second.connections)) {
    connections_.at(connection).retiring = true;
    close_if_unused(connection);
  }
  erase_if_unused(id);
}

/// Erases a removed server once its last connection is closed.
void DotClient::erase_if_unused(ExchangeId id) {
  const auto it = servers_.find(id);
  if (it != servers_.end() && !it->second.listed && it->second.connections.empty()) servers_.erase(it);
}

void DotClient::fail_attempt(Handle attempt, AttemptResult result) {
  attempts_.erase(attempt);
  handler_.on_dot_failed(attempt, result);
}

// ---- Look-ups ---------------------------------------------------------------------------------------------

void DotClient::send(Handle attempt, ExchangeId id, double deadline_ms) {
  const auto it = servers_.find(id);
  if (it == servers_.end() || !it->second.listed)
    return handler_.on_dot_failed(attempt, AttemptResult::not_sent);
  attempts_[attempt] = {id, no_handle, 0};
  it->second.queue.push_back({attempt, deadline_ms});
  process_queue(id);
}

void DotClient::abandon(Handle attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  const auto state = it->second;
  attempts_.erase(it);
  if (state.connection == no_handle) {
    std::erase_if(servers_.at(state.server).queue,
                  [attempt](const auto& queued) { return queued.attempt == attempt; });
    return;
  }
  // The message id stays in use on this connection until its answer arrives, so that a late answer is not
  // taken for that of another attempt.
  connections_.at(state.connection).attempts[state.message_id] = no_handle;
  close_if_unused(state.connection);
}

/// Sends queued attempts over the established connections. Doing so may end a connection, and erase the
/// server with its last connection.
void DotClient::send_queued(ExchangeId id) {
  const double now_ms = clock_.now_ms();
  const auto connections = servers_.at(id).connections;
  for (const auto connection : connections) {
    while (true) {
      const auto server = servers_.find(id);
      const auto found = connections_.find(connection);
      if (server == servers_.end() || found == connections_.end() || !found->second.established) break;
      auto& state = found->second;
      auto& queue = server->second.queue;
      const double max_age_ms = server->second.context->config().max_connection_age_ms;
      if (max_age_ms > 0 && now_ms - state.since_ms > max_age_ms) state.retiring = true;
      // Abandoned look-ups keep their message ids and so fill a connection; a new one has all ids free.
      if (queue.empty() || state.retiring || state.attempts.size() >= max_look_ups_per_connection) {
        close_if_unused(connection);
        break;
      }
      const auto next = queue.front();
      queue.pop_front();
      const auto message_id = state.next_message_id++;
      const auto bytes = handler_.serialize_query(next.attempt, message_id);
      std::string framed;
      put_big_endian(framed, bytes.size(), 2);
      state.attempts[message_id] = next.attempt;
      attempts_[next.attempt] = {id, connection, message_id};
      net_.write(connection, framed + bytes);
    }
  }
}

/// Sends what can be sent now. For what remains queued it opens a connection or, when the admission does not
/// allow that yet, tries again later.
void DotClient::process_queue(ExchangeId id) {
  auto it = servers_.find(id);
  if (it == servers_.end()) return;
  send_queued(id);
  it = servers_.find(id);
  if (it == servers_.end() || it->second.queue.empty() || !it->second.listed) return;
  auto& server = it->second;
  const bool connecting =
      std::any_of(server.connections.begin(), server.connections.end(),
                  [this](const auto connection) { return !connections_.at(connection).established; });
  if (connecting) return;  // queued attempts are sent over that connection
  const double now_ms = clock_.now_ms();
  double latest_deadline_ms = 0;
  for (const auto& queued : server.queue)
    latest_deadline_ms = std::max(latest_deadline_ms, queued.deadline_ms);
  const auto decision =
      admission_.request_handshake(id, now_ms, server.context->sessions().has(id.value), latest_deadline_ms);
  if (decision.admitted) return open_connection(id, server, decision.kind);
  timers_.cancel(server.admission_timer);
  // Attempts whose deadline comes first fail at once, since another server may have room.
  std::vector<Handle> too_late;
  std::erase_if(server.queue, [&](const auto& queued) {
    if (!decision.past_deadline && queued.deadline_ms > decision.retry_at_ms) return false;
    too_late.push_back(queued.attempt);
    return true;
  });
  if (!server.queue.empty())
    server.admission_timer = timers_.schedule(decision.retry_at_ms, [this, id] { process_queue(id); });
  for (const auto attempt : too_late) fail_attempt(attempt, AttemptResult::connect_failed);
}

// ---- Connections ------------------------------------------------------------------------------------------

void DotClient::open_connection(ExchangeId id, Server& server, handshakes::Kind admitted) {
  bool session_offered = false;
  const auto connection =
      net_.connect(server.address, *this, "upstream", server.context->config().handshake_timeout_ms,
                   {server.context, id.value, server.name}, session_offered);
  server.connections.push_back(connection);
  auto& state = connections_[connection];
  state.server = id;
  state.admitted = admitted;
  state.since_ms = clock_.now_ms();
}

void DotClient::on_connected(Handle connection) {
  auto& state = connections_.at(connection);
  const double now_ms = clock_.now_ms();
  admission_.handshake_finished(state.server, now_ms, state.admitted, Outcome::established,
                                net_.session_resumed(connection), now_ms - state.since_ms);
  state.established = true;
  state.since_ms = now_ms;
  const auto server = state.server;
  process_queue(server);
  if (connections_.contains(connection)) close_if_unused(connection);
}

void DotClient::on_input(Handle connection, evbuffer* in) {
  net_.read_length_prefixed(
      connection, in, 2, max_message_bytes, [this, connection](const std::string& message) {
        if (message.size() < 2) throw ProtocolError{reason::malformed};
        const auto state = connections_.find(connection);
        if (state == connections_.end()) return;
        const auto message_id = static_cast<std::uint16_t>(big_endian(message, 0, 2));
        const auto found = state->second.attempts.find(message_id);
        if (found == state->second.attempts.end()) return;
        const auto attempt = found->second;
        state->second.attempts.erase(found);
        if (attempt != no_handle) {  // otherwise it was abandoned, and only its message id becomes free
          attempts_.erase(attempt);
          handler_.on_dot_answer(attempt, message);
        }
        if (const auto remaining = connections_.find(connection); remaining != connections_.end())
          process_queue(remaining->second.server);
      });
}

/// Closes a connection that gets no new look-up, once no attempt waits on it.
void DotClient::close_if_unused(Handle connection) {
  const auto& state = connections_.at(connection);
  const bool in_use = std::any_of(state.attempts.begin(), state.attempts.end(),
                                  [](const auto& entry) { return entry.second != no_handle; });
  // A connection filled with abandoned look-ups that were never answered gets no new one either.
  if (in_use || !state.established ||
      (!state.retiring && state.attempts.size() < max_look_ups_per_connection))
    return;
  net_.close(connection, reason::finished);
}

void DotClient::on_ended(Handle connection, const char* why) {
  const auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  const auto state = std::move(it->second);
  connections_.erase(it);
  const auto id = state.server;
  const double now_ms = clock_.now_ms();
  const bool is_reset = std::strcmp(why, reason::reset) == 0 || std::strcmp(why, reason::peer_closed) == 0;
  if (std::string(why).starts_with("tls_")) ++tls_failures_[why];
  const auto server = servers_.find(id);
  if (server != servers_.end()) std::erase(server->second.connections, connection);
  const auto outcome = tls::handshake_outcome(why);
  if (state.established) {
    admission_.connection_closed(id, now_ms, is_reset && !state.attempts.empty());
  } else {
    admission_.handshake_finished(id, now_ms, state.admitted, outcome, false, now_ms - state.since_ms);
  }
  // A server that failed verification will fail it again, so its queued attempts go elsewhere.
  std::vector<Handle> never_sent;
  if (!state.established && outcome == Outcome::not_verified && server != servers_.end()) {
    for (const auto& queued : std::exchange(server->second.queue, {})) never_sent.push_back(queued.attempt);
  }
  erase_if_unused(id);
  for (const auto attempt : never_sent) fail_attempt(attempt, AttemptResult::connect_failed);
  for (const auto& [message_id, attempt] : state.attempts) {
    if (attempt != no_handle) fail_attempt(attempt, AttemptResult::reset);
  }
  process_queue(id);
}

}  // namespace heathturn
