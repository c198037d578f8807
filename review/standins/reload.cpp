// Case: a reload that removes a name server while look-ups wait for its TLS handshake.
// Stand-ins: resolvers that ask over UDP, a name server that answers over UDP ("south"), a name server that
// takes connections and never completes a handshake ("north-a"; a hung process), and one that refuses
// connections ("north-b"; no process).
#include "common.hpp"

using namespace review;

namespace {

std::string number16(std::uint32_t value) {
  return {static_cast<char>(value >> 8), static_cast<char>(value)};
}
std::string name_of(const std::string& digits) {
  std::string out;
  for (auto it = digits.rbegin(); it != digits.rend(); ++it) out += std::string("\1") + *it;
  return out + std::string("\4enum\7example\3org") + '\0';
}
std::string query(std::uint16_t id, const std::string& digits) {
  return number16(id) + number16(0x0100) + number16(1) + number16(0) + number16(0) + number16(0) +
         name_of(digits) + number16(35) + number16(1);
}
/// The question of a message, without its optional records.
std::string question_of(const std::string& message) {
  std::size_t end = 12;
  while (end < message.size() && message[end] != '\0') end += 1 + static_cast<unsigned char>(message[end]);
  return message.substr(12, end + 5 - 12);
}
std::string answer_to(const std::string& message) {
  const auto question = question_of(message);
  const std::string data = number16(10) + number16(10) + "\1u" + "\7E2U+sip" + "\x16!^.*$!sip:a@b.example!" + '\0';
  return message.substr(0, 2) + number16(0x8400) + number16(1) + number16(1) + number16(0) + number16(0) +
         question + "\xc0\x0c" + number16(35) + number16(1) + number16(0) + number16(60) +
         number16(static_cast<std::uint32_t>(data.size())) + data;
}

struct LookUp {
  std::string digits;
  double sent_ms = 0, answered_ms = -1;
};

}  // namespace

int main(int, char** arguments) {
  const std::string folder = arguments[1];
  start_record(arguments[2]);
  Loop loop;
  constexpr double give_up_ms = 3000, answer_slack_ms = 20 + 50, first_ms = 1000, interval_ms = 50;
  constexpr int look_ups_in_all = 160;
  const double change_ms = first_ms + 500;

  const int hung = bound_socket(SOCK_STREAM);  // connections are taken by the system and never answered
  const auto refusing_port = free_port();
  const int south = bound_socket(SOCK_DGRAM);
  const auto port = free_port();
  int south_queries = 0;
  loop.on_readable(south, [&] {
    char buffer[4096];
    sockaddr_in from{};
    socklen_t length = sizeof from;
    const auto size = ::recvfrom(south, buffer, sizeof buffer, 0, reinterpret_cast<sockaddr*>(&from), &length);
    if (size < 12) return;
    ++south_queries;
    const auto reply = answer_to(std::string(buffer, static_cast<std::size_t>(size)));
    ::sendto(south, reply.data(), reply.size(), 0, reinterpret_cast<sockaddr*>(&from), length);
  });

  const auto site = [&](bool with_hung) {
    const auto member = [](const char* name, std::uint16_t at) {
      return std::string("  member { name: \"") + name + "\" address: \"127.0.0.1:" + std::to_string(at) + "\" }\n";
    };
    return "listen: \"127.0.0.1:" + std::to_string(port) +
           "\"\nsuffix: \"enum.example.org\"\n"
           "class { name: \"look-up\" worth: 2 late_share: \"25%\" aim: \"1s\" give_up: \"3s\" prefix: \"64\" }\n"
           "class { name: \"abroad\" worth: 1 late_share: \"25%\" aim: \"1s\" give_up: \"3s\" prefix: \"\" }\n"
           "pool {\n  name: \"north\"\n" +
           (with_hung ? member("north-a", port_of(hung)) : "") + member("north-b", refusing_port) +
           "  tls { verification: \"none\" }\n}\npool {\n  name: \"south\"\n" + member("south", port_of(south)) +
           "}\nroute {\n  prefix: \"64\"\n  to { pool: \"north\" }\n  to { pool: \"south\" }\n}\n"
           "route { to { pool: \"south\" } }\n";
  };
  const auto path = folder + "/site.textproto";
  write_file(path, site(true));
  const auto command = deploy_command("run") + " --site " + path;
  record("start: %s", command.c_str());
  const pid_t router = start_process(command, folder + "/router.log");
  loop.run_until(first_ms);
  require(read_file(folder + "/router.log").find("event=listening") != std::string::npos, "no listener");

  const int client = bound_socket(SOCK_DGRAM);
  const auto to = loopback(port);
  require(::connect(client, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0, "connect");
  std::map<std::uint16_t, LookUp> look_ups;
  std::string router_end;
  loop.on_readable(client, [&] {
    char buffer[4096];
    const auto size = ::recv(client, buffer, sizeof buffer, 0);
    if (size < 12) return;  // also a refused port, once the program has ended
    const auto id = static_cast<std::uint16_t>(static_cast<unsigned char>(buffer[0]) << 8 |
                                               static_cast<unsigned char>(buffer[1]));
    auto& look_up = look_ups[id];
    if (look_up.answered_ms < 0) look_up.answered_ms = now_ms();
    record("look-up %u (%s) answered after %.0f ms, code %d, records %d", id, look_up.digits.c_str(),
           now_ms() - look_up.sent_ms, buffer[3] & 15, buffer[7]);
  });
  // One look-up in four is for a number that the north pool serves first.
  for (int i = 0; i < look_ups_in_all; ++i) {
    loop.at(first_ms + i * interval_ms, [&, i] {
      const auto id = static_cast<std::uint16_t>(i + 1);
      const std::string digits = (i % 4 == 0 ? "64" : "44") + std::to_string(90000 + i);
      look_ups[id] = {digits, now_ms(), -1};
      const auto bytes = query(id, digits);
      (void)!::send(client, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      record("look-up %u (%s) sent", id, digits.c_str());
    });
  }
  if (trouble()) {
    loop.at(change_ms, [&] {
      write_file(path, site(false));
      ::kill(router, SIGHUP);
      record("the file without north-a is in place; SIGHUP sent");
    });
  }
  for (double at = first_ms; at < first_ms + 13000; at += 20) {
    loop.at(at, [&] {
      if (!router_end.empty()) return;
      router_end = end_of(router);
      if (!router_end.empty()) record("the router %s", router_end.c_str());
    });
  }
  loop.run_until(first_ms + look_ups_in_all * interval_ms + give_up_ms + 500);
  const auto cpu_ms = [router] {
    std::istringstream in(read_file("/proc/" + std::to_string(router) + "/stat"));
    std::string field;
    double ticks = 0;
    for (int i = 1; in >> field; ++i)
      if (i == 14 || i == 15) ticks += std::atof(field.c_str());
    return ticks * 1000 / static_cast<double>(::sysconf(_SC_CLK_TCK));
  };
  const double cpu_before_ms = cpu_ms();
  loop.run_until(now_ms() + 1000);
  const double used_ms = router_end.empty() ? cpu_ms() - cpu_before_ms : 0;
  if (router_end.empty())
    record("the router still runs; without look-ups it used %.0f ms of processor time in 1 s", used_ms);

  int unanswered = 0, taken_unanswered = 0, late = 0;
  for (const auto& [id, look_up] : look_ups) {
    if (look_up.answered_ms < 0) {
      ++unanswered;
      if (look_up.sent_ms < change_ms) ++taken_unanswered;
    } else if (look_up.answered_ms - look_up.sent_ms > give_up_ms + answer_slack_ms) {
      ++late;
    }
  }
  record("look-ups %zu, unanswered %d (sent before the change: %d), late %d, queries to south %d",
         look_ups.size(), unanswered, taken_unanswered, late, south_queries);
  for (std::string line; const auto& c : read_file(folder + "/router.log")) {
    if (c != '\n') {
      line += c;
      continue;
    }
    record("router log: %s", line.c_str());
    line.clear();
  }
  if (!router_end.empty())
    finish(1, "broken: the router " + router_end + "; " + std::to_string(unanswered) + " look-ups got no answer, " +
                  std::to_string(taken_unanswered) + " of them sent before the change");
  if (unanswered + late > 0)
    finish(1, "broken: " + std::to_string(unanswered) + " look-ups got no answer, " + std::to_string(taken_unanswered) +
                  " of them sent before the change; " + std::to_string(late) + " late" +
                  (used_ms > 900 ? "; the router hangs in an endless loop" : ""));
  finish(0, "held: the router runs and every look-up got its answer in time");
}
