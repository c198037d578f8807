// Tests of routing: the prefix trie against a linear scan, the bounds of the weighted round robin, the choice
// of routes and candidates while members change, and the limits of a policy.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cmath>
#include <random>

#include "config/site_reader.hpp"
#include "network_helpers.hpp"
#include "routes/selector.hpp"

namespace heathturn::test {
namespace {

using maddershed::ExchangeNumber;
using maddershed::no_exchange;
using namespace routes;

#define PROPERTY(name, ...) REQUIRE(rc::check(name, __VA_ARGS__))

std::string random_digits(std::mt19937& random, std::size_t max_length) {
  std::string digits(random() % (max_length + 1), '0');
  for (auto& digit : digits) digit = static_cast<char>('0' + random() % 4);
  return digits;
}

TEST_CASE("the prefix trie finds the same values as a scan of all prefixes") {
  PROPERTY("longest match and all matches", [](unsigned seed, unsigned short count) {
    std::mt19937 random(seed);
    std::map<std::string, std::uint32_t> entries;
    for (unsigned i = 0; i < count % 300U; ++i) entries.try_emplace(random_digits(random, 6), i);
    const PrefixTrie trie({entries.begin(), entries.end()});
    for (int i = 0; i < 50; ++i) {
      const auto number = random_digits(random, 9) + (i % 10 == 0 ? "x" : "");
      std::vector<std::uint32_t> expected;
      for (const auto& [prefix, value] : entries) {
        // The map is sorted, so shorter prefixes come first.
        if (number.starts_with(prefix)) expected.push_back(value);
      }
      const auto matches = trie.all_matches(number);
      RC_ASSERT(std::vector(matches.values.begin(),
                            matches.values.begin() + static_cast<long>(matches.size)) == expected);
      RC_ASSERT(trie.longest_match(number) == (expected.empty() ? PrefixTrie::no_value : expected.back()));
    }
  });
}

TEST_CASE("after any number of turns each slot deviates from its share by less than one turn") {
  PROPERTY("bound for constant shares", [](unsigned seed) {
    std::mt19937 random(seed);
    const auto count = 2 + random() % 12;
    std::vector<WeightedRoundRobin::Slot> slots;
    double sum = 0;
    for (std::size_t i = 0; i < count; ++i) {
      slots.push_back({i, static_cast<double>(1 + random() % 1000)});
      sum += slots.back().weight;
    }
    WeightedRoundRobin round_robin;
    round_robin.set_slots(slots);
    std::vector<double> turns(count, 0);
    const double bound = 1 - 1 / (2 * static_cast<double>(count) - 2) + 1e-6;
    for (int k = 1; k <= 2000; ++k) {
      ++turns[round_robin.next()];
      for (std::size_t i = 0; i < count; ++i)
        RC_ASSERT(std::abs(turns[i] - k * slots[i].weight / sum) <= bound);
    }
  });
}

TEST_CASE("with slots added and removed the deviation stays within one turn per slot, and credits are kept") {
  PROPERTY("bound while slots change", [](unsigned seed) {
    std::mt19937 random(seed);
    WeightedRoundRobin round_robin;
    std::map<std::uint64_t, double> credits;  // by id: the sum of its shares less its turns
    std::vector<WeightedRoundRobin::Slot> slots;
    for (int k = 0; k < 3000; ++k) {
      if (k % 17 == 0) {
        slots.clear();
        for (std::uint64_t id = 0; id < 6; ++id) {
          if (random() % 3 != 0) slots.push_back({id, static_cast<double>(1 + id)});
        }
        round_robin.set_slots(slots);
      }
      double sum = 0;
      for (const auto& each : slots) sum += each.weight;
      const auto slot = round_robin.next();
      RC_ASSERT((slot == WeightedRoundRobin::no_slot) == slots.empty());
      if (slots.empty()) continue;
      for (const auto& each : slots) credits[each.id] += each.weight / sum;
      credits[slots[slot].id] -= 1;
    }
    for (const auto& [id, turns] : credits) RC_ASSERT(std::abs(turns) <= 6);
  });
  // A slot that is present at every second turn gets its share of the turns at which it is present.
  WeightedRoundRobin round_robin;
  int turns_taken = 0;
  for (int k = 0; k < 1000; ++k) {
    round_robin.set_slots(k % 2 == 0 ? std::vector<WeightedRoundRobin::Slot>{{1, 1}, {2, 1}}
                                     : std::vector<WeightedRoundRobin::Slot>{{1, 1}});
    if (round_robin.next() == 1) ++turns_taken;
  }
  CHECK(turns_taken > 200);
  CHECK(turns_taken < 300);
}

/// Reads settings in the language of the site file; the required fields are added.
std::shared_ptr<const EnumConfig> config_from_text(const std::string& text) {
  const TempFile file("listen: \"127.0.0.1:0\" suffix: \"enum.example.org\" class { name: \"a\" } " + text);
  return std::make_shared<const EnumConfig>(load_site(file.path()));
}

/// The members of all pools, as the settings list them.
std::vector<std::vector<PoolMember>> members_of(const EnumConfig& config) {
  std::vector<std::vector<PoolMember>> members;
  for (const auto& pool : config.pools) {
    members.emplace_back();
    for (const auto& each : pool.members)
      members.back().push_back({each.converter.name, each.weight, each.zone, true});
  }
  return members;
}

/// A member in the language of the site file.
std::string member_text(const std::string& name, const std::string& fields = "") {
  return "member { name: \"" + name + "\" address: \"127.0.0.1:1\" " + fields + " } ";
}

TEST_CASE("the route is chosen by longest prefix, class, tenant and time, falling back to shorter prefixes") {
  const auto config = config_from_text(
      "class { name: \"b\" prefix: \"645\" } time_zone: \"+12:00\" "
      "tenant { name: \"tui\" network: \"10.0.0.0/8\" } tenant { name: \"matai\" network: \"10.1.0.0/16\" "
      "class: \"b\" } "
      "pool { name: \"p\" " +
      member_text("p1") + "} pool { name: \"q\" " + member_text("q1") +
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
  CHECK(table.tenant_of(0x0b000001) == no_index);
  CHECK(table.class_of("6451", no_index) == 1);
  CHECK(table.class_of("641", no_index) == 0);
  CHECK(table.class_of("641", matai) == 1);
  const auto route = [&](const char* number, std::uint32_t tenant, const char* time) {
    const auto minute = units::parse_week_spans(std::string(time) + "-24:00").value->front().from;
    const auto* found = table.find({number, table.class_of(number, tenant), tenant, minute});
    return found == nullptr ? -1 : static_cast<int>(found - config->routes.data());
  };
  CHECK(route("641", no_index, "Mon 12:00") == 4);
  CHECK(route("641", no_index, "Mon 22:00") == 3);
  CHECK(route("641", no_index, "Sat 05:59") == 3);  // the night that began on Friday
  CHECK(route("641", no_index, "Sat 06:00") == 4);
  CHECK(route("641", no_index, "Mon 05:59") == 4);  // the night that began on Sunday is not in the schedule
  CHECK(route("641", tui, "Mon 22:00") == 0);
  CHECK(route("641", matai, "Mon 12:00") == 1);
  CHECK(route("6451", no_index, "Sun 12:00") == 5);
  CHECK(route("6451", no_index, "Mon 12:00") == 1);  // falls back to the shorter prefix
  CHECK(route("611", matai, "Mon 12:00") == 2);
  CHECK(route("611", no_index, "Mon 12:00") == -1);
  CHECK(route("", no_index, "Mon 12:00") == -1);
  // 2026-12-01 was a Tuesday; 11:30 UTC is 23:30 at +12:00.
  const double time_ms = 1796124600000.0;
  CHECK(units::week_text({{units::minute_of_week(time_ms, config->time_zone), units::minutes_per_week}})
            .starts_with("Tue 23:30"));
}

TEST_CASE("the first candidates keep the shares of pools and members, and all others follow in order") {
  const auto config = config_from_text(
      "pool { name: \"p\" zone: \"akl\" " + member_text("p1", "zone: \"akl\" weight: 3") +
      member_text("p2", "zone: \"akl\"") + member_text("far", "zone: \"wlg\"") +
      member_text("idle", "weight: 0 zone: \"akl\"") + "} pool { name: \"q\" " + member_text("q1") +
      "} pool { name: \"r\" " + member_text("r1") + "} " +
      "route { to { pool: \"p\" share: \"70%\" } to { pool: \"q\" share: \"30%\" } to { pool: \"r\" } }");
  Selector selector(config);
  auto members = members_of(*config);
  selector.set_members(members);
  const auto number = [&](const char* name) { return selector.exchange_number_of(name); };
  std::map<ExchangeNumber, int> first;
  for (int i = 0; i < 1000; ++i) {
    const auto choice = selector.choose({"641", 0, no_index, 0});
    REQUIRE(choice);
    CHECK(choice->candidates.size() == 6);
    CHECK(choice->candidates.back() == number("r1"));
    ++first[choice->candidates.front()];
  }
  CHECK(std::abs(first[number("p1")] - 525) <= 2);
  CHECK(std::abs(first[number("p2")] - 175) <= 2);
  CHECK(std::abs(first[number("q1")] - 300) <= 1);
  CHECK(first.size() == 3);
  const auto candidates = selector.choose({"641", 0, no_index, 0})->candidates;
  const auto position = [&](const char* name) {
    return std::find(candidates.begin(), candidates.end(), number(name)) - candidates.begin();
  };
  CHECK(position("far") < position("idle"));
  CHECK(position("p2") < position("far"));
  // When a whole zone is out of service, the next one takes over; when a whole pool is, the others by their
  // shares.
  members[0][0].ready = members[0][1].ready = false;
  selector.set_members(members);
  first.clear();
  for (int i = 0; i < 100; ++i) ++first[selector.choose({"641", 0, no_index, 0})->candidates.front()];
  CHECK(std::abs(first[number("far")] - 70) <= 2);
  for (auto& each : members[0]) each.ready = false;
  selector.set_members(members);
  for (int i = 0; i < 100; ++i)
    CHECK(selector.choose({"641", 0, no_index, 0})->candidates.front() == number("q1"));
  members[1][0].ready = false;
  selector.set_members(members);
  CHECK(selector.choose({"641", 0, no_index, 0})->candidates == std::vector{number("r1")});
  members[2][0].ready = false;
  selector.set_members(members);
  CHECK(selector.choose({"641", 0, no_index, 0})->candidates.empty());
}

TEST_CASE("replaced members leave no state behind, and a released number is not reused soon") {
  const auto config = config_from_text(
      "registry { name: \"r\" address: \"127.0.0.1:1\" } pool { name: \"p\" from_registry "
      "{ registry: \"r\" application: \"x\" } } route { to { pool: \"p\" } }");
  Selector selector(config);
  ExchangeNumber highest = 0, previous = no_exchange;
  for (int i = 0; i < 10000; ++i) {
    const auto name = "m" + std::to_string(i);
    selector.set_members({{{name, 1, "", true}}});
    const auto number = selector.exchange_number_of(name);
    CHECK(number != previous);
    previous = number;
    highest = std::max(highest, number);
    if (i > 0) CHECK(selector.exchange_number_of("m" + std::to_string(i - 1)) == no_exchange);
  }
  CHECK(highest < 100);
}

TEST_CASE("the limits of a policy: open look-ups, look-ups per second, and a bounded burst") {
  Policy policy;
  policy.max_open_requests = 3;
  PolicyLimiter limiter;
  limiter.set_limits(policy);
  for (int i = 0; i < 3; ++i) CHECK(limiter.try_acquire(0) == PolicyLimiter::Decision::admitted);
  CHECK(limiter.try_acquire(0) == PolicyLimiter::Decision::too_many_open);
  limiter.release();
  CHECK(limiter.try_acquire(0) == PolicyLimiter::Decision::admitted);
  policy.max_open_requests = 0;
  policy.rate_per_second = 10;
  policy.burst = 5;
  limiter.set_limits(policy);  // while look-ups are open
  double now = 1e12;
  int admitted = 0;
  for (int i = 0; i < 100; ++i)
    admitted += limiter.try_acquire(now) == PolicyLimiter::Decision::admitted ? 1 : 0;
  CHECK(admitted == 5);
  for (int i = 0; i < 1000; ++i, now += 10)
    admitted += limiter.try_acquire(now) == PolicyLimiter::Decision::admitted ? 1 : 0;
  CHECK(std::abs(admitted - 105) <= 1);
  // A clock that is set back adds no tokens.
  CHECK(limiter.try_acquire(now - 1e9) == PolicyLimiter::Decision::rate_exceeded);
  now += 3600000;
  admitted = 0;
  for (int i = 0; i < 100; ++i)
    admitted += limiter.try_acquire(now) == PolicyLimiter::Decision::admitted ? 1 : 0;
  CHECK(admitted == 5);
  CHECK(limiter.rejected_count() > 0);
}

TEST_CASE("a reload keeps the look-ups open under a policy, and counts shares from zero") {
  const std::string pools_and_route =
      "pool { name: \"p\" " + member_text("p1") + "} pool { name: \"q\" " + member_text("q1") + "} " +
      "route { to { pool: \"p\" share: \"50%\" } to { pool: \"q\" share: \"50%\" } }";
  const auto before = config_from_text("policy { name: \"default\" most_open: 2 } " + pools_and_route);
  Selector selector(before);
  selector.set_members(members_of(*before));
  const auto limiter = selector.limiter(0);
  CHECK(limiter->try_acquire(0) == PolicyLimiter::Decision::admitted);
  const auto after = config_from_text("policy { name: \"default\" most_open: 1 } " + pools_and_route);
  selector.apply_config(after);
  CHECK(selector.choose({"1", 0, no_index, 0})->candidates.empty());  // no members are set yet
  selector.set_members(members_of(*after));
  CHECK(selector.limiter(0) == limiter);
  CHECK(limiter->try_acquire(0) == PolicyLimiter::Decision::too_many_open);
  limiter->release();
  CHECK(limiter->try_acquire(0) == PolicyLimiter::Decision::admitted);
  CHECK(selector.choose({"1", 0, no_index, 0})->candidates.size() == 2);
}

}  // namespace
}  // namespace heathturn::test
