// The client side of TLS for one pool of converters: files read, peers verified, sessions cached for
// resumption, and each kind of failure mapped to a reason code. On OpenSSL; the connections use libevent's
// TLS bufferevents.
#pragma once

#include <openssl/ssl.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/address.hpp"
#include "net/tls/tls_config.hpp"

namespace heathturn::tls {

/// Reason codes for the end of a TLS connection, as written to the log.
namespace reason {
inline constexpr const char* expired = "tls_expired";
inline constexpr const char* not_yet_valid = "tls_not_yet_valid";
inline constexpr const char* wrong_name = "tls_wrong_name";
inline constexpr const char* unknown_issuer = "tls_unknown_issuer";
inline constexpr const char* self_signed = "tls_self_signed";
inline constexpr const char* revoked = "tls_revoked";
inline constexpr const char* no_crl = "tls_no_crl";
inline constexpr const char* weak_key = "tls_weak_key";
inline constexpr const char* wrong_pin = "tls_wrong_pin";
inline constexpr const char* no_alpn = "tls_no_alpn";
inline constexpr const char* plain_text = "tls_plain_text";
inline constexpr const char* too_large = "tls_too_large";
inline constexpr const char* version = "tls_version";
inline constexpr const char* alert = "tls_alert";
inline constexpr const char* broken_off = "tls_broken_off";
inline constexpr const char* stalled = "tls_stalled";
inline constexpr const char* not_verified = "tls_not_verified";
inline constexpr const char* failed = "tls_failed";
}  // namespace reason

/// What the log shows of a peer's certificate. Times are in UTC, ISO 8601.
struct CertificateInfo {
  std::string subject, issuer, not_before, not_after;
};

/// When a certificate or revocation list expires.
struct Expiry {
  std::string source;       ///< path of the file, or name of the converter
  double not_after_ms = 0;  ///< Unix ms
};

/// Sessions for resumption by converter id, newest first. Of bounded size. A session is never offered to
/// another converter, even if that has taken over the address.
class SessionCache {
 public:
  static constexpr std::size_t max_converters = 1024, max_sessions_per_converter = 2;
  ~SessionCache() { clear(); }
  SessionCache() = default;
  SessionCache(const SessionCache&) = delete;
  SessionCache& operator=(const SessionCache&) = delete;

  /// Takes ownership of the session.
  void add(std::uint32_t id, SSL_SESSION* session);
  /// Removes and returns the newest session, as a TLS 1.3 ticket should be used once; null if there is none.
  /// The caller owns it.
  [[nodiscard]] SSL_SESSION* take(std::uint32_t id);
  [[nodiscard]] bool has(std::uint32_t id) const { return sessions_.contains(id); }
  void remove(std::uint32_t id);
  void clear();
  /// Number of converters with a session.
  [[nodiscard]] std::size_t size() const { return sessions_.size(); }

 private:
  std::map<std::uint32_t, std::vector<SSL_SESSION*>> sessions_;
};

/// The TLS settings of one pool, loaded into an SSL_CTX, with its session cache.
class Context {
 public:
  /// Reads and checks all files: the key matches the certificate, certificates parse, the own certificate is
  /// valid at `now` (Unix ms), and only the owner may access the key. Throws InputError naming the file and
  /// the fault. May run on any thread.
  Context(const TlsConfig& config, double now);
  ~Context();
  Context(const Context&) = delete;
  Context& operator=(const Context&) = delete;

  /// State of one connection, from create_ssl() to its end.
  struct ConnectionState {
    Context* context = nullptr;
    std::uint32_t id = 0;  ///< of the converter
    std::string name;
    const char* refusal_reason = nullptr;  ///< reason code; null while the peer has not been rejected
    CertificateInfo peer_certificate;
    double peer_not_after_ms = 0;
    bool handshake_done = false;
  };
  /// Creates the SSL of a connection to a converter, which offers a cached session if there is one.
  /// `connection` must live as long as the SSL, which the caller owns. Null if OpenSSL cannot create it.
  [[nodiscard]] SSL* create_ssl(ConnectionState& connection, const Address& to, bool& session_offered);
  /// Checks after the handshake that the connection may be used: expiry, pin and ALPN. Returns null, or a
  /// reason code.
  [[nodiscard]] static const char* verify_peer(SSL* ssl, ConnectionState& connection);
  /// Reason code for a handshake or connection that ended with `error`, OpenSSL's error code or 0. Null if it
  /// is not a TLS failure.
  [[nodiscard]] static const char* failure_reason(SSL* ssl, const ConnectionState& connection,
                                                  unsigned long error);

  [[nodiscard]] SessionCache& sessions() { return sessions_; }
  [[nodiscard]] const TlsConfig& config() const { return config_; }
  /// Expiry of each certificate and revocation list that was read.
  [[nodiscard]] const std::vector<Expiry>& expiries() const { return expiries_; }
  /// Contents of all files that were read except the key; a context with other contents must not be reused.
  [[nodiscard]] const std::string& file_contents() const { return file_contents_; }

 private:
  static int on_verify(int preverified, X509_STORE_CTX* store);
  static int on_new_session(SSL* ssl, SSL_SESSION* session);
  void load_trusted_certificates();
  void load_own_certificate(double now);
  void load_crl();

  TlsConfig config_;
  std::unique_ptr<SSL_CTX, void (*)(SSL_CTX*)> context_;
  std::string alpn_;  ///< in wire format, each name after its length
  std::vector<Expiry> expiries_;
  std::string file_contents_;
  SessionCache sessions_;
};

/// SHA-256 of a certificate's public key (SubjectPublicKeyInfo, RFC 7858 section 4.2), 32 bytes.
[[nodiscard]] std::string public_key_pin(X509* certificate);
/// Decodes a pin of the form "sha256/BASE64" to 32 bytes; empty if it is invalid.
[[nodiscard]] std::string parse_pin(const std::string& text);

}  // namespace heathturn::tls
