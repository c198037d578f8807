// A static trie over prefixes of digits: for a number, the values of all prefixes that it begins with.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace heathturn::routes {

class PrefixTrie {
 public:
  /// Prefixes are at most this long.
  static constexpr std::size_t max_digits = 32;
  /// The values of the prefixes on a number's way, the shortest first.
  struct Matches {
    std::array<std::uint32_t, max_digits + 1> values{};
    std::size_t size = 0;
  };

  PrefixTrie() = default;
  /// Each prefix once, of digits only, with any value but `no_value`.
  explicit PrefixTrie(std::vector<std::pair<std::string, std::uint32_t>> entries);

  /// Digits behind the first that is none end the way.
  [[nodiscard]] Matches all_matches(std::string_view number) const;
  /// The value of the longest prefix; `no_value` when there is none.
  [[nodiscard]] std::uint32_t longest_match(std::string_view number) const;
  [[nodiscard]] std::size_t memory_bytes() const { return nodes_.capacity() * sizeof(Node); }

  static constexpr std::uint32_t no_value = 0xffffffff;

 private:
  /// The children of a node lie side by side, one for each bit set, in the order of their digits.
  struct Node {
    std::uint32_t first_child = 0;
    std::uint32_t value = no_value;
    std::uint16_t digits = 0;
  };
  template <typename Visit>
  void walk(std::string_view number, const Visit& visit) const;

  std::vector<Node> nodes_;
};

}  // namespace heathturn::routes
