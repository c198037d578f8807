#include "eureka/instances.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <charconv>

#include "config/json_object.hpp"

namespace heathturn {

using maddershed::ExchangeState;

namespace {

constexpr std::uint32_t default_lookups = 32;
constexpr int max_number = 65535;

/// UP accepts new work. STARTING and OUT_OF_SERVICE accept none, but may finish what they have.
ExchangeState state_of(const std::string& status) {
  if (status == "UP") return ExchangeState::ready;
  if (status == "OUT_OF_SERVICE" || status == "STARTING") return ExchangeState::draining;
  return ExchangeState::gone;  // DOWN, UNKNOWN
}

/// Calls `each` for the elements of a list. Some versions of the registry write a list of one as a bare
/// object.
template <typename Each>
void for_each(const JsonObject& from, const char* key, const Each& each) {
  const auto* value = from.find(key);
  if (value == nullptr) return;
  if (!value->IsArray()) return each(JsonObject(*value, from.path(key)));
  for (rapidjson::SizeType i = 0; i < value->Size(); ++i) {
    each(JsonObject((*value)[i], from.path(std::string(key) + "." + std::to_string(i))));
  }
}

/// The registry writes numbers as JSON numbers or as strings.
std::optional<int> parse_integer(const rapidjson::Value* value) {
  if (value == nullptr) return std::nullopt;
  if (value->IsInt()) return value->GetInt();
  if (!value->IsString()) return std::nullopt;
  int number = 0;
  const char* end = value->GetString() + value->GetStringLength();
  const auto [stop, error] = std::from_chars(value->GetString(), end, number);
  return error == std::errc{} && stop == end ? std::optional(number) : std::nullopt;
}

std::optional<Converter> parse_converter(const JsonObject& instance, const std::string& id) {
  Converter out;
  out.name = id;
  out.entry.state = state_of(instance.text("status", "UNKNOWN"));
  if (instance.find("port") == nullptr) return std::nullopt;
  const auto port = instance.object("port");
  const auto number = parse_integer(port.find("$"));
  const auto address =
      Address::parse(instance.text("ipAddr", "") + ":" + std::to_string(number.value_or(-1)));
  if (!address || address->port == 0) return std::nullopt;
  out.address = *address;
  out.circuits = default_lookups;
  out.entry.number = 0;
  if (instance.find("metadata") != nullptr) {
    const auto metadata = instance.object("metadata");
    out.entry.number = std::clamp(parse_integer(metadata.find("number")).value_or(0), 0, max_number);
    const auto lookups = parse_integer(metadata.find("lookups")).value_or(static_cast<int>(default_lookups));
    out.circuits = static_cast<std::uint32_t>(std::clamp(lookups, 0, max_number));
  }
  return out;
}

}  // namespace

std::string EurekaInstances::hash_of(const Table& table) {
  std::map<std::string, int> counts;
  for (const auto& [key, instance] : table) ++counts[instance.status];
  std::string out;
  for (const auto& [status, count] : counts) out += status + "_" + std::to_string(count) + "_";
  return out;
}

/// Applies a reply to the table and returns the hash that the registry states for its own.
std::string EurekaInstances::apply(const std::string& json, bool full, Table& table) {
  rapidjson::Document document;
  parse_json(document, json, "the registry's reply");
  const auto applications = JsonObject(document, "").object("applications");
  if (full) table.clear();
  for_each(applications, "application", [&](const JsonObject& application) {
    const auto name = application.text("name");
    for_each(application, "instance", [&](const JsonObject& instance) {
      const auto id = instance.text("instanceId", instance.text("hostName", ""));
      const auto key = name + "/" + id;
      if (!full && instance.text("actionType", "MODIFIED") == "DELETED") {
        table.erase(key);
        return;
      }
      const auto converter = parse_converter(instance, id);
      table[key] = {name, instance.text("status", "UNKNOWN"), converter.value_or(Converter{}),
                    converter.has_value()};
    });
  });
  return applications.text("apps__hashcode", "");
}

void EurekaInstances::apply_full(const std::string& json) {
  Table table;
  apply(json, true, table);
  table_ = std::move(table);
}

bool EurekaInstances::apply_delta(const std::string& json) {
  auto table = table_;
  const auto registry_hash = apply(json, false, table);
  if (registry_hash != hash_of(table)) return false;
  table_ = std::move(table);
  return true;
}

std::vector<Converter> EurekaInstances::converters(const std::string& application) const {
  std::vector<Converter> out;
  const auto equal_ignoring_case = [](char a, char b) { return std::toupper(a) == std::toupper(b); };
  for (const auto& [key, instance] : table_) {
    const auto& name = instance.application;
    if (instance.usable &&
        std::equal(name.begin(), name.end(), application.begin(), application.end(), equal_ignoring_case)) {
      out.push_back(instance.converter);
    }
  }
  return out;
}

std::string eureka_registration(const std::string& application, const std::string& instance,
                                const Address& address) {
  const auto text = address.text();
  const auto host = text.substr(0, text.find(':'));
  rapidjson::StringBuffer out;
  rapidjson::Writer<rapidjson::StringBuffer> json(out);
  const auto write_member = [&json](const char* key, const std::string& value) {
    json.Key(key);
    json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  json.StartObject();
  json.Key("instance");
  json.StartObject();
  write_member("instanceId", instance);
  write_member("hostName", host);
  write_member("app", application);
  write_member("ipAddr", host);
  write_member("status", "UP");
  write_member("vipAddress", application);
  json.Key("port");
  json.StartObject();
  json.Key("$");
  json.Int(address.port);
  write_member("@enabled", "true");
  json.EndObject();
  json.Key("dataCenterInfo");
  json.StartObject();
  write_member("@class", "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo");
  write_member("name", "MyOwn");
  json.EndObject();
  json.EndObject();
  json.EndObject();
  return {out.GetString(), out.GetSize()};
}

}  // namespace heathturn
