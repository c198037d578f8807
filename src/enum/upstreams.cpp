#include "enum/upstreams.hpp"

#include <algorithm>

#include "net/framing.hpp"

namespace heathturn {

using namespace maddershed;

Upstreams::Upstreams(Clock& clock, Connections& net, Datagrams& datagrams, Router& router)
    : clock_(clock), net_(net), datagrams_(datagrams), router_(router) {}

ExchangeId Upstreams::id_of(const std::string& name) {
  return ids_.try_emplace(name, ExchangeId{static_cast<std::uint32_t>(ids_.size() + 1)}).first->second;
}

void Upstreams::update(std::vector<Converter> list, bool whole) {
  DirectoryUpdate update;
  update.kind = whole ? DirectoryUpdate::Kind::whole : DirectoryUpdate::Kind::changes;
  if (whole) {
    for (auto& [id, server] : servers_) server.converter.entry.state = ExchangeState::gone;
  }
  for (auto& converter : list) {
    converter.entry.exchange = id_of(converter.name);
    update.entries.push_back(converter.entry);
    servers_[converter.entry.exchange].converter = converter;
  }
  router_.directory(update);
  for (const auto& converter : list) tell_group(converter.entry.exchange);
}

std::vector<ConverterView> Upstreams::view() const {
  std::vector<ConverterView> out;
  for (const auto& [id, server] : servers_) out.push_back({server.converter, server.out});
  return out;
}

/// The group towards a server is what it is allowed to have in work for us at once.
void Upstreams::tell_group(ExchangeId exchange) {
  const auto& server = servers_[exchange];
  LoadReport report;
  report.total_circuits = server.converter.circuits;
  report.free_circuits = std::max(0.0, static_cast<double>(server.converter.circuits) - server.out);
  router_.report(exchange, report);
}

void Upstreams::send(Handle attempt, ExchangeId exchange, const Request& request, double left_ms) {
  auto& server = servers_[exchange];
  if (server.out >= server.converter.circuits) {
    return router_.ended(attempt, {.result = Result::not_sent, .cause = Cause::no_circuit});
  }
  const auto asked = dns::read_message(request.body);
  const auto socket = datagrams_.connect(server.converter.address, *this);
  if (!asked || socket == no_handle) return router_.ended(attempt, {.result = Result::connect_failed});
  LookUp look_up;
  look_up.exchange = exchange;
  look_up.query = *asked;
  look_up.query.id = unpredictable();
  look_up.socket = socket;
  look_up.due = clock_.now() + left_ms;
  const auto bytes = dns::write_message(look_up.query);
  look_ups_[attempt] = std::move(look_up);
  by_socket_[socket] = attempt;
  ++server.out;
  if (!datagrams_.send(socket, bytes)) return end(attempt, Result::connect_failed);
  tell_group(exchange);
}

void Upstreams::forget(Handle attempt) {
  const auto it = look_ups_.find(attempt);
  if (it == look_ups_.end()) return;
  const auto look_up = std::move(it->second);
  look_ups_.erase(it);
  by_socket_.erase(look_up.socket);
  datagrams_.close(look_up.socket);
  if (look_up.connection != no_handle) {
    by_connection_.erase(look_up.connection);
    net_.close(look_up.connection, reason::finished);
  }
  --servers_[look_up.exchange].out;
}

void Upstreams::give_up(Handle attempt) {
  const auto it = look_ups_.find(attempt);
  if (it == look_ups_.end()) return;
  const auto exchange = it->second.exchange;
  forget(attempt);
  tell_group(exchange);
}

void Upstreams::end(Handle attempt, Result result, Cause cause) {
  give_up(attempt);
  router_.ended(attempt, {.result = result, .cause = cause});
}

void Upstreams::on_datagram(Handle socket, const Address&, const std::string& bytes) {
  if (const auto it = by_socket_.find(socket); it != by_socket_.end()) take_answer(it->second, bytes, false);
}

void Upstreams::on_refused(Handle socket) {
  // Nobody listens there: the look-up never ran.
  if (const auto it = by_socket_.find(socket); it != by_socket_.end())
    end(it->second, Result::connect_failed);
}

/// Takes the first reply that is one to this look-up. Whatever else comes (from elsewhere, late, to another
/// question, a second time with other records) is dropped and the look-up goes on.
void Upstreams::take_answer(Handle attempt, const std::string& bytes, bool over_tcp) {
  auto& look_up = look_ups_[attempt];
  const auto header = dns::read_header(bytes);
  if (!header || !header->response || header->id != look_up.query.id) return;
  if (!over_tcp && look_up.connection != no_handle) return;  // it goes on over TCP already
  const auto question = dns::read_question(bytes);
  if (!question || !question->same(*look_up.query.question)) return;
  if (header->truncated) {
    if (over_tcp) return end(attempt, Result::error);
    const double left = std::max(1.0, look_up.due - clock_.now());
    const auto connection =
        net_.connect(servers_[look_up.exchange].converter.address, *this, "upstream", left);
    look_up.connection = connection;
    by_connection_[connection] = attempt;
    return;
  }
  const auto reply = dns::read_message(bytes);
  if (!reply || reply->opcode != 0) return;  // malformed: it may be forged, the true one may still come
  if (reply->rcode != dns::rcode::no_error && reply->rcode != dns::rcode::nx_domain) {
    return end(attempt, Result::error);
  }
  const auto exchange = look_up.exchange;
  forget(attempt);
  router_.stands(attempt, bytes);
  router_.ended(attempt, {.result = Result::ended});
  tell_group(exchange);
}

void Upstreams::on_connected(Handle connection) {
  const auto it = by_connection_.find(connection);
  if (it == by_connection_.end()) return net_.close(connection, reason::finished);
  auto& look_up = look_ups_[it->second];
  look_up.query.id = unpredictable();
  const auto bytes = dns::write_message(look_up.query);
  std::string framed;
  put_big_endian(framed, bytes.size(), 2);
  net_.write(connection, framed + bytes);
}

void Upstreams::on_input(Handle connection, evbuffer* in) {
  net_.each_counted(connection, in, 2, 65535, [this, connection](const std::string& message) {
    const auto it = by_connection_.find(connection);
    if (it != by_connection_.end()) take_answer(it->second, message, true);
  });
}

void Upstreams::on_ended(Handle connection, const char*) {
  const auto it = by_connection_.find(connection);
  if (it == by_connection_.end()) return;
  const auto attempt = it->second;
  by_connection_.erase(it);
  look_ups_[attempt].connection = no_handle;
  end(attempt, Result::reset);
}

}  // namespace heathturn
