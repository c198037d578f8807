// The platform's front: the callers' connections, and the calls they have brought.
#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.hpp"
#include "core/router.hpp"
#include "net/connections.hpp"
#include "net/framing.hpp"
#include "platform/message.hpp"

namespace heathturn {

/// The ids of calls that this process has brought to their end, kept while words on them may be under way.
class RecentlyEndedCalls {
 public:
  void add(const std::string& call, double now);
  [[nodiscard]] bool has(const std::string& call) const { return calls_.contains(call); }

 private:
  std::set<std::string> calls_;
  std::deque<std::pair<double, std::string>> order_;
};

class CallerFrontend : public Frontend, public ConnectionUser {
 public:
  CallerFrontend(Clock& clock, TimerQueue& timers, Connections& net, Router& router, const Config& config);
  void listen();
  /// The bounds of the configuration as it is now.
  void update_limits() { net_.set_bounds(listener_, bounds()); }
  void set_readiness_check(std::function<bool()> ready) { ready_ = std::move(ready); }
  /// Told of a release for a call that this process never had.
  void set_unknown_release_handler(std::function<void(const std::string&)> stray) {
    stray_ = std::move(stray);
  }
  /// Whether any converter has this number.
  void set_number_check(std::function<bool(maddershed::ExchangeNumber)> knows) {
    knows_number_ = std::move(knows);
  }
  /// New set-ups are refused from here on.
  void refuse_new_requests() { door_closed_ = true; }
  /// A converter's word on a call that stood before this process began.
  void end_unknown_call(const std::string& call, int why);
  [[nodiscard]] bool knows_call(const std::string& call_id) const {
    return by_name_.contains(call_id) || ended_.has(call_id);
  }

  void on_request_served(Handle request, const std::string& answer) override;
  void on_request_refused(Handle request, double wait_ms) override;
  void on_request_failed(Handle request) override;
  void on_call_ended(Handle request, CallEnd end) override;

  void on_connected(Handle connection) override;
  void on_input(Handle connection, evbuffer* in) override;
  void on_ended(Handle connection, const char* reason) override;

 private:
  struct Taken {
    std::string name;
    Handle connection = no_handle;
    bool standing = false;
  };
  /// What is known of a connection: a release goes to the one known best.
  struct Line {
    enum class Known { nothing, quiet, asked, served } known = Known::nothing;
    std::uint64_t turn = 0;  ///< when it said something last, in the order of all
    std::uint32_t junk = 0;  ///< set-ups that could not be used
  };
  /// A release that its caller has not confirmed yet.
  struct Unheard {
    Handle connection = no_handle;
    std::string line;
    int sent = 0;
    TimerQueue::Key again;
  };
  void on_message(Handle connection, const Message& message);
  void on_offer(Handle connection, const Message& message);
  void on_end(Handle connection, const Message& message);
  [[nodiscard]] Connections::Bounds bounds() const;
  void refuse(Handle connection, const std::string& call, int why, double wait_ms);
  void turn_down(Handle request, int why, double wait_ms);
  void release(const std::string& call, int why, Handle preferred);
  void send_release(const std::string& call, std::string line, Handle preferred, Handle avoided, int sent);
  void heard(const std::string& call);
  void forget(Handle request);
  void know(Handle connection, Line::Known known);
  [[nodiscard]] std::optional<Request> read_offer(const Message& message) const;
  bool stray_may_pass();
  void refuse_junk(Handle connection, const std::string& call);

  Clock& clock_;
  TimerQueue& timers_;
  Connections& net_;
  Router& router_;
  const Config& config_;
  std::function<bool()> ready_;
  std::function<void(const std::string&)> stray_;
  std::function<bool(maddershed::ExchangeNumber)> knows_number_;
  std::unordered_map<Handle, Taken> taken_;
  std::unordered_map<std::string, Handle> by_name_;
  RecentlyEndedCalls ended_;
  std::unordered_map<Handle, Line> lines_;            ///< by connection
  std::unordered_map<std::string, Unheard> unheard_;  ///< by call
  std::deque<std::pair<std::string, std::string>>
      unsaid_;  ///< releases, by call, that no connection could carry yet
  std::uint64_t turn_ = 0;
  std::size_t standing_ = 0;  ///< of those in taken_
  double strays_ = 0;         ///< that may be passed on now
  double strays_at_ = 0;
  bool confirmed_ = false;  ///< callers here confirm the releases they hear
  Address listener_;
  bool door_closed_ = false;
};

}  // namespace heathturn
