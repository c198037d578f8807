#include "program.hpp"

#include <algorithm>

namespace heathturn {
namespace {

// After SIGTERM new connections arrive for up to 0.4 s, and requests on open connections for 0.2 s more.
constexpr double accept_after_sigterm_ms = 700;
constexpr double shutdown_poll_interval_ms = 20;
constexpr double delivery_delay_ms = 100;
constexpr double dropped_report_interval_ms = 200;
constexpr double totals_interval_ms = 10000;

}  // namespace

Program::Program(EventLog& log)
    : log_(log),
      net_(clock_, timers_, log_sink()),
      datagrams_(net_.base(), log_sink()),
      started_ms_(clock_.now_ms()) {}

LogSink Program::log_sink() {
  return [this](LogLevel level, const char* event, const std::vector<LogField>& fields) {
    log(level, event, fields);
  };
}

void Program::log(LogLevel level, const char* event, const std::vector<LogField>& fields) {
  log_.write(clock_.now_ms(), level, event, fields);
  if (!dropped_report_pending_ && log_.unreported_drops() > 0) report_dropped_lines();
}

/// Logs how many lines were dropped for a slow reader of the log; retries until that reader reads again.
void Program::report_dropped_lines() {
  dropped_report_pending_ = !log_.report_dropped(clock_.now_ms());
  if (dropped_report_pending_)
    timers_.schedule(clock_.now_ms() + dropped_report_interval_ms, [this] { report_dropped_lines(); });
}

int Program::run() {
  std::signal(SIGPIPE, SIG_IGN);  // writing to a closed connection fails that connection, not the process
  std::vector<std::unique_ptr<event, void (*)(event*)>> signals;
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    signals.emplace_back(evsignal_new(
                             net_.base(), signal,
                             [](evutil_socket_t received_signal, short, void* context) {
                               auto& program = *static_cast<Program*>(context);
                               received_signal == SIGHUP ? program.reload() : program.drain();
                             },
                             this),
                         event_free);
    event_add(signals.back().get(), nullptr);
  }
  for (const auto& service : services_) service->start();
  log_totals_later();
  net_.run();
  log_totals();
  log(LogLevel::info, "stopped");
  return 0;
}

/// Logs the totals of each service that had requests since they were logged last.
void Program::log_totals() {
  for (const auto& service : services_) {
    auto& router = service->router();
    const auto& counts = router.counts();
    auto& logged_offers = logged_offers_[service.get()];
    if (counts.offered == logged_offers) continue;
    logged_offers = counts.offered;
    log(LogLevel::info, "totals",
        {{"front", service->kind()},
         {"open", router.pending_count()},
         {"established", router.established_count()},
         {"offered", counts.offered},
         {"served", counts.served},
         {"refused", counts.refused},
         {"failed", counts.failed},
         {"left", counts.abandoned},
         {"cut", counts.cut_off},
         {"attempts", counts.attempts},
         {"retries", counts.retries},
         {"timed_out", counts.timed_out},
         {"reset", counts.reset},
         {"not_sent", counts.not_sent},
         {"rejected", counts.rejected},
         {"unmatched", counts.unmatched}});
  }
}

void Program::log_totals_later() {
  timers_.schedule(clock_.now_ms() + totals_interval_ms, [this] {
    log_totals();
    log_totals_later();
  });
}

void Program::reload() {
  for (const auto& service : services_) {
    service->reload([this, kind = service->kind()](const std::string& error) {
      if (error.empty()) {
        log(LogLevel::info, "configuration_taken", {{"front", kind}});
      } else {
        // A half-written or invalid file must not end the calls in progress.
        log(LogLevel::error, "configuration_kept", {{"front", kind}, {"fault", error}});
      }
    });
  }
}

bool Program::has_background_work() const {
  return std::any_of(services_.begin(), services_.end(),
                     [](const auto& service) { return service->has_background_work(); });
}

void Program::drain() {
  if (draining_) return;
  draining_ = true;
  std::size_t open = 0;
  for (const auto& service : services_) open += service->router().pending_count();
  log(LogLevel::info, "draining", {{"open", open}});
  for (const auto& service : services_) service->deregister();
  timers_.schedule(clock_.now_ms() + accept_after_sigterm_ms, [this] {
    double max_request_ms = 0;
    for (const auto& service : services_) {
      service->refuse_new_requests();
      max_request_ms = std::max(max_request_ms, service->max_request_ms());
    }
    shutdown_deadline_ms_ = clock_.now_ms() + max_request_ms;
    stop_when_done();
  });
}

void Program::stop_when_done() {
  const bool all_answered =
      net_.unsent_bytes() == 0 && std::all_of(services_.begin(), services_.end(), [](const auto& service) {
        return service->router().pending_count() == 0 && !service->deregistering();
      });
  // Closing a connection that has unread input resets it, and the peer may lose what was just written: the
  // last answers get a short time to be delivered.
  if (all_answered) {
    timers_.schedule(clock_.now_ms() + delivery_delay_ms, [this] { net_.stop(); });
    return;
  }
  // A peer that does not read must not keep the process running past the longest deadline.
  if (clock_.now_ms() >= shutdown_deadline_ms_) return net_.stop();
  timers_.schedule(clock_.now_ms() + shutdown_poll_interval_ms, [this] { stop_when_done(); });
}

}  // namespace heathturn
