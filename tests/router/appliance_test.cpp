// Tests of the Eureka client, whose registry the test acts as, and of the operator's console.
#include <sys/stat.h>

#include "enum_fixture.hpp"

namespace heathturn::test {
namespace {

/// A Eureka registry whose requests the test receives and answers.
struct Registry {
  Socket listener = Socket::bound(SOCK_STREAM);
  struct Request {
    Socket connection;
    std::string line, body;
  };
  [[nodiscard]] Request next_request() const {
    Request out{listener.accept(), "", ""};
    std::size_t length = 0;
    for (auto line = out.connection.read_line(); line != "\r"; line = out.connection.read_line()) {
      if (out.line.empty()) out.line = line.substr(0, line.find(" HTTP"));
      if (line.starts_with("Content-Length: ")) length = std::stoul(line.substr(16));
    }
    out.body = out.connection.read_bytes(length);
    return out;
  }
  static void reply(const Request& request, int status, const std::string& body = "") {
    request.connection.write(
        "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Type: application/json\r\n" +
        "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body);
  }
  /// A list of one application, NS, with one instance at `server`.
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

TEST_CASE("converters come from a registry: ready, draining, registry outage, missed delta") {
  const Registry registry;
  const EnumFixture fixture(8, registry.config(), true);
  auto fetch = registry.next_request();
  CHECK(fetch.line == "GET /eureka/apps");
  Registry::reply(fetch, 200, Registry::list(fixture.udp[0].address(), "UP", "UP_1_"));
  fetch = registry.next_request();  // the list is applied before the next fetch is sent
  CHECK(fetch.line == "GET /eureka/apps/delta");
  const auto lookup_answered = [&fixture](std::uint16_t id) {
    fixture.send_query(EnumFixture::query(EnumFixture::enum_name("3.2.1.4.6"), id));
    const auto received_query = fixture.receive_query(0);
    fixture.send_reply(0, received_query, EnumFixture::reply(received_query.message, "sip:r@example.org"));
    return answer_contains(fixture.receive_answer(), "sip:r@example.org");
  };
  CHECK(lookup_answered(1));
  // Three kinds of registry failure: the list stays as it was.
  Registry::reply(fetch, 500);
  fixture.program->wait_for_log("event=registry_unusable");
  Registry::reply(registry.next_request(), 200, "{nonsense");
  registry.next_request().connection.close();
  CHECK(lookup_answered(2));
  // A delta whose hash does not match the known list: the full list is fetched.
  Registry::reply(registry.next_request(), 200, Registry::list(fixture.udp[0].address(), "UP", "UP_2_"));
  fetch = registry.next_request();
  CHECK(fetch.line == "GET /eureka/apps");
  Registry::reply(fetch, 200, Registry::list(fixture.udp[0].address(), "UP", "UP_1_"));
  CHECK(lookup_answered(3));
  // Draining: the instance gets no new request, and its open request may finish.
  fetch = registry.next_request();
  fixture.send_query(EnumFixture::query(EnumFixture::enum_name("1.4.6"), 4));
  const auto open_request = fixture.receive_query(0);
  Registry::reply(fetch, 200,
                  Registry::list(fixture.udp[0].address(), "OUT_OF_SERVICE", "OUT_OF_SERVICE_1_"));
  fetch = registry.next_request();
  fixture.send_query(EnumFixture::query(EnumFixture::enum_name("2.4.6"), 5));
  const auto refused = fixture.receive_answer();  // at once, while the other request is still open
  CHECK(refused.id == 5);
  CHECK(refused.rcode == dns::rcode::serv_fail);
  CHECK(fixture.udp[0].no_input_within(100));
  fixture.send_reply(0, open_request, EnumFixture::reply(open_request.message, "sip:s@example.org"));
  CHECK(fixture.receive_answer().id == 4);
}

TEST_CASE("the program registers itself, sends heartbeats, and removes its registration") {
  const Registry registry;
  const EnumFixture fixture(
      8, registry.config(R"(register { application: "HEATHTURN" instance: "h 1" heartbeat: "50ms" })"), true);
  std::vector<std::string> request_lines;
  bool signal_sent = false;
  while (request_lines.size() < 4) {
    const auto request = registry.next_request();
    if (request.line.starts_with("GET")) {
      Registry::reply(request, 404);
      continue;
    }
    request_lines.push_back(request.line);
    if (request_lines.size() == 1) {
      CHECK(request.body.find(R"("ipAddr":"127.0.0.1")") != std::string::npos);
      CHECK(request.body.find(R"("$":)" + std::to_string(fixture.server_address.port)) != std::string::npos);
    }
    // The registry no longer knows the program at the first heartbeat, and accepts the later ones.
    Registry::reply(request, request.line.starts_with("PUT") ? (request_lines.size() == 2 ? 404 : 200) : 204);
    if (request_lines.size() == 3) {
      fixture.program->signal(SIGTERM);
      signal_sent = true;
    }
    if (signal_sent && request.line.starts_with("PUT"))
      request_lines.pop_back();  // a heartbeat sent before the signal arrived
  }
  CHECK(request_lines ==
        std::vector<std::string>{"POST /eureka/apps/HEATHTURN", "PUT /eureka/apps/HEATHTURN/h%201?status=UP",
                                 "POST /eureka/apps/HEATHTURN", "DELETE /eureka/apps/HEATHTURN/h%201"});
  CHECK(fixture.program->wait_for_exit() == 0);
}

// ---- The console ----------------------------------------------------------------------------------------

/// Runs `heathturn console` with one command; returns all that it prints.
std::string console(const std::string& socket, const std::string& command, int status = 0) {
  Process client({"console", "--socket", socket, command});
  const auto output = client.read_remaining_output();
  CHECK(client.wait_for_exit() == status);
  return output;
}

TEST_CASE("the console shows what is running, and drains it") {
  const TempFile file("");
  const auto path = file.path() + ".socket";
  const EnumFixture fixture(8, "", false, {"--console", path});
  struct stat socket_status {};
  REQUIRE(::stat(path.c_str(), &socket_status) == 0);
  CHECK((socket_status.st_mode & 0777) == 0600);
  fixture.send_query(EnumFixture::query(EnumFixture::enum_name("3.2.1.4.6")));
  const auto received_query = fixture.receive_query(0);
  CHECK(console(path, "status").find("enum: open 1, standing 0, offered 1,") != std::string::npos);
  CHECK(console(path, "converters").find(fixture.udp[0].address().text()) != std::string::npos);
  CHECK(console(path, "calls").find("3.2.1.4.6.enum.example.org") != std::string::npos);
  CHECK(console(path, "dance").find("unknown command") != std::string::npos);
  CHECK(console(path, "quit").empty());
  CHECK(console(path, "drain") == "draining\n");
  CHECK(console(path, "status").find("draining") != std::string::npos);
  fixture.send_reply(0, received_query, EnumFixture::reply(received_query.message, "sip:t@example.org"));
  CHECK(fixture.receive_answer().id == 77);
  CHECK(fixture.program->wait_for_exit() == 0);
  CHECK(console(path, "status", 1).find("no console at") != std::string::npos);
}

TEST_CASE("a console path that another file uses is left alone") {
  const TempFile file("mine");
  Process program({"serve", "--site", HEATHTURN_SITE_FILE, "--console", file.path()});
  program.wait_for_log("in use by something else");
  CHECK(program.wait_for_exit() == 1);
  CHECK(read_file(file.path()) == "mine");
}

}  // namespace
}  // namespace heathturn::test
