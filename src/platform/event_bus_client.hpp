// Client of the platform's event bus, which delivers changes to the list of converters.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "config/platform_config.hpp"
#include "net/connections.hpp"

namespace heathturn {

/// Subscribes to the event bus, reconnects when the connection ends or falls silent, and continues after the
/// last event received.
class EventBusClient : public ConnectionHandler {
 public:
  /// Gets the converters of an event: all of them in a snapshot, otherwise the changed ones.
  using ListHandler = std::function<void(const std::vector<Converter>&, bool is_snapshot)>;
  /// `offset`: number of the last event already known.
  EventBusClient(Clock& clock, TimerQueue& timers, Connections& net, const Address& address,
                 std::uint64_t offset, ListHandler on_list);
  void start();
  /// The bus has moved to this address and continues its event numbers.
  void set_address(const Address& address);

  void on_connected(Handle connection) override;
  void on_input(Handle connection, evbuffer* in) override;
  void on_ended(Handle connection, const char* reason) override;

 private:
  bool process_frame(const std::string& frame);
  void restart_silence_timer();

  Clock& clock_;
  TimerQueue& timers_;
  Connections& net_;
  Address address_;
  std::uint64_t offset_;
  ListHandler on_list_;
  Handle connection_ = no_handle;
  double reconnect_delay_ms_ = 0;
  TimerQueue::Key silence_timer_;
};

}  // namespace heathturn
