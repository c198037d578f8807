// The call router is restarted (SIGTERM) while a converter drains and completes its calls. It never connects to
// that converter again, and so the ends of these calls reach no caller, and a caller's release no converter.
#include "peers.hpp"

using namespace review;

int main() {
  begin_case("a planned restart while a converter drains");
  Deployment site;
  auto& draining = site.converter(1);
  const auto x = call_id(1), y = call_id(2), z = call_id(3);
  auto& first = site.connect("A");
  site.establish(first, x, 1);
  site.establish(first, y, 1);
  site.bus.change(1, draining.port, 1, 1, 0);
  site.loop.run_for(1000);
  if (trouble()) {
    site.router.signal(SIGTERM);
    if (!site.router.wait_exit(site.loop, 9700)) site.router.kill();  // the longest deadline and 0.7 s
    site.router.start(platform_config(site.port, site.bus.port, site.converters, site.bus.last_event, 0),
                      site.port);
    if (!site.callers.wait_ready()) site.stop(could_not_run, "not ready after the restart");
  }
  auto& second = site.connect("B");
  site.establish(second, z, 2);
  site.loop.run_for(2000);

  record("the caller of y ends it");
  site.callers.send(second, message("end", y, "", 16));
  draining.end_call(x);
  const double ended_ms = now_ms();
  site.callers.wait_ended(x, 8050);
  const double told_ms = site.callers.calls[x].ended_ms;
  const std::string hang_up =
      draining.released.count(y) > 0 ? "" : "; the caller's release of y had not reached the converter";
  if (!second.open()) site.stop(could_not_run, "connection B was closed");
  record("connections from the call router to converter 1: %zu", draining.connections().size());
  if (told_ms == 0)
    site.stop(broken, "call x is over, and its caller was not told within 8050 ms" + hang_up);
  site.stop(told_ms - ended_ms > 8050 ? broken : held,
            "the caller of x was told of its end after " +
                std::to_string(static_cast<int>(told_ms - ended_ms)) + " ms" + hang_up);
}
