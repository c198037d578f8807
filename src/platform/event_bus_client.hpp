// The event bus: changes to the list of converters, read from the last event on.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "net/connections.hpp"

namespace heathturn {

class EventBusClient : public ConnectionUser {
 public:
  using ListHandler = std::function<void(const std::vector<Converter>&, bool is_snapshot)>;
  EventBusClient(Clock& clock, TimerQueue& timers, Connections& net, const Address& address,
                 std::uint64_t offset, ListHandler on_list);
  void start();
  /// From now on the bus is there; its numbers go on.
  void set_address(const Address& address);

  void on_connected(Handle connection) override;
  void on_input(Handle connection, evbuffer* in) override;
  void on_ended(Handle connection, const char* reason) override;

 private:
  bool take(const std::string& frame);
  void expect_word();

  Clock& clock_;
  TimerQueue& timers_;
  Connections& net_;
  Address address_;
  std::uint64_t offset_;
  ListHandler on_list_;
  Handle connection_ = no_handle;
  double retry_ms_ = 0;
  TimerQueue::Key silence_;
};

}  // namespace heathturn
