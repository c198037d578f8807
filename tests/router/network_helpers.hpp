// The one helper of the network tests: the real program as a process, and sockets that play its clients and
// servers. Every wait ends when what is waited for is there, or fails after `wait_timeout_ms`.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "config/platform_config.hpp"
#include "net/address.hpp"
#include "platform/message.hpp"

namespace heathturn::test {

inline constexpr int wait_timeout_ms = 15000;

inline double now_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
inline bool readable(int socket, int wait_ms) {
  pollfd entry{socket, POLLIN, 0};
  return ::poll(&entry, 1, wait_ms) > 0;
}

/// A socket that closes itself.
class Socket {
 public:
  explicit Socket(int descriptor = -1) : descriptor_(descriptor) {}
  Socket(Socket&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)), input_(other.input_) {}
  Socket& operator=(Socket&& other) noexcept {
    close();
    descriptor_ = std::exchange(other.descriptor_, -1);
    input_ = std::move(other.input_);
    return *this;
  }
  ~Socket() { close(); }
  void close() {
    if (descriptor_ >= 0) ::close(descriptor_);
    descriptor_ = -1;
  }
  /// Ends the connection with a reset, as a process that dies does.
  void reset() {
    const linger off{1, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &off, sizeof off);
    close();
  }
  static Socket connect(const Address& to) {
    Socket out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const auto address = to.to_sockaddr();
    REQUIRE(::connect(out.descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    return out;
  }
  static Socket bound(int type, std::uint32_t host = 0x7f000001) {
    auto out = try_bound(type, {host, 0});
    REQUIRE(out.descriptor_ >= 0);
    return out;
  }
  /// A UDP and a TCP socket on one port: the system picks it for the one, and it may be taken for the other.
  static std::pair<Socket, Socket> bound_pair() {
    for (int tries = 0; tries < 100; ++tries) {
      auto datagrams = bound(SOCK_DGRAM);
      auto streams = try_bound(SOCK_STREAM, datagrams.address());
      if (streams.descriptor_ >= 0) return {std::move(datagrams), std::move(streams)};
    }
    FAIL("no port is free for both UDP and TCP");
    return bound_pair();
  }
  Socket accept() const {
    REQUIRE(readable(descriptor_, wait_timeout_ms));
    return Socket(::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC));
  }
  [[nodiscard]] Address address() const {
    sockaddr_in in{};
    socklen_t length = sizeof in;
    getsockname(descriptor_, reinterpret_cast<sockaddr*>(&in), &length);
    return Address::from(in);
  }
  void write(const std::string& bytes) const {
    REQUIRE(::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(bytes.size()));
  }
  /// Up to and without the line feed; "" when the peer has closed.
  std::string read_line() {
    while (input_.find('\n') == std::string::npos) {
      if (!fill()) return "";
    }
    const auto end = input_.find('\n');
    const auto out = input_.substr(0, end);
    input_.erase(0, end + 1);
    return out;
  }
  std::string read_bytes(std::size_t count) {
    while (input_.size() < count) REQUIRE(fill());
    const auto out = input_.substr(0, count);
    input_.erase(0, count);
    return out;
  }
  /// The next message that is not of the kinds that mean nothing here.
  Message read_message() {
    while (true) {
      const auto text = read_line();
      INFO("the peer closed the connection");
      REQUIRE_FALSE(text.empty());
      auto out = parse_message(text);
      if (out.op != Op::ended && out.op != Op::ringing && out.op != Op::test) return out;
    }
  }
  void send_message(const Message& message) const { write(serialize_message(message)); }
  /// The same to a peer that may have closed.
  void try_send_message(const Message& message) const {
    const auto bytes = serialize_message(message);
    (void)!::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  /// True when nothing more comes but the end.
  bool read_until_closed() {
    while (fill()) {
    }
    return true;
  }
  [[nodiscard]] bool no_input_within(int wait_ms) const {
    return input_.empty() && !readable(descriptor_, wait_ms);
  }
  [[nodiscard]] int descriptor() const { return descriptor_; }

  // datagrams
  void send_to(const Address& to, const std::string& bytes) const {
    const auto address = to.to_sockaddr();
    REQUIRE(::sendto(descriptor_, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&address),
                     sizeof address) == static_cast<ssize_t>(bytes.size()));
  }
  std::string receive(Address* from = nullptr) const {
    REQUIRE(readable(descriptor_, wait_timeout_ms));
    std::string bytes(65535, '\0');
    sockaddr_in in{};
    socklen_t length = sizeof in;
    const auto got =
        ::recvfrom(descriptor_, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&in), &length);
    REQUIRE(got >= 0);
    if (from != nullptr) *from = Address::from(in);
    bytes.resize(static_cast<std::size_t>(got));
    return bytes;
  }

 private:
  static Socket try_bound(int type, const Address& at) {
    Socket out(::socket(AF_INET, type | SOCK_CLOEXEC, 0));
    const auto address = at.to_sockaddr();
    if (::bind(out.descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        (type == SOCK_STREAM && ::listen(out.descriptor_, 64) != 0)) {
      out.close();
    }
    return out;
  }
  bool fill() {
    REQUIRE(readable(descriptor_, wait_timeout_ms));
    char buffer[4096];
    const auto got = ::recv(descriptor_, buffer, sizeof buffer, 0);
    if (got <= 0) return false;
    input_.append(buffer, static_cast<std::size_t>(got));
    return true;
  }
  int descriptor_;
  std::string input_;
};

/// The program as a process. It is ended with the object.
class Process {
 public:
  explicit Process(const std::vector<std::string>& arguments, rlim_t descriptors = 1024) {
    int ends[2];
    REQUIRE(::pipe2(ends, O_CLOEXEC) == 0);
    pid_ = ::fork();
    if (pid_ == 0) {
      ::dup2(ends[1], 1);
      ::dup2(ends[1], 2);
      const rlimit limit{descriptors, descriptors};
      ::setrlimit(RLIMIT_NOFILE, &limit);
      ::unsetenv("PROXY_CONFIG");
      std::vector<char*> words = {const_cast<char*>(HEATHTURN_PROGRAM)};
      for (const auto& each : arguments) words.push_back(const_cast<char*>(each.c_str()));
      words.push_back(nullptr);
      ::execv(HEATHTURN_PROGRAM, words.data());
      ::_exit(127);
    }
    ::close(ends[1]);
    output_ = ends[0];
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
    ::close(output_);
  }
  /// The rest of the first line, from here on, that holds `words`.
  std::string wait_for_log(const std::string& words) {
    while (true) {
      while (true) {
        const auto end = text_.find('\n');
        if (end == std::string::npos) break;
        const auto line = text_.substr(0, end);
        text_.erase(0, end + 1);
        const auto at = line.find(words);
        if (at != std::string::npos) return line.substr(at + words.size());
      }
      INFO("waiting for the log to say: " << words);
      REQUIRE(fill());
    }
  }
  /// All that it says until it closes its output.
  std::string read_remaining_output() {
    while (fill()) {
    }
    return std::exchange(text_, "");
  }
  Address wait_for_listening_address(const std::string& side) {
    return *Address::parse(wait_for_log("side=" + side + " at="));
  }
  void signal(int number) const { ::kill(pid_, number); }
  /// The same as wait_for_exit(), with nothing of its output read.
  int wait_for_exit_without_reading() {
    const double until = now_ms() + wait_timeout_ms;
    int status = 0;
    while (::waitpid(pid_, &status, WNOHANG) == 0) {
      REQUIRE(now_ms() < until);
      ::poll(nullptr, 0, 10);
    }
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  /// Its exit status; -1 when a signal ended it.
  int wait_for_exit() {
    const double until = now_ms() + wait_timeout_ms;
    int status = 0;
    // Its output is read on, so that it never stands on a full pipe.
    while (::waitpid(pid_, &status, WNOHANG) == 0) {
      REQUIRE(now_ms() < until);
      char buffer[4096];
      if (readable(output_, 10)) (void)!::read(output_, buffer, sizeof buffer);
    }
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

 private:
  bool fill() {
    REQUIRE(readable(output_, wait_timeout_ms));
    char buffer[4096];
    const auto got = ::read(output_, buffer, sizeof buffer);
    if (got > 0) text_.append(buffer, static_cast<std::size_t>(got));
    return got > 0;
  }
  pid_t pid_ = -1;
  int output_ = -1;
  std::string text_;
};

/// A file that goes with the object.
class TempFile {
 public:
  explicit TempFile(const std::string& text) {
    const int descriptor = ::mkstemp(path_.data());
    REQUIRE(descriptor >= 0);
    ::close(descriptor);
    write(text);
  }
  void write(const std::string& text) const { std::ofstream(path_, std::ios::trunc) << text; }
  TempFile(const TempFile&) = delete;
  TempFile& operator=(const TempFile&) = delete;
  ~TempFile() { ::unlink(path_.c_str()); }
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_ = "/tmp/heathturn-test-XXXXXX";
};

}  // namespace heathturn::test
