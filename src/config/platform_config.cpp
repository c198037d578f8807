#include "config/platform_config.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <sstream>

#include "config/json_object.hpp"
#include "core/clock.hpp"
#include "core/router.hpp"

namespace heathturn {

using namespace maddershed;

namespace {

/// A JSON scalar as text; null is empty. Throws InputError for an object or array.
std::string scalar_text(const rapidjson::Value& value, const std::string& path) {
  if (value.IsString()) return {value.GetString(), value.GetStringLength()};
  if (value.IsBool()) return value.GetBool() ? "true" : "false";
  if (value.IsInt64()) return std::to_string(value.GetInt64());
  if (value.IsUint64()) return std::to_string(value.GetUint64());
  if (value.IsNull()) return "";
  if (!value.IsDouble()) throw InputError(path + " is not a scalar value");
  std::array<char, 32> buffer{};
  const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value.GetDouble()).ptr;
  return {buffer.data(), end};
}

/// Appends nested settings to `out` as `path=value` lines, the form in which the adapter receives them.
void flatten(const rapidjson::Value& value, const std::string& path, std::string& out) {
  const auto child_path = [&path](const std::string& key) { return path.empty() ? key : path + "." + key; };
  if (value.IsObject()) {
    for (const auto& member : value.GetObject())
      flatten(member.value, child_path(member.name.GetString()), out);
    return;
  }
  if (!value.IsArray()) {
    out += path + "=" + scalar_text(value, path) + "\n";
    return;
  }
  const bool has_nested_values = !value.Empty() && (value[0].IsObject() || value[0].IsArray());
  if (!has_nested_values) {
    out += path + "=";
    for (rapidjson::SizeType i = 0; i < value.Size(); ++i) {
      if (i > 0) out += ',';
      out += scalar_text(value[i], path);
    }
    out += "\n";
    return;
  }
  out += child_path("count") + "=" + std::to_string(value.Size()) + "\n";
  for (rapidjson::SizeType i = 0; i < value.Size(); ++i)
    flatten(value[i], child_path(std::to_string(i)), out);
}

ExchangeState read_state(const JsonObject& endpoint) {
  const auto status = endpoint.text("status");
  if (status == "in_service") return ExchangeState::ready;
  if (status == "terminating") return ExchangeState::draining;
  if (status == "terminated") return ExchangeState::gone;
  throw InputError(endpoint.path("status") + " is not a known state");
}

/// Reads a converter from an endpoint of the topology. `zones` are the zone names, by region number.
Converter read_converter(const JsonObject& endpoint, const std::vector<std::string>& zones) {
  Converter out;
  const auto id = parse_exchange_id(endpoint.text("name"));
  if (!id) throw InputError(endpoint.path("name") + " is not a converter name");
  out.entry.exchange = *id;
  out.name = exchange_id_text(*id);
  out.address = read_address(endpoint, "address");
  out.entry.number = to_exchange_number(static_cast<float>(endpoint.number("group", -1, 65535, -1)));
  out.entry.state = read_state(endpoint);
  const auto zone = endpoint.text("zone", "");
  for (std::size_t i = 0; i < zones.size(); ++i) {
    if (zones[i] == zone) out.entry.region = static_cast<std::uint8_t>(i);
  }
  const double since_ms = endpoint.number("since_ms", 0, 1e15, 0);
  if (since_ms > 0) out.entry.started_at = to_time(since_ms);
  return out;
}

/// Reads the bus events so far, in order. A later entry of a converter replaces an earlier one, and a
/// snapshot replaces all.
void read_known_converters(const JsonObject& known, const std::vector<std::string>& zones,
                           PlatformConfig& config) {
  config.bus_offset = static_cast<std::uint64_t>(known.number("offset", 0, 1e18));
  std::map<ExchangeId, Converter> converters;
  const auto& batch = known.array("batch");
  for (rapidjson::SizeType i = 0; i < batch.Size(); ++i) {
    const JsonObject event(batch[i], known.path("batch." + std::to_string(i)));
    if (event.find("topology") == nullptr) continue;
    const auto topology = event.object("topology");
    const auto* snapshot = topology.find("snapshot");
    if (snapshot != nullptr && snapshot->IsBool() && snapshot->GetBool()) converters.clear();
    const auto& endpoints = topology.array("endpoints");
    for (rapidjson::SizeType j = 0; j < endpoints.Size(); ++j) {
      const JsonObject endpoint(endpoints[j], topology.path("endpoints." + std::to_string(j)));
      const auto converter = read_converter(endpoint, zones);
      converters[converter.entry.exchange] = converter;
    }
  }
  for (auto& [id, converter] : converters) config.known_converters.push_back(converter);
}

/// The scalars of a list as texts; empty when the key is missing.
std::vector<std::string> read_texts(const JsonObject& from, const char* key) {
  std::vector<std::string> out;
  if (from.find(key) == nullptr) return out;
  for (const auto& each : from.array(key).GetArray()) out.push_back(scalar_text(each, from.path(key)));
  return out;
}

}  // namespace

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw InputError("cannot read " + path);
  std::ostringstream contents;
  contents << in.rdbuf();
  return contents.str();
}

std::optional<ExchangeId> parse_exchange_id(const std::string& text) {
  if (text.size() != 10 || !text.starts_with("s-")) return std::nullopt;
  ExchangeId id;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data() + 2, end, id.value, 16);
  if (error != std::errc{} || stop != end) return std::nullopt;
  return id;
}

std::string exchange_id_text(ExchangeId id) {
  std::array<char, 16> buffer{};
  std::snprintf(buffer.data(), buffer.size(), "s-%08x", id.value);
  return buffer.data();
}

Address read_address(const JsonObject& from, const char* key) {
  const auto parsed = Address::parse(from.text(key));
  if (!parsed) throw InputError(from.path(key) + " is not an address with a port");
  return *parsed;
}

std::string settings_text(const JsonObject& root) {
  std::string lines;
  flatten(root.object("settings").value(), "", lines);
  return lines;
}

ParsedSettings read_settings(const JsonObject& root) {
  const auto lines = settings_text(root);
  try {
    auto parsed = parse_settings(lines);
    // Invariant: the release wait includes the socket slack, because all time limits on sockets are longer by
    // it and the module plans its retries by the release wait.
    parsed.settings.release_wait += to_duration(socket_slack_ms);
    (void)CallController(parsed.settings, 0);  // checks what parse_settings() does not
    return parsed;
  } catch (const std::exception& error) {
    throw InputError(std::string("settings: ") + error.what());
  }
}

PlatformConfig parse_platform_config(const std::string& text) {
  rapidjson::Document document;
  parse_json(document, text, "the configuration");
  const JsonObject root(document, "");
  PlatformConfig config;
  config.name = root.text("name", "heathturn");
  config.listen = read_address(root, "listen");
  const auto seed = root.text("seed", "0");
  const char* end = seed.data() + seed.size();
  if (std::from_chars(seed.data(), end, config.seed, 16).ptr != end) {
    throw InputError("seed is not a hexadecimal number");
  }
  if (root.find("limits") != nullptr) {
    const auto limits = root.object("limits");
    config.max_sockets = static_cast<std::size_t>(limits.number("sockets", 16, 1e7, 1024));
    config.max_memory_mb = static_cast<std::size_t>(limits.number("memory_mb", 8, 1e6, 2048));
  }
  // Limits what peers can make the program hold to the memory limit: half of it for set-ups, whose
  // descriptions are held twice while they wait for a connection, and a quarter for data that peers leave
  // unread.
  const auto quarter_bytes = config.max_memory_mb * 1024 * 1024 / 4;
  config.max_open_requests = std::clamp<std::size_t>(quarter_bytes / max_line_bytes, 64, 20000);
  config.max_unsent_bytes =
      std::clamp<std::size_t>(quarter_bytes / config.max_sockets, 2 * max_line_bytes, std::size_t{1} << 20);
  config.max_total_unsent_bytes = quarter_bytes;
  if (root.find("bus") != nullptr) config.bus = read_address(root, "bus");

  const auto settings = root.object("settings");
  auto parsed = read_settings(root);
  config.settings = std::move(parsed.settings);
  config.report_columns = std::move(parsed.report_columns);
  config.settings_text = settings_text(root);
  for (std::uint32_t i = 0; i < config.settings.classes.size(); ++i) {
    const auto& each = config.settings.classes[i];
    config.class_indexes[each.name] = i;
    config.longest_give_up_ms = std::max(config.longest_give_up_ms, to_ms(each.give_up_after));
  }
  if (settings.find("limits") != nullptr) {
    config.connect_timeout_ms =
        settings.object("limits").number("connect_timeout_us", 1000, 6e7, 500000) / 1000;
  }
  if (settings.find("tenants") != nullptr) {
    const auto& tenants = settings.array("tenants");
    for (rapidjson::SizeType i = 0; i < tenants.Size(); ++i) {
      const JsonObject each(tenants[i], settings.path("tenants." + std::to_string(i)));
      config.tenant_names.insert(each.text("name"));
    }
  }
  if (root.find("known") != nullptr)
    read_known_converters(root.object("known"), read_texts(settings, "areas"), config);
  return config;
}

}  // namespace heathturn
