// The frontend of the platform: accepts callers' connections, passes their set-ups to the router and sends
// them the answers and releases.
#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/platform_config.hpp"
#include "core/router.hpp"
#include "net/connections.hpp"
#include "net/framing.hpp"
#include "platform/message.hpp"
#include "platform/release_sender.hpp"

namespace heathturn {

/// The ids of calls that ended in this process, kept as long as messages about them may still arrive.
class RecentlyEndedCalls {
 public:
  void add(const std::string& call_id, double now_ms);
  [[nodiscard]] bool contains(const std::string& call_id) const { return call_ids_.contains(call_id); }

 private:
  std::set<std::string> call_ids_;
  std::deque<std::pair<double, std::string>> by_end_time_;
};

/// Serves the callers' connections. An established call outlives the connection that it was offered on; its
/// release may be sent on any connection.
class CallerFrontend : public Frontend, public ConnectionHandler {
 public:
  CallerFrontend(Clock& clock, TimerQueue& timers, Connections& net, Router& router,
                 const PlatformConfig& config);
  /// Throws std::runtime_error when the configured address cannot be bound.
  void listen();
  /// Applies the limits of the current configuration to new connections.
  void update_limits() { net_.set_limits(listener_, listener_limits()); }
  /// The result of the check answers the platform's readiness tests.
  void set_readiness_check(std::function<bool()> is_ready) { is_ready_ = std::move(is_ready); }
  /// The handler gets the id of a released call that this process has no record of.
  void set_unknown_release_handler(std::function<void(const std::string&)> handler) {
    on_unknown_release_ = std::move(handler);
  }
  /// The check tells whether any converter has or had the number.
  void set_number_check(std::function<bool(maddershed::ExchangeNumber)> is_known_number) {
    is_known_number_ = std::move(is_known_number);
  }
  /// Refuses new set-ups from now on.
  void refuse_new_requests() { refusing_new_requests_ = true; }
  /// Sends the release of a call that a converter ended and this process has no record of, because it was
  /// established before the process started.
  void end_unknown_call(const std::string& call_id, int cause_code);
  /// The call is open, or ended recently.
  [[nodiscard]] bool knows_call(const std::string& call_id) const {
    return requests_by_call_id_.contains(call_id) || has_ended(call_id);
  }

  bool on_request_served(Handle request, const std::string& answer) override;
  void on_request_refused(Handle request, double wait_ms) override;
  void on_request_failed(Handle request) override;
  void on_call_ended(Handle request, CallEnd end) override;

  void on_connected(Handle connection) override;
  void on_input(Handle connection, evbuffer* in) override;
  void on_ended(Handle connection, const char* reason) override;

 private:
  struct OfferedRequest {
    std::string call_id;
    Handle connection = no_handle;
    bool established = false;
  };
  [[nodiscard]] bool has_ended(const std::string& call_id) const {
    return ended_requests_.contains(call_id) || other_ended_calls_.contains(call_id);
  }
  void on_message(Handle connection, const Message& message, bool caller_left);
  void on_offer(Handle connection, const Message& message);
  void on_end_message(Handle connection, const Message& message);
  [[nodiscard]] Connections::Limits listener_limits() const;
  void send_refusal(Handle connection, const std::string& call_id, int cause_code, double wait_ms);
  void reject_request(Handle request, int cause_code, double wait_ms);
  void erase_request(Handle request);
  [[nodiscard]] std::optional<Request> parse_offer(const Message& message) const;
  bool take_unknown_release_token();
  void refuse_invalid_offer(Handle connection, const std::string& call_id);

  Clock& clock_;
  Connections& net_;
  Router& router_;
  const PlatformConfig& config_;
  std::function<bool()> is_ready_;
  std::function<void(const std::string&)> on_unknown_release_;
  std::function<bool(maddershed::ExchangeNumber)> is_known_number_;
  std::unordered_map<Handle, OfferedRequest> requests_;
  std::unordered_map<std::string, Handle> requests_by_call_id_;
  RecentlyEndedCalls ended_requests_;     ///< those that were offered to the router
  RecentlyEndedCalls other_ended_calls_;  ///< refused before that, or established before this process started
  ReleaseSender releases_;
  std::unordered_map<Handle, std::uint32_t> invalid_offers_;  ///< by connection
  std::size_t established_count_ = 0;                         ///< number of established calls in requests_
  double unknown_release_tokens_ = 0;                         ///< token bucket for releases of unknown calls
  double tokens_refilled_at_ms_ = 0;
  Address listener_;
  bool refusing_new_requests_ = false;
};

}  // namespace heathturn
