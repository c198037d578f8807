// Parts shared by the stand-ins of the review: an event loop on poll(), processes, sockets and the record.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cmath>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace review {

/// Unix time in ms.
inline double unix_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline const double started_ms = unix_ms();
/// ms since the start of the script, as written to the record.
inline double now_ms() { return unix_ms() - started_ms; }

inline FILE* record_file = nullptr;
/// Writes a line to the record, with the time in ms.
__attribute__((format(printf, 1, 2))) inline void record(const char* format, ...) {
  std::fprintf(record_file, "%10.1f ", now_ms());
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(record_file, format, arguments);
  va_end(arguments);
  std::fputc('\n', record_file);
}
inline std::vector<pid_t>& children() {
  static std::vector<pid_t> all;
  return all;
}
inline void end_children() {
  for (const auto pid : children()) {
    ::kill(-pid, SIGCONT);
    ::kill(-pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  children().clear();
}
/// Ends the script: 0 the rule held, 1 it was broken, 2 the case could not run.
[[noreturn]] inline void finish(int status, const std::string& verdict) {
  record("verdict: %s (exit %d)", verdict.c_str(), status);
  std::fclose(record_file);
  std::printf("%s (exit %d)\n", verdict.c_str(), status);
  std::fflush(stdout);
  end_children();
  std::_Exit(status);
}
inline void require(bool condition, const char* what) {
  if (!condition) finish(2, std::string("the case could not run: ") + what);
}
inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::strcmp(value, "0") != 0;
}
inline void start_record(const char* path) {
  record_file = std::fopen(path, "w");
  if (record_file == nullptr) std::_Exit(2);
  ::setvbuf(record_file, nullptr, _IOLBF, 0);
  ::signal(SIGPIPE, SIG_IGN);
  ::signal(SIGALRM, [](int) {
    end_children();
    std::_Exit(2);
  });
  ::alarm(110);  // a script must end within 120 s
  record("trouble: %s", trouble() ? "yes" : "no");
}

// ---- Processes ------------------------------------------------------------------------------------------

/// The value of a key of the deploy file.
inline std::string deploy_command(const std::string& key) {
  std::ifstream in("deploy/balancer.toml");
  for (std::string line; std::getline(in, line);) {
    if (line.rfind(key + " = \"", 0) == 0)
      return line.substr(key.size() + 4, line.rfind('"') - key.size() - 4);
  }
  require(false, "deploy/balancer.toml has no such key");
  return "";
}
/// Starts a shell command in a process group of its own; its output goes to a file.
inline pid_t start_process(const std::string& command, const std::string& output_path,
                           const std::vector<std::pair<std::string, std::string>>& environment = {}) {
  const pid_t pid = ::fork();
  if (pid == 0) {
    ::setpgid(0, 0);
    const int out = ::open(output_path.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    ::dup2(out, 1);
    ::dup2(out, 2);
    for (int i = 3; i < 256; ++i) ::close(i);
    for (const auto& [name, value] : environment) ::setenv(name.c_str(), value.c_str(), 1);
    ::execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
    ::_exit(127);
  }
  ::setpgid(pid, pid);
  children().push_back(pid);
  return pid;
}
/// "" while the process runs, else how it ended. A process that has ended is forgotten.
inline std::string end_of(pid_t pid) {
  int status = 0;
  if (::waitpid(pid, &status, WNOHANG) != pid) return "";
  std::erase(children(), pid);
  if (WIFSIGNALED(status)) return "ended by signal " + std::to_string(WTERMSIG(status));
  return "exited with status " + std::to_string(WEXITSTATUS(status));
}
inline std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}
inline void write_file(const std::string& path, const std::string& text) {
  std::ofstream(path, std::ios::trunc | std::ios::binary) << text;
}

// ---- Sockets --------------------------------------------------------------------------------------------

inline sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  out.sin_port = htons(port);
  return out;
}
inline std::uint16_t port_of(int socket) {
  sockaddr_in in{};
  socklen_t length = sizeof in;
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&in), &length);
  return ntohs(in.sin_port);
}
inline int bound_socket(int type, std::uint16_t port = 0) {
  const int out = ::socket(AF_INET, type | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  if (type == SOCK_STREAM) ::setsockopt(out, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const auto address = loopback(port);
  require(::bind(out, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0, "bind");
  if (type == SOCK_STREAM) require(::listen(out, 128) == 0, "listen");
  return out;
}
/// A free port of the loopback address for a listener of the program.
inline std::uint16_t free_port() {
  const int socket = bound_socket(SOCK_STREAM);
  const auto port = port_of(socket);
  ::close(socket);
  return port;
}
inline int connect_to(std::uint16_t port) {
  const int out = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto address = loopback(port);
  if (::connect(out, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(out);
    return -1;
  }
  const int on = 1;
  ::setsockopt(out, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  ::fcntl(out, F_SETFL, ::fcntl(out, F_GETFL) | O_NONBLOCK);
  return out;
}

// ---- Event loop -----------------------------------------------------------------------------------------

class Loop {
 public:
  void on_readable(int socket, std::function<void()> callback) { readers_[socket] = std::move(callback); }
  void on_writable(int socket, std::function<void()> callback) { writers_[socket] = std::move(callback); }
  void no_longer_writable(int socket) { writers_.erase(socket); }
  void forget(int socket) {
    readers_.erase(socket);
    writers_.erase(socket);
  }
  void at(double time_ms, std::function<void()> callback) { timers_.emplace(time_ms, std::move(callback)); }
  void run_until(double end_ms) {
    while (now_ms() < end_ms && !stopped) {
      std::vector<pollfd> polled;
      for (const auto& [socket, callback] : readers_) {
        const bool writes = writers_.contains(socket);
        polled.push_back({socket, static_cast<short>(POLLIN | (writes ? POLLOUT : 0)), 0});
      }
      double wait_until = end_ms;
      if (!timers_.empty()) wait_until = std::min(wait_until, timers_.begin()->first);
      const int wait = std::max(0, static_cast<int>(wait_until - now_ms() + 0.5));
      ::poll(polled.data(), polled.size(), std::min(wait, 50));
      for (const auto& each : polled) {
        if ((each.revents & POLLOUT) != 0) {
          if (const auto it = writers_.find(each.fd); it != writers_.end()) {
            const auto callback = it->second;
            callback();
          }
        }
        if ((each.revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
          if (const auto it = readers_.find(each.fd); it != readers_.end()) {
            const auto callback = it->second;
            callback();
          }
        }
      }
      while (!timers_.empty() && timers_.begin()->first <= now_ms()) {
        const auto callback = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        callback();
      }
    }
  }
  bool stopped = false;

 private:
  std::map<int, std::function<void()>> readers_, writers_;
  std::multimap<double, std::function<void()>> timers_;
};

/// A stream connection that is read line by line. Output that the socket does not take yet is kept.
class Lines {
 public:
  Lines(Loop& loop, int socket, std::function<void(const std::string&)> on_line,
        std::function<void(const std::string&)> on_end)
      : loop_(loop), socket_(socket), on_line_(std::move(on_line)), on_end_(std::move(on_end)) {
    loop_.on_readable(socket_, [this] { read(); });
  }
  Lines(const Lines&) = delete;
  Lines& operator=(const Lines&) = delete;
  ~Lines() { close(); }
  void close() {
    if (socket_ < 0) return;
    loop_.forget(socket_);
    ::close(socket_);
    socket_ = -1;
  }
  /// Ends the connection with a reset, like a process that dies.
  void reset() {
    if (socket_ < 0) return;
    const linger reset_on_close{1, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
    close();
  }
  void write(const std::string& bytes) {
    out_ += bytes;
    flush();
  }
  [[nodiscard]] bool open() const { return socket_ >= 0; }
  [[nodiscard]] std::uint64_t bytes_read() const { return bytes_read_; }

 private:
  void flush() {
    while (socket_ >= 0 && !out_.empty()) {
      const auto sent = ::send(socket_, out_.data(), out_.size(), MSG_NOSIGNAL);
      if (sent <= 0) break;
      out_.erase(0, static_cast<std::size_t>(sent));
    }
    if (socket_ < 0) return;
    if (out_.empty())
      loop_.no_longer_writable(socket_);
    else
      loop_.on_writable(socket_, [this] { flush(); });
  }
  void read() {
    char buffer[65536];
    const auto received = ::recv(socket_, buffer, sizeof buffer, 0);
    if (received < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (received <= 0) {
      const std::string why = received == 0 ? "closed by the peer" : "reset by the peer";
      close();
      return on_end_(why);
    }
    bytes_read_ += static_cast<std::uint64_t>(received);
    in_.append(buffer, static_cast<std::size_t>(received));
    for (std::size_t end = in_.find('\n'); end != std::string::npos; end = in_.find('\n')) {
      const auto line = in_.substr(0, end);
      in_.erase(0, end + 1);
      on_line_(line);
      if (socket_ < 0) return;
    }
  }
  Loop& loop_;
  int socket_;
  std::function<void(const std::string&)> on_line_, on_end_;
  std::string in_, out_;
  std::uint64_t bytes_read_ = 0;
};

/// The text of a member of a JSON line as the program writes it (strings without escapes, or integers).
inline std::string member(const std::string& line, const std::string& key) {
  const auto at = line.find("\"" + key + "\":");
  if (at == std::string::npos) return "";
  auto start = at + key.size() + 3;
  if (line[start] == '"') return line.substr(start + 1, line.find('"', start + 1) - start - 1);
  return line.substr(start, line.find_first_of(",}", start) - start);
}

}  // namespace review
