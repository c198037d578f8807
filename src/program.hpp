// The program: its services on one loop, and its life from start to SIGTERM.
#pragma once

#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/timer_queue.hpp"
#include "log/event_log.hpp"
#include "net/connections.hpp"
#include "net/datagrams.hpp"
#include "service.hpp"

namespace heathturn {

class Program {
 public:
  explicit Program(EventLog& log);
  void add_service(std::unique_ptr<Service> service) { services_.push_back(std::move(service)); }
  /// Serves until SIGTERM, SIGINT or drain(); returns the exit status.
  int run();
  /// Takes work a little longer, answers all that it has taken, and ends.
  void drain();
  /// Something is under way that the end of the process must not wait for.
  [[nodiscard]] bool has_background_work() const;
  /// Each service reads its file again; what cannot be read leaves its service as it was.
  void reload();
  void log(LogLevel level, const char* event, const std::vector<LogField>& fields = {});
  /// The same for parts that know nothing of the program.
  [[nodiscard]] LogSink log_sink();

  [[nodiscard]] Clock& clock() { return clock_; }
  [[nodiscard]] TimerQueue& timers() { return timers_; }
  [[nodiscard]] Connections& net() { return net_; }
  [[nodiscard]] Datagrams& datagrams() { return datagrams_; }
  [[nodiscard]] const std::vector<std::unique_ptr<Service>>& services() const { return services_; }
  [[nodiscard]] bool draining() const { return draining_; }
  [[nodiscard]] double started_ms() const { return started_ms_; }

 private:
  void stop_when_done();
  void tell_dropped();

  EventLog& log_;
  Clock clock_;
  TimerQueue timers_;
  Connections net_;
  Datagrams datagrams_;
  std::vector<std::unique_ptr<Service>> services_;
  double started_ms_ = 0;
  double last_call_ = 0;
  bool draining_ = false;
  bool telling_dropped_ = false;
};

}  // namespace heathturn
