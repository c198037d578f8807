#include "routes/prefix_trie.hpp"

#include <algorithm>
#include <bit>

namespace heathturn::routes {

PrefixTrie::PrefixTrie(std::vector<std::pair<std::string, std::uint32_t>> entries) {
  std::sort(entries.begin(), entries.end());
  // Each node stands for the run of sorted entries that begin with its digits; in this order a node's
  // children are appended together.
  struct Run {
    std::size_t from, to;
  };
  std::vector<Run> runs{{0, entries.size()}};
  nodes_.emplace_back();
  std::size_t level_end = 1, depth = 0;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (i == level_end) {
      level_end = nodes_.size();
      ++depth;
    }
    auto [from, to] = runs[i];
    if (from < to && entries[from].first.size() == depth) nodes_[i].value = entries[from++].second;
    nodes_[i].first_child = static_cast<std::uint32_t>(nodes_.size());
    while (from < to) {
      const char digit = entries[from].first[depth];
      auto end = from;
      while (end < to && entries[end].first[depth] == digit) ++end;
      nodes_[i].digits =
          static_cast<std::uint16_t>(nodes_[i].digits | 1U << static_cast<unsigned>(digit - '0'));
      nodes_.emplace_back();
      runs.push_back({from, end});
      from = end;
    }
  }
  nodes_.shrink_to_fit();
}

/// Visits the values on a number's way, the shortest prefix first.
template <typename Visit>
void PrefixTrie::walk(std::string_view number, const Visit& visit) const {
  if (nodes_.empty()) return;
  const Node* at = &nodes_.front();
  if (at->value != no_value) visit(at->value);
  for (const char c : number) {
    const auto digit = static_cast<unsigned>(c - '0');
    if (digit > 9 || (at->digits >> digit & 1U) == 0) return;
    const auto below = static_cast<std::uint16_t>(at->digits & ((1U << digit) - 1));
    at = &nodes_[at->first_child + static_cast<std::size_t>(std::popcount(below))];
    if (at->value != no_value) visit(at->value);
  }
}

PrefixTrie::Matches PrefixTrie::all_matches(std::string_view number) const {
  Matches out;
  walk(number, [&out](std::uint32_t value) { out.values[out.size++] = value; });
  return out;
}

std::uint32_t PrefixTrie::longest_match(std::string_view number) const {
  auto out = no_value;
  walk(number, [&out](std::uint32_t value) { out = value; });
  return out;
}

}  // namespace heathturn::routes
