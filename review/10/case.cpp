// Clients connect and say nothing. The release of a call that stood goes to one of them and not to its caller.
#include "peers.hpp"

using namespace review;

int main() {
  begin_case("clients that say nothing");
  Deployment site;
  const auto w = call_id(1), x = call_id(2), y = call_id(3);
  auto& first = site.connect("A");
  site.establish(first, w, 1);
  site.converter(1).end_call(w);
  if (!site.callers.wait_ended(w, 1050)) site.stop(could_not_run, "the first call was not released");
  site.establish(first, x, 1);
  site.loop.run_for(4000);
  record("caller A: no set-up for 4 s, closes its connection");
  Loop::close(first);
  site.loop.run_for(500);

  int releases_to_strangers = 0;
  if (trouble()) {
    record("100 clients connect and say nothing");
    for (int i = 0; i < 100; ++i) {
      auto& stranger = site.connect("stranger");
      stranger.on_line = [&](Connection&, const std::string& text) {
        record("router > a client that said nothing: %s", text.c_str());
        ++releases_to_strangers;
      };
    }
  }
  site.loop.run_for(200);
  site.converter(1).end_call(x);
  const double ended_ms = now_ms();
  site.loop.run_for(1500);
  auto& second = site.connect("B");
  site.establish(second, y, 2);
  site.callers.wait_ended(x, 8050 - (now_ms() - ended_ms));
  const double told_ms = site.callers.calls[x].ended_ms;
  if (told_ms == 0) {
    site.stop(broken, "the caller of x was not told of its end within 8050 ms; clients that had said nothing "
                      "were told " + std::to_string(releases_to_strangers) + " times");
  }
  site.stop(held, "the caller of x was told of its end after " +
                      std::to_string(static_cast<int>(told_ms - ended_ms)) + " ms");
}
