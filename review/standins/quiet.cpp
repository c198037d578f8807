// Case: callers close their idle connections, the calls that stand end meanwhile, and the callers come back.
// Eight converters; callers use up to four connections and close one that has had no set-up for 4 s.
#include "platform.hpp"

using namespace review;

namespace {

struct Call {
  double sent_ms = 0, answered_ms = -1, stood_ms = -1, ended_ms = -1, released_ms = -1;
  std::string answer, line;
  int sent_again = 0, final_answers = 0;
  bool was_served = false, lost = false;
};

}  // namespace

int main(int, char** arguments) {
  const std::string folder = arguments[1];
  start_record(arguments[2]);
  Loop loop;
  // 100 calls a second, then a quiet time of 11 s, then 10 calls a second.
  constexpr double calls_from_ms = 3000, busy_for_ms = 15000, quiet_for_ms = 11000, after_for_ms = 15000;
  constexpr double call_length_ms = 13000, answer_ms = 20, left_ms = 3000;
  constexpr double idle_close_ms = 4000, resend_within_ms = 50, release_limit_ms = 8000 + 50;
  constexpr int memory_mb = 64, sockets = 512, group_size = 250;

  std::map<std::string, Call> calls;
  std::vector<std::unique_ptr<ConverterStandIn>> converters;
  for (int i = 1; i <= 8; ++i) {
    converters.push_back(std::make_unique<ConverterStandIn>(loop, i, group_size));
    converters.back()->on_offer = [&](ConverterStandIn& self, std::size_t attempt, const std::string&) {
      loop.at(now_ms() + answer_ms, [&self, attempt] { self.accept_call(attempt, "c=IN IP4 10.4.7.9"); });
      loop.at(now_ms() + answer_ms + call_length_ms, [&, attempt] {
        if (!self.attempts[attempt].accepted || self.attempts[attempt].over_ms >= 0) return;
        self.end_call(attempt, 16, "");
        calls[self.attempts[attempt].call].ended_ms = now_ms();
      });
    };
  }
  BusStandIn bus(loop, 3);
  const auto port = free_port();
  const auto router =
      start_router(loop, folder, port, platform_config(port, bus.port(), memory_mb, sockets, converters));

  struct Caller {
    std::unique_ptr<Lines> lines;
    double last_set_up_ms = 0;
    std::set<std::string> open;  ///< set-ups without an answer
  };
  std::vector<std::unique_ptr<Caller>> callers;
  std::function<void(const std::string&, bool)> send_set_up;
  int closed_on_callers = 0;
  const auto on_line = [&](std::size_t index, const std::string& line) {
    const auto id = member(line, "call"), op = member(line, "op");
    if (op != "accept" && op != "end") return;
    auto& call = calls[id];
    if (callers[index]->open.erase(id) > 0) {
      call.answered_ms = now_ms();
      ++call.final_answers;
      call.answer = op == "end" ? "end, cause " + member(line, "why") : op;
      if (op == "accept") call.stood_ms = now_ms();
      record("caller %zu: %s %s", index, id.c_str(), call.answer.c_str());
    } else if (op == "end") {
      if (call.released_ms < 0) call.released_ms = now_ms();
      record("caller %zu: %s released", index, id.c_str());
      callers[index]->lines->write("{\"op\":\"ended\",\"call\":\"" + id + "\",\"with\":{}}\n");
    }
  };
  const auto on_end = [&](std::size_t index, const std::string& why) {
    record("caller %zu: connection %s with %zu set-ups open", index, why.c_str(), callers[index]->open.size());
    ++closed_on_callers;
    for (const auto& id : std::exchange(callers[index]->open, {})) {
      auto& call = calls[id];
      if (now_ms() - call.sent_ms <= resend_within_ms && call.sent_again == 0) {
        ++call.sent_again;
        loop.at(now_ms(), [&send_set_up, id] { send_set_up(id, true); });
      } else {
        call.lost = true;
        record("LOST: %s, sent %.0f ms ago, its connection ended without an answer", id.c_str(),
               now_ms() - call.sent_ms);
      }
    }
  };
  int turn = 0;
  send_set_up = [&](const std::string& id, bool again) {
    std::vector<std::size_t> open;
    for (std::size_t i = 0; i < callers.size(); ++i)
      if (callers[i]->lines->open()) open.push_back(i);
    std::size_t index = 0;
    if (open.size() >= 4 && !again) {
      index = open[static_cast<std::size_t>(turn++) % open.size()];
    } else if (!open.empty() && !again && now_ms() > calls_from_ms + 500) {
      index = open[static_cast<std::size_t>(turn++) % open.size()];
    } else {
      index = callers.size();
      callers.push_back(std::make_unique<Caller>());
      callers[index]->lines = std::make_unique<Lines>(
          loop, connect_to(port), [&on_line, index](const std::string& line) { on_line(index, line); },
          [&on_end, index](const std::string& why) { on_end(index, why); });
    }
    auto& caller = *callers[index];
    record("caller %zu: set-up %s%s", index, id.c_str(), again ? ", sent again" : "");
    caller.last_set_up_ms = now_ms();
    caller.open.insert(id);
    caller.lines->write(calls[id].line);
  };
  int last_call = 0;
  const auto offer = [&] {
    const auto id = call_id(++last_call);
    calls[id].sent_ms = now_ms();
    calls[id].line = offer_line(id, 1 + last_call % 8, static_cast<int>(left_ms), "m=audio 31000 RTP/AVP 0");
    send_set_up(id, false);
  };
  const double quiet_from_ms = calls_from_ms + busy_for_ms, back_ms = quiet_from_ms + quiet_for_ms;
  const double end_ms = back_ms + after_for_ms;
  for (double at = calls_from_ms; at < quiet_from_ms; at += 1000.0 / 100) loop.at(at, offer);
  // Without the trouble, two calls a second keep the connections in use.
  if (!trouble()) {
    for (double at = quiet_from_ms; at < back_ms; at += 500) loop.at(at, offer);
  }
  for (double at = back_ms; at < end_ms; at += 100) loop.at(at, offer);
  std::function<void()> close_idle = [&] {
    for (std::size_t i = 0; i < callers.size(); ++i) {
      auto& caller = *callers[i];
      if (!caller.lines->open() || !caller.open.empty() || now_ms() - caller.last_set_up_ms < idle_close_ms) continue;
      record("caller %zu: closes its connection, on which it has had no set-up for 4 s", i);
      caller.lines->close();
    }
    loop.at(now_ms() + 50, close_idle);
  };
  close_idle();
  for (const double at : {quiet_from_ms, back_ms})
    loop.at(at, [&, at] { record(at == back_ms ? "the callers are back" : "the busy time is over"); });
  loop.run_until(end_ms + left_ms + 1000);

  int served = 0, failed = 0, lost = 0, unanswered = 0, never_released = 0, released_late = 0, over = 0;
  int after = 0, served_after = 0;
  for (const auto& [id, call] : calls) {
    if (call.sent_ms >= back_ms) ++after;
    if (call.stood_ms >= 0) {
      ++served;
      if (call.sent_ms >= back_ms) ++served_after;
    } else if (call.answered_ms >= 0) {
      ++failed;
    } else {
      ++unanswered;
    }
    if (call.lost) ++lost;
    if (call.stood_ms < 0 || call.ended_ms < 0 || call.ended_ms + release_limit_ms > now_ms()) continue;
    ++over;
    if (call.released_ms < 0) ++never_released;
    if (call.released_ms > call.ended_ms + release_limit_ms) ++released_late;
  }
  const auto router_end = end_of(router);
  record("calls %zu, served %d, refused or failed %d, unanswered %d; after the callers' return: calls %d, served %d",
         calls.size(), served, failed, unanswered, after, served_after);
  record("calls that stood and ended more than 8.05 s ago: %d, never released %d, released late %d", over,
         never_released, released_late);
  record("connections of callers that the router closed: %d; the router %s", closed_on_callers,
         router_end.empty() ? "still runs" : router_end.c_str());
  record_router_log(folder);
  if (never_released + released_late + lost > 0)
    finish(1, "broken: of " + std::to_string(over) + " calls that stood and are over, " +
                  std::to_string(never_released) + " were not released within 8 s and never, " +
                  std::to_string(released_late) + " late; set-ups lost " + std::to_string(lost) +
                  "; set-ups after the quiet time " + std::to_string(after) + ", served " +
                  std::to_string(served_after));
  require(over > 500, "too few calls stood");
  finish(0, "held: all " + std::to_string(over) +
                " calls that are over were released in time; set-ups after the quiet time " +
                std::to_string(after) + ", served " + std::to_string(served_after));
}
