#include "platform/event_bus_client.hpp"

#include <algorithm>

#include "net/framing.hpp"

namespace heathturn {

using namespace maddershed;

namespace {

// The platform expects an event to have taken effect 7 s after it was published: a dead connection must be
// detected and replaced well within that time.
constexpr double connect_timeout_ms = 500;
constexpr double silence_timeout_ms = 2500;  // the bus sends a frame each second
constexpr double min_reconnect_delay_ms = 20, max_reconnect_delay_ms = 300;
constexpr std::size_t header_bytes = 9, record_bytes = 27;
constexpr std::size_t max_frame_bytes = std::size_t{4} << 20;

}  // namespace

EventBusClient::EventBusClient(Clock& clock, TimerQueue& timers, Connections& net, const Address& address,
                               std::uint64_t offset, ListHandler on_list)
    : clock_(clock),
      timers_(timers),
      net_(net),
      address_(address),
      offset_(offset),
      on_list_(std::move(on_list)) {}

void EventBusClient::start() { connection_ = net_.connect(address_, *this, "bus", connect_timeout_ms); }

void EventBusClient::set_address(const Address& address) {
  if (address == address_) return;
  address_ = address;
  reconnect_delay_ms_ = 0;
  // The bus delivers the missing events at the new address; without a connection, the next attempt uses it.
  if (connection_ != no_handle) net_.close(connection_, reason::withdrawn);
}

void EventBusClient::restart_silence_timer() {
  timers_.cancel(silence_timer_);
  silence_timer_ = timers_.schedule(clock_.now_ms() + silence_timeout_ms, [this] {
    silence_timer_ = {};
    net_.close(connection_, reason::silent);
  });
}

void EventBusClient::on_connected(Handle connection) {
  std::string subscription;
  put_big_endian(subscription, offset_, 8);
  net_.write(connection, subscription);
  restart_silence_timer();
}

void EventBusClient::on_input(Handle connection, evbuffer* in) {
  net_.read_length_prefixed(connection, in, 4, max_frame_bytes, [this](const std::string& frame) {
    // Only a frame resets the delay: a bus that accepts connections and then fails must not be polled in a
    // tight loop.
    reconnect_delay_ms_ = 0;
    restart_silence_timer();
    if (!process_frame(frame)) throw ProtocolError{reason::malformed};
  });
}

void EventBusClient::on_ended(Handle, const char*) {
  timers_.cancel(silence_timer_);
  connection_ = no_handle;
  reconnect_delay_ms_ = std::clamp(2 * reconnect_delay_ms_, min_reconnect_delay_ms, max_reconnect_delay_ms);
  timers_.schedule(clock_.now_ms() + reconnect_delay_ms_, [this] { start(); });
}

bool EventBusClient::process_frame(const std::string& frame) {
  if (frame.empty()) return true;
  if (frame.size() < header_bytes) return false;
  const auto event_number = big_endian(frame, 0, 8);
  const auto kind = big_endian(frame, 8, 1);
  if (kind == 0) return true;
  if (kind > 2 || (frame.size() - header_bytes) % record_bytes != 0) return false;
  std::vector<Converter> converters;
  for (auto position = header_bytes; position < frame.size(); position += record_bytes) {
    Converter converter;
    converter.entry.exchange.value = static_cast<std::uint32_t>(big_endian(frame, position, 4));
    converter.name = exchange_id_text(converter.entry.exchange);
    converter.address.host = static_cast<std::uint32_t>(big_endian(frame, position + 4, 4));
    converter.address.port = static_cast<std::uint16_t>(big_endian(frame, position + 8, 2));
    const auto state_code = big_endian(frame, position + 10, 1);
    if (state_code > 2) return false;
    constexpr ExchangeState state_by_code[] = {ExchangeState::ready, ExchangeState::draining,
                                               ExchangeState::gone};
    converter.entry.state = state_by_code[state_code];
    converter.entry.region = static_cast<std::uint8_t>(big_endian(frame, position + 11, 1));
    converter.entry.number = static_cast<ExchangeNumber>(big_endian(frame, position + 13, 2));
    if (const auto started_at = big_endian(frame, position + 19, 8);
        started_at != 0 && started_at < (1ULL << 50)) {
      converter.entry.started_at = to_time(static_cast<double>(started_at));
    }
    converters.push_back(converter);
  }
  // An event received before must not undo later ones, such as a drain.
  if (event_number < offset_ || (event_number == offset_ && kind == 2)) return true;
  offset_ = std::max(offset_, event_number);
  on_list_(converters, kind == 1);
  return true;
}

}  // namespace heathturn
