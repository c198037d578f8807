// TLS towards one pool: certificates checked whole before they are taken, what a peer shows verified, and
// each way in which it may fail named. On OpenSSL; the connections are libevent's own TLS bufferevents.
#pragma once

#include <openssl/ssl.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/address.hpp"
#include "net/tls/tls_config.hpp"

namespace heathturn::tls {

/// What a TLS connection ended by, as the log names it.
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

/// A peer's certificate, for the log.
struct Shown {
  std::string subject, issuer, not_before, not_after;
};

/// A certificate that ends soon, or has.
struct Expiry {
  std::string what;      ///< a file's path, or a converter's name
  double not_after = 0;  ///< Unix ms
};

/// Sessions to resume, each for one converter id, newest first. Bounded; an id that another has taken over
/// the address of brings nothing along.
class Sessions {
 public:
  static constexpr std::size_t most = 1024, most_each = 2;
  ~Sessions() { clear(); }
  Sessions() = default;
  Sessions(const Sessions&) = delete;
  Sessions& operator=(const Sessions&) = delete;

  void keep(std::uint32_t id, SSL_SESSION* session);
  /// Takes one out: a ticket of TLS 1.3 should be used once. The caller frees it; null when there is none.
  [[nodiscard]] SSL_SESSION* take(std::uint32_t id);
  [[nodiscard]] bool has(std::uint32_t id) const { return sessions_.contains(id); }
  void drop(std::uint32_t id);
  void clear();
  [[nodiscard]] std::size_t size() const { return sessions_.size(); }

 private:
  std::map<std::uint32_t, std::vector<SSL_SESSION*>> sessions_;
};

class Context {
 public:
  /// Reads and checks every file: key matches certificate, certificates parse and are valid now, key is
  /// nobody else's to read. Throws InputError naming the file and the fault. May run on any thread.
  Context(const TlsConfig& config, double now);
  ~Context();
  Context(const Context&) = delete;
  Context& operator=(const Context&) = delete;

  /// State of one connection, from its making to its end.
  struct Connection {
    Context* context = nullptr;
    std::uint32_t id = 0;
    std::string name;
    const char* refused = nullptr;  ///< why the peer was not accepted, if it was not
    Shown shown;
    double shown_not_after = 0;
    bool done = false;  ///< the handshake came to its end
  };
  /// A connection to a converter; a session of its own is offered where there is one. `connection` lives as
  /// long as the SSL does. The caller owns the result.
  [[nodiscard]] SSL* open(Connection& connection, const Address& to, bool& offered);
  /// After the handshake: null, or why the connection must not be used.
  [[nodiscard]] static const char* accept(SSL* ssl, Connection& connection);
  /// Why a handshake, or a connection after it, ended with an error. `error`: of OpenSSL, 0 for none.
  [[nodiscard]] static const char* reason_of(SSL* ssl, const Connection& connection, unsigned long error);

  [[nodiscard]] Sessions& sessions() { return sessions_; }
  [[nodiscard]] const TlsConfig& config() const { return config_; }
  [[nodiscard]] const std::vector<Expiry>& held() const { return held_; }
  /// The digest of all that was read: another one is another trust.
  [[nodiscard]] const std::string& digest() const { return digest_; }

 private:
  static int on_verify(int good, X509_STORE_CTX* store);
  static int on_session(SSL* ssl, SSL_SESSION* session);
  void load_trust();
  void load_own(double now);
  void load_crl();

  TlsConfig config_;
  std::unique_ptr<SSL_CTX, void (*)(SSL_CTX*)> context_;
  std::string alpn_;  ///< as on the wire
  std::vector<Expiry> held_;
  std::string digest_;
  Sessions sessions_;
};

/// SHA-256 of a certificate's public key (SubjectPublicKeyInfo, RFC 7858 section 4.2), 32 bytes.
[[nodiscard]] std::string public_key_pin(X509* certificate);
/// "sha256/BASE64" as 32 bytes; empty when it is none.
[[nodiscard]] std::string parse_pin(const std::string& text);

}  // namespace heathturn::tls
