// The call router is killed and starts again. A caller then ends one call that stood on a new connection and
// keeps that connection open. The release of another call, which its converter sends, never gets there.
#include "peers.hpp"

using namespace review;

int main() {
  begin_case("a release after a restart");
  Deployment site;
  const auto x = call_id(1), y = call_id(2);
  auto& first = site.connect("A");
  site.establish(first, x, 1);
  site.establish(first, y, 1);
  if (trouble()) {
    site.router.kill();
    record("the call router was killed");
    site.router.start("", site.port);
    if (!site.callers.wait_ready()) site.stop(could_not_run, "not ready after the restart");
  }
  site.loop.run_for(500);
  auto& second = site.connect("B");
  site.callers.send(second, message("end", x, "", 16));
  site.loop.run_for(1000);
  if (site.converter(1).standing.count(x) > 0) site.stop(could_not_run, "the release of x was not passed on");

  site.converter(1).end_call(y);
  const double ended_ms = now_ms();
  const auto& outcome = site.callers.calls[y];
  site.callers.wait_ended(y, 8050);
  if (!second.open()) site.stop(could_not_run, "connection B was closed");
  const double after_ms = outcome.ended_ms - ended_ms;
  if (outcome.ended_ms == 0) {
    site.stop(broken, "call y is over, and its caller, on an open connection, was not told within 8050 ms");
  }
  site.stop(after_ms > 1050 ? broken : held,
            "the caller was told of the end of call y after " + std::to_string(static_cast<int>(after_ms)) +
                " ms");
}
