// The five rules of the module under random events with fixed seeds. The checker is independent of the
// module.
#include <array>
#include <map>
#include <random>
#include <set>

#include "fixture.hpp"

namespace maddershed::test {
namespace {

constexpr Duration drain_grace = 1s;  // set-ups to a draining exchange are tolerated for this long

/// A call as the checker sees it.
struct ObservedCall {
  Time deadline;
  bool answered = false, finished = false, established = false;
  std::optional<ExchangeId> in_flight;  // where the attempt in flight was sent
  std::uint32_t attempts = 0;
  Time not_before;
};

/// Feeds random events to a controller and checks each of its actions against the rules.
class RandomScenario {
 public:
  explicit RandomScenario(std::uint64_t seed) : random_(seed), controller_(mesh_settings(), seed) {
    feed(Started{});
    feed(directory());
    for (std::uint32_t id = 101; id <= 103; ++id) report_circuits(id);
  }
  void run(int steps) {
    for (int i = 0; i < steps; ++i) {
      now_ = now_ + 5ms;
      if (random_below(400) == 0) stall();
      deliver_timers();
      time_out_attempts();
      switch (random_below(8)) {
        case 0:
        case 1:
          offer();
          break;
        case 2:
          report_circuits(101 + random_below(3));
          break;
        case 3:
          if (random_below(40) == 0) change_directory();
          break;
        case 4:
          if (random_below(20) == 0) caller_leaves();
          break;
        default:
          end_random_attempt();
          break;
      }
      for (const auto& [id, call] : calls_) {
        ASSERT_TRUE(call.answered || call.established || call.finished || now_ <= call.deadline + 20ms)
            << "call " << id.value << " has no answer";
      }
      if (testing::Test::HasFatalFailure()) return;
    }
    // Without new events, every call gets its answer.
    for (int i = 0; i < 1000; ++i) {
      now_ = now_ + 5ms;
      deliver_timers();
      time_out_attempts();
    }
    for (const auto& [id, call] : calls_) {
      ASSERT_TRUE(call.answered || call.established || call.finished) << "call " << id.value << " was lost";
    }
    EXPECT_GT(sent_count_, 50);
  }
  [[nodiscard]] const std::vector<Action>& actions() const { return actions_; }

 private:
  std::uint32_t random_below(std::uint32_t bound) { return static_cast<std::uint32_t>(random_() % bound); }
  void feed(const Event& event) {
    std::vector<Action> actions;
    controller_.handle(now_, event, actions);
    for (const auto& action : actions) {
      actions_.push_back(action);
      if (const auto* timer = std::get_if<SetTimer>(&action)) timers_.emplace(timer->due, timer->token);
      if (const auto* set_up = std::get_if<SendSetUp>(&action)) check_set_up(*set_up);
      if (const auto* refuse = std::get_if<Refuse>(&action)) check_answer(refuse->call);
      if (const auto* fail = std::get_if<Fail>(&action)) check_answer(fail->call);
    }
  }
  void check_set_up(const SendSetUp& set_up) {
    ++sent_count_;
    auto& call = calls_.at(set_up.call);
    EXPECT_FALSE(call.in_flight) << "two attempts in flight";
    EXPECT_FALSE(call.answered || call.finished) << "sent after the end of the call";
    EXPECT_GE(now_, call.not_before) << "sent before the release wait was over";
    EXPECT_LE(set_up.deadline, call.deadline);
    if (const auto it = not_ready_since_.find(set_up.exchange); it != not_ready_since_.end()) {
      EXPECT_LE(now_ - it->second, drain_grace) << "sent to a draining exchange";
    }
    call.in_flight = set_up.exchange;
    ++call.attempts;
  }
  void check_answer(CallId id) {
    auto& call = calls_.at(id);
    EXPECT_FALSE(call.answered) << "answered twice";
    EXPECT_FALSE(call.in_flight) << "answered with an attempt in flight";
    call.answered = true;
  }
  void deliver_timers() {
    while (!timers_.empty() && timers_.begin()->first <= now_) {
      const auto token = timers_.begin()->second;
      timers_.erase(timers_.begin());
      feed(TimerDue{token});
    }
  }
  void time_out_attempts() {
    std::vector<CallId> overdue;
    for (const auto& [id, call] : calls_) {
      if (call.in_flight && !call.established && now_ >= call.deadline) overdue.push_back(id);
    }
    for (const auto& id : overdue) end_attempt(id, AttemptResult::timed_out, false);
  }
  void offer() {
    CallOffered call;
    call.call = CallId{++last_call_id_};
    call.traffic_class = random_below(2);
    call.time_left = std::chrono::milliseconds{5 + random_below(3000)};
    call.destination = static_cast<ExchangeNumber>(1 + random_below(3));
    call.in_transit = random_below(4) == 0;
    calls_[call.call].deadline = now_ + call.time_left;
    feed(call);
  }
  /// The controller gets no events for two seconds and then all pending ones at once. The deadlines of the
  /// calls are extended by the same time.
  void stall() {
    now_ = now_ + 2s;
    for (auto& [id, call] : calls_) call.deadline = call.deadline + 2s;
    for (int i = 0; i < 10; ++i) offer();
    caller_leaves();
  }
  void report_circuits(std::uint32_t id) {
    ExchangeReport report;
    report.exchange = ExchangeId{id};
    const bool has_no_group = id == 103;  // calls to it need a tandem
    report.report.free_circuits = has_no_group ? 0 : random_below(6);
    report.report.total_circuits = has_no_group ? 0 : 20;
    feed(report);
  }
  void change_directory() {
    const ExchangeId id{101 + random_below(3)};
    DirectoryUpdate update;
    DirectoryEntry entry{.exchange = id, .number = static_cast<ExchangeNumber>(id.value - 100)};
    entry.state = static_cast<ExchangeState>(random_below(3));
    if (random_below(2) == 0) entry.started_at = now_;
    if (entry.state == ExchangeState::ready) {
      not_ready_since_.erase(id);
    } else {
      not_ready_since_.try_emplace(id, now_);
    }
    update.entries = {entry};
    feed(update);
  }
  void caller_leaves() {
    for (auto& [id, call] : calls_) {
      if (call.answered || call.finished || call.established || random_below(3) != 0) continue;
      call.finished = true;
      feed(CallerLeft{id});
      return;
    }
  }
  void end_random_attempt() {
    std::vector<CallId> in_flight;
    for (const auto& [id, call] : calls_) {
      if (call.in_flight) in_flight.push_back(id);
    }
    if (in_flight.empty()) return;
    const auto id = in_flight[random_below(static_cast<std::uint32_t>(in_flight.size()))];
    auto& call = calls_.at(id);
    if (call.established)
      return end_attempt(id, random_below(2) == 0 ? AttemptResult::ended : AttemptResult::reset, true);
    if (random_below(2) == 0 && !call.finished) {
      call.established = true;
      return feed(CallStands{id, call.attempts - 1, *call.in_flight, 100ms});
    }
    constexpr std::array results{AttemptResult::error,          AttemptResult::not_set_up,
                                 AttemptResult::connect_failed, AttemptResult::reset,
                                 AttemptResult::cancelled,      AttemptResult::not_sent};
    end_attempt(id, results[random_below(results.size())], false);
  }
  void end_attempt(CallId id, AttemptResult result, bool call_finished) {
    auto& call = calls_.at(id);
    AttemptEnded end;
    end.call = id;
    end.attempt = call.attempts - 1;
    end.exchange = *call.in_flight;
    end.result = result;
    end.cause = static_cast<FailureCause>(random_below(5));
    end.call_finished = call_finished || call.finished;
    end.report.utilisation = random_below(200) / 100.0;
    call.in_flight.reset();
    if (call_finished) call.finished = true;
    const bool needs_release_wait = result == AttemptResult::timed_out || result == AttemptResult::reset ||
                                    result == AttemptResult::cancelled;
    if (needs_release_wait) call.not_before = now_ + mesh_settings().release_wait;
    feed(end);
  }

  std::mt19937_64 random_;
  CallController controller_;
  Time now_{20s};
  std::map<CallId, ObservedCall> calls_;
  std::multimap<Time, std::uint64_t> timers_;
  std::map<ExchangeId, Time> not_ready_since_;  // exchanges that are draining or gone
  std::vector<Action> actions_;
  std::uint64_t last_call_id_ = 0;
  int sent_count_ = 0;
};

TEST(RandomEvents, TheRulesHold) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    SCOPED_TRACE(seed);
    RandomScenario scenario(seed);
    scenario.run(4000);
    if (HasFailure()) return;
  }
}

TEST(RandomEvents, SameEventsSameActions) {
  RandomScenario one(99);
  RandomScenario two(99);
  one.run(2500);
  two.run(2500);
  EXPECT_EQ(one.actions(), two.actions());
}

}  // namespace
}  // namespace maddershed::test
