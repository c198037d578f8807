// Tests of the rules that the router enforces whatever the module decides, with a scripted decision function
// and a backend that records the calls made to it.
#include <catch2/catch.hpp>
#include <map>

#include "core/router.hpp"
#include "net/fair_queue.hpp"

namespace heathturn {
namespace {

using namespace maddershed;

/// A router with its frontend, backend and decision function.
struct RouterFixture : Frontend, Backend {
  Clock clock;
  TimerQueue timers;
  std::vector<Event> events;
  std::vector<Action> next_actions;  ///< what the decision function returns for the next event
  Router router{clock, timers, 350, [this](Time, const Event& event, std::vector<Action>& actions) {
                  events.push_back(event);
                  actions.swap(next_actions);
                }};
  std::vector<std::string> notifications;  ///< calls to the frontend; abandoned and released attempts
  std::vector<Handle> sent;
  std::vector<double> sent_at_ms;
  Handle request = no_handle;
  double now_ms = 1e12;

  RouterFixture() {
    clock.set(now_ms);
    router.set_backend(*this);
    DirectoryUpdate update{DirectoryUpdate::Kind::snapshot,
                           {{.exchange = {1}, .number = 1}, {.exchange = {2}, .number = 2}}};
    router.directory_updated(update);
  }
  /// Advances the clock and runs each timer at its due time.
  void advance(double ms) {
    for (double end_ms = now_ms + ms; now_ms < end_ms;) {
      now_ms = std::min(end_ms, std::max(now_ms, timers.next_due_ms().value_or(end_ms)));
      clock.set(now_ms);
      timers.run_due(now_ms);
    }
  }
  Time from_now(double ms) const { return to_time(now_ms + ms); }
  /// Offers a request; `action` is the decision on it.
  void offer(double time_left_ms, std::function<Action(Handle)> action) {
    Request offered;
    offered.time_left_ms = time_left_ms;
    router.offer(*this, offered, [&](Handle handle) {
      request = handle;
      next_actions = {action(handle)};
    });
  }
  /// Makes the router perform the action, as the decision on an unrelated event.
  void decide(Action action) {
    next_actions = {std::move(action)};
    router.exchange_reported(ExchangeId{1}, {});
  }
  bool on_request_served(Handle, const std::string& answer) override {
    notifications.push_back("served " + answer);
    return true;
  }
  void on_request_refused(Handle, double wait_ms) override {
    notifications.push_back("refused " + std::to_string(static_cast<int>(wait_ms)));
  }
  void on_request_failed(Handle) override { notifications.push_back("failed"); }
  void on_call_ended(Handle, CallEnd end) override {
    notifications.push_back(end == CallEnd::normal ? "ended" : "cut off");
  }
  void send_attempt(Handle attempt, ExchangeId, const Request&, double) override {
    sent.push_back(attempt);
    sent_at_ms.push_back(now_ms);
  }
  void abandon_attempt(Handle) override { notifications.push_back("abandoned"); }
  void release_call(Handle) override { notifications.push_back("released"); }
  void probe(ExchangeId) override {}
};

using Notifications = std::vector<std::string>;

TEST_CASE("the caller gets one answer in time when nothing is decided") {
  RouterFixture f;
  f.offer(1000, [&f](Handle id) { return SendSetUp{CallId{id}, ExchangeId{1}, f.from_now(5000)}; });
  f.advance(960);
  CHECK(f.notifications.empty());
  f.advance(39);
  CHECK(f.notifications == Notifications{"abandoned", "failed"});
  CHECK(f.router.pending_count() == 0);
  f.router.attempt_succeeded(f.sent[0], "late");
  f.decide(Refuse{CallId{f.request}});
  CHECK(f.notifications.size() == 2);
}

TEST_CASE("no second attempt is sent while the first is in flight") {
  RouterFixture f;
  f.offer(3000, [&f](Handle id) { return SendSetUp{CallId{id}, ExchangeId{1}, f.from_now(2000)}; });
  f.decide(SendSetUp{CallId{f.request}, ExchangeId{2}, f.from_now(2000)});
  CHECK(f.sent.size() == 1);
}

TEST_CASE("a retry after a timeout, a reset or a cancellation waits for the release") {
  RouterFixture f;
  f.offer(3000, [&f](Handle id) { return SendSetUp{CallId{id}, ExchangeId{1}, f.from_now(500)}; });
  const auto retry = [&f] { f.decide(SendSetUp{CallId{f.request}, ExchangeId{2}, f.from_now(2000)}); };
  SECTION("timeout") {
    f.advance(500);
    CHECK(f.notifications == Notifications{"abandoned"});
    retry();
  }
  SECTION("reset") {
    f.router.attempt_ended(f.sent[0], {.result = AttemptResult::reset});
    retry();
  }
  SECTION("cancellation") {
    f.decide(Cancel{CallId{f.request}, 0});
    retry();
  }
  const double start_ms = f.now_ms;
  f.advance(349);
  CHECK(f.sent.size() == 1);
  f.advance(2);
  REQUIRE(f.sent.size() == 2);
  CHECK(f.sent_at_ms[1] - start_ms >= 350);
}

TEST_CASE("an attempt held for the release is not sent to a converter that began to drain meanwhile") {
  RouterFixture f;
  f.offer(3000, [&f](Handle id) { return SendSetUp{CallId{id}, ExchangeId{1}, f.from_now(2000)}; });
  f.router.attempt_ended(f.sent[0], {.result = AttemptResult::reset});
  f.decide(SendSetUp{CallId{f.request}, ExchangeId{2}, f.from_now(2000)});
  f.router.directory_updated(
      {DirectoryUpdate::Kind::changes, {{.exchange = {2}, .number = 2, .state = ExchangeState::draining}}});
  f.advance(400);
  CHECK(f.sent.size() == 1);
  CHECK(std::get<AttemptEnded>(f.events.back()).result == AttemptResult::not_sent);
}

TEST_CASE("an established call ends once, and the loss of its converter cuts it off") {
  RouterFixture f;
  f.offer(3000, [&f](Handle id) { return SendSetUp{CallId{id}, ExchangeId{1}, f.from_now(2000)}; });
  f.router.attempt_succeeded(f.sent[0], "hello");
  f.router.attempt_succeeded(f.sent[0], "again");
  f.advance(5000);
  CHECK(f.router.established_count() == 1);
  SECTION("normal end") { f.router.attempt_ended(f.sent[0], {.result = AttemptResult::ended}); }
  SECTION("converter lost") {
    f.router.exchange_lost(ExchangeId{2}, f.now_ms);
    f.router.exchange_lost(ExchangeId{1}, f.sent_at_ms[0]);  // restarted before it took this call
    CHECK(f.router.established_count() == 1);
    f.router.exchange_lost(ExchangeId{1}, f.now_ms);
  }
  f.router.attempt_ended(f.sent[0], {.result = AttemptResult::reset});
  f.router.exchange_lost(ExchangeId{1}, f.now_ms);
  CHECK((f.notifications == Notifications{"served hello", "ended"} ||
         f.notifications == Notifications{"served hello", "released", "cut off"}));
  CHECK(f.router.established_count() == 0);
}

TEST_CASE("a caller that leaves gets no answer, and its attempt is cancelled") {
  RouterFixture f;
  f.offer(3000, [&f](Handle id) { return SendSetUp{CallId{id}, ExchangeId{1}, f.from_now(2000)}; });
  f.next_actions = {Cancel{CallId{f.request}, 0}};
  f.router.caller_left(f.request);
  CHECK(f.notifications == Notifications{"abandoned"});
  f.advance(5000);
  CHECK(f.notifications.size() == 1);
  CHECK(f.router.pending_count() + f.router.established_count() == 0);
}

TEST_CASE("a stale handle does not find the value that reuses its slot") {
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

// ---- Fair queue -----------------------------------------------------------------------------------------

TEST_CASE("a fair queue serves its senders in turn, keeps their order and limits each one") {
  const Address flooding{0x7f000001, 1}, usual{0x7f000001, 2}, late{0x7f000001, 3};
  FairQueue queue({.per_sender = 3, .total = 5});
  for (const auto* text : {"a", "b", "c"}) CHECK(queue.push(flooding, text));
  CHECK_FALSE(queue.push(flooding, "d"));
  CHECK(queue.push(usual, "x"));
  CHECK(queue.push(usual, "y"));
  CHECK_FALSE(queue.push(late, "z"));  // the queue is full
  std::string order;
  while (!queue.empty()) order += queue.pop().second;
  CHECK(order == "axbyc");
  CHECK(queue.push(flooding, "e"));
  CHECK(queue.size() == 1);
}

// Guards against a flood of requests that fills the log.
TEST_CASE("lines about single requests are limited in rate, and the omitted ones are counted") {
  Clock clock;
  clock.set(1e12);
  RequestLog log(clock);
  std::vector<std::string> lines;
  log.set_sink([&](LogLevel, const char* event, const std::vector<LogField>& fields) {
    lines.push_back(event + (fields.empty() ? "" : " " + fields[0].text));
  });
  for (std::uint32_t i = 0; i < RequestLog::max_lines_per_second + 3; ++i)
    log.write(LogLevel::info, "request_refused", [] { return std::vector<LogField>{}; });
  CHECK(lines.size() == RequestLog::max_lines_per_second);
  lines.clear();
  clock.set(1e12 + 1000);
  log.write(LogLevel::info, "request_refused", [] { return std::vector<LogField>{}; });
  CHECK(lines == std::vector<std::string>{"request_lines_omitted 3", "request_refused"});
}

}  // namespace
}  // namespace heathturn
