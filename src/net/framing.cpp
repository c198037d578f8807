#include "net/framing.hpp"

namespace heathturn {

FrameStatus next_line(evbuffer* in, std::size_t max_bytes, std::string& out) {
  std::size_t line_feed_length = 0;
  const auto found = evbuffer_search_eol(in, nullptr, &line_feed_length, EVBUFFER_EOL_LF);
  // Guards against a peer that never ends its line: the memory for it stays bounded.
  if (found.pos < 0)
    return evbuffer_get_length(in) > max_bytes ? FrameStatus::over_long : FrameStatus::incomplete;
  const auto length = static_cast<std::size_t>(found.pos);
  if (length > max_bytes) return FrameStatus::over_long;
  out.resize(length);
  evbuffer_remove(in, out.data(), length);
  evbuffer_drain(in, line_feed_length);
  return FrameStatus::complete;
}

FrameStatus next_length_prefixed(evbuffer* in, std::size_t width, std::size_t max_bytes, std::string& out) {
  std::string prefix(width, '\0');
  if (evbuffer_copyout(in, prefix.data(), width) < static_cast<ev_ssize_t>(width))
    return FrameStatus::incomplete;
  const auto length = big_endian(prefix, 0, width);
  if (length > max_bytes) return FrameStatus::over_long;
  if (evbuffer_get_length(in) < width + length) return FrameStatus::incomplete;
  evbuffer_drain(in, width);
  out.resize(length);
  evbuffer_remove(in, out.data(), length);
  return FrameStatus::complete;
}

std::uint64_t big_endian(const std::string& bytes, std::size_t at, std::size_t width) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < width; ++i) value = value << 8 | static_cast<std::uint8_t>(bytes[at + i]);
  return value;
}

void put_big_endian(std::string& out, std::uint64_t value, std::size_t width) {
  for (std::size_t i = width; i-- > 0;) out.push_back(static_cast<char>(value >> (8 * i)));
}

}  // namespace heathturn
