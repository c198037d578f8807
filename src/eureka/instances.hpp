// The instances listed by a Eureka registry, from the JSON replies of its REST operations.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "config/platform_config.hpp"

namespace heathturn {

/// The table of instances, updated by full and by delta replies.
class EurekaInstances {
 public:
  /// Replaces the table by a reply to `apps`. Throws InputError if it is invalid; the table is then
  /// unchanged.
  void apply_full(const std::string& json);
  /// Applies a reply to `apps/delta`. False if the result does not match the registry's hash: the table is
  /// then unchanged, and the full list must be fetched. Throws InputError if the reply is invalid.
  [[nodiscard]] bool apply_delta(const std::string& json);
  /// The instances of an application as converters, without those that cannot be used.
  [[nodiscard]] std::vector<Converter> converters(const std::string& application) const;

 private:
  struct Instance {
    std::string application;
    std::string status;
    Converter converter;
    bool usable = false;
  };
  using Table = std::map<std::string, Instance>;  ///< key: "application/id"
  static std::string hash_of(const Table& table);
  static std::string apply(const std::string& json, bool full, Table& table);

  Table table_;
};

/// The JSON body of the request that registers an instance.
[[nodiscard]] std::string eureka_registration(const std::string& application, const std::string& instance,
                                              const Address& address);

}  // namespace heathturn
