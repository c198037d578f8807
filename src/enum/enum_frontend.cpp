#include "enum/enum_frontend.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <stdexcept>

#include "net/framing.hpp"

namespace heathturn {
namespace {

constexpr int max_bind_attempts = 16;
constexpr std::size_t max_connections = 128;
constexpr std::size_t max_requests_per_client = 256;  // of a connection, or of an address over UDP
// Further queries are refused, which is the cheapest answer.
constexpr std::size_t max_pending_queries = 10000;
constexpr double idle_timeout_ms = 10000;  // without a query, on a connection that has none pending

/// Removes the answers whose owner is neither the name asked for nor one that it leads to by CNAME records.
void keep_relevant_answers(dns::Message& message) {
  std::vector<dns::Record> kept;
  dns::Question expected = *message.question;
  for (const auto& record : message.answers) {
    expected.type = record.type;
    expected.dns_class = record.dns_class;
    if (!expected.matches({record.name, record.type, record.dns_class})) continue;
    kept.push_back(record);
    if (record.type == dns::type::cname) expected.name = record.data;
  }
  message.answers = std::move(kept);
}

}  // namespace

EnumFrontend::EnumFrontend(Clock& clock, TimerQueue& timers, Connections& net, Datagrams& datagrams,
                           Router& router, routes::Selector& selector,
                           std::shared_ptr<const EnumConfig> config)
    : clock_(clock),
      timers_(timers),
      net_(net),
      datagrams_(datagrams),
      router_(router),
      selector_(selector),
      config_(std::move(config)) {}

Address EnumFrontend::listen() {
  for (int attempt = 1;; ++attempt) {
    socket_ = datagrams_.bind(config_->listen, *this);
    try {
      return net_.listen(datagrams_.address(socket_), *this, "resolver",
                         {.max_connections = max_connections, .max_open_requests = max_requests_per_client});
    } catch (const std::runtime_error&) {
      // When the system chooses the port, the one that it chose for UDP may be in use for TCP.
      if (config_->listen.port != 0 || attempt == max_bind_attempts) throw;
      datagrams_.close(socket_);
    }
  }
}

// ---- Queries ------------------------------------------------------------------------------------------

void EnumFrontend::on_datagram(Handle, const Address& from, const std::string& bytes) {
  on_query({from, no_handle}, bytes);
}

void EnumFrontend::on_connected(Handle connection) { restart_idle_timer(connection); }

void EnumFrontend::on_input(Handle connection, evbuffer* in) {
  // Nobody waits for the answers to what a client sent before it closed the connection.
  if (net_.peer_has_closed(connection)) return net_.close(connection, reason::peer_closed);
  net_.read_length_prefixed(connection, in, 2, dns::max_query_bytes,
                            [this, connection](const std::string& message) {
                              if (message.size() < dns::header_bytes) throw ProtocolError{reason::malformed};
                              restart_idle_timer(connection);
                              on_query({{}, connection}, message);
                            });
}

void EnumFrontend::restart_idle_timer(Handle connection) {
  timers_.cancel(idle_timers_[connection]);
  idle_timers_[connection] = timers_.schedule(clock_.now_ms() + idle_timeout_ms, [this, connection] {
    idle_timers_[connection] = {};
    const bool has_pending = std::any_of(pending_.begin(), pending_.end(), [connection](const auto& entry) {
      return entry.second.client.connection == connection;
    });
    if (has_pending) return restart_idle_timer(connection);
    net_.close(connection, reason::idle);
  });
}

void EnumFrontend::on_ended(Handle connection, const char*) {
  timers_.cancel(idle_timers_[connection]);
  idle_timers_.erase(connection);
  std::vector<Handle> abandoned;
  for (const auto& [request, pending] : pending_) {
    if (pending.client.connection == connection) abandoned.push_back(request);
  }
  for (const auto request : abandoned) {
    take_pending(request);
    router_.caller_left(request);
  }
}

void EnumFrontend::on_query(const Client& client, const std::string& bytes) {
  const auto header = dns::parse_header(bytes);
  // Only queries are answered, so that two servers cannot answer each other's messages for ever.
  if (!header || header->response) return;
  dns::Message error_header;
  error_header.id = header->id;
  error_header.opcode = header->opcode;
  error_header.recursion_desired = header->recursion_desired;
  if (header->opcode != 0) return send_error(client, error_header, dns::rcode::not_imp);
  auto query = dns::parse_query(bytes);
  if (!query) return send_error(client, error_header, dns::rcode::form_err);
  if (query->edns && query->edns->version != 0) return send_error(client, *query, dns::rcode::bad_vers);
  const auto& question = *query->question;
  if (question.dns_class != dns::class_in || question.type != dns::type::naptr || refusing_new_requests_) {
    return send_error(client, *query, dns::rcode::refused);
  }
  open_request(client, std::move(*query));
}

std::uint16_t EnumFrontend::minute_of_week() {
  constexpr double minute_ms = 60000;
  const double now_ms = clock_.now_ms();
  if (now_ms >= minute_expires_ms_) {
    minute_of_week_ = units::minute_of_week(now_ms, config_->time_zone);
    minute_expires_ms_ = (std::floor(now_ms / minute_ms) + 1) * minute_ms;
  }
  return minute_of_week_;
}

std::size_t EnumFrontend::pending_count_of(const Address& address) const {
  const auto it = pending_by_address_.find(address);
  return it == pending_by_address_.end() ? 0 : it->second;
}

void EnumFrontend::open_request(const Client& client, dns::Message query) {
  const auto number = dns::number_from_name(query.question->name, config_->suffix);
  if (!number || pending_.size() >= max_pending_queries)
    return send_error(client, query, dns::rcode::refused);
  QueryKey key{client, query.id, query.question->name};
  // A retransmission of a pending query gets no answer of its own.
  if (request_by_key_.contains(key)) return;
  if (client.connection == no_handle && pending_count_of(client.address) >= max_requests_per_client)
    return send_error(client, query, dns::rcode::refused);
  const auto client_address = client.connection == no_handle ? client.address : net_.peer(client.connection);
  routes::LookUp look_up;
  look_up.number = *number;
  look_up.tenant = selector_.route_table().tenant_of(client_address.host);
  look_up.traffic_class = selector_.route_table().class_of(*number, look_up.tenant);
  look_up.minute_of_week = minute_of_week();
  auto choice = selector_.choose(look_up);
  if (!choice) return send_error(client, query, dns::rcode::refused);
  // No server of the route is in service: the client learns it at once, not at its deadline.
  if (choice->candidates.empty()) return send_error(client, query, dns::rcode::serv_fail);
  const auto& policy = config_->policies[choice->policy];
  auto limiter = selector_.limiter(choice->policy);
  if (limiter->try_acquire(clock_.now_ms()) != routes::PolicyLimiter::Decision::admitted)
    return send_error(client, query, dns::rcode::refused);
  const auto& call_class = config_->settings.classes[look_up.traffic_class];
  Request request;
  request.traffic_class = look_up.traffic_class;
  request.circuits = call_class.circuits;
  request.class_name = call_class.name;
  request.time_left_ms = config_->deadline_ms(policy, look_up.traffic_class);
  request.destination = choice->candidates.front();
  request.routed = true;
  request.alternates.assign(choice->candidates.begin() + 1, choice->candidates.end());
  request.attempt_limit = policy.max_attempts;
  request.retry_wait_ms = policy.retry_wait_ms;
  request.wire_id = dns::name_to_text(query.question->name);
  request.key = *number;
  std::from_chars(number->data(), number->data() + number->size(), request.called_number);
  dns::Message upstream_query;
  upstream_query.recursion_desired = query.recursion_desired;
  upstream_query.checking_disabled = query.checking_disabled;
  upstream_query.question = query.question;
  upstream_query.edns = dns::Edns{};
  upstream_query.edns->udp_payload_bytes = dns::advertised_udp_payload_bytes;
  upstream_query.edns->dnssec_ok = query.edns && query.edns->dnssec_ok;
  request.body = dns::serialize_message(upstream_query);
  if (client.connection != no_handle && !net_.begin_request(client.connection)) {
    limiter->release();
    return send_error(client, query, dns::rcode::refused);
  }
  router_.offer(*this, std::move(request), [&](Handle handle) {
    request_by_key_[key] = handle;
    if (client.connection == no_handle) ++pending_by_address_[client.address];
    pending_[handle] = {client, std::move(query), key, std::move(limiter)};
  });
}

// ---- Answers --------------------------------------------------------------------------------------------

std::optional<EnumFrontend::PendingQuery> EnumFrontend::take_pending(Handle request) {
  const auto it = pending_.find(request);
  if (it == pending_.end()) return std::nullopt;
  auto pending = std::move(it->second);
  pending_.erase(it);
  request_by_key_.erase(pending.key);
  pending.limiter->release();
  if (pending.client.connection != no_handle) {
    net_.end_request(pending.client.connection);
  } else if (--pending_by_address_[pending.client.address] == 0) {
    pending_by_address_.erase(pending.client.address);
  }
  return pending;
}

/// Always true: nothing stands at the server after a look-up, so there is nothing to release.
bool EnumFrontend::on_request_served(Handle request, const std::string& bytes) {
  const auto pending = take_pending(request);
  auto answer = dns::parse_message(bytes);
  if (!pending || !answer) return true;
  keep_relevant_answers(*answer);
  // Of the authority section only the records of a negative answer are passed on: SOA, RRSIG (46), NSEC (47)
  // and NSEC3 (50).
  std::erase_if(answer->authority, [](const auto& record) {
    return record.type != dns::type::soa && record.type != 46 && record.type != 47 && record.type != 50;
  });
  send_answer(pending->client, pending->query, std::move(*answer));
  return true;
}

void EnumFrontend::on_request_refused(Handle request, double) {
  if (const auto pending = take_pending(request))
    send_error(pending->client, pending->query, dns::rcode::refused);
}

void EnumFrontend::on_request_failed(Handle request) {
  if (const auto pending = take_pending(request))
    send_error(pending->client, pending->query, dns::rcode::serv_fail);
}

void EnumFrontend::send_error(const Client& client, const dns::Message& query, std::uint16_t rcode) {
  dns::Message answer;
  answer.rcode = rcode;
  send_answer(client, query, std::move(answer));
}

void EnumFrontend::send_answer(const Client& client, const dns::Message& query, dns::Message answer) {
  answer.id = query.id;
  answer.response = true;
  answer.opcode = query.opcode;
  answer.truncated = false;
  answer.authoritative = false;
  answer.recursion_desired = query.recursion_desired;
  answer.recursion_available = true;
  answer.checking_disabled = query.checking_disabled;
  answer.question = query.question;
  answer.edns.reset();
  if (query.edns) {
    answer.edns = dns::Edns{};
    answer.edns->udp_payload_bytes = dns::advertised_udp_payload_bytes;
    answer.edns->dnssec_ok = query.edns->dnssec_ok;
  }
  if (client.connection != no_handle) {
    const auto bytes = dns::serialize_within(answer, 65535);
    std::string framed;
    put_big_endian(framed, bytes.size(), 2);
    net_.write(client.connection, framed + bytes);
    return;
  }
  const std::size_t max_bytes = query.edns ? query.edns->udp_payload_bytes : dns::default_udp_payload_bytes;
  datagrams_.send_to(socket_, client.address, dns::serialize_within(answer, max_bytes));
}

}  // namespace heathturn
