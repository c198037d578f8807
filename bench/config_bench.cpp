// Time and peak memory of the configuration commands on files of 100, 10,000 and 100,000 routes. Each command
// runs as a process of the real program. The `reload` rows measure a reload during service: its duration, and
// the latency of queries meanwhile.
#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <string>
#include <vector>

namespace {

double now_ms() {
  using namespace std::chrono;
  return duration<double, std::milli>(steady_clock::now().time_since_epoch()).count();
}

/// Writes routes with prefixes of 6 digits to two pools. `share`: percentage of the first pool in every
/// hundredth route.
void write_site(const std::string& path, int routes, int share) {
  std::ofstream out(path);
  out << "listen: \"127.0.0.1:0\"\nsuffix: \"enum.example.org\"\nclass { name: \"a\" }\n"
         "pool { name: \"north\" member { name: \"n\" address: \"127.0.0.1:9\" } }\n"
         "pool { name: \"south\" member { name: \"s\" address: \"127.0.0.1:9\" } }\n";
  for (int i = 0; i < routes; ++i) {
    const int first_share = i % 100 == 0 ? share : 60;
    out << "route { prefix: \"" << 900000 + i << "\" to { pool: \"north\" share: \"" << first_share
        << "%\" } to { pool: \"south\" share: \"" << 100 - first_share << "%\" } }\n";
  }
}

/// Starts the program with its standard output on `output`.
pid_t start_program(const char* program, const std::vector<std::string>& arguments, int output) {
  const pid_t child = ::fork();
  if (child != 0) return child;
  ::dup2(output, 1);
  std::vector<char*> argument_pointers = {const_cast<char*>(program)};
  for (const auto& argument : arguments) argument_pointers.push_back(const_cast<char*>(argument.c_str()));
  argument_pointers.push_back(nullptr);
  ::execv(program, argument_pointers.data());
  ::_exit(127);
}

/// Runs a command to its end and prints its time and peak memory.
void measure_command(const char* program, int routes, const char* label,
                     const std::vector<std::string>& arguments) {
  const int null = ::open("/dev/null", O_WRONLY);
  const double started_ms = now_ms();
  const pid_t child = start_program(program, arguments, null);
  int status = 0;
  rusage usage{};
  ::wait4(child, &status, 0, &usage);
  ::close(null);
  std::printf("%-8s %8d routes %10.1f ms %8.1f MB peak, exit status %d\n", label, routes,
              now_ms() - started_ms, static_cast<double>(usage.ru_maxrss) / 1024, WEXITSTATUS(status));
}

/// Reads lines from a pipe.
class LineReader {
 public:
  explicit LineReader(int descriptor) : descriptor_(descriptor) {}
  /// Reads until a line contains the text and returns that line; "" at the end of the input.
  std::string wait_for_line(const char* text) {
    while (true) {
      const auto end = unread_text_.find('\n');
      if (end == std::string::npos) {
        char buffer[4096];
        const auto received = ::read(descriptor_, buffer, sizeof buffer);
        if (received <= 0) return "";
        unread_text_.append(buffer, static_cast<std::size_t>(received));
        continue;
      }
      const auto line = unread_text_.substr(0, end);
      unread_text_.erase(0, end + 1);
      if (line.find(text) != std::string::npos) return line;
    }
  }

 private:
  int descriptor_;
  std::string unread_text_;
};

/// Reloads the configuration while queries are answered, and prints its time and their latency.
void measure_reload(const char* program, int routes, const std::string& path) {
  int pipe_ends[2];
  if (::pipe(pipe_ends) != 0) return;
  write_site(path, routes, 60);
  const pid_t child = start_program(program, {"serve", "--site", path}, pipe_ends[1]);
  LineReader lines(pipe_ends[0]);
  const auto line = lines.wait_for_line("side=resolver at=");
  sockaddr_in server{};
  server.sin_family = AF_INET;
  server.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  server.sin_port = htons(static_cast<std::uint16_t>(std::stoi(line.substr(line.rfind(':') + 1))));
  // A query for a domain that the program does not serve: it is refused at once.
  const char query[] = "\0\1\1\0\0\1\0\0\0\0\0\0\1x\0\0\x23\0\1";
  const int resolver = ::socket(AF_INET, SOCK_DGRAM, 0);
  const timeval receive_timeout{5, 0};
  ::setsockopt(resolver, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof receive_timeout);
  ::connect(resolver, reinterpret_cast<const sockaddr*>(&server), sizeof server);
  write_site(path, routes, 61);
  std::vector<double> latencies_ms;
  const double started_ms = now_ms();
  ::kill(child, SIGHUP);
  ::fcntl(pipe_ends[0], F_SETFL, O_NONBLOCK);
  bool reloaded = false;
  double reloaded_ms = 0;
  std::string log;
  while (now_ms() - started_ms < 20000 && (!reloaded || now_ms() - reloaded_ms < 50)) {
    const double sent_ms = now_ms();
    char answer[512];
    if (::send(resolver, query, sizeof query - 1, 0) < 0 || ::recv(resolver, answer, sizeof answer, 0) < 0)
      break;
    latencies_ms.push_back(now_ms() - sent_ms);
    const auto received = ::read(pipe_ends[0], answer, sizeof answer);
    if (received > 0) log.append(answer, static_cast<std::size_t>(received));
    if (!reloaded && log.find("event=configuration_taken") != std::string::npos) {
      reloaded = true;
      reloaded_ms = now_ms();
    }
  }
  std::sort(latencies_ms.begin(), latencies_ms.end());
  ::kill(child, SIGTERM);
  rusage usage{};
  int status = 0;
  ::wait4(child, &status, 0, &usage);
  std::printf(
      "%-8s %8d routes %10.1f ms %8.1f MB peak, %s; answers during the reload: %zu, median %.3f ms, "
      "slowest %.2f ms\n",
      "reload", routes, reloaded_ms - started_ms, static_cast<double>(usage.ru_maxrss) / 1024,
      reloaded ? "reloaded" : "not reloaded", latencies_ms.size(), latencies_ms[latencies_ms.size() / 2],
      latencies_ms.back());
  ::close(resolver);
  ::close(pipe_ends[0]);
  ::close(pipe_ends[1]);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: config_bench PROGRAM DIRECTORY\n");
    return 2;
  }
  const char* program = argv[1];
  const std::string directory = argv[2];
  for (const int routes : {100, 10000, 100000}) {
    const auto old_path = directory + "/old.textproto", new_path = directory + "/new.textproto";
    write_site(old_path, routes, 60);
    write_site(new_path, routes, 70);
    measure_command(program, routes, "check", {"config", "check", old_path});
    measure_command(program, routes, "fmt", {"config", "fmt", old_path});
    measure_command(program, routes, "diff", {"config", "diff", old_path, new_path});
    measure_reload(program, routes, old_path);
  }
}
