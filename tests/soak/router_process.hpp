// The call router under test, as a process.
#pragma once

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <cstdlib>
#include <fstream>

#include "event_bus.hpp"

namespace heathturn::soak {

/// The figures of a deployment that differ between seeds.
struct Deployment {
  int longest_deadline_ms = 3000;
  int objective_ms = 1200;
  int router_port = 0;
};

/// The configuration of the call router of exchange 0, with these converters in service.
inline std::string config_text(const Deployment& deployment, const EventBus& bus,
                               const std::vector<const Converter*>& in_service) {
  std::string endpoints;
  for (const auto* each : in_service) {
    endpoints += std::string(endpoints.empty() ? "" : ",") + R"({"name":")" + each->name() +
                 R"(","address":"127.0.0.1:)" + std::to_string(each->port) +
                 R"(","zone":"z","type":"t","group":)" + std::to_string(each->number) +
                 R"(,"status":"in_service","weight":1,"since_ms":0})";
  }
  const auto offset = std::to_string(bus.last_event);
  return R"({"name":"n0","listen":"127.0.0.1:)" + std::to_string(deployment.router_port) +
         R"(","seed":"1","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"bus":"127.0.0.1:)" +
         std::to_string(bus.port) + R"(","known":{"offset":)" + offset + R"(,"batch":[{"offset":)" + offset +
         R"(,"topology":{"index":1,"snapshot":true,"endpoints":[)" + endpoints +
         R"(]}}]},"settings":{"balancers":7,"step_us":5000,"areas":["z"],"tenants":[{"name":"acme"}],
"classes":[{"name":"voice","effect":"pure","importance":1,"objective_us":)" +
         std::to_string(deployment.objective_ms * 1000) + R"(,"give_up_us":)" +
         std::to_string(deployment.longest_deadline_ms * 1000) +
         R"(,"late_value":0.2,"stream":true}],
"specifics":{"network_form":"meshed","home_no":0,"guard_us":300000,"resend_us":400000,"hints_route":true},
"invariants":{"start_capacity":0.3,"cold_us":14000000,"fall_multiple":4,"overload_for_us":3000000,
"drain_grace_us":2000000,"answer_slack_us":20000},
"limits":{"try_limit":6,"max_retry_after_us":2000000,"retry_after":true,"cancelling":true,"probes":true,
"may_duplicate":false,"connect_timeout_us":500000},"stats":{"columns":["spare","total","cut_by","recent_ms"]}}})";
}

/// Starts, signals and observes the process. Its log goes to a file in `folder`.
class RouterProcess {
 public:
  RouterProcess(std::string program, std::string folder)
      : program_(std::move(program)), folder_(std::move(folder)) {}
  RouterProcess(const RouterProcess&) = delete;
  RouterProcess& operator=(const RouterProcess&) = delete;
  ~RouterProcess() { kill(); }

  void write_config(const std::string& text) const {
    const auto replacement = config_path() + ".new";
    std::ofstream(replacement, std::ios::trunc) << text;
    std::rename(replacement.c_str(), config_path().c_str());
  }
  void start() {
    const auto path = config_path();
    const auto log = log_path();
    pid_ = ::fork();
    if (pid_ != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(output, 1);
    ::dup2(output, 2);
    ::setenv("PROXY_NAME", "n0", 1);
    ::setenv("PROXY_CONFIG", path.c_str(), 1);
    ::execl(program_.c_str(), program_.c_str(), "serve", "--log-level", "debug", static_cast<char*>(nullptr));
    ::_exit(127);
  }
  void signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
  }
  void kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, &status_, 0);
    pid_ = -1;
  }
  [[nodiscard]] bool running() {
    if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_) pid_ = -1;
    return pid_ > 0;
  }
  /// Of the process that ended last.
  [[nodiscard]] bool exited_with_success() const { return WIFEXITED(status_) && WEXITSTATUS(status_) == 0; }
  [[nodiscard]] std::string config_path() const { return folder_ + "/config.json"; }
  [[nodiscard]] std::string log_path() const { return folder_ + "/router.log"; }

 private:
  std::string program_, folder_;
  pid_t pid_ = -1;
  int status_ = 0;
};

}  // namespace heathturn::soak
