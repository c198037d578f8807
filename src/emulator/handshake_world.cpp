#include "emulator/handshake_world.hpp"

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

class World {
 public:
  World(Way way, const HandshakePlan& plan) : way_(way), plan_(plan), random_(plan.seed) {}

  HandshakeResult run() {
    for (std::uint32_t i = 0; i < plan_.routers; ++i) {
      auto& router = routers_.emplace_back();
      router.connections.resize(plan_.connections);
      auto settings = plan_.admission;
      settings.router_count = plan_.routers;
      settings.connections_per_converter = plan_.connections;
      settings.full_cost_ms = plan_.full_cost;
      settings.resumed_cost_ms = plan_.resumed_cost;
      settings.start_capacity = plan_.start_capacity;
      settings.cold_time_ms = plan_.cold_time;
      router.admission = std::make_unique<Admission>(settings, random_());
      router.admission->update_converter(the_converter, 0, 0.0);
    }
    // The converter has started just now, and all routers come back at once.
    for (std::uint32_t i = 0; i < plan_.routers; ++i) {
      for (std::uint32_t k = 0; k < plan_.connections; ++k) agenda_.at(0, [this, i, k] { open(i, k); });
    }
    next_call();
    agenda_.at(plan_.cut_at, [this] { cut(); });
    for (double at = 0; at < plan_.length; at += row_ms)
      agenda_.at(at, [this] { out_.backlog.push_back(backlog()); });
    agenda_.run(plan_.length);
    return std::move(out_);
  }

 private:
  [[nodiscard]] double backlog() const { return std::max(0.0, converter_.free_at - agenda_.now); }
  [[nodiscard]] bool down() const { return agenda_.now < converter_.down_until; }

  /// Puts work in line; `done` is told whether it came to its end.
  void work(double cost, std::function<void(bool)> done) {
    const double now = agenda_.now;
    const double age = std::max(0.0, now - converter_.started);
    const double capacity = plan_.start_capacity +
                            (1 - plan_.start_capacity) * std::min(1.0, age / std::max(1.0, plan_.cold_time));
    converter_.free_at = std::max(converter_.free_at, now) + cost / capacity;
    out_.worst_backlog = std::max(out_.worst_backlog, backlog());
    if (backlog() > plan_.fall_backlog) {
      fall();
      return done(false);
    }
    agenda_.at(converter_.free_at, [this, generation = converter_.generation, done = std::move(done)] {
      done(generation == converter_.generation);
    });
  }

  void fall() {
    ++out_.falls;
    ++converter_.generation;
    converter_.down_until = agenda_.now + plan_.restart_time;
    converter_.started = converter_.free_at = converter_.down_until;
    for (auto& router : routers_) router.session = false;  // its ticket keys go with it
    cut();
  }

  /// Every connection that is up ends at once.
  void cut() {
    for (std::uint32_t i = 0; i < routers_.size(); ++i) {
      for (std::uint32_t k = 0; k < plan_.connections; ++k) {
        auto& each = routers_[i].connections[k];
        if (each.state != Connection::State::up) continue;
        each.state = Connection::State::none;
        routers_[i].admission->connection_closed(the_converter, agenda_.now, true);
        agenda_.at(agenda_.now + plan_.connect_time, [this, i, k] { open(i, k); });
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
    if (way_ == Way::admission) {
      const auto verdict =
          router.admission->request_handshake(the_converter, agenda_.now, router.session, 1e300);
      if (!verdict.admitted) return again(i, k, verdict.retry_at_ms);
      each.kind = verdict.kind;
    }
    each.state = Connection::State::handshake;
    const auto number = ++each.number;
    const double from = agenda_.now;
    if (down()) {  // refused at once
      agenda_.at(from + 2 * plan_.connect_time,
                 [this, i, k, number, from] { failed(i, k, number, from, Outcome::refused); });
      return;
    }
    agenda_.at(from + plan_.handshake_timeout,
               [this, i, k, number, from] { failed(i, k, number, from, Outcome::timed_out); });
    const bool resumed = router.session;
    agenda_.at(from + plan_.connect_time, [this, i, k, number, from, resumed] {
      if (down()) return failed(i, k, number, from, Outcome::refused);
      work(resumed ? plan_.resumed_cost : plan_.full_cost, [this, i, k, number, from, resumed](bool whole) {
        whole ? up(i, k, number, from, resumed) : failed(i, k, number, from, Outcome::reset);
      });
    });
  }

  void up(std::uint32_t i, std::uint32_t k, std::uint64_t number, double from, bool resumed) {
    auto& router = routers_[i];
    auto& each = router.connections[k];
    ++(resumed ? out_.resumed : out_.full);
    if (each.state != Connection::State::handshake || each.number != number) {
      ++out_.wasted;  // the router has given it up, the converter did not know
      return;
    }
    each.state = Connection::State::up;
    router.session = true;
    router.failures = 0;
    router.admission->handshake_finished(the_converter, agenda_.now, each.kind, Outcome::established, resumed,
                                         agenda_.now - from);
    if (out_.all_back < 0 && std::all_of(routers_.begin(), routers_.end(), connected))
      out_.all_back = agenda_.now;
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
    if (way_ == Way::admission) return again(i, k, agenda_.now);
    if (way_ == Way::none) return again(i, k, agenda_.now + 1);
    const double wait =
        std::min(backoff_most, std::ldexp(backoff_first, static_cast<int>(std::min(router.failures++, 10U))));
    again(i, k, agenda_.now + wait);
  }

  // ---- Calls -------------------------------------------------------------------------------------------

  void next_call() {
    const double gap = std::exponential_distribution<double>(plan_.calls_a_second / 1000)(random_);
    agenda_.at(agenda_.now + gap, [this] {
      const auto i = static_cast<std::uint32_t>(random_() % routers_.size());
      ++out_.calls;
      call(i, agenda_.now + plan_.deadline);
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
    if (backlog() > plan_.deadline / 3) return;
    work(plan_.set_up_cost, [this, due](bool whole) {
      if (whole && agenda_.now <= due) ++out_.in_time;
    });
  }

  Way way_;
  HandshakePlan plan_;
  std::mt19937_64 random_;
  Agenda agenda_;
  Converter converter_;
  std::vector<Router> routers_;
  HandshakeResult out_;
};

}  // namespace

const char* way_text(Way way) {
  switch (way) {
    case Way::admission:
      return "admission";
    case Way::backoff:
      return "backoff";
    case Way::none:
      break;
  }
  return "none";
}

HandshakeResult run_handshakes(Way way, const HandshakePlan& plan) { return World(way, plan).run(); }

}  // namespace heathturn::emulator
