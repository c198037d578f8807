// The backend of the platform: holds connections to each converter, sends attempts on them and keeps track of
// the calls established there.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/platform_config.hpp"
#include "core/router.hpp"
#include "handshakes/admission.hpp"
#include "net/connections.hpp"
#include "net/framing.hpp"
#include "platform/ended_attempts.hpp"
#include "platform/message.hpp"
#include "platform/unacknowledged_releases.hpp"
#include "service.hpp"

namespace heathturn {

/// Sends attempts to the platform's converters and watches the state of their connections.
class ConverterBackend : public Backend, public ConnectionHandler {
 public:
  ConverterBackend(Clock& clock, TimerQueue& timers, Connections& net, Router& router,
                   const PlatformConfig& config);
  /// Adds or changes the listed converters. In a snapshot, converters that are not listed are gone.
  void update_list(const std::vector<Converter>& list, bool is_snapshot);
  /// The handler gets the id and cause code of a call that a converter ended and this process has no record
  /// of.
  void set_unknown_call_end_handler(std::function<void(const std::string&, int)> handler) {
    on_unknown_call_end_ = std::move(handler);
  }
  /// Releases a call whose converter is not known.
  void release_at_all_converters(const std::string& call_id);
  /// Each converter in service has reported the state of its group.
  [[nodiscard]] bool all_states_reported() const;
  /// Whether any converter has, or had, this number.
  [[nodiscard]] bool is_known_number(maddershed::ExchangeNumber number) const {
    return numbers_.contains(number);
  }
  [[nodiscard]] std::vector<ConverterView> view() const;
  /// Uses TLS on connections opened from now on, whose handshakes are limited by these settings.
  void enable_tls(std::shared_ptr<tls::Context> context, const handshakes::Settings& settings);

  void send_attempt(Handle attempt, ExchangeId exchange, const Request& request,
                    double time_left_ms) override;
  void abandon_attempt(Handle attempt) override;
  void release_call(Handle attempt) override;
  void probe(ExchangeId exchange) override;

  void on_connected(Handle connection) override;
  void on_input(Handle connection, evbuffer* in) override;
  void on_ended(Handle connection, const char* reason) override;

 private:
  static constexpr std::size_t connections_per_converter = 2;
  /// One of the connections held to a converter. Times are Unix times in ms.
  struct ConnectionState {
    Handle handle = no_handle;
    bool open = false;
    bool received_any = false;
    double last_received_ms = 0;
    double last_group_state_ms = 0;  ///< when the latest group state was received
    double test_sent_at_ms = 0;      ///< of the unanswered test; 0: none
    TimerQueue::Key reconnect_timer;
    handshakes::Kind admitted_kind = handshakes::Kind::full;  ///< with TLS
    double started_at_ms = 0;                                 ///< with TLS: start of the handshake
  };
  /// The state of one converter.
  struct Peer {
    Converter converter;
    std::array<ConnectionState, connections_per_converter> connections;
    std::size_t preferred = 0;  ///< index of the connection for set-ups, whose group states are used
    std::unordered_map<std::string, Handle> attempts;  ///< by call id: in flight or established
    std::vector<Handle> waiting_attempts;              ///< until a connection is open
    std::vector<std::string> queued_releases;          ///< call ids, until a connection is open
    UnacknowledgedReleases unacknowledged_releases;
    EndedAttempts ended_attempts;
    double reconnect_delay_ms = 0;
    double unreachable_since_ms = 0;    ///< since when no connection is open; 0: one is
    double failing_tests_since_ms = 0;  ///< since when it only sends failed tests; 0: it does not
    double gone_since_ms = 0;           ///< since when the list reports it as gone; 0: it does not
    bool state_reported = false;        ///< at least one group state was received
    bool is_own_exchange = false;
  };
  struct AttemptState {
    ExchangeId exchange;
    std::string call_id;
    Handle connection = no_handle;  ///< none until the set-up is written
    bool repeated = false;          ///< an earlier attempt of the call ended at this converter
    std::string serialized_offer;
    double deadline_ms = 0;
  };
  struct ConnectionLocation {
    ExchangeId exchange;
    std::size_t index = 0;  ///< in Peer::connections
  };
  void connect(Peer& peer, std::size_t index);
  void reconnect_later(Peer& peer, std::size_t index);
  void register_for_admission(const Peer& peer);
  void connect_at(Peer& peer, std::size_t index, double time_ms);
  Handle connect_tls(Peer& peer, std::size_t index);
  void write_or_wait(Handle attempt);
  void write_set_up(Handle attempt, Handle connection);
  void end_with_unknown_outcome(Handle attempt, Handle preferred, AttemptOutcome outcome);
  void fail_waiting_attempts(Peer& peer);
  void on_message(Peer& peer, Handle connection, const Message& message);
  void on_end_message(Peer& peer, Handle connection, const Message& message);
  void erase_attempt(Handle attempt);
  void send_release(Peer& peer, const std::string& call_id, Handle preferred);
  [[nodiscard]] static bool release_may_arrive(const Peer& peer, const std::string& call_id);
  void send_test(Peer& peer, Handle connection, int code);
  void check_peer(ExchangeId exchange);
  void remove_peer(ExchangeId exchange);
  /// A converter whose address another one has taken over.
  struct Succession {
    ExchangeId predecessor, successor;
  };
  std::vector<Succession> withdraw_predecessors(const Converter& successor);
  void hand_over_releases(const Succession& succession);
  void close_connections(Peer& peer);
  /// Whether any connection is open or being opened.
  [[nodiscard]] static bool has_connections(const Peer& peer);
  [[nodiscard]] static Handle select_connection(Peer& peer);
  [[nodiscard]] maddershed::LoadReport load_report_of(const Message& message) const;

  Clock& clock_;
  TimerQueue& timers_;
  Connections& net_;
  Router& router_;
  const PlatformConfig& config_;
  std::function<void(const std::string&, int)> on_unknown_call_end_;
  std::map<ExchangeId, Peer> peers_;
  std::set<maddershed::ExchangeNumber> numbers_;
  std::unordered_map<Handle, ConnectionLocation> locations_;  ///< by connection
  std::unordered_map<Handle, AttemptState> attempts_;
  std::unordered_map<std::string, std::pair<ExchangeId, double>> probes_;  ///< by test id: when sent
  std::uint64_t last_test_id_ = 0;
  std::shared_ptr<tls::Context> tls_context_;  ///< null: no TLS
  std::unique_ptr<handshakes::Admission> admission_;
};

}  // namespace heathturn
