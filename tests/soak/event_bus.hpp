// A stand-in for the event bus, which tells the call router of changes to the list of converters.
#pragma once

#include <algorithm>
#include <map>
#include <vector>

#include "converter.hpp"

namespace heathturn::soak {

/// State codes of converters in the event bus's records.
enum class BusState : std::uint8_t { ready = 0, draining = 1, gone = 2 };

/// Publishes events to its subscribers. It can fall silent, go down, break off within an event and move.
class EventBus {
 public:
  EventBus(EventLoop& loop, RuleChecker& checker) : loop_(loop), checker_(checker) {
    listen();
    send_empty_frames();
  }
  /// Publishes the change of one converter.
  void publish(const Converter& converter, BusState state) {
    std::string record;
    put(record, converter.id, 4);
    put(record, 0x7f000001, 4);
    put(record, static_cast<std::uint64_t>(converter.port), 2);
    put(record, static_cast<std::uint64_t>(state), 1);
    put(record, 0, 2);  // zone, kind
    put(record, static_cast<std::uint64_t>(converter.number), 2);
    put(record, 1000, 4);
    put(record, 0, 8);
    Event event;
    event.bytes = frame(++last_event, 2, record);
    if (state != BusState::ready) {
      event.converter = converter.name();
      // It counts as told some time after the bus could be reached, whether or not it arrives.
      auto& told = checker_.told_ms[event.converter];
      const double due_ms = (down || silent ? 1e18 : now_ms() + told_after_failure_ms);
      told = told == 0 ? due_ms : std::min(told, due_ms);
    }
    events_[last_event] = event;
    for (auto* each : subscribers_) deliver(*each, event);
  }
  void set_silent(bool is_silent) {
    silent = is_silent;
    for (auto* each : subscribers_) each->silent = is_silent;
    if (!is_silent) reachable_again();
  }
  void set_down(bool is_down) {
    if (is_down == down) return;
    down = is_down;
    if (!is_down) {
      listen();
      return reachable_again();
    }
    EventLoop::close(*listener_);
    close_subscribers();
  }
  /// Breaks off within a frame.
  void break_off() {
    for (auto* each : subscribers_) {
      each->send(frame(last_event, 0, "").substr(0, 5));
      EventLoop::flush(*each);
    }
    close_subscribers();
  }
  /// Listens at another port. The old one takes no new connection, and closes the open ones after 1.5 s.
  void move() {
    EventLoop::close(*listener_);
    const auto old = std::exchange(subscribers_, {});
    loop_.after(1500, [old] {
      for (auto* each : old) EventLoop::close(*each);
    });
    port = 0;
    if (!down) listen();
  }
  /// The events are numbered anew for a call router that starts now.
  void restart_numbering() {
    close_subscribers();
    events_.clear();
    last_event = 1;
  }

  int port = 0;
  std::uint64_t last_event = 1;
  bool down = false, silent = false;

 private:
  struct Event {
    std::string bytes;
    std::string converter;  ///< that drains or is gone; empty: none
  };
  static void put(std::string& out, std::uint64_t value, int width) {
    for (int i = width; i-- > 0;) out.push_back(static_cast<char>(value >> (8 * i)));
  }
  static std::string frame(std::uint64_t number, std::uint64_t kind, const std::string& payload) {
    std::string out;
    put(out, 9 + payload.size(), 4);
    put(out, number, 8);
    put(out, kind, 1);
    return out + payload;
  }
  void listen() {
    listener_ = &loop_.listen([this](Connection& connection) { subscribe(connection); }, port);
    port = listener_->port;
  }
  void subscribe(Connection& connection) {
    connection.silent = silent;
    connection.on_input = [this](Connection& from) {
      if (from.input.size() < 8) return;
      std::uint64_t has = 0;
      for (int i = 0; i < 8; ++i) has = has << 8 | static_cast<unsigned char>(from.input[i]);
      from.input.erase(0, 8);
      for (const auto& [number, event] : events_) {
        if (number > has) deliver(from, event);
      }
      subscribers_.push_back(&from);
    };
    connection.on_closed = [this](Connection& from) { std::erase(subscribers_, &from); };
  }
  void deliver(Connection& to, const Event& event) {
    to.send(event.bytes);
    if (event.converter.empty() || to.silent || !to.open()) return;
    auto& told = checker_.told_ms[event.converter];
    told = told == 0 ? now_ms() : std::min(told, now_ms());
  }
  void reachable_again() {
    for (auto& [converter, told] : checker_.told_ms) told = std::min(told, now_ms() + told_after_failure_ms);
  }
  void close_subscribers() {
    for (auto* each : std::exchange(subscribers_, {})) EventLoop::close(*each);
  }
  void send_empty_frames() {
    for (auto* each : subscribers_) each->send(frame(last_event, 0, ""));
    loop_.after(1000, [this] { send_empty_frames(); });
  }

  EventLoop& loop_;
  RuleChecker& checker_;
  EventLoop::Listener* listener_ = nullptr;
  std::vector<Connection*> subscribers_;
  std::map<std::uint64_t, Event> events_;
};

}  // namespace heathturn::soak
