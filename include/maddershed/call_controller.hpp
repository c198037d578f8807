// The interface of the decision module: settings, events in, actions out.
// Everything here is a plain value. All decisions are taken in src/decide.cpp.
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
/// Time on the clock of whoever feeds the events; only differences matter. It never goes back.
struct Time {
  std::chrono::microseconds since_epoch{0};
  auto operator<=>(const Time&) const = default;
  friend Time operator+(Time t, Duration d) { return Time{t.since_epoch + d}; }
  friend Time operator-(Time t, Duration d) { return Time{t.since_epoch - d}; }
  friend Duration operator-(Time a, Time b) { return a.since_epoch - b.since_epoch; }
};

struct CallId {
  std::uint64_t value = 0;
  auto operator<=>(const CallId&) const = default;
};
/// A machine that switches calls. A machine that replaces another has a new id, but the same number.
struct ExchangeId {
  std::uint32_t value = 0;
  auto operator<=>(const ExchangeId&) const = default;
};
/// The number of an exchange (or agent pool) in the numbering plan.
using ExchangeNumber = std::int32_t;
inline constexpr ExchangeNumber no_exchange = -1;

// ---- Settings -------------------------------------------------------------------------------------

enum class Effect { repeatable, once, keyed };  ///< what a second set-up of the same call would do

struct ClassSettings {
  std::string name;
  double worth = 1.0;
  double late_share = 0.0;  ///< share of the worth earned when set up after the aim
  Duration aim{0};          ///< wanted set-up time
  Duration give_up{0};      ///< how long a caller goes on trying
  double circuits = 1.0;    ///< circuits a call takes on each group
  Duration mean_length{0};  ///< mean length of a standing call
  Effect effect = Effect::repeatable;
  std::vector<ExchangeNumber> skilled_pools{};  ///< pools only: where such a call may go
};

struct Settings {
  std::vector<ClassSettings> classes;
  bool pools = false;  ///< pools of agents shared by all controllers in place of a mesh
  ExchangeNumber home = no_exchange;
  std::uint32_t controllers = 1;  ///< how many controllers there are, this one included
  Duration release_wait{0};       ///< after a time-out, reset or cancellation
  Duration resend_after{0};       ///< a waiting set-up is sent again after this; 0: never
  Duration step{0};               ///< events arrive at most this often
  double start_capacity = 1.0;    ///< share of its capacity that a processor starts with, at least
  Duration cold_time{0};          ///< it is warm within this time
  double fall_multiple = 1.0;     ///< a cold processor sent more than this multiple of its capacity
  Duration fall_time{0};          ///< for this long falls over
  std::uint32_t attempt_limit = 1;
  Duration longest_retry_advice{0};
  bool retry_advice = false;        ///< callers are told how long to stay away
  bool cancelling = false;          ///< set-ups may be called off
  bool probes = false;              ///< exchanges may be probed
  bool peer_messages = false;       ///< controllers may send each other messages
  bool must_ask_directory = false;  ///< changes of the directory come only to subscribers
  bool route_advice = false;        ///< calls carry a centre's advice on the tandem
  bool wait_hint = false;           ///< a full processor names a wait
};

// ---- Events ---------------------------------------------------------------------------------------

/// Figures of a far exchange. A figure that is absent, negative or not a number was not heard.
struct LoadReport {
  std::optional<double> free_circuits{};  ///< on the group towards it, true now
  std::optional<double> total_circuits{};
  std::optional<double> utilisation{};   ///< share of the processor that is busy
  std::optional<double> queue{};         ///< set-ups waiting
  std::optional<double> outstanding{};   ///< messages in work
  std::optional<double> wait_ms{};       ///< wait at the processor
  std::optional<double> allowed_rate{};  ///< new set-ups a second it can take from all senders
  std::optional<double> hold_back{};     ///< share of new set-ups it asks each sender to hold back
};

enum class ExchangeState { gone, ready, draining };

struct DirectoryEntry {
  ExchangeId exchange;
  ExchangeNumber number = no_exchange;
  ExchangeState state = ExchangeState::ready;
  std::uint8_t region = 0;
  std::optional<Time> started{};  ///< absent: long ago
};

struct DirectoryUpdate {
  enum class Kind { changes, whole, cached, failed };
  Kind kind = Kind::changes;
  std::vector<DirectoryEntry> entries;
};

struct CallOffered {
  CallId call;
  std::uint32_t traffic_class = 0;
  double circuits = 1.0;
  Duration time_left{0};  ///< before the caller abandons this try
  ExchangeNumber destination = no_exchange;
  ExchangeNumber tandem = no_exchange;  ///< advised tandem; for a call in transit: where it comes from
  bool in_transit = false;
  bool redialled = false;
  bool cut_before = false;          ///< was standing, was cut, comes again
  std::uint64_t number_called = 0;  ///< 0: not told
  /// The call has a route of its own: it may go to `destination` and `alternates` alone, and to the latter in
  /// their order. Pools only.
  bool routed = false;
  std::vector<ExchangeNumber> alternates{};
  std::uint32_t attempt_limit = 0;  ///< 0: the settings'
  Duration retry_wait{0};           ///< before another attempt, however the one before ended
};

struct CallStands {
  CallId call;
  std::uint32_t attempt = 0;
  ExchangeId exchange;
  Duration elapsed{0};
};

enum class Result { ended, error, not_set_up, timed_out, connect_failed, reset, cancelled, not_sent };
enum class Cause { none, no_circuit, turned_back, turned_back_processor_full, processor_full, number_busy };

struct AttemptEnded {
  CallId call;
  std::uint32_t attempt = 0;
  ExchangeId exchange;
  Result result = Result::ended;
  Cause cause = Cause::none;
  Duration wait_hint{0};  ///< named by a full processor, where wait_hint is set
  Duration elapsed{0};
  bool call_over = false;  ///< the call needs no further answer
  LoadReport report;
};

struct CallerLeft {
  CallId call;
};
struct TimerDue {
  std::uint64_t token = 0;
};
/// An answer to a probe, or (unasked) news of the free circuits towards an exchange.
struct ExchangeReport {
  ExchangeId exchange;
  bool ok = true;
  Duration elapsed{0};
  LoadReport report;
};
struct PeerMessage {
  std::uint32_t sender = 0;
  std::vector<std::uint8_t> data;
};

/// The controller is in service from now; the directory as last known follows as a DirectoryUpdate.
struct Started {};

using Event = std::variant<Started, DirectoryUpdate, CallOffered, CallStands, AttemptEnded, CallerLeft,
                           TimerDue, ExchangeReport, PeerMessage>;

// ---- Actions --------------------------------------------------------------------------------------

/// To the destination: the direct route. To any other exchange: through that one as tandem.
struct SendSetUp {
  CallId call;
  ExchangeId exchange;
  Time give_up_at;
  auto operator<=>(const SendSetUp&) const = default;
};
struct Refuse {
  CallId call;
  Duration retry_after{0};
  auto operator<=>(const Refuse&) const = default;
};
struct Fail {
  CallId call;
  auto operator<=>(const Fail&) const = default;
};
struct Cancel {
  CallId call;
  std::uint32_t attempt = 0;
  auto operator<=>(const Cancel&) const = default;
};
struct SetTimer {
  Time due;
  std::uint64_t token = 0;
  auto operator<=>(const SetTimer&) const = default;
};
struct Probe {
  ExchangeId exchange;
  auto operator<=>(const Probe&) const = default;
};
struct SubscribeDirectory {
  auto operator<=>(const SubscribeDirectory&) const = default;
};
struct LogLine {
  std::string text;
  auto operator<=>(const LogLine&) const = default;
};

using Action = std::variant<SendSetUp, Refuse, Fail, Cancel, SetTimer, Probe, SubscribeDirectory, LogLine>;

// ---- Controller -----------------------------------------------------------------------------------

/// Decides for one exchange. The same settings, seed and events always give the same actions.
class CallController {
 public:
  /// Throws std::invalid_argument, naming the setting, when one is out of range.
  CallController(Settings settings, std::uint64_t seed);
  ~CallController();
  CallController(CallController&&) noexcept;
  CallController& operator=(CallController&&) noexcept;

  /// Takes one event and appends what is to be done, in order.
  void handle(Time now, const Event& event, std::vector<Action>& actions);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace maddershed
