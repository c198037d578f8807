// Case: a refusal that arrives after its attempt was given up, while the next attempt of the call is out at the
// same converter. Four converters; the path from converter 1 to the router is slow for a while.
#include "platform.hpp"

using namespace review;

int main(int, char** arguments) {
  const std::string folder = arguments[1];
  start_record(arguments[2]);
  Loop loop;
  constexpr double rounds_begin_ms = 4000, round_ms = 6000, slow_for_ms = 1500, full_for_ms = 300;
  constexpr double path_delay_ms = 1000, answer_ms = 20, slack_ms = 50;
  constexpr int rounds = 4, group_size = 30;

  std::vector<std::unique_ptr<ConverterStandIn>> converters;
  for (int i = 1; i <= 4; ++i) {
    converters.push_back(std::make_unique<ConverterStandIn>(loop, i, group_size));
    converters.back()->on_offer = [&loop](ConverterStandIn& self, std::size_t attempt, const std::string&) {
      // The last free circuits are taken by calls from the other end of the group.
      if (self.free_circuits == 0) return self.end_call(attempt, 34, "all_trunks_busy");
      loop.at(now_ms() + answer_ms, [&self, attempt] {
        self.accept_call(attempt, "c=IN IP4 10.4.7." + std::to_string(self.number));
      });
      loop.at(now_ms() + answer_ms + 2500, [&self, attempt] {
        if (self.attempts[attempt].accepted) self.end_call(attempt, 16, "");
      });
    };
  }
  BusStandIn bus(loop, 3);
  const auto port = free_port();
  start_router(loop, folder, port, platform_config(port, bus.port(), 192, 1024, converters));

  std::map<std::string, std::vector<std::string>> answers;
  Lines caller(
      loop, connect_to(port),
      [&](const std::string& line) {
        const auto call = member(line, "call"), op = member(line, "op");
        if (op == "ended") return;
        record("caller: %s %s %s", call.c_str(), op.c_str(), op == "end" ? member(line, "why").c_str() : "");
        answers[call].push_back(op);
        if (op == "end" && answers[call].size() > 1)
          caller.write("{\"op\":\"ended\",\"call\":\"" + call + "\",\"with\":{}}\n");
      },
      [](const std::string& why) { record("caller: connection %s", why.c_str()); });
  int last_call = 0;
  const double end_ms = rounds_begin_ms + rounds * round_ms;
  const auto offer = [&](int destination) {
    const auto call = call_id(++last_call);
    record("caller: set-up %s to exchange %d", call.c_str(), destination);
    caller.write(offer_line(call, destination, 3000, "m=audio 31000 RTP/AVP 0"));
  };
  // Two calls a second to each of the other exchanges, one a second to exchange 1.
  for (double at = now_ms() + 100; at < end_ms - 1000; at += 500) {
    for (int i = 2; i <= 4; ++i) loop.at(at + i * 100, [&offer, i] { offer(i); });
  }
  for (double at = now_ms() + 100; at < end_ms - 1000; at += 1000) {
    const double in_round_ms = std::fmod(at - rounds_begin_ms + round_ms, round_ms);
    if (in_round_ms < slow_for_ms || in_round_ms > round_ms - 500) continue;
    loop.at(at, [&offer] { offer(1); });
  }
  for (int i = 0; i < rounds; ++i) {
    const double at = rounds_begin_ms + i * round_ms;
    auto& first = *converters.front();
    loop.at(at, [&] {
      if (trouble()) first.path_delay_ms = path_delay_ms;
      record("exchange 1: no free circuit%s", trouble() ? "; its path to the router is slow" : "");
      first.set_free(0);
    });
    loop.at(at + 100, [&offer] { offer(1); });
    loop.at(at + full_for_ms, [&] {
      record("exchange 1: circuits are free again");
      first.set_free(group_size / 2);
    });
    loop.at(at + slow_for_ms, [&] {
      first.path_delay_ms = 0;
      record("exchange 1: its path is as usual");
    });
  }
  loop.run_until(end_ms + 4000);

  struct Span {
    double from_ms, to_ms;
    int exchange;
    std::size_t attempt;
  };
  std::map<std::string, std::vector<Span>> spans;
  for (const auto& each : converters) {
    for (std::size_t i = 0; i < each->attempts.size(); ++i) {
      const auto& attempt = each->attempts[i];
      spans[attempt.call].push_back(
          {attempt.received_ms, attempt.over_ms < 0 ? now_ms() : attempt.over_ms, each->number, i});
    }
  }
  int broken = 0;
  for (auto& [call, all] : spans) {
    std::sort(all.begin(), all.end(), [](const Span& a, const Span& b) { return a.from_ms < b.from_ms; });
    for (std::size_t i = 1; i < all.size(); ++i) {
      const double overlap_ms = all[i - 1].to_ms - all[i].from_ms;
      if (overlap_ms <= slack_ms) continue;
      ++broken;
      record("BROKEN: %s had attempt %zu at exchange %d and attempt %zu at exchange %d out together for %.0f ms",
             call.c_str(), all[i - 1].attempt, all[i - 1].exchange, all[i].attempt, all[i].exchange,
             std::min(overlap_ms, all[i].to_ms - all[i].from_ms));
    }
  }
  record("calls %d, calls with attempts %zu", last_call, spans.size());
  record_router_log(folder);
  require(caller.open() && spans.size() > 20, "too few calls");
  if (broken > 0) finish(1, "broken: two attempts of a call out together, " + std::to_string(broken) + " times");
  finish(0, "held: no call had two attempts out at once");
}
