#include "emulator/handshake_simulation.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace heathturn::emulator {
namespace {

using handshakes::Admission;
using handshakes::Outcome;

constexpr double row_ms = 250;
constexpr double backoff_first = 100, backoff_most = 10000;
constexpr ExchangeId the_converter{1};

/// Events in the order of their times; of the same time, in the order in which they were set.
class Agenda {
 public:
  void at(double time, std::function<void()> what) { events_.push({time, ++last_, std::move(what)}); }
  void run(double until) {
    while (!events_.empty() && events_.top().time <= until) {
      auto next = events_.top();
      events_.pop();
      now = next.time;
      next.what();
    }
    now = until;
  }
  double now = 0;

 private:
  struct Event {
    double time;
    std::uint64_t number;
    std::function<void()> what;
    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : number > other.number;
    }
  };
  std::priority_queue<Event> events_;
  std::uint64_t last_ = 0;
};

/// One processor, one line of work. Pressed too hard it falls over, and comes back cold.
struct Converter {
  double started = 0, free_at = 0, down_until = 0;
  std::uint64_t generation = 1;  ///< of the process
};

struct Connection {
  enum class State { none, handshake, up };
  State state = State::none;
  std::uint64_t number = 0;                        ///< of its latest handshake
  bool asking = false;                             ///< an event that asks again is set
  handshakes::Kind kind = handshakes::Kind::full;  ///< as admitted
};

struct Router {
  std::vector<Connection> connections;
  std::unique_ptr<Admission> admission;
  bool session = false;
  std::uint32_t failures = 0;
  std::deque<double> waiting;  ///< deadlines of calls that wait for a connection
};

class Simulation {
 public:
  Simulation(Strategy strategy, const SimulationSettings& settings)
      : strategy_(strategy), settings_(settings), random_(settings.seed) {}

  SimulationResult run() {
    for (std::uint32_t i = 0; i < settings_.router_count; ++i) {
      auto& router = routers_.emplace_back();
      router.connections.resize(settings_.connections_per_router);
      auto admission_settings = settings_.admission;
      admission_settings.router_count = settings_.router_count;
      admission_settings.connections_per_converter = settings_.connections_per_router;
      admission_settings.full_cost_ms = settings_.full_cost_ms;
      admission_settings.resumed_cost_ms = settings_.resumed_cost_ms;
      admission_settings.start_capacity = settings_.start_capacity;
      admission_settings.cold_time_ms = settings_.cold_time_ms;
      router.admission = std::make_unique<Admission>(admission_settings, random_());
      router.admission->update_converter(the_converter, 0, 0.0);
    }
    // The converter has started just now, and all routers come back at once.
    for (std::uint32_t i = 0; i < settings_.router_count; ++i) {
      for (std::uint32_t k = 0; k < settings_.connections_per_router; ++k)
        agenda_.at(0, [this, i, k] { open(i, k); });
    }
    next_call();
    agenda_.at(settings_.disconnect_at_ms, [this] { cut(); });
    for (double at = 0; at < settings_.duration_ms; at += row_ms)
      agenda_.at(at, [this] { out_.backlog_samples_ms.push_back(backlog()); });
    agenda_.run(settings_.duration_ms);
    return std::move(out_);
  }

 private:
  [[nodiscard]] double backlog() const { return std::max(0.0, converter_.free_at - agenda_.now); }
  [[nodiscard]] bool down() const { return agenda_.now < converter_.down_until; }

  /// Puts work in line; `done` is told whether it came to its end.
  void work(double cost, std::function<void(bool)> done) {
    const double now = agenda_.now;
    const double age = std::max(0.0, now - converter_.started);
    const double capacity =
        settings_.start_capacity +
        (1 - settings_.start_capacity) * std::min(1.0, age / std::max(1.0, settings_.cold_time_ms));
    converter_.free_at = std::max(converter_.free_at, now) + cost / capacity;
    out_.max_backlog_ms = std::max(out_.max_backlog_ms, backlog());
    if (backlog() > settings_.crash_backlog_ms) {
      fall();
      return done(false);
    }
    agenda_.at(converter_.free_at, [this, generation = converter_.generation, done = std::move(done)] {
      done(generation == converter_.generation);
    });
  }

  void fall() {
    ++out_.crashes;
    ++converter_.generation;
    converter_.down_until = agenda_.now + settings_.restart_time_ms;
    converter_.started = converter_.free_at = converter_.down_until;
    for (auto& router : routers_) router.session = false;  // its ticket keys go with it
    cut();
  }

  /// Every connection that is up ends at once.
  void cut() {
    for (std::uint32_t i = 0; i < routers_.size(); ++i) {
      for (std::uint32_t k = 0; k < settings_.connections_per_router; ++k) {
        auto& each = routers_[i].connections[k];
        if (each.state != Connection::State::up) continue;
        each.state = Connection::State::none;
        routers_[i].admission->connection_closed(the_converter, agenda_.now, true);
        agenda_.at(agenda_.now + settings_.connect_time_ms, [this, i, k] { open(i, k); });
      }
    }
  }

  void again(std::uint32_t i, std::uint32_t k, double at) {
    auto& each = routers_[i].connections[k];
    if (each.asking) return;
    each.asking = true;
    agenda_.at(std::max(at, agenda_.now + 0.01), [this, i, k] {
      routers_[i].connections[k].asking = false;
      open(i, k);
    });
  }

  void open(std::uint32_t i, std::uint32_t k) {
    auto& router = routers_[i];
    auto& each = router.connections[k];
    if (each.state != Connection::State::none) return;
    each.kind = handshakes::Kind::full;
    if (strategy_ == Strategy::admission) {
      const auto verdict =
          router.admission->request_handshake(the_converter, agenda_.now, router.session, 1e300);
      if (!verdict.admitted) return again(i, k, verdict.retry_at_ms);
      each.kind = verdict.kind;
    }
    each.state = Connection::State::handshake;
    const auto number = ++each.number;
    const double from = agenda_.now;
    if (down()) {  // refused at once
      agenda_.at(from + 2 * settings_.connect_time_ms,
                 [this, i, k, number, from] { failed(i, k, number, from, Outcome::refused); });
      return;
    }
    agenda_.at(from + settings_.handshake_timeout_ms,
               [this, i, k, number, from] { failed(i, k, number, from, Outcome::timed_out); });
    const bool resumed = router.session;
    agenda_.at(from + settings_.connect_time_ms, [this, i, k, number, from, resumed] {
      if (down()) return failed(i, k, number, from, Outcome::refused);
      work(resumed ? settings_.resumed_cost_ms : settings_.full_cost_ms,
           [this, i, k, number, from, resumed](bool whole) {
             whole ? up(i, k, number, from, resumed) : failed(i, k, number, from, Outcome::reset);
           });
    });
  }

  void up(std::uint32_t i, std::uint32_t k, std::uint64_t number, double from, bool resumed) {
    auto& router = routers_[i];
    auto& each = router.connections[k];
    ++(resumed ? out_.resumed_handshakes : out_.full_handshakes);
    if (each.state != Connection::State::handshake || each.number != number) {
      ++out_.abandoned_handshakes;  // the router has given it up, the converter did not know
      return;
    }
    each.state = Connection::State::up;
    router.session = true;
    router.failures = 0;
    router.admission->handshake_finished(the_converter, agenda_.now, each.kind, Outcome::established, resumed,
                                         agenda_.now - from);
    if (out_.all_connected_at_ms < 0 && std::all_of(routers_.begin(), routers_.end(), connected))
      out_.all_connected_at_ms = agenda_.now;
    auto waiting = std::move(router.waiting);
    router.waiting.clear();
    for (const auto due : waiting) call(i, due);
  }
  static bool connected(const Router& router) {
    return std::any_of(router.connections.begin(), router.connections.end(),
                       [](const auto& each) { return each.state == Connection::State::up; });
  }

  void failed(std::uint32_t i, std::uint32_t k, std::uint64_t number, double from, Outcome ending) {
    auto& router = routers_[i];
    auto& each = router.connections[k];
    if (each.state != Connection::State::handshake || each.number != number) return;
    each.state = Connection::State::none;
    router.admission->handshake_finished(the_converter, agenda_.now, each.kind, ending, false,
                                         agenda_.now - from);
    if (strategy_ == Strategy::admission) return again(i, k, agenda_.now);
    if (strategy_ == Strategy::none) return again(i, k, agenda_.now + 1);
    const double wait =
        std::min(backoff_most, std::ldexp(backoff_first, static_cast<int>(std::min(router.failures++, 10U))));
    again(i, k, agenda_.now + wait);
  }

  // ---- Calls -------------------------------------------------------------------------------------------

  void next_call() {
    const double gap = std::exponential_distribution<double>(settings_.calls_per_second / 1000)(random_);
    agenda_.at(agenda_.now + gap, [this] {
      const auto i = static_cast<std::uint32_t>(random_() % routers_.size());
      ++out_.calls;
      call(i, agenda_.now + settings_.call_timeout_ms);
      next_call();
    });
  }
  void call(std::uint32_t i, double due) {
    if (agenda_.now >= due) return;
    if (!connected(routers_[i])) {
      routers_[i].waiting.push_back(due);
      return;
    }
    // As the decision module does: what the line shows no room for is not sent, it would only be late.
    if (backlog() > settings_.call_timeout_ms / 3) return;
    work(settings_.set_up_cost_ms, [this, due](bool whole) {
      if (whole && agenda_.now <= due) ++out_.answered_in_time;
    });
  }

  Strategy strategy_;
  SimulationSettings settings_;
  std::mt19937_64 random_;
  Agenda agenda_;
  Converter converter_;
  std::vector<Router> routers_;
  SimulationResult out_;
};

}  // namespace

const char* strategy_name(Strategy strategy) {
  switch (strategy) {
    case Strategy::admission:
      return "admission";
    case Strategy::backoff:
      return "backoff";
    case Strategy::none:
      break;
  }
  return "none";
}

SimulationResult simulate_handshakes(Strategy strategy, const SimulationSettings& settings) {
  return Simulation(strategy, settings).run();
}

}  // namespace heathturn::emulator
