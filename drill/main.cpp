// maddershed_drill: runs the decision module behind the wire format of the simulator (drill), on standard
// input and output.
#include <algorithm>
#include <array>
#include <cstdio>
#include <exception>

#include "host.hpp"

namespace {

using namespace maddershed::drill;

/// Reads `length` bytes in chunks, so that an invalid length does not allocate memory for bytes that never
/// arrive.
std::vector<std::uint8_t> read_body(std::size_t length) {
  constexpr std::size_t chunk_bytes = std::size_t{1} << 20;
  std::vector<std::uint8_t> body;
  while (body.size() < length) {
    const auto previous_size = body.size();
    body.resize(std::min(length, previous_size + chunk_bytes));
    const auto read_count = std::fread(body.data() + previous_size, 1, body.size() - previous_size, stdin);
    if (read_count < body.size() - previous_size) {
      throw WireError("input ends inside a frame at byte " +
                      std::to_string(batch_header_bytes + previous_size + read_count));
    }
  }
  return body;
}

/// Answers each batch with a reply until standard input ends between two frames. Throws WireError.
void serve() {
  BatchDecoder decoder;
  InstanceHost host;
  std::array<std::uint8_t, batch_header_bytes> header_bytes{};
  while (true) {
    const auto read_count = std::fread(header_bytes.data(), 1, header_bytes.size(), stdin);
    if (read_count == 0) return;
    if (read_count < header_bytes.size())
      throw WireError("input ends inside a header at byte " + std::to_string(read_count));
    const auto header = decode_header(header_bytes);
    const auto body = read_body(header.body_bytes);
    const auto reply = host.handle(header.now, decoder.decode(header, body));
    if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0) {
      throw WireError("cannot write the reply");
    }
  }
}

}  // namespace

int main() {
  try {
    serve();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "maddershed_drill: %s\n", error.what());
    return 1;
  }
  return 0;
}
