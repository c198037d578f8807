#include "net/framing.hpp"

namespace heathturn {

Framed next_line(evbuffer* in, std::size_t most, std::string& out) {
  std::size_t feed = 0;
  const auto found = evbuffer_search_eol(in, nullptr, &feed, EVBUFFER_EOL_LF);
  // Guards against a peer that never ends its line: memory for it is bounded.
  if (found.pos < 0) return evbuffer_get_length(in) > most ? Framed::over_long : Framed::none;
  const auto length = static_cast<std::size_t>(found.pos);
  if (length > most) return Framed::over_long;
  out.resize(length);
  evbuffer_remove(in, out.data(), length);
  evbuffer_drain(in, feed);
  return Framed::one;
}

Framed next_counted(evbuffer* in, std::size_t width, std::size_t most, std::string& out) {
  std::string head(width, '\0');
  if (evbuffer_copyout(in, head.data(), width) < static_cast<ev_ssize_t>(width)) return Framed::none;
  const auto length = big_endian(head, 0, width);
  if (length > most) return Framed::over_long;
  if (evbuffer_get_length(in) < width + length) return Framed::none;
  evbuffer_drain(in, width);
  out.resize(length);
  evbuffer_remove(in, out.data(), length);
  return Framed::one;
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
