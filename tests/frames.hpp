// Frames written as hexadecimal text, for tests of the wire format.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace maddershed::test {

/// Converts hexadecimal digits to bytes; spaces are skipped.
inline std::vector<std::uint8_t> bytes_from_hex(std::string_view text) {
  std::vector<std::uint8_t> out;
  std::string digits;
  for (const char c : text) {
    if (c == ' ') continue;
    digits.push_back(c);
    if (digits.size() < 2) continue;
    out.push_back(static_cast<std::uint8_t>(std::stoi(digits, nullptr, 16)));
    digits.clear();
  }
  return out;
}

/// Valid settings of the decision module, with two classes.
inline constexpr const char* test_settings =
    "classes.count=2\nclasses.0.importance=1.0\nclasses.0.objective_us=1500000\nclasses.0.give_up_us="
    "9000000\n"
    "classes.1.importance=2.0\nclasses.1.objective_us=1500000\nclasses.1.give_up_us=9000000\n"
    "specifics.circuits_by_class=1,3\nspecifics.network_form=meshed\nspecifics.home_no=0\n"
    "specifics.guard_us=500000\nbalancers=4\nlimits.try_limit=5\nstep_us=5000\n"
    "stats.columns=spare,total,utilization\n";

}  // namespace maddershed::test
