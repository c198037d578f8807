// The appliance's surroundings: a Eureka registry that the tests play, and the operator's console.
#include <sys/stat.h>

#include "enum_fixture.hpp"

namespace heathturn::test {
namespace {

/// A registry with one application, NS, of one instance at `server`.
struct Registry {
  Socket listener = Socket::bound(SOCK_STREAM);
  struct Request {
    Socket connection;
    std::string line, body;
  };
  [[nodiscard]] Request next() const {
    Request out{listener.accept(), "", ""};
    std::size_t length = 0;
    for (auto line = out.connection.read_line(); line != "\r"; line = out.connection.read_line()) {
      if (out.line.empty()) out.line = line.substr(0, line.find(" HTTP"));
      if (line.starts_with("Content-Length: ")) length = std::stoul(line.substr(16));
    }
    out.body = out.connection.read_bytes(length);
    return out;
  }
  static void answer(const Request& request, int status, const std::string& body = "") {
    request.connection.write(
        "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Type: application/json\r\n" +
        "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body);
  }
  static std::string list(const Address& server, const std::string& status, const std::string& hash) {
    return R"({"applications":{"apps__hashcode":")" + hash +
           R"(","application":[{"name":"NS","instance":[{"instanceId":"ns-a","ipAddr":"127.0.0.1","status":")" +
           status + R"(","actionType":"MODIFIED","port":{"$":)" + std::to_string(server.port) +
           R"(,"@enabled":"true"},"metadata":{"number":"0","lookups":"8"}}]}]}})";
  }
  [[nodiscard]] std::string config(const std::string& more = "") const {
    return "registry { name: \"r\" address: \"" + listener.address().text() + "\" fetch_every: \"50ms\" " +
           more + "}\n";
  }
};

TEST_CASE("the list comes from a registry: ready, draining, an outage, a lost change") {
  const Registry registry;
  const EnumFixture e(8, registry.config(), true);
  auto fetch = registry.next();
  CHECK(fetch.line == "GET /eureka/apps");
  Registry::answer(fetch, 200, Registry::list(e.udp[0].address(), "UP", "UP_1_"));
  fetch = registry.next();  // the list is in force once the next fetch comes
  CHECK(fetch.line == "GET /eureka/apps/delta");
  const auto served = [&e](std::uint16_t id) {
    e.send_query(EnumFixture::query(EnumFixture::enum_name("3.2.1.4.6"), id));
    const auto asked = e.receive_query(0);
    e.send_reply(0, asked, EnumFixture::reply(asked.message, "sip:r@example.org"));
    return answer_contains(e.receive_answer(), "sip:r@example.org");
  };
  CHECK(served(1));
  // An outage in three forms: the list stays.
  Registry::answer(fetch, 500);
  e.program->wait_for_log("event=registry_unusable");
  Registry::answer(registry.next(), 200, "{nonsense");
  registry.next().connection.close();
  CHECK(served(2));
  // A change that does not fit what is known: all is fetched.
  Registry::answer(registry.next(), 200, Registry::list(e.udp[0].address(), "UP", "UP_2_"));
  fetch = registry.next();
  CHECK(fetch.line == "GET /eureka/apps");
  Registry::answer(fetch, 200, Registry::list(e.udp[0].address(), "UP", "UP_1_"));
  CHECK(served(3));
  // Draining: nothing new goes there, and what is out may end.
  fetch = registry.next();
  e.send_query(EnumFixture::query(EnumFixture::enum_name("1.4.6"), 4));
  const auto before = e.receive_query(0);
  Registry::answer(fetch, 200, Registry::list(e.udp[0].address(), "OUT_OF_SERVICE", "OUT_OF_SERVICE_1_"));
  fetch = registry.next();
  e.send_query(EnumFixture::query(EnumFixture::enum_name("2.4.6"), 5));
  const auto refused = e.receive_answer();  // at once, while the other is still open
  CHECK(refused.id == 5);
  CHECK(refused.rcode == dns::rcode::serv_fail);
  CHECK(e.udp[0].no_input_within(100));
  e.send_reply(0, before, EnumFixture::reply(before.message, "sip:s@example.org"));
  CHECK(e.receive_answer().id == 4);
}

TEST_CASE("the program registers itself, keeps itself known, and takes itself off") {
  const Registry registry;
  const EnumFixture e(
      8, registry.config(R"(register { application: "HEATHTURN" instance: "h 1" heartbeat: "50ms" })"), true);
  std::vector<std::string> seen;
  bool leaving = false;
  while (seen.size() < 4) {
    const auto request = registry.next();
    if (request.line.starts_with("GET")) {
      Registry::answer(request, 404);
      continue;
    }
    seen.push_back(request.line);
    if (seen.size() == 1) {
      CHECK(request.body.find(R"("ipAddr":"127.0.0.1")") != std::string::npos);
      CHECK(request.body.find(R"("$":)" + std::to_string(e.server_address.port)) != std::string::npos);
    }
    // The first heartbeat finds a registry that has forgotten; the ones after it are welcome.
    Registry::answer(request, request.line.starts_with("PUT") ? (seen.size() == 2 ? 404 : 200) : 204);
    if (seen.size() == 3) {
      e.program->signal(SIGTERM);
      leaving = true;
    }
    if (leaving && request.line.starts_with("PUT")) seen.pop_back();  // one that crossed the signal
  }
  CHECK(seen ==
        std::vector<std::string>{"POST /eureka/apps/HEATHTURN", "PUT /eureka/apps/HEATHTURN/h%201?status=UP",
                                 "POST /eureka/apps/HEATHTURN", "DELETE /eureka/apps/HEATHTURN/h%201"});
  CHECK(e.program->wait_for_exit() == 0);
}

// ---- The console ----------------------------------------------------------------------------------------

/// Runs `heathturn console` with one command; returns all that it prints.
std::string console(const std::string& socket, const std::string& command, int status = 0) {
  Process client({"console", "--socket", socket, command});
  const auto out = client.read_remaining_output();
  CHECK(client.wait_for_exit() == status);
  return out;
}

TEST_CASE("the console shows what is running, and drains it") {
  const TempFile at("");
  const auto path = at.path() + ".socket";
  const EnumFixture e(8, "", false, {"--console", path});
  struct stat found {};
  REQUIRE(::stat(path.c_str(), &found) == 0);
  CHECK((found.st_mode & 0777) == 0600);
  e.send_query(EnumFixture::query(EnumFixture::enum_name("3.2.1.4.6")));
  const auto asked = e.receive_query(0);
  CHECK(console(path, "status").find("enum: open 1, standing 0, offered 1,") != std::string::npos);
  CHECK(console(path, "converters").find(e.udp[0].address().text()) != std::string::npos);
  CHECK(console(path, "calls").find("3.2.1.4.6.enum.example.org") != std::string::npos);
  CHECK(console(path, "dance").find("unknown command") != std::string::npos);
  CHECK(console(path, "quit").empty());
  CHECK(console(path, "drain") == "draining\n");
  CHECK(console(path, "status").find("draining") != std::string::npos);
  e.send_reply(0, asked, EnumFixture::reply(asked.message, "sip:t@example.org"));
  CHECK(e.receive_answer().id == 77);
  CHECK(e.program->wait_for_exit() == 0);
  CHECK(console(path, "status", 1).find("no console at") != std::string::npos);
}

TEST_CASE("a console's path that something else uses is left alone") {
  const TempFile at("mine");
  Process program({"serve", "--site", HEATHTURN_SITE_FILE, "--console", at.path()});
  program.wait_for_log("in use by something else");
  CHECK(program.wait_for_exit() == 1);
  CHECK(read_file(at.path()) == "mine");
}

}  // namespace
}  // namespace heathturn::test
