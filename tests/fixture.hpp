// A controller fed by hand, for tests of the module.
#pragma once

#include <gtest/gtest.h>

#include <chrono>
#include <vector>

#include "maddershed/call_controller.hpp"

namespace maddershed::test {

using namespace std::chrono_literals;

inline Settings mesh_settings() {
  Settings s;
  s.classes.resize(2);
  s.classes[0] = {
      .name = "plain", .worth = 1, .late_worth_share = 0.1, .set_up_objective = 1500ms, .give_up_after = 9s};
  s.classes[1] = {
      .name = "dear", .worth = 2, .late_worth_share = 0.1, .set_up_objective = 1500ms, .give_up_after = 9s};
  s.home_exchange = 0;
  s.controller_count = 4;
  s.release_wait = 500ms;
  s.resend_after = 400ms;
  s.batch_interval = 5ms;
  s.start_capacity = 0.35;
  s.cold_time = 13s;
  s.overload_multiple = 2;
  s.overload_duration = 1s;
  s.attempt_limit = 5;
  s.max_retry_after = 2s;
  s.sends_retry_after = true;
  s.cancelling = true;
  return s;
}

/// Exchanges 0 (home) to 3 with ids 100 to 103.
inline DirectoryUpdate directory(int exchanges = 4) {
  DirectoryUpdate update;
  update.kind = DirectoryUpdate::Kind::cached;
  for (int i = 0; i < exchanges; ++i) {
    update.entries.push_back({.exchange = ExchangeId{static_cast<std::uint32_t>(100 + i)}, .number = i});
  }
  return update;
}

class Driver {
 public:
  explicit Driver(Settings settings = mesh_settings(), std::uint64_t seed = 7)
      : controller_(std::move(settings), seed) {
    feed(Started{});
    feed(directory());
    for (std::uint32_t id = 101; id <= 103; ++id) circuits(id, 20);
  }
  std::vector<Action> feed(const Event& event) {
    std::vector<Action> actions;
    controller_.handle(now, event, actions);
    for (const auto& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) timers_.emplace_back(timer->due, timer->token);
    }
    return actions;
  }
  /// Moves the clock on and delivers each timer that came due, in order.
  std::vector<Action> advance(Duration by) {
    std::vector<Action> all;
    const Time end = now + by;
    while (true) {
      auto next = timers_.end();
      for (auto it = timers_.begin(); it != timers_.end(); ++it) {
        if (it->first <= end && (next == timers_.end() || it->first < next->first)) next = it;
      }
      if (next == timers_.end()) break;
      const auto [due, token] = *next;
      timers_.erase(next);
      now = std::max(now, due);
      const auto actions = feed(TimerDue{token});
      all.insert(all.end(), actions.begin(), actions.end());
    }
    now = end;
    return all;
  }
  void circuits(std::uint32_t id, double free, double total = 20) {
    ExchangeReport report;
    report.exchange = ExchangeId{id};
    report.report.free_circuits = free;
    report.report.total_circuits = total;
    feed(report);
  }
  std::vector<Action> offer(std::uint64_t id, ExchangeNumber to, std::uint32_t traffic_class = 0,
                            std::uint64_t called_number = 0) {
    CallOffered call;
    call.call = CallId{id};
    call.traffic_class = traffic_class;
    call.time_left = 3s;
    call.destination = to;
    call.called_number = called_number;
    return feed(call);
  }
  std::vector<Action> end(std::uint64_t id, std::uint32_t exchange, AttemptResult result,
                          FailureCause cause = FailureCause::none, LoadReport report = {},
                          std::uint32_t attempt = 0) {
    AttemptEnded ended;
    ended.call = CallId{id};
    ended.attempt = attempt;
    ended.exchange = ExchangeId{exchange};
    ended.result = result;
    ended.cause = cause;
    ended.report = report;
    return feed(ended);
  }
  std::vector<Action> stands(std::uint64_t id, std::uint32_t exchange, Duration elapsed = 50ms) {
    return feed(CallStands{CallId{id}, 0, ExchangeId{exchange}, elapsed});
  }
  /// The call stands and ends at once; the far processor's figures come with its end.
  void whole_call(std::uint64_t id, std::uint32_t exchange, const LoadReport& report) {
    stands(id, exchange);
    AttemptEnded ended;
    ended.call = CallId{id};
    ended.exchange = ExchangeId{exchange};
    ended.call_finished = true;
    ended.report = report;
    ended.report.free_circuits = 20;
    feed(ended);
  }
  /// Completes every set-up among the actions, and what their ends let go; returns how many there were.
  int complete(const std::vector<Action>& actions, const LoadReport& report) {
    int done = 0;
    for (const auto& action : actions) {
      const auto* set_up = std::get_if<SendSetUp>(&action);
      if (set_up == nullptr) continue;
      ++done;
      whole_call(set_up->call.value, set_up->exchange.value, report);
    }
    return done;
  }

  Time now{10s};

 private:
  CallController controller_;
  std::vector<std::pair<Time, std::uint64_t>> timers_;
};

template <typename T>
std::vector<T> only(const std::vector<Action>& actions) {
  std::vector<T> found;
  for (const auto& action : actions) {
    if (const auto* match = std::get_if<T>(&action)) found.push_back(*match);
  }
  return found;
}

}  // namespace maddershed::test
