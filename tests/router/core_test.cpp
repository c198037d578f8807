// The rules that the core keeps whatever is decided: a scripted decider, a carrier that notes what it is
// told.
#include <catch2/catch.hpp>
#include <map>

#include "core/router.hpp"

namespace heathturn {
namespace {

using namespace maddershed;

struct World : Frontend, Backend {
  Clock clock;
  TimerQueue timers;
  std::vector<Event> events;
  std::vector<Action> next;  ///< what the decider answers to the next event
  Router router{clock, timers, 350, [this](Time, const Event& event, std::vector<Action>& actions) {
                  events.push_back(event);
                  actions.swap(next);
                }};
  std::vector<std::string> said;
  std::vector<Handle> sent;
  std::vector<double> sent_at;
  Handle request = no_handle;
  double now = 1e12;

  World() {
    clock.set(now);
    router.set_backend(*this);
    DirectoryUpdate list{DirectoryUpdate::Kind::snapshot,
                         {{.exchange = {1}, .number = 1}, {.exchange = {2}, .number = 2}}};
    router.directory_updated(list);
  }
  void pass(double ms) {
    for (double end = now + ms; now < end;) {
      now = std::min(end, std::max(now, timers.next_due_ms().value_or(end)));
      clock.set(now);
      timers.run_due(now);
    }
  }
  Time at(double ms) const { return to_time(now + ms); }
  void offer(double left, std::function<Action(Handle)> action) {
    Request asked;
    asked.time_left_ms = left;
    router.offer(*this, asked, [&](Handle handle) {
      request = handle;
      next = {action(handle)};
    });
  }
  /// The decider's next word, at an event that means nothing.
  void decide(Action action) {
    next = {std::move(action)};
    router.exchange_reported(ExchangeId{1}, {});
  }
  void on_request_served(Handle, const std::string& answer) override { said.push_back("served " + answer); }
  void on_request_refused(Handle, double wait) override {
    said.push_back("refused " + std::to_string(static_cast<int>(wait)));
  }
  void on_request_failed(Handle) override { said.push_back("failed"); }
  void on_call_ended(Handle, CallEnd end) override {
    said.push_back(end == CallEnd::normal ? "over" : "cut");
  }
  void send_attempt(Handle attempt, ExchangeId, const Request&, double) override {
    sent.push_back(attempt);
    sent_at.push_back(now);
  }
  void abandon_attempt(Handle) override { said.push_back("given up"); }
  void release_call(Handle) override { said.push_back("released"); }
  void probe(ExchangeId) override {}
};

using Said = std::vector<std::string>;

TEST_CASE("a decider that says nothing still leaves the caller one answer in time") {
  World w;
  w.offer(1000, [&w](Handle id) { return SendSetUp{CallId{id}, ExchangeId{1}, w.at(5000)}; });
  w.pass(960);
  CHECK(w.said.empty());
  w.pass(39);
  CHECK(w.said == Said{"given up", "failed"});
  CHECK(w.router.pending_count() == 0);
  w.router.attempt_succeeded(w.sent[0], "late");
  w.decide(Refuse{CallId{w.request}});
  CHECK(w.said.size() == 2);
}

TEST_CASE("no second attempt goes out beside the first") {
  World w;
  w.offer(3000, [&w](Handle id) { return SendSetUp{CallId{id}, ExchangeId{1}, w.at(2000)}; });
  w.decide(SendSetUp{CallId{w.request}, ExchangeId{2}, w.at(2000)});
  CHECK(w.sent.size() == 1);
}

TEST_CASE("a retry after a time-out, a reset or a cancel awaits the release") {
  World w;
  w.offer(3000, [&w](Handle id) { return SendSetUp{CallId{id}, ExchangeId{1}, w.at(500)}; });
  const auto again = [&w] { w.decide(SendSetUp{CallId{w.request}, ExchangeId{2}, w.at(2000)}); };
  SECTION("time-out") {
    w.pass(500);
    CHECK(w.said == Said{"given up"});
    again();
  }
  SECTION("reset") {
    w.router.attempt_ended(w.sent[0], {.result = AttemptResult::reset});
    again();
  }
  SECTION("cancel") {
    w.decide(Cancel{CallId{w.request}, 0});
    again();
  }
  const double from = w.now;
  w.pass(349);
  CHECK(w.sent.size() == 1);
  w.pass(2);
  REQUIRE(w.sent.size() == 2);
  CHECK(w.sent_at[1] - from >= 350);
}

TEST_CASE("an attempt held for the release does not go to a converter that began to drain meanwhile") {
  World w;
  w.offer(3000, [&w](Handle id) { return SendSetUp{CallId{id}, ExchangeId{1}, w.at(2000)}; });
  w.router.attempt_ended(w.sent[0], {.result = AttemptResult::reset});
  w.decide(SendSetUp{CallId{w.request}, ExchangeId{2}, w.at(2000)});
  w.router.directory_updated(
      {DirectoryUpdate::Kind::changes, {{.exchange = {2}, .number = 2, .state = ExchangeState::draining}}});
  w.pass(400);
  CHECK(w.sent.size() == 1);
  CHECK(std::get<AttemptEnded>(w.events.back()).result == AttemptResult::not_sent);
}

TEST_CASE("a call that stood is released once, and a lost converter cuts what stands there") {
  World w;
  w.offer(3000, [&w](Handle id) { return SendSetUp{CallId{id}, ExchangeId{1}, w.at(2000)}; });
  w.router.attempt_succeeded(w.sent[0], "hello");
  w.router.attempt_succeeded(w.sent[0], "again");
  w.pass(5000);
  CHECK(w.router.established_count() == 1);
  SECTION("its end") { w.router.attempt_ended(w.sent[0], {.result = AttemptResult::ended}); }
  SECTION("its converter lost") {
    w.router.exchange_lost(ExchangeId{2}, w.now);
    w.router.exchange_lost(ExchangeId{1}, w.sent_at[0]);  // it began anew before it took this call
    CHECK(w.router.established_count() == 1);
    w.router.exchange_lost(ExchangeId{1}, w.now);
  }
  w.router.attempt_ended(w.sent[0], {.result = AttemptResult::reset});
  w.router.exchange_lost(ExchangeId{1}, w.now);
  CHECK((w.said == Said{"served hello", "over"} || w.said == Said{"served hello", "released", "cut"}));
  CHECK(w.router.established_count() == 0);
}

TEST_CASE("a caller who leaves gets no answer, and its attempt ends") {
  World w;
  w.offer(3000, [&w](Handle id) { return SendSetUp{CallId{id}, ExchangeId{1}, w.at(2000)}; });
  w.next = {Cancel{CallId{w.request}, 0}};
  w.router.caller_left(w.request);
  CHECK(w.said == Said{"given up"});
  w.pass(5000);
  CHECK(w.said.size() == 1);
  CHECK(w.router.pending_count() + w.router.established_count() == 0);
}

TEST_CASE("a slot's old handle does not find its next tenant") {
  SlotTable<int> table;
  const auto first = table.add(1);
  CHECK(table.erase(first));
  const auto second = table.add(2);
  CHECK(static_cast<std::uint32_t>(first) == static_cast<std::uint32_t>(second));
  CHECK(table.find(first) == nullptr);
  CHECK_FALSE(table.erase(first));
  CHECK(*table.find(second) == 2);
}

TEST_CASE("the clock never goes back") {
  Clock clock;
  clock.set(5000);
  CHECK(clock.now_ms() == 5000);
  clock.set(4000);
  CHECK(clock.now_ms() == 5000);
  clock.set(6000);
  CHECK(clock.now_ms() == 6000);
}

}  // namespace
}  // namespace heathturn
