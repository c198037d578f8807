// Tests of the platform service: the program runs as a process, and the tests act as its callers, converters
// and event bus.
#include <set>

#include "net/framing.hpp"
#include "platform_fixture.hpp"

namespace heathturn::test {
namespace {

TEST_CASE("a call is set up, answered and released with its contents unchanged") {
  PlatformFixture platform;
  auto caller = Socket::connect(platform.caller_address);
  const auto offer = PlatformFixture::make_offer(call_a);
  const auto bytes = serialize_message(offer);
  caller.write(bytes.substr(0, 20));  // a line may arrive in parts
  CHECK(platform.converter_connections[0].no_input_within(50));
  caller.write(bytes.substr(20));
  const auto sent = platform.converter_connections[0].read_message();
  CHECK(sent.op == Op::offer);
  CHECK(sent.call_id == call_a);
  CHECK(*sent.field("class") == "voice");
  CHECK(*sent.field("key") == *offer.field("key"));
  CHECK(sent.number("left", 0) > 300);
  CHECK(sent.number("left", 0) < 3000);
  CHECK(sent.description == offer.description);
  platform.converter_connections[0].send_message(PlatformFixture::make_message(Op::ringing, call_a));
  platform.converter_connections[0].send_message(PlatformFixture::make_message(Op::accept, call_a));
  const auto answer = caller.read_message();
  CHECK(answer.op == Op::accept);
  CHECK(answer.description == "answer\r\nto " + call_a);
  platform.converter_connections[0].send_message(PlatformFixture::make_message(Op::end, call_a, 16));
  const auto end = caller.read_message();
  CHECK(end.op == Op::end);
  CHECK(end.code == 16);
  CHECK(caller.no_input_within(100));
}

TEST_CASE("a refusal by a full processor reaches the caller with a retry time") {
  PlatformFixture platform;
  auto caller = Socket::connect(platform.caller_address);
  caller.send_message(PlatformFixture::make_offer(call_a, 800));
  CHECK(platform.converter_connections[0].read_message().call_id == call_a);
  auto refusal = PlatformFixture::make_message(Op::end, call_a, 34);
  refusal.fields = {{"note", "cpu_full"}, {"waited", "5000"}};
  platform.converter_connections[0].send_message(refusal);
  const auto end = caller.read_message();
  CHECK(end.code == cause::congestion);
  CHECK(end.number("wait", 0) == 2000);
  CHECK(platform.converter_connections[0].no_input_within(20));
}

TEST_CASE("an invalid line ends its connection with a reason and affects no other") {
  PlatformFixture platform;
  const std::pair<std::string, std::string> cases[] = {
      {"{nonsense}\n", "malformed"},
      {"{\"op\":\"dance\",\"call\":\"" + call_a + "\"}\n", "unknown_op"},
      {std::string(17000, 'x'), "over_long"},
      {serialize_message(PlatformFixture::make_message(Op::accept, call_a)), "unknown_op"},
  };
  for (const auto& [text, why] : cases) {
    auto caller = Socket::connect(platform.caller_address);
    caller.write(text);
    CHECK(caller.read_until_closed());
    CHECK(platform.program->wait_for_log("side=caller").find("reason=" + why + " ") != std::string::npos);
  }
  platform.converter_connections[1].write(std::string(17000, 'x'));
  CHECK(platform.converter_connections[1].read_until_closed());
  CHECK(platform.program->wait_for_log("side=converter").find("reason=over_long") != std::string::npos);
  auto caller = Socket::connect(platform.caller_address);
  platform.establish_call(caller, call_b);
}

TEST_CASE("an invalid set-up is refused at once and sent to no converter") {
  PlatformFixture platform;
  auto caller = Socket::connect(platform.caller_address);
  const std::pair<std::string, std::string> cases[] = {
      {"class", "voice_x"},
      {"tenant", "nobody"},
      {"left", "soon"},
      {"left", "-5"},
      {"left", ""},
      {"left", "99999999999999999999999"},
      {"extras", "x"},
      {"extras", "dest:1;width:400;via:-1"},
      {"extras", "dest:-3;width:1"},
      {"extras", "dest:nan;width:1"},
      {"extras", "dest:99;width:1"},
      {"extras", "dest:0;width:1"},
      {"key", "number"},
  };
  int number = 0;
  for (const auto& [name, value] : cases) {
    auto offer = PlatformFixture::make_offer("00000000000000" + std::to_string(10 + number++));
    std::erase_if(offer.fields, [&name = name](const auto& each) { return each.first == name; });
    offer.fields.emplace_back(name, value);
    caller.send_message(offer);
    const auto reply = caller.read_message();
    CHECK(reply.call_id == offer.call_id);
    CHECK(reply.code == cause::error);
  }
  CHECK(platform.converter_connections[0].no_input_within(20));
  platform.establish_call(caller, call_a);
  // A caller that keeps sending invalid set-ups is disconnected.
  auto invalid_offer = PlatformFixture::make_offer(call_b);
  invalid_offer.fields[0].second = "voice_x";
  do caller.try_send_message(invalid_offer);
  while (!caller.read_line().empty());
  CHECK(platform.program->wait_for_log("side=caller").find("reason=malformed") != std::string::npos);
}

TEST_CASE("another connection that uses an open call's id neither gets its answer nor ends it") {
  PlatformFixture platform;
  auto caller = Socket::connect(platform.caller_address),
       other_caller = Socket::connect(platform.caller_address);
  caller.send_message(PlatformFixture::make_offer(call_a));
  CHECK(platform.converter_connections[0].read_message().call_id == call_a);
  auto duplicate = PlatformFixture::make_offer(call_a);
  duplicate.description = "another description";
  other_caller.send_message(duplicate);
  CHECK(other_caller.read_message().code == cause::error);
  other_caller.send_message(PlatformFixture::make_message(Op::end, call_a, 16));
  CHECK(parse_message(other_caller.read_line()).op == Op::ended);
  platform.converter_connections[0].send_message(PlatformFixture::make_message(Op::accept, call_a));
  CHECK(caller.read_message().op == Op::accept);
  CHECK(other_caller.no_input_within(50));
  // On one connection a duplicate id is an error: it would be unclear which set-up an answer belongs to.
  caller.send_message(PlatformFixture::make_offer(call_b));
  caller.send_message(PlatformFixture::make_offer(call_b));
  CHECK(caller.read_until_closed());
}

TEST_CASE("requests beyond the limit set by the memory are refused at once with a retry time") {
  PlatformFixture platform(true, 1024, 1024, 8);  // memory for 128 requests
  auto caller = Socket::connect(platform.caller_address);
  for (int i = 0; i < 129; ++i)
    caller.send_message(PlatformFixture::make_offer("000000000000" + std::to_string(1000 + i)));
  const auto refusal = caller.read_message();
  CHECK(refusal.call_id == "0000000000001128");
  CHECK(refusal.code == cause::congestion);
  CHECK(refusal.number("wait", 0) == 1000);
}

TEST_CASE("idle connections are closed to make room for new ones, but not while a request is open") {
  PlatformFixture platform(true, 1024, 16);  // 8 of these sockets are for callers
  auto pending_caller = Socket::connect(platform.caller_address);
  pending_caller.send_message(PlatformFixture::make_offer(call_a, 3000, 2));
  CHECK(platform.converter_connections[1].read_message().call_id == call_a);
  auto served_caller = Socket::connect(platform.caller_address);
  platform.establish_call(served_caller, call_b);
  std::vector<Socket> idle_connections;
  for (int i = 0; i < 30; ++i) idle_connections.push_back(Socket::connect(platform.caller_address));
  auto new_caller = Socket::connect(platform.caller_address);
  platform.establish_call(new_caller, "00000000000000c3");
  platform.converter_connections[1].send_message(PlatformFixture::make_message(Op::accept, call_a));
  CHECK(pending_caller.read_message().op == Op::accept);
  platform.converter_connections[0].send_message(PlatformFixture::make_message(Op::end, call_b, 16));
  // Silent connections are closed before one that was served.
  CHECK(served_caller.read_message().call_id == call_b);
  // A connection that never sends a message is closed even without need for room.
  const double started_ms = now_ms();
  CHECK(idle_connections.back().read_until_closed());
  CHECK(now_ms() - started_ms < 3000);
}

TEST_CASE("an unacknowledged release is sent on another connection when callers acknowledge releases") {
  PlatformFixture platform;
  auto silent_caller = Socket::connect(platform.caller_address),
       acknowledging_caller = Socket::connect(platform.caller_address);
  platform.establish_call(acknowledging_caller, call_b);
  platform.establish_call(silent_caller, call_a);
  platform.converter_connections[0].send_message(PlatformFixture::make_message(Op::end, call_b, 16));
  CHECK(acknowledging_caller.read_message().call_id == call_b);
  acknowledging_caller.send_message(PlatformFixture::make_message(Op::ended, call_b));
  platform.converter_connections[0].send_message(PlatformFixture::make_message(Op::end, call_a, 16));
  CHECK(silent_caller.read_message().call_id == call_a);
  CHECK(acknowledging_caller.read_message().call_id == call_a);
  acknowledging_caller.send_message(PlatformFixture::make_message(Op::ended, call_a));
  CHECK(silent_caller.no_input_within(400));
}

TEST_CASE("a peer that resets, or leaves before its answer, ends only its own calls") {
  PlatformFixture platform;
  {
    auto leaving_caller = Socket::connect(platform.caller_address);
    leaving_caller.send_message(PlatformFixture::make_offer(call_a));
    CHECK(platform.converter_connections[0].read_message().call_id == call_a);
    leaving_caller.reset();
  }
  const auto release = platform.converter_connections[0].read_message();  // no caller waits for it any more
  CHECK(release.op == Op::end);
  CHECK(release.call_id == call_a);
  // The converter accepted before the release arrived.
  platform.converter_connections[0].send_message(PlatformFixture::make_message(Op::accept, call_a));
  CHECK(platform.converter_connections[0].read_message().op == Op::end);
  auto caller = Socket::connect(platform.caller_address);
  platform.establish_call(caller, call_b);
}

// Guards against running the set-ups of a caller that has left: they were read and sent on before the end of
// its connection was.
TEST_CASE(
    "set-ups that were unread when their caller closed the connection are not sent on, its releases are") {
  PlatformFixture platform;
  auto& converter = platform.converter_connections[0];
  {
    auto leaving_caller = Socket::connect(platform.caller_address);
    platform.establish_call(leaving_caller, call_a);
    platform.program->signal(SIGSTOP);
    std::string messages;
    for (int i = 0; i < 100; ++i)
      messages += serialize_message(PlatformFixture::make_offer("000000000000" + std::to_string(1000 + i)));
    leaving_caller.write(messages + serialize_message(PlatformFixture::make_message(Op::end, call_a, 16)));
  }
  platform.program->signal(SIGCONT);
  const auto message = converter.read_message();
  CHECK(message.op == Op::end);
  CHECK(message.call_id == call_a);
  auto caller = Socket::connect(platform.caller_address);
  caller.send_message(PlatformFixture::make_offer(call_b));
  CHECK(converter.read_message().call_id == call_b);
}

// Guards against running a call twice whose id comes again after its caller has left.
TEST_CASE("the id of a call whose caller has left is not set up again") {
  PlatformFixture platform;
  auto& converter = platform.converter_connections[0];
  {
    auto leaving_caller = Socket::connect(platform.caller_address);
    leaving_caller.send_message(PlatformFixture::make_offer(call_a));
    CHECK(converter.read_message().op == Op::offer);
  }
  CHECK(converter.read_message().op == Op::end);
  converter.send_message(PlatformFixture::make_message(Op::ended, call_a));
  auto caller = Socket::connect(platform.caller_address);
  caller.send_message(PlatformFixture::make_offer(call_a));
  const auto refusal = caller.read_message();
  CHECK(refusal.op == Op::end);
  CHECK(refusal.code == cause::error);
  CHECK(converter.no_input_within(50));
  CHECK(platform.converter_connections[1].no_input_within(0));
}

TEST_CASE("a caller that does not read is disconnected, and others are served") {
  PlatformFixture platform;
  auto slow_caller = Socket::connect(platform.caller_address);
  Message test;
  test.op = Op::test;
  test.call_id = std::string(12000, 't');
  const auto line = serialize_message(test);
  ::fcntl(slow_caller.descriptor(), F_SETFL, O_NONBLOCK);
  // Its answers queue up in the program, which must end this connection for the loop to end in time.
  const double deadline_ms = now_ms() + wait_timeout_ms;
  std::size_t sent = 0;
  while (now_ms() < deadline_ms) {
    const auto result =
        ::send(slow_caller.descriptor(), line.data() + sent, line.size() - sent, MSG_NOSIGNAL);
    if (result < 0 && errno != EAGAIN) break;
    if (result > 0) sent = (sent + static_cast<std::size_t>(result)) % line.size();
  }
  CHECK(platform.program->wait_for_log("side=caller").find("reason=slow_reader") != std::string::npos);
  auto caller = Socket::connect(platform.caller_address);
  platform.establish_call(caller, call_b);
}

// Guards against ending every connection that carries a set-up because of the releases queued for it.
TEST_CASE("releases queued while no caller is connected reach the next caller, whose set-up is served") {
  PlatformFixture platform(true, 1024, 512, 64);
  constexpr int queued_releases = 900;
  auto& converter = platform.converter_connections[0];
  std::string ends;
  std::set<std::string> unreleased;
  for (int i = 0; i < queued_releases; ++i) {
    const auto call_id = "000000000000" + std::to_string(1000 + i);
    ends += serialize_message(PlatformFixture::make_message(Op::end, call_id, 16));
    unreleased.insert(call_id);
  }
  converter.write(ends);
  // The reply to an answer that nobody waits for shows that all before it has been processed.
  converter.send_message(PlatformFixture::make_message(Op::accept, call_b));
  CHECK(converter.read_message().call_id == call_b);

  auto caller = Socket::connect(platform.caller_address);
  caller.send_message(PlatformFixture::make_offer(call_a));
  CHECK(converter.read_message().call_id == call_a);
  converter.send_message(PlatformFixture::make_message(Op::accept, call_a));
  bool served = false;
  while (!served || !unreleased.empty()) {
    const auto message = caller.read_message();
    if (message.op == Op::accept) {
      served = message.call_id == call_a;
    } else {
      unreleased.erase(message.call_id);
    }
  }
  converter.send_message(PlatformFixture::make_message(Op::end, call_a, 16));
  CHECK(caller.read_message().call_id == call_a);
}

TEST_CASE("when the descriptors run out, the program accepts again once some are free") {
  PlatformFixture platform(false, 24);
  std::vector<Socket> idle_connections;
  for (int i = 0; i < 30; ++i) idle_connections.push_back(Socket::connect(platform.caller_address));
  platform.program->wait_for_log("event=accept_failed side=caller");
  idle_connections.clear();
  auto caller = Socket::connect(platform.caller_address);
  caller.send_message(PlatformFixture::make_message(Op::test, call_a, 0));
  CHECK(parse_message(caller.read_line()).op == Op::tested);
}

TEST_CASE("a silent converter gets one attempt at a time, and the caller its answer in time") {
  PlatformFixture platform;
  auto caller = Socket::connect(platform.caller_address);
  const double started_ms = now_ms();
  caller.send_message(PlatformFixture::make_offer(call_a, 1500));
  bool attempt_open = false;
  double attempt_ended_ms = 0;
  int attempts = 0;
  while (caller.no_input_within(0)) {
    if (!readable(platform.converter_connections[0].descriptor(), 5)) continue;
    const auto message = platform.converter_connections[0].read_message();
    CHECK(message.call_id == call_a);
    if (message.op == Op::offer) {
      ++attempts;
      CHECK_FALSE(attempt_open);
      if (attempt_ended_ms > 0)
        CHECK(now_ms() - attempt_ended_ms >= 345);  // release wait and socket slack, less this test's delay
    } else {
      attempt_ended_ms = now_ms();
    }
    attempt_open = message.op == Op::offer;
  }
  CHECK(now_ms() - started_ms < 1500);
  CHECK(caller.read_message().op == Op::end);
  CHECK(attempts >= 1);
}

// Guards against two attempts of one call in flight: the late refusal of the first one, which the call router
// had given up, was taken for the answer to the second one at the same converter, and a third one was sent.
TEST_CASE(
    "a call is not sent again to a converter that has not acknowledged the release of its last attempt") {
  PlatformFixture platform;
  auto& slow_converter = platform.converter_connections[0];
  auto& other_converter = platform.converter_connections[1];
  auto caller = Socket::connect(platform.caller_address);
  caller.send_message(PlatformFixture::make_offer(call_a, 3000));
  CHECK(slow_converter.read_message().op == Op::offer);
  CHECK(slow_converter.read_message().op == Op::end);
  // The next attempt goes through the other converter.
  const auto attempt = other_converter.read_message();
  CHECK(attempt.op == Op::offer);
  CHECK(attempt.call_id == call_a);
  slow_converter.send_message(PlatformFixture::make_message(Op::end, call_a, cause::no_circuit));
  CHECK(slow_converter.no_input_within(50));
  CHECK(other_converter.no_input_within(50));
  other_converter.send_message(PlatformFixture::make_message(Op::accept, call_a));
  CHECK(caller.read_message().op == Op::accept);
}

TEST_CASE("a call may be sent again to a converter that has acknowledged the release of its last attempt") {
  PlatformFixture platform;
  auto& converter = platform.converter_connections[0];
  auto caller = Socket::connect(platform.caller_address);
  caller.send_message(PlatformFixture::make_offer(call_a, 3000));
  CHECK(converter.read_message().op == Op::offer);
  CHECK(converter.read_message().op == Op::end);
  converter.send_message(PlatformFixture::make_message(Op::ended, call_a));
  CHECK(converter.read_message().op == Op::offer);
  converter.send_message(PlatformFixture::make_message(Op::accept, call_a));
  CHECK(caller.read_message().op == Op::accept);
}

TEST_CASE("a refused connection means that no attempt ran: the caller is refused, not failed") {
  PlatformFixture platform(false);
  platform.converter_listeners[0].close();
  auto caller = Socket::connect(platform.caller_address);
  caller.send_message(PlatformFixture::make_offer(call_a, 1000));
  CHECK(caller.read_message().code == cause::congestion);
}

TEST_CASE("an established call outlives its connections on both sides") {
  PlatformFixture platform;
  {
    auto caller = Socket::connect(platform.caller_address);
    platform.establish_call(caller, call_a);
  }
  platform.converter_connections[0].reset();
  auto new_connection = PlatformFixture::accept_as_converter(platform.converter_listeners[0]);
  new_connection.send_message(PlatformFixture::make_message(Op::end, call_a, 16));
  // The connection of a readiness test must not get the release: its peer expects only the result.
  auto test_connection = Socket::connect(platform.caller_address);
  test_connection.send_message(PlatformFixture::make_message(Op::test, call_b, 0));
  CHECK(parse_message(test_connection.read_line()).op == Op::tested);
  CHECK(test_connection.no_input_within(200));
  auto other_caller = Socket::connect(platform.caller_address);
  const auto end = other_caller.read_message();
  CHECK(end.call_id == call_a);
  CHECK(end.code == 16);
}

TEST_CASE("a silent connection is tested and replaced; the calls established on it remain") {
  PlatformFixture platform;
  auto second_connection = PlatformFixture::accept_as_converter(platform.converter_listeners[0]);
  auto caller = Socket::connect(platform.caller_address);
  caller.send_message(PlatformFixture::make_offer(call_a));
  while (platform.converter_connections[0].no_input_within(0) && second_connection.no_input_within(5)) {
  }
  auto& silent_connection = platform.converter_connections[0].no_input_within(0)
                                ? second_connection
                                : platform.converter_connections[0];
  auto& answering_connection = platform.converter_connections[0].no_input_within(0)
                                   ? platform.converter_connections[0]
                                   : second_connection;
  CHECK(silent_connection.read_message().call_id == call_a);
  silent_connection.send_message(PlatformFixture::make_message(Op::accept, call_a));
  CHECK(caller.read_message().op == Op::accept);
  // Both connections are tested, and only one answers.
  auto test = parse_message(answering_connection.read_line());
  CHECK(test.op == Op::test);
  test.op = Op::tested;
  test.code = 1;
  answering_connection.send_message(test);
  CHECK(platform.program->wait_for_log("side=converter").find("reason=silent") != std::string::npos);
  CHECK(silent_connection.read_until_closed());
  answering_connection.send_message(PlatformFixture::make_message(Op::end, call_a, 16));
  CHECK(caller.read_message().code == 16);
}

TEST_CASE("a connection without the group states that the other one delivers is replaced soon") {
  PlatformFixture platform;
  auto second_connection = PlatformFixture::accept_as_converter(platform.converter_listeners[0]);
  auto caller = Socket::connect(platform.caller_address);
  platform.establish_call(caller, call_a);
  Message state;
  state.op = Op::group;
  state.fields = {{"load", "x0:9;x1:10"}};
  const double started_ms = now_ms();
  do second_connection.send_message(state);
  while (platform.converter_connections[0].no_input_within(50) ||
         !platform.converter_connections[0].read_line().empty());
  CHECK(now_ms() - started_ms < 1500);
  caller.send_message(PlatformFixture::make_offer(call_b));
  CHECK(second_connection.read_message().call_id == call_b);
}

TEST_CASE("an older group state from the other connection does not replace the newer one") {
  PlatformFixture platform;
  auto caller = Socket::connect(platform.caller_address);
  platform.establish_call(caller, call_a);  // by now the state reported on the first connection is in use
  auto second_connection = PlatformFixture::accept_as_converter(platform.converter_listeners[0], 0);
  // Sent after the state on the same connection.
  second_connection.send_message(PlatformFixture::make_message(Op::end, call_b, 16));
  CHECK(caller.read_message().call_id == call_b);
  caller.send_message(PlatformFixture::make_offer("00000000000000e5"));
  CHECK(platform.converter_connections[0].read_message().call_id == "00000000000000e5");
}

TEST_CASE("a converter that stays unreachable has its calls ended") {
  PlatformFixture platform;
  auto caller = Socket::connect(platform.caller_address);
  platform.establish_call(caller, call_a);
  const double started_ms = now_ms();
  platform.converter_listeners[0].close();
  platform.converter_connections[0].reset();
  const auto end = caller.read_message();
  CHECK(end.code == cause::temporary_failure);
  CHECK(now_ms() - started_ms < 8000);
}

TEST_CASE("a converter that only fails its tests has its calls ended, even with open connections") {
  PlatformFixture platform;
  auto caller = Socket::connect(platform.caller_address);
  platform.establish_call(caller, call_a);
  const double started_ms = now_ms();
  auto test = parse_message(platform.converter_connections[0].read_line());
  REQUIRE(test.op == Op::test);
  test.op = Op::tested;
  test.code = 0;
  platform.converter_connections[0].send_message(test);
  CHECK(caller.read_message().code == cause::temporary_failure);
  CHECK(now_ms() - started_ms < 7000);
}

TEST_CASE("a release reaches its converter once that is reachable again") {
  PlatformFixture platform;
  auto caller = Socket::connect(platform.caller_address);
  platform.establish_call(caller, call_a);
  platform.converter_connections[0].reset();
  caller.send_message(PlatformFixture::make_message(Op::end, call_a, 16));
  // Whether it was sent before or after the reset was detected, a new connection must carry it.
  auto new_connection = PlatformFixture::accept_as_converter(platform.converter_listeners[0]);
  while (new_connection.no_input_within(0) && platform.converter_listeners[0].no_input_within(5)) {
  }
  if (new_connection.no_input_within(0))
    new_connection = PlatformFixture::accept_as_converter(platform.converter_listeners[0]);
  const auto end = new_connection.read_message();
  CHECK(end.op == Op::end);
  CHECK(end.call_id == call_a);
}

TEST_CASE("after a restart, only the ends of calls established before it are passed on") {
  PlatformFixture platform;
  auto caller = Socket::connect(platform.caller_address);
  // A late refusal, whose caller was answered long ago.
  platform.converter_connections[0].send_message(PlatformFixture::make_message(Op::end, call_b, 34));
  platform.converter_connections[0].send_message(PlatformFixture::make_message(Op::end, call_a, 16));
  const auto end = caller.read_message();
  CHECK(end.call_id == call_a);
  CHECK(end.code == 16);
  platform.converter_connections[0].send_message(PlatformFixture::make_message(Op::end, call_a, 16));
  CHECK(caller.no_input_within(100));  // released only once
  // A caller's release of a call unknown here is sent to the converters, one of which may have it.
  caller.send_message(PlatformFixture::make_message(Op::end, "00000000000000c3", 16));
  CHECK(platform.converter_connections[0].read_message().call_id == "00000000000000c3");
}

// Guards against losing both directions of a release: a converter that drained when the call router started
// got no connection from it, then or later.
TEST_CASE("after a restart, releases pass from and to a converter that drains, and no new set-ups") {
  PlatformFixture platform(false);
  platform.first_converter_status = "terminating";
  for (auto& listener : platform.converter_listeners) listener = Socket::bound(SOCK_STREAM);
  platform.start();
  auto draining_converter = PlatformFixture::accept_as_converter(platform.converter_listeners[0]);
  auto other_converter = PlatformFixture::accept_as_converter(platform.converter_listeners[1]);
  auto caller = Socket::connect(platform.caller_address);
  caller.send_message(PlatformFixture::make_offer(call_b, 3000, 2));
  CHECK(other_converter.read_message().call_id == call_b);
  other_converter.send_message(PlatformFixture::make_message(Op::accept, call_b));
  CHECK(caller.read_message().op == Op::accept);
  draining_converter.send_message(PlatformFixture::make_message(Op::end, call_a, 16));
  CHECK(caller.read_message().call_id == call_a);
  caller.send_message(PlatformFixture::make_message(Op::end, "00000000000000c3", 16));
  CHECK(draining_converter.read_message().call_id == "00000000000000c3");
  caller.send_message(PlatformFixture::make_offer("00000000000000d4", 1000));
  CHECK(caller.read_message().op == Op::end);
  CHECK(draining_converter.no_input_within(0));
}

TEST_CASE("a flood of releases for unknown calls is limited before it reaches the converters") {
  PlatformFixture platform;
  auto caller = Socket::connect(platform.caller_address),
       flooding_caller = Socket::connect(platform.caller_address);
  std::string releases;
  for (int i = 0; i < 2000; ++i) {
    releases += serialize_message(
        PlatformFixture::make_message(Op::end, "000000000000" + std::to_string(1000 + i), 16));
  }
  flooding_caller.write(releases);
  for (int i = 0; i < 2000; ++i) CHECK(parse_message(flooding_caller.read_line()).op == Op::ended);
  caller.send_message(PlatformFixture::make_offer(call_b));
  int forwarded = 0;
  while (platform.converter_connections[0].read_message().op == Op::end) ++forwarded;
  CHECK(forwarded >= 100);
  CHECK(forwarded < 1500);
  platform.converter_connections[0].send_message(PlatformFixture::make_message(Op::accept, call_b));
  CHECK(caller.read_message().op == Op::accept);
}

// ---- The event bus --------------------------------------------------------------------------------------

std::string frame(std::uint64_t number, int kind, std::uint32_t id = 0, int state = 0, Address at = {}) {
  std::string body;
  put_big_endian(body, number, 8);
  put_big_endian(body, static_cast<std::uint64_t>(kind), 1);
  if (kind != 0) {
    put_big_endian(body, id, 4);
    put_big_endian(body, at.host, 4);
    put_big_endian(body, at.port, 2);
    put_big_endian(body, static_cast<std::uint64_t>(state), 1);
    put_big_endian(body, 0, 2);   // zone, kind
    put_big_endian(body, id, 2);  // the exchange number, here equal to the id
    put_big_endian(body, 1000, 4);
    put_big_endian(body, 0, 8);
  }
  std::string out;
  put_big_endian(out, body.size(), 4);
  return out + body;
}

TEST_CASE(
    "a drain event stops new attempts; after a reset or silence the bus is read from the last event on") {
  PlatformFixture platform;
  auto bus_connection = platform.bus_listener.accept();
  CHECK(big_endian(bus_connection.read_bytes(8), 0, 8) == 3);
  const auto drain = frame(4, 2, 1, 1, platform.converter_listeners[0].address());
  bus_connection.write(drain.substr(0, 7));  // a frame may arrive in parts
  bus_connection.write(drain.substr(7));
  auto caller = Socket::connect(platform.caller_address);
  Message reply;
  // The event and the set-ups use separate connections: from some call on, no attempt may be sent there.
  for (int i = 0; i < 100; ++i) {
    caller.send_message(PlatformFixture::make_offer("00000000000001" + std::to_string(10 + i % 90), 300));
    reply = caller.read_message();
    if (platform.converter_connections[0].no_input_within(0)) break;
    while (!platform.converter_connections[0].no_input_within(0))
      (void)platform.converter_connections[0].read_message();
  }
  CHECK(platform.converter_connections[0].no_input_within(0));
  CHECK(reply.op == Op::end);
  bus_connection.reset();
  bus_connection = platform.bus_listener.accept();
  CHECK(big_endian(bus_connection.read_bytes(8), 0, 8) == 4);
  bus_connection.write(frame(5, 0));
  auto second_connection = platform.bus_listener.accept();  // the first connection was silent for too long
  CHECK(big_endian(second_connection.read_bytes(8), 0, 8) == 4);
  second_connection.write("\xff\xff\xff\xff");
  CHECK(second_connection.read_until_closed());
  auto third_connection = platform.bus_listener.accept();
  third_connection.read_bytes(8);
  third_connection.write(frame(6, 2, 1, 0, platform.converter_listeners[0].address()));
  // An old event, repeated.
  third_connection.write(frame(5, 2, 1, 2, platform.converter_listeners[0].address()));
  platform.establish_call(caller, call_a);
}

TEST_CASE("a converter listed as gone loses its calls and connections; its successor is a new one") {
  PlatformFixture platform;
  auto bus_connection = platform.bus_listener.accept();
  auto caller = Socket::connect(platform.caller_address);
  platform.establish_call(caller, call_a);
  bus_connection.write(frame(4, 2, 1, 2, platform.converter_listeners[0].address()));
  CHECK(caller.read_message().code == cause::temporary_failure);
  CHECK(platform.converter_connections[0].read_until_closed());
  // The second connection to the old converter.
  auto second_connection = platform.converter_listeners[0].accept();
  CHECK(second_connection.read_until_closed());
  bus_connection.write(frame(5, 2, 9, 0, platform.converter_listeners[0].address()));
  auto successor_connection = PlatformFixture::accept_as_converter(platform.converter_listeners[0]);
  caller.send_message(PlatformFixture::make_offer(call_b, 3000, 9));
  CHECK(successor_connection.read_message().call_id == call_b);
}

TEST_CASE("a converter that the event bus first lists as draining is connected to, and may end its calls") {
  PlatformFixture platform;
  auto bus_connection = platform.bus_listener.accept();
  auto caller = Socket::connect(platform.caller_address);
  platform.establish_call(caller, call_b);
  const auto listener = Socket::bound(SOCK_STREAM);
  bus_connection.write(frame(4, 2, 9, 1, listener.address()));
  auto draining_converter = PlatformFixture::accept_as_converter(listener);
  draining_converter.send_message(PlatformFixture::make_message(Op::end, call_a, 16));
  CHECK(caller.read_message().call_id == call_a);
}

// Guards against taking a new process for the one that had its address before: set-ups, group states and
// releases of the old converter went over connections to the new one.
TEST_CASE("a converter whose address another one has taken over is gone, even if the list does not say so") {
  PlatformFixture platform;
  auto bus_connection = platform.bus_listener.accept();
  auto caller = Socket::connect(platform.caller_address);
  platform.establish_call(caller, call_a);
  // The process dies, and the reconnected connections already lead to its successor.
  platform.converter_connections[0].reset();
  auto old_connection = platform.converter_listeners[0].accept();  // the second one to the old process
  old_connection.reset();
  auto reopened_connection = PlatformFixture::accept_as_converter(platform.converter_listeners[0]);
  bus_connection.write(frame(4, 2, 9, 0, platform.converter_listeners[0].address()));
  CHECK(reopened_connection.read_until_closed());
  CHECK(caller.read_message().code == cause::temporary_failure);  // the call of the old process
  std::vector<Socket> connections;
  for (int i = 0; i < 3 && readable(platform.converter_listeners[0].descriptor(), 500); ++i)
    connections.push_back(PlatformFixture::accept_as_converter(platform.converter_listeners[0]));
  caller.send_message(PlatformFixture::make_offer(call_b, 3000, 9));
  bool sent = false;
  for (const double end_ms = now_ms() + 3000; !sent && now_ms() < end_ms;) {
    for (auto& connection : connections) sent = sent || readable(connection.descriptor(), 10);
  }
  CHECK(sent);
  // A set-up for the old converter goes to no connection of its successor.
  caller.send_message(PlatformFixture::make_offer("00000000000000c3", 1000, 1));
  const auto refusal = caller.read_message();
  CHECK(refusal.call_id == "00000000000000c3");
}

// Guards against calls that are left at a new process: they were set up there before the list told of it,
// under the id of the converter that had its address before.
TEST_CASE("a call at a converter that took over an address is released there once the list tells of it") {
  PlatformFixture platform;
  auto bus_connection = platform.bus_listener.accept();
  platform.converter_connections[0].reset();
  platform.converter_listeners[0].accept().reset();
  platform.converter_connections[0] = PlatformFixture::accept_as_converter(platform.converter_listeners[0]);
  auto caller = Socket::connect(platform.caller_address);
  platform.establish_call(caller, call_a);
  bus_connection.write(frame(4, 2, 9, 0, platform.converter_listeners[0].address()));
  CHECK(caller.read_message().code == cause::temporary_failure);
  // The release comes on a connection to the successor: the reopened ones of its predecessor are closed.
  bool released = false;
  std::vector<Socket> connections;
  for (const double end_ms = now_ms() + wait_timeout_ms; !released && now_ms() < end_ms;) {
    if (readable(platform.converter_listeners[0].descriptor(), 10))
      connections.push_back(PlatformFixture::accept_as_converter(platform.converter_listeners[0]));
    for (auto& connection : connections) {
      if (connection.no_input_within(5)) continue;
      const auto line = connection.read_line();
      released = released || (!line.empty() && parse_message(line).op == Op::end &&
                              parse_message(line).call_id == call_a);
    }
  }
  CHECK(released);
}

// ---- Reload ---------------------------------------------------------------------------------------------

TEST_CASE("SIGHUP: the bus is read at its new address from the last event on, and no call is lost") {
  PlatformFixture platform;
  auto old_bus_connection = platform.bus_listener.accept();
  old_bus_connection.read_bytes(8);
  old_bus_connection.write(frame(7, 0) + frame(4, 2, 2, 0, platform.converter_listeners[1].address()));
  auto caller = Socket::connect(platform.caller_address);
  platform.establish_call(caller, call_a);
  caller.send_message(PlatformFixture::make_offer(call_b));
  CHECK(platform.converter_connections[0].read_message().call_id == call_b);
  platform.bus_listener = Socket::bound(SOCK_STREAM);
  platform.config->write(platform.config_text());
  platform.program->signal(SIGHUP);
  auto bus_connection = platform.bus_listener.accept();
  CHECK(big_endian(bus_connection.read_bytes(8), 0, 8) == 4);
  CHECK(old_bus_connection.read_until_closed());
  platform.converter_connections[0].send_message(PlatformFixture::make_message(Op::accept, call_b));
  CHECK(caller.read_message().call_id == call_b);
  // An invalid configuration changes nothing, and the log names the invalid key.
  platform.config->write(R"({"listen":"127.0.0.1:0","bus":"nowhere"})");
  platform.program->signal(SIGHUP);
  CHECK(platform.program->wait_for_log("event=configuration_kept").find("bus is not an address") !=
        std::string::npos);
  platform.config->write("{\"listen\":");
  platform.program->signal(SIGHUP);
  CHECK(platform.program->wait_for_log("event=configuration_kept").find("not JSON") != std::string::npos);
  bus_connection.write(frame(5, 2, 9, 0, platform.converter_listeners[1].address()));
  caller.send_message(PlatformFixture::make_offer("00000000000000c3", 3000, 9));
  // The second connection to converter 2, which must not get the call for number 9.
  CHECK(PlatformFixture::accept_as_converter(platform.converter_listeners[1]).no_input_within(0));
  platform.converter_connections[0].send_message(PlatformFixture::make_message(Op::end, call_a, 16));
  CHECK(caller.read_message().call_id == call_a);
}

// ---- Shutdown and start errors --------------------------------------------------------------------------

TEST_CASE("SIGTERM: requests are accepted for a short time, all are answered, and the exit status is 0") {
  PlatformFixture platform;
  auto caller = Socket::connect(platform.caller_address);
  platform.establish_call(caller, call_a);
  platform.program->signal(SIGTERM);
  platform.program->wait_for_log("draining");
  auto late_caller = Socket::connect(platform.caller_address);
  late_caller.send_message(PlatformFixture::make_offer(call_b));
  CHECK(platform.converter_connections[0].read_message().call_id == call_b);
  // Afterwards new requests are refused, while this one is open. The converter acknowledges the release of a
  // set-up that is given up meanwhile, and so gets the next one.
  const double refusing_from_ms = now_ms() + 900;
  while (now_ms() < refusing_from_ms) {
    if (platform.converter_connections[0].no_input_within(5)) continue;
    const auto message = parse_message(platform.converter_connections[0].read_line());
    if (message.op == Op::end)
      platform.converter_connections[0].send_message(
          PlatformFixture::make_message(Op::ended, message.call_id));
  }
  late_caller.send_message(PlatformFixture::make_offer("00000000000000d4"));
  CHECK(late_caller.read_message().code == cause::congestion);
  platform.converter_connections[0].send_message(PlatformFixture::make_message(Op::accept, call_b));
  CHECK(late_caller.read_message().op == Op::accept);
  CHECK(platform.program->wait_for_exit() == 0);
}

TEST_CASE("configuration errors are logged at start and end the program with status 1") {
  const TempFile bad(R"({"listen":"127.0.0.1:0","settings":{"classes":[]}})");
  Process program({"serve", "--config", bad.path()});
  program.wait_for_log("settings: setting ");
  CHECK(program.wait_for_exit() == 1);
  Process none({"serve"});
  CHECK(none.wait_for_exit() == 1);
}

}  // namespace
}  // namespace heathturn::test
