// Tests of calls that are sent to the same converter more than once: all attempts of a call bear its id, so a
// message about one attempt must not be taken for one about another.
#include "platform_fixture.hpp"

namespace heathturn::test {
namespace {

constexpr int min_retry_wait_ms = 345;  // release wait and socket slack, less this test's delay

/// Converter 1 with both of its connections. It counts the attempts of the call that it has and that have
/// neither ended nor been released.
struct RepeatedAttemptFixture : PlatformFixture {
  Socket second_connection = accept_as_converter(converter_listeners[0]);
  Socket caller = Socket::connect(caller_address);
  int attempts_out = 0, most_attempts_out = 0, offers = 0, releases = 0;
  double given_up_at_ms = 0;  ///< when the latest attempt was released or its connection ended

  [[nodiscard]] std::vector<Socket*> connections() { return {&converter_connections[0], &second_connection}; }
  /// The next message about the call, and the connection that it came on; null if none comes within that
  /// time.
  std::pair<Socket*, Message> next_message(int wait_ms = wait_timeout_ms) {
    const double deadline_ms = now_ms() + wait_ms;
    while (now_ms() < deadline_ms) {
      for (auto* connection : connections()) {
        if (connection->descriptor() < 0 || connection->no_input_within(1)) continue;
        auto message = parse_message(connection->read_line());
        if (message.op == Op::test) connection->send_message(make_message(Op::tested, message.call_id, 1));
        if (message.op != Op::offer && message.op != Op::end) continue;
        record(message);
        return {connection, message};
      }
    }
    return {nullptr, {}};
  }
  /// The next set-up of the call; acknowledges the releases before it.
  Socket& next_offer() {
    while (true) {
      auto [connection, message] = next_message();
      REQUIRE(connection != nullptr);
      if (message.op == Op::offer) return *connection;
      connection->send_message(make_message(Op::ended, message.call_id));
    }
  }
  /// Processes messages for that time.
  void run_for(int duration_ms) {
    const double deadline_ms = now_ms() + duration_ms;
    while (now_ms() < deadline_ms) {
      auto [connection, message] = next_message(static_cast<int>(deadline_ms - now_ms()) + 1);
      if (connection != nullptr && message.op == Op::end)
        connection->send_message(make_message(Op::ended, message.call_id));
    }
  }
  [[nodiscard]] Socket& other_than(const Socket& connection) {
    return &connection == &second_connection ? converter_connections[0] : second_connection;
  }
  /// The converter sets the call up, and its connection ends within the answer.
  void break_off_answer(Socket& connection) {
    connection.write(R"({"op":"accept","call":")" + call_a);
    connection.reset();
    attempts_out = 0;
    given_up_at_ms = now_ms();
  }
  /// A refusal that says that circuits are free again, so that the call is sent again at once.
  static Message refusal() {
    auto message = make_message(Op::end, call_a, cause::no_circuit);
    message.fields = {{"note", "all_trunks_busy"}, {"load", "x0:10;x1:10"}};
    return message;
  }
  void check_served_by(const Socket& connection) {
    connection.send_message(make_message(Op::accept, call_a));
    CHECK(caller.read_message().op == Op::accept);
  }

 private:
  void record(const Message& message) {
    CHECK(message.call_id == call_a);
    if (message.op == Op::end) {
      ++releases;
      attempts_out = 0;
      given_up_at_ms = now_ms();
      return;
    }
    if (given_up_at_ms > 0) CHECK(now_ms() - given_up_at_ms >= min_retry_wait_ms);
    ++offers;
    most_attempts_out = std::max(most_attempts_out, ++attempts_out);
  }
};

// Guards against issue 34: the end of a call whose answer had broken off was taken for the end of the next
// attempt at the same converter, and a third attempt was sent while the second one was out.
TEST_CASE("the end of a call whose answer broke off is not taken for the end of the next attempt") {
  RepeatedAttemptFixture fixture;
  fixture.caller.send_message(PlatformFixture::make_offer(call_a, 3000));
  fixture.break_off_answer(fixture.next_offer());
  const auto& connection = fixture.next_offer();
  connection.send_message(PlatformFixture::make_message(Op::end, call_a, cause::normal));
  fixture.run_for(200);
  CHECK(fixture.most_attempts_out == 1);
}

// Guards against leaving a call at a converter of which nobody knows.
TEST_CASE("a call whose answer broke off is released at its converter, and until then not sent there again") {
  RepeatedAttemptFixture fixture;
  fixture.caller.send_message(PlatformFixture::make_offer(call_a, 3000));
  auto& connection = fixture.next_offer();
  fixture.break_off_answer(connection);
  const auto release = fixture.next_message();
  REQUIRE(release.first == &fixture.other_than(connection));
  CHECK(release.second.op == Op::end);
  // The release is not acknowledged: the call goes through the other converter.
  const auto attempt = fixture.converter_connections[1].read_message();
  CHECK(attempt.op == Op::offer);
  CHECK(attempt.call_id == call_a);
  CHECK(fixture.offers == 1);
  fixture.converter_connections[1].send_message(PlatformFixture::make_message(Op::accept, call_a));
  CHECK(fixture.caller.read_message().op == Op::accept);
}

// Guards against taking the second copy of a refusal for the answer to the next attempt.
TEST_CASE("a second copy of a refusal does not end the next attempt at the same converter") {
  RepeatedAttemptFixture fixture;
  fixture.caller.send_message(PlatformFixture::make_offer(call_a, 3000));
  auto& connection = fixture.next_offer();
  fixture.attempts_out = 0;
  connection.send_message(RepeatedAttemptFixture::refusal());
  std::this_thread::sleep_for(std::chrono::milliseconds(15));
  connection.send_message(RepeatedAttemptFixture::refusal());
  const auto& next = fixture.next_offer();
  fixture.run_for(200);
  CHECK(fixture.most_attempts_out == 1);
  CHECK(fixture.offers == 2);
  fixture.check_served_by(next);
}

// Guards against taking what a converter says of an earlier attempt for the answer to the next one.
TEST_CASE("an end on another connection than that of the set-up does not end the attempt") {
  RepeatedAttemptFixture fixture;
  fixture.caller.send_message(PlatformFixture::make_offer(call_a, 3000));
  const auto& connection = fixture.next_offer();
  for (const int code : {cause::normal, cause::no_circuit, cause::temporary_failure})
    fixture.other_than(connection).send_message(PlatformFixture::make_message(Op::end, call_a, code));
  fixture.run_for(200);
  CHECK(fixture.offers == 1);
  CHECK(fixture.releases == 0);
  fixture.check_served_by(connection);
}

// Guards against a call that is over for its caller and goes on at its converter.
TEST_CASE("the end of a call that was sent to its converter twice releases it there as well") {
  RepeatedAttemptFixture fixture;
  fixture.caller.send_message(PlatformFixture::make_offer(call_a, 3000));
  fixture.next_offer().send_message(RepeatedAttemptFixture::refusal());
  fixture.attempts_out = 0;
  const auto& connection = fixture.next_offer();
  fixture.check_served_by(connection);
  fixture.other_than(connection).send_message(PlatformFixture::make_message(Op::end, call_a, cause::normal));
  CHECK(fixture.caller.read_message().op == Op::end);
  fixture.run_for(100);
  CHECK(fixture.releases == 1);
}

}  // namespace
}  // namespace heathturn::test
