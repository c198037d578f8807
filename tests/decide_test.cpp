// The module's decisions, by events made by hand.
#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "fixture.hpp"

namespace maddershed::test {
namespace {

TEST(Routes, DirectWhileTheGroupHasRoom) {
  Driver d;
  const auto sent = only<SendSetUp>(d.offer(1, 1));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].exchange, ExchangeId{101});
  EXPECT_LE(sent[0].deadline, d.now + 3s);
}

TEST(Routes, OneTandemWhenTheGroupIsFull) {
  Driver d;
  d.circuits(101, 0);
  const auto sent = only<SendSetUp>(d.offer(1, 1));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_TRUE(sent[0].exchange == ExchangeId{102} || sent[0].exchange == ExchangeId{103});
}

TEST(Routes, NoTandemBehindItsReserve) {
  Driver d;
  d.circuits(101, 0);
  d.circuits(102, 1);
  d.circuits(103, 1);
  EXPECT_TRUE(only<SendSetUp>(d.offer(1, 1)).empty());
}

TEST(Routes, AHeldCallGoesWhenACircuitComesFree) {
  Driver d;
  for (std::uint32_t id = 101; id <= 103; ++id) d.circuits(id, 0);
  const auto first = d.offer(1, 1);
  EXPECT_TRUE(only<SendSetUp>(first).empty());
  EXPECT_TRUE(only<Refuse>(first).empty());
  ExchangeReport report;
  report.exchange = ExchangeId{101};
  report.report.free_circuits = 1;
  const auto sent = only<SendSetUp>(d.feed(report));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].exchange, ExchangeId{101});
}

TEST(Routes, AHeldCallIsRefusedOnceBeforeItsAim) {
  Driver d;
  for (std::uint32_t id = 101; id <= 103; ++id) d.circuits(id, 0);
  d.offer(1, 1);
  EXPECT_EQ(only<Refuse>(d.advance(1500ms)).size(), 1U);
  EXPECT_TRUE(only<Refuse>(d.advance(5s)).empty());
}

TEST(Routes, TransitIsTurnedBackAtOnceWithoutRoom) {
  Driver d;
  d.circuits(101, 0);
  CallOffered call;
  call.call = CallId{1};
  call.time_left = 3s;
  call.destination = 1;
  call.tandem = 2;
  call.in_transit = true;
  const auto actions = d.feed(call);
  EXPECT_EQ(only<Refuse>(actions).size(), 1U);
  EXPECT_TRUE(only<SendSetUp>(actions).empty());
}

CallOffered transit(std::uint64_t id, ExchangeNumber from, ExchangeNumber to) {
  CallOffered call;
  call.call = CallId{id};
  call.time_left = 3s;
  call.destination = to;
  call.tandem = from;
  call.in_transit = true;
  return call;
}

TEST(Routes, TransitPassesTheWindows) {
  Driver d;
  for (std::uint64_t id = 1; id <= 4; ++id) d.offer(id, 1);
  EXPECT_TRUE(only<SendSetUp>(d.offer(5, 1)).empty());
  EXPECT_EQ(only<SendSetUp>(d.feed(transit(6, 2, 1))).size(), 1U);
}

/// Set-ups of one call, each turned back by its tandem at once, where the group to the destination has
/// `total`.
std::vector<ExchangeId> tandems_tried(double total) {
  Driver d;
  DirectoryUpdate more;
  more.entries = {{.exchange = ExchangeId{104}, .number = 4}, {.exchange = ExchangeId{105}, .number = 5}};
  d.feed(more);
  for (std::uint32_t id = 102; id <= 105; ++id) d.circuits(id, 20);
  d.circuits(101, 0, total);
  std::vector<ExchangeId> tried;
  auto sent = only<SendSetUp>(d.offer(1, 1));
  while (!sent.empty()) {
    tried.push_back(sent[0].exchange);
    sent = only<SendSetUp>(
        d.end(1, sent[0].exchange.value, AttemptResult::not_set_up, FailureCause::tandem_refused));
  }
  return tried;
}

TEST(Routes, WithoutAGroupEveryTandemMayBeTried) {
  EXPECT_EQ(tandems_tried(20).size(), 2U);
  auto tried = tandems_tried(0);
  std::sort(tried.begin(), tried.end());
  EXPECT_EQ(tried.size(), 4U);
  EXPECT_EQ(std::unique(tried.begin(), tried.end()), tried.end());
}

TEST(Routes, ATandemThatTurnsBackAgainIsSkippedLonger) {
  Settings settings = mesh_settings();
  settings.attempt_limit = 1;
  Driver d(settings);
  d.circuits(101, 0, 0);
  d.circuits(103, 0);
  const auto turned_back = [&](std::uint64_t id) {
    const auto sent = only<SendSetUp>(d.offer(id, 1));
    if (sent.empty()) return false;
    d.end(id, sent[0].exchange.value, AttemptResult::not_set_up, FailureCause::tandem_refused);
    return true;
  };
  EXPECT_TRUE(turned_back(1));
  d.advance(1500ms);
  EXPECT_TRUE(turned_back(2));
  d.advance(1500ms);
  EXPECT_FALSE(turned_back(3));
}

TEST(Worth, ALateTryWaitsBehindAFirstCall) {
  Driver d;
  for (std::uint32_t id = 101; id <= 103; ++id) d.circuits(id, 0);
  d.offer(1, 1, 0, 7);
  ASSERT_EQ(only<Refuse>(d.advance(1400ms)).size(), 1U);
  d.offer(2, 1, 0, 7);  // dialled again, unmarked, its aim nearly over
  d.advance(10ms);
  d.offer(3, 1, 0, 8);
  ExchangeReport report;
  report.exchange = ExchangeId{101};
  report.report.free_circuits = 1;
  const auto sent = only<SendSetUp>(d.feed(report));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].call, CallId{3});
}

TEST(Worth, TheDearerOfTwoHeldCallsGoesFirst) {
  Driver d;
  for (std::uint32_t id = 101; id <= 103; ++id) d.circuits(id, 0);
  d.offer(1, 1, 0);
  d.offer(2, 1, 1);
  ExchangeReport report;
  report.exchange = ExchangeId{101};
  report.report.free_circuits = 1;
  const auto sent = only<SendSetUp>(d.feed(report));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].call, CallId{2});
}

TEST(Guards, ASilentProcessorGetsNoMoreThanItsWindow) {
  Driver d;
  std::size_t sent = 0;
  for (std::uint64_t id = 1; id <= 10; ++id) sent += only<SendSetUp>(d.offer(id, 1)).size();
  EXPECT_GE(sent, 1U);
  EXPECT_LE(sent, 2U);
}

TEST(Routes, AGroupNotYetToldIsTriedDirect) {
  Driver d;
  DirectoryUpdate more;
  more.entries = {{.exchange = ExchangeId{109}, .number = 9}};
  d.feed(more);
  const auto sent = only<SendSetUp>(d.offer(1, 9));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].exchange, ExchangeId{109});
}

TEST(Guards, StuckSetUpsDoNotFillTheWindowOverAll) {
  Settings settings = mesh_settings();
  Driver d(settings);
  DirectoryUpdate more;
  for (int i = 4; i < 8; ++i) {
    more.entries.push_back({.exchange = ExchangeId{static_cast<std::uint32_t>(100 + i)}, .number = i});
  }
  d.feed(more);
  for (std::uint32_t id = 104; id <= 107; ++id) d.circuits(id, 20);
  for (std::uint64_t id = 1; id <= 8; ++id) d.offer(id, static_cast<ExchangeNumber>(1 + id % 6));
  d.advance(2s);  // none of these is answered
  EXPECT_EQ(only<SendSetUp>(d.offer(20, 7)).size(), 1U);
}

TEST(Guards, PressedProcessorsDoNotFillTheWindowOverAll) {
  Driver d;
  DirectoryUpdate more;
  for (int i = 4; i < 6; ++i) {
    more.entries.push_back({.exchange = ExchangeId{static_cast<std::uint32_t>(100 + i)}, .number = i});
  }
  d.feed(more);
  for (std::uint32_t id = 104; id <= 105; ++id) d.circuits(id, 20);
  std::uint64_t id = 0;
  for (int to = 1; to <= 4; ++to) {
    for (int i = 0; i < 3; ++i) {
      d.offer(++id, to);
      d.whole_call(id, static_cast<std::uint32_t>(100 + to), {.queue_wait_ms = 1000});
    }
  }
  d.advance(110ms);
  std::size_t pressed = 0;
  for (int to = 1; to <= 4; ++to) pressed += only<SendSetUp>(d.offer(++id, to, 1)).size();
  EXPECT_EQ(pressed, 3U);  // half of the window over all: 12 answered in the first second
  EXPECT_EQ(only<SendSetUp>(d.offer(++id, 5, 1)).size(), 1U);
}

TEST(Guards, AnUnansweredSetUpIsGivenUpBeforeALongTryEnds) {
  Driver d;
  CallOffered call;
  call.call = CallId{1};
  call.time_left = 9s;
  call.destination = 1;
  const auto sent = only<SendSetUp>(d.feed(call));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_LT(sent[0].deadline, d.now + 4s);
}

/// Set-ups placed at once of `offers` plain and dear calls each towards exchange 1, after many equal reports.
std::pair<int, int> placed_under(const LoadReport& report, int offers) {
  Driver d;
  std::uint64_t id = 0;
  std::pair<int, int> placed;
  for (int i = -120; i < 2 * offers; ++i) {
    const bool dear = i % 2 != 0;
    const int done = d.complete(d.offer(++id, 1, dear ? 1 : 0), report);
    if (i >= 0) (dear ? placed.second : placed.first) += done;
    d.complete(d.advance(100ms), report);
  }
  return placed;
}

TEST(Throttle, AnIdleProcessorIsNotThrottled) {
  EXPECT_EQ(placed_under({.utilisation = 0.5}, 20), (std::pair{20, 20}));
}

TEST(Throttle, APressedProcessorIsThrottledLowestWorthFirst) {
  const auto [plain, dear] = placed_under({.requested_shed_share = 0.4}, 20);
  EXPECT_LT(plain, 10);  // a cut of 0.4 falls on the plain half of what is offered
  EXPECT_GT(dear, 15);
}

TEST(Throttle, TheCounterLetsEverySecondOfACutHalfGo) {
  // One class, 0.5 held back: f settles at 0.5, so the counter's r reaches 1 with every second call.
  Settings settings = mesh_settings();
  settings.classes.resize(1);
  Driver d(settings);
  int at_once = 0;
  for (std::uint64_t id = 1; id <= 200; ++id) {
    const int done = d.complete(d.offer(id, 1), {.requested_shed_share = 0.5});
    if (id > 120) at_once += done;
    d.complete(d.advance(100ms), {.requested_shed_share = 0.5});
  }
  EXPECT_NEAR(at_once, 40, 6);
}

TEST(Throttle, NotANumberIsUnheard) {
  EXPECT_EQ(placed_under({.utilisation = std::nan(""),
                          .queued_set_ups = -1,
                          .queue_wait_ms = -1,
                          .requested_shed_share = 1e30},
                         20),
            (std::pair{20, 20}));
}

TEST(Throttle, OneHighReportDoesNotThrottleForSeconds) {
  Driver d;
  std::uint64_t id = 0;
  const auto second_of_calls = [&](const LoadReport& report) {
    int at_once = 0;
    for (int i = 0; i < 5; ++i) {
      at_once += d.complete(d.offer(++id, 1), report);
      d.complete(d.advance(200ms), report);
    }
    return at_once;
  };
  for (int i = 0; i < 10; ++i) second_of_calls({.utilisation = 0.5});
  d.complete(d.offer(++id, 1), {.utilisation = 2.0});
  second_of_calls({.utilisation = 0.5});
  EXPECT_EQ(second_of_calls({.utilisation = 0.5}), 5);
}

/// Of ten calls, four seconds apart, those placed at once while each report says `report`.
int placed_of_rare_calls(const LoadReport& report) {
  Driver d;
  int at_once = 0;
  for (std::uint64_t id = 1; id <= 10; ++id) {
    at_once += d.complete(d.offer(id, 1), report);
    d.complete(d.advance(4s), report);
  }
  return at_once;
}

TEST(Throttle, ARareReportCountsUntilTheNextCall) {
  EXPECT_EQ(placed_of_rare_calls({.queue_wait_ms = 20}), 10);
  EXPECT_LE(placed_of_rare_calls({.queue_wait_ms = 3000}), 6);
}

TEST(Throttle, FReturnsWhenNothingIsHeardForLong) {
  Driver d;
  std::uint64_t id = 0;
  for (int i = 0; i < 20; ++i) {
    d.complete(d.offer(++id, 1), {.queue_wait_ms = 5000});
    d.complete(d.advance(1s), {.queue_wait_ms = 5000});
  }
  d.advance(25s);
  EXPECT_EQ(d.complete(d.offer(++id, 1), {}), 1);
}

TEST(Throttle, AHungProcessorThatLooksIdleIsPressedByItsQueue) {
  EXPECT_EQ(placed_of_rare_calls({.utilisation = 0.0, .queued_set_ups = 1}), 10);
  EXPECT_LE(placed_of_rare_calls({.utilisation = 0.0, .queued_set_ups = 300}), 6);
}

TEST(LostAnswers, AnotherTryStandsWithinTheAim) {
  Driver d;
  const Time start = d.now;
  const auto sent = only<SendSetUp>(d.offer(1, 1));
  ASSERT_EQ(sent.size(), 1U);
  d.advance(sent[0].deadline - d.now);
  d.end(1, 101, AttemptResult::timed_out);
  EXPECT_EQ(only<SendSetUp>(d.advance(510ms)).size(), 1U);
  EXPECT_LT(d.now, start + 1500ms);
}

TEST(LostAnswers, AnOverdueSetUpDoesNotBlockARarePair) {
  Driver d;
  ASSERT_EQ(only<SendSetUp>(d.offer(1, 1, 1)).size(), 1U);
  d.advance(450ms);
  EXPECT_EQ(only<SendSetUp>(d.offer(2, 1, 1)).size(), 1U);
}

TEST(Stalls, DelaysOfAnOwnStallAreNotTheFarProcessors) {
  Driver d;
  for (std::uint64_t id = 1; id <= 3; ++id)
    ASSERT_EQ(only<SendSetUp>(d.offer(id, static_cast<int>(id))).size(), 1U);
  d.now = d.now + 2s;  // no turn
  for (std::uint64_t id = 1; id <= 3; ++id) d.stands(id, static_cast<std::uint32_t>(100 + id), 2s);
  d.advance(300ms);
  for (std::uint64_t id = 11; id <= 16; ++id) {
    const int to = static_cast<int>(1 + id % 3);
    ASSERT_EQ(only<SendSetUp>(d.offer(id, to)).size(), 1U) << id;
    d.whole_call(id, static_cast<std::uint32_t>(100 + to), {});
  }
}

TEST(Stalls, TheBacklogIsLookedAtAsAWhole) {
  Driver d;
  for (std::uint32_t id = 101; id <= 103; ++id) d.circuits(id, 0);
  d.circuits(101, 1);
  d.now = d.now + 2s;  // no turn
  EXPECT_TRUE(only<SendSetUp>(d.offer(1, 1)).empty());
  EXPECT_TRUE(only<SendSetUp>(d.offer(2, 1, 1)).empty());
  EXPECT_TRUE(only<SendSetUp>(d.offer(3, 1, 1)).empty());
  d.feed(CallerLeft{CallId{2}});
  const auto sent = only<SendSetUp>(d.advance(10ms));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].call, CallId{3});  // the dearer of those whose caller stayed
}

TEST(Callers, WhoLeavesIsKnownWhenHeDialsAgain) {
  Driver d;
  for (std::uint32_t id = 101; id <= 103; ++id) d.circuits(id, 0);
  d.offer(1, 1, 0, 7);
  d.advance(1s);
  EXPECT_TRUE(only<Refuse>(d.feed(CallerLeft{CallId{1}})).empty());
  d.advance(300ms);
  d.offer(2, 1, 0, 7);  // his later try, its aim nearly over
  d.advance(10ms);
  d.offer(3, 1, 0, 8);
  ExchangeReport report;
  report.exchange = ExchangeId{101};
  report.report.free_circuits = 1;
  const auto sent = only<SendSetUp>(d.feed(report));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].call, CallId{3});
}

TEST(Callers, TheSetUpOfOneWhoLeftIsCalledOff) {
  Driver d;
  d.offer(1, 1);
  EXPECT_EQ(only<Cancel>(d.feed(CallerLeft{CallId{1}})), (std::vector<Cancel>{{CallId{1}, 0}}));
  EXPECT_TRUE(only<SendSetUp>(d.end(1, 101, AttemptResult::cancelled)).empty());
  EXPECT_TRUE(only<SendSetUp>(d.advance(2s)).empty());
  Settings settings = mesh_settings();
  settings.cancelling = false;
  Driver without(settings);
  without.offer(1, 1);
  EXPECT_TRUE(only<Cancel>(without.feed(CallerLeft{CallId{1}})).empty());
}

TEST(LostAnswers, OneOverdueSetUpDoesNotPressAProcessorWhileOthersArePrompt) {
  // Both overdue set-ups are taken; with one missed plain calls go on at once, with two they bear the cut.
  const auto placed_after = [](int missed) {
    Driver d;
    std::uint64_t id = 0;
    for (int i = 0; i < missed; ++i) {
      const auto sent = only<SendSetUp>(d.offer(++id, 1, 1));
      EXPECT_EQ(sent.size(), 1U);
      d.advance(900ms);
      d.end(id, 101, AttemptResult::timed_out);
      d.feed(CallerLeft{CallId{id}});
    }
    return only<SendSetUp>(d.offer(++id, 1)).size();
  };
  EXPECT_EQ(placed_after(1), 1U);
  EXPECT_EQ(placed_after(2), 0U);
}

TEST(Guards, AFullProcessorIsPausedLongerEachTime) {
  Driver d;
  const auto turned_away_at_once = [&](std::uint64_t id) {
    if (only<SendSetUp>(d.feed(transit(id, 2, 1))).empty()) return false;
    d.end(id, 101, AttemptResult::not_set_up, FailureCause::processor_full);
    return true;
  };
  EXPECT_TRUE(turned_away_at_once(1));
  d.advance(270ms);
  EXPECT_TRUE(turned_away_at_once(2));
  d.advance(270ms);
  EXPECT_FALSE(turned_away_at_once(3));
}

TEST(Stalls, AFirstTryThatWaitedForTheTurnIsLate) {
  Driver d;
  d.offer(1, 1);  // the longest try: 3 s
  d.whole_call(1, 101, {});
  for (std::uint32_t id = 101; id <= 103; ++id) d.circuits(id, 0);
  CallOffered waited;
  waited.call = CallId{2};
  waited.time_left = 1800ms;
  waited.destination = 1;
  d.feed(waited);
  d.advance(10ms);
  d.offer(3, 1);
  ExchangeReport report;
  report.exchange = ExchangeId{101};
  report.report.free_circuits = 1;
  const auto sent = only<SendSetUp>(d.feed(report));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].call, CallId{3});
}

TEST(Directory, AFailedSubscriptionIsAskedAgainLater) {
  auto settings = mesh_settings();
  settings.directory_by_subscription = true;
  Driver d(settings);
  DirectoryUpdate failed;
  failed.kind = DirectoryUpdate::Kind::failed;
  EXPECT_TRUE(only<SubscribeDirectory>(d.feed(failed)).empty());
  EXPECT_TRUE(only<SubscribeDirectory>(d.advance(900ms)).empty());
  EXPECT_EQ(only<SubscribeDirectory>(d.advance(1s)).size(), 1U);
}

TEST(Directory, AMachineThatIsReplacedIsServedByItsSuccessor) {
  Driver d;
  DirectoryUpdate update;
  update.entries = {{.exchange = ExchangeId{101}, .number = 1, .state = ExchangeState::gone},
                    {.exchange = ExchangeId{201}, .number = 1}};
  d.feed(update);
  d.circuits(201, 20);
  const auto sent = only<SendSetUp>(d.offer(1, 1));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].exchange, ExchangeId{201});
}

TEST(Routes, AdviceIsFollowedOnlyAmongAdmissibleTandems) {
  auto settings = mesh_settings();
  settings.tandem_advice = true;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Driver d(settings, seed);
    d.circuits(101, 0);
    CallOffered call;
    call.call = CallId{1};
    call.time_left = 3s;
    call.destination = 1;
    call.tandem = 3;
    EXPECT_EQ(only<SendSetUp>(d.feed(call)).at(0).exchange, ExchangeId{103});
    d.whole_call(1, 103, {});
    d.circuits(103, 0);
    call.call = CallId{2};
    EXPECT_EQ(only<SendSetUp>(d.feed(call)).at(0).exchange, ExchangeId{102});
    call.call = CallId{3};
    call.tandem = 77;  // not on the list
    d.whole_call(2, 102, {});
    EXPECT_EQ(only<SendSetUp>(d.feed(call)).at(0).exchange, ExchangeId{102});
  }
}

TEST(Events, UnknownCallsTimersExchangesAndPeersAreIgnored) {
  Driver d;
  EXPECT_TRUE(d.end(99, 555, AttemptResult::reset).empty());
  EXPECT_TRUE(d.stands(99, 555).empty());
  EXPECT_TRUE(d.feed(CallerLeft{CallId{99}}).empty());
  EXPECT_TRUE(d.feed(TimerDue{1234567}).empty());
  EXPECT_TRUE(d.feed(PeerMessage{77, {1, 2, 3}}).empty());
  d.circuits(555, 3);
  EXPECT_EQ(only<SendSetUp>(d.offer(1, 1)).size(), 1U);
}

TEST(Rules, AColdProcessorsBudgetIsInItsCertainCapacity) {
  // The usual rate of 10 a second, refilled while it is cold: 1 s after the start about 0.35 + 0.05 of it.
  Driver d;
  std::uint64_t id = 0;
  for (int i = 0; i < 300; ++i) {
    d.complete(d.offer(++id, 1), {});
    d.complete(d.advance(100ms), {});
  }
  DirectoryUpdate update;
  update.entries = {{.exchange = ExchangeId{101}, .number = 1, .started_at = d.now}};
  d.feed(update);
  int sent = 0;
  for (int i = 0; i < 20; ++i) {
    sent += d.complete(d.offer(++id, 1), {});
    sent += d.complete(d.advance(100ms), {});
  }
  EXPECT_GE(sent, 4);
  EXPECT_LE(sent, 10);
}

TEST(Rules, NothingToADrainingExchange) {
  Driver d;
  DirectoryUpdate update;
  update.entries = {{.exchange = ExchangeId{101}, .number = 1, .state = ExchangeState::draining}};
  d.feed(update);
  EXPECT_TRUE(only<SendSetUp>(d.offer(1, 1)).empty());
}

TEST(Rules, TheReleaseIsAwaited) {
  Driver d;
  ASSERT_EQ(only<SendSetUp>(d.offer(1, 1)).size(), 1U);
  EXPECT_TRUE(only<SendSetUp>(d.end(1, 101, AttemptResult::reset)).empty());
  EXPECT_TRUE(only<SendSetUp>(d.advance(499ms)).empty());
  EXPECT_EQ(only<SendSetUp>(d.advance(20ms)).size(), 1U);
}

TEST(Routes, ACallToTheOwnExchangeGoesOverATandemOrNotAtAll) {
  Driver d;
  const auto sent = only<SendSetUp>(d.offer(1, 0));
  ASSERT_EQ(sent.size(), 1u);
  EXPECT_NE(sent[0].exchange.value, 100u);
  CallOffered transit;
  transit.call = CallId{2};
  transit.time_left = 3s;
  transit.destination = 0;
  transit.tandem = 2;
  transit.in_transit = true;
  EXPECT_EQ(only<Refuse>(d.feed(transit)).size(), 1u);
}

TEST(Guards, TheWindowsOpenWithinTheFirstSecond) {
  Driver d;
  std::uint64_t id = 1;
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(d.complete(d.offer(id++, 1), {}), 1);
    d.advance(50ms);
  }
  // Twenty a second answered: eight within the target delay of 400 ms.
  std::size_t out = 0;
  for (int i = 0; i < 12; ++i) out += only<SendSetUp>(d.offer(id++, 1)).size();
  EXPECT_GE(out, 8u);
  EXPECT_LE(out, 10u);
}

TEST(Guards, ACallThatMeetsErrorsIsNotTriedOnAndOn) {
  Driver d;
  EXPECT_EQ(only<SendSetUp>(d.offer(1, 1)).size(), 1u);
  auto next = d.end(1, 101, AttemptResult::error);
  const auto later = d.advance(50ms);
  next.insert(next.end(), later.begin(), later.end());
  ASSERT_EQ(only<SendSetUp>(next).size(), 1u);
  const auto last = d.end(1, 101, AttemptResult::error, FailureCause::none, {}, 1);
  EXPECT_EQ(only<Fail>(last).size(), 1u);
  EXPECT_TRUE(only<SendSetUp>(d.advance(3s)).empty());
}

TEST(Events, AnAttemptsEndToldTwiceCountsOnce) {
  Driver d;
  ASSERT_EQ(only<SendSetUp>(d.offer(1, 1)).size(), 1U);
  d.end(1, 101, AttemptResult::reset);
  EXPECT_TRUE(d.end(1, 101, AttemptResult::reset).empty());
  EXPECT_EQ(only<SendSetUp>(d.advance(520ms)).size(), 1U);
}

TEST(Rules, AColdProcessorIsSparedABurst) {
  Driver d;
  DirectoryUpdate update;
  update.entries = {{.exchange = ExchangeId{101}, .number = 1, .started_at = d.now}};
  d.feed(update);
  std::size_t sent = 0;
  for (std::uint64_t id = 1; id <= 20; ++id) sent += only<SendSetUp>(d.offer(id, 1)).size();
  EXPECT_LE(sent, 1U);
}

TEST(Rules, ColdBudgetsOfManyControllersAreSpreadEvenly) {
  // Sixty controllers with a call in some seconds each: together they send some set-ups to a processor just
  // started, neither none nor one each.
  int sent = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Driver d(mesh_settings(), seed);
    std::uint64_t id = 0;
    for (int i = 0; i < 5; ++i) {
      d.complete(d.offer(++id, 1), {});
      d.complete(d.advance(4s), {});
    }
    DirectoryUpdate update;
    update.entries = {{.exchange = ExchangeId{101}, .number = 1, .started_at = d.now}};
    d.feed(update);
    d.advance(3s);
    sent += d.complete(d.offer(++id, 1), {});
  }
  EXPECT_GE(sent, 6);
  EXPECT_LE(sent, 30);
}

TEST(Settings, OutOfRangeIsNamed) {
  auto settings = mesh_settings();
  settings.start_capacity = 0;
  try {
    const CallController controller(settings, 1);
    FAIL() << "no exception";
  } catch (const std::invalid_argument& error) {
    EXPECT_NE(std::string(error.what()).find("start_capacity"), std::string::npos);
  }
}

}  // namespace
}  // namespace maddershed::test
