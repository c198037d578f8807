#include "enum/enum_backend.hpp"

#include <algorithm>

#include "net/framing.hpp"

namespace heathturn {

using namespace maddershed;

EnumBackend::EnumBackend(Clock& clock, TimerQueue& timers, Connections& net, Datagrams& datagrams,
                         Router& router, const handshakes::Settings& handshakes, std::uint64_t seed)
    : clock_(clock),
      net_(net),
      datagrams_(datagrams),
      router_(router),
      dot_client_(clock, timers, net, handshakes, seed, *this) {}

/// A server that has gone for good and comes back is a new one to the module.
ExchangeId EnumBackend::id_of(const std::string& name) {
  const auto [it, fresh] = ids_.try_emplace(name);
  if (fresh) it->second = ExchangeId{++last_id_};
  return it->second;
}

void EnumBackend::update_servers(const std::vector<ListedServer>& list,
                                 std::vector<std::uint32_t> pool_limits, const TlsContexts& contexts) {
  const bool other_pools =
      pool_limits.size() != pools_.size() ||
      !std::equal(pools_.begin(), pools_.end(), pool_limits.begin(),
                  [](const PoolRoom& room, std::uint32_t most) { return room.most == most; });
  if (other_pools) {
    pools_.clear();
    for (const auto most : pool_limits) pools_.push_back({most, 0});
    ++generation_;
  }
  DirectoryUpdate update;
  update.kind = DirectoryUpdate::Kind::snapshot;
  for (auto& [id, server] : servers_) {
    server.converter.entry.state = ExchangeState::gone;
    server.listed = false;
  }
  for (const auto& each : list) {
    auto converter = each.converter;
    converter.entry.exchange = id_of(converter.name);
    update.entries.push_back(converter.entry);
    auto& server = servers_[converter.entry.exchange];
    server.converter = std::move(converter);
    server.pool = each.pool;
    server.listed = true;
    server.secured = contexts[each.pool] != nullptr;
    const auto id = server.converter.entry.exchange;
    if (server.secured)
      dot_client_.update_server(id, server.converter.address, server.converter.name, contexts[each.pool]);
  }
  for (const auto& [id, server] : servers_) {
    if (!server.listed || !server.secured) dot_client_.remove_server(id);
  }
  forget_gone();
  router_.directory_updated(update);
  for (const auto& entry : update.entries) tell_group(entry.exchange);
}

/// Nothing is kept of a server that has gone, once its last look-up is over: names may be new all day long.
void EnumBackend::forget_gone() {
  std::erase_if(servers_, [this](const auto& each) {
    const auto& server = each.second;
    if (server.listed || server.out > 0) return false;
    ids_.erase(server.converter.name);
    return true;
  });
}

std::vector<ConverterView> EnumBackend::server_views() const {
  std::vector<ConverterView> out;
  for (const auto& [id, server] : servers_) out.push_back({server.converter, server.out});
  return out;
}

/// What a server may still be sent: its own limit, and what its pool leaves.
std::uint32_t EnumBackend::room_at(const Server& server) const {
  const auto own = server.converter.circuits - std::min(server.converter.circuits, server.out);
  if (server.pool >= pools_.size() || pools_[server.pool].most == 0) return own;
  const auto& pool = pools_[server.pool];
  return std::min(own, pool.most - std::min(pool.most, pool.out));
}

/// The group towards a server is what it is allowed to have in work for us at once.
void EnumBackend::tell_group(ExchangeId exchange) {
  const auto it = servers_.find(exchange);
  if (it == servers_.end()) return;
  LoadReport report;
  report.total_circuits = it->second.converter.circuits;
  report.free_circuits = room_at(it->second);
  router_.exchange_reported(exchange, report);
}

void EnumBackend::send_attempt(Handle attempt, ExchangeId exchange, const Request& request,
                               double time_left_ms) {
  const auto found = servers_.find(exchange);
  if (found == servers_.end()) return router_.attempt_ended(attempt, {.result = AttemptResult::not_sent});
  auto& server = found->second;
  if (room_at(server) == 0) {
    return router_.attempt_ended(attempt,
                                 {.result = AttemptResult::not_sent, .cause = FailureCause::no_circuit});
  }
  const auto asked = dns::parse_message(request.body);
  const auto socket = server.secured ? no_handle : datagrams_.connect(server.converter.address, *this);
  if (!asked || (socket == no_handle && !server.secured)) {
    return router_.attempt_ended(attempt, {.result = AttemptResult::connect_failed});
  }
  LookUp look_up;
  look_up.exchange = exchange;
  look_up.pool = server.pool;
  look_up.generation = generation_;
  look_up.query = *asked;
  look_up.query.id = unpredictable();
  look_up.socket = socket;
  look_up.due = clock_.now_ms() + time_left_ms;
  const auto bytes = dns::serialize_message(look_up.query);
  const double due = look_up.due;
  look_ups_[attempt] = std::move(look_up);
  ++server.out;
  if (server.pool < pools_.size()) ++pools_[server.pool].out;
  if (server.secured) {
    tell_group(exchange);
    return dot_client_.send(attempt, exchange, due);
  }
  by_socket_[socket] = attempt;
  if (!datagrams_.send(socket, bytes)) return end(attempt, AttemptResult::connect_failed);
  tell_group(exchange);
}

void EnumBackend::forget(Handle attempt) {
  const auto it = look_ups_.find(attempt);
  if (it == look_ups_.end()) return;
  const auto look_up = std::move(it->second);
  look_ups_.erase(it);
  if (look_up.socket == no_handle) {
    dot_client_.abandon(attempt);
  } else {
    by_socket_.erase(look_up.socket);
    datagrams_.close(look_up.socket);
  }
  if (look_up.connection != no_handle) {
    by_connection_.erase(look_up.connection);
    net_.close(look_up.connection, reason::finished);
  }
  if (look_up.generation == generation_ && look_up.pool < pools_.size()) --pools_[look_up.pool].out;
  const auto server = servers_.find(look_up.exchange);
  if (server != servers_.end() && --server->second.out == 0 && !server->second.listed) forget_gone();
}

void EnumBackend::abandon_attempt(Handle attempt) {
  const auto it = look_ups_.find(attempt);
  if (it == look_ups_.end()) return;
  const auto exchange = it->second.exchange;
  forget(attempt);
  tell_group(exchange);
}

void EnumBackend::end(Handle attempt, AttemptResult result, FailureCause cause) {
  abandon_attempt(attempt);
  router_.attempt_ended(attempt, {.result = result, .cause = cause});
}

void EnumBackend::on_datagram(Handle socket, const Address&, const std::string& bytes) {
  if (const auto it = by_socket_.find(socket); it != by_socket_.end()) take_answer(it->second, bytes, false);
}

void EnumBackend::on_refused(Handle socket) {
  // Nobody listens there: the look-up never ran.
  if (const auto it = by_socket_.find(socket); it != by_socket_.end())
    end(it->second, AttemptResult::connect_failed);
}

/// Takes the first reply that is one to this look-up. Whatever else comes (from elsewhere, late, to another
/// question, a second time with other records) is dropped and the look-up goes on.
void EnumBackend::take_answer(Handle attempt, const std::string& bytes, bool over_tcp) {
  auto& look_up = look_ups_[attempt];
  const auto header = dns::parse_header(bytes);
  if (!header || !header->response || header->id != look_up.query.id) return;
  if (!over_tcp && look_up.connection != no_handle) return;  // it goes on over TCP already
  const auto question = dns::parse_question(bytes);
  if (!question || !question->matches(*look_up.query.question)) return;
  if (header->truncated) {
    if (over_tcp) return end(attempt, AttemptResult::error);
    const double left = std::max(1.0, look_up.due - clock_.now_ms());
    const auto server = servers_.find(look_up.exchange);
    if (server == servers_.end()) return end(attempt, AttemptResult::error);
    const auto connection = net_.connect(server->second.converter.address, *this, "upstream", left);
    look_up.connection = connection;
    by_connection_[connection] = attempt;
    return;
  }
  const auto reply = dns::parse_message(bytes);
  if (!reply || reply->opcode != 0) return;  // malformed: it may be forged, the true one may still come
  if (reply->rcode != dns::rcode::no_error && reply->rcode != dns::rcode::nx_domain) {
    return end(attempt, AttemptResult::error);
  }
  deliver(attempt, bytes);
}

void EnumBackend::deliver(Handle attempt, const std::string& bytes) {
  const auto exchange = look_ups_[attempt].exchange;
  forget(attempt);
  router_.attempt_succeeded(attempt, bytes);
  router_.attempt_ended(attempt, {.result = AttemptResult::ended});
  tell_group(exchange);
}

std::string EnumBackend::serialize_query(Handle attempt, std::uint16_t id) {
  auto& query = look_ups_[attempt].query;
  query.id = id;
  return dns::serialize_message(query);
}

/// On a connection that is verified whole, what does not fit is the server's own fault.
void EnumBackend::on_dot_answer(Handle attempt, const std::string& message) {
  const auto reply = dns::parse_message(message);
  const auto& query = look_ups_[attempt].query;
  const bool fits = reply && reply->response && reply->opcode == 0 && !reply->truncated && reply->question &&
                    reply->question->matches(*query.question);
  if (!fits || (reply->rcode != dns::rcode::no_error && reply->rcode != dns::rcode::nx_domain)) {
    return end(attempt, AttemptResult::error);
  }
  deliver(attempt, message);
}

void EnumBackend::on_dot_failed(Handle attempt, AttemptResult result) { end(attempt, result); }

void EnumBackend::on_connected(Handle connection) {
  const auto it = by_connection_.find(connection);
  if (it == by_connection_.end()) return net_.close(connection, reason::finished);
  auto& look_up = look_ups_[it->second];
  look_up.query.id = unpredictable();
  const auto bytes = dns::serialize_message(look_up.query);
  std::string framed;
  put_big_endian(framed, bytes.size(), 2);
  net_.write(connection, framed + bytes);
}

void EnumBackend::on_input(Handle connection, evbuffer* in) {
  net_.each_counted(connection, in, 2, 65535, [this, connection](const std::string& message) {
    const auto it = by_connection_.find(connection);
    if (it != by_connection_.end()) take_answer(it->second, message, true);
  });
}

void EnumBackend::on_ended(Handle connection, const char*) {
  const auto it = by_connection_.find(connection);
  if (it == by_connection_.end()) return;
  const auto attempt = it->second;
  by_connection_.erase(it);
  look_ups_[attempt].connection = no_handle;
  end(attempt, AttemptResult::reset);
}

}  // namespace heathturn
