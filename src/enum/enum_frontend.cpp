#include "enum/enum_frontend.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <stdexcept>

#include "net/framing.hpp"

namespace heathturn {
namespace {

constexpr int most_port_tries = 16;
constexpr std::size_t most_connections = 128;
constexpr std::size_t most_requests = 256;    // look-ups open on one connection
constexpr std::size_t most_open = 10000;      // look-ups: beyond, the cheap answer is a refusal
constexpr std::size_t most_query = 4096;      // bytes of a query over TCP
constexpr double idle_connection_ms = 10000;  // without a query and without an open one

/// What a record may be about: the question's name, or one that an alias of it leads to.
void keep_relevant(dns::Message& message) {
  std::vector<dns::Record> kept;
  dns::Question at = *message.question;
  for (const auto& record : message.answers) {
    at.type = record.type;
    at.dns_class = record.dns_class;
    if (!at.matches({record.name, record.type, record.dns_class})) continue;
    kept.push_back(record);
    if (record.type == dns::type::cname) at.name = record.data;
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
  for (int tries = 1;; ++tries) {
    socket_ = datagrams_.bind(config_->listen, *this);
    try {
      return net_.listen(datagrams_.address(socket_), *this, "resolver",
                         {.connections = most_connections, .requests = most_requests});
    } catch (const std::runtime_error&) {
      // Where the file leaves the port to the system, the one it gave for UDP may be taken for TCP.
      if (config_->listen.port != 0 || tries == most_port_tries) throw;
      datagrams_.close(socket_);
    }
  }
}

// ---- Queries ------------------------------------------------------------------------------------------

void EnumFrontend::on_datagram(Handle, const Address& from, const std::string& bytes) {
  on_query({from, no_handle}, bytes);
}

void EnumFrontend::on_connected(Handle connection) { expect_query(connection); }

void EnumFrontend::on_input(Handle connection, evbuffer* in) {
  net_.each_counted(connection, in, 2, most_query, [this, connection](const std::string& message) {
    if (message.size() < dns::header_bytes) throw Unreadable{reason::malformed};
    expect_query(connection);
    on_query({{}, connection}, message);
  });
}

void EnumFrontend::expect_query(Handle connection) {
  timers_.cancel(idle_[connection]);
  idle_[connection] = timers_.schedule(clock_.now_ms() + idle_connection_ms, [this, connection] {
    idle_[connection] = {};
    const bool waits = std::any_of(asked_.begin(), asked_.end(), [connection](const auto& each) {
      return each.second.client.connection == connection;
    });
    if (waits) return expect_query(connection);
    net_.close(connection, reason::idle);
  });
}

void EnumFrontend::on_ended(Handle connection, const char*) {
  timers_.cancel(idle_[connection]);
  idle_.erase(connection);
  std::vector<Handle> left;
  for (const auto& [request, asked] : asked_) {
    if (asked.client.connection == connection) left.push_back(request);
  }
  for (const auto request : left) {
    take(request);
    router_.caller_left(request);
  }
}

void EnumFrontend::on_query(const Client& client, const std::string& bytes) {
  const auto header = dns::parse_header(bytes);
  // Guards against two servers that answer each other for ever: nothing but a query is answered.
  if (!header || header->response) return;
  dns::Message bare;
  bare.id = header->id;
  bare.opcode = header->opcode;
  bare.recursion_desired = header->recursion_desired;
  if (header->opcode != 0) return reply(client, bare, dns::rcode::not_imp);
  auto query = dns::parse_message(bytes);
  if (!query || !query->question || !query->answers.empty() || !query->authority.empty()) {
    return reply(client, bare, dns::rcode::form_err);
  }
  if (query->edns && query->edns->version != 0) return reply(client, *query, dns::rcode::bad_vers);
  const auto& question = *query->question;
  if (question.dns_class != dns::class_in || question.type != dns::type::naptr || door_closed_) {
    return reply(client, *query, dns::rcode::refused);
  }
  open_request(client, std::move(*query));
}

std::uint16_t EnumFrontend::minute_of_week() {
  constexpr double minute_ms = 60000;
  const double now = clock_.now_ms();
  if (now >= minute_until_) {
    minute_ = units::minute_of_week(now, config_->zone);
    minute_until_ = (std::floor(now / minute_ms) + 1) * minute_ms;
  }
  return minute_;
}

void EnumFrontend::open_request(const Client& client, dns::Message query) {
  const auto number = dns::number_from_name(query.question->name, config_->suffix);
  if (!number || asked_.size() >= most_open) return reply(client, query, dns::rcode::refused);
  Key key{client, query.id, query.question->name};
  // A client that asks again while its request is open gets the one answer that is under way.
  if (open_.contains(key)) return;
  const auto from = client.connection == no_handle ? client.address : net_.peer(client.connection);
  routes::LookUp look_up;
  look_up.number = *number;
  look_up.tenant = selector_.route_table().tenant_of(from.host);
  look_up.traffic_class = selector_.route_table().class_of(*number, look_up.tenant);
  look_up.minute_of_week = minute_of_week();
  auto choice = selector_.choose(look_up);
  if (!choice) return reply(client, query, dns::rcode::refused);
  // Nothing is in service where the number leads: said at once, not when the client's time is up.
  if (choice->candidates.empty()) return reply(client, query, dns::rcode::serv_fail);
  const auto& policy = config_->policies[choice->policy];
  auto gate = selector_.limiter(choice->policy);
  if (gate->try_acquire(clock_.now_ms()) != routes::PolicyLimiter::Decision::admitted)
    return reply(client, query, dns::rcode::refused);
  const auto& kind = config_->settings.classes[look_up.traffic_class];
  Request request;
  request.traffic_class = look_up.traffic_class;
  request.circuits = kind.circuits;
  request.class_name = kind.name;
  request.time_left_ms = config_->deadline_ms(policy, look_up.traffic_class);
  request.destination = choice->candidates.front();
  request.routed = true;
  request.alternates.assign(choice->candidates.begin() + 1, choice->candidates.end());
  request.attempt_limit = policy.attempts;
  request.retry_wait_ms = policy.retry_wait_ms;
  request.wire_id = dns::name_to_text(query.question->name);
  request.key = *number;
  std::from_chars(number->data(), number->data() + number->size(), request.called_number);
  dns::Message asked;
  asked.recursion_desired = query.recursion_desired;
  asked.checking_disabled = query.checking_disabled;
  asked.question = query.question;
  asked.edns = dns::Edns{};
  asked.edns->udp_payload_bytes = dns::advertised_udp_payload_bytes;
  asked.edns->dnssec_ok = query.edns && query.edns->dnssec_ok;
  request.body = dns::serialize_message(asked);
  if (client.connection != no_handle && !net_.begin_request(client.connection)) {
    gate->release();
    return reply(client, query, dns::rcode::refused);
  }
  router_.offer(*this, std::move(request), [&](Handle handle) {
    open_[key] = handle;
    asked_[handle] = {client, std::move(query), key, std::move(gate)};
  });
}

// ---- Answers --------------------------------------------------------------------------------------------

std::optional<EnumFrontend::Asked> EnumFrontend::take(Handle request) {
  const auto it = asked_.find(request);
  if (it == asked_.end()) return std::nullopt;
  auto asked = std::move(it->second);
  asked_.erase(it);
  open_.erase(asked.key);
  asked.gate->release();
  if (asked.client.connection != no_handle) net_.end_request(asked.client.connection);
  return asked;
}

void EnumFrontend::on_request_served(Handle request, const std::string& bytes) {
  const auto asked = take(request);
  auto answer = dns::parse_message(bytes);
  if (!asked || !answer) return;
  keep_relevant(*answer);
  // Of the authority only what makes a denial complete: the zone's SOA, and what signs it.
  std::erase_if(answer->authority, [](const auto& record) {
    return record.type != dns::type::soa && record.type != 46 && record.type != 47 && record.type != 50;
  });
  write(asked->client, asked->query, std::move(*answer));
}

void EnumFrontend::on_request_refused(Handle request, double) {
  if (const auto asked = take(request)) reply(asked->client, asked->query, dns::rcode::refused);
}

void EnumFrontend::on_request_failed(Handle request) {
  if (const auto asked = take(request)) reply(asked->client, asked->query, dns::rcode::serv_fail);
}

void EnumFrontend::reply(const Client& client, const dns::Message& query, std::uint16_t rcode) {
  dns::Message answer;
  answer.rcode = rcode;
  write(client, query, std::move(answer));
}

void EnumFrontend::write(const Client& client, const dns::Message& query, dns::Message answer) {
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
  const std::size_t most = query.edns ? query.edns->udp_payload_bytes : dns::default_udp_payload_bytes;
  datagrams_.send_to(socket_, client.address, dns::serialize_within(answer, most));
}

}  // namespace heathturn
