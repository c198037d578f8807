// Binary wire format of the simulator (drill): decodes frames into events of instances and encodes actions of
// instances into frames. It stores the numbered directory lists, which all instances of the process share,
// and makes no decisions.
#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "config/settings_reader.hpp"
#include "maddershed/call_controller.hpp"

namespace maddershed::drill {

/// Input that violates the wire format; the message says what is wrong and at which byte of the frame.
using WireError = InputError;

inline constexpr std::size_t batch_header_bytes = 16;

/// Header of a frame of events.
struct BatchHeader {
  std::uint32_t body_bytes = 0;
  Time now;
  std::uint32_t record_count = 0;
};

/// Starts an instance.
struct Launch {
  std::uint64_t seed = 0;
  std::string settings;  ///< key=value lines
};
/// Ends an instance.
struct Stop {};
/// The end of an attempt. The values of its report are in the order of the columns in the settings.
struct AttemptEndedRaw {
  AttemptEnded event;
  std::vector<float> column_values;
};
/// The report of an exchange, with values as in AttemptEndedRaw.
struct ExchangeReportRaw {
  ExchangeReport event;
  std::vector<float> column_values;
};
using WireEvent = std::variant<Launch, Stop, DirectoryUpdate, CallOffered, CallStands, AttemptEndedRaw,
                               ExchangeReportRaw, CallerLeft, TimerDue, PeerMessage>;

/// One event and the instance that it is for.
struct InstanceEvent {
  std::uint32_t instance = 0;
  WireEvent event;
  std::size_t end_offset = 0;  ///< of its record in the frame, in bytes
};

/// Decodes the header of a frame.
[[nodiscard]] BatchHeader decode_header(std::span<const std::uint8_t, batch_header_bytes> bytes);

/// Decodes frames of events. Keeps the directory lists between frames.
class BatchDecoder {
 public:
  /// Events of the frame in their order. Throws WireError.
  [[nodiscard]] std::vector<InstanceEvent> decode(const BatchHeader& header,
                                                  std::span<const std::uint8_t> body);

 private:
  std::array<std::vector<DirectoryEntry>, 16> directory_lists_;  ///< by their number on the wire
};

/// Encodes the actions of the instances into one frame.
class ReplyEncoder {
 public:
  void add(std::uint32_t instance, const Action& action);
  /// Reports that an instance failed with an exception.
  void add_error(std::uint32_t instance, const std::string& text);
  /// Returns the complete frame with its header; the encoder is empty afterwards.
  [[nodiscard]] std::vector<std::uint8_t> take_frame();

 private:
  /// Writes a record with the instance, unless the previous record is from the same one.
  void write_source(std::uint32_t instance);

  std::vector<std::uint8_t> body_;
  std::uint32_t record_count_ = 0;
  std::uint64_t source_instance_ = ~std::uint64_t{0};  ///< of the last record; initially no instance
};

}  // namespace maddershed::drill
