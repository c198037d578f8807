// TLS settings for the connections to the members of one pool, from the operator's configuration file.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace heathturn::tls {

/// TLS settings of one pool of converters.
struct TlsConfig {
  std::vector<std::string> trust;  ///< PEM files with the trusted authorities
  std::string name;  ///< DNS name or IP address in the certificate; empty: the member's IP address
  std::vector<std::string> pins;  ///< SHA-256 of accepted public keys, 32 bytes each; empty: any key
  std::string certificate, key;   ///< PEM files for mutual TLS; empty: none
  std::string crl;                ///< PEM file with revocation lists; empty: none
  std::vector<std::string> alpn;  ///< protocols offered, one of which must be negotiated; empty: none
  bool tls13_only = false;
  bool verify = true;
  double handshake_timeout_ms = 2000;
  double max_connection_age_ms = 0;  ///< connections are replaced at this age; 0: no limit
  std::uint32_t connections_per_member = 2;
  bool operator==(const TlsConfig&) const = default;
};

}  // namespace heathturn::tls
