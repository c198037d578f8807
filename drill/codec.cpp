#include "codec.hpp"

#include <algorithm>
#include <bit>
#include <concepts>

namespace maddershed::drill {
namespace {

Duration micros(std::uint64_t value) {
  constexpr std::uint64_t most = std::uint64_t{1} << 62;
  return Duration{static_cast<std::int64_t>(std::min(value, most))};
}

class Reader {
 public:
  Reader(std::span<const std::uint8_t> bytes, std::size_t base) : bytes_(bytes), base_(base) {}

  template <std::unsigned_integral T>
  T number() {
    need(sizeof(T));
    T value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i) {
      value = static_cast<T>(value | static_cast<T>(static_cast<T>(bytes_[at_ + i]) << (8 * i)));
    }
    at_ += sizeof(T);
    return value;
  }
  float real() { return std::bit_cast<float>(number<std::uint32_t>()); }
  std::span<const std::uint8_t> take(std::size_t count) {
    need(count);
    const auto part = bytes_.subspan(at_, count);
    at_ += count;
    return part;
  }
  /// Fails unless `count` items of `size` bytes are still there, so that no count is believed unchecked.
  void need(std::size_t count, std::size_t size = 1) const {
    if (count > (bytes_.size() - at_) / size) fail("record runs past the end of the frame");
  }
  [[noreturn]] void fail(const std::string& what) const {
    throw WireError(what + " at byte " + std::to_string(position()));
  }
  [[nodiscard]] std::size_t position() const { return base_ + at_; }
  [[nodiscard]] bool done() const { return at_ == bytes_.size(); }

 private:
  std::span<const std::uint8_t> bytes_;
  std::size_t base_;
  std::size_t at_ = 0;
};

std::string text_of(std::span<const std::uint8_t> bytes) { return {bytes.begin(), bytes.end()}; }

std::vector<DirectoryEntry> read_entries(Reader& in) {
  constexpr std::size_t entry_size = 21;
  const auto count = in.number<std::uint32_t>();
  in.need(count, entry_size);
  std::vector<DirectoryEntry> entries(count);
  for (auto& entry : entries) {
    entry.exchange.value = in.number<std::uint32_t>();
    entry.region = in.number<std::uint8_t>();
    in.number<std::uint8_t>();  // machine kind
    entry.number = in.number<std::uint16_t>();
    switch (in.number<std::uint8_t>()) {
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
        in.fail("unknown state of a directory entry before");
    }
    in.real();  // capacity hint
    if (const auto started = in.number<std::uint64_t>(); started != 0)
      entry.started_at = Time{micros(started)};
  }
  return entries;
}

CallOffered read_call(Reader& in) {
  CallOffered call;
  call.call.value = in.number<std::uint64_t>();
  const auto bits = in.number<std::uint8_t>();
  call.redialled = (bits & 2) != 0;
  call.in_transit = (bits & 8) != 0;
  call.was_cut_off = (bits & 16) != 0;
  call.traffic_class = in.number<std::uint16_t>();
  call.circuits = in.real();
  call.time_left = micros(in.number<std::uint32_t>());
  in.number<std::uint32_t>();  // tenant
  call.destination = to_exchange_number(in.real());
  in.number<std::uint32_t>();  // work expected
  call.called_number = in.number<std::uint64_t>();
  call.tandem = to_exchange_number(in.real());
  return call;
}

std::vector<float> read_figures(Reader& in) {
  const auto count = in.number<std::uint8_t>();
  in.need(count, sizeof(float));
  std::vector<float> figures(count);
  for (auto& figure : figures) figure = in.real();
  return figures;
}

AttemptResult read_result(Reader& in) {
  switch (in.number<std::uint8_t>()) {
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
      in.fail("unknown result before");
  }
}

FailureCause cause_of(std::uint32_t code) {
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
  event.call.value = in.number<std::uint64_t>();
  event.attempt = in.number<std::uint16_t>();
  event.exchange.value = in.number<std::uint32_t>();
  event.result = read_result(in);
  event.elapsed = micros(in.number<std::uint32_t>());
  event.call_finished = in.number<std::uint8_t>() != 0;
  const auto code = in.number<std::uint32_t>();
  event.cause = cause_of(code);
  if (event.cause == FailureCause::processor_full) event.wait_hint = std::chrono::milliseconds{code / 16};
  raw.column_values = read_figures(in);
  return raw;
}

template <std::unsigned_integral T>
void put(std::vector<std::uint8_t>& out, T value) {
  for (std::size_t i = 0; i < sizeof(T); ++i) out.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
}

void put_text(std::vector<std::uint8_t>& out, const std::string& text) {
  const auto length = static_cast<std::uint16_t>(std::min<std::size_t>(text.size(), 65535));
  put(out, length);
  out.insert(out.end(), text.begin(), text.begin() + length);
}

std::uint64_t wire_time(Time time) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, time.since_epoch.count()));
}

struct ActionWriter {
  std::vector<std::uint8_t>& out;

  void code(std::uint8_t value) { put(out, value); }
  void operator()(const SendSetUp& a) {
    code(10), put(out, a.call.value), put(out, wire_time(a.deadline)), put(out, a.exchange.value);
  }
  void operator()(const Refuse& a) {
    const auto wait = std::clamp<std::int64_t>(a.retry_after.count(), 0, 0xffffffffLL);
    code(20), put(out, a.call.value), put(out, static_cast<std::uint32_t>(wait));
  }
  void operator()(const Fail& a) { code(30), put(out, a.call.value); }
  void operator()(const Cancel& a) {
    code(40), put(out, a.call.value), put(out, static_cast<std::uint16_t>(a.attempt));
  }
  void operator()(const SetTimer& a) { code(50), put(out, wire_time(a.due)), put(out, a.token); }
  void operator()(const Probe& a) { code(60), put(out, a.exchange.value); }
  void operator()(const LogLine& a) { code(90), put_text(out, a.text); }
  void operator()(const SubscribeDirectory&) { code(110), put(out, std::uint8_t{1}); }
};

}  // namespace

BatchHeader decode_header(std::span<const std::uint8_t, batch_header_size> bytes) {
  Reader in(bytes, 0);
  BatchHeader header;
  header.length = in.number<std::uint32_t>();
  header.now = Time{micros(in.number<std::uint64_t>())};
  header.records = in.number<std::uint32_t>();
  return header;
}

std::vector<InstanceEvent> BatchDecoder::decode(const BatchHeader& header,
                                                std::span<const std::uint8_t> body) {
  Reader in(body, batch_header_size);
  std::vector<InstanceEvent> events;
  std::optional<std::uint32_t> instance;
  for (std::uint32_t i = 0; i < header.records; ++i) {
    const auto code = in.number<std::uint8_t>();
    if (code == 120) {
      instance = in.number<std::uint32_t>();
      continue;
    }
    if (code == 110) {
      const auto list = in.number<std::uint32_t>();
      if (list >= lists_.size()) in.fail("directory list number out of range before");
      lists_[list] = read_entries(in);
      continue;
    }
    if (!instance) in.fail("event before any instance was named, before");
    WireEvent event;
    switch (code) {
      case 10: {
        Launch launch;
        launch.seed = in.number<std::uint64_t>();
        launch.settings = text_of(in.take(in.number<std::uint32_t>()));
        event = std::move(launch);
        break;
      }
      case 20: {
        const auto mode = in.number<std::uint8_t>();
        in.number<std::uint32_t>();  // version of the list
        const auto list = in.number<std::uint32_t>();
        if (mode > 3) in.fail("unknown kind of directory update before");
        DirectoryUpdate update;
        update.kind = static_cast<DirectoryUpdate::Kind>(mode);
        if (update.kind != DirectoryUpdate::Kind::failed) {
          if (list >= lists_.size()) in.fail("directory list number out of range before");
          update.entries = lists_[list];
        }
        event = std::move(update);
        break;
      }
      case 30:
        event = read_call(in);
        break;
      case 40: {
        CallStands stands;
        stands.call.value = in.number<std::uint64_t>();
        stands.attempt = in.number<std::uint16_t>();
        stands.exchange.value = in.number<std::uint32_t>();
        stands.elapsed = micros(in.number<std::uint32_t>());
        event = stands;
        break;
      }
      case 50:
        event = read_attempt_end(in);
        break;
      case 60:
        event = CallerLeft{CallId{in.number<std::uint64_t>()}};
        break;
      case 70:
        event = TimerDue{in.number<std::uint64_t>()};
        break;
      case 80: {
        ExchangeReportRaw raw;
        raw.event.exchange.value = in.number<std::uint32_t>();
        raw.event.succeeded = in.number<std::uint8_t>() == 10;
        raw.event.elapsed = micros(in.number<std::uint32_t>());
        raw.column_values = read_figures(in);
        event = std::move(raw);
        break;
      }
      case 90: {
        PeerMessage message;
        message.sender = in.number<std::uint16_t>();
        const auto data = in.take(in.number<std::uint16_t>());
        message.data.assign(data.begin(), data.end());
        event = std::move(message);
        break;
      }
      case 100:
        event = Stop{};
        break;
      default:
        in.fail("unknown event code " + std::to_string(code) + " before");
    }
    events.push_back({*instance, std::move(event), in.position()});
  }
  if (!in.done()) in.fail("frame goes on after its last record");
  return events;
}

void ReplyEncoder::name_source(std::uint32_t instance) {
  if (source_ == instance) return;
  source_ = instance;
  put(body_, std::uint8_t{130});
  put(body_, instance);
  ++records_;
}

void ReplyEncoder::add(std::uint32_t instance, const Action& action) {
  name_source(instance);
  std::visit(ActionWriter{body_}, action);
  ++records_;
}

void ReplyEncoder::add_error(std::uint32_t instance, const std::string& text) {
  name_source(instance);
  put(body_, std::uint8_t{100});
  put_text(body_, text);
  ++records_;
}

std::vector<std::uint8_t> ReplyEncoder::take_frame() {
  std::vector<std::uint8_t> frame;
  frame.reserve(body_.size() + 8);
  put(frame, records_);
  put(frame, static_cast<std::uint32_t>(body_.size()));
  frame.insert(frame.end(), body_.begin(), body_.end());
  *this = ReplyEncoder{};
  return frame;
}

}  // namespace maddershed::drill
