// The wire of the drill: frames of bytes to events of instances, and actions of instances to frames.
// It keeps the numbered directory lists that belong to the process; it decides nothing.
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

/// Input that does not follow the wire; the text says what and at which byte of the frame.
using WireError = InputError;

inline constexpr std::size_t batch_header_size = 16;

struct BatchHeader {
  std::uint32_t length = 0;
  Time now;
  std::uint32_t records = 0;
};

struct Launch {
  std::uint64_t seed = 0;
  std::string settings;
};
struct Stop {};
/// An attempt's end or an exchange's report, with its figures still in the order of the settings.
struct AttemptEndedRaw {
  AttemptEnded event;
  std::vector<float> column_values;
};
struct ExchangeReportRaw {
  ExchangeReport event;
  std::vector<float> column_values;
};
using WireEvent = std::variant<Launch, Stop, DirectoryUpdate, CallOffered, CallStands, AttemptEndedRaw,
                               ExchangeReportRaw, CallerLeft, TimerDue, PeerMessage>;

struct InstanceEvent {
  std::uint32_t instance = 0;
  WireEvent event;
  std::size_t end_offset = 0;  ///< byte offset in the frame at which the record ends
};

[[nodiscard]] BatchHeader decode_header(std::span<const std::uint8_t, batch_header_size> bytes);

class BatchDecoder {
 public:
  [[nodiscard]] std::vector<InstanceEvent> decode(const BatchHeader& header,
                                                  std::span<const std::uint8_t> body);

 private:
  std::array<std::vector<DirectoryEntry>, 16> lists_;
};

class ReplyEncoder {
 public:
  void add(std::uint32_t instance, const Action& action);
  void add_error(std::uint32_t instance, const std::string& text);
  /// The whole frame, header first; the encoder is empty afterwards.
  [[nodiscard]] std::vector<std::uint8_t> take_frame();

 private:
  void name_source(std::uint32_t instance);

  std::vector<std::uint8_t> body_;
  std::uint32_t records_ = 0;
  std::uint64_t source_ = ~std::uint64_t{0};
};

}  // namespace maddershed::drill
