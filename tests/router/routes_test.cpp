// The route module: the trie against a plain scan, shares kept exactly, members that come and go, the door.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cmath>
#include <random>

#include "config/site_reader.hpp"
#include "routes/selector.hpp"
#include "stand_in.hpp"

namespace heathturn::test {
namespace {

using maddershed::ExchangeNumber;
using maddershed::no_exchange;
using namespace routes;

#define PROPERTY(name, ...) REQUIRE(rc::check(name, __VA_ARGS__))

std::string digits(std::mt19937& random, std::size_t most) {
  std::string out(random() % (most + 1), '0');
  for (auto& each : out) each = static_cast<char>('0' + random() % 4);
  return out;
}

TEST_CASE("the trie finds what a scan of all prefixes finds") {
  PROPERTY("longest and path", [](unsigned seed, unsigned short count) {
    std::mt19937 random(seed);
    std::map<std::string, std::uint32_t> entries;
    for (unsigned i = 0; i < count % 300U; ++i) entries.try_emplace(digits(random, 6), i);
    const PrefixTrie trie({entries.begin(), entries.end()});
    for (int i = 0; i < 50; ++i) {
      const auto number = digits(random, 9) + (i % 10 == 0 ? "x" : "");
      std::vector<std::uint32_t> expected;
      for (const auto& [prefix, value] : entries) {
        if (number.starts_with(prefix)) expected.push_back(value);  // the map has the shortest first
      }
      const auto path = trie.all_matches(number);
      RC_ASSERT(std::vector(path.values.begin(), path.values.begin() + static_cast<long>(path.size)) ==
                expected);
      RC_ASSERT(trie.longest_match(number) == (expected.empty() ? PrefixTrie::no_value : expected.back()));
    }
  });
}

TEST_CASE("after any number of turns each has had its share, off by less than one turn") {
  PROPERTY("the bound of weighted_round_robin.hpp", [](unsigned seed) {
    std::mt19937 random(seed);
    const auto count = 2 + random() % 12;
    std::vector<WeightedRoundRobin::Slot> slots;
    double sum = 0;
    for (std::size_t i = 0; i < count; ++i) {
      slots.push_back({i, static_cast<double>(1 + random() % 1000)});
      sum += slots.back().weight;
    }
    WeightedRoundRobin spread;
    spread.set_slots(slots);
    std::vector<double> turns(count, 0);
    const double bound = 1 - 1 / (2 * static_cast<double>(count) - 2) + 1e-6;
    for (int k = 1; k <= 2000; ++k) {
      ++turns[spread.next()];
      for (std::size_t i = 0; i < count; ++i)
        RC_ASSERT(std::abs(turns[i] - k * slots[i].weight / sum) <= bound);
    }
  });
}

TEST_CASE("slots that come and go stay within one turn for each slot, and what is owed is not forgotten") {
  PROPERTY("drift under changes", [](unsigned seed) {
    std::mt19937 random(seed);
    WeightedRoundRobin spread;
    std::map<std::uint64_t, double> owed;  // by what each slot's share was at each turn
    std::vector<WeightedRoundRobin::Slot> slots;
    for (int k = 0; k < 3000; ++k) {
      if (k % 17 == 0) {
        slots.clear();
        for (std::uint64_t id = 0; id < 6; ++id) {
          if (random() % 3 != 0) slots.push_back({id, static_cast<double>(1 + id)});
        }
        spread.set_slots(slots);
      }
      double sum = 0;
      for (const auto& each : slots) sum += each.weight;
      const auto place = spread.next();
      RC_ASSERT((place == WeightedRoundRobin::no_slot) == slots.empty());
      if (slots.empty()) continue;
      for (const auto& each : slots) owed[each.id] += each.weight / sum;
      owed[slots[place].id] -= 1;
    }
    for (const auto& [id, turns] : owed) RC_ASSERT(std::abs(turns) <= 6);
  });
  // A slot that flaps at every turn keeps its part of the turns at which it is there.
  WeightedRoundRobin spread;
  int had = 0;
  for (int k = 0; k < 1000; ++k) {
    spread.set_slots(k % 2 == 0 ? std::vector<WeightedRoundRobin::Slot>{{1, 1}, {2, 1}}
                                : std::vector<WeightedRoundRobin::Slot>{{1, 1}});
    if (spread.next() == 1) ++had;
  }
  CHECK(had > 200);
  CHECK(had < 300);
}

/// Settings from a text of the language.
std::shared_ptr<const EnumConfig> site(const std::string& text) {
  const TempFile file("listen: \"127.0.0.1:0\" suffix: \"enum.example.org\" class { name: \"a\" } " + text);
  return std::make_shared<const EnumConfig>(load_site(file.path()));
}

std::vector<std::vector<PoolMember>> listed(const EnumConfig& config) {
  std::vector<std::vector<PoolMember>> out;
  for (const auto& pool : config.pools) {
    out.emplace_back();
    for (const auto& each : pool.members)
      out.back().push_back({each.converter.name, each.weight, each.zone, true});
  }
  return out;
}

std::string member(const std::string& name, const std::string& more = "") {
  return "member { name: \"" + name + "\" address: \"127.0.0.1:1\" " + more + " } ";
}

TEST_CASE("longest prefix, class, tenant and time choose the route; the rest goes on to shorter prefixes") {
  const auto config = site(
      "class { name: \"b\" prefix: \"645\" } time_zone: \"+12:00\" "
      "tenant { name: \"tui\" network: \"10.0.0.0/8\" } tenant { name: \"matai\" network: \"10.1.0.0/16\" "
      "class: \"b\" } "
      "pool { name: \"p\" " +
      member("p1") + "} pool { name: \"q\" " + member("q1") +
      "} "
      "policy { name: \"slow\" deadline: \"3s\" } "
      "route { prefix: \"64\" tenant: \"tui\" to { pool: \"q\" } } "
      "route { prefix: \"64\" prefix: \"61\" class: \"b\" to { pool: \"q\" } } "
      "route { prefix: \"64\" when: \"Mon-Fri 22:00-06:00\" to { pool: \"q\" } policy: \"slow\" } "
      "route { prefix: \"64\" to { pool: \"p\" } } "
      "route { prefix: \"645\" when: \"Sun\" to { pool: \"p\" } } ");
  const RouteTable table(*config);
  const auto tui = table.tenant_of(0x0a020304), matai = table.tenant_of(0x0a010304);
  CHECK(config->tenants[tui].name == "tui");
  CHECK(config->tenants[matai].name == "matai");
  CHECK(table.tenant_of(0x0b000001) == any);
  CHECK(table.class_of("6451", any) == 1);
  CHECK(table.class_of("641", any) == 0);
  CHECK(table.class_of("641", matai) == 1);
  const auto route = [&](const char* number, std::uint32_t tenant, const char* at) {
    const auto minute = units::week_spans(std::string(at) + "-24:00").value->front().from;
    const auto* found = table.find({number, table.class_of(number, tenant), tenant, minute});
    return found == nullptr ? -1 : static_cast<int>(found - config->routes.data());
  };
  CHECK(route("641", any, "Mon 12:00") == 4);
  CHECK(route("641", any, "Mon 22:00") == 3);
  CHECK(route("641", any, "Sat 05:59") == 3);  // the night of Friday
  CHECK(route("641", any, "Sat 06:00") == 4);
  CHECK(route("641", any, "Mon 05:59") == 4);  // that of Sunday is none
  CHECK(route("641", tui, "Mon 22:00") == 0);
  CHECK(route("641", matai, "Mon 12:00") == 1);
  CHECK(route("6451", any, "Sun 12:00") == 5);
  CHECK(route("6451", any, "Mon 12:00") == 1);  // on to the shorter prefix
  CHECK(route("611", matai, "Mon 12:00") == 2);
  CHECK(route("611", any, "Mon 12:00") == -1);
  CHECK(route("", any, "Mon 12:00") == -1);
  // 2026-12-01 was a Tuesday; 11:30 UTC is 23:30 at +12:00.
  const double at = 1796124600000.0;
  CHECK(units::week_text({{units::minute_of_week(at, config->zone), units::minutes_a_week}})
            .starts_with("Tue 23:30"));
}

TEST_CASE("the first choices keep the shares of pools and members, and all others follow in order") {
  const auto config = site(
      "pool { name: \"p\" zone: \"akl\" " + member("p1", "zone: \"akl\" weight: 3") +
      member("p2", "zone: \"akl\"") + member("far", "zone: \"wlg\"") +
      member("idle", "weight: 0 zone: \"akl\"") + "} pool { name: \"q\" " + member("q1") +
      "} pool { name: \"r\" " + member("r1") + "} " +
      "route { to { pool: \"p\" share: \"70%\" } to { pool: \"q\" share: \"30%\" } to { pool: \"r\" } }");
  Selector selector(config);
  auto members = listed(*config);
  selector.set_members(members);
  const auto number = [&](const char* name) { return selector.exchange_number_of(name); };
  std::map<ExchangeNumber, int> first;
  for (int i = 0; i < 1000; ++i) {
    const auto choice = selector.choose({"641", 0, any, 0});
    REQUIRE(choice);
    CHECK(choice->candidates.size() == 6);
    CHECK(choice->candidates.back() == number("r1"));
    ++first[choice->candidates.front()];
  }
  CHECK(std::abs(first[number("p1")] - 525) <= 2);
  CHECK(std::abs(first[number("p2")] - 175) <= 2);
  CHECK(std::abs(first[number("q1")] - 300) <= 1);
  CHECK(first.size() == 3);
  const auto one = selector.choose({"641", 0, any, 0})->candidates;
  const auto place = [&](const char* name) {
    return std::find(one.begin(), one.end(), number(name)) - one.begin();
  };
  CHECK(place("far") < place("idle"));
  CHECK(place("p2") < place("far"));
  // A whole zone out of service: the next one takes over. A whole pool: the others, by their shares.
  members[0][0].ready = members[0][1].ready = false;
  selector.set_members(members);
  first.clear();
  for (int i = 0; i < 100; ++i) ++first[selector.choose({"641", 0, any, 0})->candidates.front()];
  CHECK(std::abs(first[number("far")] - 70) <= 2);
  for (auto& each : members[0]) each.ready = false;
  selector.set_members(members);
  for (int i = 0; i < 100; ++i)
    CHECK(selector.choose({"641", 0, any, 0})->candidates.front() == number("q1"));
  members[1][0].ready = false;
  selector.set_members(members);
  CHECK(selector.choose({"641", 0, any, 0})->candidates == std::vector{number("r1")});
  members[2][0].ready = false;
  selector.set_members(members);
  CHECK(selector.choose({"641", 0, any, 0})->candidates.empty());
}

TEST_CASE("members that are new all day long leave nothing behind, and no number is given out again soon") {
  const auto config = site(
      "registry { name: \"r\" address: \"127.0.0.1:1\" } pool { name: \"p\" from_registry "
      "{ registry: \"r\" application: \"x\" } } route { to { pool: \"p\" } }");
  Selector selector(config);
  ExchangeNumber highest = 0, before = no_exchange;
  for (int i = 0; i < 10000; ++i) {
    const auto name = "m" + std::to_string(i);
    selector.set_members({{{name, 1, "", true}}});
    const auto number = selector.exchange_number_of(name);
    CHECK(number != before);
    before = number;
    highest = std::max(highest, number);
    if (i > 0) CHECK(selector.exchange_number_of("m" + std::to_string(i - 1)) == no_exchange);
  }
  CHECK(highest < 100);
}

TEST_CASE("the door of a policy: so many open, so many a second, and what is saved up is bounded") {
  Policy policy;
  policy.most_open = 3;
  PolicyLimiter gate;
  gate.set_limits(policy);
  for (int i = 0; i < 3; ++i) CHECK(gate.try_acquire(0) == PolicyLimiter::Decision::admitted);
  CHECK(gate.try_acquire(0) == PolicyLimiter::Decision::too_many_open);
  gate.release();
  CHECK(gate.try_acquire(0) == PolicyLimiter::Decision::admitted);
  policy.most_open = 0;
  policy.rate = 10;
  policy.burst = 5;
  gate.set_limits(policy);  // under load
  double now = 1e12;
  int in = 0;
  for (int i = 0; i < 100; ++i) in += gate.try_acquire(now) == PolicyLimiter::Decision::admitted ? 1 : 0;
  CHECK(in == 5);
  for (int i = 0; i < 1000; ++i, now += 10)
    in += gate.try_acquire(now) == PolicyLimiter::Decision::admitted ? 1 : 0;
  CHECK(std::abs(in - 105) <= 1);
  CHECK(gate.try_acquire(now - 1e9) ==
        PolicyLimiter::Decision::rate_exceeded);  // a clock set back gives nothing
  now += 3600000;
  in = 0;
  for (int i = 0; i < 100; ++i) in += gate.try_acquire(now) == PolicyLimiter::Decision::admitted ? 1 : 0;
  CHECK(in == 5);
  CHECK(gate.rejected_count() > 0);
}

TEST_CASE("a reload keeps what is open under a policy, and shares are counted afresh") {
  const std::string rest = "pool { name: \"p\" " + member("p1") + "} pool { name: \"q\" " + member("q1") +
                           "} " +
                           "route { to { pool: \"p\" share: \"50%\" } to { pool: \"q\" share: \"50%\" } }";
  const auto before = site("policy { name: \"default\" most_open: 2 } " + rest);
  Selector selector(before);
  selector.set_members(listed(*before));
  const auto gate = selector.limiter(0);
  CHECK(gate->try_acquire(0) == PolicyLimiter::Decision::admitted);
  const auto after = site("policy { name: \"default\" most_open: 1 } " + rest);
  selector.apply_config(after);
  CHECK(selector.choose({"1", 0, any, 0})->candidates.empty());  // nobody is listed yet
  selector.set_members(listed(*after));
  CHECK(selector.limiter(0) == gate);
  CHECK(gate->try_acquire(0) == PolicyLimiter::Decision::too_many_open);
  gate->release();
  CHECK(gate->try_acquire(0) == PolicyLimiter::Decision::admitted);
  CHECK(selector.choose({"1", 0, any, 0})->candidates.size() == 2);
}

}  // namespace
}  // namespace heathturn::test
