// The real program on the platform's wire: the tests are its callers, its converters and its event bus.
#include "net/framing.hpp"
#include "stand_in.hpp"

namespace heathturn::test {
namespace {

const std::string call_a = "9b1f03aa5c7e2d41", call_b = "00000000000000b2";

/// One call router (exchange 0) and the converters 1 and 2, of which the tests play both.
struct Platform {
  Socket bus = Socket::bound(SOCK_STREAM);
  std::vector<Socket> converters;
  std::unique_ptr<TempFile> config;
  std::unique_ptr<Process> program;
  Address callers;
  std::vector<Socket> lines;  ///< the first connection held to each converter

  int sockets = 1024, memory_mb = 2048;  ///< as the configuration tells

  explicit Platform(bool connect = true, rlim_t descriptors = 1024, int told_sockets = 1024,
                    int told_memory_mb = 2048)
      : sockets(told_sockets), memory_mb(told_memory_mb) {
    for (int i = 0; i < 2; ++i) converters.push_back(Socket::bound(SOCK_STREAM));
    start(descriptors);
    if (!connect) return;
    for (auto& converter : converters) lines.push_back(held(converter));
  }
  void start(rlim_t descriptors = 1024) {
    config = std::make_unique<TempFile>(text());
    program =
        std::make_unique<Process>(std::vector<std::string>{"serve", "--config", config->path()}, descriptors);
    callers = program->listening("caller");
  }
  /// The configuration, with the bus where it is now.
  [[nodiscard]] std::string text() const {
    std::string endpoints;
    for (std::size_t i = 0; i < converters.size(); ++i) {
      endpoints += std::string(i > 0 ? "," : "") + R"({"name":"s-0000000)" + std::to_string(i + 1) +
                   R"(","address":")" + converters[i].address().text() +
                   R"(","zone":"z","type":"t","group":)" + std::to_string(i + 1) +
                   R"(,"status":"in_service","weight":1,"since_ms":0})";
    }
    return R"({"name":"n0","listen":"127.0.0.1:0","seed":"1","limits":{"sockets":)" +
           std::to_string(sockets) + R"(,"memory_mb":)" + std::to_string(memory_mb) + R"(},"bus":")" +
           bus.address().text() +
           R"(","known":{"offset":3,"batch":[{"offset":3,"topology":{"snapshot":true,"endpoints":[)" +
           endpoints +
           R"(]}}]},"settings":{"balancers":3,"step_us":5000,"areas":["z"],
        "tenants":[{"name":"acme"}],
        "classes":[{"name":"voice","importance":1,"objective_us":1200000,"give_up_us":9000000}],
        "specifics":{"network_form":"meshed","home_no":0,"guard_us":300000,"resend_us":400000},
        "invariants":{"start_capacity":0.3,"cold_us":1000,"fall_multiple":4,"overload_for_us":3000000},
        "limits":{"try_limit":6,"max_retry_after_us":2000000,"retry_after":true,"cancelling":true,
        "connect_timeout_us":500000},"stats":{"columns":["spare","total","cut_by","recent_ms"]}}})";
  }
  /// Takes one connection of the program's and tells the state of the group on it.
  static Socket held(const Socket& converter, int free = 10) {
    auto line = converter.accept();
    Message state;
    state.op = Op::group;
    state.fields = {{"load", "x0:" + std::to_string(free) + ";x1:10"}};
    line.say(state);
    return line;
  }
  static Message offer(const std::string& call, int left = 3000, int to = 1) {
    Message out;
    out.op = Op::offer;
    out.call_id = call;
    out.fields = {{"class", "voice"},
                  {"left", std::to_string(left)},
                  {"key", "7f3a9c21e0b4d655"},
                  {"extras", "dest:" + std::to_string(to) + ";width:1;via:-1"}};
    out.description = "d\r\nof " + call;
    return out;
  }
  static Message word(Op op, const std::string& call, int why = -1) {
    Message out;
    out.op = op;
    out.call_id = call;
    if (why >= 0) out.code = why;
    if (op == Op::accept) out.description = "answer\r\nto " + call;
    return out;
  }
  /// A call that stands, from `caller` to converter 1.
  void stand(Socket& caller, const std::string& call) {
    caller.say(offer(call));
    CHECK(lines[0].message().call_id == call);
    lines[0].say(word(Op::accept, call));
    CHECK(caller.message().op == Op::accept);
  }
};

TEST_CASE("a call is passed on, stands and ends, all unchanged") {
  Platform p;
  auto caller = Socket::connect(p.callers);
  const auto offer = Platform::offer(call_a);
  const auto bytes = serialize_message(offer);
  caller.write(bytes.substr(0, 20));  // a line may come in parts
  CHECK(p.lines[0].quiet(50));
  caller.write(bytes.substr(20));
  const auto sent = p.lines[0].message();
  CHECK(sent.op == Op::offer);
  CHECK(sent.call_id == call_a);
  CHECK(*sent.field("class") == "voice");
  CHECK(*sent.field("key") == *offer.field("key"));
  CHECK(sent.number("left", 0) > 300);
  CHECK(sent.number("left", 0) < 3000);
  CHECK(sent.description == offer.description);
  p.lines[0].say(Platform::word(Op::ringing, call_a));
  p.lines[0].say(Platform::word(Op::accept, call_a));
  const auto answer = caller.message();
  CHECK(answer.op == Op::accept);
  CHECK(answer.description == "answer\r\nto " + call_a);
  p.lines[0].say(Platform::word(Op::end, call_a, 16));
  const auto end = caller.message();
  CHECK(end.op == Op::end);
  CHECK(end.code == 16);
  CHECK(caller.quiet(100));
}

TEST_CASE("a busy number ends the call; a full group and processor refuse it with a time to stay away") {
  Platform p;
  auto caller = Socket::connect(p.callers);
  caller.say(Platform::offer(call_a, 800));
  CHECK(p.lines[0].message().call_id == call_a);
  auto no = Platform::word(Op::end, call_a, 34);
  no.fields = {{"note", "cpu_full"}, {"waited", "5000"}};
  p.lines[0].say(no);
  const auto end = caller.message();
  CHECK(end.code == cause::congestion);
  CHECK(end.number("wait", 0) == 2000);
  CHECK(p.lines[0].quiet(20));
}

TEST_CASE("an unreadable line ends its connection with a reason and nothing else") {
  Platform p;
  const std::pair<std::string, std::string> cases[] = {
      {"{nonsense}\n", "malformed"},
      {"{\"op\":\"dance\",\"call\":\"" + call_a + "\"}\n", "unknown_op"},
      {std::string(17000, 'x'), "over_long"},
      {serialize_message(Platform::word(Op::accept, call_a)), "unknown_op"},
  };
  for (const auto& [text, why] : cases) {
    auto caller = Socket::connect(p.callers);
    caller.write(text);
    CHECK(caller.closed());
    CHECK(p.program->log("side=caller").find("reason=" + why + " ") != std::string::npos);
  }
  p.lines[1].write(std::string(17000, 'x'));
  CHECK(p.lines[1].closed());
  CHECK(p.program->log("side=converter").find("reason=over_long") != std::string::npos);
  auto caller = Socket::connect(p.callers);
  p.stand(caller, call_b);
}

TEST_CASE("a set-up that no converter could use is refused at once and goes nowhere") {
  Platform p;
  auto caller = Socket::connect(p.callers);
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
    auto offer = Platform::offer("00000000000000" + std::to_string(10 + number++));
    std::erase_if(offer.fields, [&name = name](const auto& each) { return each.first == name; });
    offer.fields.emplace_back(name, value);
    caller.say(offer);
    const auto reply = caller.message();
    CHECK(reply.call_id == offer.call_id);
    CHECK(reply.code == cause::error);
  }
  CHECK(p.lines[0].quiet(20));
  p.stand(caller, call_a);
  // Who goes on so is not listened to for ever.
  auto junk = Platform::offer(call_b);
  junk.fields[0].second = "voice_x";
  do caller.try_say(junk);
  while (!caller.line().empty());
  CHECK(p.program->log("side=caller").find("reason=malformed") != std::string::npos);
}

TEST_CASE("an open call's id in another's mouth neither draws its answer nor ends it") {
  Platform p;
  auto caller = Socket::connect(p.callers), thief = Socket::connect(p.callers);
  caller.say(Platform::offer(call_a));
  CHECK(p.lines[0].message().call_id == call_a);
  auto other = Platform::offer(call_a);
  other.description = "another description";
  thief.say(other);
  CHECK(thief.message().code == cause::error);
  thief.say(Platform::word(Op::end, call_a, 16));
  CHECK(parse_message(thief.line()).op == Op::ended);
  p.lines[0].say(Platform::word(Op::accept, call_a));
  CHECK(caller.message().op == Op::accept);
  CHECK(thief.quiet(50));
  // The same on one connection: it cannot be told which of the two an answer is for.
  caller.say(Platform::offer(call_b));
  caller.say(Platform::offer(call_b));
  CHECK(caller.closed());
}

TEST_CASE("more requests than the memory is shared out for are refused at once, with a time to come back") {
  Platform p(true, 1024, 1024, 8);  // room for 128
  auto caller = Socket::connect(p.callers);
  for (int i = 0; i < 129; ++i) caller.say(Platform::offer("000000000000" + std::to_string(1000 + i)));
  const auto refusal = caller.message();
  CHECK(refusal.call_id == "0000000000001128");
  CHECK(refusal.code == cause::congestion);
  CHECK(refusal.number("wait", 0) == 1000);
}

TEST_CASE("who connects and stays makes room for others, but not while a request is open") {
  Platform p(true, 1024, 16);  // 8 of them for callers
  auto busy = Socket::connect(p.callers);
  busy.say(Platform::offer(call_a, 3000, 2));
  CHECK(p.lines[1].message().call_id == call_a);
  auto usual = Socket::connect(p.callers);
  p.stand(usual, call_b);
  std::vector<Socket> crowd;
  for (int i = 0; i < 30; ++i) crowd.push_back(Socket::connect(p.callers));
  auto late = Socket::connect(p.callers);
  p.stand(late, "00000000000000c3");
  p.lines[1].say(Platform::word(Op::accept, call_a));
  CHECK(busy.message().op == Op::accept);
  p.lines[0].say(Platform::word(Op::end, call_b, 16));
  CHECK(usual.message().call_id == call_b);  // who has been served goes after who said nothing
  // And who never says anything is let go of, full or not.
  const double from = now_ms();
  CHECK(crowd.back().closed());
  CHECK(now_ms() - from < 3000);
}

TEST_CASE("a release that its caller does not confirm, though callers do, goes to another connection") {
  Platform p;
  auto deaf = Socket::connect(p.callers), good = Socket::connect(p.callers);
  p.stand(good, call_b);
  p.stand(deaf, call_a);
  p.lines[0].say(Platform::word(Op::end, call_b, 16));
  CHECK(good.message().call_id == call_b);
  good.say(Platform::word(Op::ended, call_b));
  p.lines[0].say(Platform::word(Op::end, call_a, 16));
  CHECK(deaf.message().call_id == call_a);
  CHECK(good.message().call_id == call_a);
  good.say(Platform::word(Op::ended, call_a));
  CHECK(deaf.quiet(400));
}

TEST_CASE("a peer that resets, or leaves before its answer, ends nothing but its own calls") {
  Platform p;
  {
    auto gone = Socket::connect(p.callers);
    gone.say(Platform::offer(call_a));
    CHECK(p.lines[0].message().call_id == call_a);
    gone.reset();
  }
  const auto cancel = p.lines[0].message();  // nobody waits for it any more
  CHECK(cancel.op == Op::end);
  CHECK(cancel.call_id == call_a);
  p.lines[0].say(Platform::word(Op::accept, call_a));  // crossed it
  CHECK(p.lines[0].message().op == Op::end);
  auto caller = Socket::connect(p.callers);
  p.stand(caller, call_b);
}

TEST_CASE("a caller that does not read is cut off, and others are served") {
  Platform p;
  auto slow = Socket::connect(p.callers);
  Message test;
  test.op = Op::test;
  test.call_id = std::string(12000, 't');
  const auto line = serialize_message(test);
  ::fcntl(slow.descriptor(), F_SETFL, O_NONBLOCK);
  // Its answers pile up at the program, which must end this connection: else the loop would not end in time.
  const double until = now_ms() + patience_ms;
  std::size_t sent = 0;
  while (now_ms() < until) {
    const auto got = ::send(slow.descriptor(), line.data() + sent, line.size() - sent, MSG_NOSIGNAL);
    if (got < 0 && errno != EAGAIN) break;
    if (got > 0) sent = (sent + static_cast<std::size_t>(got)) % line.size();
  }
  CHECK(p.program->log("side=caller").find("reason=slow_reader") != std::string::npos);
  auto caller = Socket::connect(p.callers);
  p.stand(caller, call_b);
}

TEST_CASE("when the descriptors run out the program waits for some to come free") {
  Platform p(false, 24);
  std::vector<Socket> crowd;
  for (int i = 0; i < 30; ++i) crowd.push_back(Socket::connect(p.callers));
  p.program->log("event=accept_failed side=caller");
  crowd.clear();
  auto caller = Socket::connect(p.callers);
  caller.say(Platform::word(Op::test, call_a, 0));
  CHECK(parse_message(caller.line()).op == Op::tested);
}

TEST_CASE("a silent converter costs one attempt at a time, and the caller has its answer in time") {
  Platform p;
  auto caller = Socket::connect(p.callers);
  const double from = now_ms();
  caller.say(Platform::offer(call_a, 1500));
  bool out = false;
  double ended = 0;
  int attempts = 0;
  while (caller.quiet(0)) {
    if (!readable(p.lines[0].descriptor(), 5)) continue;
    const auto said = p.lines[0].message();
    CHECK(said.call_id == call_a);
    if (said.op == Op::offer) {
      ++attempts;
      CHECK_FALSE(out);
      if (ended > 0)
        CHECK(now_ms() - ended >= 345);  // the guard and the slack, less this test's own lateness
    } else {
      ended = now_ms();
    }
    out = said.op == Op::offer;
  }
  CHECK(now_ms() - from < 1500);
  CHECK(caller.message().op == Op::end);
  CHECK(attempts >= 1);
}

TEST_CASE("a refused connection proves that nothing ran; the caller is refused, not failed") {
  Platform p(false);
  p.converters[0].close();
  auto caller = Socket::connect(p.callers);
  caller.say(Platform::offer(call_a, 1000));
  CHECK(caller.message().code == cause::congestion);
}

TEST_CASE("a call that stands outlives its connections on both sides") {
  Platform p;
  {
    auto caller = Socket::connect(p.callers);
    p.stand(caller, call_a);
  }
  p.lines[0].reset();
  auto next = Platform::held(p.converters[0]);
  next.say(Platform::word(Op::end, call_a, 16));
  // The connection of a test is not one to tell it on: its other end looks for nothing but the test.
  auto test = Socket::connect(p.callers);
  test.say(Platform::word(Op::test, call_b, 0));
  CHECK(parse_message(test.line()).op == Op::tested);
  CHECK(test.quiet(200));
  auto other = Socket::connect(p.callers);
  const auto end = other.message();
  CHECK(end.call_id == call_a);
  CHECK(end.code == 16);
}

TEST_CASE("a connection that has gone silent is tested and replaced; the calls on it still stand") {
  Platform p;
  auto other = Platform::held(p.converters[0]);
  auto caller = Socket::connect(p.callers);
  caller.say(Platform::offer(call_a));
  while (p.lines[0].quiet(0) && other.quiet(5)) {
  }
  auto& carries = p.lines[0].quiet(0) ? other : p.lines[0];
  auto& idle = p.lines[0].quiet(0) ? p.lines[0] : other;
  CHECK(carries.message().call_id == call_a);
  carries.say(Platform::word(Op::accept, call_a));
  CHECK(caller.message().op == Op::accept);
  // Both are tested in time, and only one answers.
  auto test = parse_message(idle.line());
  CHECK(test.op == Op::test);
  test.op = Op::tested;
  test.code = 1;
  idle.say(test);
  CHECK(p.program->log("side=converter").find("reason=silent") != std::string::npos);
  CHECK(carries.closed());
  idle.say(Platform::word(Op::end, call_a, 16));
  CHECK(caller.message().code == 16);
}

TEST_CASE("a connection that lacks the group's state the other one brings is replaced within a second") {
  Platform p;
  auto other = Platform::held(p.converters[0]);
  auto caller = Socket::connect(p.callers);
  p.stand(caller, call_a);
  Message state;
  state.op = Op::group;
  state.fields = {{"load", "x0:9;x1:10"}};
  const double from = now_ms();
  do other.say(state);
  while (p.lines[0].quiet(50) || !p.lines[0].line().empty());
  CHECK(now_ms() - from < 1500);
  caller.say(Platform::offer(call_b));
  CHECK(other.message().call_id == call_b);
}

TEST_CASE("the other connection's older word on the group does not replace the newer one") {
  Platform p;
  auto caller = Socket::connect(p.callers);
  p.stand(caller, call_a);  // by then the state told on the first connection is in force
  auto other = Platform::held(p.converters[0], 0);
  other.say(Platform::word(Op::end, call_b, 16));  // behind it on the same connection
  CHECK(caller.message().call_id == call_b);
  caller.say(Platform::offer("00000000000000e5"));
  CHECK(p.lines[0].message().call_id == "00000000000000e5");
}

TEST_CASE("a converter that is gone for good leaves no call standing") {
  Platform p;
  auto caller = Socket::connect(p.callers);
  p.stand(caller, call_a);
  const double from = now_ms();
  p.converters[0].close();
  p.lines[0].reset();
  const auto end = caller.message();
  CHECK(end.code == cause::temporary_failure);
  CHECK(now_ms() - from < 8000);
}

TEST_CASE(
    "a converter that only fails its tests has stopped: its calls are over, its connections open or not") {
  Platform p;
  auto caller = Socket::connect(p.callers);
  p.stand(caller, call_a);
  const double from = now_ms();
  auto test = parse_message(p.lines[0].line());
  REQUIRE(test.op == Op::test);
  test.op = Op::tested;
  test.code = 0;
  p.lines[0].say(test);
  CHECK(caller.message().code == cause::temporary_failure);
  CHECK(now_ms() - from < 7000);
}

TEST_CASE("a release finds its converter once it can be reached again") {
  Platform p;
  auto caller = Socket::connect(p.callers);
  p.stand(caller, call_a);
  p.lines[0].reset();
  caller.say(Platform::word(Op::end, call_a, 16));
  // Whether it went before the connection was missed or after: what comes next carries it.
  auto next = Platform::held(p.converters[0]);
  while (next.quiet(0) && p.converters[0].quiet(5)) {
  }
  if (next.quiet(0)) next = Platform::held(p.converters[0]);
  const auto end = next.message();
  CHECK(end.op == Op::end);
  CHECK(end.call_id == call_a);
}

TEST_CASE("a restart passes on what ends the calls that stood before it, and only that") {
  Platform p;
  auto caller = Socket::connect(p.callers);
  p.lines[0].say(Platform::word(Op::end, call_b, 34));  // a late refusal: its caller was answered long ago
  p.lines[0].say(Platform::word(Op::end, call_a, 16));
  const auto end = caller.message();
  CHECK(end.call_id == call_a);
  CHECK(end.code == 16);
  p.lines[0].say(Platform::word(Op::end, call_a, 16));
  CHECK(caller.quiet(100));  // told once
  // A caller's own release of a call unknown here is taken to where it may stand.
  caller.say(Platform::word(Op::end, "00000000000000c3", 16));
  CHECK(p.lines[0].message().call_id == "00000000000000c3");
}

TEST_CASE("a flood of releases for calls that nobody has does not reach the converters") {
  Platform p;
  auto caller = Socket::connect(p.callers), flood = Socket::connect(p.callers);
  std::string ends;
  for (int i = 0; i < 2000; ++i) {
    ends += serialize_message(Platform::word(Op::end, "000000000000" + std::to_string(1000 + i), 16));
  }
  flood.write(ends);
  for (int i = 0; i < 2000; ++i) CHECK(parse_message(flood.line()).op == Op::ended);
  caller.say(Platform::offer(call_b));
  int passed = 0;
  while (p.lines[0].message().op == Op::end) ++passed;
  CHECK(passed >= 100);
  CHECK(passed < 1500);
  p.lines[0].say(Platform::word(Op::accept, call_b));
  CHECK(caller.message().op == Op::accept);
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
    put_big_endian(body, id, 2);  // the number is the id's here
    put_big_endian(body, 1000, 4);
    put_big_endian(body, 0, 8);
  }
  std::string out;
  put_big_endian(out, body.size(), 4);
  return out + body;
}

TEST_CASE(
    "a drain on the bus stops new work; the bus is read on from the last event after a cut or silence") {
  Platform p;
  auto feed = p.bus.accept();
  CHECK(big_endian(feed.take(8), 0, 8) == 3);
  const auto drain = frame(4, 2, 1, 1, p.converters[0].address());
  feed.write(drain.substr(0, 7));  // a frame may come in parts
  feed.write(drain.substr(7));
  auto caller = Socket::connect(p.callers);
  Message reply;
  // The event and the set-up travel apart: from some call on none may go there.
  for (int i = 0; i < 100; ++i) {
    caller.say(Platform::offer("00000000000001" + std::to_string(10 + i % 90), 300));
    reply = caller.message();
    if (p.lines[0].quiet(0)) break;
    while (!p.lines[0].quiet(0)) (void)p.lines[0].message();
  }
  CHECK(p.lines[0].quiet(0));
  CHECK(reply.op == Op::end);
  feed.reset();
  feed = p.bus.accept();
  CHECK(big_endian(feed.take(8), 0, 8) == 4);
  feed.write(frame(5, 0));
  auto again = p.bus.accept();  // the first one has fallen silent
  CHECK(big_endian(again.take(8), 0, 8) == 4);
  again.write("\xff\xff\xff\xff");
  CHECK(again.closed());
  auto last = p.bus.accept();
  last.take(8);
  last.write(frame(6, 2, 1, 0, p.converters[0].address()));
  last.write(frame(5, 2, 1, 2, p.converters[0].address()));  // an old word that comes again
  p.stand(caller, call_a);
}

TEST_CASE("a converter that the list has as gone keeps no calls and no connections; its successor is new") {
  Platform p;
  auto feed = p.bus.accept();
  auto caller = Socket::connect(p.callers);
  p.stand(caller, call_a);
  feed.write(frame(4, 2, 1, 2, p.converters[0].address()));
  CHECK(caller.message().code == cause::temporary_failure);
  CHECK(p.lines[0].closed());
  auto second = p.converters[0].accept();  // the other connection that was held to the old one
  CHECK(second.closed());
  feed.write(frame(5, 2, 9, 0, p.converters[0].address()));
  auto line = Platform::held(p.converters[0]);
  caller.say(Platform::offer(call_b, 3000, 9));
  CHECK(line.message().call_id == call_b);
}

// ---- New configurations ---------------------------------------------------------------------------------

TEST_CASE("SIGHUP: the bus is asked at its new address from the last number on, and no call is lost") {
  Platform p;
  auto old_feed = p.bus.accept();
  old_feed.take(8);
  old_feed.write(frame(7, 0) + frame(4, 2, 2, 0, p.converters[1].address()));
  auto caller = Socket::connect(p.callers);
  p.stand(caller, call_a);
  caller.say(Platform::offer(call_b));
  CHECK(p.lines[0].message().call_id == call_b);
  p.bus = Socket::bound(SOCK_STREAM);
  p.config->write(p.text());
  p.program->signal(SIGHUP);
  auto feed = p.bus.accept();
  CHECK(big_endian(feed.take(8), 0, 8) == 4);
  CHECK(old_feed.closed());
  p.lines[0].say(Platform::word(Op::accept, call_b));
  CHECK(caller.message().call_id == call_b);
  // What cannot be read changes nothing, and the log names the key at fault.
  p.config->write(R"({"listen":"127.0.0.1:0","bus":"nowhere"})");
  p.program->signal(SIGHUP);
  CHECK(p.program->log("event=configuration_kept").find("bus is not an address") != std::string::npos);
  p.config->write("{\"listen\":");
  p.program->signal(SIGHUP);
  CHECK(p.program->log("event=configuration_kept").find("not JSON") != std::string::npos);
  feed.write(frame(5, 2, 9, 0, p.converters[1].address()));
  caller.say(Platform::offer("00000000000000c3", 3000, 9));
  CHECK(Platform::held(p.converters[1]).quiet(0));  // the one to number 2
  p.lines[0].say(Platform::word(Op::end, call_a, 16));
  CHECK(caller.message().call_id == call_a);
}

// ---- The end --------------------------------------------------------------------------------------------

TEST_CASE("SIGTERM: work is taken a little longer, all is answered, and the exit is clean") {
  Platform p;
  auto caller = Socket::connect(p.callers);
  p.stand(caller, call_a);
  p.program->signal(SIGTERM);
  p.program->log("draining");
  auto late = Socket::connect(p.callers);
  late.say(Platform::offer(call_b));
  CHECK(p.lines[0].message().call_id == call_b);
  std::this_thread::sleep_for(std::chrono::milliseconds(900));  // the door has closed; the call is still open
  late.say(Platform::offer("00000000000000d4"));
  CHECK(late.message().code == cause::congestion);
  p.lines[0].say(Platform::word(Op::accept, call_b));
  CHECK(late.message().op == Op::accept);
  CHECK(p.program->wait() == 0);
}

TEST_CASE("configuration errors are told on start and end with status 1") {
  const TempFile bad(R"({"listen":"127.0.0.1:0","settings":{"classes":[]}})");
  Process program({"serve", "--config", bad.path()});
  program.log("settings: setting ");
  CHECK(program.wait() == 1);
  Process none({"serve"});
  CHECK(none.wait() == 1);
}

}  // namespace
}  // namespace heathturn::test
