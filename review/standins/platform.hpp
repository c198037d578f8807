// The platform as the pages describe it: configuration, event bus, converters and callers.
#pragma once

#include "common.hpp"

namespace review {

/// A converter as a router sees it. Its answers travel over a path that can hold them back, as a network does;
/// what it reads arrives at once unless the path is cut.
class ConverterStandIn {
 public:
  struct Attempt {
    std::string call;
    double received_ms = 0, over_ms = -1;  ///< over: its end was written, or it was given up
    std::string why_over;
    bool accepted = false;
    std::uint64_t serial = 0;
  };
  std::function<void(ConverterStandIn&, std::size_t attempt, const std::string& line)> on_offer;
  std::vector<Attempt> attempts;
  int number, free_circuits, circuits;
  double path_delay_ms = 0;  ///< of messages written from now on
  bool cut = false;          ///< nothing passes in either direction; it does once the cut ends

  ConverterStandIn(Loop& loop, int exchange, int group_size, std::uint16_t port = 0)
      : number(exchange), free_circuits(group_size), circuits(group_size), loop_(loop) {
    listener_ = bound_socket(SOCK_STREAM, port);
    loop_.on_readable(listener_, [this] { accept(); });
  }
  [[nodiscard]] std::uint16_t port() const { return port_of(listener_); }
  /// Takes and frees circuits and tells the router about it.
  void set_free(int free) {
    free_circuits = free;
    for (const auto& connection : connections_) send_state(*connection);
  }
  [[nodiscard]] std::string load() const {
    return "x0:" + std::to_string(free_circuits) + ";x1:" + std::to_string(circuits);
  }
  void accept_call(std::size_t index, const std::string& description) {
    auto& attempt = attempts[index];
    if (attempt.over_ms >= 0 || attempt.accepted) return;
    attempt.accepted = true;
    record("exchange %d: accepts %s (attempt %zu)", number, attempt.call.c_str(), index);
    send(attempt.serial,
         R"({"op":"accept","call":")" + attempt.call + R"(","with":{},"desc":")" + description + "\"}\n");
  }
  void end_call(std::size_t index, int cause, const std::string& note) {
    auto& attempt = attempts[index];
    if (attempt.over_ms >= 0) return;
    over(attempt, "its end was written, cause " + std::to_string(cause));
    const auto fields = note.empty() ? "" : R"("note":")" + note + R"(","load":")" + load() + "\"";
    const auto line = R"({"op":"end","call":")" + attempt.call + R"(","with":{)" + fields + R"(},"why":)" +
                      std::to_string(cause) + "}\n";
    // A release is sent on the next connection opened as well, unless the router has confirmed it.
    if (attempt.accepted) unconfirmed_releases_[attempt.call] = line;
    send(attempt.serial, line);
  }
  /// The connection of that attempt's set-up falls quiet in both directions, and passes everything on later.
  void hold_connection_of(std::size_t attempt) {
    for (const auto& each : connections_)
      if (each->serial == attempts[attempt].serial) each->held = true;
  }
  void end_holds() {
    for (const auto& each : std::vector(connections_)) {
      if (!each->held) continue;
      each->held = false;
      for (const auto& line : std::exchange(each->held_input, {})) on_line(*each, line);
      flush(*each);
      if (each->held_end) on_end(each, "closed by the peer");
    }
  }
  void end_cut() {
    cut = false;
    for (const auto& connection : connections_) {
      for (const auto& line : std::exchange(connection->held_input, {})) on_line(*connection, line);
      flush(*connection);
    }
  }
  /// The process dies: its connections are reset, its calls are cut. restart() starts it again.
  void crash() {
    for (auto& attempt : attempts)
      if (attempt.over_ms < 0) over(attempt, "the process died");
    loop_.forget(listener_);
    port_before_ = port();
    ::close(listener_);
    for (const auto& connection : connections_) connection->lines->reset();
    connections_.clear();
  }
  void restart() {
    listener_ = bound_socket(SOCK_STREAM, port_before_);
    loop_.on_readable(listener_, [this] { accept(); });
    record("exchange %d: the process runs again", number);
  }

 private:
  struct Connection {
    std::uint64_t serial = 0;
    std::unique_ptr<Lines> lines;
    std::vector<std::pair<double, std::string>> on_path;  ///< when it leaves the path, and the line
    std::vector<std::string> held_input;
    bool held = false, held_end = false;
  };
  void accept() {
    const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (socket < 0) return;
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto connection = std::make_shared<Connection>();
    connection->serial = ++last_serial_;
    std::weak_ptr<Connection> weak = connection;
    connection->lines = std::make_unique<Lines>(
        loop_, socket,
        [this, weak](const std::string& line) {
          const auto self = weak.lock();
          if (!self) return;
          if (cut || self->held) return self->held_input.push_back(line);
          on_line(*self, line);
        },
        [this, weak](const std::string& why) {
          const auto self = weak.lock();
          if (!self) return;
          if (self->held) {
            self->held_end = true;
          } else {
            on_end(self, why);
          }
        });
    connections_.push_back(connection);
    send_state(*connection);
    for (const auto& [call, line] : std::exchange(unconfirmed_releases_, {})) {
      record("exchange %d: release of %s sent again on a new connection", number, call.c_str());
      write(*connection, line);
    }
  }
  void on_end(const std::shared_ptr<Connection>& connection, const std::string& why) {
    record("exchange %d: connection %s", number, why.c_str());
    for (auto& attempt : attempts) {
      if (attempt.serial == connection->serial && attempt.over_ms < 0 && !attempt.accepted)
        over(attempt, "its connection ended");
    }
    loop_.at(now_ms(), [this, connection] { std::erase(connections_, connection); });
  }
  void over(Attempt& attempt, const std::string& why) {
    attempt.over_ms = now_ms();
    attempt.why_over = why;
    record("exchange %d: %s is over: %s", number, attempt.call.c_str(), why.c_str());
  }
  void on_line(Connection& connection, const std::string& line) {
    const auto op = member(line, "op"), call = member(line, "call");
    if (op == "offer") {
      attempts.push_back({call, now_ms(), -1, "", false, connection.serial});
      record("exchange %d: set-up %s arrived (attempt %zu, left %s)", number, call.c_str(), attempts.size() - 1,
             member(line, "left").c_str());
      return on_offer(*this, attempts.size() - 1, line);
    }
    if (op == "end") {
      for (auto& attempt : attempts)
        if (attempt.call == call && attempt.over_ms < 0)
          over(attempt, attempt.accepted ? "released by the router" : "given up by the router");
      return write(connection, R"({"op":"ended","call":")" + call + "\",\"with\":{}}\n");
    }
    if (op == "ended") unconfirmed_releases_.erase(call);
    if (op == "test") {
      const auto fields = member(line, "why") == "1" ? R"("load":")" + load() + "\"" : std::string();
      return write(connection, R"({"op":"tested","call":")" + call + R"(","with":{)" + fields + "},\"why\":1}\n");
    }
  }
  void send_state(Connection& connection) {
    write(connection, R"({"op":"group","call":"","with":{"load":")" + load() + "\"}}\n");
  }
  /// On the connection of the set-up, or else on any open one.
  void send(std::uint64_t serial, const std::string& line) {
    for (const auto& connection : connections_)
      if (connection->serial == serial && connection->lines->open()) return write(*connection, line);
    for (const auto& connection : connections_)
      if (connection->lines->open()) return write(*connection, line);
  }
  void write(Connection& connection, const std::string& line) {
    double leaves_ms = now_ms() + path_delay_ms;
    if (!connection.on_path.empty()) leaves_ms = std::max(leaves_ms, connection.on_path.back().first);
    connection.on_path.emplace_back(leaves_ms, line);
    if (path_delay_ms > 0) {
      const auto serial = connection.serial;
      loop_.at(leaves_ms, [this, serial] {
        for (const auto& each : connections_)
          if (each->serial == serial) flush(*each);
      });
    }
    flush(connection);
  }
  void flush(Connection& connection) {
    if (cut || connection.held) return;
    std::string bytes;
    while (!connection.on_path.empty() && connection.on_path.front().first <= now_ms()) {
      bytes += connection.on_path.front().second;
      connection.on_path.erase(connection.on_path.begin());
    }
    if (!bytes.empty() && connection.lines->open()) connection.lines->write(bytes);
  }
  Loop& loop_;
  int listener_ = -1;
  std::uint16_t port_before_ = 0;
  std::uint64_t last_serial_ = 0;
  std::map<std::string, std::string> unconfirmed_releases_;  ///< by call
  std::vector<std::shared_ptr<Connection>> connections_;
};

inline std::string big_endian(std::uint64_t value, int width) {
  std::string out;
  for (int i = width; i-- > 0;) out.push_back(static_cast<char>(value >> (8 * i)));
  return out;
}

/// The event bus: a frame each second, and the events published, as soon as they are.
class BusStandIn {
 public:
  explicit BusStandIn(Loop& loop, std::uint64_t offset) : loop_(loop), offset_(offset) {
    listener_ = bound_socket(SOCK_STREAM);
    loop_.on_readable(listener_, [this] {
      const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
      if (socket < 0) return;
      sockets_.push_back(socket);
      loop_.on_readable(socket, [this, socket] {
        char buffer[64];
        const auto received = ::recv(socket, buffer, sizeof buffer, 0);
        if (received > 0 || (received < 0 && errno == EAGAIN)) return;
        loop_.forget(socket);
        ::close(socket);
        std::erase(sockets_, socket);
      });
    });
    tick();
  }
  [[nodiscard]] std::uint16_t port() const { return port_of(listener_); }
  /// One changed converter: its state, and when it started (0: long ago).
  void publish(int exchange, std::uint16_t port, int state, double since_ms) {
    ++offset_;
    send(big_endian(offset_, 8) + "\2" + big_endian(static_cast<std::uint64_t>(exchange) + 100, 4) +
         big_endian(INADDR_LOOPBACK, 4) + big_endian(port, 2) + static_cast<char>(state) + std::string(2, '\0') +
         big_endian(static_cast<std::uint64_t>(exchange), 2) + big_endian(1000, 4) +
         big_endian(static_cast<std::uint64_t>(since_ms), 8));
    record("event bus: event %llu, exchange %d, state %d, since %.0f", static_cast<unsigned long long>(offset_),
           exchange, state, since_ms > 0 ? since_ms - started_ms : 0);
  }

 private:
  void tick() {
    send(big_endian(offset_, 8) + std::string(1, '\0'));
    loop_.at(now_ms() + 1000, [this] { tick(); });
  }
  void send(const std::string& payload) {
    const auto frame = big_endian(payload.size(), 4) + payload;
    for (const int socket : sockets_) (void)!::send(socket, frame.data(), frame.size(), MSG_NOSIGNAL);
  }
  Loop& loop_;
  int listener_;
  std::uint64_t offset_;
  std::vector<int> sockets_;
};

/// The configuration of the router of exchange 0, with figures as a small site has them.
inline std::string platform_config(std::uint16_t listen, std::uint16_t bus, int memory_mb, int sockets,
                                   const std::vector<std::unique_ptr<ConverterStandIn>>& converters) {
  std::string endpoints;
  for (const auto& each : converters) {
    char name[16];
    std::snprintf(name, sizeof name, "s-%08x", each->number + 100);
    endpoints += std::string(endpoints.empty() ? "" : ",") + R"({"name":")" + name + R"(","address":"127.0.0.1:)" +
                 std::to_string(each->port()) + R"(","zone":"auckland","type":"std-1core","group":)" +
                 std::to_string(each->number) + R"(,"status":"in_service","weight":1,"since_ms":0})";
  }
  const auto klass = [](const char* name, const char* worth, int objective_ms, const char* late) {
    return std::string(R"({"name":")") + name + R"(","importance":)" + worth + R"(,"objective_us":)" +
           std::to_string(objective_ms * 1000) + R"(,"give_up_us":9000000,"late_value":)" + late +
           R"(,"effect":"pure","group":"all","stream":true,"key_ttl_us":5000000})";
  };
  return R"({"name":"n0","listen":"127.0.0.1:)" + std::to_string(listen) + R"(","seed":"8c1f30d27a5be964",)" +
         R"("limits":{"cores":1.0,"memory_mb":)" + std::to_string(memory_mb) + R"(,"sockets":)" +
         std::to_string(sockets) + R"(},"bus":"127.0.0.1:)" + std::to_string(bus) +
         R"(","known":{"offset":3,"batch":[{"offset":3,"topology":{"index":3,"snapshot":true,"endpoints":[)" +
         endpoints + R"(]}}]},"settings":{"areas":["auckland","wellington","christchurch"],"balancers":5,)" +
         R"("callers":{"marks_retry":true},"classes":[)" + klass("quick-pdf", "1.0", 1200, "0.1") + "," +
         klass("scan-to-text", "3.0", 2000, "0.25") +
         R"(],"discovery":"push","family":"trunks","invariants":{"answer_slack_us":20000,"cold_us":14000000,)" +
         R"("drain_grace_us":2000000,"fall_multiple":4.0,"overload_for_us":3000000,"start_capacity":0.31},)" +
         R"("kinds":["std-1core"],"limits":{"cancelling":true,"conn_idle_us":600000000,)" +
         R"("connect_timeout_us":500000,"max_open":20000,"max_retry_after_us":2000000,"may_duplicate":false,)" +
         R"("peers":false,"probes":true,"retry_after":true,"try_limit":6},"specifics":{)" +
         R"("call_length_us":[10400000,12500000],"circuits_by_class":[1,1],"far_reports":"pull",)" +
         R"("guard_us":300000,"hints_route":true,"home_no":0,"network_form":"meshed","resend_us":400000,)" +
         R"("retry_hint":true},"stats":{"columns":["spare","total","cut_by","recent_ms"],"via":"pull"},)" +
         R"("step_us":5000,"tenants":[{"name":"acme","fraction":1.0,"quota_per_s":37.0}]}})";
}

inline std::string offer_line(const std::string& call, int destination, int left_ms, const std::string& description) {
  return R"({"op":"offer","call":")" + call + R"(","with":{"class":"quick-pdf","left":")" + std::to_string(left_ms) +
         R"(","tenant":"acme","key":"7f3a9c21e0b4)" + call.substr(12) + R"(","extras":"dest:)" +
         std::to_string(destination) + R"(;width:1;via:-1"},"desc":")" + description + "\"}\n";
}
inline std::string call_id(int value) {
  char out[17];
  std::snprintf(out, sizeof out, "9b1f03aa%08x", static_cast<unsigned>(value));
  return out;
}

/// Starts the router with the platform's file; waits until it has passed a test, as the front does.
inline pid_t start_router(Loop& loop, const std::string& folder, std::uint16_t port, const std::string& config) {
  write_file(folder + "/config.json", config);
  const auto command = deploy_command("run");
  record("start: %s", command.c_str());
  const pid_t router = start_process(command, folder + "/router.log",
                                     {{"PROXY_NAME", "n0"},
                                      {"PROXY_LISTEN", "127.0.0.1:" + std::to_string(port)},
                                      {"PROXY_CONFIG", folder + "/config.json"},
                                      {"TMPDIR", folder}});
  bool ready = false;
  while (!ready && now_ms() < 10000) {
    loop.run_until(now_ms() + 100);
    const int socket = connect_to(port);
    if (socket < 0) continue;
    Lines test(
        loop, socket, [&](const std::string& line) { ready = ready || member(line, "why") == "1"; },
        [](const std::string&) {});
    test.write("{\"op\":\"test\",\"call\":\"00000000000000ff\",\"with\":{},\"why\":0}\n");
    loop.run_until(now_ms() + 100);
  }
  require(ready, "the router did not become ready");
  record("the router is ready");
  return router;
}
inline void record_router_log(const std::string& folder) {
  std::istringstream in(read_file(folder + "/router.log"));
  for (std::string line; std::getline(in, line);) record("router log: %s", line.c_str());
}

}  // namespace review
