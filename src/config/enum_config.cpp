#include "config/enum_config.hpp"

#include <algorithm>
#include <set>

#include "config/json.hpp"
#include "core/clock.hpp"
#include "enum/dns.hpp"

namespace heathturn {

using namespace maddershed;

namespace {

constexpr double most_deadline_ms = 60000;
constexpr double most_lookups = 10000;

std::uint32_t class_of(const JsonObject& from, const Settings& settings) {
  const auto name = from.text("class", settings.classes.front().name);
  for (std::uint32_t i = 0; i < settings.classes.size(); ++i) {
    if (settings.classes[i].name == name) return i;
  }
  throw InputError(from.path("class") + " is not a class of the settings");
}

NumberRange range_of(const JsonObject& from, const Settings& settings) {
  NumberRange range;
  range.prefix = from.text("prefix");
  if (range.prefix.find_first_not_of("0123456789") != std::string::npos) {
    throw InputError(from.path("prefix") + " is not made of digits");
  }
  range.traffic_class = class_of(from, settings);
  const double give_up = to_ms(settings.classes[range.traffic_class].give_up);
  range.deadline_ms = from.number("deadline_ms", 100, most_deadline_ms, give_up);
  range.destination = static_cast<ExchangeNumber>(from.number("destination", 0, 65535));
  return range;
}

Converter upstream_of(const JsonObject& from) {
  Converter out;
  out.name = from.text("name");
  out.address = address_of(from, "address");
  out.entry.number = static_cast<ExchangeNumber>(from.number("number", 0, 65535));
  out.circuits = static_cast<std::uint32_t>(from.number("lookups", 1, most_lookups, 32));
  return out;
}

EurekaConfig eureka_of(const JsonObject& from) {
  EurekaConfig out;
  out.registry = address_of(from, "registry");
  out.path = from.text("path", "/eureka");
  out.application = from.text("application");
  out.fetch_every_ms = from.number("fetch_every_ms", 50, 600000, 5000);
  out.own_application = from.text("register_as", "");
  out.own_instance = from.text("instance", "heathturn");
  out.heartbeat_ms = from.number("heartbeat_ms", 50, 600000, 30000);
  return out;
}

}  // namespace

const NumberRange* EnumConfig::range_of(const std::string& number) const {
  const NumberRange* best = nullptr;
  for (const auto& range : numbers) {
    if (!number.starts_with(range.prefix)) continue;
    if (best == nullptr || range.prefix.size() > best->prefix.size()) best = &range;
  }
  return best;
}

EnumConfig parse_enum_config(const std::string& text) {
  rapidjson::Document document;
  parse_json(document, text, "the ENUM file");
  const JsonObject root(document, "");
  EnumConfig config;
  config.listen = address_of(root, "listen");
  const auto suffix = dns::name_from_text(root.text("suffix"));
  if (!suffix || suffix->size() == 1) throw InputError("suffix is not a domain name");
  config.suffix = dns::name_to_text(*suffix);
  config.settings = settings_of(root).settings;
  config.settings_text = settings_text(root);
  if (!config.settings.pools) throw InputError("settings.specifics.network_form is not \"groups\"");

  const auto& numbers = root.array("numbers");
  if (numbers.Empty()) throw InputError("numbers is empty");
  std::set<std::string> prefixes;
  for (rapidjson::SizeType i = 0; i < numbers.Size(); ++i) {
    const JsonObject each(numbers[i], "numbers." + std::to_string(i));
    config.numbers.push_back(range_of(each, config.settings));
    if (!prefixes.insert(config.numbers.back().prefix).second) {
      throw InputError(each.path("prefix") + " stands there twice");
    }
    config.longest_deadline_ms = std::max(config.longest_deadline_ms, config.numbers.back().deadline_ms);
  }
  if (root.find("upstreams") != nullptr) {
    const auto& upstreams = root.array("upstreams");
    std::set<std::string> names;
    for (rapidjson::SizeType i = 0; i < upstreams.Size(); ++i) {
      const JsonObject each(upstreams[i], "upstreams." + std::to_string(i));
      config.upstreams.push_back(upstream_of(each));
      if (!names.insert(config.upstreams.back().name).second) {
        throw InputError(each.path("name") + " stands there twice");
      }
    }
  }
  if (root.find("eureka") != nullptr) config.eureka = eureka_of(root.object("eureka"));
  if (config.upstreams.empty() && !config.eureka) throw InputError("upstreams is missing, and so is eureka");
  if (root.find("console") != nullptr) config.console = root.object("console").text("socket");
  return config;
}

}  // namespace heathturn
