// A client of a Eureka registry: fetches the list of converters periodically, and keeps this program
// registered.
#pragma once

#include <event2/http.h>

#include <functional>
#include <list>
#include <string>

#include "config/enum_config.hpp"
#include "core/clock.hpp"
#include "core/timer_queue.hpp"
#include "eureka/instances.hpp"
#include "log/event.hpp"

namespace heathturn {

/// Fetches the instances of a registry, and registers this program there if so configured.
class EurekaClient {
 public:
  using UpdateCallback = std::function<void()>;  ///< a reply has updated the list
  EurekaClient(Clock& clock, TimerQueue& timers, event_base* base, EurekaConfig config, LogSink log,
               UpdateCallback on_update);
  ~EurekaClient();
  EurekaClient(const EurekaClient&) = delete;
  EurekaClient& operator=(const EurekaClient&) = delete;

  /// Starts fetching. `own_address` is the address under which this program registers itself.
  void start(const Address& own_address);
  /// The instances of an application in the last valid reply, without those that cannot be used.
  [[nodiscard]] std::vector<Converter> instances(const std::string& application) const {
    return instances_.converters(application);
  }
  /// Ends the heartbeat and removes the registration.
  void deregister();
  /// Whether the removal still waits for its reply.
  [[nodiscard]] bool deregistering() const { return deregistering_; }

 private:
  /// Called with the HTTP status, 0 if there was no reply, and the body.
  using ReplyCallback = std::function<void(int, const std::string&)>;
  struct Request {
    EurekaClient* owner = nullptr;
    evhttp_connection* connection = nullptr;
    ReplyCallback on_reply;
    bool done = false;
  };
  void send_request(evhttp_cmd_type method, const std::string& path, const std::string& body,
                    ReplyCallback on_reply);
  void fetch();
  void on_fetched(bool full, int status, const std::string& body);
  void register_self();
  void heartbeat();
  void free_completed();
  [[nodiscard]] std::string own_path() const;

  Clock& clock_;
  TimerQueue& timers_;
  event_base* base_;
  EurekaConfig config_;
  LogSink log_;
  UpdateCallback on_update_;
  EurekaInstances instances_;
  std::list<Request> requests_;
  Address own_address_;
  bool has_full_list_ = false;
  bool outage_ = false;
  bool registered_ = false;
  bool deregistering_ = false;
  bool leaving_ = false;
};

}  // namespace heathturn
