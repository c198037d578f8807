// The platform's front: the callers' connections, and the calls they have brought.
#pragma once

#include <deque>
#include <functional>
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
class EndedCalls {
 public:
  void add(const std::string& call, double now);
  [[nodiscard]] bool has(const std::string& call) const { return calls_.contains(call); }

 private:
  std::set<std::string> calls_;
  std::deque<std::pair<double, std::string>> order_;
};

class Callers : public Front, public ConnectionUser {
 public:
  Callers(Clock& clock, Deadlines& deadlines, Connections& net, Router& router, const Config& config);
  void listen();
  void set_ready(std::function<bool()> ready) { ready_ = std::move(ready); }
  /// Told of a release for a call that this process never had.
  void set_stray_release(std::function<void(const std::string&, int)> stray) { stray_ = std::move(stray); }
  /// New set-ups are refused from here on.
  void close_door() { door_closed_ = true; }
  /// A converter's word on a call that stood before this process began.
  void stray_over(const std::string& call, int why);
  [[nodiscard]] bool knows(const std::string& call) const {
    return by_name_.contains(call) || ended_.has(call);
  }

  void served(Handle request, const std::string& answer) override;
  void refused(Handle request, double wait_ms) override;
  void failed(Handle request) override;
  void over(Handle request, CallEnd end) override;

  void on_connected(Handle connection) override;
  void on_input(Handle connection, evbuffer* in) override;
  void on_ended(Handle connection, const char* reason) override;

 private:
  struct Taken {
    std::string name;
    Handle connection = no_handle;
    bool standing = false;
  };
  void on_message(Handle connection, const Message& message);
  void on_offer(Handle connection, const Message& message);
  void on_end(Handle connection, const Message& message);
  void answer(Handle request, Message message);
  void release(const std::string& call, int why, Handle preferred);
  void forget(Handle request);
  void trust(Handle connection);

  Clock& clock_;
  Deadlines& deadlines_;
  Connections& net_;
  Router& router_;
  const Config& config_;
  std::function<bool()> ready_;
  std::function<void(const std::string&, int)> stray_;
  std::unordered_map<Handle, Taken> taken_;
  std::unordered_map<std::string, Handle> by_name_;
  EndedCalls ended_;
  std::set<Handle> untried_;         ///< connections that have said nothing yet
  std::set<Handle> open_;            ///< connections from callers: not those of a mere test
  std::vector<std::string> unsaid_;  ///< releases that no connection could carry yet
  bool door_closed_ = false;
};

}  // namespace heathturn
