// A certificate authority for the tests, and a TLS server that uses its certificates.
#pragma once

#include <netinet/in.h>
#include <openssl/err.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <mutex>
#include <thread>

#include "enum_fixture.hpp"
#include "net/tls/context.hpp"

namespace heathturn::test {

using KeyPointer = std::shared_ptr<EVP_PKEY>;
using CertificatePointer = std::shared_ptr<X509>;

inline KeyPointer ec_key() { return {EVP_EC_gen("P-256"), EVP_PKEY_free}; }
inline KeyPointer rsa_key(unsigned bits) { return {EVP_RSA_gen(bits), EVP_PKEY_free}; }

/// A certificate with its private key.
struct IssuedCertificate {
  KeyPointer key;
  CertificatePointer certificate;

  [[nodiscard]] std::string certificate_pem() const {
    return pem([this](BIO* out) { PEM_write_bio_X509(out, certificate.get()); });
  }
  [[nodiscard]] std::string key_pem() const {
    return pem([this](BIO* out) {
      PEM_write_bio_PrivateKey(out, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    });
  }
  template <typename Write>
  static std::string pem(const Write& write) {
    BIO* out = BIO_new(BIO_s_mem());
    write(out);
    char* data = nullptr;
    const auto length = BIO_get_mem_data(out, &data);
    std::string all(data, static_cast<std::size_t>(length));
    BIO_free(out);
    return all;
  }
};

/// Contents of a certificate; days count from now.
struct CertificateSpec {
  std::string common_name = "a name server";
  std::string subject_alternative_name = "IP:127.0.0.1";
  long valid_from_days = -1, valid_until_days = 365;
  KeyPointer key = ec_key();
  bool is_authority = false;
};

/// Issues a certificate signed by `issuer`, or a self-signed one.
inline IssuedCertificate issue_certificate(const CertificateSpec& spec,
                                           const IssuedCertificate* issuer = nullptr) {
  static std::atomic<long> serial{1};
  constexpr long day_s = 86400;
  IssuedCertificate out{spec.key, {X509_new(), X509_free}};
  X509* cert = out.certificate.get();
  X509_set_version(cert, 2);
  ASN1_INTEGER_set(X509_get_serialNumber(cert), serial++);
  X509_gmtime_adj(X509_getm_notBefore(cert), spec.valid_from_days * day_s);
  X509_gmtime_adj(X509_getm_notAfter(cert), spec.valid_until_days * day_s);
  X509_set_pubkey(cert, spec.key.get());
  X509_NAME_add_entry_by_txt(X509_get_subject_name(cert), "CN", MBSTRING_ASC,
                             reinterpret_cast<const unsigned char*>(spec.common_name.c_str()), -1, -1, 0);
  const IssuedCertificate& signer = issuer == nullptr ? out : *issuer;
  X509_set_issuer_name(cert, X509_get_subject_name(signer.certificate.get()));
  X509V3_CTX context;
  X509V3_set_ctx(&context, signer.certificate.get(), cert, nullptr, nullptr, 0);
  const auto add_extension = [&](int extension_id, const std::string& value) {
    X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, &context, extension_id, value.c_str());
    REQUIRE(extension != nullptr);
    X509_add_ext(cert, extension, -1);
    X509_EXTENSION_free(extension);
  };
  if (spec.is_authority) {
    add_extension(NID_basic_constraints, "critical,CA:TRUE");
    add_extension(NID_key_usage, "critical,keyCertSign,cRLSign");
  } else {
    add_extension(NID_subject_alt_name, spec.subject_alternative_name);
  }
  REQUIRE(X509_sign(cert, signer.key.get(), EVP_sha256()) > 0);
  return out;
}

inline IssuedCertificate make_authority(const std::string& name = "authority of the test") {
  CertificateSpec spec;
  spec.common_name = name;
  spec.is_authority = true;
  return issue_certificate(spec);
}

/// A revocation list with one certificate, in PEM.
inline std::string revocation_list_pem(const IssuedCertificate& signer, const IssuedCertificate& revoked) {
  std::shared_ptr<X509_CRL> crl(X509_CRL_new(), X509_CRL_free);
  X509_CRL_set_version(crl.get(), 1);
  X509_CRL_set_issuer_name(crl.get(), X509_get_subject_name(signer.certificate.get()));
  std::shared_ptr<ASN1_TIME> from(X509_gmtime_adj(nullptr, -3600), ASN1_TIME_free),
      to(X509_gmtime_adj(nullptr, 86400), ASN1_TIME_free);
  X509_CRL_set1_lastUpdate(crl.get(), from.get());
  X509_CRL_set1_nextUpdate(crl.get(), to.get());
  X509_REVOKED* entry = X509_REVOKED_new();
  X509_REVOKED_set_serialNumber(entry, X509_get_serialNumber(revoked.certificate.get()));
  X509_REVOKED_set_revocationDate(entry, from.get());
  X509_CRL_add0_revoked(crl.get(), entry);
  X509_CRL_sign(crl.get(), signer.key.get(), EVP_sha256());
  return IssuedCertificate::pem([&](BIO* out) { PEM_write_bio_X509_CRL(out, crl.get()); });
}

/// A TLS server with a thread per connection. Acts as a name server that answers each look-up with one URI,
/// unless `respond` replaces the protocol.
class TlsServer {
 public:
  struct Behaviour {
    int max_version = TLS1_3_VERSION;
    std::string alpn{};  ///< the protocol that it accepts; empty: none
    std::string uri = "sip:tls@example.org";
    std::size_t max_handshake_bytes = 0;  ///< closes the connection after sending so many; 0: no limit
    bool close_after_answer = false;      ///< closes each connection after its first answer
    std::string client_trust{};  ///< PEM file to verify client certificates with; empty: none are requested
    std::string greeting{};      ///< sent first on each connection
    /// Removes complete messages from the input and returns the response; empty: the server answers DNS
    /// look-ups.
    std::function<std::string(std::string&)> respond{};
  };
  TlsServer(const IssuedCertificate& server_certificate, Behaviour behaviour)
      : behaviour_(std::move(behaviour)), context_(SSL_CTX_new(TLS_server_method()), SSL_CTX_free) {
    ::signal(SIGPIPE, SIG_IGN);  // OpenSSL writes without MSG_NOSIGNAL
    auto* context = context_.get();
    SSL_CTX_set_security_level(context, 0);  // allows weak keys, which the client has to reject
    SSL_CTX_set_max_proto_version(context, behaviour_.max_version);
    REQUIRE(SSL_CTX_use_certificate(context, server_certificate.certificate.get()) == 1);
    REQUIRE(SSL_CTX_use_PrivateKey(context, server_certificate.key.get()) == 1);
    SSL_CTX_set_session_id_context(context, reinterpret_cast<const unsigned char*>("t"), 1);
    if (!behaviour_.client_trust.empty()) {
      SSL_CTX_load_verify_locations(context, behaviour_.client_trust.c_str(), nullptr);
      SSL_CTX_set_verify(context, SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT, nullptr);
    }
    SSL_CTX_set_alpn_select_cb(
        context,
        [](SSL*, const unsigned char** out, unsigned char* length, const unsigned char* in, unsigned size,
           void* server) {
          const auto& protocol = static_cast<TlsServer*>(server)->behaviour_.alpn;
          for (unsigned at = 0; at < size; at += 1U + in[at]) {
            if (std::string(reinterpret_cast<const char*>(in) + at + 1, in[at]) != protocol) continue;
            *out = in + at + 1;
            *length = in[at];
            return SSL_TLSEXT_ERR_OK;
          }
          return SSL_TLSEXT_ERR_NOACK;
        },
        this);
    thread_ = std::thread([this] { accept_connections(); });
  }
  ~TlsServer() {
    stopping_ = true;
    ::shutdown(listener_.descriptor(), SHUT_RDWR);
    thread_.join();
    shut_down_all();
    for (auto& each : workers_) each.join();
  }
  TlsServer(const TlsServer&) = delete;
  TlsServer& operator=(const TlsServer&) = delete;

  [[nodiscard]] Address address() const { return listener_.address(); }
  /// Shuts down all open connections without a TLS close_notify.
  void shut_down_all() {
    const std::lock_guard lock(mutex_);
    for (const int each : open_sockets_) ::shutdown(each, SHUT_RDWR);
  }
  /// Replaces the ticket keys, so that sessions issued so far cannot be resumed.
  void rotate_ticket_keys() {
    std::string keys(80, '\0');
    static char next = 1;
    std::fill(keys.begin(), keys.end(), next++);
    SSL_CTX_set_tlsext_ticket_keys(context_.get(), keys.data(), static_cast<long>(keys.size()));
  }
  /// The largest number of full handshakes completed within any window of `window_ms`, from `from` on.
  [[nodiscard]] std::size_t max_full_handshakes_within(double window_ms, double from) {
    const std::lock_guard lock(mutex_);
    std::size_t max_count = 0;
    for (auto first = full_handshake_times_.begin(); first != full_handshake_times_.end(); ++first) {
      if (*first < from) continue;
      const auto count = std::count_if(first, full_handshake_times_.end(),
                                       [&](double at) { return at < *first + window_ms; });
      max_count = std::max(max_count, static_cast<std::size_t>(count));
    }
    return max_count;
  }
  std::atomic<int> full_handshakes{0}, resumed_handshakes{0}, answers_sent{0}, connections_accepted{0};

 private:
  void accept_connections() {
    while (!stopping_) {
      const int socket = ::accept4(listener_.descriptor(), nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) return;
      const std::lock_guard lock(mutex_);
      ++connections_accepted;
      open_sockets_.push_back(socket);
      workers_.emplace_back([this, socket] { serve(socket); });
    }
  }
  void serve(int socket) {
    std::shared_ptr<SSL> ssl(SSL_new(context_.get()), SSL_free);
    if (behaviour_.max_handshake_bytes > 0) {
      send_partial_handshake(socket, ssl.get());
    } else {
      SSL_set_fd(ssl.get(), socket);
      if (SSL_accept(ssl.get()) == 1) {
        const bool session_reused = SSL_session_reused(ssl.get()) == 1;
        ++(session_reused ? resumed_handshakes : full_handshakes);
        if (!session_reused) {
          const std::lock_guard lock(mutex_);
          full_handshake_times_.push_back(now_ms());
        }
        answer_queries(ssl.get());
      } else {
        // Reads until the peer closes: closing with unread input would send a reset, which could overtake the
        // alert.
        ::shutdown(socket, SHUT_WR);
        char rest[512];
        while (::recv(socket, rest, sizeof rest, 0) > 0) {
        }
      }
    }
    ERR_clear_error();
    const std::lock_guard lock(mutex_);
    std::erase(open_sockets_, socket);
    ::close(socket);
  }
  /// Runs the handshake through memory buffers and sends only its first bytes to the socket.
  void send_partial_handshake(int socket, SSL* ssl) {
    BIO *in = BIO_new(BIO_s_mem()), *out = BIO_new(BIO_s_mem());
    SSL_set_bio(ssl, in, out);
    std::size_t sent = 0;
    char buffer[4096];
    while (sent < behaviour_.max_handshake_bytes) {
      const auto received = ::recv(socket, buffer, sizeof buffer, 0);
      if (received <= 0) return;
      BIO_write(in, buffer, static_cast<int>(received));
      SSL_accept(ssl);
      const auto ready = BIO_read(out, buffer, sizeof buffer);
      if (ready <= 0) continue;
      const auto part_bytes =
          std::min(behaviour_.max_handshake_bytes - sent, static_cast<std::size_t>(ready));
      if (::send(socket, buffer, part_bytes, MSG_NOSIGNAL) < 0) return;
      sent += part_bytes;
    }
  }
  void answer_queries(SSL* ssl) {
    std::string input;
    char buffer[4096];
    const auto write_text = [ssl](const std::string& text) {
      return text.empty() || SSL_write(ssl, text.data(), static_cast<int>(text.size())) > 0;
    };
    if (!write_text(behaviour_.greeting)) return;
    while (true) {
      const int received = SSL_read(ssl, buffer, sizeof buffer);
      if (received <= 0) return;
      input.append(buffer, static_cast<std::size_t>(received));
      if (behaviour_.respond) {
        if (!write_text(behaviour_.respond(input))) return;
        continue;
      }
      while (input.size() >= 2 && input.size() >= 2 + big_endian(input, 0, 2)) {
        const auto length = static_cast<std::size_t>(big_endian(input, 0, 2));
        const auto query = dns::parse_message(input.substr(2, length));
        input.erase(0, 2 + length);
        if (!query) return;
        const auto bytes = dns::serialize_message(EnumFixture::reply(*query, behaviour_.uri));
        std::string framed;
        put_big_endian(framed, bytes.size(), 2);
        framed += bytes;
        ++answers_sent;
        if (SSL_write(ssl, framed.data(), static_cast<int>(framed.size())) <= 0) return;
        if (!behaviour_.close_after_answer) continue;
        SSL_shutdown(ssl);
        return;
      }
    }
  }

  Behaviour behaviour_;
  std::shared_ptr<SSL_CTX> context_;
  Socket listener_ = Socket::bound(SOCK_STREAM);
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::vector<int> open_sockets_;
  std::vector<double> full_handshake_times_;
  std::vector<std::thread> workers_;
  std::thread thread_;
};

}  // namespace heathturn::test
