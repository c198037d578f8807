// Tests of the operator's file against the real program: shares, tenants, policies, reloads and the log.
#include <rapidjson/document.h>

#include <set>
#include <sstream>

#include "enum_fixture.hpp"

namespace heathturn::test {
namespace {

const std::string two_pools =
    "pool { name: \"p\" member { name: \"n0\" address: \"$0\" } }\n"
    "pool { name: \"q\" member { name: \"n1\" address: \"$1\" } }\n";

/// Waits for the next query at either name server and answers it. Returns the index of the server.
std::size_t answer_next_query(const EnumFixture& fixture, const std::string& uri = "sip:a@example.org") {
  pollfd both[2] = {{fixture.udp[0].descriptor(), POLLIN, 0}, {fixture.udp[1].descriptor(), POLLIN, 0}};
  REQUIRE(::poll(both, 2, wait_timeout_ms) > 0);
  const std::size_t which = (both[0].revents & POLLIN) != 0 ? 0 : 1;
  const auto query = fixture.receive_query(which);
  fixture.send_reply(which, query, EnumFixture::reply(query.message, uri));
  return which;
}

TEST_CASE("look-ups are split between the pools of a route by their shares, after each look-up") {
  const EnumFixture fixture(
      two_pools + "route { to { pool: \"p\" share: \"70%\" } to { pool: \"q\" share: \"30%\" } }\n");
  int counts[2] = {0, 0};
  for (std::uint16_t id = 1; id <= 100; ++id) {
    fixture.send_query(EnumFixture::query(EnumFixture::enum_name(std::to_string(id % 10) + ".1"), id));
    ++counts[answer_next_query(fixture)];
    CHECK(fixture.receive_answer().id == id);
    CHECK(std::abs(counts[0] - 0.7 * id) < 1);
  }
  CHECK(counts[0] == 70);
}

TEST_CASE("a tenant is recognized by its source address over UDP and TCP, and its own route applies") {
  const EnumFixture fixture(two_pools +
                            "tenant { name: \"tui\" network: \"127.0.0.2/32\" }\n"
                            "route { tenant: \"tui\" to { pool: \"q\" } }\nroute { to { pool: \"p\" } }\n");
  const auto tui = Socket::bound(SOCK_DGRAM, 0x7f000002);
  tui.send_to(fixture.server_address,
              dns::serialize_message(EnumFixture::query(EnumFixture::enum_name("1.4"), 5)));
  CHECK(answer_next_query(fixture) == 1);
  CHECK(dns::parse_message(tui.receive())->id == 5);
  fixture.send_query(EnumFixture::query(EnumFixture::enum_name("1.4"), 6));
  CHECK(answer_next_query(fixture) == 0);
  CHECK(fixture.receive_answer().id == 6);
  auto tcp = Socket::connect(fixture.server_address);  // from 127.0.0.1
  const auto bytes = dns::serialize_message(EnumFixture::query(EnumFixture::enum_name("1.4"), 7));
  std::string framed;
  put_big_endian(framed, bytes.size(), 2);
  tcp.write(framed + bytes);
  CHECK(answer_next_query(fixture) == 0);
  CHECK(tcp.read_bytes(2).size() == 2);
}

TEST_CASE("a policy limits open look-ups, attempts and the wait between attempts") {
  const EnumFixture fixture(
      two_pools +
      "policy { name: \"one\" most_open: 1 attempts: 1 }\n"
      "policy { name: \"patient\" attempts: 2 retry_wait: \"300ms\" }\n"
      "route { prefix: \"1\" to { pool: \"p\" } to { pool: \"q\" } policy: \"one\" }\n"
      "route { prefix: \"2\" to { pool: \"p\" } to { pool: \"q\" } policy: \"patient\" }\n");
  fixture.send_query(EnumFixture::query(EnumFixture::enum_name("1.1"), 1));
  const auto first = fixture.receive_query(0);
  fixture.send_query(EnumFixture::query(EnumFixture::enum_name("2.1"), 2));
  const auto refused = fixture.receive_answer();  // at once, since the first look-up is still open
  CHECK(refused.id == 2);
  CHECK(refused.rcode == dns::rcode::refused);
  auto fault = EnumFixture::reply(first.message, "", 0);
  fault.rcode = dns::rcode::serv_fail;
  fixture.send_reply(0, first, fault);
  CHECK(fixture.receive_answer().id == 1);  // after its only attempt
  CHECK(fixture.udp[1].no_input_within(50));
  fixture.send_query(EnumFixture::query(EnumFixture::enum_name("1.2"), 3));
  const auto second_query = fixture.receive_query(0);
  const double start_ms = now_ms();
  fault = EnumFixture::reply(second_query.message, "", 0);
  fault.rcode = dns::rcode::serv_fail;
  fixture.send_reply(0, second_query, fault);
  answer_next_query(fixture);
  CHECK(now_ms() - start_ms > 290);
  CHECK(fixture.receive_answer().rcode == dns::rcode::no_error);
}

TEST_CASE("a look-up is answered at once when no converter of its pool is in service") {
  const Socket registry = Socket::bound(SOCK_STREAM);
  const EnumFixture fixture(
      "registry { name: \"r\" address: \"" + registry.address().text() +
      "\" }\npool { name: \"p\" from_registry { registry: \"r\" application: \"x\" } }\nroute { to "
      "{ pool: \"p\" } }\n");
  const double start_ms = now_ms();
  CHECK(fixture.resolve(EnumFixture::query(EnumFixture::enum_name("1.1"))).rcode == dns::rcode::serv_fail);
  CHECK(now_ms() - start_ms < deadline_ms / 2);
}

TEST_CASE("every look-up is answered while valid and broken files are reloaded in turn under load") {
  const std::string routes[2] = {"route { to { pool: \"p\" } to { pool: \"q\" } }\n",
                                 "route { to { pool: \"q\" } to { pool: \"p\" } }\n"};
  const EnumFixture fixture(two_pools + routes[0]);
  const auto text = [&](const std::string& rest) {
    return EnumFixture::site_header() + fixture.with_addresses(two_pools + rest);
  };
  std::uint16_t id = 0;
  std::set<std::uint16_t> open_ids;
  const auto send_look_ups = [&](int count) {
    for (int i = 0; i < count; ++i) {
      fixture.send_query(EnumFixture::query(EnumFixture::enum_name(std::to_string(i % 10) + ".1"), ++id));
      open_ids.insert(id);
      answer_next_query(fixture);
      if (!readable(fixture.resolver.descriptor(), 0)) continue;
      const auto answer = fixture.receive_answer();
      CHECK(answer.rcode == dns::rcode::no_error);
      CHECK(open_ids.erase(answer.id) == 1);
    }
  };
  for (int round = 0; round < 6; ++round) {
    const bool broken = round % 2 == 1;
    const auto next = broken ? "route { to { pool: \"none\" } }\n" : routes[(round / 2 + 1) % 2];
    fixture.file->write(text(next));
    fixture.program->signal(SIGHUP);
    send_look_ups(40);
    if (broken) {
      const auto kept = fixture.program->wait_for_log("event=configuration_kept front=enum");
      CHECK(kept.find(fixture.file->path() + ":") != std::string::npos);
      CHECK(kept.find("no pool is named") != std::string::npos);
    } else {
      fixture.program->wait_for_log("event=configuration_taken front=enum");
    }
  }
  while (!open_ids.empty()) CHECK(open_ids.erase(fixture.receive_answer().id) == 1);
  fixture.send_query(EnumFixture::query(EnumFixture::enum_name("1.1"), ++id));
  CHECK(answer_next_query(fixture) == 1);  // by the last valid file
  CHECK(fixture.receive_answer().id == id);
}

TEST_CASE(
    "an open look-up keeps the policy that it began with; a file that needs a restart is rejected as a "
    "whole") {
  const std::string policy = "policy { name: \"default\" deadline: \"1500ms\" }\n",
                    short_policy = "policy { name: \"default\" deadline: \"200ms\" }\n";
  const std::string route = "route { to { pool: \"p\" } }\nroute { prefix: \"9\" to { pool: \"q\" } }\n";
  const EnumFixture fixture(two_pools + policy + route);
  const double start_ms = now_ms();
  fixture.send_query(EnumFixture::query(EnumFixture::enum_name("1.1"), 1));
  const auto open_query = fixture.receive_query(0);
  fixture.file->write(EnumFixture::site_header() + fixture.with_addresses(two_pools + short_policy + route));
  fixture.program->signal(SIGHUP);
  fixture.program->wait_for_log("policy default: deadline 200ms, was 1.5s");
  fixture.program->wait_for_log("event=configuration_taken");
  fixture.send_query(EnumFixture::query(EnumFixture::enum_name("2.9"), 2));
  (void)fixture.receive_query(1);
  const auto short_answer = fixture.receive_answer();
  CHECK(short_answer.id == 2);
  CHECK(short_answer.rcode != dns::rcode::no_error);
  CHECK(fixture.resolver.no_input_within(std::max(0, static_cast<int>(300 - (now_ms() - start_ms)))));
  fixture.send_reply(0, open_query, EnumFixture::reply(open_query.message, "sip:late@example.org"));
  // The decision module may have given up that attempt by now and started another.
  while (!readable(fixture.resolver.descriptor(), 20)) {
    if (!readable(fixture.udp[0].descriptor(), 0)) continue;
    const auto next_query = fixture.receive_query(0);
    fixture.send_reply(0, next_query, EnumFixture::reply(next_query.message, "sip:late@example.org"));
  }
  const auto first_answer = fixture.receive_answer();
  CHECK(first_answer.id == 1);
  CHECK(answer_contains(first_answer, "sip:late@example.org"));
  // A changed console path needs a restart: nothing else of that file is applied either.
  auto text = EnumFixture::site_header() + fixture.with_addresses(two_pools + policy + route);
  fixture.file->write("console: \"/tmp/none.socket\"\n" + text);
  fixture.program->signal(SIGHUP);
  CHECK(fixture.program->wait_for_log("event=configuration_kept")
            .find("; this change requires a restart, so nothing in the file was applied") !=
        std::string::npos);
  fixture.send_query(EnumFixture::query(EnumFixture::enum_name("3.9"), 3));
  const double third_sent_ms = now_ms();
  CHECK(fixture.receive_answer().id == 3);
  CHECK(now_ms() - third_sent_ms < 1000);  // the deadline of 200 ms still applies
}

// ---- The log --------------------------------------------------------------------------------------------

TEST_CASE("an unread log delays no look-up; dropped lines are counted and reported once it is read") {
  const EnumFixture fixture(two_pools + "route { to { pool: \"p\" } }\n");
  const auto check_look_up = [&fixture](std::uint16_t id) {
    fixture.send_query(EnumFixture::query(EnumFixture::enum_name("1.1"), id));
    const auto query = fixture.receive_query(0);
    fixture.send_reply(0, query, EnumFixture::reply(query.message, "sip:a@example.org"));
    CHECK(fixture.receive_answer().id == id);
  };
  // Each closed connection logs a line of about 150 bytes, in total more than the pipe and the queue hold.
  for (std::uint16_t i = 0; i < 4000; ++i) {
    Socket::connect(fixture.server_address).close();
    if (i % 200 == 0) check_look_up(i);
  }
  check_look_up(5000);
  const auto lost = fixture.program->wait_for_log("event=log_dropped count=");
  CHECK(std::stoi(lost) > 0);
  check_look_up(5001);
}

TEST_CASE("the program stops on SIGTERM although nobody reads its log") {
  const EnumFixture fixture(two_pools + "route { to { pool: \"p\" } }\n");
  for (int i = 0; i < 4000; ++i) Socket::connect(fixture.server_address).close();
  fixture.program->signal(SIGTERM);
  CHECK(fixture.program->wait_for_exit_without_reading() == 0);
}

TEST_CASE("each line of a JSON log is an object with an event; lines below the log level are left out") {
  const TempFile file(
      "listen: \"127.0.0.1:0\" suffix: \"e.org\" class { name: \"a\" } pool { name: \"p\" member { name: "
      "\"m\" "
      "address: \"127.0.0.1:1\" } } route { to { pool: \"p\" } }");
  Process program({"serve", "--site", file.path(), "--log-format", "json"});
  program.wait_for_log("\"event\":\"listening\"");
  program.signal(SIGTERM);
  std::istringstream lines(program.read_remaining_output());
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
  CHECK(program.wait_for_exit() == 0);
  const TempFile temp_file("");
  const auto path = temp_file.path() + ".socket";
  Process quiet_program({"serve", "--site", file.path(), "--log-level", "error", "--console", path});
  for (const double until = now_ms() + wait_timeout_ms;
       ::access(path.c_str(), F_OK) != 0 && now_ms() < until;) {
    ::poll(nullptr, 0, 5);
  }
  Process drain_command({"console", "--socket", path, "drain"});
  CHECK(drain_command.read_remaining_output() == "draining\n");
  CHECK(quiet_program.read_remaining_output().empty());
}

}  // namespace
}  // namespace heathturn::test
