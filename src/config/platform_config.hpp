// The configuration of the platform's service (JSON): reads it, checks it and fills in the defaults. Errors
// name the faulty key.
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

/// Longest message on the platform's connections; the memory limit is divided by it.
inline constexpr std::size_t max_line_bytes = std::size_t{16} * 1024;

/// A converter as listed by the platform, a registry or the operator's file.
struct Converter {
  maddershed::DirectoryEntry entry;
  Address address;
  std::string name;
  std::uint32_t circuits = 0;  ///< size of the circuit group towards it; 0: not listed
};

class JsonObject;
/// Reads the address under `key`. Throws InputError naming the key.
[[nodiscard]] Address read_address(const JsonObject& from, const char* key);
/// Reads the decision module's settings under the key `settings`; the release wait includes the slack of time
/// limits on sockets. Throws InputError naming the key.
[[nodiscard]] maddershed::ParsedSettings read_settings(const JsonObject& root);
/// The same settings as text, one `path=value` per line.
[[nodiscard]] std::string settings_text(const JsonObject& root);

/// How much longer than the longest give-up time a set-up's time left may be.
inline constexpr double time_left_slack_ms = 1000;

/// The platform's configuration with defaults filled in.
struct PlatformConfig {
  std::string name;
  Address listen;
  std::uint64_t seed = 0;
  std::size_t max_sockets = 1024;
  std::size_t max_memory_mb = 2048;
  std::size_t max_open_requests = 0;       ///< at any time; derived from max_memory_mb
  std::size_t max_unsent_bytes = 0;        ///< queued for one peer; derived from max_memory_mb
  std::size_t max_total_unsent_bytes = 0;  ///< queued for all peers; derived from max_memory_mb
  std::optional<Address> bus;    ///< the event bus; none: converters come from `known_converters` alone
  std::uint64_t bus_offset = 0;  ///< event bus offset up to which `known_converters` is current
  std::vector<Converter> known_converters;
  maddershed::Settings settings;
  std::string settings_text;                           ///< as read, to detect changes at a reload
  std::vector<std::string> report_columns;             ///< names of a load report's figures, in order
  std::map<std::string, std::uint32_t> class_indexes;  ///< by class name, into settings.classes
  std::set<std::string> tenant_names;                  ///< empty: calls need not name a tenant
  double connect_timeout_ms = 500;
  double longest_give_up_ms = 3000;  ///< of all classes, and not below 3000
  /// The longest time left that a set-up may have; no attempt of its call is sent after that.
  [[nodiscard]] double max_time_left_ms() const { return longest_give_up_ms + time_left_slack_ms; }
};

/// The file's contents. Throws InputError when it cannot be read.
[[nodiscard]] std::string read_file(const std::string& path);
/// Parses the platform's configuration from JSON. Throws InputError naming the key.
[[nodiscard]] PlatformConfig parse_platform_config(const std::string& text);
/// Parses a converter's id such as "s-00c41f7a"; nullopt for any other form.
[[nodiscard]] std::optional<maddershed::ExchangeId> parse_exchange_id(const std::string& text);
/// The inverse of parse_exchange_id().
[[nodiscard]] std::string exchange_id_text(maddershed::ExchangeId id);

}  // namespace heathturn
