// An IPv4 address with a port, as used in the configuration and on the event bus.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>

namespace heathturn {

/// An IPv4 address and port in host byte order.
struct Address {
  std::uint32_t host = 0;
  std::uint16_t port = 0;
  auto operator<=>(const Address&) const = default;

  [[nodiscard]] sockaddr_in to_sockaddr() const {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    out.sin_addr.s_addr = htonl(host);
    return out;
  }
  /// "127.0.0.1:2905".
  [[nodiscard]] std::string text() const {
    std::string out;
    for (int shift = 24; shift >= 0; shift -= 8) {
      out += std::to_string((host >> shift) & 255U) + (shift > 0 ? "." : ":");
    }
    return out + std::to_string(port);
  }
  [[nodiscard]] static Address from(const sockaddr_in& in) {
    return {ntohl(in.sin_addr.s_addr), ntohs(in.sin_port)};
  }
  /// Parses the form that text() gives; nullopt for any other.
  [[nodiscard]] static std::optional<Address> parse(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    in_addr host{};
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, port);
    if (error != std::errc{} || stop != end) return std::nullopt;
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &host) != 1) return std::nullopt;
    return Address{ntohl(host.s_addr), port};
  }
};

}  // namespace heathturn
