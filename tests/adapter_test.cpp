// Tests of the simulator adapter as a process: frames on standard input, frames on standard output, exit
// status.
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

/// Result of one run of the adapter.
struct Outcome {
  int exit_status = -1;
  std::vector<std::uint8_t> output;
  std::string error_output;
};

std::vector<std::uint8_t> little_endian(std::uint64_t value, int size) {
  std::vector<std::uint8_t> out;
  for (int i = 0; i < size; ++i) out.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
  return out;
}
void append(std::vector<std::uint8_t>& to, const std::vector<std::uint8_t>& more) {
  to.insert(to.end(), more.begin(), more.end());
}
std::vector<std::uint8_t> make_frame(std::uint64_t clock_us, std::uint32_t records,
                                     const std::vector<std::uint8_t>& body) {
  auto out = little_endian(body.size(), 4);
  append(out, little_endian(clock_us, 8));
  append(out, little_endian(records, 4));
  append(out, body);
  return out;
}
std::vector<std::uint8_t> launch_record(std::uint32_t instance, const std::string& settings) {
  auto body = bytes_from_hex("78");
  append(body, little_endian(instance, 4));
  append(body, bytes_from_hex("0a 0700000000000000"));
  append(body, little_endian(settings.size(), 4));
  body.insert(body.end(), settings.begin(), settings.end());
  return body;
}
std::string read_whole_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}
/// Runs the adapter with the bytes on its standard input until it exits.
Outcome run_adapter(const std::vector<std::uint8_t>& input) {
  std::string directory = testing::TempDir() + "maddershed-XXXXXX";
  if (mkdtemp(directory.data()) == nullptr) return {};
  {
    std::ofstream file(directory + "/in", std::ios::binary);
    file.write(reinterpret_cast<const char*>(input.data()), static_cast<std::streamsize>(input.size()));
  }
  const std::string command =
      std::string(MADDERSHED_DRILL) + " <" + directory + "/in >" + directory + "/out 2>" + directory + "/err";
  const int status = std::system(command.c_str());
  const auto out = read_whole_file(directory + "/out");
  return {WIFEXITED(status) ? WEXITSTATUS(status) : -1,
          {out.begin(), out.end()},
          read_whole_file(directory + "/err")};
}

TEST(Adapter, AnswersAnEmptyBatchAndExitsAtTheEndOfInput) {
  const auto outcome = run_adapter(make_frame(5, 0, {}));
  EXPECT_EQ(outcome.exit_status, 0);
  EXPECT_EQ(outcome.output, bytes_from_hex("00000000 00000000"));
  EXPECT_EQ(outcome.error_output, "");
}

TEST(Adapter, AnswersACallAfterStopAndRelaunchInOneBatch) {
  auto body = launch_record(3, test_settings);
  append(body, bytes_from_hex("64"));  // stop
  append(body, launch_record(3, test_settings));
  append(body, bytes_from_hex("6e 00000000 01000000 074a1203 00 00 0100 01 0000803f 0000000000000000"));
  append(body, bytes_from_hex("14 02 29000000 00000000"));
  append(body,
         bytes_from_hex("50 074a1203 0a 00000000 02 0000a0400000a040"));  // five of five circuits are free
  append(body, bytes_from_hex("1e c4913a5d17830b00 00 0000 0000803f c0c62d00 00000000 0000803f 00000000"
                              "0000000000000000 000080bf"));
  const auto outcome = run_adapter(make_frame(1000000, 9, body));
  EXPECT_EQ(outcome.exit_status, 0) << outcome.error_output;
  const auto set_up = bytes_from_hex("0a c4913a5d17830b00");
  EXPECT_NE(std::search(outcome.output.begin(), outcome.output.end(), set_up.begin(), set_up.end()),
            outcome.output.end());
}

void expect_input_error(const std::vector<std::uint8_t>& input, const std::string& message) {
  const auto outcome = run_adapter(input);
  EXPECT_EQ(outcome.exit_status, 1);
  EXPECT_TRUE(outcome.output.empty());
  EXPECT_NE(outcome.error_output.find(message), std::string::npos) << outcome.error_output;
  EXPECT_EQ(std::count(outcome.error_output.begin(), outcome.error_output.end(), '\n'), 1);
}

TEST(Adapter, MalformedInputIsReportedAndEndsTheProcess) {
  expect_input_error(bytes_from_hex("010203"), "inside a header");
  expect_input_error(bytes_from_hex("ffffffff 0000000000000000 01000000 78"), "byte 17");
  expect_input_error(make_frame(5, 2, bytes_from_hex("78 03000000 c8")), "unknown event code 200");
  expect_input_error(make_frame(5, 2, bytes_from_hex("78 03000000 46 4d00000000000000")),
                     "before its launch");
  expect_input_error(make_frame(5, 2, launch_record(3, "classes.count=1\n")), "classes.0.importance");
}

}  // namespace
}  // namespace maddershed::test
