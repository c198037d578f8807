// DNS over TLS towards name servers of the test's own: who is taken, who is refused and how clearly,
// sessions, certificates replaced in service.
#include <sys/stat.h>

#include <chrono>
#include <filesystem>

#include "tls_stand_in.hpp"

namespace heathturn::test {
namespace {

namespace fs = std::filesystem;

/// Files of the test's authority, in a folder that goes with the object.
struct Files {
  fs::path folder;
  Issued root = authority();
  std::string trust;
  Files() {
    std::string name = "/tmp/heathturn-test-XXXXXX";
    REQUIRE(::mkdtemp(name.data()) != nullptr);
    folder = name;
    trust = write("trust.pem", root.certificate_pem());
  }
  ~Files() { fs::remove_all(folder); }
  Files(const Files&) = delete;
  Files& operator=(const Files&) = delete;
  std::string write(const std::string& name, const std::string& text, mode_t mode = 0600) const {
    const auto path = (folder / name).string();
    std::ofstream(path, std::ios::binary | std::ios::trunc) << text;
    ::chmod(path.c_str(), mode);
    return path;
  }
};

std::string tls_pool(const Address& at, const std::string& tls, const std::string& member = "secure") {
  return "pool { name: \"p\" member { name: \"" + member + "\" address: \"" + at.text() + "\" } tls { " +
         tls + " } }\n";
}
std::string trusting(const Files& files, const std::string& more = "") {
  return "trust: \"" + files.trust + "\" handshake: \"1s\" " + more;
}
const std::string to_p = "route { to { pool: \"p\" } }\n";
/// What the first cannot answer is asked of a plain name server.
const std::string p_then_plain =
    "pool { name: \"q\" member { name: \"plain\" address: \"$0\" } }\nroute { to { pool: \"p\" } to { pool: "
    "\"q\" } }\n";

bool served(const EnumFixture& e, std::uint16_t id, const std::string& uri = "sip:tls@example.org") {
  const auto answer =
      e.resolve(EnumFixture::query(EnumFixture::enum_name(std::to_string(id % 10) + ".1"), id));
  CHECK(answer.id == id);
  return answer_contains(answer, uri);
}

TEST_CASE("look-ups go over one verified connection, by address, by name, with ALPN and with a pin") {
  const Files files;
  Wanted wanted;
  wanted.alternative = "IP:127.0.0.1,DNS:ns.example.org";
  const auto own = issue(wanted, &files.root);
  unsigned char base64[64];
  const auto digest = tls::public_key_pin(own.certificate.get());
  EVP_EncodeBlock(base64, reinterpret_cast<const unsigned char*>(digest.data()),
                  static_cast<int>(digest.size()));
  const auto pin = std::string("sha256/") + reinterpret_cast<const char*>(base64);
  for (const auto& more :
       {std::string(), std::string("name: \"ns.example.org\""), std::string("alpn: \"dot\" lowest: \"1.3\""),
        "pin: \"" + pin + "\" pin: \"sha256/AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\""}) {
    INFO(more);
    TlsServer server(own, {.alpn = "dot"});
    const EnumFixture e(tls_pool(server.address(), trusting(files, more)) + to_p);
    for (std::uint16_t id = 1; id <= 10; ++id) CHECK(served(e, id));
    CHECK(server.connections == 1);
    CHECK(server.answered == 10);
  }
  TlsServer old(own, {.highest = TLS1_2_VERSION});
  const EnumFixture e(tls_pool(old.address(), trusting(files)) + to_p);
  CHECK(served(e, 1));
}

TEST_CASE("who is not the right one is refused by a reason of its own, and the next server is asked") {
  const Files files;
  const auto other = authority("another authority");
  const auto good = issue(Wanted{}, &files.root);
  struct Case {
    const char* reason;
    Issued own;
    std::string more;
    TlsServer::Behaviour behaviour{};
  };
  const auto with = [](auto change) {
    Wanted wanted;
    change(wanted);
    return wanted;
  };
  const Case cases[] = {
      {"tls_expired", issue(with([](auto& w) { w.from_days = -10, w.to_days = -2; }), &files.root), ""},
      {"tls_not_yet_valid", issue(with([](auto& w) { w.from_days = 2, w.to_days = 9; }), &files.root), ""},
      {"tls_wrong_name", issue(with([](auto& w) { w.alternative = "IP:127.0.0.9"; }), &files.root), ""},
      {"tls_wrong_name", good, "name: \"ns.example.org\""},
      {"tls_unknown_issuer", issue(Wanted{}, &other), ""},
      {"tls_self_signed", issue(Wanted{}), ""},
      {"tls_revoked", good, "crl: \"" + files.write("crl.pem", revocations(files.root, good)) + "\""},
      {"tls_weak_key", issue(with([](auto& w) { w.key = rsa_key(1024); }), &files.root), ""},
      {"tls_wrong_pin", good, "pin: \"sha256/AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\""},
      {"tls_no_alpn", good, "alpn: \"dot\""},
      {"tls_version", good, "lowest: \"1.3\"", {.highest = TLS1_2_VERSION}},
      {"tls_broken_off", good, "", {.cut_after = 100}},
  };
  for (const auto& each : cases) {
    INFO(each.reason);
    TlsServer server(each.own, each.behaviour);
    const EnumFixture e(tls_pool(server.address(), trusting(files, each.more)) + p_then_plain);
    e.send_query(EnumFixture::query(EnumFixture::enum_name("1.1"), 9));
    const auto asked = e.receive_query(0);
    e.send_reply(0, asked, EnumFixture::reply(asked.message, "sip:plain@example.org"));
    CHECK(answer_contains(e.receive_answer(), "sip:plain@example.org"));
    const auto line = e.program->wait_for_log(std::string("event=tls_refused converter=secure peer=") +
                                              server.address().text() + " reason=" + each.reason);
    if (each.behaviour.cut_after == 0 && each.behaviour.highest == TLS1_3_VERSION) {
      CHECK(line.find("CN=a name server") != std::string::npos);
      CHECK(line.find("not_after=20") != std::string::npos);
    }
    CHECK(server.answered == 0);
  }
}

TEST_CASE("a peer that answers in plain text, or stalls, is refused as such") {
  const Files files;
  {
    const auto listener = Socket::bound(SOCK_STREAM);
    const EnumFixture e(tls_pool(listener.address(), trusting(files)) + p_then_plain);
    e.send_query(EnumFixture::query(EnumFixture::enum_name("1.1"), 9));
    const auto plain = listener.accept();
    plain.write("HTTP/1.1 400 Bad Request\r\n\r\n");
    e.program->wait_for_log("reason=tls_plain_text");
  }
  const auto listener = Socket::bound(SOCK_STREAM);
  const EnumFixture e(
      tls_pool(listener.address(), trusting(files, "").replace(trusting(files).find("1s"), 2, "100ms")) +
      p_then_plain);
  e.send_query(EnumFixture::query(EnumFixture::enum_name("1.1"), 9));
  const auto silent = listener.accept();
  e.program->wait_for_log("reason=tls_stalled");
}

TEST_CASE("a handshake cut off at any byte costs no look-up its answer, and the program goes on") {
  const Files files;
  const auto own = issue(Wanted{}, &files.root);
  // The server's part of this handshake has about 740 bytes.
  for (std::size_t bytes = 1; bytes < 640; bytes += bytes < 8 ? 1 : 149) {
    INFO(bytes);
    TlsServer server(own, {.cut_after = bytes});
    const EnumFixture e(tls_pool(server.address(), trusting(files)) + p_then_plain);
    e.send_query(EnumFixture::query(EnumFixture::enum_name("1.1"), 9));
    const auto asked = e.receive_query(0);
    e.send_reply(0, asked, EnumFixture::reply(asked.message, "sip:plain@example.org"));
    CHECK(answer_contains(e.receive_answer(), "sip:plain@example.org"));
    CHECK(server.answered == 0);
  }
}

TEST_CASE("a session is taken up again by its own server only, until its tickets are rotated") {
  const Files files;
  const auto own = issue(Wanted{}, &files.root);
  for (const int version : {TLS1_2_VERSION, TLS1_3_VERSION}) {
    INFO(version);
    TlsServer server(own, {.highest = version, .close_after_one = true});
    const EnumFixture e(tls_pool(server.address(), trusting(files)) + to_p);
    for (std::uint16_t id = 1; id <= 4; ++id) {
      CHECK(served(e, id));
      e.program->wait_for_log("event=connection_ended side=upstream");
    }
    CHECK(server.full == 1);
    CHECK(server.resumed == 3);
    server.rotate_tickets();
    CHECK(served(e, 5));
    e.program->wait_for_log("event=connection_ended side=upstream");
    CHECK(server.full == 2);
    CHECK(served(e, 6));
    e.program->wait_for_log("event=connection_ended side=upstream");
    CHECK(server.resumed == 4);
    // Another server has come to the address: nothing of the old one is shown to it.
    e.file->write(EnumFixture::site_header() + tls_pool(server.address(), trusting(files), "successor") +
                  to_p);
    e.program->signal(SIGHUP);
    e.program->wait_for_log("event=configuration_taken");
    CHECK(served(e, 7));
    CHECK(server.full == 3);
    CHECK(server.resumed == 4);
  }
}

TEST_CASE(
    "an own certificate is shown where it is asked for; files that do not fit are named, at a start and a "
    "reload") {
  const Files files;
  Wanted wanted;
  wanted.name = "this router";
  const auto client = issue(wanted, &files.root);
  const auto certificate = files.write("own.pem", client.certificate_pem()),
             key = files.write("own.key", client.key_pem());
  const auto mutual = "certificate: \"" + certificate + "\" key: \"" + key + "\"";
  TlsServer server(issue(Wanted{}, &files.root), {.client_trust = files.trust});
  {
    const EnumFixture e(tls_pool(server.address(), trusting(files, mutual)) + to_p);
    CHECK(served(e, 1));
    // Under load: another good set is taken, a bad one changes nothing, and no look-up is lost.
    wanted.key = ec_key();
    const auto next = issue(wanted, &files.root);
    const auto reload = [&](const char* expected) {
      e.program->signal(SIGHUP);
      for (std::uint16_t id = 2; id < 30; ++id) CHECK(served(e, id));
      return e.program->wait_for_log(expected);
    };
    files.write("own.key", next.key_pem());
    CHECK(reload("event=configuration_kept").find("the key does not match the certificate") !=
          std::string::npos);
    files.write("own.pem", next.certificate_pem());
    reload("event=tls_taken pool=p");
    files.write("own.key", next.key_pem(), 0644);
    CHECK(reload("event=configuration_kept").find("others than its owner may use this key") !=
          std::string::npos);
    files.write("own.key", next.key_pem());
    server.cut_all();
    CHECK(served(e, 31));
  }
  {
    const EnumFixture e(tls_pool(server.address(), trusting(files)) + p_then_plain);
    e.send_query(EnumFixture::query(EnumFixture::enum_name("1.1"), 9));
    e.program->wait_for_log("reason=tls_alert");
  }
  const auto starts = [&](const std::string& tls) {
    const TempFile file(EnumFixture::site_header() + tls_pool(server.address(), tls) + to_p);
    Process program({"serve", "--site", file.path()});
    const auto said = program.read_remaining_output();
    CHECK(program.wait_for_exit() == 1);
    Process check({"config", "check", file.path()});
    CHECK(check.read_remaining_output().find("pool.p.tls: ") != std::string::npos);
    CHECK(check.wait_for_exit() == 1);
    return said;
  };
  CHECK(starts("trust: \"" + files.write("none.pem", "nothing") + "\"").find("it holds no certificate") !=
        std::string::npos);
  CHECK(starts("trust: \"/none.pem\"").find("cannot be read") != std::string::npos);
  wanted.to_days = -1;
  wanted.from_days = -3;
  const auto old = issue(wanted, &files.root);
  files.write("own.pem", old.certificate_pem());
  files.write("own.key", old.key_pem());
  CHECK(starts(trusting(files, mutual)).find("expired at ") != std::string::npos);
}

TEST_CASE("the console counts handshakes, those resumed, and refusals by reason") {
  const Files files;
  const TempFile place("");
  const auto path = place.path() + ".socket";
  const auto status = [&path] {
    Process client({"console", "--socket", path, "status"});
    return client.read_remaining_output();
  };
  {
    TlsServer server(issue(Wanted{}, &files.root), {.close_after_one = true});
    const EnumFixture e(tls_pool(server.address(), trusting(files)) + to_p, {"--console", path});
    for (std::uint16_t id = 1; id <= 3; ++id) {
      CHECK(served(e, id));
      e.program->wait_for_log("event=connection_ended side=upstream");
    }
    CHECK(status().find("enum: handshakes full 1, resumed 2, declined 0, failed 0") != std::string::npos);
  }
  TlsServer wrong(issue(Wanted{}), {});
  const EnumFixture e(tls_pool(wrong.address(), trusting(files)) + p_then_plain, {"--console", path});
  e.send_query(EnumFixture::query(EnumFixture::enum_name("1.1"), 9));
  e.program->wait_for_log("event=tls_refused");
  CHECK(status().find("enum: tls_self_signed ") != std::string::npos);
}

TEST_CASE("without verification anybody is taken, and the checker warns of it") {
  const Files files;
  TlsServer server(issue(Wanted{}), {});
  const std::string tls = "verification: \"none\"";
  const EnumFixture e(tls_pool(server.address(), tls) + to_p);
  CHECK(served(e, 1));
  Process check({"config", "check", e.file->path()});
  CHECK(check.read_remaining_output().find(
            "warning: pool.p.tls.verification: certificates are not verified") != std::string::npos);
}

TEST_CASE("connections of more than a set age are moved over, and no look-up notices") {
  const Files files;
  TlsServer server(issue(Wanted{}, &files.root), {});
  const EnumFixture e(tls_pool(server.address(), trusting(files, "most_age: \"1s\"")) + to_p);
  std::uint16_t id = 0;
  for (const double from = now_ms(); now_ms() - from < 2500;) CHECK(served(e, ++id));
  CHECK(server.connections >= 2);
  CHECK(server.connections <= 4);
  CHECK(server.resumed >= 1);
}

// ---- The platform's converters ----------------------------------------------------------------------------

/// A converter's part on the platform's wire: free circuits, and an answer to each set-up.
TlsServer::Behaviour converter() {
  TlsServer::Behaviour out;
  Message state;
  state.op = Op::group;
  state.fields = {{"load", "x0:10;x1:10"}};
  out.greeting = serialize_message(state);
  out.speak = [](std::string& input) {
    std::string said;
    for (auto end = input.find('\n'); end != std::string::npos; end = input.find('\n')) {
      const auto message = parse_message(input.substr(0, end));
      input.erase(0, end + 1);
      Message answer;
      answer.call_id = message.call_id;
      answer.op = message.op == Op::test ? Op::tested : Op::accept;
      if (message.op == Op::test) answer.code = 1;
      if (message.op == Op::offer) answer.description = "d\r\nvia TLS";
      if (message.op == Op::test || message.op == Op::offer) said += serialize_message(answer);
    }
    return said;
  };
  return out;
}

/// A configuration as the platform gives it, with one converter, which has just started.
std::string platform_text(const Address& converter, int routers, int cold_ms, int seed = 1) {
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return R"({"name":"n0","listen":"127.0.0.1:0","seed":")" + std::to_string(seed) +
         R"(","known":{"offset":1,"batch":[{"offset":1,"topology":{"snapshot":true,"endpoints":[{"name":"s-00000001","address":")" +
         converter.text() +
         R"(","zone":"z","type":"t","group":1,"status":"in_service","weight":1,"since_ms":)" +
         std::to_string(now.count()) + R"(}]}}]},"settings":{"balancers":)" + std::to_string(routers) +
         R"(,"step_us":5000,"areas":["z"],"classes":[{"name":"voice","importance":1,"objective_us":1200000,"give_up_us":9000000}],
         "specifics":{"network_form":"meshed","home_no":0,"guard_us":300000},
         "invariants":{"start_capacity":0.3,"cold_us":)" +
         std::to_string(cold_ms * 1000) +
         R"(,"fall_multiple":4,"overload_for_us":3000000},"limits":{"try_limit":6,"cancelling":true},
         "stats":{"columns":["spare","total"]}}})";
}

TEST_CASE("the platform's converters are spoken to over TLS where the operator's file says so") {
  const Files files;
  TlsServer server(issue(Wanted{}, &files.root), converter());
  const TempFile config(platform_text(server.address(), 1, 1)),
      site("converters { tls { " + trusting(files) + " } }\n");
  Process program({"serve", "--config", config.path(), "--site", site.path()});
  const auto callers = program.wait_for_listening_address("caller");
  auto caller = Socket::connect(callers);
  Message offer;
  offer.op = Op::offer;
  offer.call_id = "9b1f03aa5c7e2d41";
  offer.fields = {
      {"class", "voice"}, {"left", "3000"}, {"key", "7f3a9c21e0b4d655"}, {"extras", "dest:1;width:1;via:-1"}};
  offer.description = "d\r\nof a call";
  caller.send_message(offer);
  const auto answer = caller.read_message();
  CHECK(answer.op == Op::accept);
  CHECK(answer.description == "d\r\nvia TLS");
  program.signal(SIGHUP);
  program.wait_for_log("event=configuration_taken front=platform");
  site.write("converters { tls { trust: \"/none.pem\" } }\n");
  program.signal(SIGHUP);
  CHECK(program.wait_for_log("event=configuration_kept front=platform").find("/none.pem cannot be read") !=
        std::string::npos);
  Process check({"config", "check", site.path()});
  CHECK(check.read_remaining_output().find("converters.tls: /none.pem cannot be read") != std::string::npos);
}

/// 25 routers hold 50 connections to a converter that dies and is back at once, with nobody's session known.
/// Returns the most full handshakes within a quarter of a second of its new life.
std::size_t storm(const std::string& handshakes) {
  constexpr int routers = 25;
  const Files files;
  TlsServer server(issue(Wanted{}, &files.root), converter());
  const TempFile site(handshakes + "converters { tls { " + trusting(files) + " } }\n");
  std::vector<std::unique_ptr<TempFile>> configs;
  std::vector<std::unique_ptr<Process>> programs;
  for (int i = 0; i < routers; ++i) {
    // The platform gives each its own seed.
    configs.push_back(std::make_unique<TempFile>(platform_text(server.address(), routers, 1500, 1000 + i)));
    programs.push_back(std::make_unique<Process>(
        std::vector<std::string>{"serve", "--config", configs.back()->path(), "--site", site.path()}));
  }
  const auto wait_for = [&](int handshakes_done) {
    for (const double until = now_ms() + wait_timeout_ms; server.full + server.resumed < handshakes_done;) {
      REQUIRE(now_ms() < until);
      ::poll(nullptr, 0, 5);
    }
  };
  wait_for(2 * routers);
  server.rotate_tickets();
  const double from = now_ms();
  const int before = server.full;
  server.cut_all();
  wait_for(4 * routers);
  CHECK(server.full - before >= routers);
  return server.most_within(250, from);
}

TEST_CASE("50 connections of many routers that come back at once never press a converter beyond its budget") {
  // 40% of the processor, at 10 ms for a full handshake: 10 in a quarter of a second.
  const auto with = storm("handshakes { share: \"40%\" full_cost: \"10ms\" resumed_cost: \"1ms\" }\n");
  CHECK(with <= 10);
  // The same with an admission that admits all: they come at once.
  const auto without =
      storm("handshakes { share: \"100%\" full_cost: \"0.01ms\" resumed_cost: \"0.01ms\" }\n");
  CHECK(without > 20);
}

}  // namespace
}  // namespace heathturn::test
