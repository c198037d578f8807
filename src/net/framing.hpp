// Splits the input of a stream connection into messages.
#pragma once

#include <event2/buffer.h>

#include <cstdint>
#include <string>

namespace heathturn {

/// Result of reading one message: the input holds a part of it, all of it, or it exceeds the size limit.
enum class FrameStatus { incomplete, complete, over_long };

/// Removes one line from the input, ended by a line feed that is not part of `out`.
FrameStatus next_line(evbuffer* in, std::size_t max_bytes, std::string& out);
/// Removes one message that follows a big-endian length of `width` bytes, 2 or 4.
FrameStatus next_length_prefixed(evbuffer* in, std::size_t width, std::size_t max_bytes, std::string& out);

/// Reads a big-endian number of `width` bytes at offset `at`. The caller checks that the string holds them.
std::uint64_t big_endian(const std::string& bytes, std::size_t at, std::size_t width);
/// Appends a number as `width` bytes in big-endian order.
void put_big_endian(std::string& out, std::uint64_t value, std::size_t width);

}  // namespace heathturn
