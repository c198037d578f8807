#include "platform/callers.hpp"

#include <charconv>
#include <cmath>
#include <utility>

namespace heathturn {
namespace {

constexpr double words_under_way_ms = 60000;
constexpr double quiet_test_ms = 50;
constexpr double closing_wait_ms = 1000;  // told to who comes while the process ends

std::uint64_t number_called(const std::string& key) {
  std::uint64_t value = 0;
  const char* end = key.data() + key.size();
  return std::from_chars(key.data(), end, value, 16).ptr == end ? value : 0;
}

}  // namespace

void EndedCalls::add(const std::string& call, double now) {
  if (calls_.insert(call).second) order_.emplace_back(now, call);
  while (!order_.empty() && now - order_.front().first > words_under_way_ms) {
    calls_.erase(order_.front().second);
    order_.pop_front();
  }
}

Callers::Callers(Clock& clock, Deadlines& deadlines, Connections& net, Router& router, const Config& config)
    : clock_(clock), deadlines_(deadlines), net_(net), router_(router), config_(config) {}

void Callers::listen() { net_.listen(config_.listen, *this, "caller", config_.sockets / 2); }

// ---- Connections ----------------------------------------------------------------------------------------

/// Guards against releases lost on the connection of a test, whose other end looks for nothing else and
/// closes at once: a connection carries releases once it has brought a call, or has been quiet for a while.
void Callers::on_connected(Handle connection) {
  untried_.insert(connection);
  deadlines_.set(clock_.now() + quiet_test_ms, [this, connection] {
    if (untried_.contains(connection)) trust(connection);
  });
}

void Callers::trust(Handle connection) {
  untried_.erase(connection);
  if (!open_.insert(connection).second) return;
  for (const auto& line : std::exchange(unsaid_, {})) net_.write(connection, line);
}

void Callers::on_input(Handle connection, evbuffer* in) {
  net_.each_line(connection, in, most_line, [this, connection](const std::string& line) {
    on_message(connection, parse_message(line));
  });
}

void Callers::on_ended(Handle connection, const char*) {
  open_.erase(connection);
  untried_.erase(connection);
  std::vector<Handle> lost;
  for (const auto& [request, taken] : taken_) {
    if (taken.connection == connection && !taken.standing) lost.push_back(request);
  }
  for (const auto request : lost) {
    forget(request);
    router_.caller_left(request);
  }
}

void Callers::on_message(Handle connection, const Message& message) {
  if (message.op != Op::test) trust(connection);
  switch (message.op) {
    case Op::offer:
      return on_offer(connection, message);
    case Op::end:
      return on_end(connection, message);
    case Op::test: {
      untried_.erase(connection);
      Message reply;
      reply.op = Op::tested;
      reply.call = message.call;
      reply.why = !door_closed_ && ready_() ? 1 : 0;
      net_.write(connection, print_message(reply));
      return;
    }
    case Op::ringing:
    case Op::ended:
      return;
    case Op::accept:
    case Op::tested:
    case Op::group:
      break;
  }
  throw Unreadable{reason::unknown_op};  // nothing that a caller may say
}

void Callers::on_offer(Handle connection, const Message& message) {
  const auto* class_name = message.field("class");
  if (class_name == nullptr || !message.text) throw Unreadable{reason::malformed};
  if (const auto it = by_name_.find(message.call); it != by_name_.end()) {
    // The same set-up on a new connection: the first one is still in work.
    taken_[it->second].connection = connection;
    return;
  }
  const auto known = config_.classes.find(*class_name);
  if (known == config_.classes.end() || door_closed_) {
    Message reply;
    reply.call = message.call;
    reply.why = door_closed_ ? cause::congestion : cause::error;
    if (door_closed_) reply.fields.emplace_back("wait", std::to_string(std::lround(closing_wait_ms)));
    ended_.add(message.call, clock_.now());
    net_.write(connection, print_message(reply));
    return;
  }
  Request request;
  request.traffic_class = known->second;
  request.circuits = config_.settings.classes[known->second].circuits;
  request.left_ms = message.number("left", config_.longest_give_up_ms);
  request.redialled = message.number("retry", 0) != 0;
  request.name = message.call;
  request.class_name = *class_name;
  request.body = *message.text;
  if (const auto* key = message.field("key")) {
    request.key = *key;
    request.number_called = number_called(*key);
  }
  if (const auto* extras = message.field("extras")) {
    for (const auto& [name, value] : parse_figures(*extras)) {
      if (name == "dest") request.destination = maddershed::exchange_number(static_cast<float>(value));
      if (name == "via") request.advised = maddershed::exchange_number(static_cast<float>(value));
      if (name == "width") request.circuits = value;
      if (name == "transit") request.in_transit = value != 0;
      if (name == "again") request.cut_before = value != 0;
    }
  }
  router_.offer(*this, std::move(request), [&](Handle handle) {
    taken_[handle] = {message.call, connection, false};
    by_name_[message.call] = handle;
  });
}

void Callers::on_end(Handle connection, const Message& message) {
  Message reply;
  reply.op = Op::ended;
  reply.call = message.call;
  net_.write(connection, print_message(reply));
  if (const auto it = by_name_.find(message.call); it != by_name_.end()) {
    const auto request = it->second;
    const bool standing = taken_[request].standing;
    forget(request);
    if (standing) {
      router_.caller_released(request);
    } else {
      router_.caller_left(request);
    }
  } else if (!ended_.has(message.call)) {
    // The call may have stood before this process began: whoever holds it cuts it on this word.
    ended_.add(message.call, clock_.now());
    stray_(message.call, message.why.value_or(cause::normal));
  }
}

// ---- Answers --------------------------------------------------------------------------------------------

void Callers::answer(Handle request, Message message) {
  const auto& taken = taken_[request];
  message.call = taken.name;
  net_.write(taken.connection, print_message(message));
}

void Callers::forget(Handle request) {
  const auto it = taken_.find(request);
  if (it == taken_.end()) return;
  ended_.add(it->second.name, clock_.now());
  by_name_.erase(it->second.name);
  taken_.erase(it);
}

void Callers::served(Handle request, const std::string& text) {
  if (!taken_.contains(request)) return;
  taken_[request].standing = true;
  Message message;
  message.op = Op::accept;
  message.text = text;
  answer(request, message);
}

void Callers::refused(Handle request, double wait_ms) {
  if (!taken_.contains(request)) return;
  Message message;
  message.why = cause::congestion;
  if (wait_ms > 0) message.fields.emplace_back("wait", std::to_string(std::lround(wait_ms)));
  answer(request, message);
  forget(request);
}

void Callers::failed(Handle request) {
  if (!taken_.contains(request)) return;
  Message message;
  message.why = cause::temporary_failure;
  answer(request, message);
  forget(request);
}

void Callers::over(Handle request, CallEnd end) {
  const auto it = taken_.find(request);
  if (it == taken_.end()) return;
  const auto taken = it->second;
  forget(request);
  release(taken.name, end == CallEnd::normal ? cause::normal : cause::temporary_failure, taken.connection);
}

/// A standing call belongs to no connection: its release goes on any, or on the next one that comes.
void Callers::release(const std::string& call, int why, Handle preferred) {
  Message message;
  message.call = call;
  message.why = why;
  const auto line = print_message(message);
  if (open_.contains(preferred) && net_.write(preferred, line)) return;
  while (!open_.empty()) {
    if (net_.write(*open_.begin(), line)) return;
  }
  unsaid_.push_back(line);
}

void Callers::stray_over(const std::string& call, int why) {
  if (knows(call)) return;
  ended_.add(call, clock_.now());
  release(call, why, no_handle);
}

}  // namespace heathturn
