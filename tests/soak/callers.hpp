// Stand-ins for the callers: usual ones, those that leave early or repeat, crowds, and bad clients.
#pragma once

#include <algorithm>
#include <random>
#include <set>

#include "rule_checker.hpp"

namespace heathturn::soak {

/// All callers of the call router under test.
class Callers {
 public:
  static constexpr double crossing_ms =
      50;  ///< a set-up this close before the end of its connection is sent again
  static constexpr double bad_client_due_ms = 3000;

  Callers(EventLoop& loop, RuleChecker& checker, std::mt19937_64& random, int router_port,
          int longest_deadline_ms)
      : loop_(loop),
        checker_(checker),
        random_(random),
        router_port_(router_port),
        longest_deadline_ms_(longest_deadline_ms) {}

  /// Keeps up to `count` connections open, as long as new ones are accepted.
  void connect_up_to(std::size_t count) {
    while (connections_.size() < count) {
      auto* connection = loop_.connect(router_port_);
      if (connection == nullptr) break;
      add(*connection);
    }
    if (connections_.empty()) connected_since_ms = 1e18;
    if (!connections_.empty() && connected_since_ms == 1e18) connected_since_ms = now_ms();
  }
  /// Offers a call to this exchange on one of the open connections.
  void offer(int destination) {
    if (connections_.empty()) return;
    auto& connection = *connections_[random_() % connections_.size()];
    offer_on(connection, destination, next_id(), false);
  }
  /// Connections come at once; half of them offer a call at once, the others say nothing.
  void crowd(std::size_t size, int destinations) {
    for (std::size_t i = 0; i < size; ++i) {
      auto* connection = loop_.connect(router_port_);
      if (connection == nullptr) return;
      if (i % 2 == 0) {
        add(*connection);
        offer_on(*connection, 1 + static_cast<int>(random_() % destinations), next_id(), false);
      } else {
        expect_answer_or_close(*connection, "a silent client");
      }
    }
  }
  void bad_client() {
    auto* connection = loop_.connect(router_port_);
    if (connection == nullptr) return;
    const auto open_id = arrived_request();
    auto offer = offer_message(open_id.empty() ? next_id() : open_id, 1, 1000);
    offer.description = "another description";
    if (open_id.empty()) offer.fields[0].second = "no such class";
    auto unknown_class = offer_message(next_id(), 1, 1000);
    unknown_class.fields[0].second = "no such class";
    const std::string inputs[] = {"no message\n",
                                  std::string(20000, 'x'),
                                  "{\"op\":\"offer\",\"call\":\"",
                                  "{\"op\":\"offer\",\"call\":\"zz\",\"with\":{}}\n",
                                  serialize_message(offer),
                                  serialize_message(unknown_class),
                                  serialize_message(offer_message(next_id(), 99, 1000)),
                                  serialize_message(offer_message(next_id(), 1, -5))};
    connection->send(inputs[random_() % std::size(inputs)]);
    expect_answer_or_close(*connection, "a bad client");
  }
  /// Some caller closes its connection, with whatever is open on it.
  void close_one() {
    if (connections_.empty()) return;
    auto* connection = connections_[random_() % connections_.size()];
    EventLoop::close(*connection, random_() % 2 == 0);
    std::erase(connections_, connection);
    for (const auto& call_id : requests_on(*connection)) leave(call_id);
  }
  /// The call router was killed: at `planned` restarts all that it was sent earlier than that must have an
  /// answer.
  void router_killed(bool planned) {
    for (const auto& [call_id, pending] : std::map(pending_)) {
      auto& request = checker_.requests[call_id];
      if (!planned || request.written_ms > now_ms() - crossing_ms) leave(call_id);
    }
    for (auto& [call_id, request] : checker_.requests) request.restart_since = true;
  }
  /// A restart may take the connections before their end is read here.
  void drop_closed_connections() {
    std::erase_if(connections_, [](const Connection* each) { return !each->open(); });
  }
  [[nodiscard]] std::size_t pending() const { return pending_.size(); }
  [[nodiscard]] std::size_t connection_count() const { return connections_.size(); }

  double connected_since_ms = 1e18;
  bool repeating = false;      ///< refused callers try again at once
  bool acknowledging = true;   ///< callers acknowledge releases
  bool router_running = true;  ///< the process has not ended

 private:
  struct Pending {
    Connection* connection = nullptr;
    bool sent_again = false;
    std::size_t end_offset = 0;  ///< bytes sent on the connection once the set-up is written whole
  };

  [[nodiscard]] bool happens(double share) { return std::uniform_real_distribution<>(0, 1)(random_) < share; }
  [[nodiscard]] std::string next_id() {
    char text[24];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random_()));
    return text;
  }
  static Message offer_message(const std::string& call_id, int destination, int left_ms) {
    Message message;
    message.op = Op::offer;
    message.call_id = call_id;
    message.fields = {{"class", "voice"},
                      {"left", std::to_string(left_ms)},
                      {"tenant", "acme"},
                      {"key", call_id.substr(4)},
                      {"extras", "dest:" + std::to_string(destination) + ";width:1;via:-1"}};
    message.description =
        "description of " + call_id + "\r\n" + std::string(call_id[0] == '0' ? 6000 : 80, 'd');
    return message;
  }
  /// The id of an open request that the call router has had for a while; empty: there is none.
  [[nodiscard]] std::string arrived_request() const {
    for (const auto& [call_id, pending] : pending_) {
      if (checker_.requests[call_id].written_ms < now_ms() - crossing_ms) return call_id;
    }
    return "";
  }
  void add(Connection& connection) {
    connections_.push_back(&connection);
    if (happens(0.2)) connection.piece_bytes = 40 + random_() % 200;
    connection.on_input = [this](Connection& from) { read_lines(from); };
    connection.on_closed = [this](Connection& from) { connection_closed(from); };
  }
  void offer_on(Connection& connection, int destination, const std::string& call_id, bool sent_again) {
    const int left_choices[] = {250, 500, 1054, 1500, 3000};
    const int left_ms = std::min(left_choices[random_() % std::size(left_choices)], longest_deadline_ms_);
    auto& request = checker_.requests[call_id];
    if (!sent_again) {
      request.offer = offer_message(call_id, destination, left_ms);
      request.left_ms = left_ms;
    }
    const auto bytes = serialize_message(request.offer);
    connection.send(bytes);
    const double pieces = connection.piece_bytes == 0
                              ? 0
                              : static_cast<double>(connection.output.size() / connection.piece_bytes);
    request.written_ms = now_ms() + pieces * 1.5 * EventLoop::piece_interval_ms;
    checker_.note(call_id, sent_again ? "offered again" : "offered, left " + std::to_string(left_ms));
    pending_[call_id] = {&connection, sent_again, connection.sent_bytes + connection.output.size()};
    if (!sent_again && happens(0.06)) {
      const double delay_ms = std::uniform_real_distribution<>(1, 300)(random_);
      loop_.after(delay_ms, [this, call_id] { give_up(call_id); });
    }
  }
  void give_up(const std::string& call_id) {
    const auto it = pending_.find(call_id);
    if (it == pending_.end() || !it->second.connection->open()) return;
    checker_.note(call_id, "the caller gives up");
    send_end(*it->second.connection, call_id);
    leave(call_id);
  }
  void leave(const std::string& call_id) {
    pending_.erase(call_id);
    checker_.no_answer_owed(call_id);
  }
  static void send_end(Connection& connection, const std::string& call_id) {
    Message message;
    message.op = Op::end;
    message.call_id = call_id;
    message.code = cause::normal;
    connection.send(serialize_message(message));
  }
  void read_lines(Connection& from) {
    take_lines(from, [this, &from](const std::string& line) { on_message(from, parse_message(line)); });
  }
  void on_message(Connection& from, const Message& message) {
    if (message.op != Op::accept && message.op != Op::end) return;
    const auto request = checker_.requests.find(message.call_id);
    if (request == checker_.requests.end()) return;
    const bool was_established = request->second.established;
    if (!request->second.answer_owed && !was_established) {
      // It crossed the end of the caller's wait. A call that stands now is released.
      if (message.op == Op::accept) send_end(from, message.call_id);
      return;
    }
    checker_.answered(message);
    pending_.erase(message.call_id);
    if (message.op == Op::end && was_established) {
      if (!acknowledging) return;
      Message acknowledgement;
      acknowledgement.op = Op::ended;
      acknowledgement.call_id = message.call_id;
      from.send(serialize_message(acknowledgement));
      return;
    }
    if (message.op == Op::end && repeating && happens(0.5)) {
      const auto destination = request->second.offer.fields.back().second;
      return offer_on(from, std::atoi(destination.c_str() + 5), next_id(), false);
    }
    if (message.op == Op::accept && happens(0.25)) {
      const double delay_ms = std::uniform_real_distribution<>(0, 500)(random_);
      loop_.after(delay_ms, [this, call_id = message.call_id] { release(call_id); });
    }
  }
  /// Releases a call on any connection.
  void release(const std::string& call_id) {
    if (connections_.empty() || checker_.requests[call_id].released ||
        checker_.requests[call_id].ended_ms > 0)
      return;
    auto& connection = *connections_[random_() % connections_.size()];
    if (!connection.open() || connection.piece_bytes != 0) return;
    send_end(connection, call_id);
    checker_.caller_released(call_id);
  }
  [[nodiscard]] std::vector<std::string> requests_on(const Connection& connection) const {
    std::vector<std::string> ids;
    for (const auto& [call_id, pending] : pending_) {
      if (pending.connection == &connection) ids.push_back(call_id);
    }
    return ids;
  }
  /// By the call router. What crossed the end of the connection is sent again, once.
  void connection_closed(Connection& connection) {
    std::erase(connections_, &connection);
    const auto lost = requests_on(connection);
    if (connections_.empty()) connected_since_ms = 1e18;
    for (const auto& call_id : lost) {
      checker_.note(call_id, "the call router closes its connection");
      auto& request = checker_.requests[call_id];
      if (connection.sent_bytes < pending_[call_id].end_offset) {  // it was never taken
        leave(call_id);
        continue;
      }
      if (request.written_ms < now_ms() - crossing_ms || pending_[call_id].sent_again) {
        checker_.violation("lost: a connection ended with a request on it", call_id);
        leave(call_id);
        continue;
      }
      auto* other = loop_.connect(router_port_);
      if (other == nullptr) {  // the front turns to another call router
        leave(call_id);
        continue;
      }
      add(*other);
      offer_on(*other, 0, call_id, true);
    }
  }
  void expect_answer_or_close(Connection& connection, const std::string& who) {
    connection.on_input = [](Connection& from) { EventLoop::close(from); };
    loop_.after(bad_client_due_ms + socket_slack_ms, [this, &connection, who] {
      if (connection.open() && router_running)
        checker_.violation("bad clients: " + who + " is left with nothing", "");
      EventLoop::close(connection);
    });
  }

  EventLoop& loop_;
  RuleChecker& checker_;
  std::mt19937_64& random_;
  int router_port_;
  int longest_deadline_ms_;
  std::vector<Connection*> connections_;
  std::map<std::string, Pending> pending_;
};

}  // namespace heathturn::soak
