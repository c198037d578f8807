// The event loop with its connections in the test's own process, for tests that need output limits or
// outcomes of writes that the whole program cannot be brought to.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "net/connections.hpp"
#include "network_helpers.hpp"

namespace heathturn::test {

/// Runs the event loop on the test's thread, on real sockets and with the real clock.
struct LoopFixture {
  Clock clock;
  TimerQueue timers;
  std::vector<std::string> end_reasons;  ///< of the connections that ended, as logged
  Connections net{clock, timers, [this](LogLevel, const char* event, const std::vector<LogField>& fields) {
                    if (std::string(event) != "connection_ended") return;
                    for (const auto& field : fields) {
                      if (std::string(field.key) == "reason") end_reasons.push_back(field.text);
                    }
                  }};

  /// Runs the event loop until the condition holds, which is checked each millisecond.
  void run_until(const std::function<bool()>& condition) {
    if (!run_until_or_timeout(condition, wait_timeout_ms)) FAIL("the condition does not hold in time");
  }
  void run_for(double duration_ms) {
    (void)run_until_or_timeout([] { return false; }, duration_ms);
  }

 private:
  bool run_until_or_timeout(const std::function<bool()>& condition, double timeout_ms) {
    constexpr double check_interval_ms = 1;
    const double deadline_ms = now_ms() + timeout_ms;
    bool holds = false;
    std::function<void()> check = [&] {
      holds = condition();
      if (holds || now_ms() >= deadline_ms) return net.stop();
      timers.schedule(clock.now_ms() + check_interval_ms, check);
    };
    check();
    net.run();
    return holds;
  }
};

/// Reads what has arrived, without waiting; the peer's end of the connection counts as nothing.
inline std::string read_available(const Socket& socket) {
  std::string bytes(65536, '\0');
  const auto received = ::recv(socket.descriptor(), bytes.data(), bytes.size(), MSG_DONTWAIT);
  bytes.resize(received > 0 ? static_cast<std::size_t>(received) : 0);
  return bytes;
}

}  // namespace heathturn::test
