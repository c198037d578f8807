#include "program.hpp"

#include <algorithm>
#include <cstdio>

namespace heathturn {
namespace {

// After SIGTERM new connections keep coming for 0.4 s at most, and requests on open ones for 0.2 s more.
constexpr double door_open_ms = 700;
constexpr double last_poll_ms = 20;
constexpr double arrive_ms = 100;

}  // namespace

Program::Program(std::string name)
    : name_(std::move(name)),
      net_(clock_, deadlines_, [this](const std::string& text) { log(text); }),
      datagrams_(net_.base(), [this](const std::string& text) { log(text); }),
      started_(clock_.now()) {}

void Program::log(const std::string& text) {
  std::printf("%.3f %s %s\n", clock_.now() / 1000, name_.c_str(), text.c_str());
  std::fflush(stdout);
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
  log("stopped");
  return 0;
}

void Program::reload() {
  for (const auto& service : services_) {
    try {
      service->reload();
      log(std::string("configuration read again front=") + service->kind());
    } catch (const std::exception& error) {
      // Guards against a file that is half written or wrong: it must not cost the calls in work.
      log(std::string("configuration stays as it was front=") + service->kind() + ": " + error.what());
    }
  }
}

void Program::drain() {
  if (draining_) return;
  draining_ = true;
  std::size_t open = 0;
  for (const auto& service : services_) open += service->router().open();
  log("draining open=" + std::to_string(open));
  for (const auto& service : services_) service->leave();
  deadlines_.set(clock_.now() + door_open_ms, [this] {
    double longest = 0;
    for (const auto& service : services_) {
      service->close_door();
      longest = std::max(longest, service->longest_ms());
    }
    last_call_ = clock_.now() + longest;
    stop_when_done();
  });
}

void Program::stop_when_done() {
  const bool done =
      net_.unsent() == 0 && std::all_of(services_.begin(), services_.end(), [](const auto& each) {
        return each->router().open() == 0 && !each->leaving();
      });
  // Closing with something unread resets the connection, and what was just written may be lost with it: the
  // last answers get a moment to arrive.
  if (done) {
    deadlines_.set(clock_.now() + arrive_ms, [this] { net_.stop(); });
    return;
  }
  // A peer that does not read keeps nobody here past the longest deadline.
  if (clock_.now() >= last_call_) return net_.stop();
  deadlines_.set(clock_.now() + last_poll_ms, [this] { stop_when_done(); });
}

}  // namespace heathturn
