// The settings of the ENUM service: listen address, tenants, pools, routes by number prefix, and policies.
// Read from the operator's files (site_reader.hpp), validated, with all defaults filled in.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/platform_config.hpp"
#include "config/units.hpp"
#include "handshakes/admission.hpp"
#include "net/tls/tls_config.hpp"

namespace heathturn {

/// Stands for an index that is not given: a route for any class, any tenant or all times; a tenant without a
/// class of its own; a policy without a base.
inline constexpr std::uint32_t no_index = 0xffffffff;

/// A location in a file. Lines and columns count from 1; line 0 stands for a built-in value.
struct SourceLocation {
  std::uint32_t file = 0;  ///< index into EnumConfig::files
  std::uint32_t line = 0;
  std::uint32_t column = 0;
};

/// A client of the ENUM service, recognized by its source address.
struct Tenant {
  struct Network {
    std::uint32_t host = 0;  ///< in host byte order, with no bit set beyond the prefix length
    int prefix_length = 32;
  };
  std::string name;
  std::uint32_t traffic_class = no_index;  ///< no_index: the number's class applies
  std::vector<Network> networks;
  SourceLocation location;
};

/// A Eureka registry, and this program's own registration with it.
struct EurekaConfig {
  std::string name;
  Address address;
  std::string path;  ///< prefix of "/apps" in the URL
  double fetch_every_ms = 0;
  std::string own_application;  ///< empty: this program does not register itself
  std::string own_instance;
  double heartbeat_ms = 0;
  SourceLocation location;
};

/// A converter listed in a pool.
struct Member {
  Converter converter;  ///< its `circuits` are the look-ups allowed in flight
  double weight = 1;
  std::string zone;
};

/// Members of a pool that are listed in a registry.
struct RegistrySource {
  std::uint32_t registry = 0;  ///< index into EnumConfig::registries
  std::string application;
  std::optional<std::int32_t> number;  ///< only instances with this number in their metadata
  double weight = 1;
};

/// A group of converters that can serve the same look-ups.
struct Pool {
  std::string name;
  std::vector<Member> members;
  std::optional<RegistrySource> from_registry;
  std::uint32_t max_open_requests = 0;  ///< in flight to the whole pool; 0: no limit
  std::vector<std::string> zones;       ///< in order of preference
  std::optional<tls::TlsConfig> tls;
  SourceLocation location;
};

/// Limits and retry rules for the look-ups of a route.
struct Policy {
  std::string name;
  double deadline_ms = 0;  ///< 0: the give-up time of the class
  std::uint32_t max_attempts = 3;
  double retry_wait_ms = 0;
  std::uint32_t max_open_requests = 0;  ///< 0: no limit
  double rate_per_second = 0;           ///< look-ups admitted by the token bucket; 0: no limit
  double burst = 0;                     ///< look-ups; size of the token bucket
  SourceLocation location;
};

/// A pool of a route. Targets without a share are tried after those with one, in order.
struct Target {
  std::uint32_t pool = 0;  ///< index into EnumConfig::pools
  double share = 0;        ///< of the first choices; the shares of a route add up to 1
  bool operator==(const Target&) const = default;
};

/// Which pools serve the numbers with a prefix, and on which conditions.
struct Route {
  std::string prefix;
  std::uint32_t traffic_class = no_index;
  std::uint32_t tenant = no_index;
  std::uint32_t schedule = no_index;  ///< index into EnumConfig::schedules
  std::uint32_t target_list = 0;      ///< index into EnumConfig::target_lists; routes may share one
  std::uint32_t policy = 0;           ///< index into EnumConfig::policies
  SourceLocation location;
};

/// Numbers with this prefix belong to this class.
struct ClassPrefix {
  std::string prefix;
  std::uint32_t traffic_class = 0;
};

/// All settings of the operator's files. Classes are in settings.classes.
struct EnumConfig {
  std::vector<std::string> files;  ///< names as the operator would write them; the main file is last
  Address listen;
  std::string suffix;        ///< in lower case, without the trailing dot
  std::string console_path;  ///< of the console's Unix socket; empty: none
  units::TimeZone time_zone;
  bool has_enum_frontend = true;                ///< false: the file concerns the platform's converters only
  std::optional<tls::TlsConfig> converter_tls;  ///< for connections to the platform's converters
  maddershed::Settings settings;
  handshakes::Settings handshakes;
  std::vector<ClassPrefix> class_prefixes;
  std::vector<Tenant> tenants;
  std::vector<EurekaConfig> registries;
  std::vector<Pool> pools;
  std::vector<Policy> policies;  ///< the first one is "default"
  std::vector<std::vector<units::WeekSpan>> schedules;
  std::vector<std::vector<Target>> target_lists;
  std::vector<Route> routes;  ///< in the order of the files
  double longest_deadline_ms = 0;

  /// Time limit of a request of this class under this policy, in ms.
  [[nodiscard]] double deadline_ms(const Policy& policy, std::uint32_t traffic_class) const;
};

}  // namespace heathturn
