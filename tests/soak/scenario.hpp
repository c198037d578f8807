// One run of the soak: a call router with its peers, and faults drawn from a seed.
#pragma once

#include <memory>

#include "callers.hpp"
#include "router_process.hpp"

namespace heathturn::soak {

/// Result of a run.
struct RunResult {
  std::vector<std::string> violations;
  std::string summary;
  bool harness_late = false;  ///< the stand-ins were too slow for their observations to count
};

/// Plays the faults of one seed against a real process.
class Scenario {
 public:
  static constexpr int converter_count = 6;
  static constexpr double max_turn_ms = 150;  ///< beyond that the run does not count

  Scenario(const std::string& program, const std::string& folder, std::uint64_t seed, double traffic_ms)
      : random_(seed), traffic_ms_(traffic_ms), router_(program, folder) {
    const int deadlines[] = {1000, 1600, 3000, 3000};
    deployment_.longest_deadline_ms = deadlines[seed % std::size(deadlines)];
    deployment_.objective_ms = deployment_.longest_deadline_ms * 2 / 5;
    deployment_.router_port = free_port();
    draw_fault_rates();
    for (int number = 1; number <= converter_count; ++number) add_converter(number, 0);
    callers_ = std::make_unique<Callers>(loop_, checker_, random_, deployment_.router_port,
                                         deployment_.longest_deadline_ms);
    callers_->repeating = happens(0.5);
    callers_->acknowledging = happens(0.7);
    has_crowd_ = seed % 3 == 0;
    restart_ = seed % 4 == 3 ? Restart::kill : Restart::terminate;
  }

  RunResult run() {
    router_.write_config(config_text(deployment_, bus_, in_service()));
    router_.start();
    started_ms_ = now_ms();
    if (!wait_ready()) return {{"crash: the call router does not become ready\n"}, "", false};
    traffic_ends_ms_ = now_ms() + traffic_ms_;
    offer_calls();
    cause_faults();
    check_rules();
    loop_.after(traffic_ms_ * between(0.3, 0.5), [this] { restart(); });
    if (has_crowd_)
      loop_.after(traffic_ms_ * between(0.1, 0.9), [this] { callers_->crowd(200, converter_count); });
    loop_.run_for(traffic_ms_);
    heal();
    loop_.run_until([this] { return settled(); }, release_due_unsent_ms + 1500);
    if (!router_.running() && !ending_) crash();
    RunResult result;
    result.violations = checker_.violations();
    result.harness_late = loop_.longest_turn_ms() > max_turn_ms;
    result.summary = std::to_string(checker_.requests.size()) + " requests, " +
                     std::to_string(checker_.served) + " served, " + std::to_string(checker_.refused) +
                     " refused or failed, " + std::to_string(checker_.given_up) + " left, longest turn " +
                     std::to_string(static_cast<int>(loop_.longest_turn_ms())) + " ms";
    return result;
  }

 private:
  enum class Restart { terminate, kill };

  [[nodiscard]] bool happens(double share) { return between(0, 1) < share; }
  [[nodiscard]] double between(double low, double high) {
    return std::uniform_real_distribution<>(low, high)(random_);
  }
  int free_port() {
    auto& listener = loop_.listen([](Connection&) {});
    const int port = listener.port;
    EventLoop::close(listener);
    return port;
  }
  void draw_fault_rates() {
    const auto draw = [this](double highest) { return happens(0.6) ? between(0, highest) : 0; };
    rates_ = {.break_off = draw(0.06),
              .reset = draw(0.05),
              .lose_answer = draw(0.05),
              .noise = draw(0.02),
              .refuse = draw(0.15),
              .repeat_answer = draw(0.3),
              .unknown_answer = draw(0.1),
              .late_answer = draw(0.05),
              .pieces = draw(0.4),
              .late_connection = draw(0.3)};
  }
  void add_converter(int number, int port) {
    converters_.push_back(
        std::make_unique<Converter>(loop_, checker_, random_, ++last_converter_id_, number, rates_, port));
    serving_[number] = converters_.back().get();
  }
  [[nodiscard]] std::vector<const Converter*> in_service() const {
    std::vector<const Converter*> all;
    for (const auto& [number, converter] : serving_) all.push_back(converter);
    return all;
  }
  bool wait_ready() {
    return loop_.run_until(
        [this] {
          auto* connection = loop_.connect(deployment_.router_port);
          if (connection == nullptr) {
            loop_.run_for(20);
            return false;
          }
          bool ready = false;
          connection->on_input = [&ready](Connection& from) {
            ready = from.input.find("\"why\":1") != std::string::npos;
          };
          connection->send("{\"op\":\"test\",\"call\":\"00000000000000f0\",\"with\":{},\"why\":0}\n");
          loop_.run_for(60);
          connection->on_input = nullptr;
          EventLoop::close(*connection);
          return ready;
        },
        30000);
  }

  // ---- Traffic and checks
  void offer_calls() {
    if (now_ms() >= traffic_ends_ms_) return;
    if (!stopping_new_connections_) callers_->connect_up_to(8);
    callers_->offer(1 + static_cast<int>(random_() % converter_count));
    loop_.after(std::exponential_distribution<>(1.0 / offer_interval_ms)(random_), [this] { offer_calls(); });
  }
  void check_rules() {
    callers_->router_running = router_.running();
    callers_->drop_closed_connections();
    checker_.check_overdue(callers_->connected_since_ms);
    for (const auto& each : converters_) each->check_left_standing();
    if (!callers_->router_running && !ending_) return crash();
    loop_.after(check_interval_ms, [this] { check_rules(); });
  }
  void crash() { checker_.violation("crash: the call router has ended", ""); }
  [[nodiscard]] bool settled() {
    if (callers_->pending() > 0) return false;
    return std::all_of(checker_.requests.begin(), checker_.requests.end(), [](const auto& each) {
      const auto& request = each.second;
      const bool answered = request.answers > 0 || !request.answer_owed;
      return answered && (!request.established || request.released);
    });
  }

  // ---- Faults
  void cause_faults() {
    if (now_ms() >= traffic_ends_ms_) return;
    auto& converter = *serving_[1 + static_cast<int>(random_() % converter_count)];
    switch (random_() % 12) {
      case 0:
        converter.end_connection(false);
        break;
      case 1:
        converter.end_connection(true);
        break;
      case 2:
        cut_off(converter, between(150, 1500));
        break;
      case 3:
        cut_off(converter, between(1500, 4500));
        break;
      case 4:
      case 5:
        replace(converter.number);
        break;
      case 6:
        bus_outage();
        break;
      case 7:
        bus_.break_off();
        break;
      case 8:
        reload_series();
        break;
      case 9:
        callers_->close_one();
        break;
      default:
        callers_->bad_client();
    }
    loop_.after(between(80, 400), [this] { cause_faults(); });
  }
  void cut_off(Converter& converter, double duration_ms) {
    if (converter.dead) return;
    converter.set_silent(true);
    loop_.after(duration_ms, [&converter] { converter.set_silent(false); });
  }
  /// A converter drains, is gone, and is replaced under another id; some at its address, and some die at
  /// once.
  void replace(int number) {
    if (replacing_.contains(number)) return;
    replacing_.insert(number);
    auto& old = *serving_[number];
    const bool dies_first = happens(0.3);
    if (dies_first) old.die();
    if (!dies_first) bus_.publish(old, BusState::draining);
    loop_.after(between(300, 2600), [this, &old, number] {
      bus_.publish(old, BusState::gone);
      if (!old.dead) old.die();
      add_converter(number, happens(0.5) ? old.port : 0);
      bus_.publish(*serving_[number], BusState::ready);
      replacing_.erase(number);
    });
  }
  void bus_outage() {
    const double duration_ms = between(200, 3500);
    if (happens(0.5)) {
      bus_.set_silent(true);
      loop_.after(duration_ms, [this] { bus_.set_silent(false); });
    } else {
      bus_.set_down(true);
      loop_.after(duration_ms, [this] { bus_.set_down(false); });
    }
    if (happens(0.6)) replace(1 + static_cast<int>(random_() % converter_count));
  }
  /// New configurations in quick succession; one of them may be no JSON.
  void reload_series() {
    // A signal comes never in the first second after a start.
    if (ending_ || now_ms() - started_ms_ < first_signal_ms) return;
    if (!bus_.down && !bus_.silent && happens(0.5)) bus_.move();
    const auto good = config_text(deployment_, bus_, in_service());
    const double process_started_ms = started_ms_;
    for (int i = 0; i < 3; ++i) {
      loop_.after(i * 60, [this, i, good, process_started_ms] {
        if (ending_ || started_ms_ != process_started_ms) return;
        router_.write_config(i == 1 && happens(0.5) ? good.substr(0, good.size() / 2) : good);
        router_.signal(SIGHUP);
      });
    }
  }
  void restart() {
    ending_ = true;
    if (restart_ == Restart::kill) return end_process(false);
    router_.signal(SIGTERM);
    for (const int number : {SIGTERM, SIGHUP, SIGHUP}) {
      if (happens(0.5)) loop_.after(between(5, 600), [this, number] { router_.signal(number); });
    }
    // Converters hang or are replaced beside the shutdown.
    for (int i = 0; i < 2; ++i)
      cut_off(*serving_[1 + static_cast<int>(random_() % converter_count)], between(300, 4000));
    if (happens(0.5)) replace(1 + static_cast<int>(random_() % converter_count));
    loop_.after(between(200, 400), [this] { stopping_new_connections_ = true; });
    const double kill_at_ms = now_ms() + std::min(deployment_.longest_deadline_ms, 3000) + 700;
    wait_for_exit(kill_at_ms);
  }
  void wait_for_exit(double kill_at_ms) {
    if (router_.running() && now_ms() < kill_at_ms)
      return loop_.after(5, [this, kill_at_ms] { wait_for_exit(kill_at_ms); });
    end_process(true);
  }
  void end_process(bool planned) {
    const bool ended_by_itself = !router_.running();
    if (ended_by_itself && !router_.exited_with_success()) crash();
    router_.kill();
    callers_->router_killed(planned);
    // The next process starts at once, and the callers come again at once.
    bus_.restart_numbering();
    bus_.set_silent(false);
    bus_.set_down(false);
    checker_.told_ms.clear();
    router_.write_config(config_text(deployment_, bus_, in_service()));
    loop_.after(ended_by_itself ? 150 : 30, [this] {
      router_.start();
      started_ms_ = now_ms();
      ending_ = false;
      stopping_new_connections_ = false;
    });
  }
  void heal() {
    for (const auto& each : converters_) {
      if (each->silent) each->set_silent(false);
    }
    bus_.set_silent(false);
    bus_.set_down(false);
    callers_->connect_up_to(8);
  }

  static constexpr double offer_interval_ms = 15;
  static constexpr double check_interval_ms = 50;
  static constexpr double first_signal_ms = 1100;

  std::mt19937_64 random_;
  double traffic_ms_;
  EventLoop loop_;
  RuleChecker checker_;
  Deployment deployment_;
  FaultRates rates_;
  EventBus bus_{loop_, checker_};
  std::vector<std::unique_ptr<Converter>> converters_;
  std::map<int, Converter*> serving_;
  std::set<int> replacing_;
  std::unique_ptr<Callers> callers_;
  RouterProcess router_;
  std::uint32_t last_converter_id_ = 0;
  double traffic_ends_ms_ = 0;
  double started_ms_ = 0;  ///< of the process
  bool has_crowd_ = false;
  bool ending_ = false;  ///< the process is being restarted
  bool stopping_new_connections_ = false;
  Restart restart_ = Restart::terminate;
};

}  // namespace heathturn::soak
