// Checks the rules of the platform's protocol against what the stand-ins sent and received.
#pragma once

#include <cstdint>
#include <cstdio>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "event_loop.hpp"
#include "platform/message.hpp"

namespace heathturn::soak {

// The figures of the protocol page and of the settings.
inline constexpr double socket_slack_ms = 50;
inline constexpr double release_wait_ms = 300;
inline constexpr double drain_grace_ms = 2000;
inline constexpr double late_answer_ms = 500;          ///< an answer later than this after its time is lost
inline constexpr double release_due_ms = 1000;         ///< towards the caller, after the end of the call
inline constexpr double release_due_unsent_ms = 8000;  ///< the same, if no release could be sent
inline constexpr double told_after_failure_ms =
    6000;  ///< a change counts as told, after failed calls to discovery

/// A request with all that was seen of it.
struct RequestRecord {
  Message offer;
  double written_ms = 0;  ///< when its last byte was written
  double left_ms = 0;
  bool answer_owed = true;  ///< false: its caller has left, or the call router was killed
  int answers = 0;
  bool established = false;  ///< the caller has the answer of a converter
  bool released = false;     ///< the caller has released the call, or has been told of its end
  double ended_ms = 0;       ///< when its converter ended the call
  double end_due_ms = 0;     ///< when the caller has to be told of it
  bool lost_with_converter = false;
  bool restart_since = false;          ///< the call router was restarted after it was offered
  std::set<std::string> made_answers;  ///< descriptions that converters gave for it
  std::string answer;                  ///< the description that its caller got
  double finished_ms = 0;              ///< when it was refused, given up, or its call was over for its caller
  /// When its caller was done with the call of this answer; 0: not yet.
  [[nodiscard]] double done_ms(const std::string& description) const {
    if (established && answer != description) return established_ms;
    return finished_ms;
  }
  double established_ms = 0;
  int attempts_out = 0;
  double given_up_ms = 0;  ///< when the last attempt without an end of its converter was given up
  std::vector<std::string> trace;
};

/// The rules. Each broken one is reported once for each request.
class RuleChecker {
 public:
  std::map<std::string, RequestRecord> requests;
  std::map<std::string, double>
      told_ms;  ///< by converter: when the call router was told that it drains or is gone
  std::uint64_t served = 0, refused = 0, given_up = 0;

  [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
  [[nodiscard]] double elapsed_ms() const { return now_ms() - started_ms_; }
  void note(const std::string& call_id, const std::string& text) {
    char time[24];
    std::snprintf(time, sizeof time, "%9.1f  ", elapsed_ms());
    if (const auto it = requests.find(call_id); it != requests.end()) it->second.trace.push_back(time + text);
  }
  void violation(const std::string& rule, const std::string& call_id) {
    if (!reported_.insert(rule + call_id).second) return;
    std::string text = rule + ", request " + call_id + " at " + std::to_string(elapsed_ms()) + " ms\n";
    if (const auto it = requests.find(call_id); it != requests.end()) {
      for (const auto& line : it->second.trace) text += "    " + line + "\n";
    }
    violations_.push_back(text);
  }

  // At converters.
  void attempt_arrived(const std::string& converter, const Message& message) {
    note(message.call_id, "set-up arrives at " + converter);
    const auto it = requests.find(message.call_id);
    if (it == requests.end()) return violation("form: a set-up that no caller sent", message.call_id);
    auto& request = it->second;
    const auto same = [&](const char* name) {
      const auto* sent = request.offer.field(name);
      const auto* got = message.field(name);
      return sent != nullptr && got != nullptr && *sent == *got;
    };
    if (!same("class") || !same("key") || message.description != request.offer.description)
      violation("form: a set-up with changed contents", message.call_id);
    if (++request.attempts_out > 1) violation("duplicate: two attempts out at once", message.call_id);
    if (request.given_up_ms > 0 && now_ms() - request.given_up_ms < release_wait_ms)
      violation("release first: an attempt within the release wait", message.call_id);
    if (const auto told = told_ms.find(converter);
        told != told_ms.end() && now_ms() - told->second > drain_grace_ms + socket_slack_ms)
      violation("drain: a set-up to a converter that drains or is gone", message.call_id);
  }
  void attempt_ended(const std::string& call_id) {
    if (auto* request = find(call_id); request != nullptr && request->attempts_out > 0)
      --request->attempts_out;
  }
  /// The call router released it, or its connection ended.
  void attempt_given_up(const std::string& call_id) {
    attempt_ended(call_id);
    if (auto* request = find(call_id); request != nullptr) request->given_up_ms = now_ms();
  }
  void answer_made(const std::string& call_id, const std::string& description) {
    if (auto* request = find(call_id); request != nullptr) request->made_answers.insert(description);
  }
  /// The call has come to its end at its converter. `sent`: its release was written to an open connection.
  void call_ended(const std::string& call_id, const std::string& description, bool sent) {
    auto* request = find(call_id);
    if (request == nullptr || request->answer != description || request->ended_ms > 0) return;
    request->ended_ms = now_ms();
    request->end_due_ms = now_ms() + (sent ? release_due_ms : release_due_unsent_ms) + socket_slack_ms;
  }
  /// The converter of the call has died. A call router that has started since the call can't know of it.
  void call_lost(const std::string& call_id, const std::string& description) {
    call_ended(call_id, description, false);
    if (auto* request = find(call_id); request != nullptr && request->answer == description)
      request->lost_with_converter = true;
  }
  /// The converter has died before it could tell of the end of the call.
  void end_lost(const std::string& call_id) {
    if (auto* request = find(call_id); request != nullptr) request->lost_with_converter = true;
  }

  // At callers.
  void answered(const Message& message) {
    note(message.call_id, message.op == Op::accept
                              ? "the caller gets the answer"
                              : "the caller gets an end, cause " + std::to_string(message.code.value_or(-1)));
    auto* request = find(message.call_id);
    if (request == nullptr) return;
    if (message.op == Op::end) request->finished_ms = now_ms();
    if (message.op == Op::end && request->established) {
      request->released = true;
      return;
    }
    // A call router that has started since knows nothing of the answer, and passes the end of a call on.
    if (message.op == Op::end && request->answers > 0 && request->restart_since) return;
    if (++request->answers > 1) violation("lost: a second answer", message.call_id);
    if (message.op == Op::end) {
      ++refused;
      return;
    }
    ++served;
    request->established = true;
    request->established_ms = now_ms();
    request->answer = message.description.value_or("");
    if (!message.description || !request->made_answers.contains(*message.description))
      violation("lost: served with what no converter made for it", message.call_id);
  }
  void no_answer_owed(const std::string& call_id) {
    auto* request = find(call_id);
    if (request == nullptr || request->answers > 0) return;
    if (request->answer_owed) ++given_up;
    request->answer_owed = false;
    request->finished_ms = now_ms();
  }
  void caller_released(const std::string& call_id) {
    note(call_id, "the caller releases the call");
    auto* request = find(call_id);
    if (request == nullptr) return;
    request->released = true;
    request->finished_ms = now_ms();
  }
  /// Reports the answers and releases that are overdue. `caller_connected`: a caller's connection has been
  /// open since `connected_since_ms`.
  void check_overdue(double connected_since_ms) {
    const double now = now_ms();
    for (auto& [call_id, request] : requests) {
      if (request.answer_owed && request.answers == 0 && request.written_ms > 0 &&
          now > request.written_ms + request.left_ms + late_answer_ms + socket_slack_ms)
        violation("lost: no answer in time", call_id);
      if (request.lost_with_converter && request.restart_since) request.released = true;
      if (request.ended_ms > 0 && !request.released && request.established) {
        const double connected_ms = std::max(request.ended_ms, connected_since_ms);
        const double due_ms = request.restart_since || connected_ms > request.ended_ms
                                  ? request.ended_ms + release_due_unsent_ms + socket_slack_ms
                                  : request.end_due_ms;
        if (now > due_ms) violation("lost: the end of a call was not told to its caller", call_id);
      }
    }
  }

 private:
  RequestRecord* find(const std::string& call_id) {
    const auto it = requests.find(call_id);
    return it == requests.end() ? nullptr : &it->second;
  }
  double started_ms_ = now_ms();
  std::vector<std::string> violations_;
  std::set<std::string> reported_;
};

}  // namespace heathturn::soak
