// Time and memory of the configuration tools on files of 100, 10,000 and 100,000 routes, as a user meets
// them: the real program as a process. The last rows are of a reload in service: how long it takes, and for
// how long the loop answered nobody meanwhile.
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

/// Routes of 6 digits to two pools; `share` is of the first in every hundredth.
void write_site(const std::string& path, int routes, int share) {
  std::ofstream out(path);
  out << "listen: \"127.0.0.1:0\"\nsuffix: \"enum.example.org\"\nclass { name: \"a\" }\n"
         "pool { name: \"north\" member { name: \"n\" address: \"127.0.0.1:9\" } }\n"
         "pool { name: \"south\" member { name: \"s\" address: \"127.0.0.1:9\" } }\n";
  for (int i = 0; i < routes; ++i) {
    const int first = i % 100 == 0 ? share : 60;
    out << "route { prefix: \"" << 900000 + i << "\" to { pool: \"north\" share: \"" << first
        << "%\" } to { pool: \"south\" share: \"" << 100 - first << "%\" } }\n";
  }
}

pid_t start(const char* program, const std::vector<std::string>& arguments, int output) {
  const pid_t child = ::fork();
  if (child != 0) return child;
  ::dup2(output, 1);
  std::vector<char*> words = {const_cast<char*>(program)};
  for (const auto& each : arguments) words.push_back(const_cast<char*>(each.c_str()));
  words.push_back(nullptr);
  ::execv(program, words.data());
  ::_exit(127);
}

void measure(const char* program, int routes, const char* what, const std::vector<std::string>& arguments) {
  const int null = ::open("/dev/null", O_WRONLY);
  const double from = now_ms();
  const pid_t child = start(program, arguments, null);
  int status = 0;
  rusage used{};
  ::wait4(child, &status, 0, &used);
  ::close(null);
  std::printf("%-8s %8d routes %10.1f ms %8.1f MB at most, exit status %d\n", what, routes, now_ms() - from,
              static_cast<double>(used.ru_maxrss) / 1024, WEXITSTATUS(status));
}

class Lines {
 public:
  explicit Lines(int descriptor) : descriptor_(descriptor) {}
  /// Reads on until a line holds the words, and returns it.
  std::string wait(const char* words) {
    while (true) {
      const auto end = text_.find('\n');
      if (end == std::string::npos) {
        char buffer[4096];
        const auto got = ::read(descriptor_, buffer, sizeof buffer);
        if (got <= 0) return "";
        text_.append(buffer, static_cast<std::size_t>(got));
        continue;
      }
      const auto line = text_.substr(0, end);
      text_.erase(0, end + 1);
      if (line.find(words) != std::string::npos) return line;
    }
  }

 private:
  int descriptor_;
  std::string text_;
};

void reload(const char* program, int routes, const std::string& path) {
  int ends[2];
  if (::pipe(ends) != 0) return;
  write_site(path, routes, 60);
  const pid_t child = start(program, {"serve", "--site", path}, ends[1]);
  Lines lines(ends[0]);
  const auto line = lines.wait("side=resolver at=");
  sockaddr_in server{};
  server.sin_family = AF_INET;
  server.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  server.sin_port = htons(static_cast<std::uint16_t>(std::stoi(line.substr(line.rfind(':') + 1))));
  // A query that is refused at once: a look-up of a domain that is not ours.
  const char query[] = "\0\1\1\0\0\1\0\0\0\0\0\0\1x\0\0\x23\0\1";
  const int resolver = ::socket(AF_INET, SOCK_DGRAM, 0);
  const timeval patience{5, 0};
  ::setsockopt(resolver, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
  ::connect(resolver, reinterpret_cast<const sockaddr*>(&server), sizeof server);
  write_site(path, routes, 61);
  std::vector<double> gaps;
  const double from = now_ms();
  ::kill(child, SIGHUP);
  ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
  bool taken = false;
  double done = 0;
  std::string log;
  while (now_ms() - from < 20000 && (!taken || now_ms() - done < 50)) {
    const double asked = now_ms();
    char answer[512];
    if (::send(resolver, query, sizeof query - 1, 0) < 0 || ::recv(resolver, answer, sizeof answer, 0) < 0)
      break;
    gaps.push_back(now_ms() - asked);
    const auto got = ::read(ends[0], answer, sizeof answer);
    if (got > 0) log.append(answer, static_cast<std::size_t>(got));
    if (!taken && log.find("event=configuration_taken") != std::string::npos) {
      taken = true;
      done = now_ms();
    }
  }
  std::sort(gaps.begin(), gaps.end());
  ::kill(child, SIGTERM);
  rusage used{};
  int status = 0;
  ::wait4(child, &status, 0, &used);
  std::printf(
      "%-8s %8d routes %10.1f ms %8.1f MB at most, %s; answers meanwhile: %zu, median %.3f ms, slowest %.2f "
      "ms\n",
      "reload", routes, done - from, static_cast<double>(used.ru_maxrss) / 1024,
      taken ? "taken" : "not taken", gaps.size(), gaps[gaps.size() / 2], gaps.back());
  ::close(resolver);
  ::close(ends[0]);
  ::close(ends[1]);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: config_bench PROGRAM FOLDER\n");
    return 2;
  }
  const char* program = argv[1];
  const std::string folder = argv[2];
  for (const int routes : {100, 10000, 100000}) {
    const auto old = folder + "/old.textproto", fresh = folder + "/new.textproto";
    write_site(old, routes, 60);
    write_site(fresh, routes, 70);
    measure(program, routes, "check", {"config", "check", old});
    measure(program, routes, "fmt", {"config", "fmt", old});
    measure(program, routes, "diff", {"config", "diff", old, fresh});
    reload(program, routes, old);
  }
}
