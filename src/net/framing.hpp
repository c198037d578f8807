// Cuts what has come in on a connection into messages.
#pragma once

#include <event2/buffer.h>

#include <cstdint>
#include <string>

namespace heathturn {

enum class Framed { none, one, over_long };

/// A line ended by a line feed; the feed is not part of it.
Framed next_line(evbuffer* in, std::size_t most, std::string& out);
/// A message behind a big-endian length of 2 or 4 bytes.
Framed next_counted(evbuffer* in, std::size_t width, std::size_t most, std::string& out);

/// Big-endian number of `width` bytes at `at`; the caller has checked that they are there.
std::uint64_t big_endian(const std::string& bytes, std::size_t at, std::size_t width);
void put_big_endian(std::string& out, std::uint64_t value, std::size_t width);

}  // namespace heathturn
