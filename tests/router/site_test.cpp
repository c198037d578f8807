// What the operator's file says, at work in the real program: shares, classes, tenants, policies, reloads,
// log.
#include <rapidjson/document.h>

#include <set>
#include <sstream>

#include "enum_fixture.hpp"

namespace heathturn::test {
namespace {

const std::string two_pools =
    "pool { name: \"p\" member { name: \"n0\" address: \"$0\" } }\n"
    "pool { name: \"q\" member { name: \"n1\" address: \"$1\" } }\n";

/// Which of the two name servers is asked next; its query is answered.
std::size_t serve_one(const EnumFixture& e, const std::string& uri = "sip:a@example.org") {
  pollfd both[2] = {{e.udp[0].descriptor(), POLLIN, 0}, {e.udp[1].descriptor(), POLLIN, 0}};
  REQUIRE(::poll(both, 2, patience_ms) > 0);
  const std::size_t which = (both[0].revents & POLLIN) != 0 ? 0 : 1;
  const auto asked = e.receive_query(which);
  e.send_reply(which, asked, EnumFixture::reply(asked.message, uri));
  return which;
}

TEST_CASE("the shares of a route hold on the wire, look-up by look-up") {
  const EnumFixture e(two_pools +
                      "route { to { pool: \"p\" share: \"70%\" } to { pool: \"q\" share: \"30%\" } }\n");
  int counts[2] = {0, 0};
  for (std::uint16_t id = 1; id <= 100; ++id) {
    e.send_query(EnumFixture::query(EnumFixture::enum_name(std::to_string(id % 10) + ".1"), id));
    ++counts[serve_one(e)];
    CHECK(e.receive_answer().id == id);
    CHECK(std::abs(counts[0] - 0.7 * id) < 1);
  }
  CHECK(counts[0] == 70);
}

TEST_CASE("a tenant is told by its address, over UDP and TCP, and goes by its own route") {
  const EnumFixture e(two_pools +
                      "tenant { name: \"tui\" network: \"127.0.0.2/32\" }\n"
                      "route { tenant: \"tui\" to { pool: \"q\" } }\nroute { to { pool: \"p\" } }\n");
  const auto tui = Socket::bound(SOCK_DGRAM, 0x7f000002);
  tui.send_to(e.server_address, dns::serialize_message(EnumFixture::query(EnumFixture::enum_name("1.4"), 5)));
  CHECK(serve_one(e) == 1);
  CHECK(dns::parse_message(tui.receive())->id == 5);
  e.send_query(EnumFixture::query(EnumFixture::enum_name("1.4"), 6));
  CHECK(serve_one(e) == 0);
  CHECK(e.receive_answer().id == 6);
  auto line = Socket::connect(e.server_address);  // from 127.0.0.1
  const auto bytes = dns::serialize_message(EnumFixture::query(EnumFixture::enum_name("1.4"), 7));
  std::string framed;
  put_big_endian(framed, bytes.size(), 2);
  line.write(framed + bytes);
  CHECK(serve_one(e) == 0);
  CHECK(line.take(2).size() == 2);
}

TEST_CASE("a policy's limits at the door, its attempts and its wait") {
  const EnumFixture e(two_pools +
                      "policy { name: \"one\" most_open: 1 attempts: 1 }\n"
                      "policy { name: \"patient\" attempts: 2 retry_wait: \"300ms\" }\n"
                      "route { prefix: \"1\" to { pool: \"p\" } to { pool: \"q\" } policy: \"one\" }\n"
                      "route { prefix: \"2\" to { pool: \"p\" } to { pool: \"q\" } policy: \"patient\" }\n");
  e.send_query(EnumFixture::query(EnumFixture::enum_name("1.1"), 1));
  const auto first = e.receive_query(0);
  e.send_query(EnumFixture::query(EnumFixture::enum_name("2.1"), 2));
  const auto refused = e.receive_answer();  // at once: the other is still open
  CHECK(refused.id == 2);
  CHECK(refused.rcode == dns::rcode::refused);
  auto fault = EnumFixture::reply(first.message, "", 0);
  fault.rcode = dns::rcode::serv_fail;
  e.send_reply(0, first, fault);
  CHECK(e.receive_answer().id == 1);  // one attempt, and no other
  CHECK(e.udp[1].quiet(50));
  e.send_query(EnumFixture::query(EnumFixture::enum_name("1.2"), 3));
  const auto again = e.receive_query(0);
  const double from = now_ms();
  fault = EnumFixture::reply(again.message, "", 0);
  fault.rcode = dns::rcode::serv_fail;
  e.send_reply(0, again, fault);
  serve_one(e);
  CHECK(now_ms() - from > 290);
  CHECK(e.receive_answer().rcode == dns::rcode::no_error);
}

TEST_CASE("where nothing is in service, the answer comes at once") {
  const Socket registry = Socket::bound(SOCK_STREAM);
  const EnumFixture e(
      "registry { name: \"r\" address: \"" + registry.address().text() +
      "\" }\npool { name: \"p\" from_registry { registry: \"r\" application: \"x\" } }\nroute { to "
      "{ pool: \"p\" } }\n");
  const double from = now_ms();
  CHECK(e.resolve(EnumFixture::query(EnumFixture::enum_name("1.1"))).rcode == dns::rcode::serv_fail);
  CHECK(now_ms() - from < deadline_ms / 2);
}

TEST_CASE("reloads under load: good and broken versions by turns, and every look-up has its answer") {
  const std::string routes[2] = {"route { to { pool: \"p\" } to { pool: \"q\" } }\n",
                                 "route { to { pool: \"q\" } to { pool: \"p\" } }\n"};
  const EnumFixture e(two_pools + routes[0]);
  const auto text = [&](const std::string& rest) {
    return EnumFixture::site_header() + e.with_addresses(two_pools + rest);
  };
  std::uint16_t id = 0;
  std::set<std::uint16_t> open;
  const auto load = [&](int count) {
    for (int i = 0; i < count; ++i) {
      e.send_query(EnumFixture::query(EnumFixture::enum_name(std::to_string(i % 10) + ".1"), ++id));
      open.insert(id);
      serve_one(e);
      if (!readable(e.resolver.descriptor(), 0)) continue;
      const auto answer = e.receive_answer();
      CHECK(answer.rcode == dns::rcode::no_error);
      CHECK(open.erase(answer.id) == 1);
    }
  };
  for (int round = 0; round < 6; ++round) {
    const bool broken = round % 2 == 1;
    const auto next = broken ? "route { to { pool: \"none\" } }\n" : routes[(round / 2 + 1) % 2];
    e.file->write(text(next));
    e.program->signal(SIGHUP);
    load(40);
    if (broken) {
      const auto kept = e.program->log("event=configuration_kept front=enum");
      CHECK(kept.find(e.file->path() + ":") != std::string::npos);
      CHECK(kept.find("no pool is named") != std::string::npos);
    } else {
      e.program->log("event=configuration_taken front=enum");
    }
  }
  while (!open.empty()) CHECK(open.erase(e.receive_answer().id) == 1);
  e.send_query(EnumFixture::query(EnumFixture::enum_name("1.1"), ++id));
  CHECK(serve_one(e) == 1);  // by the last good version
  CHECK(e.receive_answer().id == id);
}

TEST_CASE(
    "an open look-up ends under the policy that it began with; a version that takes a restart is not taken") {
  const std::string policy = "policy { name: \"default\" deadline: \"1500ms\" }\n",
                    short_one = "policy { name: \"default\" deadline: \"200ms\" }\n";
  const std::string route = "route { to { pool: \"p\" } }\nroute { prefix: \"9\" to { pool: \"q\" } }\n";
  const EnumFixture e(two_pools + policy + route);
  const double from = now_ms();
  e.send_query(EnumFixture::query(EnumFixture::enum_name("1.1"), 1));
  const auto open = e.receive_query(0);
  e.file->write(EnumFixture::site_header() + e.with_addresses(two_pools + short_one + route));
  e.program->signal(SIGHUP);
  e.program->log("policy default: deadline 200ms, was 1.5s");
  e.program->log("event=configuration_taken");
  e.send_query(EnumFixture::query(EnumFixture::enum_name("2.9"), 2));
  (void)e.receive_query(1);
  const auto late = e.receive_answer();
  CHECK(late.id == 2);
  CHECK(late.rcode != dns::rcode::no_error);
  CHECK(e.resolver.quiet(std::max(0, static_cast<int>(300 - (now_ms() - from)))));
  e.send_reply(0, open, EnumFixture::reply(open.message, "sip:late@example.org"));
  // The module may have given up that attempt by now, and made another.
  while (!readable(e.resolver.descriptor(), 20)) {
    if (!readable(e.udp[0].descriptor(), 0)) continue;
    const auto more = e.receive_query(0);
    e.send_reply(0, more, EnumFixture::reply(more.message, "sip:late@example.org"));
  }
  const auto last = e.receive_answer();
  CHECK(last.id == 1);
  CHECK(answer_contains(last, "sip:late@example.org"));
  // The console's path, and with it nothing else of the file.
  auto text = EnumFixture::site_header() + e.with_addresses(two_pools + policy + route);
  e.file->write("console: \"/tmp/none.socket\"\n" + text);
  e.program->signal(SIGHUP);
  CHECK(e.program->log("event=configuration_kept")
            .find("; this change requires a restart, so nothing in the file was applied") !=
        std::string::npos);
  e.send_query(EnumFixture::query(EnumFixture::enum_name("3.9"), 3));
  const double again = now_ms();
  CHECK(e.receive_answer().id == 3);
  CHECK(now_ms() - again < 1000);  // still within 200 ms of its own
}

// ---- The log --------------------------------------------------------------------------------------------

TEST_CASE("a log that nobody reads stalls no look-up; what was lost is counted and told once it is read") {
  const EnumFixture e(two_pools + "route { to { pool: \"p\" } }\n");
  const auto look_up = [&e](std::uint16_t id) {
    e.send_query(EnumFixture::query(EnumFixture::enum_name("1.1"), id));
    const auto asked = e.receive_query(0);
    e.send_reply(0, asked, EnumFixture::reply(asked.message, "sip:a@example.org"));
    CHECK(e.receive_answer().id == id);
  };
  // Each connection that ends leaves a line of about 150 bytes: more than pipe and queue hold.
  for (std::uint16_t i = 0; i < 4000; ++i) {
    Socket::connect(e.server_address).close();
    if (i % 200 == 0) look_up(i);
  }
  look_up(5000);
  const auto lost = e.program->log("event=log_dropped count=");
  CHECK(std::stoi(lost) > 0);
  look_up(5001);
}

TEST_CASE("with a log that nobody reads the program still ends as asked") {
  const EnumFixture e(two_pools + "route { to { pool: \"p\" } }\n");
  for (int i = 0; i < 4000; ++i) Socket::connect(e.server_address).close();
  e.program->signal(SIGTERM);
  CHECK(e.program->wait_unread() == 0);
}

TEST_CASE("each line of a JSON log is an object with its event, and a level leaves lines out") {
  const TempFile file(
      "listen: \"127.0.0.1:0\" suffix: \"e.org\" class { name: \"a\" } pool { name: \"p\" member { name: "
      "\"m\" "
      "address: \"127.0.0.1:1\" } } route { to { pool: \"p\" } }");
  Process program({"serve", "--site", file.path(), "--log-format", "json"});
  program.log("\"event\":\"listening\"");
  program.signal(SIGTERM);
  std::istringstream lines(program.rest());
  std::vector<std::string> events;
  for (std::string line; std::getline(lines, line);) {
    rapidjson::Document document;
    document.Parse(line.c_str());
    REQUIRE(document.IsObject());
    CHECK(document["ts"].IsNumber());
    CHECK(std::string(document["level"].GetString()) == "info");
    CHECK(std::string(document["name"].GetString()) == "heathturn");
    events.emplace_back(document["event"].GetString());
  }
  CHECK(events == std::vector<std::string>{"draining", "stopped"});
  CHECK(program.wait() == 0);
  const TempFile place("");
  const auto path = place.path() + ".socket";
  Process quiet({"serve", "--site", file.path(), "--log-level", "error", "--console", path});
  for (const double until = now_ms() + patience_ms; ::access(path.c_str(), F_OK) != 0 && now_ms() < until;) {
    ::poll(nullptr, 0, 5);
  }
  Process drain({"console", "--socket", path, "drain"});
  CHECK(drain.rest() == "draining\n");
  CHECK(quiet.rest().empty());
}

}  // namespace
}  // namespace heathturn::test
