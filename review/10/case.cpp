// A converter is replaced, and its calls are cut when it stops; the call router is restarted (SIGTERM) at that
// time. It ends within a second and never releases the calls that were cut.
#include "peers.hpp"

using namespace review;

int main() {
  begin_case("a planned restart while a converter is replaced");
  Deployment site;
  auto& old = site.converter(1);
  const auto x = call_id(1), y = call_id(2);
  auto& first = site.connect("A");
  site.establish(first, x, 1);
  site.bus.change(1, old.port, 1, 1, 0);  // drains
  site.loop.run_for(3000);
  old.die();
  const double ended_ms = now_ms();
  site.loop.after(3000, [&] { site.bus.change(1, old.port, 1, 2, 0); });  // the list tells it seconds late

  site.loop.run_for(300);
  if (trouble()) {
    site.router.signal(SIGTERM);
    const double term_ms = now_ms();
    if (!site.router.wait_exit(site.loop, 9700)) site.router.kill();  // the longest deadline and 0.7 s
    record("it ended %.0f ms after SIGTERM; SIGKILL would come no sooner than after 9700 ms", now_ms() - term_ms);
    site.router.start(platform_config(site.port, site.bus.port, site.converters, site.bus.last_event, 0),
                      site.port);
    if (!site.callers.wait_ready()) site.stop(could_not_run, "not ready after the restart");
  }
  auto& second = site.connect("B");
  site.establish(second, y, 2);
  site.callers.wait_ended(x, 8050 - (now_ms() - ended_ms));
  const double told_ms = site.callers.calls[x].ended_ms;
  if (told_ms == 0)
    site.stop(broken, "call x was cut, and its caller was not told within 8050 ms, nor will be");
  site.stop(held, "the caller of x was told of its end after " +
                      std::to_string(static_cast<int>(told_ms - ended_ms)) + " ms");
}
