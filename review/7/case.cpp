// A converter's processor is slow, and set-ups wait in its line for a second. The refusal of a set-up that the
// call router has given up is taken for the answer to the next one, which is still in the line: the call goes
// out a third time, to another converter, and is set up at both.
#include "peers.hpp"

using namespace review;

namespace {

/// The one line of a processor: set-ups and releases are looked at in the order in which they came, also
/// set-ups that were given up meanwhile.
class Processor {
 public:
  Processor(Loop& loop, Converter& converter) : loop_(loop), converter_(converter) {
    converter_.on_line_hook = [this](Connection& from, const Line& line) {
      if (line.op != "offer" && line.op != "end") return false;
      auto& call = calls_[line.call];
      int number = 0;
      if (line.op == "offer") {
        number = ++call.arrived;
        call.out.insert(number);
        record("%s: set-up %d of call %s is in the line", converter_.name.c_str(), number, line.call.c_str());
      } else {
        call.out.clear();  // what came before is given up
      }
      loop_.after(wait_ms, [this, &from, line, number] { look_at(from, line, number); });
      return true;
    };
  }
  /// Set-ups of a call that have reached the converter, have no end written, and were not given up.
  [[nodiscard]] std::size_t out(const std::string& call) { return calls_[call].out.size(); }
  double wait_ms = 20;

 private:
  void look_at(Connection& from, const Line& line, int number) {
    if (line.op == "end") {
      record("%s: looks at the release of call %s", converter_.name.c_str(), line.call.c_str());
      if (converter_.standing.erase(line.call) > 0) {
        ++converter_.free;
        converter_.report();
      }
      converter_.write(from, message("ended", line.call));
    } else if (converter_.free > 0) {
      record("%s: looks at set-up %d of call %s", converter_.name.c_str(), number, line.call.c_str());
      converter_.set_up(from, line.call, "set-up " + std::to_string(number));
    } else {
      record("%s: looks at set-up %d of call %s, no circuit is free", converter_.name.c_str(), number,
             line.call.c_str());
      calls_[line.call].out.erase(number);
      converter_.write(from, message("end", line.call, R"("note":"all_trunks_busy",)" + converter_.load(), 34));
    }
  }
  struct Call {
    int arrived = 0;
    std::set<int> out;
  };
  Loop& loop_;
  Converter& converter_;
  std::map<std::string, Call> calls_;
};

}  // namespace

int main() {
  begin_case("a slow processor and a late refusal");
  Deployment site;
  auto& slow = site.converter(1);
  Processor processor(site.loop, slow);
  auto& caller = site.connect("A");
  site.establish(caller, call_id(1), 1);

  if (trouble()) {
    processor.wait_ms = 1000;
    record("the processor of converter 1 is slow: what comes waits for 1000 ms");
  }
  // The other end of the group takes the circuits that are free, and lets two of them go later.
  site.loop.after(900, [&] {
    record("converter 1: calls of the other end take all free circuits");
    slow.free = 0;
    slow.report();
  });
  site.loop.after(1400, [&] {
    record("converter 1: two circuits are free again");
    slow.free += 2;
    slow.report();
  });

  const auto x = call_id(2);
  std::size_t most_out = 0;
  double together_ms = 0, last_ms = now_ms();
  site.callers.offer(caller, x, 1, 3000);
  site.loop.run_until(
      [&] {
        std::size_t out = processor.out(x);
        for (int i = 2; i <= 8; ++i)
          out += site.converter(i).standing.count(x) + site.converter(i).pending.count(x);
        const double now = now_ms();
        if (out > 1) together_ms += now - last_ms;
        if (out > most_out) record("call %s has %zu attempts out", x.c_str(), out);
        most_out = std::max(most_out, out);
        last_ms = now;
        return false;
      },
      4000);
  int places = 0;
  for (auto& each : site.converters) places += each->set_ups.count(x) > 0 ? 1 : 0;
  site.stop(most_out > 1 ? broken : held,
            std::to_string(most_out) + " attempts of call x were out at once, for " +
                std::to_string(static_cast<int>(together_ms)) + " ms; it was set up at " +
                std::to_string(places) + " converters");
}
