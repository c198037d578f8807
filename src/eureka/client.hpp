// The client of a Eureka registry: fetches the list of converters, and keeps this program registered.
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

class EurekaClient {
 public:
  using Sink = std::function<void()>;  ///< the list has been heard anew
  EurekaClient(Clock& clock, TimerQueue& timers, event_base* base, EurekaConfig config, LogSink log,
               Sink sink);
  ~EurekaClient();
  EurekaClient(const EurekaClient&) = delete;
  EurekaClient& operator=(const EurekaClient&) = delete;

  /// `own`: where this program listens, for its registration.
  void start(const Address& own);
  /// The instances of an application as last heard; those that cannot be used are left out.
  [[nodiscard]] std::vector<Converter> instances(const std::string& application) const {
    return instances_.converters(application);
  }
  void deregister();
  [[nodiscard]] bool deregistering() const { return deregistering_; }

 private:
  /// The status, 0 for no reply at all, and the body.
  using Reply = std::function<void(int, const std::string&)>;
  struct Call {
    EurekaClient* owner = nullptr;
    evhttp_connection* connection = nullptr;
    Reply reply;
    bool done = false;
  };
  void request(evhttp_cmd_type method, const std::string& path, const std::string& body, Reply reply);
  void fetch();
  void fetched(bool whole, int status, const std::string& body);
  void register_self();
  void beat();
  void free_done();
  [[nodiscard]] std::string own_path() const;

  Clock& clock_;
  TimerQueue& timers_;
  event_base* base_;
  EurekaConfig config_;
  LogSink log_;
  Sink sink_;
  EurekaInstances instances_;
  std::list<Call> calls_;
  Address own_;
  bool have_all_ = false;
  bool outage_ = false;
  bool registered_ = false;
  bool deregistering_ = false;
  bool leaving_ = false;
};

}  // namespace heathturn
