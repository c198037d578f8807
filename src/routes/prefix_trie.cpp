#include "routes/prefix_trie.hpp"

#include <algorithm>
#include <bit>

namespace heathturn::routes {

PrefixTrie::PrefixTrie(std::vector<std::pair<std::string, std::uint32_t>> entries) {
  std::sort(entries.begin(), entries.end());
  // Each node covers the range of sorted entries that begin with its digits. Nodes are processed breadth
  // first, so that the children of a node are appended together.
  struct EntryRange {
    std::size_t from, to;
  };
  std::vector<EntryRange> ranges{{0, entries.size()}};
  nodes_.emplace_back();
  std::size_t level_end = 1, depth = 0;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (i == level_end) {
      level_end = nodes_.size();
      ++depth;
    }
    auto [from, to] = ranges[i];
    if (from < to && entries[from].first.size() == depth) nodes_[i].value = entries[from++].second;
    nodes_[i].first_child = static_cast<std::uint32_t>(nodes_.size());
    while (from < to) {
      const char digit = entries[from].first[depth];
      auto end = from;
      while (end < to && entries[end].first[depth] == digit) ++end;
      nodes_[i].child_digits =
          static_cast<std::uint16_t>(nodes_[i].child_digits | 1U << static_cast<unsigned>(digit - '0'));
      nodes_.emplace_back();
      ranges.push_back({from, end});
      from = end;
    }
  }
  nodes_.shrink_to_fit();
}

/// Visits the values of the prefixes that a number begins with, the shortest prefix first.
template <typename Visit>
void PrefixTrie::for_each_match(std::string_view number, const Visit& visit) const {
  if (nodes_.empty()) return;
  const Node* node = &nodes_.front();
  if (node->value != no_value) visit(node->value);
  for (const char character : number) {
    const auto digit = static_cast<unsigned>(character - '0');
    if (digit > 9 || (node->child_digits >> digit & 1U) == 0) return;
    const auto lower_digits = static_cast<std::uint16_t>(node->child_digits & ((1U << digit) - 1));
    node = &nodes_[node->first_child + static_cast<std::size_t>(std::popcount(lower_digits))];
    if (node->value != no_value) visit(node->value);
  }
}

PrefixTrie::Matches PrefixTrie::all_matches(std::string_view number) const {
  Matches matches;
  for_each_match(number, [&matches](std::uint32_t value) { matches.values[matches.size++] = value; });
  return matches;
}

std::uint32_t PrefixTrie::longest_match(std::string_view number) const {
  auto longest = no_value;
  for_each_match(number, [&longest](std::uint32_t value) { longest = value; });
  return longest;
}

}  // namespace heathturn::routes
