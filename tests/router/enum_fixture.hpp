// The program as an ENUM server, with the name servers that it asks and a resolver that asks it.
#pragma once

#include "enum/dns.hpp"
#include "net/framing.hpp"
#include "stand_in.hpp"

namespace heathturn::test {

inline constexpr int deadline_ms = 1500;

/// Two name servers that the tests play: numbers under 64 go to the first, all others to the second.
struct EnumFixture {
  std::vector<Socket> udp, tcp;
  std::unique_ptr<TempFile> file;
  std::unique_ptr<Process> program;
  Address server_address;
  Socket resolver = Socket::bound(SOCK_DGRAM);

  explicit EnumFixture(int lookups = 8, const std::string& more = "", bool only_eureka = false,
                       const std::vector<std::string>& arguments = {}) {
    bind();
    std::string pools;
    for (std::size_t i = 0; i < 2; ++i) {
      const auto number = std::to_string(i);
      pools += "pool { name: \"pool" + number + "\" " +
               (only_eureka ? "from_registry { registry: \"r\" application: \"ns\" number: " + number + " }"
                            : "member { name: \"ns" + number + "\" address: \"" + udp[i].address().text() +
                                  "\" most_requests: " + std::to_string(lookups) + " }") +
               " }\n";
    }
    start(site_header() + pools + more + routes("pool0", "pool1"), arguments);
  }
  /// With a site of the test's own; `$0` and `$1` stand for the addresses of the name servers.
  explicit EnumFixture(const std::string& text, const std::vector<std::string>& arguments = {}) {
    bind();
    start(site_header() + with_addresses(text), arguments);
  }
  [[nodiscard]] std::string with_addresses(std::string text) const {
    for (std::size_t i = 0; i < 2; ++i) {
      const auto word = "$" + std::to_string(i);
      for (auto at = text.find(word); at != std::string::npos; at = text.find(word)) {
        text.replace(at, word.size(), udp[i].address().text());
      }
    }
    return text;
  }
  void bind() {
    for (int i = 0; i < 2; ++i) {
      auto [datagrams, streams] = Socket::bound_pair();
      udp.push_back(std::move(datagrams));
      tcp.push_back(std::move(streams));
    }
  }
  void start(const std::string& text, const std::vector<std::string>& arguments) {
    file = std::make_unique<TempFile>(text);
    std::vector<std::string> words = {"serve", "--site", file->path()};
    words.insert(words.end(), arguments.begin(), arguments.end());
    program = std::make_unique<Process>(words);
    server_address = program->listening("resolver");
  }
  static std::string site_header() {
    return "listen: \"127.0.0.1:0\"\nsuffix: \"enum.example.org\"\ndecisions { attempts: 3 }\n"
           "class { name: \"a\" aim: \"1s\" give_up: \"1500ms\" }\n";
  }
  /// Numbers under 64 to the one first, all others to the other.
  static std::string routes(const std::string& under_64, const std::string& others) {
    const auto route = [](const std::string& prefix, const std::string& first, const std::string& then) {
      return "route { prefix: \"" + prefix + "\" to { pool: \"" + first + "\" } to { pool: \"" + then +
             "\" } }\n";
    };
    return route("64", under_64, others) + route("", others, under_64);
  }
  static dns::Message query(const std::string& name, std::uint16_t id = 77) {
    dns::Message out;
    out.id = id;
    out.recursion_desired = true;
    out.question = dns::Question{*dns::name_from_text(name), dns::type::naptr, 1};
    return out;
  }
  static std::string enum_name(const std::string& labels) { return labels + ".enum.example.org"; }
  void send_query(const dns::Message& message) const {
    resolver.send_to(server_address, dns::serialize_message(message));
  }
  [[nodiscard]] dns::Message receive_answer() const {
    const auto message = dns::parse_message(resolver.receive());
    REQUIRE(message);
    return *message;
  }
  dns::Message resolve(const dns::Message& message) const {
    send_query(message);
    return receive_answer();
  }
  struct ReceivedQuery {
    dns::Message message;
    Address from;
  };
  [[nodiscard]] ReceivedQuery receive_query(std::size_t which) const {
    ReceivedQuery out;
    const auto message = dns::parse_message(udp[which].receive(&out.from));
    REQUIRE(message);
    out.message = *message;
    return out;
  }
  static dns::Record naptr(const dns::Message& query, const std::string& uri) {
    const auto text = "!^.*$!" + uri + "!";
    std::string data("\0\1\0\2\1u\7E2U+sip", 14);
    data.push_back(static_cast<char>(text.size()));
    return {query.question->name, dns::type::naptr, 1, 60, data + text + '\0'};
  }
  static dns::Message reply(const dns::Message& query, const std::string& uri, std::size_t records = 1) {
    auto out = query;
    out.response = true;
    out.edns.reset();
    for (std::size_t i = 0; i < records; ++i) out.answers.push_back(naptr(query, uri));
    return out;
  }
  void send_reply(std::size_t which, const ReceivedQuery& to, const dns::Message& message) const {
    udp[which].send_to(to.from, dns::serialize_message(message));
  }
};

inline bool answer_contains(const dns::Message& message, const std::string& text) {
  return !message.answers.empty() && message.answers[0].data.find(text) != std::string::npos;
}

}  // namespace heathturn::test
