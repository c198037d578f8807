// The five rules under random events with fixed seeds, against a checker that knows nothing of the module.
#include <array>
#include <map>
#include <random>
#include <set>

#include "fixture.hpp"

namespace maddershed::test {
namespace {

constexpr Duration drain_grace = 1s;

struct SeenCall {
  Time deadline;
  bool answered = false, over = false, standing = false;
  std::optional<ExchangeId> out;
  std::uint32_t attempts = 0;
  Time not_before;
};

class RandomDay {
 public:
  explicit RandomDay(std::uint64_t seed) : random_(seed), controller_(mesh_settings(), seed) {
    feed(Started{});
    feed(directory());
    for (std::uint32_t id = 101; id <= 103; ++id) circuits(id);
  }
  void run(int steps) {
    for (int i = 0; i < steps; ++i) {
      now_ = now_ + 5ms;
      if (pick(400) == 0) stall();
      fire_timers();
      expire();
      switch (pick(8)) {
        case 0:
        case 1:
          offer();
          break;
        case 2:
          circuits(101 + pick(3));
          break;
        case 3:
          if (pick(40) == 0) change_directory();
          break;
        case 4:
          if (pick(20) == 0) leave();
          break;
        default:
          end_something();
          break;
      }
      for (const auto& [id, call] : calls_) {
        ASSERT_TRUE(call.answered || call.standing || call.over || now_ <= call.deadline + 20ms)
            << "call " << id.value << " has no answer";
      }
      if (testing::Test::HasFatalFailure()) return;
    }
    // Nothing is left when all is quiet.
    for (int i = 0; i < 1000; ++i) {
      now_ = now_ + 5ms;
      fire_timers();
      expire();
    }
    for (const auto& [id, call] : calls_) {
      ASSERT_TRUE(call.answered || call.standing || call.over) << "call " << id.value << " was lost";
    }
    EXPECT_GT(sent_, 50);
  }
  [[nodiscard]] const std::vector<Action>& actions() const { return all_; }

 private:
  std::uint32_t pick(std::uint32_t below) { return static_cast<std::uint32_t>(random_() % below); }
  void feed(const Event& event) {
    std::vector<Action> actions;
    controller_.handle(now_, event, actions);
    for (const auto& action : actions) {
      all_.push_back(action);
      if (const auto* timer = std::get_if<SetTimer>(&action)) timers_.emplace(timer->due, timer->token);
      if (const auto* set_up = std::get_if<SendSetUp>(&action)) check(*set_up);
      if (const auto* refuse = std::get_if<Refuse>(&action)) answer(refuse->call);
      if (const auto* fail = std::get_if<Fail>(&action)) answer(fail->call);
    }
  }
  void check(const SendSetUp& set_up) {
    ++sent_;
    auto& call = calls_.at(set_up.call);
    EXPECT_FALSE(call.out) << "two attempts out";
    EXPECT_FALSE(call.answered || call.over) << "placed after its end";
    EXPECT_GE(now_, call.not_before) << "release not awaited";
    EXPECT_LE(set_up.deadline, call.deadline);
    if (const auto it = told_.find(set_up.exchange); it != told_.end()) {
      EXPECT_LE(now_ - it->second, drain_grace) << "sent to a draining exchange";
    }
    call.out = set_up.exchange;
    ++call.attempts;
  }
  void answer(CallId id) {
    auto& call = calls_.at(id);
    EXPECT_FALSE(call.answered) << "answered twice";
    EXPECT_FALSE(call.out) << "answered with an attempt out";
    call.answered = true;
  }
  void fire_timers() {
    while (!timers_.empty() && timers_.begin()->first <= now_) {
      const auto token = timers_.begin()->second;
      timers_.erase(timers_.begin());
      feed(TimerDue{token});
    }
  }
  void expire() {
    std::vector<CallId> late;
    for (const auto& [id, call] : calls_) {
      if (call.out && !call.standing && now_ >= call.deadline) late.push_back(id);
    }
    for (const auto& id : late) end_attempt(id, AttemptResult::timed_out, false);
  }
  void offer() {
    CallOffered call;
    call.call = CallId{++next_};
    call.traffic_class = pick(2);
    call.time_left = std::chrono::milliseconds{5 + pick(3000)};
    call.destination = static_cast<ExchangeNumber>(1 + pick(3));
    call.in_transit = pick(4) == 0;
    calls_[call.call].deadline = now_ + call.time_left;
    feed(call);
  }
  /// The controller has no turn for two seconds, then all that is due at once; callers wait as long more.
  void stall() {
    now_ = now_ + 2s;
    for (auto& [id, call] : calls_) call.deadline = call.deadline + 2s;
    for (int i = 0; i < 10; ++i) offer();
    leave();
  }
  void circuits(std::uint32_t id) {
    ExchangeReport report;
    report.exchange = ExchangeId{id};
    const bool no_group = id == 103;  // calls to it go over a tandem
    report.report.free_circuits = no_group ? 0 : pick(6);
    report.report.total_circuits = no_group ? 0 : 20;
    feed(report);
  }
  void change_directory() {
    const ExchangeId id{101 + pick(3)};
    DirectoryUpdate update;
    DirectoryEntry entry{.exchange = id, .number = static_cast<ExchangeNumber>(id.value - 100)};
    entry.state = static_cast<ExchangeState>(pick(3));
    if (pick(2) == 0) entry.started_at = now_;
    if (entry.state == ExchangeState::ready) {
      told_.erase(id);
    } else {
      told_.try_emplace(id, now_);
    }
    update.entries = {entry};
    feed(update);
  }
  void leave() {
    for (auto& [id, call] : calls_) {
      if (call.answered || call.over || call.standing || pick(3) != 0) continue;
      call.over = true;
      feed(CallerLeft{id});
      return;
    }
  }
  void end_something() {
    std::vector<CallId> out;
    for (const auto& [id, call] : calls_) {
      if (call.out) out.push_back(id);
    }
    if (out.empty()) return;
    const auto id = out[pick(static_cast<std::uint32_t>(out.size()))];
    auto& call = calls_.at(id);
    if (call.standing)
      return end_attempt(id, pick(2) == 0 ? AttemptResult::ended : AttemptResult::reset, true);
    if (pick(2) == 0 && !call.over) {
      call.standing = true;
      return feed(CallStands{id, call.attempts - 1, *call.out, 100ms});
    }
    constexpr std::array results{AttemptResult::error,          AttemptResult::not_set_up,
                                 AttemptResult::connect_failed, AttemptResult::reset,
                                 AttemptResult::cancelled,      AttemptResult::not_sent};
    end_attempt(id, results[pick(results.size())], false);
  }
  void end_attempt(CallId id, AttemptResult result, bool over) {
    auto& call = calls_.at(id);
    AttemptEnded end;
    end.call = id;
    end.attempt = call.attempts - 1;
    end.exchange = *call.out;
    end.result = result;
    end.cause = static_cast<FailureCause>(pick(5));
    end.call_finished = over || call.over;
    end.report.utilisation = pick(200) / 100.0;
    call.out.reset();
    if (over) call.over = true;
    const bool awaited = result == AttemptResult::timed_out || result == AttemptResult::reset ||
                         result == AttemptResult::cancelled;
    if (awaited) call.not_before = now_ + mesh_settings().release_wait;
    feed(end);
  }

  std::mt19937_64 random_;
  CallController controller_;
  Time now_{20s};
  std::map<CallId, SeenCall> calls_;
  std::multimap<Time, std::uint64_t> timers_;
  std::map<ExchangeId, Time> told_;
  std::vector<Action> all_;
  std::uint64_t next_ = 0;
  int sent_ = 0;
};

TEST(RandomEvents, TheRulesHold) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    SCOPED_TRACE(seed);
    RandomDay day(seed);
    day.run(4000);
    if (HasFailure()) return;
  }
}

TEST(RandomEvents, SameEventsSameActions) {
  RandomDay one(99);
  RandomDay two(99);
  one.run(2500);
  two.run(2500);
  EXPECT_EQ(one.actions(), two.actions());
}

}  // namespace
}  // namespace maddershed::test
