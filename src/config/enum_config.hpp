// The ENUM front's settings: where it listens, who asks, which pools there are, which numbers go where and by
// which policy. Read from the operator's file (site_reader.hpp), checked whole, with every default filled in.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "config/units.hpp"
#include "handshakes/admission.hpp"
#include "net/tls/tls_config.hpp"

namespace heathturn {

/// In place of an index: any class, any tenant, at all times, none.
inline constexpr std::uint32_t any = 0xffffffff;

/// A place in a file. Lines and columns count from 1; line 0: nowhere, a built-in value.
struct Where {
  std::uint32_t file = 0;  ///< index into EnumConfig::files
  std::uint32_t line = 0;
  std::uint32_t column = 0;
};

struct Tenant {
  struct Network {
    std::uint32_t host = 0;  ///< in host order, with no bit set beyond the length
    int length = 32;
  };
  std::string name;
  std::uint32_t traffic_class = any;  ///< any: the number's
  std::vector<Network> networks;
  Where where;
};

struct EurekaConfig {
  std::string name;
  Address registry;
  std::string path;  ///< in front of "/apps"
  double fetch_every_ms = 0;
  std::string own_application;  ///< empty: this program does not register itself
  std::string own_instance;
  double heartbeat_ms = 0;
  Where where;
};

struct Member {
  Converter converter;  ///< its `circuits` are the look-ups that it takes at once
  double weight = 1;
  std::string zone;
};

struct FromRegistry {
  std::uint32_t registry = 0;
  std::string application;
  std::optional<std::int32_t> number;  ///< only instances whose metadata give it
  double weight = 1;
};

struct Pool {
  std::string name;
  std::vector<Member> members;
  std::optional<FromRegistry> from_registry;
  std::uint32_t most_requests = 0;  ///< out at once; 0: no limit
  std::vector<std::string> zones;   ///< in order of preference
  std::optional<tls::TlsConfig> tls;
  Where where;
};

struct Policy {
  std::string name;
  double deadline_ms = 0;  ///< 0: the class's
  std::uint32_t attempts = 3;
  double retry_wait_ms = 0;
  std::uint32_t most_open = 0;  ///< 0: no limit
  double rate = 0;              ///< look-ups a second; 0: no limit
  double burst = 0;
  Where where;
};

struct Target {
  std::uint32_t pool = 0;
  double share = 0;  ///< of the first choices; those of a route add up to 1
  bool operator==(const Target&) const = default;
};

struct Route {
  std::string prefix;
  std::uint32_t traffic_class = any;
  std::uint32_t tenant = any;
  std::uint32_t schedule = any;  ///< index into EnumConfig::schedules
  std::uint32_t targets = 0;     ///< index into EnumConfig::target_lists; routes may share one
  std::uint32_t policy = 0;
  Where where;
};

/// Numbers that begin so are of this class.
struct ClassPrefix {
  std::string prefix;
  std::uint32_t traffic_class = 0;
};

struct EnumConfig {
  std::vector<std::string> files;  ///< as named, the first one being the one asked for
  Address listen;
  std::string suffix;   ///< in lower case, without the last dot
  std::string console;  ///< path of the console's socket; empty: none
  units::TimeZone zone;
  bool has_front = true;                        ///< false: the file is of the platform's front alone
  std::optional<tls::TlsConfig> converter_tls;  ///< towards the platform's converters
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

  /// How long a request of this class may take under this policy, ms.
  [[nodiscard]] double deadline_ms(const Policy& policy, std::uint32_t traffic_class) const;
};

}  // namespace heathturn
