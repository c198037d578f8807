// Tests of the limits on output that waits for a peer.
#include "loop_fixture.hpp"

namespace heathturn::test {
namespace {

constexpr std::size_t line_bytes = 1024;
constexpr Connections::OutputLimits small_limits = {.per_connection = 8 * line_bytes,
                                                    .total = 64 * 1024 * line_bytes};
// More than the socket buffers of a loopback connection take, so that the peer has to read.
constexpr std::size_t many_lines = 32 * 1024;

/// Accepts connections, counts the lines that arrive and, when one does, writes `lines_per_turn` lines at
/// once.
struct BurstServer : LoopFixture, ConnectionHandler {
  Address address = net.listen({0x7f000001, 0}, *this, "caller", {.max_connections = 8});
  std::size_t lines_per_turn = 1;
  std::size_t lines_received = 0;
  std::size_t failed_writes = 0;

  explicit BurstServer(const Connections::OutputLimits& limits = small_limits) {
    net.set_output_limits(limits);
  }
  void on_input(Handle connection, evbuffer* in) override {
    net.read_lines(connection, in, line_bytes, [&](const std::string&) {
      ++lines_received;
      for (std::size_t i = 0; i < lines_per_turn; ++i) {
        if (!net.write(connection, std::string(line_bytes - 1, 'x') + "\n")) ++failed_writes;
      }
    });
  }
  void on_ended(Handle, const char*) override {}
};

// Guards against ending a connection for output that its peer had no turn of the event loop to read.
TEST_CASE("a peer that reads gets all that was written to it in one turn, however much it is") {
  BurstServer server;
  server.lines_per_turn = many_lines;
  const auto peer = Socket::connect(server.address);
  peer.write("go\n");
  std::size_t received_bytes = 0;
  server.run_until([&] {
    received_bytes += read_available(peer).size();
    return received_bytes >= many_lines * line_bytes || !server.end_reasons.empty();
  });
  server.run_for(congestion_timeout_ms + 100);
  CHECK(received_bytes == many_lines * line_bytes);
  CHECK(server.failed_writes == 0);
  CHECK(server.end_reasons.empty());
}

TEST_CASE(
    "a peer that does not read is disconnected after the congestion timeout, and not read from before") {
  BurstServer server;
  server.lines_per_turn = many_lines;
  const auto peer = Socket::connect(server.address);
  const double started_ms = now_ms();
  peer.write("go\ngo\n");
  server.run_until([&] { return !server.end_reasons.empty(); });
  CHECK(server.end_reasons == std::vector<std::string>{"slow_reader"});
  CHECK(now_ms() - started_ms >= congestion_timeout_ms);
  CHECK(server.lines_received == 1);
}

// Guards against messages left in the input buffer for good when reading is resumed.
TEST_CASE("what a peer sent while it was not read from is processed once it has read") {
  BurstServer server;
  server.lines_per_turn = many_lines;
  const auto peer = Socket::connect(server.address);
  peer.write("go\ngo\n");
  server.run_until([&] { return server.lines_received == 1; });
  peer.write("go\n");
  server.run_for(congestion_timeout_ms / 4);
  CHECK(server.lines_received == 1);
  std::size_t received_bytes = 0;
  server.run_until([&] {
    received_bytes += read_available(peer).size();
    return received_bytes >= 3 * many_lines * line_bytes || !server.end_reasons.empty();
  });
  CHECK(server.lines_received == 3);
  CHECK(received_bytes == 3 * many_lines * line_bytes);
  CHECK(server.end_reasons.empty());
}

TEST_CASE("output beyond the limit of all connections ends its own connection, and no other") {
  BurstServer server({.per_connection = 8 * line_bytes, .total = 64 * line_bytes});
  server.lines_per_turn = 65;
  const auto greedy_peer = Socket::connect(server.address), other_peer = Socket::connect(server.address);
  greedy_peer.write("go\n");
  server.run_until([&] { return !server.end_reasons.empty(); });
  CHECK(server.end_reasons == std::vector<std::string>{"slow_reader"});
  CHECK(server.failed_writes == 1);
  server.lines_per_turn = 8;
  other_peer.write("go\n");
  std::size_t received_bytes = 0;
  server.run_until([&] { return (received_bytes += read_available(other_peer).size()) >= 8 * line_bytes; });
  CHECK(server.end_reasons.size() == 1);
}

}  // namespace
}  // namespace heathturn::test
