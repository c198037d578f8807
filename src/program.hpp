// The program: its services on one event loop, from start to shutdown.
#pragma once

#include <csignal>
#include <map>
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

/// Owns the event loop, the network and the services. Handles SIGTERM, SIGINT and SIGHUP.
class Program {
 public:
  explicit Program(EventLog& log);
  void add_service(std::unique_ptr<Service> service) { services_.push_back(std::move(service)); }
  /// Serves until SIGTERM, SIGINT or drain(); returns the exit status.
  int run();
  /// Graceful shutdown: deregisters, accepts requests for a short time more, answers all that it has
  /// accepted, and makes run() return.
  void drain();
  /// Background work is in progress that the end of the process must not wait for.
  [[nodiscard]] bool has_background_work() const;
  /// Each service reads its configuration file again. A service whose file has an error keeps its
  /// configuration.
  void reload();
  void log(LogLevel level, const char* event, const std::vector<LogField>& fields = {});
  /// A sink that calls log(), for parts that do not depend on the program.
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
  void report_dropped_lines();
  void log_totals();
  void log_totals_later();

  EventLog& log_;
  Clock clock_;
  TimerQueue timers_;
  Connections net_;
  Datagrams datagrams_;
  std::vector<std::unique_ptr<Service>> services_;
  std::map<const Service*, std::uint64_t> logged_offers_;  ///< requests offered when the totals were logged
  double started_ms_ = 0;
  double shutdown_deadline_ms_ = 0;
  bool draining_ = false;
  bool dropped_report_pending_ = false;
};

}  // namespace heathturn
