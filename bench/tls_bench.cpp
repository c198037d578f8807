// Cost of TLS: processor time of a handshake on either side and of a look-up in the real program, compared
// with plain UDP in the same run, and memory per connection. Uses the stand-in servers of the tests.
#define CATCH_CONFIG_RUNNER
#include <malloc.h>
#include <sys/resource.h>
#include <time.h>

#include <cstdio>

#include "../tests/router/tls_fixture.hpp"

namespace heathturn::test {
namespace {

/// Processor time of this thread.
double thread_cpu_ms() {
  timespec now{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1000 + static_cast<double>(now.tv_nsec) / 1e6;
}

/// A client and a server in one thread, connected through memory.
struct ConnectedPair {
  std::shared_ptr<SSL> client, server;
  double client_cpu_ms = 0, server_cpu_ms = 0;

  ConnectedPair(SSL* client_side, SSL_CTX* server_context)
      : client(client_side, SSL_free), server(SSL_new(server_context), SSL_free) {
    BIO *to_server = nullptr, *to_client = nullptr;
    BIO_new_bio_pair(&to_server, 65536, &to_client, 65536);
    SSL_set_bio(client.get(), to_server, to_server);
    SSL_set_bio(server.get(), to_client, to_client);
  }
  /// Runs the handshake to its end; the members add up its processor time.
  void run_handshake() {
    for (int round = 0;
         round < 20 && !(SSL_is_init_finished(client.get()) == 1 && SSL_is_init_finished(server.get()) == 1);
         ++round) {
      double started_ms = thread_cpu_ms();
      SSL_connect(client.get());
      client_cpu_ms += thread_cpu_ms() - started_ms;
      started_ms = thread_cpu_ms();
      SSL_accept(server.get());
      server_cpu_ms += thread_cpu_ms() - started_ms;
    }
    // The session tickets of TLS 1.3 arrive after the handshake.
    char byte = 0;
    const double started_ms = thread_cpu_ms();
    SSL_read(client.get(), &byte, 1);
    client_cpu_ms += thread_cpu_ms() - started_ms;
  }
};

/// A client context that trusts the certificates in the file.
std::unique_ptr<tls::Context> client_context(const TempFile& trust) {
  tls::TlsConfig config;
  config.trust = {trust.path()};
  return std::make_unique<tls::Context>(config, now_ms() + 1e12);
}

std::shared_ptr<SSL_CTX> make_server_context(const IssuedCertificate& own) {
  const std::shared_ptr<SSL_CTX> out(SSL_CTX_new(TLS_server_method()), SSL_CTX_free);
  SSL_CTX_use_certificate(out.get(), own.certificate.get());
  SSL_CTX_use_PrivateKey(out.get(), own.key.get());
  return out;
}

/// Prints the processor time of full and resumed handshakes.
void measure_handshakes(const char* key_kind, const KeyPointer& key, int version) {
  constexpr int rounds = 300;
  const auto root = make_authority();
  CertificateSpec spec;
  spec.key = key;
  const auto own = issue_certificate(spec, &root);
  const TempFile trust(root.certificate_pem());
  const auto context_owner = client_context(trust);
  auto& context = *context_owner;
  const auto server = make_server_context(own);
  SSL_CTX_set_max_proto_version(server.get(), version);
  SSL_CTX_set_session_id_context(server.get(), reinterpret_cast<const unsigned char*>("t"), 1);
  for (const bool resume : {false, true}) {
    double client_cpu_ms = 0, server_cpu_ms = 0;
    int completed = 0, resumed = 0;
    context.sessions().clear();
    for (int i = 0; i < rounds + 1; ++i) {
      tls::Context::ConnectionState state;
      state.id = 1;
      if (!resume) context.sessions().clear();
      bool offered = false;
      ConnectedPair pair(context.create_ssl(state, {0x7f000001, 853}, offered), server.get());
      pair.run_handshake();
      if (tls::Context::verify_peer(pair.client.get(), state) != nullptr) continue;
      SSL_set_shutdown(pair.client.get(), SSL_SENT_SHUTDOWN | SSL_RECEIVED_SHUTDOWN);
      if (i == 0) continue;  // the first handshake has no session to resume
      ++completed;
      resumed += SSL_session_reused(pair.client.get());
      client_cpu_ms += pair.client_cpu_ms;
      server_cpu_ms += pair.server_cpu_ms;
    }
    std::printf(
        "%-10s %s %-8s client %6.3f ms, server %6.3f ms of processor time (%d completed, %d resumed)\n",
        key_kind, version == TLS1_3_VERSION ? "1.3" : "1.2", resume ? "resumed" : "full",
        client_cpu_ms / completed, server_cpu_ms / completed, completed, resumed);
  }
}

/// Prints the memory of an established connection.
void measure_memory() {
  constexpr std::size_t count = 500;
  const auto root = make_authority();
  const auto own = issue_certificate(CertificateSpec{}, &root);
  const TempFile trust(root.certificate_pem());
  const auto context_owner = client_context(trust);
  auto& context = *context_owner;
  const auto server = make_server_context(own);
  std::vector<std::unique_ptr<tls::Context::ConnectionState>> states;
  std::vector<std::shared_ptr<SSL>> open;
  const auto before = mallinfo2().uordblks;
  for (std::size_t i = 0; i < count; ++i) {
    auto& state = states.emplace_back(std::make_unique<tls::Context::ConnectionState>());
    state->id = 1;
    bool offered = false;
    ConnectedPair pair(context.create_ssl(*state, {0x7f000001, 853}, offered), server.get());
    pair.run_handshake();
    // Frees the server side and the pipe between the two, so that only the client side is measured.
    SSL_set_bio(pair.client.get(), nullptr, nullptr);
    open.push_back(pair.client);
  }
  std::printf("memory: %zu bytes for the TLS state of an established connection\n",
              (mallinfo2().uordblks - before) / count);
}

/// Prints how much memory in use grows over many handshakes with peers that fail verification: a leak shows
/// here.
void measure_failed_handshakes() {
  constexpr int count = 20000;
  const auto root = make_authority(), other = make_authority("another");
  const auto own = issue_certificate(CertificateSpec{}, &other);
  const TempFile trust(root.certificate_pem());
  const auto context_owner = client_context(trust);
  auto& context = *context_owner;
  const auto server = make_server_context(own);
  std::size_t bytes_after_tenth = 0;
  int refused = 0;
  for (int i = 0; i < count; ++i) {
    tls::Context::ConnectionState state;
    state.id = static_cast<std::uint32_t>(i);
    bool offered = false;
    ConnectedPair pair(context.create_ssl(state, {0x7f000001, 853}, offered), server.get());
    pair.run_handshake();
    refused += state.refusal_reason != nullptr ? 1 : 0;
    ERR_clear_error();
    if (i == count / 10) bytes_after_tenth = mallinfo2().uordblks;
  }
  std::printf(
      "memory: %d of %d handshakes refused, %lld bytes more in use after the last than after a tenth\n",
      refused, count,
      static_cast<long long>(mallinfo2().uordblks) - static_cast<long long>(bytes_after_tenth));
}

double cpu_ms(const rusage& used) {
  const auto ms = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) * 1000 + static_cast<double>(time.tv_usec) / 1000;
  };
  return ms(used.ru_utime) + ms(used.ru_stime);
}

/// Prints and returns the processor time of the real program per look-up. `one_per_connection`: connections
/// end after one look-up. `plain_cpu_ms`: the result to compare with, or 0.
double measure_look_ups(const char* label, bool tls, bool one_per_connection, double plain_cpu_ms) {
  constexpr int count = 1500;
  const auto root = make_authority();
  const TempFile trust(root.certificate_pem());
  TlsServer::Behaviour behaviour;
  behaviour.close_after_answer = one_per_connection;
  TlsServer server(issue_certificate(CertificateSpec{}, &root), behaviour);
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
        const auto received = e.receive_query(0);
        e.send_reply(0, received, EnumFixture::reply(received.message, "sip:a@example.org"));
      }
      (void)e.receive_answer();
    }
    e.program->signal(SIGTERM);
    e.program->wait_for_exit();
  }
  ::getrusage(RUSAGE_CHILDREN, &after);
  const double look_up_cpu_ms = (cpu_ms(after) - cpu_ms(before)) / count;
  std::printf("%-28s %.3f ms of processor time per look-up, %.1f times plain; full %d, resumed %d\n", label,
              look_up_cpu_ms, plain_cpu_ms > 0 ? look_up_cpu_ms / plain_cpu_ms : 1,
              server.full_handshakes.load(), server.resumed_handshakes.load());
  return look_up_cpu_ms;
}

TEST_CASE("cost of TLS") {
  for (const int version : {TLS1_3_VERSION, TLS1_2_VERSION}) {
    measure_handshakes("RSA-2048", rsa_key(2048), version);
    measure_handshakes("P-256", ec_key(), version);
  }
  measure_memory();
  measure_failed_handshakes();
  const double plain_cpu_ms = measure_look_ups("plain (UDP)", false, false, 0);
  measure_look_ups("TLS, kept connections", true, false, plain_cpu_ms);
  measure_look_ups("TLS, a new connection each", true, true, plain_cpu_ms);
}

}  // namespace
}  // namespace heathturn::test

int main(int argc, char** argv) { return Catch::Session().run(argc, argv); }
