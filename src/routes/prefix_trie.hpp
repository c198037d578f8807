// A static trie over prefixes of digits: finds the values of all prefixes that a number begins with.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace heathturn::routes {

/// Maps prefixes of digits to values. Built once; look-ups do not allocate.
class PrefixTrie {
 public:
  /// Maximum length of a prefix, digits.
  static constexpr std::size_t max_digits = 32;
  /// The values of all prefixes that a number begins with, the shortest prefix first.
  struct Matches {
    std::array<std::uint32_t, max_digits + 1> values{};
    std::size_t size = 0;
  };

  PrefixTrie() = default;
  /// Takes pairs of prefix and value. Prefixes must be distinct, of digits only and at most `max_digits`
  /// long; `no_value` is not allowed as a value.
  explicit PrefixTrie(std::vector<std::pair<std::string, std::uint32_t>> entries);

  /// Only the digits up to the first other character of `number` are compared.
  [[nodiscard]] Matches all_matches(std::string_view number) const;
  /// The value of the longest prefix that the number begins with; `no_value` when there is none.
  [[nodiscard]] std::uint32_t longest_match(std::string_view number) const;
  [[nodiscard]] std::size_t memory_bytes() const { return nodes_.capacity() * sizeof(Node); }

  static constexpr std::uint32_t no_value = 0xffffffff;

 private:
  /// The children of a node are adjacent, one for each bit set in `child_digits`, in the order of their
  /// digits.
  struct Node {
    std::uint32_t first_child = 0;
    std::uint32_t value = no_value;
    std::uint16_t child_digits = 0;  ///< bit d: there is a child for the digit d
  };
  template <typename Visit>
  void for_each_match(std::string_view number, const Visit& visit) const;

  std::vector<Node> nodes_;
};

}  // namespace heathturn::routes
