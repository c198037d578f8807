#include "enum/dot_client.hpp"

#include <algorithm>
#include <cstring>

#include "net/tls/ending.hpp"

namespace heathturn {

using handshakes::Outcome;
using maddershed::AttemptResult;

namespace {

constexpr std::size_t most_on_line = 64;  // look-ups out on one connection before another is wanted
constexpr std::size_t most_message = 65535;

}  // namespace

DotClient::DotClient(Clock& clock, TimerQueue& timers, Connections& net, const handshakes::Settings& settings,
                     std::uint64_t seed, DotClientHandler& user)
    : clock_(clock), timers_(timers), net_(net), user_(user), admission_(settings, seed) {}

void DotClient::update_server(ExchangeId id, const Address& address, const std::string& name,
                              std::shared_ptr<tls::Context> context) {
  auto& server = servers_[id];
  const bool moved = server.listed && server.address != address;
  server.address = address;
  server.name = name;
  server.context = std::move(context);
  if (!server.listed)
    admission_.update_converter(id, clock_.now_ms(), std::nullopt, server.context->config().connections);
  server.listed = true;
  // What is out at the old address may end there.
  if (!moved) return;
  for (const auto line : std::vector(server.lines)) {
    lines_.at(line).retiring = true;
    retire_if_idle(line);
  }
}

void DotClient::remove_server(ExchangeId id) {
  const auto it = servers_.find(id);
  if (it == servers_.end() || !it->second.listed) return;
  auto& server = it->second;
  server.listed = false;
  timers_.cancel(server.ask);
  server.context->sessions().drop(id.value);
  admission_.remove_converter(id);
  for (const auto& each : std::exchange(server.waiting, {})) fail(each.attempt, AttemptResult::not_sent);
  const auto again = servers_.find(id);
  if (again == servers_.end()) return;
  for (const auto line : std::vector(again->second.lines)) {
    lines_.at(line).retiring = true;
    retire_if_idle(line);
  }
  forget_if_done(id);
}

void DotClient::forget_if_done(ExchangeId id) {
  const auto it = servers_.find(id);
  if (it != servers_.end() && !it->second.listed && it->second.lines.empty()) servers_.erase(it);
}

void DotClient::fail(Handle attempt, AttemptResult result) {
  attempts_.erase(attempt);
  user_.on_dot_failed(attempt, result);
}

// ---- Look-ups ---------------------------------------------------------------------------------------------

void DotClient::send(Handle attempt, ExchangeId id, double due) {
  const auto it = servers_.find(id);
  if (it == servers_.end() || !it->second.listed)
    return user_.on_dot_failed(attempt, AttemptResult::not_sent);
  attempts_[attempt] = {id, no_handle, 0};
  it->second.waiting.push_back({attempt, due});
  pump(id);
}

void DotClient::abandon(Handle attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  const auto at = it->second;
  attempts_.erase(it);
  if (at.line == no_handle) {
    std::erase_if(servers_.at(at.server).waiting,
                  [attempt](const auto& each) { return each.attempt == attempt; });
    return;
  }
  // Its id stays taken on this line for good: a late answer must find nobody.
  lines_.at(at.line).asked[at.id] = no_handle;
  retire_if_idle(at.line);
}

/// What waits goes out on the open lines. A line may end under it, and with its last line a server.
void DotClient::dispatch(ExchangeId id) {
  const double now = clock_.now_ms();
  const auto lines = servers_.at(id).lines;
  for (const auto handle : lines) {
    while (true) {
      const auto server = servers_.find(id);
      const auto found = lines_.find(handle);
      if (server == servers_.end() || found == lines_.end() || !found->second.open) break;
      auto& line = found->second;
      auto& waiting = server->second.waiting;
      const double most_age = server->second.context->config().most_age_ms;
      if (most_age > 0 && now - line.since > most_age) line.retiring = true;
      // Ids run out where many look-ups were given up: a fresh connection has all of them.
      if (waiting.empty() || line.retiring || line.asked.size() >= most_on_line) {
        retire_if_idle(handle);
        break;
      }
      const auto next = waiting.front();
      waiting.pop_front();
      const auto number = line.next_id++;
      const auto bytes = user_.serialize_query(next.attempt, number);
      std::string framed;
      put_big_endian(framed, bytes.size(), 2);
      line.asked[number] = next.attempt;
      attempts_[next.attempt] = {id, handle, number};
      net_.write(handle, framed + bytes);
    }
  }
}

void DotClient::pump(ExchangeId id) {
  auto it = servers_.find(id);
  if (it == servers_.end()) return;
  dispatch(id);
  it = servers_.find(id);
  if (it == servers_.end() || it->second.waiting.empty() || !it->second.listed) return;
  auto& server = it->second;
  const bool connecting = std::any_of(server.lines.begin(), server.lines.end(),
                                      [this](const auto line) { return !lines_.at(line).open; });
  if (connecting) return;  // what waits goes with that one
  const double now = clock_.now_ms();
  double latest = 0;
  for (const auto& each : server.waiting) latest = std::max(latest, each.due);
  const auto verdict =
      admission_.request_handshake(id, now, server.context->sessions().has(id.value), latest);
  if (verdict.admitted) return open(id, server, verdict.kind);
  timers_.cancel(server.ask);
  // Who cannot wait so long is given back at once; another server may have room.
  std::vector<Handle> late;
  std::erase_if(server.waiting, [&](const auto& each) {
    if (!verdict.past_deadline && each.due > verdict.retry_at_ms) return false;
    late.push_back(each.attempt);
    return true;
  });
  if (!server.waiting.empty()) server.ask = timers_.schedule(verdict.retry_at_ms, [this, id] { pump(id); });
  for (const auto attempt : late) fail(attempt, AttemptResult::connect_failed);
}

// ---- Connections ------------------------------------------------------------------------------------------

void DotClient::open(ExchangeId id, Server& server, handshakes::Kind admitted) {
  bool offered = false;
  const auto handle = net_.connect(server.address, *this, "upstream", server.context->config().handshake_ms,
                                   {server.context, id.value, server.name}, offered);
  server.lines.push_back(handle);
  auto& line = lines_[handle];
  line.server = id;
  line.admitted = admitted;
  line.since = clock_.now_ms();
}

void DotClient::on_connected(Handle connection) {
  auto& line = lines_.at(connection);
  const double now = clock_.now_ms();
  admission_.handshake_finished(line.server, now, line.admitted, Outcome::established,
                                net_.resumed(connection), now - line.since);
  line.open = true;
  line.since = now;
  const auto server = line.server;
  pump(server);
  if (lines_.contains(connection)) retire_if_idle(connection);
}

void DotClient::on_input(Handle connection, evbuffer* in) {
  net_.each_counted(connection, in, 2, most_message, [this, connection](const std::string& message) {
    if (message.size() < 2) throw Unreadable{reason::malformed};
    const auto line = lines_.find(connection);
    if (line == lines_.end()) return;
    const auto id = static_cast<std::uint16_t>(big_endian(message, 0, 2));
    const auto asked = line->second.asked.find(id);
    if (asked == line->second.asked.end()) return;
    const auto attempt = asked->second;
    line->second.asked.erase(asked);
    if (attempt != no_handle) {  // else it was given up, and its id is free again
      attempts_.erase(attempt);
      user_.on_dot_answer(attempt, message);
    }
    if (const auto still = lines_.find(connection); still != lines_.end()) pump(still->second.server);
  });
}

/// A line that takes nothing new ends once nobody waits on it.
void DotClient::retire_if_idle(Handle connection) {
  const auto& line = lines_.at(connection);
  const bool waits = std::any_of(line.asked.begin(), line.asked.end(),
                                 [](const auto& each) { return each.second != no_handle; });
  // A line full of ids whose answers never came is of no more use either.
  if (waits || !line.open || (!line.retiring && line.asked.size() < most_on_line)) return;
  net_.close(connection, reason::finished);
}

void DotClient::on_ended(Handle connection, const char* why) {
  const auto it = lines_.find(connection);
  if (it == lines_.end()) return;
  const auto line = std::move(it->second);
  lines_.erase(it);
  const auto id = line.server;
  const double now = clock_.now_ms();
  const bool is_reset = std::strcmp(why, reason::reset) == 0 || std::strcmp(why, reason::peer_closed) == 0;
  if (std::string(why).starts_with("tls_")) ++tls_failures_[why];
  const auto server = servers_.find(id);
  if (server != servers_.end()) std::erase(server->second.lines, connection);
  const auto ending = tls::ending_of(why);
  if (line.open) {
    admission_.connection_closed(id, now, is_reset && !line.asked.empty());
  } else {
    admission_.handshake_finished(id, now, line.admitted, ending, false, now - line.since);
  }
  // A peer that is not the right one will not be it in a moment: what waits for it goes elsewhere.
  std::vector<Handle> never_left;
  if (!line.open && ending == Outcome::not_verified && server != servers_.end()) {
    for (const auto& each : std::exchange(server->second.waiting, {})) never_left.push_back(each.attempt);
  }
  forget_if_done(id);
  for (const auto attempt : never_left) fail(attempt, AttemptResult::connect_failed);
  for (const auto& [number, attempt] : line.asked) {
    if (attempt != no_handle) fail(attempt, AttemptResult::reset);
  }
  pump(id);
}

}  // namespace heathturn
