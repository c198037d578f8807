#include "net/tls/context.hpp"

#include <openssl/bio.h>
#include <openssl/crypto.h>
#include <openssl/err.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/sha.h>
#include <openssl/x509v3.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <ctime>

#include "config/settings_reader.hpp"
#include "config/sources.hpp"

namespace heathturn::tls {
namespace {

using maddershed::InputError;

constexpr std::size_t max_pem_bytes = std::size_t{1} << 20;
constexpr long max_chain_bytes = 32 * 1024;
constexpr int max_chain_depth = 6;
constexpr int security_level = 2;  // at least 112 bits of strength: RSA and DH keys of 2048 bits
constexpr std::size_t pin_bytes = 32;

template <typename Type, void (*Free)(Type*)>
struct OpensslDeleter {
  void operator()(Type* object) const { Free(object); }
};
using Bio = std::unique_ptr<BIO, OpensslDeleter<BIO, BIO_free_all>>;
using Certificate = std::unique_ptr<X509, OpensslDeleter<X509, X509_free>>;
using Crl = std::unique_ptr<X509_CRL, OpensslDeleter<X509_CRL, X509_CRL_free>>;
using Key = std::unique_ptr<EVP_PKEY, OpensslDeleter<EVP_PKEY, EVP_PKEY_free>>;

std::string openssl_error() {
  std::array<char, 256> text{};
  const auto error = ERR_get_error();
  ERR_clear_error();
  if (error == 0) return "no reason given by OpenSSL";
  ERR_error_string_n(error, text.data(), text.size());
  return text.data();
}

/// A string that is wiped from memory on destruction.
struct Secret {
  std::string text;
  ~Secret() { OPENSSL_cleanse(text.data(), text.size()); }
};

void read_pem(const std::string& path, std::string& text) {
  Diagnostics diagnostics;
  if (!read_source_file(path, max_pem_bytes, text, {path, 0, 0, "tls", "", "", false}, diagnostics)) {
    throw InputError(diagnostics.all().front().message + "; expected a PEM file");
  }
}

double unix_ms(const ASN1_TIME* time) {
  std::tm parts{};
  if (time == nullptr || ASN1_TIME_to_tm(time, &parts) != 1) return 0;
  return static_cast<double>(timegm(&parts)) * 1000;
}

std::string time_text(const ASN1_TIME* time) {
  std::tm parts{};
  std::array<char, 32> out{};
  if (time == nullptr || ASN1_TIME_to_tm(time, &parts) != 1) return "unknown";
  std::strftime(out.data(), out.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return out.data();
}

std::string name_text(const X509_NAME* name) {
  const Bio out(BIO_new(BIO_s_mem()));
  X509_NAME_print_ex(out.get(), name, 0, XN_FLAG_RFC2253);
  char* data = nullptr;
  const auto length = BIO_get_mem_data(out.get(), &data);
  constexpr long max_name_length = 200;  // a peer can send a name of any length
  return {data, static_cast<std::size_t>(std::min(length, max_name_length))};
}

CertificateInfo certificate_info(X509* certificate) {
  return {name_text(X509_get_subject_name(certificate)), name_text(X509_get_issuer_name(certificate)),
          time_text(X509_get0_notBefore(certificate)), time_text(X509_get0_notAfter(certificate))};
}

void check_dates(X509* certificate, const std::string& path, double now) {
  const double not_before_ms = unix_ms(X509_get0_notBefore(certificate)),
               not_after_ms = unix_ms(X509_get0_notAfter(certificate));
  if (now > not_after_ms) {
    throw InputError(path + ": the certificate of " + name_text(X509_get_subject_name(certificate)) +
                     " expired at " + time_text(X509_get0_notAfter(certificate)) +
                     "; expected one that is valid now");
  }
  if (now < not_before_ms) {
    throw InputError(path + ": the certificate is not valid before " +
                     time_text(X509_get0_notBefore(certificate)) + "; expected one that is valid now");
  }
}

std::vector<Certificate> parse_certificates(const std::string& path, const std::string& text) {
  const Bio in(BIO_new_mem_buf(text.data(), static_cast<int>(text.size())));
  std::vector<Certificate> out;
  while (X509* each = PEM_read_bio_X509_AUX(in.get(), nullptr, nullptr, nullptr)) out.emplace_back(each);
  const auto error = ERR_peek_last_error();
  const bool at_end = ERR_GET_LIB(error) == ERR_LIB_PEM && ERR_GET_REASON(error) == PEM_R_NO_START_LINE;
  if (out.empty() || (error != 0 && !at_end)) {
    throw InputError(path + ": " +
                     (out.empty() ? "it holds no certificate" : "one of its certificates cannot be parsed") +
                     " (" + openssl_error() + "); expected certificates in PEM");
  }
  ERR_clear_error();
  return out;
}

int connection_index() {
  static const int index = SSL_get_ex_new_index(0, nullptr, nullptr, nullptr, nullptr);
  return index;
}

Context::ConnectionState* connection_of(const SSL* ssl) {
  return static_cast<Context::ConnectionState*>(SSL_get_ex_data(ssl, connection_index()));
}

const char* reason_for_verify_error(int error) {
  switch (error) {
    case X509_V_ERR_CERT_HAS_EXPIRED:
      return reason::expired;
    case X509_V_ERR_CERT_NOT_YET_VALID:
      return reason::not_yet_valid;
    case X509_V_ERR_HOSTNAME_MISMATCH:
    case X509_V_ERR_IP_ADDRESS_MISMATCH:
      return reason::wrong_name;
    case X509_V_ERR_UNABLE_TO_GET_ISSUER_CERT:
    case X509_V_ERR_UNABLE_TO_GET_ISSUER_CERT_LOCALLY:
    case X509_V_ERR_UNABLE_TO_VERIFY_LEAF_SIGNATURE:
      return reason::unknown_issuer;
    case X509_V_ERR_DEPTH_ZERO_SELF_SIGNED_CERT:
    case X509_V_ERR_SELF_SIGNED_CERT_IN_CHAIN:
      return reason::self_signed;
    case X509_V_ERR_CERT_REVOKED:
      return reason::revoked;
    case X509_V_ERR_UNABLE_TO_GET_CRL:
    case X509_V_ERR_CRL_HAS_EXPIRED:
    case X509_V_ERR_CRL_NOT_YET_VALID:
      return reason::no_crl;
    case X509_V_ERR_EE_KEY_TOO_SMALL:
    case X509_V_ERR_CA_KEY_TOO_SMALL:
    case X509_V_ERR_CA_MD_TOO_WEAK:
      return reason::weak_key;
    default:
      return reason::not_verified;
  }
}

}  // namespace

// ---- Pins -------------------------------------------------------------------------------------------------

std::string public_key_pin(X509* certificate) {
  unsigned char* der = nullptr;
  const int length = i2d_X509_PUBKEY(X509_get_X509_PUBKEY(certificate), &der);
  if (length <= 0) return "";
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(der, static_cast<std::size_t>(length), digest.data());
  OPENSSL_free(der);
  return {digest.begin(), digest.end()};
}

std::string parse_pin(const std::string& text) {
  constexpr std::string_view prefix = "sha256/";
  constexpr std::size_t base64_length = 44;
  if (!text.starts_with(prefix) || text.size() != prefix.size() + base64_length) return "";
  std::array<unsigned char, 48> out{};
  const auto* from = reinterpret_cast<const unsigned char*>(text.data() + prefix.size());
  const int length = EVP_DecodeBlock(out.data(), from, base64_length);
  // 44 characters decode to 33 bytes, the last of which is padding.
  if (length != static_cast<int>(pin_bytes) + 1 || text.back() != '=') return "";
  return {out.begin(), out.begin() + pin_bytes};
}

// ---- Session cache ----------------------------------------------------------------------------------------

void SessionCache::add(std::uint32_t id, SSL_SESSION* session) {
  if (!sessions_.contains(id) && sessions_.size() >= max_converters) remove(sessions_.begin()->first);
  auto& list = sessions_[id];
  list.insert(list.begin(), session);
  if (list.size() <= max_sessions_per_converter) return;
  SSL_SESSION_free(list.back());
  list.pop_back();
}

SSL_SESSION* SessionCache::take(std::uint32_t id) {
  const auto it = sessions_.find(id);
  if (it == sessions_.end()) return nullptr;
  auto* out = it->second.front();
  it->second.erase(it->second.begin());
  if (it->second.empty()) sessions_.erase(it);
  return out;
}

void SessionCache::remove(std::uint32_t id) {
  const auto it = sessions_.find(id);
  if (it == sessions_.end()) return;
  for (auto* each : it->second) SSL_SESSION_free(each);
  sessions_.erase(it);
}

void SessionCache::clear() {
  while (!sessions_.empty()) remove(sessions_.begin()->first);
}

// ---- Context ----------------------------------------------------------------------------------------------

Context::Context(const TlsConfig& config, double now)
    : config_(config), context_(SSL_CTX_new(TLS_client_method()), SSL_CTX_free) {
  if (context_ == nullptr) throw InputError("cannot create a TLS context: " + openssl_error());
  auto* context = context_.get();
  SSL_CTX_set_min_proto_version(context, config_.tls13_only ? TLS1_3_VERSION : TLS1_2_VERSION);
  SSL_CTX_set_options(context, SSL_OP_NO_RENEGOTIATION | SSL_OP_NO_COMPRESSION);
  SSL_CTX_set_security_level(context, security_level);
  // Bounds the memory and work that a peer can cause before it is verified.
  SSL_CTX_set_max_cert_list(context, max_chain_bytes);
  SSL_CTX_set_verify_depth(context, max_chain_depth);
  SSL_CTX_set_mode(context, SSL_MODE_RELEASE_BUFFERS);
  SSL_CTX_set_session_cache_mode(context, SSL_SESS_CACHE_CLIENT | SSL_SESS_CACHE_NO_INTERNAL);
  SSL_CTX_sess_set_new_cb(context, on_new_session);
  for (const auto& each : config_.alpn) alpn_ += static_cast<char>(each.size()) + each;
  if (!alpn_.empty()) {
    SSL_CTX_set_alpn_protos(context, reinterpret_cast<const unsigned char*>(alpn_.data()),
                            static_cast<unsigned>(alpn_.size()));
  }
  SSL_CTX_set_verify(context, config_.verify ? SSL_VERIFY_PEER : SSL_VERIFY_NONE, on_verify);
  load_trusted_certificates();
  load_own_certificate(now);
  load_crl();
}

Context::~Context() = default;

void Context::load_trusted_certificates() {
  X509_STORE* store = SSL_CTX_get_cert_store(context_.get());
  for (const auto& path : config_.trust) {
    std::string text;
    read_pem(path, text);
    file_contents_ += text;
    for (const auto& each : parse_certificates(path, text)) {
      X509_STORE_add_cert(store, each.get());
      expiries_.push_back({path, unix_ms(X509_get0_notAfter(each.get()))});
    }
  }
}

void Context::load_own_certificate(double now) {
  if (config_.certificate.empty()) return;
  std::string text;
  read_pem(config_.certificate, text);
  file_contents_ += text;
  const auto chain = parse_certificates(config_.certificate, text);
  check_dates(chain.front().get(), config_.certificate, now);
  expiries_.push_back({config_.certificate, unix_ms(X509_get0_notAfter(chain.front().get()))});
  struct stat key_status {};
  if (::stat(config_.key.c_str(), &key_status) == 0 && (key_status.st_mode & 077U) != 0) {
    throw InputError(config_.key + ": others than its owner may use this key; expected mode 0600");
  }
  Secret secret;
  read_pem(config_.key, secret.text);
  const Bio in(BIO_new_mem_buf(secret.text.data(), static_cast<int>(secret.text.size())));
  // A key with a passphrase is rejected as unusable: no operator is present to type the passphrase.
  const Key key(PEM_read_bio_PrivateKey(
      in.get(), nullptr, [](char*, int, int, void*) { return 0; }, nullptr));
  if (key == nullptr)
    throw InputError(config_.key + ": it holds no usable key (" + openssl_error() + "); expected one in PEM");
  if (X509_check_private_key(chain.front().get(), key.get()) != 1) {
    ERR_clear_error();
    throw InputError(config_.key + ": the key does not match the certificate in " + config_.certificate +
                     "; expected the key that it was issued for");
  }
  auto* context = context_.get();
  bool usable = SSL_CTX_use_certificate(context, chain.front().get()) == 1 &&
                SSL_CTX_use_PrivateKey(context, key.get()) == 1;
  for (std::size_t i = 1; usable && i < chain.size(); ++i)
    usable = SSL_CTX_add1_chain_cert(context, chain[i].get()) == 1;
  if (!usable)
    throw InputError(config_.certificate + ": it cannot be used (" + openssl_error() +
                     "); expected a strong key");
}

void Context::load_crl() {
  if (config_.crl.empty()) return;
  std::string text;
  read_pem(config_.crl, text);
  file_contents_ += text;
  X509_STORE* store = SSL_CTX_get_cert_store(context_.get());
  const Bio in(BIO_new_mem_buf(text.data(), static_cast<int>(text.size())));
  int count = 0;
  while (X509_CRL* each = PEM_read_bio_X509_CRL(in.get(), nullptr, nullptr, nullptr)) {
    const Crl crl(each);
    X509_STORE_add_crl(store, crl.get());
    expiries_.push_back({config_.crl, unix_ms(X509_CRL_get0_nextUpdate(crl.get()))});
    ++count;
  }
  ERR_clear_error();
  if (count == 0) throw InputError(config_.crl + ": it holds no revocation list; expected one in PEM");
  X509_STORE_set_flags(store, X509_V_FLAG_CRL_CHECK);
}

SSL* Context::create_ssl(ConnectionState& connection, const Address& to, bool& session_offered) {
  SSL* ssl = SSL_new(context_.get());
  if (ssl == nullptr) return nullptr;
  connection.context = this;
  SSL_set_ex_data(ssl, connection_index(), &connection);
  if (config_.verify) {
    auto* verify_params = SSL_get0_param(ssl);
    if (config_.name.empty()) {
      const auto text = to.text();
      X509_VERIFY_PARAM_set1_ip_asc(verify_params, text.substr(0, text.find(':')).c_str());
    } else if (X509_VERIFY_PARAM_set1_ip_asc(verify_params, config_.name.c_str()) != 1) {
      X509_VERIFY_PARAM_set1_host(verify_params, config_.name.data(), config_.name.size());
      X509_VERIFY_PARAM_set_hostflags(verify_params, X509_CHECK_FLAG_NO_PARTIAL_WILDCARDS);
      SSL_set_tlsext_host_name(ssl, config_.name.c_str());
    }
    ERR_clear_error();
  }
  session_offered = false;
  if (auto* session = sessions_.take(connection.id); session != nullptr) {
    session_offered = SSL_SESSION_is_resumable(session) == 1 && SSL_set_session(ssl, session) == 1;
    // A TLS 1.3 ticket is for one use, and the server sends new ones; a TLS 1.2 session can be offered until
    // the server declines it.
    if (session_offered && SSL_SESSION_get_protocol_version(session) < TLS1_3_VERSION) {
      sessions_.add(connection.id, session);
    } else {
      SSL_SESSION_free(session);
    }
  }
  return ssl;
}

/// Records the first verification error and the certificate that it concerns.
int Context::on_verify(int preverified, X509_STORE_CTX* store) {
  auto* ssl = static_cast<SSL*>(X509_STORE_CTX_get_ex_data(store, SSL_get_ex_data_X509_STORE_CTX_idx()));
  auto* connection = connection_of(ssl);
  if (connection == nullptr) return 0;
  X509* certificate = X509_STORE_CTX_get_current_cert(store);
  if (certificate != nullptr && (preverified == 0 || X509_STORE_CTX_get_error_depth(store) == 0)) {
    connection->peer_certificate = certificate_info(certificate);
    connection->peer_not_after_ms = unix_ms(X509_get0_notAfter(certificate));
  }
  if (preverified == 0 && connection->refusal_reason == nullptr) {
    connection->refusal_reason = reason_for_verify_error(X509_STORE_CTX_get_error(store));
  }
  return preverified;
}

int Context::on_new_session(SSL* ssl, SSL_SESSION* session) {
  auto* connection = connection_of(ssl);
  if (connection == nullptr || connection->refusal_reason != nullptr ||
      SSL_SESSION_is_resumable(session) != 1)
    return 0;
  connection->context->sessions_.add(connection->id, session);
  return 1;
}

const char* Context::verify_peer(SSL* ssl, ConnectionState& connection) {
  const auto& config = connection.context->config_;
  connection.handshake_done = true;
  const Certificate certificate(SSL_get1_peer_certificate(ssl));
  if (certificate != nullptr) {
    connection.peer_certificate = certificate_info(certificate.get());
    connection.peer_not_after_ms = unix_ms(X509_get0_notAfter(certificate.get()));
  }
  // A resumed session carries the certificate that was verified when it began, which may have expired since.
  if (config.verify && certificate != nullptr &&
      X509_cmp_current_time(X509_get0_notAfter(certificate.get())) < 0) {
    return connection.refusal_reason = reason::expired;
  }
  if (!config.pins.empty()) {
    const auto pin = certificate == nullptr ? std::string() : public_key_pin(certificate.get());
    if (std::find(config.pins.begin(), config.pins.end(), pin) == config.pins.end()) {
      return connection.refusal_reason = reason::wrong_pin;
    }
  }
  if (!config.alpn.empty()) {
    const unsigned char* protocol = nullptr;
    unsigned length = 0;
    SSL_get0_alpn_selected(ssl, &protocol, &length);
    if (length == 0) return connection.refusal_reason = reason::no_alpn;
  }
  return nullptr;
}

const char* Context::failure_reason(SSL*, const ConnectionState& connection, unsigned long error) {
  if (connection.refusal_reason != nullptr) return connection.refusal_reason;
  if (error == 0) return connection.handshake_done ? nullptr : reason::broken_off;
  switch (ERR_GET_REASON(error)) {
    case SSL_R_WRONG_VERSION_NUMBER:
    case SSL_R_HTTP_REQUEST:
    case SSL_R_PACKET_LENGTH_TOO_LONG:
      return reason::plain_text;
    case SSL_R_UNSUPPORTED_PROTOCOL:
    case SSL_R_TLSV1_ALERT_PROTOCOL_VERSION:
      return reason::version;
    case SSL_R_EXCESSIVE_MESSAGE_SIZE:
    case SSL_R_ENCRYPTED_LENGTH_TOO_LONG:
    case SSL_R_DATA_LENGTH_TOO_LONG:
      return reason::too_large;
    case SSL_R_DH_KEY_TOO_SMALL:
    case SSL_R_EE_KEY_TOO_SMALL:
    case SSL_R_CA_KEY_TOO_SMALL:
    case SSL_R_BAD_ECPOINT:
      return reason::weak_key;
    case SSL_R_TLSV1_ALERT_NO_APPLICATION_PROTOCOL:
      return reason::no_alpn;
    case SSL_R_UNEXPECTED_EOF_WHILE_READING:
      return connection.handshake_done ? nullptr : reason::broken_off;
    default:
      break;
  }
  // OpenSSL numbers the alerts received from the peer from 1000.
  return ERR_GET_REASON(error) >= 1000 ? reason::alert : reason::failed;
}

}  // namespace heathturn::tls
