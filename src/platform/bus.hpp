// The event bus: changes to the list of converters, read from the last event on.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "net/connections.hpp"

namespace heathturn {

class EventBus : public ConnectionUser {
 public:
  using Sink = std::function<void(const std::vector<Converter>&, bool whole)>;
  EventBus(Clock& clock, TimerQueue& timers, Connections& net, const Address& at, std::uint64_t offset,
           Sink sink);
  void start();
  /// From now on the bus is there; its numbers go on.
  void move(const Address& to);

  void on_connected(Handle connection) override;
  void on_input(Handle connection, evbuffer* in) override;
  void on_ended(Handle connection, const char* reason) override;

 private:
  bool take(const std::string& frame);
  void expect_word();

  Clock& clock_;
  TimerQueue& timers_;
  Connections& net_;
  Address at_;
  std::uint64_t offset_;
  Sink sink_;
  Handle connection_ = no_handle;
  double retry_ms_ = 0;
  TimerQueue::Key silence_;
};

}  // namespace heathturn
