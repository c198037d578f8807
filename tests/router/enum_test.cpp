// The real program as an ENUM server: the tests are its resolvers, and the name servers it asks.
#include "enum_fixture.hpp"

namespace heathturn::test {
namespace {

TEST_CASE("a number is looked up where its longest prefix leads, and answered") {
  const EnumFixture e;
  e.send_query(EnumFixture::query("3.2.1.4.6.ENUM.example.org"));
  const auto first = e.receive_query(0);
  CHECK(first.message.question->type == dns::type::naptr);
  e.send_reply(0, first, EnumFixture::reply(first.message, "sip:a@example.org"));
  const auto answer = e.receive_answer();
  CHECK(answer.id == 77);
  CHECK(answer.rcode == dns::rcode::no_error);
  CHECK(answer_contains(answer, "sip:a@example.org"));
  CHECK(answer.question->name == *dns::name_from_text("3.2.1.4.6.ENUM.example.org"));
  e.send_query(EnumFixture::query(EnumFixture::enum_name("3.2.1.9")));
  const auto second = e.receive_query(1);
  auto none = EnumFixture::reply(second.message, "", 0);
  none.rcode = dns::rcode::nx_domain;
  e.send_reply(1, second, none);
  CHECK(e.receive_answer().rcode == dns::rcode::nx_domain);
  CHECK(first.message.id != second.message.id);
  CHECK(first.from != second.from);
}

TEST_CASE("what is no look-up is answered at once by its fault") {
  const EnumFixture e;
  auto other = EnumFixture::query("3.2.1.enum.example.com");
  CHECK(e.resolve(other).rcode == dns::rcode::refused);
  CHECK(e.resolve(EnumFixture::query(EnumFixture::enum_name("a.4"))).rcode == dns::rcode::refused);
  auto type = EnumFixture::query(EnumFixture::enum_name("1.4"));
  type.question->type = 1;
  CHECK(e.resolve(type).rcode == dns::rcode::refused);
  auto notify = EnumFixture::query(EnumFixture::enum_name("1.4"));
  notify.opcode = 4;
  const auto not_imp = e.resolve(notify);
  CHECK(not_imp.rcode == dns::rcode::not_imp);
  CHECK(not_imp.opcode == 4);
  auto version = EnumFixture::query(EnumFixture::enum_name("1.4"));
  version.edns = dns::Edns{1232, 1, 0, false};
  CHECK(e.resolve(version).rcode == dns::rcode::bad_vers);
  const auto whole = dns::serialize_message(EnumFixture::query(EnumFixture::enum_name("1.4")));
  e.resolver.send_to(e.server_address, whole.substr(0, whole.size() - 3));
  CHECK(e.receive_answer().rcode == dns::rcode::form_err);
  e.resolver.send_to(e.server_address, whole.substr(0, 12) + "\xc0\x0c" + whole.substr(whole.size() - 4));
  CHECK(e.receive_answer().rcode == dns::rcode::form_err);  // a name that points at itself
  // No answer to an answer, nor to a scrap; the query after them is served.
  e.resolver.send_to(e.server_address, whole.substr(0, 5));
  auto response = EnumFixture::query(EnumFixture::enum_name("1.4"));
  response.response = true;
  e.send_query(response);
  e.send_query(EnumFixture::query(EnumFixture::enum_name("1.4"), 78));
  const auto asked = e.receive_query(1);
  e.send_reply(1, asked, EnumFixture::reply(asked.message, "sip:b@example.org"));
  CHECK(e.receive_answer().id == 78);
}

TEST_CASE("SIGHUP: numbers go where the file now says, and an open look-up still has its answer") {
  const EnumFixture e;
  e.send_query(EnumFixture::query(EnumFixture::enum_name("1.4.6")));
  const auto open = e.receive_query(0);
  auto text = read_file(e.file->path());
  const auto old = EnumFixture::routes("pool0", "pool1");
  text.replace(text.find(old), old.size(), EnumFixture::routes("pool1", "pool0"));
  e.file->write(text);
  e.program->signal(SIGHUP);
  e.program->log("numbers 64: 100% to pool pool1, was 0%; only then to pool pool0, was 100%");
  e.program->log("event=configuration_taken front=enum");
  e.send_reply(0, open, EnumFixture::reply(open.message, "sip:a@example.org"));
  CHECK(answer_contains(e.receive_answer(), "sip:a@example.org"));
  e.file->write(text + "suffix: 7\n");
  e.program->signal(SIGHUP);
  CHECK(e.program->log("event=configuration_kept").find("suffix") != std::string::npos);
  e.send_query(EnumFixture::query(EnumFixture::enum_name("2.4.6")));
  const auto moved = e.receive_query(1);
  e.send_reply(1, moved, EnumFixture::reply(moved.message, "sip:b@example.org"));
  CHECK(answer_contains(e.receive_answer(), "sip:b@example.org"));
}

TEST_CASE("a truncated reply is continued over TCP, as one attempt, with the records of then") {
  const EnumFixture e;
  e.send_query(EnumFixture::query(EnumFixture::enum_name("1.4")));
  const auto asked = e.receive_query(1);
  auto cut = EnumFixture::reply(asked.message, "sip:old@example.org");
  cut.truncated = true;
  e.send_reply(1, asked, cut);
  auto line = e.tcp[1].accept();
  const auto bytes = line.take(static_cast<std::size_t>(big_endian(line.take(2), 0, 2)));
  const auto again = dns::parse_message(bytes);
  REQUIRE(again);
  CHECK(again->question->matches(*asked.message.question));
  // Meanwhile the record changes, and word of it comes over UDP: it changes nothing.
  e.send_reply(1, asked, EnumFixture::reply(asked.message, "sip:changed@example.org"));
  const auto whole = dns::serialize_message(EnumFixture::reply(*again, "sip:new@example.org", 30));
  std::string framed;
  put_big_endian(framed, whole.size(), 2);
  line.write(framed + whole.substr(0, 100));
  CHECK(e.resolver.quiet(50));
  line.write(whole.substr(100));
  // The resolver's own 512 bytes do not hold it.
  const auto small = e.receive_answer();
  CHECK(small.truncated);
  CHECK(small.answers.empty());
  CHECK(e.udp[1].quiet(100));  // no second look-up
}

TEST_CASE("a resolver gets the size that it can take: EDNS, TCP") {
  const EnumFixture e;
  auto roomy = EnumFixture::query(EnumFixture::enum_name("1.4"));
  roomy.edns = dns::Edns{4096, 0, 0, false};
  e.send_query(roomy);
  auto asked = e.receive_query(1);
  e.send_reply(1, asked, EnumFixture::reply(asked.message, "sip:c@example.org", 30));
  const auto large = e.receive_answer();
  CHECK_FALSE(large.truncated);
  CHECK(large.answers.size() == 30);
  CHECK(large.edns);
  auto line = Socket::connect(e.server_address);
  const auto bytes = dns::serialize_message(EnumFixture::query(EnumFixture::enum_name("1.4")));
  std::string framed;
  put_big_endian(framed, bytes.size(), 2);
  line.write((framed + bytes).substr(0, 9));
  line.write((framed + bytes).substr(9));
  asked = e.receive_query(1);
  e.send_reply(1, asked, EnumFixture::reply(asked.message, "sip:d@example.org", 30));
  const auto whole = dns::parse_message(line.take(static_cast<std::size_t>(big_endian(line.take(2), 0, 2))));
  REQUIRE(whole);
  CHECK(whole->answers.size() == 30);
}

TEST_CASE("late and mismatched replies are dropped, and the true one still counts") {
  const EnumFixture e;
  e.send_query(EnumFixture::query(EnumFixture::enum_name("1.4")));
  const auto asked = e.receive_query(1);
  auto wrong = EnumFixture::reply(asked.message, "sip:wrong@example.org");
  wrong.id = static_cast<std::uint16_t>(wrong.id + 1);
  e.send_reply(1, asked, wrong);
  wrong.id = asked.message.id;
  wrong.question->name = *dns::name_from_text(EnumFixture::enum_name("2.4"));
  e.send_reply(1, asked, wrong);
  const auto elsewhere = Socket::bound(SOCK_DGRAM);
  elsewhere.send_to(asked.from,
                    dns::serialize_message(EnumFixture::reply(asked.message, "sip:forged@example.org")));
  const auto true_one = dns::serialize_message(EnumFixture::reply(asked.message, "sip:true@example.org"));
  e.udp[1].send_to(asked.from, true_one.substr(0, true_one.size() - 4));  // malformed
  CHECK(e.resolver.quiet(100));
  e.udp[1].send_to(asked.from, true_one);
  CHECK(answer_contains(e.receive_answer(), "sip:true@example.org"));
  e.send_reply(1, asked, EnumFixture::reply(asked.message, "sip:late@example.org"));
  CHECK(e.resolver.quiet(100));
}

TEST_CASE("a silent name server means SERVFAIL before the deadline, and delays nobody else") {
  const EnumFixture e;
  const double from = now_ms();
  e.send_query(EnumFixture::query(EnumFixture::enum_name("3.2.1.4.6"), 1));
  (void)e.receive_query(0);
  for (std::uint16_t id = 2; id < 12; ++id) {
    e.send_query(EnumFixture::query(EnumFixture::enum_name(std::to_string(id % 10) + ".1"), id));
    const auto asked = e.receive_query(1);
    e.send_reply(1, asked, EnumFixture::reply(asked.message, "sip:e@example.org"));
    CHECK(e.receive_answer().id == id);
  }
  CHECK(now_ms() - from < deadline_ms / 2);
  const auto late = e.receive_answer();
  CHECK(late.id == 1);
  CHECK(late.rcode == dns::rcode::serv_fail);
  CHECK(now_ms() - from < deadline_ms);
}

TEST_CASE(
    "one look-up at a time, even when the name server answers with a fault; the other may then be asked") {
  const EnumFixture e;
  e.send_query(EnumFixture::query(EnumFixture::enum_name("3.2.1.4.6")));
  const auto asked = e.receive_query(0);
  CHECK(e.udp[1].quiet(50));
  auto fault = EnumFixture::reply(asked.message, "", 0);
  fault.rcode = dns::rcode::serv_fail;
  e.send_reply(0, asked, fault);
  // Another attempt or SERVFAIL: both are for the module to choose, but never two look-ups at once.
  while (e.resolver.quiet(0)) {
    for (std::size_t i = 0; i < 2; ++i) {
      if (!readable(e.udp[i].descriptor(), 5)) continue;
      const auto again = e.receive_query(i);
      CHECK(e.udp[1 - i].quiet(20));
      fault = EnumFixture::reply(again.message, "", 0);
      fault.rcode = dns::rcode::serv_fail;
      e.send_reply(i, again, fault);
    }
  }
  // The module gives up: as a failure, or as a refusal once its attempts are used up.
  const auto end = e.receive_answer().rcode;
  CHECK((end == dns::rcode::serv_fail || end == dns::rcode::refused));
}

TEST_CASE("a retransmission joins its open request") {
  const EnumFixture e;
  const auto query = EnumFixture::query(EnumFixture::enum_name("1.4"));
  e.send_query(query);
  e.send_query(query);
  const auto asked = e.receive_query(1);
  e.send_query(query);
  CHECK(e.udp[1].quiet(100));
  e.send_reply(1, asked, EnumFixture::reply(asked.message, "sip:f@example.org"));
  CHECK(e.receive_answer().id == 77);
  CHECK(e.resolver.quiet(100));
}

TEST_CASE("no more look-ups are out at a name server than it allows") {
  const EnumFixture e(1);
  e.send_query(EnumFixture::query(EnumFixture::enum_name("1.4"), 1));
  const auto first = e.receive_query(1);
  e.send_query(EnumFixture::query(EnumFixture::enum_name("2.4"), 2));
  CHECK(e.udp[1].quiet(100));
  e.send_reply(1, first, EnumFixture::reply(first.message, "sip:g@example.org"));
  CHECK(e.receive_answer().id == 1);
}

TEST_CASE("SIGTERM ends the ENUM server once all is answered") {
  const EnumFixture e;
  e.send_query(EnumFixture::query(EnumFixture::enum_name("1.4")));
  const auto asked = e.receive_query(1);
  e.program->signal(SIGTERM);
  e.program->log("draining open=1");
  e.send_reply(1, asked, EnumFixture::reply(asked.message, "sip:h@example.org"));
  CHECK(answer_contains(e.receive_answer(), "sip:h@example.org"));
  CHECK(e.program->wait() == 0);
}

}  // namespace
}  // namespace heathturn::test
