#include "program.hpp"

#include <algorithm>

namespace heathturn {
namespace {

// After SIGTERM new connections keep coming for 0.4 s at most, and requests on open ones for 0.2 s more.
constexpr double door_open_ms = 700;
constexpr double last_poll_ms = 20;
constexpr double arrive_ms = 100;
constexpr double tell_dropped_ms = 200;

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
  if (!telling_dropped_ && log_.untold() > 0) tell_dropped();
}

/// Lines were lost to a slow reader: said once it reads on.
void Program::tell_dropped() {
  telling_dropped_ = !log_.tell_dropped(clock_.now_ms());
  if (telling_dropped_) timers_.schedule(clock_.now_ms() + tell_dropped_ms, [this] { tell_dropped(); });
}

int Program::run() {
  std::signal(SIGPIPE, SIG_IGN);  // a peer that has gone is an error of that connection, not of the process
  std::vector<std::unique_ptr<event, void (*)(event*)>> signals;
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    signals.emplace_back(evsignal_new(
                             net_.base(), signal,
                             [](evutil_socket_t got, short, void* self) {
                               auto& program = *static_cast<Program*>(self);
                               got == SIGHUP ? program.reload() : program.drain();
                             },
                             this),
                         event_free);
    event_add(signals.back().get(), nullptr);
  }
  for (const auto& service : services_) service->start();
  net_.run();
  log(LogLevel::info, "stopped");
  return 0;
}

void Program::reload() {
  for (const auto& service : services_) {
    service->reload([this, kind = service->kind()](const std::string& fault) {
      if (fault.empty()) {
        log(LogLevel::info, "configuration_taken", {{"front", kind}});
      } else {
        // Guards against a file that is half written or wrong: it must not cost the calls in work.
        log(LogLevel::error, "configuration_kept", {{"front", kind}, {"fault", fault}});
      }
    });
  }
}

bool Program::has_background_work() const {
  return std::any_of(services_.begin(), services_.end(),
                     [](const auto& each) { return each->has_background_work(); });
}

void Program::drain() {
  if (draining_) return;
  draining_ = true;
  std::size_t open = 0;
  for (const auto& service : services_) open += service->router().pending_count();
  log(LogLevel::info, "draining", {{"open", open}});
  for (const auto& service : services_) service->deregister();
  timers_.schedule(clock_.now_ms() + door_open_ms, [this] {
    double longest = 0;
    for (const auto& service : services_) {
      service->refuse_new_requests();
      longest = std::max(longest, service->max_request_ms());
    }
    last_call_ = clock_.now_ms() + longest;
    stop_when_done();
  });
}

void Program::stop_when_done() {
  const bool done =
      net_.unsent() == 0 && std::all_of(services_.begin(), services_.end(), [](const auto& each) {
        return each->router().pending_count() == 0 && !each->deregistering();
      });
  // Closing with something unread resets the connection, and what was just written may be lost with it: the
  // last answers get a moment to arrive.
  if (done) {
    timers_.schedule(clock_.now_ms() + arrive_ms, [this] { net_.stop(); });
    return;
  }
  // A peer that does not read keeps nobody here past the longest deadline.
  if (clock_.now_ms() >= last_call_) return net_.stop();
  timers_.schedule(clock_.now_ms() + last_poll_ms, [this] { stop_when_done(); });
}

}  // namespace heathturn
