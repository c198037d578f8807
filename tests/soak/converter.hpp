// A stand-in for a converter, with the faults that the protocol's pages allow.
#pragma once

#include <algorithm>
#include <list>
#include <random>

#include "rule_checker.hpp"

namespace heathturn::soak {

/// How often a converter spoils what it does, as shares of its set-ups.
struct FaultRates {
  double break_off = 0;        ///< the connection is reset within the answer; the call stands
  double reset = 0;            ///< the connection is reset before the answer; the set-up is given up
  double lose_answer = 0;      ///< the answer never arrives; the call stands
  double noise = 0;            ///< a line that cannot be read in place of the answer; the call stands
  double refuse = 0;           ///< refused or failed with one of the causes
  double repeat_answer = 0;    ///< a second copy of an answer or refusal, some milliseconds later
  double unknown_answer = 0;   ///< an answer under an unknown id before the answer
  double late_answer = 0;      ///< the answer comes up to 1.5 s late
  double pieces = 0;           ///< connections that carry output in pieces
  double late_connection = 0;  ///< connections on which nothing happens for up to 1 s
};

/// One converter. It reports the state of its group first on each connection, sets calls up, ends them after
/// their holding time, and sends an end on the connection of the set-up, or else on any open one, and on the
/// next one that is opened as well.
class Converter {
 public:
  Converter(EventLoop& loop, RuleChecker& checker, std::mt19937_64& random, std::uint32_t its_id,
            int its_number, const FaultRates& rates, int at_port = 0)
      : loop_(loop), checker_(checker), random_(random), rates_(rates), id(its_id), number(its_number) {
    listener_ = &loop_.listen([this](Connection& connection) { accept(connection); }, at_port);
    port = listener_->port;
  }
  Converter(const Converter&) = delete;
  Converter& operator=(const Converter&) = delete;
  [[nodiscard]] std::string name() const {
    char text[16];
    std::snprintf(text, sizeof text, "s-%08x", id);
    return text;
  }
  /// The process dies: its connections are reset, its calls are cut, and nothing listens any more.
  void die() {
    EventLoop::close(*listener_);
    for (const auto& [connection, ends] : std::exchange(ends_given_, {})) {
      for (const auto& message : ends) {
        if (!connection->output.empty()) checker_.end_lost(message.call_id);
      }
    }
    for (auto* each : std::exchange(connections_, {})) EventLoop::close(*each, true);
    for (auto* each : std::exchange(coming_up_, {})) EventLoop::close(*each, true);
    for (const auto& each : attempts_) {
      end_attempt_out(each, true);
      checker_.note(each.call_id, name() + " dies");
      checker_.call_lost(each.call_id, each.description);
    }
    // Ends that no connection came up for are lost with the process.
    for (const auto& message : ends_for_next_connection_) checker_.end_lost(message.call_id);
    attempts_.clear();
    dead = true;
  }
  /// The network to this converter is cut, or comes back: open connections carry nothing.
  void set_silent(bool is_silent) {
    silent = is_silent;
    silent_changed_ms_ = now_ms();
    // The release of an attempt that is given up from now on does not arrive: it can't be told from one in
    // flight.
    for (auto& each : attempts_) {
      if (each.out) checker_.attempt_ended(each.call_id);
      each.out = false;
    }
    for (auto* each : connections_) each->silent = is_silent;
    if (is_silent) return;
    for (auto* each : std::exchange(coming_up_, {})) come_up(*each);
  }
  /// Closes a connection without set-ups in work, or resets any.
  void end_connection(bool reset) {
    std::vector<Connection*> candidates;
    for (auto* each : connections_) {
      const bool in_use = std::any_of(attempts_.begin(), attempts_.end(), [each](const Attempt& attempt) {
        return attempt.connection == each && !attempt.stands;
      });
      if (reset || !in_use) candidates.push_back(each);
    }
    if (candidates.empty()) return;
    auto* connection = candidates[random_() % candidates.size()];
    EventLoop::close(*connection, reset);
    connection_closed(*connection);
  }
  /// Reports the calls that stand although their callers are done with them.
  void check_left_standing() {
    const double now = now_ms();
    const bool reachable =
        !silent && !dead && now - silent_changed_ms_ > release_due_unsent_ms &&
        std::any_of(connections_.begin(), connections_.end(), [now](const Connection* each) {
          return each->open() && now - each->opened_ms > release_due_ms;
        });
    for (const auto& each : attempts_) {
      if (!each.stands || !reachable) continue;
      const auto request = checker_.requests.find(each.call_id);
      if (request == checker_.requests.end() || request->second.restart_since) continue;
      const auto done_ms = request->second.done_ms(each.description);
      if (done_ms > 0 && now - std::max(done_ms, each.since_ms) > release_due_ms + socket_slack_ms)
        checker_.violation("lost: a call is left standing at " + name(), each.call_id);
    }
  }

  int port = 0;
  bool silent = false, dead = false;

 private:
  struct Attempt {
    std::uint64_t serial = 0;
    std::string call_id, description;
    Connection* connection = nullptr;
    bool stands = false;
    bool out = true;  ///< counted by the rule checker
    double since_ms = now_ms();
  };

  [[nodiscard]] bool happens(double share) { return std::uniform_real_distribution<>(0, 1)(random_) < share; }
  [[nodiscard]] double between(double low, double high) {
    return std::uniform_real_distribution<>(low, high)(random_);
  }
  /// While the network is cut, connections do not come up.
  void accept(Connection& connection) {
    connection.silent = true;
    if (silent) return coming_up_.push_back(&connection);
    if (!happens(rates_.late_connection)) return come_up(connection);
    loop_.after(between(100, 1000),
                [this, &connection] { silent ? coming_up_.push_back(&connection) : come_up(connection); });
  }
  void come_up(Connection& connection) {
    if (dead || EventLoop::peer_has_closed(connection)) return EventLoop::close(connection, true);
    connections_.push_back(&connection);
    connection.silent = false;
    connection.opened_ms = now_ms();
    if (happens(rates_.pieces)) connection.piece_bytes = 60 + random_() % 140;
    connection.on_closed = [this](Connection& ended) { connection_closed(ended); };
    connection.on_input = [this](Connection& from) { read_lines(from); };
    send(connection, group_state());
    for (const auto& message : std::exchange(ends_for_next_connection_, {})) {
      send(connection, message);
      ends_given_[&connection].push_back(message);
    }
  }
  void read_lines(Connection& from) {
    take_lines(from, [this, &from](const std::string& line) { on_message(from, parse_message(line)); });
  }
  void on_message(Connection& from, const Message& message) {
    if (message.op == Op::test) {
      auto reply = make_message(Op::tested, message.call_id, 1);
      if (message.code == 1) reply.fields = group_state().fields;
      send(from, reply);
    } else if (message.op == Op::end) {
      checker_.note(message.call_id, "release arrives at " + name());
      std::erase_if(attempts_, [&](const Attempt& each) {
        if (each.call_id != message.call_id) return false;
        end_attempt_out(each, true);
        return true;
      });
      send(from, make_message(Op::ended, message.call_id));
      forget_end(message.call_id);
    } else if (message.op == Op::ended) {
      forget_end(message.call_id);
    } else if (message.op == Op::offer) {
      on_offer(from, message);
    }
  }
  /// Whether the release of this call has arrived behind its set-up: the attempt was given up on the way
  /// here.
  [[nodiscard]] static bool release_follows(const Connection& from, const std::string& call_id) {
    return from.input.find(R"({"op":"end","call":")" + call_id) != std::string::npos;
  }
  void on_offer(Connection& from, const Message& message) {
    if (release_follows(from, message.call_id) || EventLoop::peer_has_closed(from)) return;
    checker_.attempt_arrived(name(), message);
    const auto serial = ++last_serial_;
    auto& attempt = attempts_.emplace_back();
    attempt.serial = serial;
    attempt.call_id = message.call_id;
    attempt.connection = &from;
    attempt.description = "answer " + std::to_string(serial) + " of " + name();
    const double work_ms = between(3, 50) + (happens(rates_.late_answer) ? between(200, 1500) : 0);
    loop_.after(work_ms, [this, serial] { finish_work(serial); });
  }
  /// The set-up has been worked on: it is refused, or the call stands.
  void finish_work(std::uint64_t serial) {
    auto* attempt = find(serial);
    if (attempt == nullptr) return;
    auto& connection = *attempt->connection;
    if (happens(rates_.reset)) {
      checker_.note(attempt->call_id, name() + " resets the connection before the answer");
      EventLoop::close(connection, true);
      return connection_closed(connection);
    }
    if (happens(rates_.refuse)) return refuse(*attempt);
    attempt->stands = true;
    checker_.answer_made(attempt->call_id, attempt->description);
    loop_.after(holding_ms(attempt->call_id), [this, serial] { end_call(serial); });
    auto answer = make_message(Op::accept, attempt->call_id);
    answer.description = attempt->description;
    if (happens(rates_.lose_answer)) {
      checker_.note(attempt->call_id, name() + " sets the call up, the answer is lost");
      return;
    }
    if (happens(rates_.noise)) {
      checker_.note(attempt->call_id, name() + " sets the call up, the answer is noise");
      connection.send("\x01\x02{noise\n");
      return;
    }
    if (happens(rates_.break_off)) {
      checker_.note(attempt->call_id, name() + " sets the call up, the answer breaks off");
      connection.piece_bytes = 0;
      connection.send(serialize_message(answer).substr(0, 30));
      EventLoop::flush(connection);
      EventLoop::close(connection, true);
      return connection_closed(connection);
    }
    if (happens(rates_.unknown_answer)) {
      auto unknown = answer;
      unknown.call_id[0] = unknown.call_id[0] == 'f' ? 'e' : 'f';
      send(connection, unknown);
    }
    checker_.note(attempt->call_id, name() + " sets the call up and answers");
    send(connection, answer);
    repeat_perhaps(connection, answer);
  }
  void refuse(const Attempt& attempt) {
    static constexpr int causes[] = {cause::no_circuit, cause::busy, cause::error, cause::timer_expired,
                                     cause::temporary_failure};
    auto message = make_message(Op::end, attempt.call_id, causes[random_() % std::size(causes)]);
    message.fields = group_state().fields;
    if (message.code == cause::no_circuit) message.fields.emplace_back("note", "all_trunks_busy");
    auto& connection = *attempt.connection;
    checker_.note(attempt.call_id, name() + " refuses, cause " + std::to_string(*message.code));
    // A reset that the converter itself reports asks for the release wait, as one of the connection does.
    end_attempt_out(attempt, message.code == cause::temporary_failure);
    erase(attempt.serial);
    send(connection, message);
    repeat_perhaps(connection, message);
  }
  void repeat_perhaps(Connection& connection, const Message& message) {
    if (!happens(rates_.repeat_answer)) return;
    loop_.after(between(1, 20), [this, &connection, message] {
      if (!connection.open()) return;
      checker_.note(message.call_id, name() + " sends a second copy");
      send(connection, message);
    });
  }
  void end_call(std::uint64_t serial) {
    auto* attempt = find(serial);
    if (attempt == nullptr) return;
    const auto message = make_message(Op::end, attempt->call_id, cause::normal);
    auto* connection = attempt->connection;
    if (connection == nullptr || !connection->open())
      connection = connections_.empty() ? nullptr : connections_.front();
    checker_.note(attempt->call_id, name() + " ends the call");
    if (connection != nullptr) send(*connection, message);
    if (connection != nullptr && !connection->silent && connection->piece_bytes == 0)
      EventLoop::flush(*connection);
    const bool sent = connection != nullptr && connection->output.empty();
    ends_for_next_connection_.push_back(message);
    end_attempt_out(*attempt, false);
    checker_.call_ended(attempt->call_id, attempt->description, sent);
    erase(serial);
  }
  /// A set-up in work is given up with its connection; a call that stands is not.
  void connection_closed(Connection& connection) {
    std::erase(connections_, &connection);
    // Ends that could not be written to it wait for the next connection.
    auto ends = ends_given_.extract(&connection);
    if (!ends.empty() && !connection.output.empty()) {
      for (auto& message : ends.mapped()) ends_for_next_connection_.push_back(std::move(message));
    }
    for (auto it = attempts_.begin(); it != attempts_.end();) {
      if (it->connection != &connection) {
        ++it;
        continue;
      }
      if (it->out) end_attempt_out(*it, true);
      it->out = false;
      it->connection = nullptr;
      it = it->stands ? std::next(it) : attempts_.erase(it);
    }
  }
  void end_attempt_out(const Attempt& attempt, bool given_up) {
    if (!attempt.out) return;
    // What was given up while the network was cut is seen here later.
    const bool seen_late = now_ms() - silent_changed_ms_ < release_due_ms;
    if (given_up && !seen_late) {
      checker_.attempt_given_up(attempt.call_id);
    } else {
      checker_.attempt_ended(attempt.call_id);
    }
  }
  [[nodiscard]] Attempt* find(std::uint64_t serial) {
    const auto it = std::find_if(attempts_.begin(), attempts_.end(),
                                 [serial](const Attempt& each) { return each.serial == serial; });
    return it == attempts_.end() ? nullptr : &*it;
  }
  void erase(std::uint64_t serial) {
    attempts_.remove_if([serial](const Attempt& each) { return each.serial == serial; });
  }
  /// The call router knows that the call is over.
  void forget_end(const std::string& call_id) {
    const auto is_about_call = [&](const Message& each) { return each.call_id == call_id; };
    std::erase_if(ends_for_next_connection_, is_about_call);
    for (auto& [connection, ends] : ends_given_) std::erase_if(ends, is_about_call);
  }
  /// The same for each attempt of a call; one call in eight is long.
  [[nodiscard]] static double holding_ms(const std::string& call_id) {
    const auto hash = std::hash<std::string>{}(call_id);
    return hash % 8 == 0 ? 3000 : 150 + static_cast<double>(hash % 600);
  }
  [[nodiscard]] static Message make_message(Op op, const std::string& call_id, int code = -1) {
    Message message;
    message.op = op;
    message.call_id = call_id;
    if (code >= 0) message.code = code;
    return message;
  }
  [[nodiscard]] Message group_state() const {
    auto message = make_message(Op::group, "0000000000000000");
    message.fields = {
        {"load", "x0:" + std::to_string(200 - std::min<std::size_t>(attempts_.size(), 200)) + ";x1:200"}};
    return message;
  }
  static void send(Connection& connection, const Message& message) {
    connection.send(serialize_message(message));
  }

  EventLoop& loop_;
  RuleChecker& checker_;
  std::mt19937_64& random_;
  FaultRates rates_;
  EventLoop::Listener* listener_ = nullptr;
  std::vector<Connection*> connections_;
  std::vector<Connection*> coming_up_;  ///< accepted by the system while the network is cut
  std::list<Attempt> attempts_;
  std::vector<Message> ends_for_next_connection_;
  std::map<Connection*, std::vector<Message>> ends_given_;  ///< to connections when they came up
  std::uint64_t last_serial_ = 0;
  double silent_changed_ms_ = -1e9;

 public:
  const std::uint32_t id;
  const int number;
};

}  // namespace heathturn::soak
