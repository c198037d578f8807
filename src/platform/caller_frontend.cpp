#include "platform/caller_frontend.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace heathturn {
namespace {

constexpr double ended_call_retention_ms = 60000;
constexpr std::size_t max_ended_calls = 16384;
constexpr double max_unknown_releases_per_second = 200;
constexpr double refused_retry_after_ms = 1000;    // while shutting down or over a limit
constexpr double first_message_timeout_ms = 2000;  // silent callers must be disconnected within 3 s
constexpr std::size_t max_requests_per_connection = 256;
constexpr std::uint32_t max_invalid_offers = 16;  // per connection
constexpr double max_circuits_per_call = 64;

/// Nothing unless the key is a number of 1 to 16 hexadecimal digits.
std::optional<std::uint64_t> parse_called_number(const std::string& key) {
  std::uint64_t value = 0;
  const char* end = key.data() + key.size();
  const auto [stop, error] = std::from_chars(key.data(), end, value, 16);
  if (error != std::errc{} || stop != end) return std::nullopt;
  return value;
}

}  // namespace

void RecentlyEndedCalls::add(const std::string& call_id, double now_ms) {
  if (call_ids_.insert(call_id).second) by_end_time_.emplace_back(now_ms, call_id);
  while (!by_end_time_.empty() && (now_ms - by_end_time_.front().first > ended_call_retention_ms ||
                                   by_end_time_.size() > max_ended_calls)) {
    call_ids_.erase(by_end_time_.front().second);
    by_end_time_.pop_front();
  }
}

CallerFrontend::CallerFrontend(Clock& clock, TimerQueue& timers, Connections& net, Router& router,
                               const PlatformConfig& config)
    : clock_(clock), net_(net), router_(router), config_(config), releases_(clock, timers, net) {}

void CallerFrontend::listen() { listener_ = net_.listen(config_.listen, *this, "caller", listener_limits()); }

Connections::Limits CallerFrontend::listener_limits() const {
  return {.max_connections = config_.max_sockets / 2,
          .max_open_requests = max_requests_per_connection,
          .first_message_timeout_ms = first_message_timeout_ms};
}

// ---- Connections ----------------------------------------------------------------------------------------

void CallerFrontend::on_connected(Handle connection) { releases_.connection_opened(connection); }

void CallerFrontend::on_input(Handle connection, evbuffer* in) {
  const bool caller_left = net_.peer_has_closed(connection);
  net_.read_lines(connection, in, max_line_bytes, [this, connection, caller_left](const std::string& line) {
    on_message(connection, parse_message(line), caller_left);
  });
}

void CallerFrontend::on_ended(Handle connection, const char*) {
  invalid_offers_.erase(connection);
  std::vector<Handle> abandoned;
  for (const auto& [request, offered] : requests_) {
    if (offered.connection == connection && !offered.established) abandoned.push_back(request);
  }
  for (const auto request : abandoned) {
    erase_request(request);
    router_.caller_left(request);
  }
  releases_.connection_ended(connection);
}

/// `caller_left`: the caller has closed the connection, and this message was still unread.
void CallerFrontend::on_message(Handle connection, const Message& message, bool caller_left) {
  releases_.message_received(connection);
  switch (message.op) {
    case Op::offer:
      // Nobody waits for the answer. A release counts all the same.
      if (caller_left) return;
      return on_offer(connection, message);
    case Op::end:
      return on_end_message(connection, message);
    case Op::test: {
      Message reply;
      reply.op = Op::tested;
      reply.call_id = message.call_id;
      reply.code = !refusing_new_requests_ && is_ready_() ? 1 : 0;
      net_.write(connection, serialize_message(reply));
      return;
    }
    case Op::ended:
      return releases_.acknowledged(message.call_id, connection);
    case Op::ringing:
      return;
    case Op::accept:
    case Op::tested:
    case Op::group:
      break;
  }
  throw ProtocolError{reason::unknown_op};  // callers do not send these
}

void CallerFrontend::on_offer(Handle connection, const Message& message) {
  if (const auto it = requests_by_call_id_.find(message.call_id); it != requests_by_call_id_.end()) {
    // Each set-up has a new call id. An offer that reuses the id of an open call must neither get that call's
    // answer nor change the call.
    if (requests_[it->second].connection == connection) throw ProtocolError{reason::malformed};
    return refuse_invalid_offer(connection, message.call_id);
  }
  // Each set-up has a new call id: one that was offered before may have run.
  if (ended_requests_.contains(message.call_id)) return refuse_invalid_offer(connection, message.call_id);
  auto request = parse_offer(message);
  if (!request) return refuse_invalid_offer(connection, message.call_id);
  if (!is_known_number_(request->destination))
    return send_refusal(connection, message.call_id, cause::error, 0);
  releases_.raise_rank(connection, ReleaseSender::Rank::requested);
  if (refusing_new_requests_ || requests_.size() - established_count_ >= config_.max_open_requests ||
      !net_.begin_request(connection)) {
    other_ended_calls_.add(message.call_id, clock_.now_ms());
    return send_refusal(connection, message.call_id, cause::congestion, refused_retry_after_ms);
  }
  router_.offer(*this, std::move(*request), [&](Handle handle) {
    requests_[handle] = {message.call_id, connection, false};
    requests_by_call_id_[message.call_id] = handle;
  });
}

/// Nothing when the offer is invalid: its class or tenant is not configured, or a number is malformed or out
/// of range.
std::optional<Request> CallerFrontend::parse_offer(const Message& message) const {
  const auto* class_name = message.field("class");
  const auto* extras = message.field("extras");
  if (class_name == nullptr || extras == nullptr || !message.description) return std::nullopt;
  const auto class_index = config_.class_indexes.find(*class_name);
  if (class_index == config_.class_indexes.end()) return std::nullopt;
  if (const auto* tenant = message.field("tenant");
      tenant != nullptr && !config_.tenant_names.empty() && !config_.tenant_names.contains(*tenant)) {
    return std::nullopt;
  }
  Request request;
  request.traffic_class = class_index->second;
  request.circuits = config_.settings.classes[class_index->second].circuits;
  request.time_left_ms = message.number("left", -1);
  if (request.time_left_ms < 0 || request.time_left_ms > config_.max_time_left_ms()) return std::nullopt;
  request.redialled = message.number("retry", 0) != 0;
  request.wire_id = message.call_id;
  request.class_name = *class_name;
  request.body = *message.description;
  if (const auto* key = message.field("key")) {
    request.key = *key;
    const auto number = parse_called_number(*key);
    if (!number) return std::nullopt;
    request.called_number = *number;
  }
  const auto extra_numbers = parse_named_numbers(*extras);
  if (!extra_numbers.well_formed) return std::nullopt;
  for (const auto& [name, value] : extra_numbers.values) {
    if (name == "dest" && value != std::floor(value)) return std::nullopt;
    if (name == "dest") request.destination = maddershed::to_exchange_number(static_cast<float>(value));
    if (name == "via") request.tandem = maddershed::to_exchange_number(static_cast<float>(value));
    if (name == "width") request.circuits = value;
    if (name == "transit") request.in_transit = value != 0;
    if (name == "again") request.was_cut_off = value != 0;
  }
  if (!(request.circuits > 0 && request.circuits <= max_circuits_per_call)) return std::nullopt;
  if (request.destination == maddershed::no_exchange) return std::nullopt;
  return request;
}

/// Refuses a set-up. `wait_ms`: how long the caller should wait before it retries; 0: no advice.
void CallerFrontend::send_refusal(Handle connection, const std::string& call_id, int cause_code,
                                  double wait_ms) {
  Message reply;
  reply.call_id = call_id;
  reply.code = cause_code;
  if (wait_ms > 0) reply.fields.emplace_back("wait", std::to_string(std::lround(wait_ms)));
  net_.write(connection, serialize_message(reply));
}

/// Refuses an invalid offer and ends the connection when it has sent too many of them.
void CallerFrontend::refuse_invalid_offer(Handle connection, const std::string& call_id) {
  send_refusal(connection, call_id, cause::error, 0);
  if (net_.has(connection) && ++invalid_offers_[connection] >= max_invalid_offers)
    throw ProtocolError{reason::malformed};
}

void CallerFrontend::on_end_message(Handle connection, const Message& message) {
  Message reply;
  reply.op = Op::ended;
  reply.call_id = message.call_id;
  net_.write(connection, serialize_message(reply));
  if (const auto it = requests_by_call_id_.find(message.call_id); it != requests_by_call_id_.end()) {
    const auto request = it->second;
    const auto offered = requests_[request];
    // An established call may be released on any connection, a pending set-up only on its own.
    if (!offered.established && offered.connection != connection) return;
    releases_.raise_rank(connection, ReleaseSender::Rank::requested);
    erase_request(request);
    if (offered.established) {
      router_.caller_released(request);
    } else {
      router_.caller_left(request);
    }
    return;
  }
  // Only callers release calls.
  releases_.raise_rank(connection, ReleaseSender::Rank::released);
  if (has_ended(message.call_id) || !take_unknown_release_token()) return;
  // The call may have been established before this process started: the converter that has it releases it.
  other_ended_calls_.add(message.call_id, clock_.now_ms());
  on_unknown_release_(message.call_id);
}

/// Limits the rate of releases for unknown calls, since each of them is sent to every converter.
bool CallerFrontend::take_unknown_release_token() {
  const double now_ms = clock_.now_ms();
  unknown_release_tokens_ = std::min(
      max_unknown_releases_per_second,
      unknown_release_tokens_ + (now_ms - tokens_refilled_at_ms_) / 1000 * max_unknown_releases_per_second);
  tokens_refilled_at_ms_ = now_ms;
  if (unknown_release_tokens_ < 1) return false;
  unknown_release_tokens_ -= 1;
  return true;
}

// ---- Answers --------------------------------------------------------------------------------------------

void CallerFrontend::erase_request(Handle request) {
  const auto it = requests_.find(request);
  if (it == requests_.end()) return;
  if (it->second.established) {
    --established_count_;
  } else {
    net_.end_request(it->second.connection);
  }
  ended_requests_.add(it->second.call_id, clock_.now_ms());
  requests_by_call_id_.erase(it->second.call_id);
  requests_.erase(it);
}

bool CallerFrontend::on_request_served(Handle request, const std::string& answer) {
  const auto it = requests_.find(request);
  if (it == requests_.end()) return false;
  const auto connection = it->second.connection;
  Message message;
  message.op = Op::accept;
  message.call_id = it->second.call_id;
  message.description = answer;
  // A failed write may have ended the connection, and on_ended() the request.
  if (!net_.write(connection, serialize_message(message))) {
    erase_request(request);
    return false;
  }
  it->second.established = true;
  ++established_count_;
  net_.end_request(connection);
  releases_.raise_rank(connection, ReleaseSender::Rank::served);
  return true;
}

void CallerFrontend::on_request_refused(Handle request, double wait_ms) {
  reject_request(request, cause::congestion, wait_ms);
}
void CallerFrontend::on_request_failed(Handle request) {
  reject_request(request, cause::temporary_failure, 0);
}

void CallerFrontend::reject_request(Handle request, int cause_code, double wait_ms) {
  const auto it = requests_.find(request);
  if (it == requests_.end()) return;
  const auto offered = it->second;
  send_refusal(offered.connection, offered.call_id, cause_code, wait_ms);
  erase_request(request);
}

void CallerFrontend::on_call_ended(Handle request, CallEnd end) {
  const auto it = requests_.find(request);
  if (it == requests_.end()) return;
  const auto offered = it->second;
  erase_request(request);
  releases_.send(offered.call_id, end == CallEnd::normal ? cause::normal : cause::temporary_failure,
                 offered.connection);
}

void CallerFrontend::end_unknown_call(const std::string& call_id, int cause_code) {
  if (knows_call(call_id)) return;
  other_ended_calls_.add(call_id, clock_.now_ms());
  releases_.send(call_id, cause_code, no_handle);
}

}  // namespace heathturn
