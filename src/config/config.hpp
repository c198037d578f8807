// The one place where configuration is read, checked and given its defaults. Errors name the faulty key.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/settings_reader.hpp"
#include "net/address.hpp"

namespace heathturn {

using maddershed::InputError;

/// Bytes of a message on the platform's connections; memory is shared out by it.
inline constexpr std::size_t most_line = std::size_t{16} * 1024;

/// A converter as a list names it.
struct Converter {
  maddershed::DirectoryEntry entry;
  Address address;
  std::string name;
  std::uint32_t circuits = 0;  ///< size of the group towards it, where the list tells it
};

class JsonObject;
/// The address under a key. Throws InputError naming it.
[[nodiscard]] Address address_of(const JsonObject& from, const char* key);
/// The module's settings under the key `settings`, with the times of the rules as they are on sockets.
[[nodiscard]] maddershed::ParsedSettings settings_of(const JsonObject& root);
/// The same settings as text, one `path=value` a line.
[[nodiscard]] std::string settings_text(const JsonObject& root);

struct Config {
  std::string name;
  Address listen;
  std::uint64_t seed = 0;
  std::size_t sockets = 1024;
  std::size_t memory_mb = 2048;
  std::size_t most_requests = 0;  ///< open at once; from the memory
  std::size_t most_unsent = 0;    ///< bytes that one peer may leave unread; from the memory
  std::optional<Address> bus;
  std::uint64_t known_offset = 0;
  std::vector<Converter> known;
  maddershed::Settings settings;
  std::string settings_text;         ///< as read, to tell whether a later reading differs
  std::vector<std::string> columns;  ///< figures of a report, as the settings name them
  std::map<std::string, std::uint32_t> classes;
  std::set<std::string> tenants;  ///< empty: calls need not name one
  double connect_timeout_ms = 500;
  double longest_give_up_ms = 3000;
};

[[nodiscard]] std::string read_file(const std::string& path);
/// The platform's configuration. Throws InputError naming the key.
[[nodiscard]] Config parse_config(const std::string& text);
/// "s-00c41f7a"; nothing for any other form.
[[nodiscard]] std::optional<maddershed::ExchangeId> parse_exchange_id(const std::string& text);
[[nodiscard]] std::string exchange_text(maddershed::ExchangeId id);

}  // namespace heathturn
