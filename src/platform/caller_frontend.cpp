#include "platform/caller_frontend.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <tuple>
#include <utility>

namespace heathturn {
namespace {

constexpr double words_under_way_ms = 60000;
constexpr std::size_t most_ended = 16384;  // of which words may be under way
constexpr double strays_a_second = 200;    // releases of calls unknown here that are passed on
constexpr double quiet_test_ms = 50;
constexpr double turned_away_wait_ms = 1000;  // told to who comes while the process ends, or asks too much
constexpr double first_message_ms = 2000;     // a caller that says nothing is let go of within 3 s
constexpr std::size_t most_requests = 256;    // open on one connection
constexpr std::uint32_t most_junk = 16;       // set-ups of a connection that could not be used
constexpr std::size_t most_unsaid = 4096;
constexpr double confirm_wait_ms = 250;  // a caller must hear of the end of its call within 1 s
constexpr int most_releases = 3;         // of one call, each on another connection
constexpr double left_slack_ms = 1000;
constexpr double most_circuits = 64;

/// Nothing when it is not a number of 1 to 16 hexadecimal digits.
std::optional<std::uint64_t> number_called(const std::string& key) {
  std::uint64_t value = 0;
  const char* end = key.data() + key.size();
  const auto [stop, error] = std::from_chars(key.data(), end, value, 16);
  if (error != std::errc{} || stop != end) return std::nullopt;
  return value;
}

}  // namespace

void RecentlyEndedCalls::add(const std::string& call, double now) {
  if (calls_.insert(call).second) order_.emplace_back(now, call);
  while (!order_.empty() && (now - order_.front().first > words_under_way_ms || order_.size() > most_ended)) {
    calls_.erase(order_.front().second);
    order_.pop_front();
  }
}

CallerFrontend::CallerFrontend(Clock& clock, TimerQueue& timers, Connections& net, Router& router,
                               const Config& config)
    : clock_(clock), timers_(timers), net_(net), router_(router), config_(config) {}

void CallerFrontend::listen() { listener_ = net_.listen(config_.listen, *this, "caller", bounds()); }

Connections::Bounds CallerFrontend::bounds() const {
  return {
      .connections = config_.sockets / 2, .requests = most_requests, .first_message_ms = first_message_ms};
}

// ---- Connections ----------------------------------------------------------------------------------------

/// Guards against releases lost on the connection of a test, whose other end looks for nothing else and
/// closes at once: a connection carries releases once it has brought a call, or has been quiet for a while.
void CallerFrontend::on_connected(Handle connection) {
  lines_[connection] = {};
  timers_.schedule(clock_.now_ms() + quiet_test_ms, [this, connection] {
    const auto it = lines_.find(connection);
    if (it != lines_.end() && it->second.turn == 0) know(connection, Line::Known::quiet);
  });
}

void CallerFrontend::know(Handle connection, Line::Known known) {
  const auto it = lines_.find(connection);
  if (it == lines_.end()) return;
  const bool first = it->second.known == Line::Known::nothing;
  it->second.known = std::max(it->second.known, known);
  if (!first) return;
  for (auto& [call, line] : std::exchange(unsaid_, {}))
    send_release(call, std::move(line), connection, no_handle, 0);
}

void CallerFrontend::on_input(Handle connection, evbuffer* in) {
  net_.each_line(connection, in, most_line, [this, connection](const std::string& line) {
    on_message(connection, parse_message(line));
  });
}

void CallerFrontend::on_ended(Handle connection, const char*) {
  lines_.erase(connection);
  std::vector<Handle> lost;
  for (const auto& [request, taken] : taken_) {
    if (taken.connection == connection && !taken.standing) lost.push_back(request);
  }
  for (const auto request : lost) {
    forget(request);
    router_.caller_left(request);
  }
  // Releases that were still under way on it go on another.
  std::vector<std::string> unheard;
  for (const auto& [call, each] : unheard_) {
    if (each.connection == connection) unheard.push_back(call);
  }
  for (const auto& call : unheard) {
    auto each = unheard_[call];
    heard(call);
    send_release(call, std::move(each.line), no_handle, no_handle, each.sent);
  }
}

void CallerFrontend::on_message(Handle connection, const Message& message) {
  lines_[connection].turn = ++turn_;
  switch (message.op) {
    case Op::offer:
      return on_offer(connection, message);
    case Op::end:
      return on_end(connection, message);
    case Op::test: {
      Message reply;
      reply.op = Op::tested;
      reply.call_id = message.call_id;
      reply.code = !door_closed_ && ready_() ? 1 : 0;
      net_.write(connection, serialize_message(reply));
      return;
    }
    case Op::ended:
      confirmed_ = true;
      return heard(message.call_id);
    case Op::ringing:
      return;
    case Op::accept:
    case Op::tested:
    case Op::group:
      break;
  }
  throw Unreadable{reason::unknown_op};  // nothing that a caller may say
}

void CallerFrontend::on_offer(Handle connection, const Message& message) {
  if (const auto it = by_name_.find(message.call_id); it != by_name_.end()) {
    // Guards against a call's answer being drawn to who merely names it: each set-up has a new id, and what
    // stands under this one is not touched.
    if (taken_[it->second].connection == connection) throw Unreadable{reason::malformed};
    return refuse_junk(connection, message.call_id);
  }
  auto request = read_offer(message);
  if (!request) return refuse_junk(connection, message.call_id);
  if (!knows_number_(request->destination)) return refuse(connection, message.call_id, cause::error, 0);
  know(connection, Line::Known::asked);
  if (door_closed_ || taken_.size() - standing_ >= config_.most_requests || !net_.begin_request(connection)) {
    ended_.add(message.call_id, clock_.now_ms());
    return refuse(connection, message.call_id, cause::congestion, turned_away_wait_ms);
  }
  router_.offer(*this, std::move(*request), [&](Handle handle) {
    taken_[handle] = {message.call_id, connection, false};
    by_name_[message.call_id] = handle;
  });
}

/// Nothing when no converter could use the set-up: a class or tenant that the settings do not name, a figure
/// that is out of range or no number.
std::optional<Request> CallerFrontend::read_offer(const Message& message) const {
  const auto* class_name = message.field("class");
  const auto* extras = message.field("extras");
  if (class_name == nullptr || extras == nullptr || !message.description) return std::nullopt;
  const auto known = config_.classes.find(*class_name);
  if (known == config_.classes.end()) return std::nullopt;
  if (const auto* tenant = message.field("tenant");
      tenant != nullptr && !config_.tenants.empty() && !config_.tenants.contains(*tenant)) {
    return std::nullopt;
  }
  Request request;
  request.traffic_class = known->second;
  request.circuits = config_.settings.classes[known->second].circuits;
  request.time_left_ms = message.number("left", -1);
  if (request.time_left_ms < 0 || request.time_left_ms > config_.longest_give_up_ms + left_slack_ms)
    return std::nullopt;
  request.redialled = message.number("retry", 0) != 0;
  request.wire_id = message.call_id;
  request.class_name = *class_name;
  request.body = *message.description;
  if (const auto* key = message.field("key")) {
    request.key = *key;
    const auto number = number_called(*key);
    if (!number) return std::nullopt;
    request.called_number = *number;
  }
  const auto figures = parse_named_numbers(*extras);
  if (!figures.well_formed) return std::nullopt;
  for (const auto& [name, value] : figures.values) {
    if (name == "dest" && value != std::floor(value)) return std::nullopt;
    if (name == "dest") request.destination = maddershed::exchange_number(static_cast<float>(value));
    if (name == "via") request.tandem = maddershed::exchange_number(static_cast<float>(value));
    if (name == "width") request.circuits = value;
    if (name == "transit") request.in_transit = value != 0;
    if (name == "again") request.was_cut_off = value != 0;
  }
  if (!(request.circuits > 0 && request.circuits <= most_circuits)) return std::nullopt;
  if (request.destination == maddershed::no_exchange) return std::nullopt;
  return request;
}

/// A set-up that never became a request.
void CallerFrontend::refuse(Handle connection, const std::string& call, int why, double wait_ms) {
  Message reply;
  reply.call_id = call;
  reply.code = why;
  if (wait_ms > 0) reply.fields.emplace_back("wait", std::to_string(std::lround(wait_ms)));
  net_.write(connection, serialize_message(reply));
}

/// Who sends nothing but what cannot be used is told so, and soon not listened to any more.
void CallerFrontend::refuse_junk(Handle connection, const std::string& call) {
  refuse(connection, call, cause::error, 0);
  const auto it = lines_.find(connection);
  if (it != lines_.end() && ++it->second.junk >= most_junk) throw Unreadable{reason::malformed};
}

void CallerFrontend::on_end(Handle connection, const Message& message) {
  Message reply;
  reply.op = Op::ended;
  reply.call_id = message.call_id;
  net_.write(connection, serialize_message(reply));
  if (const auto it = by_name_.find(message.call_id); it != by_name_.end()) {
    const auto request = it->second;
    const auto taken = taken_[request];
    // A call that stands is released on any connection; a set-up is given up on its own.
    if (!taken.standing && taken.connection != connection) return;
    know(connection, Line::Known::asked);
    forget(request);
    if (taken.standing) {
      router_.caller_released(request);
    } else {
      router_.caller_left(request);
    }
  } else if (!ended_.has(message.call_id) && stray_may_pass()) {
    // The call may have stood before this process began: whoever holds it cuts it on this word.
    ended_.add(message.call_id, clock_.now_ms());
    stray_(message.call_id);
  }
}

/// Guards the converters against a caller that releases calls nobody has: each word goes to all of them.
bool CallerFrontend::stray_may_pass() {
  const double now = clock_.now_ms();
  strays_ = std::min(strays_a_second, strays_ + (now - strays_at_) / 1000 * strays_a_second);
  strays_at_ = now;
  if (strays_ < 1) return false;
  strays_ -= 1;
  return true;
}

// ---- Answers --------------------------------------------------------------------------------------------

void CallerFrontend::forget(Handle request) {
  const auto it = taken_.find(request);
  if (it == taken_.end()) return;
  if (it->second.standing) {
    --standing_;
  } else {
    net_.end_request(it->second.connection);
  }
  ended_.add(it->second.name, clock_.now_ms());
  by_name_.erase(it->second.name);
  taken_.erase(it);
}

void CallerFrontend::on_request_served(Handle request, const std::string& text) {
  const auto it = taken_.find(request);
  if (it == taken_.end()) return;
  it->second.standing = true;
  ++standing_;
  net_.end_request(it->second.connection);
  know(it->second.connection, Line::Known::served);
  Message message;
  message.op = Op::accept;
  message.call_id = it->second.name;
  message.description = text;
  net_.write(it->second.connection, serialize_message(message));
}

void CallerFrontend::on_request_refused(Handle request, double wait_ms) {
  turn_down(request, cause::congestion, wait_ms);
}
void CallerFrontend::on_request_failed(Handle request) { turn_down(request, cause::temporary_failure, 0); }

void CallerFrontend::turn_down(Handle request, int why, double wait_ms) {
  const auto it = taken_.find(request);
  if (it == taken_.end()) return;
  const auto taken = it->second;
  refuse(taken.connection, taken.name, why, wait_ms);
  forget(request);
}

void CallerFrontend::on_call_ended(Handle request, CallEnd end) {
  const auto it = taken_.find(request);
  if (it == taken_.end()) return;
  const auto taken = it->second;
  forget(request);
  release(taken.name, end == CallEnd::normal ? cause::normal : cause::temporary_failure, taken.connection);
}

/// A standing call belongs to no connection: its release goes on any, or on the next one that comes.
void CallerFrontend::release(const std::string& call, int why, Handle preferred) {
  Message message;
  message.call_id = call;
  message.code = why;
  send_release(call, serialize_message(message), preferred, no_handle, 0);
}

/// Guards against a release that nobody takes in: best is the connection that brought the call, then one
/// whose calls were served, then one that asked, the one heard from last each time; and where callers
/// confirm, what is not confirmed goes once more, on another connection if there is one.
void CallerFrontend::send_release(const std::string& call, std::string line, Handle preferred, Handle avoided,
                                  int sent) {
  while (true) {
    auto best = lines_.find(preferred);
    if (best == lines_.end() || best->second.known == Line::Known::nothing) {
      best = lines_.end();
      const auto rank = [avoided](const auto& each) {
        return std::tuple(each.first != avoided, each.second.known, each.second.turn);
      };
      for (auto it = lines_.begin(); it != lines_.end(); ++it) {
        if (it->second.known == Line::Known::nothing) continue;
        if (best == lines_.end() || rank(*it) > rank(*best)) best = it;
      }
    }
    if (best == lines_.end()) break;
    const auto connection = best->first;
    if (!net_.write(connection, line)) {
      lines_.erase(connection);
      continue;
    }
    if (sent + 1 >= most_releases) return;
    auto& unheard = unheard_[call];
    timers_.cancel(unheard.again);
    unheard = {connection, std::move(line), sent + 1, {}};
    unheard.again = timers_.schedule(clock_.now_ms() + confirm_wait_ms, [this, call] {
      auto each = unheard_[call];
      unheard_.erase(call);
      if (confirmed_) send_release(call, std::move(each.line), no_handle, each.connection, each.sent);
    });
    return;
  }
  if (unsaid_.size() >= most_unsaid) unsaid_.pop_front();
  unsaid_.emplace_back(call, std::move(line));
}

void CallerFrontend::heard(const std::string& call) {
  const auto it = unheard_.find(call);
  if (it == unheard_.end()) return;
  timers_.cancel(it->second.again);
  unheard_.erase(it);
}

void CallerFrontend::end_unknown_call(const std::string& call, int why) {
  if (knows_call(call)) return;
  ended_.add(call, clock_.now_ms());
  release(call, why, no_handle);
}

}  // namespace heathturn
