#include "platform/event_bus_client.hpp"

#include <algorithm>

#include "net/framing.hpp"

namespace heathturn {

using namespace maddershed;

namespace {

// What the bus has to tell counts as told 7 s later: a dead connection is noticed and replaced well within.
constexpr double connect_timeout_ms = 500;
constexpr double silent_after_ms = 2500;  // a frame comes each second
constexpr double retry_first_ms = 20, retry_most_ms = 300;
constexpr std::size_t head_size = 9, record_size = 27;
constexpr std::size_t most_frame = std::size_t{4} << 20;

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
  retry_ms_ = 0;
  // What the old one has not told the new one will; without a connection the next try goes there.
  if (connection_ != no_handle) net_.close(connection_, reason::withdrawn);
}

void EventBusClient::expect_word() {
  timers_.cancel(silence_);
  silence_ = timers_.schedule(clock_.now_ms() + silent_after_ms, [this] {
    silence_ = {};
    net_.close(connection_, reason::silent);
  });
}

void EventBusClient::on_connected(Handle connection) {
  std::string hello;
  put_big_endian(hello, offset_, 8);
  net_.write(connection, hello);
  expect_word();
}

void EventBusClient::on_input(Handle connection, evbuffer* in) {
  net_.each_counted(connection, in, 4, most_frame, [this](const std::string& frame) {
    // A bus that takes connections and then fails at once is not asked in a tight loop.
    retry_ms_ = 0;
    expect_word();
    if (!take(frame)) throw Unreadable{reason::malformed};
  });
}

void EventBusClient::on_ended(Handle, const char*) {
  timers_.cancel(silence_);
  connection_ = no_handle;
  retry_ms_ = std::clamp(2 * retry_ms_, retry_first_ms, retry_most_ms);
  timers_.schedule(clock_.now_ms() + retry_ms_, [this] { start(); });
}

bool EventBusClient::take(const std::string& frame) {
  if (frame.empty()) return true;
  if (frame.size() < head_size) return false;
  const auto number = big_endian(frame, 0, 8);
  const auto kind = big_endian(frame, 8, 1);
  if (kind == 0) return true;
  if (kind > 2 || (frame.size() - head_size) % record_size != 0) return false;
  std::vector<Converter> list;
  for (auto at = head_size; at < frame.size(); at += record_size) {
    Converter each;
    each.entry.exchange.value = static_cast<std::uint32_t>(big_endian(frame, at, 4));
    each.name = exchange_text(each.entry.exchange);
    each.address.host = static_cast<std::uint32_t>(big_endian(frame, at + 4, 4));
    each.address.port = static_cast<std::uint16_t>(big_endian(frame, at + 8, 2));
    const auto state = big_endian(frame, at + 10, 1);
    if (state > 2) return false;
    constexpr ExchangeState states[] = {ExchangeState::ready, ExchangeState::draining, ExchangeState::gone};
    each.entry.state = states[state];
    each.entry.region = static_cast<std::uint8_t>(big_endian(frame, at + 11, 1));
    each.entry.number = static_cast<ExchangeNumber>(big_endian(frame, at + 13, 2));
    if (const auto started = big_endian(frame, at + 19, 8); started != 0 && started < (1ULL << 50)) {
      each.entry.started_at = to_time(static_cast<double>(started));
    }
    list.push_back(each);
  }
  // Heard already: an older list must not bring back what has drained since.
  if (number < offset_ || (number == offset_ && kind == 2)) return true;
  offset_ = std::max(offset_, number);
  on_list_(list, kind == 1);
  return true;
}

}  // namespace heathturn
