// Checks that the lines of the decision module's source are at most 110 columns wide.
#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <string>

namespace {

TEST(ModuleLimits, Columns) {
  std::ifstream file(MADDERSHED_MODULE);
  ASSERT_TRUE(file) << MADDERSHED_MODULE;
  std::size_t widest = 0;
  for (std::string line; std::getline(file, line);) widest = std::max(widest, line.size());
  EXPECT_GT(widest, 0U) << "the file is empty";
  EXPECT_LE(widest, 110U);
}

}  // namespace
