// Stand-ins for the review's cases: callers, converters and the event bus of the platform, in one process and
// one loop, on loopback addresses and the real clock. They follow the protocol page; what a case adds to that
// (a disruption) stands in the case's own file. Only the call router is a separate process, started with the
// deploy file's own command.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace review {

inline constexpr int held = 0, broken = 1, could_not_run = 2;  // exit statuses

inline double now_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
inline double unix_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// The record of what was sent, answered and run; record.txt in the folder of the case.
class Record {
 public:
  void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void operator()(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    if (file_ == nullptr) return;
    std::fprintf(file_, "%9.1f  ", now_ms() - start_ms_);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }
  [[nodiscard]] double time() const { return now_ms() - start_ms_; }

 private:
  std::FILE* file_ = nullptr;
  double start_ms_ = now_ms();
};
inline Record record;

[[noreturn]] inline void stop_run(const std::string& why);

// ---- Messages -------------------------------------------------------------------------------------------

/// The text after `"key":"` in a line, as it stands there (the router writes compact JSON); or nothing.
inline std::optional<std::string> text_in(const std::string& line, const std::string& key) {
  const auto at = line.find("\"" + key + "\":\"");
  if (at == std::string::npos) return std::nullopt;
  const auto begin = at + key.size() + 4;
  const auto end = line.find('"', begin);
  return end == std::string::npos ? std::nullopt : std::optional(line.substr(begin, end - begin));
}
inline int number_in(const std::string& line, const std::string& key, int fallback = -1) {
  const auto at = line.find("\"" + key + "\":");
  return at == std::string::npos ? fallback : std::atoi(line.c_str() + at + key.size() + 3);
}
struct Line {
  std::string text, op, call, desc;
  int why = -1;
  explicit Line(std::string line) : text(std::move(line)) {
    op = text_in(text, "op").value_or("");
    call = text_in(text, "call").value_or("");
    desc = text_in(text, "desc").value_or("");
    why = number_in(text, "why");
  }
};
inline std::string message(const std::string& op, const std::string& call, const std::string& fields = "",
                           int why = -1, const std::string& desc = "") {
  std::string out = R"({"op":")" + op + R"(","call":")" + call + R"(","with":{)" + fields + "}";
  if (why >= 0) out += R"(,"why":)" + std::to_string(why);
  if (!desc.empty()) out += R"(,"desc":")" + desc + "\"";
  return out + "}\n";
}
inline std::string call_id(int n) {
  char text[20];
  std::snprintf(text, sizeof text, "5e1f00000000%04x", n);
  return text;
}

// ---- Sockets --------------------------------------------------------------------------------------------

struct Connection {
  int socket = -1;
  std::string name, in, out;
  bool quiet = false;  ///< carries nothing in either direction, and stays open
  std::function<void(Connection&, const std::string&)> on_line;
  std::function<void(Connection&)> on_bytes;  ///< instead of on_line
  std::function<void(Connection&)> on_closed;
  [[nodiscard]] bool open() const { return socket >= 0; }
  void send(const std::string& bytes) { out += bytes; }
};

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}
inline int port_of(int socket) {
  sockaddr_in address{};
  socklen_t length = sizeof address;
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}
inline std::string address_text(int port) { return "127.0.0.1:" + std::to_string(port); }

/// The loop: all sockets of the stand-ins, and timers.
class Loop {
 public:
  struct Listener {
    int socket = -1, port = 0;
    std::function<void(Connection&)> on_accept;
  };
  Listener& listen(std::function<void(Connection&)> on_accept, int port = 0) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = loopback(port);
    if (::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(socket, 64) != 0)
      stop_run("a stand-in cannot listen");
    listeners_.push_back(std::make_unique<Listener>(Listener{socket, port_of(socket), std::move(on_accept)}));
    return *listeners_.back();
  }
  static int free_port() {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(0);
    ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    const int port = port_of(socket);
    ::close(socket);
    return port;
  }
  static void stop_listening(Listener& listener) {
    ::close(listener.socket);
    listener.socket = -1;
  }
  /// Null if the connection is refused.
  Connection* connect(int port, const std::string& name) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
      ::close(socket);
      return nullptr;
    }
    return &add(socket, name);
  }
  Connection& add(int socket, const std::string& name) {
    ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) | O_NONBLOCK);
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    connections_.push_back(std::make_unique<Connection>());
    connections_.back()->socket = socket;
    connections_.back()->name = name;
    return *connections_.back();
  }
  static void close(Connection& connection, bool reset = false) {
    if (!connection.open()) return;
    const linger at_once{1, 0};
    if (reset) ::setsockopt(connection.socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    ::close(connection.socket);
    connection.socket = -1;
  }
  void at(double time_ms, std::function<void()> what) { timers_.emplace(time_ms, std::move(what)); }
  void after(double delay_ms, std::function<void()> what) { at(now_ms() + delay_ms, std::move(what)); }

  void run_for(double duration_ms) {
    run_until([] { return false; }, duration_ms);
  }
  /// True if the condition holds within that time.
  bool run_until(const std::function<bool()>& condition, double within_ms) {
    const double end_ms = now_ms() + within_ms;
    while (!condition()) {
      const double left_ms = end_ms - now_ms();
      if (left_ms <= 0) return false;
      turn(std::min(left_ms, 5.0));
    }
    return true;
  }

 private:
  void turn(double wait_ms) {
    std::vector<pollfd> polled;
    std::vector<Listener*> listeners;
    std::vector<Connection*> connections;
    for (auto& each : listeners_) {
      if (each->socket < 0) continue;
      polled.push_back({each->socket, POLLIN, 0});
      listeners.push_back(each.get());
    }
    for (auto& each : connections_) {
      if (!each->open() || each->quiet) continue;
      polled.push_back({each->socket, static_cast<short>(POLLIN | (each->out.empty() ? 0 : POLLOUT)), 0});
      connections.push_back(each.get());
    }
    ::poll(polled.data(), polled.size(), std::max(1, static_cast<int>(wait_ms)));
    for (std::size_t i = 0; i < polled.size(); ++i) {
      if (polled[i].revents == 0) continue;
      if (i < listeners.size()) {
        if (listeners[i]->socket < 0) continue;
        const int socket = ::accept4(listeners[i]->socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket >= 0) listeners[i]->on_accept(add(socket, "accepted"));
        continue;
      }
      auto& connection = *connections[i - listeners.size()];
      if (connection.open() && !connection.quiet && (polled[i].revents & (POLLIN | POLLHUP | POLLERR)) != 0)
        read(connection);
    }
    while (!timers_.empty() && timers_.begin()->first <= now_ms()) {
      const auto what = timers_.begin()->second;
      timers_.erase(timers_.begin());
      what();
    }
    for (std::size_t i = 0; i < connections_.size(); ++i) {
      auto& each = *connections_[i];
      if (!each.open() || each.quiet || each.out.empty()) continue;
      const auto sent = ::send(each.socket, each.out.data(), each.out.size(), MSG_NOSIGNAL);
      if (sent > 0) each.out.erase(0, static_cast<std::size_t>(sent));
    }
  }
  static void read(Connection& connection) {
    char buffer[65536];
    const auto received = ::recv(connection.socket, buffer, sizeof buffer, 0);
    if (received < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (received <= 0) {
      close(connection);
      if (connection.on_closed) connection.on_closed(connection);
      return;
    }
    connection.in.append(buffer, static_cast<std::size_t>(received));
    if (connection.on_bytes) return connection.on_bytes(connection);
    for (std::size_t end; connection.open() && (end = connection.in.find('\n')) != std::string::npos;) {
      const auto line = connection.in.substr(0, end);
      connection.in.erase(0, end + 1);
      if (connection.on_line) connection.on_line(connection, line);
    }
  }
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::multimap<double, std::function<void()>> timers_;
};

// ---- The event bus --------------------------------------------------------------------------------------

/// Tells every subscriber the events that it does not have yet, and writes an empty frame each second.
class Bus {
 public:
  explicit Bus(Loop& loop) : loop_(loop) {
    port = loop_.listen([this](Connection& connection) { subscribe(connection); }).port;
    empty_frames();
  }
  /// The next event: one converter's state 0 ready, 1 draining, 2 gone. `since_ms`: Unix time of a late start.
  void change(std::uint32_t id, int converter_port, int group, int state, std::uint64_t since_ms) {
    std::string payload;
    put(payload, id, 4);
    put(payload, INADDR_LOOPBACK, 4);
    put(payload, static_cast<std::uint64_t>(converter_port), 2);
    put(payload, static_cast<std::uint64_t>(state), 1);
    put(payload, 0, 2);  // zone, kind
    put(payload, static_cast<std::uint64_t>(group), 2);
    put(payload, 1000, 4);
    put(payload, since_ms, 8);
    ++last_event;
    events_[last_event] = frame(last_event, 2, payload);
    record("bus: event %llu, converter s-%08x has state %d", static_cast<unsigned long long>(last_event), id,
           state);
    for (auto* each : subscribers_) each->send(events_[last_event]);
  }
  int port = 0;
  std::uint64_t last_event = 1;  ///< event 1 is the list that the configuration holds

 private:
  static void put(std::string& out, std::uint64_t value, int width) {
    while (width-- > 0) out.push_back(static_cast<char>(value >> (8 * width)));
  }
  static std::string frame(std::uint64_t number, int kind, const std::string& payload) {
    std::string out;
    put(out, 9 + payload.size(), 4);
    put(out, number, 8);
    put(out, static_cast<std::uint64_t>(kind), 1);
    return out + payload;
  }
  void subscribe(Connection& connection) {
    connection.on_bytes = [this](Connection& from) {
      if (from.in.size() < 8) return;
      std::uint64_t has = 0;
      for (int i = 0; i < 8; ++i) has = has << 8 | static_cast<unsigned char>(from.in[i]);
      from.in.erase(0, 8);
      for (const auto& [number, bytes] : events_) {
        if (number > has) from.send(bytes);
      }
      subscribers_.insert(&from);
    };
    connection.on_closed = [this](Connection& from) { subscribers_.erase(&from); };
  }
  void empty_frames() {
    for (auto* each : subscribers_) each->send(frame(last_event, 0, ""));
    loop_.after(1000, [this] { empty_frames(); });
  }
  Loop& loop_;
  std::set<Connection*> subscribers_;
  std::map<std::uint64_t, std::string> events_;
};

// ---- A converter ----------------------------------------------------------------------------------------

/// A sound converter: reports its group's state first on each connection and when it changes, sets calls up
/// after `work_ms`, acknowledges releases, and sends a release on the connection of the set-up, or else on any
/// open one, and on the next one opened as well.
class Converter {
 public:
  Converter(Loop& loop, std::string its_name, int free_circuits = 20, int total_circuits = 20)
      : free(free_circuits), total(total_circuits), loop_(loop), name(std::move(its_name)) {
    start();
  }
  void start() {
    listener_ = &loop_.listen([this](Connection& connection) { accept(connection); }, port);
    port = listener_->port;
  }
  /// The process dies: its connections are reset, its calls are cut, and nothing listens any more.
  void die() {
    record("%s: its process dies; calls that stood are cut: %zu", name.c_str(), standing.size());
    Loop::stop_listening(*listener_);
    for (auto* each : connections_) Loop::close(*each, true);
    connections_.clear();
    standing.clear();
    pending.clear();
  }
  /// A call that stands comes to its end here.
  void end_call(const std::string& call, int why = 16) {
    const auto it = standing.find(call);
    if (it == standing.end()) return;
    auto* connection = it->second;
    standing.erase(it);
    ++free;
    if (connections_.count(connection) == 0) connection = connections_.empty() ? nullptr : *connections_.begin();
    record("%s: call %s comes to its end", name.c_str(), call.c_str());
    if (connection != nullptr) write(*connection, message("end", call, load(), why));
    on_next_.push_back(message("end", call, load(), why));
    report();
  }
  [[nodiscard]] std::string load() const {
    return R"("load":"x0:)" + std::to_string(free) + ";x1:" + std::to_string(total) + "\"";
  }
  void write(Connection& connection, const std::string& bytes) {
    record("%s > router: %s", name.c_str(), bytes.substr(0, bytes.size() - 1).c_str());
    connection.send(bytes);
  }
  void set_up(Connection& connection, const std::string& call, const std::string& desc) {
    pending.erase(call);
    standing[call] = &connection;
    ++set_ups[call];
    --free;
    record("%s: call %s is set up and stands", name.c_str(), call.c_str());
    write(connection, message("accept", call, "", -1, "answer of " + name + " to " + desc));
    report();
  }
  void report() {
    if (!reports_changes) return;
    for (auto* each : connections_) each->send(message("group", "0000000000000000", load()));
  }
  [[nodiscard]] const std::set<Connection*>& connections() const { return connections_; }

  int port = 0;
  int free, total;
  double work_ms = 5;
  bool reports_changes = true;
  std::map<std::string, Connection*> standing, pending;  ///< by call
  std::map<std::string, int> set_ups;                    ///< how often a call was set up here
  std::set<std::string> released;                        ///< calls that the router released
  std::function<void(Connection&, const Line&)> on_offer;  ///< instead of setting the call up
  std::function<void(Connection&, const Line&)> on_test;   ///< instead of passing it
  std::function<bool(Connection&, const Line&)> on_line_hook;  ///< true: the case has dealt with the message

 private:
  void accept(Connection& connection) {
    connection.name = name;
    connections_.insert(&connection);
    connection.on_line = [this](Connection& from, const std::string& text) { on_line(from, Line(text)); };
    connection.on_closed = [this](Connection& from) {
      connections_.erase(&from);
      for (auto it = pending.begin(); it != pending.end();)
        it = it->second == &from ? pending.erase(it) : std::next(it);
    };
    connection.send(message("group", "0000000000000000", load()));
    for (const auto& bytes : on_next_) write(connection, bytes);
    on_next_.clear();
  }
  void on_line(Connection& from, const Line& line) {
    if (line.op != "ended") record("router > %s: %s", name.c_str(), line.text.c_str());
    if (on_line_hook && on_line_hook(from, line)) return;
    if (line.op == "test") {
      if (on_test) return on_test(from, line);
      write(from, message("tested", line.call, line.why == 1 ? load() : "", 1));
    } else if (line.op == "offer") {
      pending[line.call] = &from;
      if (on_offer) return on_offer(from, line);
      loop_.after(work_ms, [this, &from, line] {
        if (pending.count(line.call) > 0 && from.open()) set_up(from, line.call, line.desc);
      });
    } else if (line.op == "end") {
      released.insert(line.call);
      pending.erase(line.call);
      if (standing.erase(line.call) > 0) {
        ++free;
        record("%s: the router's release cuts call %s", name.c_str(), line.call.c_str());
        report();
      }
      from.send(message("ended", line.call));
    }
  }
  Loop& loop_;
  Loop::Listener* listener_ = nullptr;
  std::set<Connection*> connections_;
  std::vector<std::string> on_next_;

 public:
  std::string name;
};

// ---- Callers --------------------------------------------------------------------------------------------

/// The callers' side: connections to the call router, and what was answered on them. Confirms each release.
class Callers {
 public:
  Callers(Loop& loop, int router_port) : loop_(loop), router_port_(router_port) {}
  struct Outcome {
    double offered_ms = 0, accepted_ms = 0, ended_ms = 0;  ///< 0: not yet
    int end_why = -1, answers = 0;
    std::string desc;
  };
  Connection* connect(const std::string& name) {
    auto* connection = loop_.connect(router_port_, name);
    if (connection == nullptr) return nullptr;
    connection->on_line = [this](Connection& from, const std::string& text) { on_line(from, Line(text)); };
    connection->on_closed = [](Connection& from) { record("caller %s: closed", from.name.c_str()); };
    return connection;
  }
  void offer(Connection& on, const std::string& call, int destination, int left_ms = 3000,
             const std::string& call_class = "quick-pdf", const std::string& extras = ";via:-1") {
    calls[call].offered_ms = now_ms();
    send(on, message("offer", call,
                     R"("class":")" + call_class + R"(","left":")" + std::to_string(left_ms) +
                         R"(","tenant":"tui-legal","key":"64900)" + call.substr(11) +
                         R"(","extras":"dest:)" + std::to_string(destination) + ";width:1" + extras + "\"",
                     -1, "file of call " + call));
  }
  void send(Connection& on, const std::string& bytes) {
    record("caller %s > router: %s", on.name.c_str(), bytes.substr(0, bytes.size() - 1).c_str());
    on.send(bytes);
  }
  bool wait_accepted(const std::string& call, double within_ms = 5000) {
    return loop_.run_until([&] { return calls[call].accepted_ms > 0; }, within_ms);
  }
  bool wait_ended(const std::string& call, double within_ms) {
    return loop_.run_until([&] { return calls[call].ended_ms > 0; }, within_ms);
  }
  /// Passes a readiness test, as the front asks for after a start.
  bool wait_ready(double within_ms = 15000) {
    bool passed = false;
    const double end_ms = now_ms() + within_ms;
    while (!passed && now_ms() < end_ms) {
      auto* probe = loop_.connect(router_port_, "front");
      if (probe != nullptr) {
        probe->on_line = [&](Connection&, const std::string& text) {
          passed = Line(text).op == "tested" && Line(text).why == 1;
        };
        probe->send(message("test", "00000000000000f0", "", 0));
        loop_.run_for(100);
        probe->on_line = nullptr;
        Loop::close(*probe);
      }
      loop_.run_for(50);
    }
    return passed;
  }
  std::map<std::string, Outcome> calls;
  bool acknowledges = true;

 private:
  void on_line(Connection& from, const Line& line) {
    record("router > caller %s: %s", from.name.c_str(), line.text.c_str());
    auto& outcome = calls[line.call];
    if (line.op == "accept") {
      ++outcome.answers;
      outcome.accepted_ms = now_ms();
      outcome.desc = line.desc;
    } else if (line.op == "end") {
      if (outcome.ended_ms == 0) outcome.ended_ms = now_ms();
      if (outcome.accepted_ms == 0) ++outcome.answers;
      outcome.end_why = line.why;
      if (outcome.accepted_ms > 0 && acknowledges) from.send(message("ended", line.call));
    }
  }
  Loop& loop_;
  int router_port_;
};

// ---- The call router ------------------------------------------------------------------------------------

/// The program, started with the deploy file's `run` (environment RUN_COMMAND) from the repository's root.
class Router {
 public:
  ~Router() { kill(); }
  /// `config`: empty to use the file of the last start. `platform`: as the platform starts it.
  void start(const std::string& config, int listen_port, const std::string& command = "",
             bool platform = true) {
    listen_port_ = listen_port;
    const char* folder = std::getenv("CASE_TMP");
    const std::string path = std::string(folder == nullptr ? "/tmp" : folder) + "/config.json";
    if (!config.empty()) std::ofstream(path, std::ios::trunc) << config;
    const std::string run = command.empty() ? std::getenv("RUN_COMMAND") : command;
    const std::string log = std::string(folder == nullptr ? "/tmp" : folder) + "/router.log";
    const auto listen = address_text(listen_port);
    record("the call router starts: %s", run.c_str());
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // the router ends with this process, however that ends
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(out, 1);
      ::dup2(out, 2);
      if (platform) {
        ::setenv("PROXY_NAME", "n0", 1);
        ::setenv("PROXY_LISTEN", listen.c_str(), 1);
        ::setenv("PROXY_CONFIG", path.c_str(), 1);
      }
      ::execl("/bin/sh", "sh", "-c", run.c_str(), static_cast<char*>(nullptr));
      ::_exit(127);
    }
  }
  void signal(int number) const {
    record("the call router gets signal %d", number);
    if (pid_ > 0) ::kill(pid_, number);
  }
  [[nodiscard]] bool running() {
    if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_) pid_ = -1;
    return pid_ > 0;
  }
  bool wait_exit(Loop& loop, double within_ms) {
    const bool ended = loop.run_until([this] { return !running(); }, within_ms);
    if (ended) record("the call router has ended, status %d", status_);
    return ended;
  }
  void kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, &status_, 0);
    pid_ = -1;
  }
  [[nodiscard]] int status() const { return status_; }
  [[nodiscard]] pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  int status_ = 0, listen_port_ = 0;
};

/// The settings of nz-convert-main's brief, for the call router of exchange 0 and these converters (ids and
/// group numbers from 1). `offset`: the last event; `draining`: index of a converter that drains, or -1.
inline std::string platform_config(int listen_port, int bus_port,
                                   const std::vector<std::unique_ptr<Converter>>& converters,
                                   std::uint64_t offset = 1, int draining = -1) {
  std::string endpoints;
  for (std::size_t i = 0; i < converters.size(); ++i) {
    if (i > 0) endpoints += ",";
    endpoints += R"({"name":"s-0000000)" + std::to_string(i + 1) + R"(","address":")" +
                 address_text(converters[i]->port) +
                 R"(","zone":"auckland","type":"std-1core","group":)" + std::to_string(i + 1) +
                 R"(,"status":")" + (static_cast<int>(i) == draining ? "terminating" : "in_service") +
                 R"(","weight":1,"since_ms":0})";
  }
  return R"({"name":"n0","listen":")" + address_text(listen_port) +
         R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"bus":")" +
         address_text(bus_port) + R"(","known":{"offset":)" + std::to_string(offset) +
         R"(,"batch":[{"offset":)" + std::to_string(offset) +
         R"(,"topology":{"index":1,"snapshot":true,"endpoints":[)" + endpoints +
         R"(]}}]},"settings":{"areas":["auckland"],"balancers":)" + std::to_string(converters.size() + 1) +
         R"(,"callers":{"marks_retry":true},
"classes":[{"name":"quick-pdf","effect":"pure","give_up_us":9000000,"objective_us":1200000,"importance":1.0,
"late_value":0.1,"stream":true},{"name":"scan-to-text","effect":"pure","give_up_us":9000000,
"objective_us":2000000,"importance":3.0,"late_value":0.25,"stream":true}],
"discovery":"push","family":"trunks","kinds":["std-1core"],
"invariants":{"answer_slack_us":20000,"ask_within_us":10000000,"cold_us":14000000,"drain_grace_us":2000000,
"fall_multiple":4.0,"overload_for_us":3000000,"start_capacity":0.31},
"limits":{"cancelling":true,"conn_idle_us":600000000,"connect_timeout_us":500000,"max_open":20000,
"max_retry_after_us":2000000,"may_duplicate":false,"peers":false,"probes":true,"retry_after":true,"try_limit":6},
"specifics":{"call_length_us":[10400000,12500000],"circuits_by_class":[1,1],"far_reports":"pull",
"guard_us":300000,"hints_route":true,"home_no":0,"network_form":"meshed","resend_us":400000,"retry_hint":true},
"stats":{"columns":["spare","total","cut_by","recent_ms"],"via":"pull"},"step_us":5000,
"tenants":[{"name":"harbourside-accounts","fraction":0.52},{"name":"tui-legal","fraction":0.29},
{"name":"matai-print","fraction":0.19}],"weights":"silent","zone":0}})";
}

inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}
/// Opens the record in the folder of the case.
inline void begin_case(const char* what) {
  ::signal(SIGPIPE, SIG_IGN);
  const char* folder = std::getenv("CASE_FOLDER");
  record.open(std::string(folder == nullptr ? "." : folder) + "/record.txt");
  record("%s, %s the disruption", what, trouble() ? "with" : "without");
}
inline int verdict(int status, const std::string& text) {
  record("verdict %d: %s", status, text.c_str());
  std::printf("%s\n", text.c_str());
  std::fflush(stdout);
  return status;
}
[[noreturn]] inline void stop_run(const std::string& why) { std::exit(verdict(could_not_run, why)); }

/// A small deployment: the event bus, eight converters, the callers' side and one call router, which is ready.
struct Deployment {
  Loop loop;
  Bus bus{loop};
  std::vector<std::unique_ptr<Converter>> converters;
  const int port = Loop::free_port();
  Callers callers{loop, port};
  Router router;

  Deployment() {
    for (int i = 1; i <= 8; ++i)
      converters.push_back(std::make_unique<Converter>(loop, "converter " + std::to_string(i)));
    router.start(platform_config(port, bus.port, converters), port);
    if (!callers.wait_ready()) stop(could_not_run, "the call router did not become ready");
  }
  Converter& converter(int number) { return *converters[static_cast<std::size_t>(number - 1)]; }
  Connection& connect(const std::string& name) {
    auto* connection = callers.connect(name);
    if (connection == nullptr) stop(could_not_run, "no connection to the call router");
    return *connection;
  }
  /// Sets up a call that stands.
  void establish(Connection& on, const std::string& call, int destination) {
    callers.offer(on, call, destination);
    if (!callers.wait_accepted(call)) stop(could_not_run, "call " + call + " was not set up");
  }
  /// Ends the run with this status.
  [[noreturn]] void stop(int status, const std::string& text) {
    router.kill();
    std::exit(verdict(status, text));
  }
};

}  // namespace review
