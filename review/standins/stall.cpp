// Case: one connection to a converter falls quiet for a while and then passes on what was written to it.
// Four converters; one caller connection.
#include "platform.hpp"

using namespace review;

int main(int, char** arguments) {
  const std::string folder = arguments[1];
  start_record(arguments[2]);
  Loop loop;
  constexpr double calls_from_ms = 1500, calls_until_ms = 42000, answer_ms = 20;
  constexpr int stalls_in_all = 8;
  constexpr double first_stall_ms = 5000, stall_every_ms = 4000, release_limit_ms = 8000 + 50;
  constexpr double stall_for_ms = 1200;
  double next_stall_ms = first_stall_ms;
  int stalls = 0;

  std::vector<std::unique_ptr<ConverterStandIn>> converters;
  for (int i = 1; i <= 4; ++i) {
    converters.push_back(std::make_unique<ConverterStandIn>(loop, i, 140));
    converters.back()->on_offer = [&](ConverterStandIn& self, std::size_t attempt, const std::string&) {
      if (trouble() && self.number == 1 && now_ms() >= next_stall_ms && stalls < stalls_in_all) {
        ++stalls;
        next_stall_ms = now_ms() + stall_every_ms;
        record("exchange 1: the connection of %s falls quiet", self.attempts[attempt].call.c_str());
        self.hold_connection_of(attempt);
        loop.at(now_ms() + stall_for_ms, [&self] {
          record("exchange 1: the connection passes everything on");
          self.end_holds();
        });
      }
      loop.at(now_ms() + answer_ms, [&self, attempt] {
        if (self.attempts[attempt].over_ms >= 0) return;
        self.set_free(self.free_circuits - 1);
        self.accept_call(attempt, "c=IN IP4 10.4.7." + std::to_string(attempt % 250));
      });
      // Calls last 2.5 to 3.5 s, so that their ends don't keep step with the set-ups.
      const double call_length_ms = 2500 + static_cast<double>(attempt * 137 % 1000);
      loop.at(now_ms() + answer_ms + call_length_ms, [&self, attempt] {
        if (!self.attempts[attempt].accepted) return;
        self.set_free(self.free_circuits + 1);
        self.end_call(attempt, 16, "");
      });
    };
  }
  BusStandIn bus(loop, 3);
  const auto port = free_port();
  start_router(loop, folder, port, platform_config(port, bus.port(), 192, 1024, converters));
  std::map<std::string, double> stood, released, refused;
  Lines caller(
      loop, connect_to(port),
      [&](const std::string& line) {
        const auto id = member(line, "call"), op = member(line, "op");
        if (op == "ended") return;
        record("caller: %s %s %s", id.c_str(), op.c_str(), op == "end" ? member(line, "why").c_str() : "");
        if (op == "accept") {
          stood[id] = now_ms();
        } else if (stood.contains(id)) {
          released[id] = now_ms();
          caller.write("{\"op\":\"ended\",\"call\":\"" + id + "\",\"with\":{}}\n");
        } else {
          refused[id] = now_ms();
        }
      },
      [](const std::string& why) { record("caller: connection %s", why.c_str()); });
  int last = 0;
  for (double at = calls_from_ms; at < calls_until_ms; at += 97)
    loop.at(at, [&] {
      const auto id = call_id(++last);
      caller.write(offer_line(id, 1 + last % 4, 3000, "m=audio"));
    });
  loop.run_until(calls_until_ms + 14000);
  int left_standing = 0;
  for (const auto& [id, at] : stood) {
    if (released.contains(id)) continue;
    double over_ms = 0;
    bool out = false;
    for (const auto& each : converters)
      for (const auto& attempt : each->attempts) {
        if (attempt.call != id) continue;
        if (attempt.over_ms < 0) out = true;
        over_ms = std::max(over_ms, attempt.over_ms);
      }
    if (out || over_ms + release_limit_ms > now_ms()) continue;
    ++left_standing;
    record("BROKEN: %s stood at %.0f, is over since %.0f and was never released to its caller", id.c_str(), at,
           over_ms);
  }
  record("calls %d, stood %zu, refused or failed %zu, released %zu; quiet connections %d", last, stood.size(),
         refused.size(), released.size(), stalls);
  record_router_log(folder);
  require(stood.size() > 300, "too few calls stood");
  if (left_standing > 0) finish(1, "broken: " + std::to_string(left_standing) + " calls are over and left standing");
  finish(0, "held: every call that is over was released");
}
