#include "codec.hpp"

#include <algorithm>
#include <bit>
#include <concepts>

namespace maddershed::drill {
namespace {

Duration microseconds(std::uint64_t value) {
  constexpr std::uint64_t max_microseconds = std::uint64_t{1} << 62;
  return Duration{static_cast<std::int64_t>(std::min(value, max_microseconds))};
}

/// Reads little-endian values from the body of a frame; throws WireError past its end.
class Reader {
 public:
  /// `base_offset`: offset of `bytes` in the frame.
  Reader(std::span<const std::uint8_t> bytes, std::size_t base_offset)
      : bytes_(bytes), base_offset_(base_offset) {}

  template <std::unsigned_integral T>
  T read_unsigned() {
    require(sizeof(T));
    T value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i) {
      value = static_cast<T>(value | static_cast<T>(static_cast<T>(bytes_[offset_ + i]) << (8 * i)));
    }
    offset_ += sizeof(T);
    return value;
  }
  float read_float() { return std::bit_cast<float>(read_unsigned<std::uint32_t>()); }
  std::span<const std::uint8_t> read_bytes(std::size_t count) {
    require(count);
    const auto part = bytes_.subspan(offset_, count);
    offset_ += count;
    return part;
  }
  /// Fails unless `count` items of `size` bytes remain. Checks a count before memory is allocated for it.
  void require(std::size_t count, std::size_t size = 1) const {
    if (count > (bytes_.size() - offset_) / size) fail("record extends past the end of the frame");
  }
  [[noreturn]] void fail(const std::string& message) const {
    throw WireError(message + ", read up to byte " + std::to_string(frame_offset()));
  }
  [[nodiscard]] std::size_t frame_offset() const { return base_offset_ + offset_; }
  [[nodiscard]] bool at_end() const { return offset_ == bytes_.size(); }

 private:
  std::span<const std::uint8_t> bytes_;
  std::size_t base_offset_;
  std::size_t offset_ = 0;
};

std::string to_text(std::span<const std::uint8_t> bytes) { return {bytes.begin(), bytes.end()}; }

std::vector<DirectoryEntry> read_entries(Reader& in) {
  constexpr std::size_t entry_bytes = 21;
  const auto count = in.read_unsigned<std::uint32_t>();
  in.require(count, entry_bytes);
  std::vector<DirectoryEntry> entries(count);
  for (auto& entry : entries) {
    entry.exchange.value = in.read_unsigned<std::uint32_t>();
    entry.region = in.read_unsigned<std::uint8_t>();
    in.read_unsigned<std::uint8_t>();  // machine kind
    entry.number = in.read_unsigned<std::uint16_t>();
    switch (in.read_unsigned<std::uint8_t>()) {
      case 0:
        entry.state = ExchangeState::gone;
        break;
      case 1:
        entry.state = ExchangeState::ready;
        break;
      case 2:
        entry.state = ExchangeState::draining;
        break;
      default:
        in.fail("unknown state of a directory entry");
    }
    in.read_float();  // capacity hint
    if (const auto started = in.read_unsigned<std::uint64_t>(); started != 0)
      entry.started_at = Time{microseconds(started)};
  }
  return entries;
}

CallOffered read_call(Reader& in) {
  CallOffered call;
  call.call.value = in.read_unsigned<std::uint64_t>();
  const auto flags = in.read_unsigned<std::uint8_t>();
  call.redialled = (flags & 2) != 0;
  call.in_transit = (flags & 8) != 0;
  call.was_cut_off = (flags & 16) != 0;
  call.traffic_class = in.read_unsigned<std::uint16_t>();
  call.circuits = in.read_float();
  call.time_left = microseconds(in.read_unsigned<std::uint32_t>());
  in.read_unsigned<std::uint32_t>();  // tenant
  call.destination = to_exchange_number(in.read_float());
  in.read_unsigned<std::uint32_t>();  // expected work
  call.called_number = in.read_unsigned<std::uint64_t>();
  call.tandem = to_exchange_number(in.read_float());
  return call;
}

std::vector<float> read_column_values(Reader& in) {
  const auto count = in.read_unsigned<std::uint8_t>();
  in.require(count, sizeof(float));
  std::vector<float> values(count);
  for (auto& value : values) value = in.read_float();
  return values;
}

AttemptResult read_result(Reader& in) {
  switch (in.read_unsigned<std::uint8_t>()) {
    case 10:
      return AttemptResult::ended;
    case 20:
      return AttemptResult::error;
    case 30:
      return AttemptResult::not_set_up;
    case 40:
      return AttemptResult::timed_out;
    case 50:
      return AttemptResult::connect_failed;
    case 60:
      return AttemptResult::reset;
    case 70:
      return AttemptResult::cancelled;
    case 80:
      return AttemptResult::not_sent;
    default:
      in.fail("unknown result of an attempt");
  }
}

FailureCause to_failure_cause(std::uint32_t code) {
  switch (code % 16) {
    case 1:
      return FailureCause::no_circuit;
    case 2:
      return code == 18 ? FailureCause::destination_processor_full : FailureCause::tandem_refused;
    case 3:
      return FailureCause::processor_full;
    case 4:
      return FailureCause::number_busy;
    default:
      return FailureCause::none;
  }
}

AttemptEndedRaw read_attempt_end(Reader& in) {
  AttemptEndedRaw raw;
  auto& event = raw.event;
  event.call.value = in.read_unsigned<std::uint64_t>();
  event.attempt = in.read_unsigned<std::uint16_t>();
  event.exchange.value = in.read_unsigned<std::uint32_t>();
  event.result = read_result(in);
  event.elapsed = microseconds(in.read_unsigned<std::uint32_t>());
  event.call_finished = in.read_unsigned<std::uint8_t>() != 0;
  const auto code = in.read_unsigned<std::uint32_t>();
  event.cause = to_failure_cause(code);
  if (event.cause == FailureCause::processor_full) event.wait_hint = std::chrono::milliseconds{code / 16};
  raw.column_values = read_column_values(in);
  return raw;
}

template <std::unsigned_integral T>
void append(std::vector<std::uint8_t>& out, T value) {
  for (std::size_t i = 0; i < sizeof(T); ++i) out.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
}

void append_text(std::vector<std::uint8_t>& out, const std::string& text) {
  const auto length = static_cast<std::uint16_t>(std::min<std::size_t>(text.size(), 65535));
  append(out, length);
  out.insert(out.end(), text.begin(), text.begin() + length);
}

std::uint64_t to_wire_time(Time time) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, time.since_epoch.count()));
}

/// Appends the record of an action.
struct ActionWriter {
  std::vector<std::uint8_t>& out;

  void append_code(std::uint8_t value) { append(out, value); }
  void operator()(const SendSetUp& action) {
    append_code(10), append(out, action.call.value), append(out, to_wire_time(action.deadline)),
        append(out, action.exchange.value);
  }
  void operator()(const Refuse& action) {
    const auto wait = std::clamp<std::int64_t>(action.retry_after.count(), 0, 0xffffffffLL);
    append_code(20), append(out, action.call.value), append(out, static_cast<std::uint32_t>(wait));
  }
  void operator()(const Fail& action) { append_code(30), append(out, action.call.value); }
  void operator()(const Cancel& action) {
    append_code(40), append(out, action.call.value), append(out, static_cast<std::uint16_t>(action.attempt));
  }
  void operator()(const SetTimer& action) {
    append_code(50), append(out, to_wire_time(action.due)), append(out, action.token);
  }
  void operator()(const Probe& action) { append_code(60), append(out, action.exchange.value); }
  void operator()(const LogLine& action) { append_code(90), append_text(out, action.text); }
  void operator()(const SubscribeDirectory&) { append_code(110), append(out, std::uint8_t{1}); }
};

}  // namespace

BatchHeader decode_header(std::span<const std::uint8_t, batch_header_bytes> bytes) {
  Reader in(bytes, 0);
  BatchHeader header;
  header.body_bytes = in.read_unsigned<std::uint32_t>();
  header.now = Time{microseconds(in.read_unsigned<std::uint64_t>())};
  header.record_count = in.read_unsigned<std::uint32_t>();
  return header;
}

std::vector<InstanceEvent> BatchDecoder::decode(const BatchHeader& header,
                                                std::span<const std::uint8_t> body) {
  Reader in(body, batch_header_bytes);
  std::vector<InstanceEvent> events;
  std::optional<std::uint32_t> instance;
  for (std::uint32_t i = 0; i < header.record_count; ++i) {
    const auto code = in.read_unsigned<std::uint8_t>();
    if (code == 120) {
      instance = in.read_unsigned<std::uint32_t>();
      continue;
    }
    if (code == 110) {
      const auto list = in.read_unsigned<std::uint32_t>();
      if (list >= directory_lists_.size()) in.fail("directory list number out of range");
      directory_lists_[list] = read_entries(in);
      continue;
    }
    if (!instance) in.fail("event before the first record that names an instance");
    WireEvent event;
    switch (code) {
      case 10: {
        Launch launch;
        launch.seed = in.read_unsigned<std::uint64_t>();
        launch.settings = to_text(in.read_bytes(in.read_unsigned<std::uint32_t>()));
        event = std::move(launch);
        break;
      }
      case 20: {
        const auto mode = in.read_unsigned<std::uint8_t>();
        in.read_unsigned<std::uint32_t>();  // version of the list
        const auto list = in.read_unsigned<std::uint32_t>();
        if (mode > 3) in.fail("unknown kind of directory update");
        DirectoryUpdate update;
        update.kind = static_cast<DirectoryUpdate::Kind>(mode);
        if (update.kind != DirectoryUpdate::Kind::failed) {
          if (list >= directory_lists_.size()) in.fail("directory list number out of range");
          update.entries = directory_lists_[list];
        }
        event = std::move(update);
        break;
      }
      case 30:
        event = read_call(in);
        break;
      case 40: {
        CallStands stands;
        stands.call.value = in.read_unsigned<std::uint64_t>();
        stands.attempt = in.read_unsigned<std::uint16_t>();
        stands.exchange.value = in.read_unsigned<std::uint32_t>();
        stands.elapsed = microseconds(in.read_unsigned<std::uint32_t>());
        event = stands;
        break;
      }
      case 50:
        event = read_attempt_end(in);
        break;
      case 60:
        event = CallerLeft{CallId{in.read_unsigned<std::uint64_t>()}};
        break;
      case 70:
        event = TimerDue{in.read_unsigned<std::uint64_t>()};
        break;
      case 80: {
        ExchangeReportRaw raw;
        raw.event.exchange.value = in.read_unsigned<std::uint32_t>();
        raw.event.succeeded = in.read_unsigned<std::uint8_t>() == 10;
        raw.event.elapsed = microseconds(in.read_unsigned<std::uint32_t>());
        raw.column_values = read_column_values(in);
        event = std::move(raw);
        break;
      }
      case 90: {
        PeerMessage message;
        message.sender = in.read_unsigned<std::uint16_t>();
        const auto data = in.read_bytes(in.read_unsigned<std::uint16_t>());
        message.data.assign(data.begin(), data.end());
        event = std::move(message);
        break;
      }
      case 100:
        event = Stop{};
        break;
      default:
        in.fail("unknown event code " + std::to_string(code) + " in a record");
    }
    events.push_back({*instance, std::move(event), in.frame_offset()});
  }
  if (!in.at_end()) in.fail("frame continues after its last record");
  return events;
}

void ReplyEncoder::write_source(std::uint32_t instance) {
  if (source_instance_ == instance) return;
  source_instance_ = instance;
  append(body_, std::uint8_t{130});
  append(body_, instance);
  ++record_count_;
}

void ReplyEncoder::add(std::uint32_t instance, const Action& action) {
  write_source(instance);
  std::visit(ActionWriter{body_}, action);
  ++record_count_;
}

void ReplyEncoder::add_error(std::uint32_t instance, const std::string& text) {
  write_source(instance);
  append(body_, std::uint8_t{100});
  append_text(body_, text);
  ++record_count_;
}

std::vector<std::uint8_t> ReplyEncoder::take_frame() {
  std::vector<std::uint8_t> frame;
  frame.reserve(body_.size() + 8);
  append(frame, record_count_);
  append(frame, static_cast<std::uint32_t>(body_.size()));
  frame.insert(frame.end(), body_.begin(), body_.end());
  *this = ReplyEncoder{};
  return frame;
}

}  // namespace maddershed::drill
