// A converter's processor hangs for a while and its tests fail; its calls stand on. The call router cuts them.
#include "peers.hpp"

using namespace review;

int main() {
  begin_case("a converter that fails its tests");
  Deployment site;
  auto& bad = site.converter(1);
  auto& caller = site.connect("A");
  for (int i = 1; i <= 5; ++i) site.establish(caller, call_id(i), 1);
  for (int i = 6; i <= 8; ++i) site.establish(caller, call_id(i), i - 4);  // calls at other converters

  // The processor takes set-ups and answers none, and the process in front of it fails the tests.
  constexpr double hang_ms = 6700;
  if (trouble()) {
    record("the processor of converter 1 hangs for %.0f ms; its %zu calls stand on", hang_ms,
           bad.standing.size());
    bad.on_offer = [](Connection&, const Line&) {};
    bad.on_test = [&](Connection& from, const Line& test) {
      bad.write(from, message("tested", test.call, "", 0));
    };
    site.loop.after(hang_ms, [&] { bad.on_offer = nullptr, bad.on_test = nullptr; });
  }
  site.loop.run_for(hang_ms + 1300);
  // The calls come to their ends.
  for (int i = 1; i <= 8; ++i) {
    for (auto& converter : site.converters) converter->end_call(call_id(i));
  }
  site.loop.run_for(1100);
  int cut = 0;
  for (int i = 1; i <= 8; ++i) cut += static_cast<int>(bad.released.count(call_id(i)));
  site.stop(cut > 0 ? broken : held,
            std::to_string(cut) + " of 5 calls that stood at converter 1 were cut by the call router");
}
