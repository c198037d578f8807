// Longest-prefix look-ups in the trie, in std::map and by a linear scan, with 10, 1,000 and 100,000 ranges,
// and the weighted round-robin. `bytes_a_range` is the memory that each index takes from the allocator per
// range.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "routes/prefix_trie.hpp"
#include "routes/weighted_round_robin.hpp"

namespace heathturn::routes {
namespace {

using Entries = std::vector<std::pair<std::string, std::uint32_t>>;

/// Random prefixes of 1 to 7 digits, mostly long ones, as in numbering plans.
const Entries& random_entries(std::size_t count) {
  static std::map<std::size_t, Entries> all;
  auto& out = all[count];
  if (!out.empty()) return out;
  std::mt19937 random(7);
  std::map<std::string, std::uint32_t> distinct;
  while (distinct.size() < count) {
    std::string prefix(std::min<std::size_t>(7, 1 + random() % 10), '0');
    for (auto& digit : prefix) digit = static_cast<char>('0' + random() % 10);
    distinct.try_emplace(prefix, static_cast<std::uint32_t>(distinct.size()));
  }
  out.assign(distinct.begin(), distinct.end());
  return out;
}

/// Random numbers to look up.
const std::vector<std::string>& random_numbers() {
  static const auto out = [] {
    std::mt19937 random(8);
    std::vector<std::string> all(4096, std::string(11, '0'));
    for (auto& number : all) {
      for (auto& digit : number) digit = static_cast<char>('0' + random() % 10);
    }
    return all;
  }();
  return out;
}

constexpr std::size_t measured_copies = 16;

/// Bytes that the allocator has handed out.
std::size_t allocated_bytes() { return mallinfo2().uordblks + mallinfo2().hblkhd; }

/// Measures the memory of the index and the time of a look-up.
template <typename Index, typename Find>
void run_look_ups(benchmark::State& state, const std::function<Index(const Entries&)>& make,
                  const Find& find) {
  const auto& entries = random_entries(static_cast<std::size_t>(state.range(0)));
  const auto index = make(entries);
  {
    // Measures many copies, so that memory which the allocator keeps in reserve hardly counts.
    std::vector<Index> copies;
    copies.reserve(measured_copies);
    const auto before = allocated_bytes();
    for (std::size_t i = 0; i < measured_copies; ++i) copies.push_back(make(entries));
    state.counters["bytes_a_range"] = static_cast<double>(allocated_bytes() - before) /
                                      static_cast<double>(measured_copies * entries.size());
  }
  std::size_t at = 0;
  for (auto _ : state)
    benchmark::DoNotOptimize(find(index, random_numbers()[at++ % random_numbers().size()]));
}

void trie(benchmark::State& state) {
  run_look_ups<PrefixTrie>(
      state, [](const Entries& entries) { return PrefixTrie(entries); },
      [](const PrefixTrie& index, const std::string& number) { return index.longest_match(number); });
}

void ordered_map(benchmark::State& state) {
  using Map = std::map<std::string, std::uint32_t, std::less<>>;
  run_look_ups<Map>(
      state, [](const Entries& entries) { return Map(entries.begin(), entries.end()); },
      [](const Map& index, const std::string& number) {
        for (auto length = number.size() + 1; length-- > 0;) {
          const auto it = index.find(std::string_view(number).substr(0, length));
          if (it != index.end()) return it->second;
        }
        return PrefixTrie::no_value;
      });
}

void linear_scan(benchmark::State& state) {
  run_look_ups<Entries>(
      state, [](const Entries& entries) { return entries; },
      [](const Entries& index, const std::string& number) {
        std::uint32_t best = PrefixTrie::no_value;
        std::size_t longest = 0;
        for (const auto& [prefix, value] : index) {
          if (!number.starts_with(prefix) || prefix.size() < longest) continue;
          best = value;
          longest = prefix.size();
        }
        return best;
      });
}

void spread(benchmark::State& state) {
  WeightedRoundRobin round_robin;
  std::vector<WeightedRoundRobin::Slot> slots;
  for (std::uint64_t i = 0; i < static_cast<std::uint64_t>(state.range(0)); ++i) {
    slots.push_back({i, static_cast<double>(1 + i % 7)});
  }
  round_robin.set_slots(slots);
  for (auto _ : state) benchmark::DoNotOptimize(round_robin.next());
}

BENCHMARK(trie)->Arg(10)->Arg(1000)->Arg(100000);
BENCHMARK(ordered_map)->Arg(10)->Arg(1000)->Arg(100000);
BENCHMARK(linear_scan)->Arg(10)->Arg(1000)->Arg(100000);
BENCHMARK(spread)->Arg(2)->Arg(8)->Arg(64);

}  // namespace
}  // namespace heathturn::routes

BENCHMARK_MAIN();
