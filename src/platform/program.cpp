#include "platform/program.hpp"

#include <csignal>
#include <cstdio>
#include <memory>

#include "core/router.hpp"
#include "net/connections.hpp"
#include "platform/bus.hpp"
#include "platform/callers.hpp"
#include "platform/converters.hpp"

namespace heathturn {
namespace {

// After SIGTERM new connections keep coming for 0.4 s at most, and requests on open ones for 0.2 s more.
constexpr double door_open_ms = 700;
constexpr double ready_anyway_ms = 1500;  // a converter that does not speak keeps nobody waiting
constexpr double last_poll_ms = 20;

class Program {
 public:
  explicit Program(const Config& config)
      : config_(config),
        net_(clock_, deadlines_, [this](const std::string& text) { log(text); }),
        router_(clock_, deadlines_, config.settings, config.seed),
        converters_(clock_, deadlines_, net_, router_, config_),
        callers_(clock_, deadlines_, net_, router_, config_) {
    router_.set_carrier(converters_);
    router_.set_log([this](const std::string& text) { log(text); });
    converters_.set_stray([this](const std::string& call, int why) { callers_.stray_over(call, why); });
    callers_.set_stray_release(
        [this](const std::string& call, int why) { converters_.release_anywhere(call, why); });
    started_ = clock_.now();
    callers_.set_ready(
        [this] { return converters_.all_heard() || clock_.now() - started_ >= ready_anyway_ms; });
  }

  int run() {
    for (const int signal : {SIGTERM, SIGINT}) {
      signals_.emplace_back(
          evsignal_new(
              net_.base(), signal,
              [](evutil_socket_t, short, void* self) { static_cast<Program*>(self)->terminate(); }, this),
          event_free);
      event_add(signals_.back().get(), nullptr);
    }
    router_.start();
    converters_.update(config_.known, true);
    if (config_.bus) {
      bus_ = std::make_unique<EventBus>(
          clock_, deadlines_, net_, *config_.bus, config_.known_offset,
          [this](const std::vector<Converter>& list, bool whole) { converters_.update(list, whole); });
      bus_->start();
    }
    callers_.listen();
    net_.run();
    log("stopped");
    return 0;
  }

 private:
  void log(const std::string& text) {
    std::printf("%.3f %s %s\n", clock_.now() / 1000, config_.name.c_str(), text.c_str());
    std::fflush(stdout);
  }

  void terminate() {
    if (terminating_) return;
    terminating_ = true;
    log("terminating open=" + std::to_string(router_.open()));
    deadlines_.set(clock_.now() + door_open_ms, [this] {
      callers_.close_door();
      stop_when_done();
    });
  }
  void stop_when_done() {
    if (router_.open() == 0 && net_.unsent() == 0) return net_.stop();
    // A peer that does not read keeps nobody here past the longest deadline.
    if (last_call_ == 0) last_call_ = clock_.now() + config_.longest_give_up_ms;
    if (clock_.now() >= last_call_) return net_.stop();
    deadlines_.set(clock_.now() + last_poll_ms, [this] { stop_when_done(); });
  }

  const Config& config_;
  Clock clock_;
  Deadlines deadlines_;
  Connections net_;
  Router router_;
  Converters converters_;
  Callers callers_;
  std::unique_ptr<EventBus> bus_;
  std::vector<std::unique_ptr<event, void (*)(event*)>> signals_;
  double started_ = 0;
  double last_call_ = 0;
  bool terminating_ = false;
};

}  // namespace

int serve(const Config& config) {
  std::signal(SIGPIPE, SIG_IGN);  // a peer that has gone is an error of that connection, not of the process
  Program program(config);
  return program.run();
}

}  // namespace heathturn
