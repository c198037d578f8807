// What a Eureka registry lists, kept from its replies (the JSON form of its REST operations).
#pragma once

#include <map>
#include <string>
#include <vector>

#include "config/platform_config.hpp"

namespace heathturn {

class EurekaInstances {
 public:
  /// The reply to `apps`. Throws InputError when it is none; the list then stays as it was.
  void take_all(const std::string& json);
  /// The reply to `apps/delta`. False when the list after it is not the registry's: all must be fetched.
  [[nodiscard]] bool take_delta(const std::string& json);
  /// The instances of an application as converters; those that cannot be used are left out.
  [[nodiscard]] std::vector<Converter> converters(const std::string& application) const;

 private:
  struct Instance {
    std::string application;
    std::string status;
    Converter converter;
    bool usable = false;
  };
  using Table = std::map<std::string, Instance>;  ///< by application and id
  static std::string hash_of(const Table& table);
  static std::string apply(const std::string& json, bool whole, Table& table);

  Table table_;
};

/// The body that registers an instance.
[[nodiscard]] std::string eureka_registration(const std::string& application, const std::string& instance,
                                              const Address& address);

}  // namespace heathturn
