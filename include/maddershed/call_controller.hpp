// Interface of the decision module: settings, the events it receives and the actions it returns.
// All types are plain values. The decisions themselves are implemented in src/decide.cpp.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace maddershed {

using Duration = std::chrono::microseconds;
/// A point on the clock of the program that feeds the events. The clock never goes back; only differences
/// between two points have a meaning.
struct Time {
  std::chrono::microseconds since_epoch{0};
  auto operator<=>(const Time&) const = default;
  friend Time operator+(Time t, Duration d) { return Time{t.since_epoch + d}; }
  friend Time operator-(Time t, Duration d) { return Time{t.since_epoch - d}; }
  friend Duration operator-(Time a, Time b) { return a.since_epoch - b.since_epoch; }
};

/// Identifies a call for as long as the controller knows it.
struct CallId {
  std::uint64_t value = 0;
  auto operator<=>(const CallId&) const = default;
};
/// A machine that switches calls. Its replacement has a new id, but the same exchange number.
struct ExchangeId {
  std::uint32_t value = 0;
  auto operator<=>(const ExchangeId&) const = default;
};
/// The number of an exchange (or agent pool) in the numbering plan.
using ExchangeNumber = std::int32_t;
inline constexpr ExchangeNumber no_exchange = -1;

// ---- Settings -------------------------------------------------------------------------------------

/// Whether a call may be set up a second time when the outcome of the first set-up is unknown. The controller
/// repeats idempotent set-ups only.
enum class Idempotency {
  idempotent,      ///< a repeated set-up does no harm
  not_idempotent,  ///< a repeated set-up has a second effect
  keyed            ///< the receiver recognises a repeated set-up by a key
};

/// Settings of one class of calls.
struct ClassSettings {
  std::string name;
  double worth = 1.0;             ///< value of a call that is set up within `set_up_objective`
  double late_worth_share = 0.0;  ///< share of the worth earned by a call that is set up later
  Duration set_up_objective{0};   ///< wanted set-up time, from the caller's first try
  Duration give_up_after{0};      ///< how long a caller keeps trying before giving up
  double circuits = 1.0;          ///< circuits a call occupies on each group
  Duration mean_holding_time{0};  ///< mean duration of an established call
  Idempotency idempotency = Idempotency::idempotent;
  std::vector<ExchangeNumber> skilled_pools{};  ///< pools only: where such a call may go; empty: anywhere
};

/// Settings of a controller.
struct Settings {
  std::vector<ClassSettings> classes;
  bool uses_pools = false;  ///< exchanges are agent pools shared by all controllers instead of a mesh
  ExchangeNumber home_exchange = no_exchange;  ///< the exchange that this controller decides for
  std::uint32_t controller_count = 1;          ///< number of controllers, including this one
  Duration release_wait{0};         ///< wait before another attempt after a timeout, reset or cancellation
  Duration resend_after{0};         ///< an unanswered set-up is sent again after this; 0: never
  Duration batch_interval{0};       ///< shortest time between two batches of events
  double start_capacity = 1.0;      ///< guaranteed share of its capacity that a processor starts with
  Duration cold_time{0};            ///< a processor has its full capacity this long after its start
  double overload_multiple = 1.0;   ///< a cold processor fails when it is sent more than this multiple of
  Duration overload_duration{0};    ///< its capacity for this long
  std::uint32_t attempt_limit = 1;  ///< attempts for one call
  Duration max_retry_after{0};      ///< longest `Refuse::retry_after`
  bool sends_retry_after = false;   ///< refused callers are told how long to wait before they retry
  bool cancelling = false;          ///< set-ups may be cancelled
  bool probes = false;              ///< exchanges may be probed
  bool peer_messages = false;       ///< controllers may send messages to each other
  bool directory_by_subscription = false;  ///< changes of the directory are sent to subscribers only
  bool tandem_advice = false;              ///< calls carry a tandem recommended by a central service
  bool has_wait_hints = false;             ///< a full processor says how long to wait
};

// ---- Events ---------------------------------------------------------------------------------------

/// Load figures of a far exchange. A figure that is absent, negative or not a number is ignored.
struct LoadReport {
  std::optional<double> free_circuits{};  ///< on the group towards it; the current number, not an average
  std::optional<double> total_circuits{};
  std::optional<double> utilisation{};                 ///< share of the processor that is busy
  std::optional<double> queued_set_ups{};              ///< set-ups waiting for the processor
  std::optional<double> outstanding_messages{};        ///< messages being processed
  std::optional<double> queue_wait_ms{};               ///< wait at the processor
  std::optional<double> allowed_set_ups_per_second{};  ///< new set-ups it accepts from all senders together
  std::optional<double> requested_shed_share{};  ///< share of new set-ups that each sender should hold back
};

/// `gone`: out of service. `draining`: finishes its calls and takes no new ones.
enum class ExchangeState { gone, ready, draining };

/// One exchange in the directory.
struct DirectoryEntry {
  ExchangeId exchange;
  ExchangeNumber number = no_exchange;
  ExchangeState state = ExchangeState::ready;
  std::uint8_t region = 0;
  std::optional<Time> started_at{};  ///< absent: so long ago that the processor is warm
};

/// Changes of the directory, or a list of all exchanges.
struct DirectoryUpdate {
  enum class Kind {
    changes,   ///< entries that changed
    snapshot,  ///< all entries
    cached,    ///< all entries as last known, possibly stale
    failed     ///< the subscription to the directory failed; no entries
  };
  Kind kind = Kind::changes;
  std::vector<DirectoryEntry> entries;
};

/// A caller asks for a call.
struct CallOffered {
  CallId call;
  std::uint32_t traffic_class = 0;  ///< index into `Settings::classes`
  double circuits = 1.0;            ///< circuits it occupies on each group
  Duration time_left{0};            ///< until the caller abandons this try
  ExchangeNumber destination = no_exchange;
  ExchangeNumber tandem = no_exchange;  ///< recommended tandem; in transit: the exchange it comes from
  bool in_transit = false;              ///< another exchange uses this one as tandem
  bool redialled = false;               ///< the caller tried before
  bool was_cut_off = false;             ///< was established, was cut off, and is set up again
  std::uint64_t called_number = 0;      ///< 0: unknown
  /// The call has a route of its own: only `destination` and then `alternates`, in their order, are allowed.
  /// Pools only.
  bool routed = false;
  std::vector<ExchangeNumber> alternates{};
  std::uint32_t attempt_limit = 0;  ///< 0: as in the settings
  Duration retry_wait{0};           ///< minimum wait before another attempt, whatever ended the previous one
};

/// An attempt succeeded: the call is established.
struct CallStands {
  CallId call;
  std::uint32_t attempt = 0;  ///< index of the attempt, from 0
  ExchangeId exchange;
  Duration elapsed{0};  ///< since the set-up was sent
};

/// How an attempt, or the call established by it, ended.
enum class AttemptResult { ended, error, not_set_up, timed_out, connect_failed, reset, cancelled, not_sent };
/// Why an attempt failed, where the far side said so.
enum class FailureCause {
  none,
  no_circuit,
  tandem_refused,              ///< the tandem could not reach the destination
  destination_processor_full,  ///< the tandem reports that the destination's processor is full
  processor_full,
  number_busy
};

/// An attempt, or the call established by it, has ended.
struct AttemptEnded {
  CallId call;
  std::uint32_t attempt = 0;  ///< index of the attempt, from 0
  ExchangeId exchange;
  AttemptResult result = AttemptResult::ended;
  FailureCause cause = FailureCause::none;
  Duration wait_hint{0};       ///< from a full processor, with `Settings::has_wait_hints`
  Duration elapsed{0};         ///< since the set-up was sent
  bool call_finished = false;  ///< the call needs no further answer
  /// The attempt was not sent, and the call must not be sent to this exchange any more.
  bool exchange_excluded = false;
  LoadReport report;
};

/// The caller has abandoned the call.
struct CallerLeft {
  CallId call;
};
/// A timer that was requested with `SetTimer` has expired.
struct TimerDue {
  std::uint64_t token = 0;
};
/// The answer to a probe, or an unsolicited report of the free circuits towards an exchange.
struct ExchangeReport {
  ExchangeId exchange;
  bool succeeded = true;
  Duration elapsed{0};  ///< since the probe was sent
  LoadReport report;
};
/// Data from another controller.
struct PeerMessage {
  std::uint32_t sender = 0;
  std::vector<std::uint8_t> data;
};

/// The controller is in service from now on; a DirectoryUpdate with the last known directory follows.
struct Started {};

using Event = std::variant<Started, DirectoryUpdate, CallOffered, CallStands, AttemptEnded, CallerLeft,
                           TimerDue, ExchangeReport, PeerMessage>;

// ---- Actions --------------------------------------------------------------------------------------

/// Sends a set-up: over the direct route if `exchange` is the destination, else through it as tandem.
struct SendSetUp {
  CallId call;
  ExchangeId exchange;
  Time deadline;  ///< the attempt is abandoned if it has not succeeded by then
  auto operator<=>(const SendSetUp&) const = default;
};
/// Final answer: the call is refused and may safely be tried again; it was not set up, or is idempotent.
struct Refuse {
  CallId call;
  Duration retry_after{0};  ///< 0: no advice
  auto operator<=>(const Refuse&) const = default;
};
/// Final answer: the call failed; it may have been set up.
struct Fail {
  CallId call;
  auto operator<=>(const Fail&) const = default;
};
/// Cancels the set-up of one attempt.
struct Cancel {
  CallId call;
  std::uint32_t attempt = 0;  ///< index of the attempt, from 0
  auto operator<=>(const Cancel&) const = default;
};
/// Requests a `TimerDue` with this token.
struct SetTimer {
  Time due;
  std::uint64_t token = 0;
  auto operator<=>(const SetTimer&) const = default;
};
/// Asks an exchange for an ExchangeReport.
struct Probe {
  ExchangeId exchange;
  auto operator<=>(const Probe&) const = default;
};
/// Subscribes to changes of the directory.
struct SubscribeDirectory {
  auto operator<=>(const SubscribeDirectory&) const = default;
};
/// Writes a line to the log.
struct LogLine {
  std::string text;
  auto operator<=>(const LogLine&) const = default;
};

using Action = std::variant<SendSetUp, Refuse, Fail, Cancel, SetTimer, Probe, SubscribeDirectory, LogLine>;

// ---- Controller -----------------------------------------------------------------------------------

/// Makes the decisions for one exchange. The same settings, seed and events always give the same actions.
class CallController {
 public:
  /// Throws std::invalid_argument, naming the setting, if a setting is out of range.
  CallController(Settings settings, std::uint64_t seed);
  ~CallController();
  CallController(CallController&&) noexcept;
  CallController& operator=(CallController&&) noexcept;

  /// Processes one event and appends the resulting actions, in the order in which they are to be done.
  void handle(Time now, const Event& event, std::vector<Action>& actions);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace maddershed
