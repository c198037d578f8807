// What is set of TLS towards the members of one pool, as the operator's file says.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace heathturn::tls {

struct TlsConfig {
  std::vector<std::string> trust;  ///< PEM files with the authorities that are trusted
  std::string name;                ///< that the certificate must carry; empty: the member's IP address
  std::vector<std::string> pins;   ///< SHA-256 of public keys, 32 bytes each; empty: any key
  std::string certificate, key;    ///< PEM files for mutual TLS; empty: none
  std::string crl;                 ///< PEM file of revocation lists; empty: none
  std::vector<std::string> alpn;   ///< offered, one of which must be agreed on; empty: none
  bool tls13_only = false;
  bool verify = true;
  double handshake_ms = 2000;
  double most_age_ms = 0;         ///< of a connection; 0: any
  std::uint32_t connections = 2;  ///< to one member
  bool operator==(const TlsConfig&) const = default;
};

}  // namespace heathturn::tls
