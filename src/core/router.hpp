// The router: passes requests, attempts and outcomes of any protocol to the decision module as events,
// performs its actions, and enforces rules that hold whatever it decides.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/request_log.hpp"
#include "core/slots.hpp"
#include "core/timer_queue.hpp"
#include "log/event.hpp"
#include "maddershed/call_controller.hpp"

namespace heathturn {

using maddershed::ExchangeId;

/// A request as a frontend received it. The router reads the numbers; the texts are passed on by the backend.
struct Request {
  std::uint32_t traffic_class = 0;  ///< index into `Settings::classes`
  double circuits = 1;              ///< circuits that the call occupies on each group
  double time_left_ms = 0;          ///< from now until the caller gives up
  maddershed::ExchangeNumber destination = maddershed::no_exchange;
  maddershed::ExchangeNumber tandem = maddershed::no_exchange;  ///< as in `CallOffered`
  bool in_transit = false;
  bool redialled = false;
  bool was_cut_off = false;
  std::uint64_t called_number = 0;
  bool routed = false;                                   ///< only `destination` and `alternates` are allowed
  std::vector<maddershed::ExchangeNumber> alternates{};  ///< in order of preference
  std::uint32_t attempt_limit = 0;                       ///< 0: as in the settings
  double retry_wait_ms = 0;  ///< minimum wait before another attempt, whatever ended the previous one
  std::string wire_id;       ///< how the protocol identifies the request
  std::string class_name;
  std::string key;  ///< the called number as text
  std::string body;
};

/// How an established call ended.
enum class CallEnd { normal, cut_off };

/// Where requests come from. Each request gets one final answer: served, refused or failed. A served one then
/// gets on_call_ended(), unless its caller released it.
class Frontend {
 public:
  virtual ~Frontend() = default;
  /// False if the answer cannot be sent to the caller: the call is then released, without on_call_ended().
  virtual bool on_request_served(Handle request, const std::string& answer) = 0;
  /// `wait_ms`: how long the caller should wait before it retries; 0: no advice.
  virtual void on_request_refused(Handle request, double wait_ms) = 0;
  virtual void on_request_failed(Handle request) = 0;
  virtual void on_call_ended(Handle request, CallEnd end) = 0;
};

/// Carries attempts to converters and reports their outcome to the router. Each function may call the router
/// before it returns.
class Backend {
 public:
  virtual ~Backend() = default;
  virtual void send_attempt(Handle attempt, ExchangeId exchange, const Request& request,
                            double time_left_ms) = 0;
  /// The router no longer waits for the attempt and expects no report on it.
  virtual void abandon_attempt(Handle attempt) = 0;
  /// Releases the established call.
  virtual void release_call(Handle attempt) = 0;
  /// Asks for a report, which goes to Router::exchange_reported().
  virtual void probe(ExchangeId exchange) = 0;
};

/// How an attempt, or the call established by it, ended.
struct AttemptOutcome {
  maddershed::AttemptResult result = maddershed::AttemptResult::ended;
  maddershed::FailureCause cause = maddershed::FailureCause::none;
  double wait_hint_ms = 0;  ///< from a full processor
  /// The attempt was not sent, and the request must not be sent to this converter any more.
  bool exchange_excluded = false;
  int cause_code = 0;  ///< as the converter gave it, for the log; 0: it gave none
  maddershed::LoadReport report{};
};

/// Connects frontends and backends with the decision module and enforces the rules marked "Rule:", whatever
/// the module decides.
class Router {
 public:
  /// Totals since the start. `abandoned`: the caller left before an answer; `cut_off`: established calls that
  /// ended abnormally; `unmatched`: messages of converters that belong to no attempt in flight. Attempts
  /// without a call: `timed_out`, `reset`, `not_sent` (suppressed, or no connection) and `rejected` (any
  /// other end).
  struct Counts {
    std::uint64_t offered = 0, served = 0, refused = 0, failed = 0, abandoned = 0, cut_off = 0;
    std::uint64_t attempts = 0, retries = 0, timed_out = 0, reset = 0, not_sent = 0, rejected = 0,
                  unmatched = 0;
  };

  /// Processes an event and appends the resulting actions, as CallController::handle does.
  using DecisionFunction =
      std::function<void(maddershed::Time, const maddershed::Event&, std::vector<maddershed::Action>&)>;

  /// Throws std::invalid_argument, naming the setting, if a setting is out of range.
  Router(Clock& clock, TimerQueue& timers, const maddershed::Settings& settings, std::uint64_t seed);
  /// Uses another decision function than the module's; for tests.
  Router(Clock& clock, TimerQueue& timers, double release_wait_ms, DecisionFunction decide);
  void set_backend(Backend& backend) { backend_ = &backend; }
  void set_log(LogSink log) {
    request_log_.set_sink(log);
    log_ = std::move(log);
  }
  void start();

  // Called by frontends.
  /// Passes the handle to `on_accepted` first, since the answer may be given before this returns.
  void offer(Frontend& frontend, Request request, const std::function<void(Handle)>& on_accepted);
  /// The caller abandoned the request; it gets no answer.
  void caller_left(Handle request);
  /// The caller released its established call.
  void caller_released(Handle request);

  // Called by backends.
  /// The attempt succeeded: the call is established.
  void attempt_succeeded(Handle attempt, const std::string& answer);
  /// The attempt, or the call established by it, ended.
  void attempt_ended(Handle attempt, const AttemptOutcome& outcome);
  /// The answer to a probe, or an unsolicited report. `elapsed_ms`: since the probe was sent.
  void exchange_reported(ExchangeId exchange, const maddershed::LoadReport& report, bool succeeded = true,
                         double elapsed_ms = 0);
  void directory_updated(const maddershed::DirectoryUpdate& update);
  /// Ends the calls set up at the exchange before `before_ms` (Unix time): it is lost and sends no releases.
  void exchange_lost(ExchangeId exchange, double before_ms);
  /// A message about a request arrived that belongs to no attempt in flight at this exchange. `kind`: of the
  /// message; `reason`: why it belongs to none; `code`: its cause code, or -1.
  void message_unmatched(ExchangeId exchange, const std::string& wire_id, const char* kind,
                         const char* reason, int code);

  [[nodiscard]] bool is_established(Handle attempt);
  /// Requests without a final answer.
  [[nodiscard]] std::size_t pending_count() const { return pending_count_; }
  [[nodiscard]] std::size_t established_count() const { return requests_.size() - pending_count_; }
  [[nodiscard]] std::size_t established_count_at(ExchangeId exchange) const;
  [[nodiscard]] const Counts& counts() const { return counts_; }
  /// A request or call as the console shows it.
  struct CallView {
    std::string wire_id, class_name;
    bool established = false;
    std::uint32_t attempts = 0;
    double age_ms = 0;
  };
  [[nodiscard]] std::vector<CallView> calls();

 private:
  struct Attempt {
    Handle request = no_handle;
    ExchangeId exchange;
    std::uint32_t index = 0;
    double sent_at_ms = 0;
    TimerQueue::Key deadline_timer;
    bool was_sent = false;  ///< passed to the backend
  };
  struct RequestState {
    Request request;
    Frontend* frontend = nullptr;
    double offered_at_ms = 0;
    double deadline_ms = 0;        ///< final answer due; before the caller gives up
    double next_attempt_ms = 0;    ///< no attempt is sent before
    TimerQueue::Key answer_timer;  ///< fails the request when the module has not answered it in time
    Handle attempt = no_handle;    ///< the one in flight, or that established the call
    std::uint32_t attempts = 0;
    bool established = false;
    bool answered = false;  ///< the final answer was given, or the caller left
  };

  void process_event(maddershed::Event event);
  void perform(const maddershed::SendSetUp& action);
  void perform(const maddershed::Refuse& action);
  void perform(const maddershed::Fail& action);
  void perform(const maddershed::Cancel& action);
  void perform(const maddershed::SetTimer& action);
  void perform(const maddershed::Probe& action);
  void perform(const maddershed::SubscribeDirectory&) {}
  void perform(const maddershed::LogLine& action);
  void send_attempt(Handle attempt);
  void finish_attempt(Handle attempt, const AttemptOutcome& outcome);
  /// `reason`: why the request is answered now, for the log.
  void answer_without_call(Handle request, bool refuse, double wait_ms, const char* reason);
  void log_attempt_sent(const RequestState& state, const Attempt& attempt);
  void log_attempt_ended(const RequestState& state, const Attempt& attempt, const AttemptOutcome& outcome);
  void count_attempt_without_call(maddershed::AttemptResult result);
  void erase_if_done(Handle request);

  Clock& clock_;
  TimerQueue& timers_;
  Backend* backend_ = nullptr;
  LogSink log_;
  RequestLog request_log_;
  DecisionFunction decide_;
  double release_wait_ms_;
  SlotTable<RequestState> requests_;
  SlotTable<Attempt> attempts_;
  std::map<ExchangeId, maddershed::DirectoryEntry> exchanges_;  ///< ready or draining
  std::map<ExchangeId, std::size_t> established_at_;            ///< number of established calls
  std::deque<maddershed::Event> events_;                        ///< not yet processed
  bool processing_ = false;
  std::size_t pending_count_ = 0;  ///< requests not yet answered
  Counts counts_;
};

/// Rule: no request has more attempts, whatever the module and the settings say.
inline constexpr std::uint32_t max_attempts_per_request = 6;
/// Every time limit of the rules is longer by this on real sockets.
inline constexpr double socket_slack_ms = 50;
/// The final answer is sent this long before the caller gives up.
inline constexpr double answer_margin_ms = 25;

}  // namespace heathturn
