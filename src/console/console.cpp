#include "console/console.hpp"

#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <iostream>
#include <stdexcept>

#include "net/framing.hpp"

namespace heathturn {
namespace {

constexpr std::size_t max_connections = 4;
constexpr std::size_t max_command_bytes = 256;
constexpr std::size_t max_call_rows = 200;

constexpr const char* help_text =
    "status      what is running, and what it has done\n"
    "converters  each converter or upstream, its state and its connections\n"
    "calls       requests in work and calls that stand\n"
    "drain       take no new work, answer what is open, and end the program\n"
    "quit        leave the console\n";

const char* state_text(maddershed::ExchangeState state) {
  switch (state) {
    case maddershed::ExchangeState::ready:
      return "ready";
    case maddershed::ExchangeState::draining:
      return "draining";
    case maddershed::ExchangeState::gone:
      break;
  }
  return "gone";
}

template <typename... Values>
std::string row(const char* format, Values... values) {
  char buffer[512];
  std::snprintf(buffer, sizeof buffer, format, values...);
  return buffer;
}

}  // namespace

Console::Console(Program& program, std::string path, std::string version)
    : program_(program), path_(std::move(path)), version_(std::move(version)) {
  program_.net().listen_local(path_, *this, "console", max_connections);
}

Console::~Console() { ::unlink(path_.c_str()); }

void Console::on_input(Handle connection, evbuffer* in) {
  auto& net = program_.net();
  net.read_lines(connection, in, max_command_bytes, [&](const std::string& line) {
    if (line == "quit") return net.finish(connection);
    // Each answer ends with a line that holds only a full stop.
    net.write(connection, answer(line) + ".\n");
  });
}

std::string Console::answer(const std::string& command) {
  if (command == "status") return status();
  if (command == "converters") return converters();
  if (command == "calls") return calls();
  if (command == "help") return help_text;
  if (command != "drain") return "unknown command; help lists them\n";
  program_.drain();
  return "draining\n";
}

std::string Console::status() {
  const double uptime_s = (program_.clock().now_ms() - program_.started_ms()) / 1000;
  auto out = row("heathturn %s, up %.0f s%s, %zu connections\n", version_.c_str(), uptime_s,
                 program_.draining() ? ", draining" : "", program_.net().size());
  for (const auto& service : program_.services()) {
    auto& router = service->router();
    const auto& counts = router.counts();
    out += row(
        "%s: open %zu, standing %zu, offered %llu, served %llu, refused %llu, failed %llu, left %llu, "
        "cut %llu, attempts %llu, retries %llu, timed out %llu, reset %llu, not sent %llu, rejected %llu, "
        "unmatched %llu\n",
        service->kind(), router.pending_count(), router.established_count(),
        static_cast<unsigned long long>(counts.offered), static_cast<unsigned long long>(counts.served),
        static_cast<unsigned long long>(counts.refused), static_cast<unsigned long long>(counts.failed),
        static_cast<unsigned long long>(counts.abandoned), static_cast<unsigned long long>(counts.cut_off),
        static_cast<unsigned long long>(counts.attempts), static_cast<unsigned long long>(counts.retries),
        static_cast<unsigned long long>(counts.timed_out), static_cast<unsigned long long>(counts.reset),
        static_cast<unsigned long long>(counts.not_sent), static_cast<unsigned long long>(counts.rejected),
        static_cast<unsigned long long>(counts.unmatched));
    out += service->extra_status();
  }
  return out;
}

std::string Console::converters() {
  auto out =
      row("%-10s %-28s %-22s %6s %-9s %11s\n", "front", "name", "address", "number", "state", "connections");
  for (const auto& service : program_.services()) {
    for (const auto& [converter, connections] : service->converters()) {
      out += row("%-10s %-28s %-22s %6d %-9s %11zu\n", service->kind(), converter.name.c_str(),
                 converter.address.text().c_str(), static_cast<int>(converter.entry.number),
                 state_text(converter.entry.state), connections);
    }
  }
  return out;
}

std::string Console::calls() {
  auto out = row("%-10s %-40s %-16s %-8s %8s %9s\n", "front", "call", "class", "state", "attempts", "age_s");
  std::size_t shown = 0, total = 0;
  for (const auto& service : program_.services()) {
    for (const auto& call : service->router().calls()) {
      if (++total > max_call_rows) continue;
      ++shown;
      out += row("%-10s %-40s %-16s %-8s %8u %9.1f\n", service->kind(), call.wire_id.c_str(),
                 call.class_name.c_str(), call.established ? "standing" : "open", call.attempts,
                 call.age_ms / 1000);
    }
  }
  if (total > shown) out += row("and %zu more\n", total - shown);
  return out;
}

// ---- The client -----------------------------------------------------------------------------------------

namespace {

class ConsoleClient {
 public:
  explicit ConsoleClient(const std::string& path) {
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    if (path.empty() || path.size() >= sizeof address.sun_path) {
      throw std::runtime_error("no usable socket path: give --socket");
    }
    std::memcpy(address.sun_path, path.c_str(), path.size());
    descriptor_ = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
      const std::string error = std::strerror(errno);
      ::close(descriptor_);
      throw std::runtime_error("no console at " + path + ": " + error);
    }
  }
  ~ConsoleClient() { ::close(descriptor_); }
  ConsoleClient(const ConsoleClient&) = delete;
  ConsoleClient& operator=(const ConsoleClient&) = delete;

  /// Sends a command and prints the answer; false if the connection ends before that.
  bool command(const std::string& command_line) {
    const auto line = command_line + "\n";
    if (::send(descriptor_, line.data(), line.size(), MSG_NOSIGNAL) < 0) return false;
    while (true) {
      const auto end = input_.find('\n');
      if (end == std::string::npos) {
        char buffer[4096];
        const auto received = ::recv(descriptor_, buffer, sizeof buffer, 0);
        if (received <= 0) return false;
        input_.append(buffer, static_cast<std::size_t>(received));
        continue;
      }
      const auto text = input_.substr(0, end);
      input_.erase(0, end + 1);
      if (text == ".") return true;
      std::cout << text << '\n';
    }
  }

 private:
  int descriptor_ = -1;
  std::string input_;
};

}  // namespace

int run_console(const std::string& path, const std::vector<std::string>& command) {
  ConsoleClient client(path);
  if (!command.empty()) {
    std::string command_line;
    for (const auto& each : command) command_line += (command_line.empty() ? "" : " ") + each;
    return client.command(command_line) || command_line == "quit" ? 0 : 1;
  }
  const bool interactive = ::isatty(0) != 0;
  std::string line;
  while (true) {
    if (interactive) std::cout << "heathturn> " << std::flush;
    if (!std::getline(std::cin, line)) return 0;
    if (line.empty()) continue;
    if (!client.command(line)) break;
    std::cout << std::flush;
  }
  if (line == "quit") return 0;
  std::cerr << "heathturn: the program has ended\n";
  return 1;
}

}  // namespace heathturn
