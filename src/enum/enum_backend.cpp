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

/// A server that was erased and is listed again is a new exchange to the decision module.
ExchangeId EnumBackend::exchange_id_of(const std::string& name) {
  const auto [it, inserted] = exchange_ids_.try_emplace(name);
  if (inserted) it->second = ExchangeId{++last_exchange_id_};
  return it->second;
}

void EnumBackend::update_servers(const std::vector<ListedServer>& list,
                                 std::vector<std::uint32_t> pool_limits, const TlsContexts& contexts) {
  const bool limits_changed =
      pool_limits.size() != pool_usage_.size() ||
      !std::equal(pool_usage_.begin(), pool_usage_.end(), pool_limits.begin(),
                  [](const PoolUsage& usage, std::uint32_t limit) { return usage.max_in_flight == limit; });
  if (limits_changed) {
    pool_usage_.clear();
    for (const auto limit : pool_limits) pool_usage_.push_back({limit, 0});
    ++pool_generation_;
  }
  DirectoryUpdate update;
  update.kind = DirectoryUpdate::Kind::snapshot;
  for (auto& [id, server] : servers_) {
    server.converter.entry.state = ExchangeState::gone;
    server.listed = false;
  }
  for (const auto& listed : list) {
    auto converter = listed.converter;
    converter.entry.exchange = exchange_id_of(converter.name);
    update.entries.push_back(converter.entry);
    auto& server = servers_[converter.entry.exchange];
    server.converter = std::move(converter);
    server.pool = listed.pool;
    server.listed = true;
    server.uses_tls = contexts[listed.pool] != nullptr;
    const auto id = server.converter.entry.exchange;
    if (server.uses_tls)
      dot_client_.update_server(id, server.converter.address, server.converter.name, contexts[listed.pool]);
  }
  for (const auto& [id, server] : servers_) {
    if (!server.listed || !server.uses_tls) dot_client_.remove_server(id);
  }
  erase_gone_servers();
  router_.directory_updated(update);
  for (const auto& entry : update.entries) report_group(entry.exchange);
}

/// Erases servers that are no longer listed and have no look-up in flight. A registry may list new names all
/// the time, so nothing is kept of a server that is gone.
void EnumBackend::erase_gone_servers() {
  std::erase_if(servers_, [this](const auto& entry) {
    const auto& server = entry.second;
    if (server.listed || server.in_flight > 0) return false;
    exchange_ids_.erase(server.converter.name);
    return true;
  });
}

std::vector<ConverterView> EnumBackend::server_views() const {
  std::vector<ConverterView> out;
  for (const auto& [id, server] : servers_) out.push_back({server.converter, server.in_flight});
  return out;
}

/// Number of further look-ups that the server may be sent, by its own limit and that of its pool.
std::uint32_t EnumBackend::free_circuits_at(const Server& server) const {
  const auto own_free = server.converter.circuits - std::min(server.converter.circuits, server.in_flight);
  if (server.pool >= pool_usage_.size() || pool_usage_[server.pool].max_in_flight == 0) return own_free;
  const auto& pool = pool_usage_[server.pool];
  return std::min(own_free, pool.max_in_flight - std::min(pool.max_in_flight, pool.in_flight));
}

/// Tells the router the state of the circuit group to a server. Its circuits are the look-ups that this
/// program may have in flight there.
void EnumBackend::report_group(ExchangeId exchange) {
  const auto it = servers_.find(exchange);
  if (it == servers_.end()) return;
  LoadReport report;
  report.total_circuits = it->second.converter.circuits;
  report.free_circuits = free_circuits_at(it->second);
  router_.exchange_reported(exchange, report);
}

void EnumBackend::send_attempt(Handle attempt, ExchangeId exchange, const Request& request,
                               double time_left_ms) {
  const auto found = servers_.find(exchange);
  if (found == servers_.end()) return router_.attempt_ended(attempt, {.result = AttemptResult::not_sent});
  auto& server = found->second;
  if (free_circuits_at(server) == 0) {
    return router_.attempt_ended(attempt,
                                 {.result = AttemptResult::not_sent, .cause = FailureCause::no_circuit});
  }
  const auto query = dns::parse_message(request.body);
  const auto socket = server.uses_tls ? no_handle : datagrams_.connect(server.converter.address, *this);
  if (!query || (socket == no_handle && !server.uses_tls)) {
    return router_.attempt_ended(attempt, {.result = AttemptResult::connect_failed});
  }
  LookUp look_up;
  look_up.exchange = exchange;
  look_up.pool = server.pool;
  look_up.pool_generation = pool_generation_;
  look_up.query = *query;
  look_up.query.id = random_message_id();
  look_up.socket = socket;
  look_up.deadline_ms = clock_.now_ms() + time_left_ms;
  const auto bytes = dns::serialize_message(look_up.query);
  const double deadline_ms = look_up.deadline_ms;
  look_ups_[attempt] = std::move(look_up);
  ++server.in_flight;
  if (server.pool < pool_usage_.size()) ++pool_usage_[server.pool].in_flight;
  if (server.uses_tls) {
    report_group(exchange);
    return dot_client_.send(attempt, exchange, deadline_ms);
  }
  attempt_by_socket_[socket] = attempt;
  if (!datagrams_.send(socket, bytes)) return end_attempt(attempt, AttemptResult::connect_failed);
  report_group(exchange);
}

void EnumBackend::erase_look_up(Handle attempt) {
  const auto it = look_ups_.find(attempt);
  if (it == look_ups_.end()) return;
  const auto look_up = std::move(it->second);
  look_ups_.erase(it);
  if (look_up.socket == no_handle) {
    dot_client_.abandon(attempt);
  } else {
    attempt_by_socket_.erase(look_up.socket);
    datagrams_.close(look_up.socket);
  }
  if (look_up.connection != no_handle) {
    attempt_by_connection_.erase(look_up.connection);
    net_.close(look_up.connection, reason::finished);
  }
  if (look_up.pool_generation == pool_generation_ && look_up.pool < pool_usage_.size())
    --pool_usage_[look_up.pool].in_flight;
  const auto server = servers_.find(look_up.exchange);
  if (server != servers_.end() && --server->second.in_flight == 0 && !server->second.listed)
    erase_gone_servers();
}

void EnumBackend::abandon_attempt(Handle attempt) {
  const auto it = look_ups_.find(attempt);
  if (it == look_ups_.end()) return;
  const auto exchange = it->second.exchange;
  erase_look_up(attempt);
  report_group(exchange);
}

void EnumBackend::end_attempt(Handle attempt, AttemptResult result, FailureCause cause) {
  abandon_attempt(attempt);
  router_.attempt_ended(attempt, {.result = result, .cause = cause});
}

void EnumBackend::on_datagram(Handle socket, const Address&, const std::string& bytes) {
  if (const auto it = attempt_by_socket_.find(socket); it != attempt_by_socket_.end())
    process_answer(it->second, bytes, false);
}

void EnumBackend::on_refused(Handle socket) {
  // No server listens there, so the look-up was not run.
  if (const auto it = attempt_by_socket_.find(socket); it != attempt_by_socket_.end())
    end_attempt(it->second, AttemptResult::connect_failed);
}

/// Accepts the first valid reply to the look-up. Any other message (from elsewhere, late, for another
/// question, a second reply with other records) is dropped, and the look-up goes on.
void EnumBackend::process_answer(Handle attempt, const std::string& bytes, bool over_tcp) {
  auto& look_up = look_ups_[attempt];
  const auto header = dns::parse_header(bytes);
  if (!header || !header->response || header->id != look_up.query.id) return;
  if (!over_tcp && look_up.connection != no_handle) return;  // it is already being repeated over TCP
  const auto question = dns::parse_question(bytes);
  if (!question || !question->matches(*look_up.query.question)) return;
  if (header->truncated) {
    if (over_tcp) return end_attempt(attempt, AttemptResult::error);
    const double time_left_ms = std::max(1.0, look_up.deadline_ms - clock_.now_ms());
    const auto server = servers_.find(look_up.exchange);
    if (server == servers_.end()) return end_attempt(attempt, AttemptResult::error);
    const auto connection = net_.connect(server->second.converter.address, *this, "upstream", time_left_ms);
    look_up.connection = connection;
    attempt_by_connection_[connection] = attempt;
    return;
  }
  const auto reply = dns::parse_message(bytes);
  if (!reply || reply->opcode != 0) return;  // possibly forged; a valid reply may follow
  if (reply->rcode != dns::rcode::no_error && reply->rcode != dns::rcode::nx_domain) {
    return end_attempt(attempt, AttemptResult::error);
  }
  deliver_answer(attempt, bytes);
}

void EnumBackend::deliver_answer(Handle attempt, const std::string& bytes) {
  const auto exchange = look_ups_[attempt].exchange;
  erase_look_up(attempt);
  router_.attempt_succeeded(attempt, bytes);
  router_.attempt_ended(attempt, {.result = AttemptResult::ended});
  report_group(exchange);
}

std::string EnumBackend::serialize_query(Handle attempt, std::uint16_t message_id) {
  auto& query = look_ups_[attempt].query;
  query.id = message_id;
  return dns::serialize_message(query);
}

/// The peer is verified, so an answer that does not match is the server's error, and the attempt fails.
void EnumBackend::on_dot_answer(Handle attempt, const std::string& message) {
  const auto reply = dns::parse_message(message);
  const auto& query = look_ups_[attempt].query;
  const bool matches = reply && reply->response && reply->opcode == 0 && !reply->truncated &&
                       reply->question && reply->question->matches(*query.question);
  if (!matches || (reply->rcode != dns::rcode::no_error && reply->rcode != dns::rcode::nx_domain)) {
    return end_attempt(attempt, AttemptResult::error);
  }
  deliver_answer(attempt, message);
}

void EnumBackend::on_dot_failed(Handle attempt, AttemptResult result) { end_attempt(attempt, result); }

void EnumBackend::on_connected(Handle connection) {
  const auto it = attempt_by_connection_.find(connection);
  if (it == attempt_by_connection_.end()) return net_.close(connection, reason::finished);
  auto& look_up = look_ups_[it->second];
  look_up.query.id = random_message_id();
  const auto bytes = dns::serialize_message(look_up.query);
  std::string framed;
  put_big_endian(framed, bytes.size(), 2);
  net_.write(connection, framed + bytes);
}

void EnumBackend::on_input(Handle connection, evbuffer* in) {
  net_.read_length_prefixed(connection, in, 2, 65535, [this, connection](const std::string& message) {
    const auto it = attempt_by_connection_.find(connection);
    if (it != attempt_by_connection_.end()) process_answer(it->second, message, true);
  });
}

void EnumBackend::on_ended(Handle connection, const char*) {
  const auto it = attempt_by_connection_.find(connection);
  if (it == attempt_by_connection_.end()) return;
  const auto attempt = it->second;
  attempt_by_connection_.erase(it);
  look_ups_[attempt].connection = no_handle;
  end_attempt(attempt, AttemptResult::reset);
}

}  // namespace heathturn
