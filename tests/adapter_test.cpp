// The adapter as a process: frames in on standard input, frames and exit status out.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "frames.hpp"

namespace maddershed::test {
namespace {

struct Outcome {
  int status = -1;
  std::vector<std::uint8_t> out;
  std::string err;
};

std::vector<std::uint8_t> little(std::uint64_t value, int size) {
  std::vector<std::uint8_t> out;
  for (int i = 0; i < size; ++i) out.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
  return out;
}
void append(std::vector<std::uint8_t>& to, const std::vector<std::uint8_t>& more) {
  to.insert(to.end(), more.begin(), more.end());
}
std::vector<std::uint8_t> frame(std::uint64_t clock, std::uint32_t records,
                                const std::vector<std::uint8_t>& body) {
  auto out = little(body.size(), 4);
  append(out, little(clock, 8));
  append(out, little(records, 4));
  append(out, body);
  return out;
}
std::vector<std::uint8_t> launch(std::uint32_t instance, const std::string& settings) {
  auto body = bytes_from_hex("78");
  append(body, little(instance, 4));
  append(body, bytes_from_hex("0a 0700000000000000"));
  append(body, little(settings.size(), 4));
  body.insert(body.end(), settings.begin(), settings.end());
  return body;
}
std::string slurp(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}
Outcome run(const std::vector<std::uint8_t>& input) {
  std::string folder = testing::TempDir() + "maddershed-XXXXXX";
  if (mkdtemp(folder.data()) == nullptr) return {};
  {
    std::ofstream file(folder + "/in", std::ios::binary);
    file.write(reinterpret_cast<const char*>(input.data()), static_cast<std::streamsize>(input.size()));
  }
  const std::string command =
      std::string(MADDERSHED_DRILL) + " <" + folder + "/in >" + folder + "/out 2>" + folder + "/err";
  const int status = std::system(command.c_str());
  const auto out = slurp(folder + "/out");
  return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, {out.begin(), out.end()}, slurp(folder + "/err")};
}

TEST(Adapter, EmptyBatchAndCleanExit) {
  const auto outcome = run(frame(5, 0, {}));
  EXPECT_EQ(outcome.status, 0);
  EXPECT_EQ(outcome.out, bytes_from_hex("00000000 00000000"));
  EXPECT_EQ(outcome.err, "");
}

TEST(Adapter, AnswersACallAfterKillAndRelaunchInOneBatch) {
  auto body = launch(3, test_settings);
  append(body, bytes_from_hex("64"));  // killed
  append(body, launch(3, test_settings));
  append(body, bytes_from_hex("6e 00000000 01000000 074a1203 00 00 0100 01 0000803f 0000000000000000"));
  append(body, bytes_from_hex("14 02 29000000 00000000"));
  append(body, bytes_from_hex("50 074a1203 0a 00000000 02 0000a0400000a040"));  // five circuits of five free
  append(body, bytes_from_hex("1e c4913a5d17830b00 00 0000 0000803f c0c62d00 00000000 0000803f 00000000"
                              "0000000000000000 000080bf"));
  const auto outcome = run(frame(1000000, 9, body));
  EXPECT_EQ(outcome.status, 0) << outcome.err;
  const auto set_up = bytes_from_hex("0a c4913a5d17830b00");
  EXPECT_NE(std::search(outcome.out.begin(), outcome.out.end(), set_up.begin(), set_up.end()),
            outcome.out.end());
}

void expect_refused(const std::vector<std::uint8_t>& input, const std::string& what) {
  const auto outcome = run(input);
  EXPECT_EQ(outcome.status, 1);
  EXPECT_TRUE(outcome.out.empty());
  EXPECT_NE(outcome.err.find(what), std::string::npos) << outcome.err;
  EXPECT_EQ(std::count(outcome.err.begin(), outcome.err.end(), '\n'), 1);
}

TEST(Adapter, MalformedInputIsNamedAndEndsTheProcess) {
  expect_refused(bytes_from_hex("010203"), "inside a header");
  expect_refused(bytes_from_hex("ffffffff 0000000000000000 01000000 78"), "byte 17");
  expect_refused(frame(5, 2, bytes_from_hex("78 03000000 c8")), "unknown event code 200");
  expect_refused(frame(5, 2, bytes_from_hex("78 03000000 46 4d00000000000000")), "before its launch");
  expect_refused(frame(5, 2, launch(3, "classes.count=1\n")), "classes.0.importance");
}

}  // namespace
}  // namespace maddershed::test
