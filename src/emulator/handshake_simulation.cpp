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

constexpr double sample_interval_ms = 250;
constexpr double initial_backoff_ms = 100, max_backoff_ms = 10000;  // of Strategy::backoff
constexpr ExchangeId converter_id{1};

/// Runs scheduled events in order of time; events of the same time run in the order of scheduling.
class EventQueue {
 public:
  /// Times in ms of the simulation.
  void schedule(double time_ms, std::function<void()> action) {
    events_.push({time_ms, ++last_sequence_, std::move(action)});
  }
  /// Runs all events up to and including that time.
  void run(double until_ms) {
    while (!events_.empty() && events_.top().time_ms <= until_ms) {
      auto next = events_.top();
      events_.pop();
      now_ms = next.time_ms;
      next.action();
    }
    now_ms = until_ms;
  }
  double now_ms = 0;

 private:
  struct Event {
    double time_ms;
    std::uint64_t sequence;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return time_ms != other.time_ms ? time_ms > other.time_ms : sequence > other.sequence;
    }
  };
  std::priority_queue<Event> events_;
  std::uint64_t last_sequence_ = 0;
};

/// A converter with one processor and one queue of work. It crashes when the backlog is too long, and has
/// only a part of its capacity after its restart.
struct Converter {
  double started_ms = 0, idle_at_ms = 0, down_until_ms = 0;
  std::uint64_t process_generation = 1;  ///< incremented by each crash
};

/// A connection that a router keeps to the converter, reopened whenever it ends.
struct Connection {
  enum class State { closed, handshaking, established };
  State state = State::closed;
  std::uint64_t handshake_number = 0;  ///< of its latest handshake
  bool retry_scheduled = false;
  handshakes::Kind admitted_kind = handshakes::Kind::full;  ///< expected at the start of the handshake
};

/// A call router, as far as its connections to the converter go.
struct Router {
  std::vector<Connection> connections;
  std::unique_ptr<Admission> admission;
  bool has_session = false;  ///< it can offer to resume a session
  std::uint32_t failures = 0;
  std::deque<double> waiting_deadlines_ms;  ///< of calls that wait for a connection
};

/// One run of the simulation.
class Simulation {
 public:
  Simulation(Strategy strategy, const SimulationSettings& settings)
      : strategy_(strategy), settings_(settings), random_(settings.seed) {}

  SimulationResult run() {
    for (std::uint32_t router_index = 0; router_index < settings_.router_count; ++router_index) {
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
      router.admission->update_converter(converter_id, 0, 0.0);
    }
    // The converter has just started, and all routers reconnect at the same time.
    for (std::uint32_t router_index = 0; router_index < settings_.router_count; ++router_index) {
      for (std::uint32_t connection_index = 0; connection_index < settings_.connections_per_router;
           ++connection_index)
        event_queue_.schedule(
            0, [this, router_index, connection_index] { open_connection(router_index, connection_index); });
    }
    schedule_next_call();
    event_queue_.schedule(settings_.disconnect_at_ms, [this] { disconnect_all(); });
    for (double time_ms = 0; time_ms < settings_.duration_ms; time_ms += sample_interval_ms)
      event_queue_.schedule(time_ms, [this] { result_.backlog_samples_ms.push_back(backlog_ms()); });
    event_queue_.run(settings_.duration_ms);
    return std::move(result_);
  }

 private:
  [[nodiscard]] double backlog_ms() const {
    return std::max(0.0, converter_.idle_at_ms - event_queue_.now_ms);
  }
  [[nodiscard]] bool is_down() const { return event_queue_.now_ms < converter_.down_until_ms; }

  /// Queues work on the converter. `done` gets whether the work was completed; a crash loses it.
  void add_work(double cost_ms, std::function<void(bool)> done) {
    const double now_ms = event_queue_.now_ms;
    const double age_ms = std::max(0.0, now_ms - converter_.started_ms);
    const double capacity =
        settings_.start_capacity +
        (1 - settings_.start_capacity) * std::min(1.0, age_ms / std::max(1.0, settings_.cold_time_ms));
    converter_.idle_at_ms = std::max(converter_.idle_at_ms, now_ms) + cost_ms / capacity;
    result_.max_backlog_ms = std::max(result_.max_backlog_ms, backlog_ms());
    if (backlog_ms() > settings_.crash_backlog_ms) {
      crash();
      return done(false);
    }
    event_queue_.schedule(converter_.idle_at_ms,
                          [this, generation = converter_.process_generation, done = std::move(done)] {
                            done(generation == converter_.process_generation);
                          });
  }

  /// Ends the converter's process: all queued work and sessions are lost, and it is down until its restart.
  void crash() {
    ++result_.crashes;
    ++converter_.process_generation;
    converter_.down_until_ms = event_queue_.now_ms + settings_.restart_time_ms;
    converter_.started_ms = converter_.idle_at_ms = converter_.down_until_ms;
    for (auto& router : routers_) router.has_session = false;  // the ticket keys are lost with the process
    disconnect_all();
  }

  /// Ends all established connections at the same time.
  void disconnect_all() {
    for (std::uint32_t router_index = 0; router_index < routers_.size(); ++router_index) {
      for (std::uint32_t connection_index = 0; connection_index < settings_.connections_per_router;
           ++connection_index) {
        auto& connection = routers_[router_index].connections[connection_index];
        if (connection.state != Connection::State::established) continue;
        connection.state = Connection::State::closed;
        routers_[router_index].admission->connection_closed(converter_id, event_queue_.now_ms, true);
        event_queue_.schedule(
            event_queue_.now_ms + settings_.connect_time_ms,
            [this, router_index, connection_index] { open_connection(router_index, connection_index); });
      }
    }
  }

  void schedule_retry(std::uint32_t router_index, std::uint32_t connection_index, double retry_at_ms) {
    auto& connection = routers_[router_index].connections[connection_index];
    if (connection.retry_scheduled) return;
    connection.retry_scheduled = true;
    event_queue_.schedule(std::max(retry_at_ms, event_queue_.now_ms + 0.01),
                          [this, router_index, connection_index] {
                            routers_[router_index].connections[connection_index].retry_scheduled = false;
                            open_connection(router_index, connection_index);
                          });
  }

  /// Starts a handshake, or schedules a retry when the admission defers it.
  void open_connection(std::uint32_t router_index, std::uint32_t connection_index) {
    auto& router = routers_[router_index];
    auto& connection = router.connections[connection_index];
    if (connection.state != Connection::State::closed) return;
    connection.admitted_kind = handshakes::Kind::full;
    if (strategy_ == Strategy::admission) {
      const auto decision =
          router.admission->request_handshake(converter_id, event_queue_.now_ms, router.has_session, 1e300);
      if (!decision.admitted) return schedule_retry(router_index, connection_index, decision.retry_at_ms);
      connection.admitted_kind = decision.kind;
    }
    connection.state = Connection::State::handshaking;
    const auto number = ++connection.handshake_number;
    const double started_ms = event_queue_.now_ms;
    if (is_down()) {  // the connection is refused after one round trip
      event_queue_.schedule(started_ms + 2 * settings_.connect_time_ms, [this, router_index, connection_index,
                                                                         number, started_ms] {
        fail_handshake(router_index, connection_index, number, started_ms, Outcome::refused);
      });
      return;
    }
    event_queue_.schedule(started_ms + settings_.handshake_timeout_ms, [this, router_index, connection_index,
                                                                        number, started_ms] {
      fail_handshake(router_index, connection_index, number, started_ms, Outcome::timed_out);
    });
    const bool resumed = router.has_session;
    event_queue_.schedule(started_ms + settings_.connect_time_ms, [this, router_index, connection_index,
                                                                   number, started_ms, resumed] {
      if (is_down())
        return fail_handshake(router_index, connection_index, number, started_ms, Outcome::refused);
      add_work(resumed ? settings_.resumed_cost_ms : settings_.full_cost_ms,
               [this, router_index, connection_index, number, started_ms, resumed](bool completed) {
                 completed
                     ? complete_handshake(router_index, connection_index, number, started_ms, resumed)
                     : fail_handshake(router_index, connection_index, number, started_ms, Outcome::reset);
               });
    });
  }

  void complete_handshake(std::uint32_t router_index, std::uint32_t connection_index, std::uint64_t number,
                          double started_ms, bool resumed) {
    auto& router = routers_[router_index];
    auto& connection = router.connections[connection_index];
    ++(resumed ? result_.resumed_handshakes : result_.full_handshakes);
    if (connection.state != Connection::State::handshaking || connection.handshake_number != number) {
      ++result_.abandoned_handshakes;  // the router has given up without the converter noticing
      return;
    }
    connection.state = Connection::State::established;
    router.has_session = true;
    router.failures = 0;
    router.admission->handshake_finished(converter_id, event_queue_.now_ms, connection.admitted_kind,
                                         Outcome::established, resumed, event_queue_.now_ms - started_ms);
    if (result_.all_connected_at_ms < 0 && std::all_of(routers_.begin(), routers_.end(), has_connection))
      result_.all_connected_at_ms = event_queue_.now_ms;
    auto deadlines = std::move(router.waiting_deadlines_ms);
    router.waiting_deadlines_ms.clear();
    for (const auto deadline_ms : deadlines) place_call(router_index, deadline_ms);
  }
  static bool has_connection(const Router& router) {
    return std::any_of(router.connections.begin(), router.connections.end(), [](const auto& connection) {
      return connection.state == Connection::State::established;
    });
  }

  void fail_handshake(std::uint32_t router_index, std::uint32_t connection_index, std::uint64_t number,
                      double started_ms, Outcome outcome) {
    auto& router = routers_[router_index];
    auto& connection = router.connections[connection_index];
    if (connection.state != Connection::State::handshaking || connection.handshake_number != number) return;
    connection.state = Connection::State::closed;
    router.admission->handshake_finished(converter_id, event_queue_.now_ms, connection.admitted_kind, outcome,
                                         false, event_queue_.now_ms - started_ms);
    if (strategy_ == Strategy::admission)
      return schedule_retry(router_index, connection_index, event_queue_.now_ms);
    if (strategy_ == Strategy::none)
      return schedule_retry(router_index, connection_index, event_queue_.now_ms + 1);
    const double delay_ms = std::min(
        max_backoff_ms, std::ldexp(initial_backoff_ms, static_cast<int>(std::min(router.failures++, 10U))));
    schedule_retry(router_index, connection_index, event_queue_.now_ms + delay_ms);
  }

  // ---- Calls -------------------------------------------------------------------------------------------

  /// Calls arrive as a Poisson process, each at a random router.
  void schedule_next_call() {
    const double gap_ms = std::exponential_distribution<double>(settings_.calls_per_second / 1000)(random_);
    event_queue_.schedule(event_queue_.now_ms + gap_ms, [this] {
      const auto router_index = static_cast<std::uint32_t>(random_() % routers_.size());
      ++result_.calls;
      place_call(router_index, event_queue_.now_ms + settings_.call_timeout_ms);
      schedule_next_call();
    });
  }
  void place_call(std::uint32_t router_index, double deadline_ms) {
    if (event_queue_.now_ms >= deadline_ms) return;
    if (!has_connection(routers_[router_index])) {
      routers_[router_index].waiting_deadlines_ms.push_back(deadline_ms);
      return;
    }
    // Like the decision module, it does not send a set-up that the backlog would make late.
    if (backlog_ms() > settings_.call_timeout_ms / 3) return;
    add_work(settings_.set_up_cost_ms, [this, deadline_ms](bool completed) {
      if (completed && event_queue_.now_ms <= deadline_ms) ++result_.answered_in_time;
    });
  }

  Strategy strategy_;
  SimulationSettings settings_;
  std::mt19937_64 random_;
  EventQueue event_queue_;
  Converter converter_;
  std::vector<Router> routers_;
  SimulationResult result_;
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
