// What TLS costs: processor time of a handshake on either side, of a look-up in the real program, and memory
// of a connection; each against plain in the same run. Uses the tests' stand-ins.
#define CATCH_CONFIG_RUNNER
#include <malloc.h>
#include <sys/resource.h>
#include <time.h>

#include <cstdio>

#include "../tests/router/tls_stand_in.hpp"

namespace heathturn::test {
namespace {

double thread_ms() {
  timespec now{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1000 + static_cast<double>(now.tv_nsec) / 1e6;
}

/// Client and server in one thread, over memory.
struct Pair {
  std::shared_ptr<SSL> client, server;
  double client_ms = 0, server_ms = 0;

  Pair(SSL* client_side, SSL_CTX* server_context)
      : client(client_side, SSL_free), server(SSL_new(server_context), SSL_free) {
    BIO *to_server = nullptr, *to_client = nullptr;
    BIO_new_bio_pair(&to_server, 65536, &to_client, 65536);
    SSL_set_bio(client.get(), to_server, to_server);
    SSL_set_bio(server.get(), to_client, to_client);
  }
  void shake() {
    for (int turn = 0;
         turn < 20 && !(SSL_is_init_finished(client.get()) == 1 && SSL_is_init_finished(server.get()) == 1);
         ++turn) {
      double from = thread_ms();
      SSL_connect(client.get());
      client_ms += thread_ms() - from;
      from = thread_ms();
      SSL_accept(server.get());
      server_ms += thread_ms() - from;
    }
    // Tickets of TLS 1.3 come behind the handshake.
    char byte = 0;
    const double from = thread_ms();
    SSL_read(client.get(), &byte, 1);
    client_ms += thread_ms() - from;
  }
};

std::unique_ptr<tls::Context> trusting(const TempFile& trust) {
  tls::TlsConfig config;
  config.trust = {trust.path()};
  return std::make_unique<tls::Context>(config, now_ms() + 1e12);
}

std::shared_ptr<SSL_CTX> server_with(const Issued& own) {
  const std::shared_ptr<SSL_CTX> out(SSL_CTX_new(TLS_server_method()), SSL_CTX_free);
  SSL_CTX_use_certificate(out.get(), own.certificate.get());
  SSL_CTX_use_PrivateKey(out.get(), own.key.get());
  return out;
}

void handshakes(const char* kind, const KeyPointer& key, int version) {
  constexpr int rounds = 300;
  const auto root = authority();
  Wanted wanted;
  wanted.key = key;
  const auto own = issue(wanted, &root);
  const TempFile trust(root.certificate_pem());
  const auto context_holder = trusting(trust);
  auto& context = *context_holder;
  const auto server = server_with(own);
  SSL_CTX_set_max_proto_version(server.get(), version);
  SSL_CTX_set_session_id_context(server.get(), reinterpret_cast<const unsigned char*>("t"), 1);
  for (const bool resume : {false, true}) {
    double client_ms = 0, server_ms = 0;
    int done = 0, resumed = 0;
    context.sessions().clear();
    for (int i = 0; i < rounds + 1; ++i) {
      tls::Context::Connection state;
      state.id = 1;
      if (!resume) context.sessions().clear();
      bool offered = false;
      Pair pair(context.open(state, {0x7f000001, 853}, offered), server.get());
      pair.shake();
      if (tls::Context::accept(pair.client.get(), state) != nullptr) continue;
      SSL_set_shutdown(pair.client.get(), SSL_SENT_SHUTDOWN | SSL_RECEIVED_SHUTDOWN);
      if (i == 0) continue;  // the first one has nothing to resume
      ++done;
      resumed += SSL_session_reused(pair.client.get());
      client_ms += pair.client_ms;
      server_ms += pair.server_ms;
    }
    std::printf("%-10s %s %-8s client %6.3f ms, server %6.3f ms of processor time (%d done, %d resumed)\n",
                kind, version == TLS1_3_VERSION ? "1.3" : "1.2", resume ? "resumed" : "full",
                client_ms / done, server_ms / done, done, resumed);
  }
}

void memory() {
  constexpr std::size_t count = 500;
  const auto root = authority();
  const auto own = issue(Wanted{}, &root);
  const TempFile trust(root.certificate_pem());
  const auto context_holder = trusting(trust);
  auto& context = *context_holder;
  const auto server = server_with(own);
  std::vector<std::unique_ptr<tls::Context::Connection>> states;
  std::vector<std::shared_ptr<SSL>> open;
  const auto before = mallinfo2().uordblks;
  for (std::size_t i = 0; i < count; ++i) {
    auto& state = states.emplace_back(std::make_unique<tls::Context::Connection>());
    state->id = 1;
    bool offered = false;
    Pair pair(context.open(*state, {0x7f000001, 853}, offered), server.get());
    pair.shake();
    // The server's half, and the pipe between them, go: what stays is the client's.
    SSL_set_bio(pair.client.get(), nullptr, nullptr);
    open.push_back(pair.client);
  }
  std::printf("memory: %zu bytes for an established connection's TLS\n",
              (mallinfo2().uordblks - before) / count);
}

/// Peers that are not the right one, again and again: nothing of them may stay.
void failing() {
  constexpr int count = 20000;
  const auto root = authority(), other = authority("another");
  const auto own = issue(Wanted{}, &other);
  const TempFile trust(root.certificate_pem());
  const auto context_holder = trusting(trust);
  auto& context = *context_holder;
  const auto server = server_with(own);
  std::size_t early = 0;
  int refused = 0;
  for (int i = 0; i < count; ++i) {
    tls::Context::Connection state;
    state.id = static_cast<std::uint32_t>(i);
    bool offered = false;
    Pair pair(context.open(state, {0x7f000001, 853}, offered), server.get());
    pair.shake();
    refused += state.refused != nullptr ? 1 : 0;
    ERR_clear_error();
    if (i == count / 10) early = mallinfo2().uordblks;
  }
  std::printf(
      "memory: %d of %d handshakes refused, %lld bytes more in use after the last than after a tenth\n",
      refused, count, static_cast<long long>(mallinfo2().uordblks) - static_cast<long long>(early));
}

double cpu_ms(const rusage& used) {
  const auto ms = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) * 1000 + static_cast<double>(time.tv_usec) / 1000;
  };
  return ms(used.ru_utime) + ms(used.ru_stime);
}

/// Processor time of the real program for each look-up. `one_each`: connections end after one look-up.
double look_ups(const char* kind, bool tls, bool one_each, double plain) {
  constexpr int count = 1500;
  const auto root = authority();
  const TempFile trust(root.certificate_pem());
  TlsServer::Behaviour behaviour;
  behaviour.close_after_one = one_each;
  TlsServer server(issue(Wanted{}, &root), behaviour);
  rusage before{}, after{};
  ::getrusage(RUSAGE_CHILDREN, &before);
  {
    const auto pool = tls ? "pool { name: \"p\" member { name: \"m\" address: \"" + server.address().text() +
                                "\" } tls { trust: \"" + trust.path() + "\" } }\n"
                          : std::string("pool { name: \"p\" member { name: \"m\" address: \"$0\" } }\n");
    const EnumFixture e("handshakes { share: \"100%\" full_cost: \"0.01ms\" resumed_cost: \"0.01ms\" }\n" +
                        pool + "route { to { pool: \"p\" } }\n");
    for (int id = 1; id <= count; ++id) {
      e.send_query(EnumFixture::query(EnumFixture::enum_name("1.1"), static_cast<std::uint16_t>(id)));
      if (!tls) {
        const auto asked = e.receive_query(0);
        e.send_reply(0, asked, EnumFixture::reply(asked.message, "sip:a@example.org"));
      }
      (void)e.receive_answer();
    }
    e.program->signal(SIGTERM);
    e.program->wait_for_exit();
  }
  ::getrusage(RUSAGE_CHILDREN, &after);
  const double each = (cpu_ms(after) - cpu_ms(before)) / count;
  std::printf("%-28s %.3f ms of processor time a look-up, %.1f times plain; full %d, resumed %d\n", kind,
              each, plain > 0 ? each / plain : 1, server.full.load(), server.resumed.load());
  return each;
}

TEST_CASE("tls") {
  for (const int version : {TLS1_3_VERSION, TLS1_2_VERSION}) {
    handshakes("RSA-2048", rsa_key(2048), version);
    handshakes("P-256", ec_key(), version);
  }
  memory();
  failing();
  const double plain = look_ups("plain (UDP)", false, false, 0);
  look_ups("TLS, kept connections", true, false, plain);
  look_ups("TLS, a connection each", true, true, plain);
}

}  // namespace
}  // namespace heathturn::test

int main(int argc, char** argv) { return Catch::Session().run(argc, argv); }
