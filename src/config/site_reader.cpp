#include "config/site_reader.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <unordered_map>

#include "config/sources.hpp"
#include "core/clock.hpp"
#include "core/router.hpp"
#include "enum/dns.hpp"
#include "net/tls/context.hpp"

namespace heathturn {

using namespace maddershed;

namespace {

namespace pb = google::protobuf;

// Units of the limits and defaults below, in ms.
constexpr double second_ms = 1000, minute_ms = 60000;
// Limits of a class's give-up time and of a policy's deadline.
constexpr double min_deadline_ms = 100, max_deadline_ms = 60 * second_ms;
constexpr std::size_t max_name_length = 64;
constexpr std::size_t max_prefix_digits = 32;
constexpr std::uint32_t default_member_requests = 32;  // look-ups in flight to one member
constexpr double default_burst_seconds = 0.1;          // burst per rate, for a rate without a burst
constexpr double share_sum_tolerance = 1e-6;           // for rounding errors
constexpr const char* name_format = "1 to 64 letters, digits, '.', '_', ':' or '-'";

/// A message of a source file with its location, and its key as shown to the operator.
struct Node {
  const SourceFile* file = nullptr;
  std::uint32_t file_index = 0;  ///< index into EnumConfig::files
  const pb::Message* message = nullptr;
  const pb::TextFormat::ParseInfoTree* tree = nullptr;  ///< locations of the fields; null: not from a file
  std::string key;
  SourceLocation location;

  [[nodiscard]] const pb::FieldDescriptor* field(const char* name) const {
    return message->GetDescriptor()->FindFieldByName(name);
  }
  [[nodiscard]] bool has(const char* name) const {
    return message->GetReflection()->HasField(*message, field(name));
  }
  /// Location of a field, or of one element of it; that of the message when the field is not set.
  [[nodiscard]] SourceLocation location_of(const char* name, int index = -1) const {
    if (tree == nullptr) return location;
    const auto at = tree->GetLocation(field(name), index);
    if (at.line < 0) return location;
    return {file_index, static_cast<std::uint32_t>(at.line) + 1, static_cast<std::uint32_t>(at.column) + 1};
  }
  [[nodiscard]] std::string text(const char* name) const {
    return message->GetReflection()->GetString(*message, field(name));
  }
  /// Key of a field, as in "pool.north.member".
  [[nodiscard]] std::string path(const char* name) const { return key.empty() ? name : key + "." + name; }
  /// The message in a field; `index` selects the element of a repeated field and is -1 otherwise.
  [[nodiscard]] Node child(const char* name, int index) const {
    const auto* descriptor = field(name);
    const auto* reflection = message->GetReflection();
    Node out;
    out.file = file;
    out.file_index = file_index;
    out.message = index < 0 ? &reflection->GetMessage(*message, descriptor)
                            : &reflection->GetRepeatedMessage(*message, descriptor, index);
    out.tree = tree == nullptr ? nullptr : tree->GetTreeForNested(descriptor, index);
    out.location = location_of(name, index);
    out.key = path(name);
    return out;
  }
};

/// Defined names of one kind, each with its index and location.
class NameTable {
 public:
  struct Entry {
    std::uint32_t index;
    SourceLocation location;
  };
  [[nodiscard]] const Entry* find(const std::string& name) const {
    const auto it = entries_.find(name);
    return it == entries_.end() ? nullptr : &it->second;
  }
  /// Adds a name. Returns the existing entry when the name is already defined, else nullptr.
  const Entry* add(const std::string& name, std::uint32_t index, SourceLocation location) {
    const auto [it, inserted] = entries_.try_emplace(name, Entry{index, location});
    return inserted ? nullptr : &it->second;
  }
  /// The names separated by commas, shortened after the first ones.
  [[nodiscard]] std::string joined() const {
    std::string out;
    std::size_t shown = 0;
    for (const auto& [name, entry] : entries_) {
      if (++shown > 8) return out + " and more";
      out += (out.empty() ? "" : ", ") + name;
    }
    return out;
  }

 private:
  std::map<std::string, Entry> entries_;
};

/// Whether every span lies within one of `covering`. The spans of each list are sorted and do not overlap or
/// touch.
bool is_covered(const std::vector<units::WeekSpan>& spans, const std::vector<units::WeekSpan>& covering) {
  return std::all_of(spans.begin(), spans.end(), [&covering](const auto& span) {
    return std::any_of(covering.begin(), covering.end(),
                       [&span](const auto& outer) { return outer.from <= span.from && span.to <= outer.to; });
  });
}

/// Reads the sources of one site. Errors are collected, so that one run finds as many as possible: an invalid
/// value is replaced by its default.
class SiteReader {
 public:
  SiteReader(const std::string& path, Diagnostics& diagnostics,
             std::vector<ResolvedSetting>* resolved_settings)
      : diagnostics_(diagnostics),
        resolved_settings_(resolved_settings),
        sources_(load_sources(path, diagnostics)) {
    for (std::uint32_t i = 0; i < sources_.files.size(); ++i) {
      const auto& source = *sources_.files[i];
      config_.files.push_back(source.name);
      Node root;
      root.file = &source;
      root.file_index = i;
      root.message = &source.message;
      root.tree = source.locations.get();
      root.location = {i, 1, 1};
      roots_.push_back(std::move(root));
    }
  }

  EnumConfig read() {
    if (!sources_.complete) return std::move(config_);
    read_converters();
    if (config_.has_enum_frontend) read_frontend();
    for_each("class", [this](const Node& node) { read_class(node); });
    for_each("tenant", [this](const Node& node) { read_tenant(node); });
    for_each("registry", [this](const Node& node) { read_registry(node); });
    for_each("pool", [this](const Node& node) { read_pool(node); });
    read_decisions();
    read_handshakes();
    read_policies();
    for_each("route", [this](const Node& node) { read_route(node); });
    check_not_empty();
    find_unreachable_routes();
    warn_about_unused();
    finish();
    return std::move(config_);
  }

 private:
  // ---- Diagnostics and resolved settings ----------------------------------------------------------------

  void add_diagnostic(const SourceLocation& location, const std::string& key, const std::string& text,
                      const std::string& expected = "", bool is_warning = false) {
    diagnostics_.add({config_.files[location.file], static_cast<int>(location.line),
                      static_cast<int>(location.column), key, text, expected, is_warning});
  }
  [[nodiscard]] std::string full_location_text(const SourceLocation& location) const {
    return location_text(config_, location) + ":" + std::to_string(location.column);
  }
  void record(const std::string& key, const std::string& value, const std::string& origin) {
    if (resolved_settings_ != nullptr) resolved_settings_->push_back({key, value, origin});
  }
  /// Records the value of one field, with its location in the file as origin if it is set there.
  void record(const Node& node, const char* field, const std::string& value) {
    if (resolved_settings_ == nullptr) return;
    record(node.path(field), value,
           node.has(field) ? location_text(config_, node.location_of(field)) : "default");
  }

  // ---- Values ------------------------------------------------------------------------------------------

  using Parser = units::Parsed<double> (*)(const std::string&);
  using Formatter = std::string (*)(double);
  /// Reads a text with a unit. Values outside [min, max] are errors; `fallback` is also the default.
  double read_quantity(const Node& node, const char* field, Parser parse, Formatter format,
                       const char* expected, double min, double max, double fallback) {
    if (!node.has(field)) {
      record(node, field, format(fallback));
      return fallback;
    }
    const auto text = node.text(field);
    const auto parsed = parse(text);
    if (!parsed.value) {
      add_diagnostic(node.location_of(field), node.path(field), "\"" + text + "\" " + parsed.error, expected);
      return fallback;
    }
    if (*parsed.value < min || *parsed.value > max) {
      add_diagnostic(node.location_of(field), node.path(field), "\"" + text + "\" is out of range",
                     format(min) + " to " + format(max));
      return fallback;
    }
    record(node, field, format(*parsed.value));
    return *parsed.value;
  }
  /// All durations are in ms.
  double read_duration(const Node& node, const char* field, double min, double max, double fallback) {
    return read_quantity(node, field, units::parse_duration, units::duration_text, units::duration_format,
                         min, max, fallback);
  }
  double read_share(const Node& node, const char* field, double min, double fallback) {
    return read_quantity(node, field, units::parse_share, units::share_text, units::share_format, min, 1,
                         fallback);
  }
  /// `unset_text` stands for the fallback in the resolved settings, if given.
  std::uint32_t read_count(const Node& node, const char* field, std::uint32_t min, std::uint32_t max,
                           std::uint32_t fallback, const char* unset_text = nullptr) {
    if (!node.has(field)) {
      record(node, field, unset_text != nullptr ? unset_text : std::to_string(fallback));
      return fallback;
    }
    const auto value = node.message->GetReflection()->GetUInt32(*node.message, node.field(field));
    if (value < min || value > max) {
      add_diagnostic(node.location_of(field), node.path(field), std::to_string(value) + " is out of range",
                     std::to_string(min) + " to " + std::to_string(max));
      return fallback;
    }
    record(node, field, std::to_string(value));
    return value;
  }
  double read_number(const Node& node, const char* field, double max, double fallback) {
    if (!node.has(field)) {
      record(node, field, units::number_text(fallback));
      return fallback;
    }
    const double value = node.message->GetReflection()->GetDouble(*node.message, node.field(field));
    if (!(value >= 0 && value <= max)) {
      add_diagnostic(node.location_of(field), node.path(field),
                     units::number_text(value) + " is out of range", "0 to " + units::number_text(max));
      return fallback;
    }
    record(node, field, units::number_text(value));
    return value;
  }
  std::string read_text(const Node& node, const char* field, const std::string& fallback) {
    const auto value = node.has(field) ? node.text(field) : fallback;
    record(node, field, value);
    return value;
  }
  /// Returns an empty text and adds an error when the field is missing or empty.
  std::string required_text(const Node& node, const char* field, const char* expected) {
    if (!node.has(field) || node.text(field).empty()) {
      add_diagnostic(node.has(field) ? node.location_of(field) : node.location, node.path(field),
                     node.has(field) ? "it is empty" : "it is missing", expected);
      return "";
    }
    return node.text(field);
  }
  std::optional<Address> required_address(const Node& node, const char* field) {
    constexpr const char* form = "an IPv4 address with a port such as \"127.0.0.1:53\"";
    const auto given = required_text(node, field, form);
    if (given.empty()) return std::nullopt;
    const auto parsed = Address::parse(given);
    if (!parsed) {
      add_diagnostic(node.location_of(field), node.path(field),
                     "\"" + given + "\" is not an address with a port", form);
    }
    record(node, field, given);
    return parsed;
  }
  /// Reads a name that must be well formed and unique, and appends it to the node's key.
  bool read_name(Node& node, NameTable& names, std::uint32_t index, std::string& out) {
    const auto given = required_text(node, "name", name_format);
    if (given.empty()) return false;
    const auto is_allowed = [](char c) {
      return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
             std::string("._:-").find(c) != std::string::npos;
    };
    if (given.size() > max_name_length || !std::all_of(given.begin(), given.end(), is_allowed)) {
      add_diagnostic(node.location_of("name"), node.path("name"), "\"" + given + "\" is not a valid name",
                     name_format);
      return false;
    }
    if (const auto* first = names.add(given, index, node.location)) {
      add_diagnostic(node.location_of("name"), node.path("name"),
                     "\"" + given + "\" is already defined at " + full_location_text(first->location),
                     "a unique name");
      return false;
    }
    node.key += "." + given;
    out = given;
    return true;
  }
  /// Returns the index of the name in a field, or no_index and an error when nothing has this name.
  std::uint32_t resolve_reference(const Node& node, const char* field, const char* kind,
                                  const NameTable& names) {
    const auto given = node.text(field);
    const auto* found = names.find(given);
    if (found == nullptr) {
      const auto list = names.joined();
      add_diagnostic(node.location_of(field), node.path(field),
                     std::string("no ") + kind + " is named \"" + given + "\"",
                     list.empty() ? std::string("a ") + kind + " that is defined" : "one of " + list);
      return no_index;
    }
    return found->index;
  }
  /// Adds an error unless the prefix consists of digits and is short enough.
  bool check_prefix(const SourceLocation& location, const std::string& key, const std::string& prefix) {
    if (prefix.size() <= max_prefix_digits && prefix.find_first_not_of("0123456789") == std::string::npos)
      return true;
    add_diagnostic(location, key, "\"" + prefix + "\" is not a number prefix", "at most 32 digits");
    return false;
  }

  /// Visits the messages of a repeated top-level field, in the order of the files.
  void for_each(const char* field, const std::function<void(const Node&)>& visit) {
    for (const auto& root : roots_) {
      const auto* descriptor = root.field(field);
      const int size = root.message->GetReflection()->FieldSize(*root.message, descriptor);
      for (int i = 0; i < size; ++i) visit(root.child(field, i));
    }
  }
  /// The file that sets a top-level field, or nullptr. A second file that sets it is an error.
  const Node* find_single(const char* field) {
    const Node* found = nullptr;
    for (const auto& root : roots_) {
      if (!root.has(field)) continue;
      if (found != nullptr) {
        add_diagnostic(root.location_of(field), field,
                       "it is already set at " + full_location_text(found->location_of(field)),
                       "only one file to set it");
        continue;
      }
      found = &root;
    }
    return found;
  }

  // ---- The site ----------------------------------------------------------------------------------------

  /// A site that only configures the platform's converters has no ENUM frontend.
  void read_converters() {
    const auto* from = find_single("converters");
    if (from == nullptr) return;
    const auto node = from->child("converters", -1);
    if (node.has("tls")) config_.converter_tls = read_tls(node.child("tls", -1));
    config_.has_enum_frontend = std::any_of(roots_.begin(), roots_.end(), [](const Node& root) {
      const auto& message = static_cast<const config::v1::Site&>(*root.message);
      return message.has_listen() || message.has_suffix() || message.class__size() > 0 ||
             message.pool_size() > 0 || message.route_size() > 0;
    });
  }

  void read_frontend() {
    const auto& main = roots_.back();
    const auto* from = find_single("listen");
    if (const auto at = required_address(from != nullptr ? *from : main, "listen")) config_.listen = *at;
    from = find_single("suffix");
    const auto& at = from != nullptr ? *from : main;
    const auto given = required_text(at, "suffix", "a domain name such as \"enum.example.org\"");
    if (!given.empty()) {
      const auto suffix = dns::name_from_text(given);
      if (!suffix || suffix->size() == 1) {
        add_diagnostic(at.location_of("suffix"), "suffix", "\"" + given + "\" is not a domain name",
                       "one such as \"enum.example.org\"");
      } else {
        config_.suffix = dns::name_to_text(*suffix);
      }
      record(at, "suffix", given);
    }
    from = find_single("console");
    config_.console_path = read_text(from != nullptr ? *from : main, "console", "");
    from = find_single("time_zone");
    const auto zone = read_text(from != nullptr ? *from : main, "time_zone", "utc");
    const auto parsed = units::parse_time_zone(zone);
    if (parsed.value) {
      config_.time_zone = *parsed.value;
    } else {
      add_diagnostic(from->location_of("time_zone"), "time_zone", "\"" + zone + "\" " + parsed.error,
                     units::time_zone_format);
    }
  }

  void read_class(Node node) {
    ClassSettings out;
    const auto index = static_cast<std::uint32_t>(config_.settings.classes.size());
    if (!read_name(node, classes_, index, out.name)) return;
    out.worth = read_number(node, "worth", 1e6, 1);
    out.late_worth_share = read_share(node, "late_share", 0, 0);
    const double aim = read_duration(node, "aim", 1, 60 * second_ms, second_ms);
    const double give_up = read_duration(node, "give_up", min_deadline_ms, max_deadline_ms, 2 * second_ms);
    if (aim > give_up) {
      add_diagnostic(
          node.location_of(node.has("give_up") ? "give_up" : "aim"), node.path("give_up"),
          units::duration_text(give_up) + " is shorter than the aim of " + units::duration_text(aim),
          "the aim or longer");
    }
    out.set_up_objective = to_duration(aim);
    out.give_up_after = to_duration(give_up);
    const auto& message = static_cast<const config::v1::Class&>(*node.message);
    for (int i = 0; i < message.prefix_size(); ++i) {
      const auto& prefix = message.prefix(i);
      const auto location = node.location_of("prefix", i);
      if (!check_prefix(location, node.path("prefix"), prefix)) continue;
      if (const auto* first = class_prefixes_.add(prefix, index, location)) {
        add_diagnostic(location, node.path("prefix"),
                       "\"" + prefix + "\" is already listed at " + full_location_text(first->location),
                       "each prefix in one class only");
        continue;
      }
      config_.class_prefixes.push_back({prefix, index});
      record(node.path("prefix"), prefix, location_text(config_, location));
    }
    config_.settings.classes.push_back(std::move(out));
  }

  void read_tenant(Node node) {
    Tenant out;
    out.location = node.location;
    const auto index = static_cast<std::uint32_t>(config_.tenants.size());
    if (!read_name(node, tenants_, index, out.name)) return;
    const auto& message = static_cast<const config::v1::Tenant&>(*node.message);
    constexpr const char* form = "an IPv4 network such as \"192.0.2.0/24\"";
    if (message.network_size() == 0)
      add_diagnostic(node.location, node.path("network"), "it is missing", form);
    for (int i = 0; i < message.network_size(); ++i) {
      const auto location = node.location_of("network", i);
      const auto network = parse_network(message.network(i));
      if (!network) {
        add_diagnostic(location, node.path("network"), "\"" + message.network(i) + "\" is not a network",
                       form);
        continue;
      }
      const auto key = std::to_string(network->host) + "/" + std::to_string(network->prefix_length);
      if (const auto* first = networks_.add(key, index, location)) {
        add_diagnostic(
            location, node.path("network"),
            "\"" + message.network(i) + "\" is already listed at " + full_location_text(first->location),
            "each network with one tenant only");
        continue;
      }
      out.networks.push_back(*network);
      record(node.path("network"), message.network(i), location_text(config_, location));
    }
    if (node.has("class")) out.traffic_class = resolve_reference(node, "class", "class", classes_);
    record(node, "class", node.has("class") ? node.text("class") : "the number's");
    config_.tenants.push_back(std::move(out));
  }

  /// Parses "192.0.2.0/24"; without a length it is a single address. Bits beyond the length must be 0.
  static std::optional<Tenant::Network> parse_network(const std::string& given) {
    const auto slash = given.find('/');
    const auto length = slash == std::string::npos ? std::string("32") : given.substr(slash + 1);
    if (length.empty() || length.size() > 2 || length.find_first_not_of("0123456789") != std::string::npos ||
        std::stoi(length) > 32) {
      return std::nullopt;
    }
    const auto host = Address::parse(given.substr(0, slash) + ":0");
    if (!host) return std::nullopt;
    Tenant::Network out{host->host, std::stoi(length)};
    const auto mask = out.prefix_length == 0 ? 0U : ~0U << (32 - out.prefix_length);
    if ((out.host & ~mask) != 0) return std::nullopt;
    return out;
  }

  void read_registry(Node node) {
    EurekaConfig out;
    out.location = node.location;
    if (!read_name(node, registries_, static_cast<std::uint32_t>(config_.registries.size()), out.name))
      return;
    if (const auto at = required_address(node, "address")) out.address = *at;
    out.path = read_text(node, "path", "/eureka");
    out.fetch_every_ms = read_duration(node, "fetch_every", 50, 10 * minute_ms, 5 * second_ms);
    if (node.has("register")) {
      const auto own = node.child("register", -1);
      out.own_application = required_text(own, "application", "the application's name");
      record(own, "application", out.own_application);
      out.own_instance = read_text(own, "instance", "heathturn");
      out.heartbeat_ms = read_duration(own, "heartbeat", 50, 10 * minute_ms, 30 * second_ms);
    }
    config_.registries.push_back(std::move(out));
  }

  void read_pool(Node node) {
    Pool out;
    out.location = node.location;
    const auto index = static_cast<std::uint32_t>(config_.pools.size());
    if (!read_name(node, pools_, index, out.name)) return;
    out.max_open_requests = read_count(node, "most_requests", 1, 1000000, 0, "no limit");
    const auto& message = static_cast<const config::v1::Pool&>(*node.message);
    out.zones.assign(message.zone().begin(), message.zone().end());
    if (!out.zones.empty()) {
      std::string list;
      for (const auto& zone : out.zones) list += (list.empty() ? "" : ", ") + zone;
      record(node.path("zone"), list, location_text(config_, node.location_of("zone", 0)));
    }
    if (message.has_tls()) out.tls = read_tls(node.child("tls", -1));
    double weights = 0;
    for (int i = 0; i < message.member_size(); ++i) {
      auto child = node.child("member", i);
      Member member;
      auto& converter = member.converter;
      if (!read_name(child, members_, 0, converter.name)) continue;
      if (const auto at = required_address(child, "address")) converter.address = *at;
      member.weight = read_number(child, "weight", 1000, 1);
      member.zone = read_text(child, "zone", "");
      converter.circuits = read_count(child, "most_requests", 1, 10000, default_member_requests);
      weights += member.weight;
      out.members.push_back(std::move(member));
    }
    if (message.has_from_registry()) {
      const auto from = node.child("from_registry", -1);
      RegistrySource source;
      if (!required_text(from, "registry", "the name of a registry").empty()) {
        source.registry = resolve_reference(from, "registry", "registry", registries_);
        if (source.registry != no_index) used_registries_.insert(source.registry);
        record(from, "registry", from.text("registry"));
      }
      source.application = required_text(from, "application", "the application's name");
      record(from, "application", source.application);
      const auto wanted = read_count(from, "number", 0, 65535, no_index, "any");
      if (wanted != no_index) source.number = static_cast<std::int32_t>(wanted);
      source.weight = read_number(from, "weight", 1000, 1);
      weights += source.weight;
      out.from_registry = std::move(source);
    }
    if (message.member_size() == 0 && !message.has_from_registry()) {
      add_diagnostic(node.location, node.path("member"), "the pool has no members",
                     "a member, or from_registry");
    } else if (weights <= 0 && !diagnostics_.has_errors()) {
      add_diagnostic(node.location, node.path("member"), "all weights are 0",
                     "a member with a weight above 0");
    }
    config_.pools.push_back(std::move(out));
  }

  /// Resolves a path relative to the file that contains it.
  [[nodiscard]] std::string resolve_path(const Node& node, const std::string& path) const {
    if (path.empty() || path.starts_with('/')) return path;
    const auto slash = node.file->name.rfind('/');
    return slash == std::string::npos ? path : node.file->name.substr(0, slash + 1) + path;
  }

  tls::TlsConfig read_tls(const Node& node) {
    tls::TlsConfig out;
    const auto& message = static_cast<const config::v1::Tls&>(*node.message);
    for (const auto& each : message.trust()) out.trust.push_back(resolve_path(node, each));
    out.name = read_text(node, "name", "");
    for (int i = 0; i < message.pin_size(); ++i) {
      const auto pin = tls::parse_pin(message.pin(i));
      if (pin.empty()) {
        add_diagnostic(node.location_of("pin", i), node.path("pin"),
                       "\"" + message.pin(i) + "\" is not a valid pin",
                       "\"sha256/\" and 32 bytes in base 64");
      }
      out.pins.push_back(pin);
    }
    out.certificate = resolve_path(node, read_text(node, "certificate", ""));
    out.key = resolve_path(node, read_text(node, "key", ""));
    if (out.certificate.empty() != out.key.empty()) {
      add_diagnostic(node.location, node.path(out.key.empty() ? "key" : "certificate"), "it is missing",
                     "a certificate together with its key");
    }
    out.crl = resolve_path(node, read_text(node, "crl", ""));
    for (int i = 0; i < message.alpn_size(); ++i) {
      if (message.alpn(i).empty() || message.alpn(i).size() > 255) {
        add_diagnostic(node.location_of("alpn", i), node.path("alpn"), "it is not a protocol name",
                       "1 to 255 bytes");
      }
      out.alpn.push_back(message.alpn(i));
    }
    // Whether a field is set to `other`, the alternative of its default; other values are errors.
    const auto is_alternative = [&](const char* field, const char* default_value, const char* other) {
      const auto given = read_text(node, field, default_value);
      if (given != default_value && given != other) {
        add_diagnostic(node.location_of(field), node.path(field), "\"" + given + "\" is not a known value",
                       std::string("\"") + default_value + "\" or \"" + other + "\"");
      }
      return given == other;
    };
    out.tls13_only = is_alternative("lowest", "1.2", "1.3");
    out.verify = !is_alternative("verification", "full", "none");
    if (!out.verify) {
      add_diagnostic(node.location_of("verification"), node.path("verification"),
                     "certificates are not verified: anyone can impersonate the server", "", true);
    } else if (out.trust.empty()) {
      add_diagnostic(node.location, node.path("trust"), "it is missing",
                     "a file with the trusted certificate authorities");
    }
    out.handshake_timeout_ms = read_duration(node, "handshake", 50, 30 * second_ms, 2 * second_ms);
    if (node.has("most_age"))
      out.max_connection_age_ms = read_duration(node, "most_age", second_ms, 24 * 60 * minute_ms, 0);
    out.connections_per_member = read_count(node, "connections", 1, 64, 2);
    return out;
  }

  void read_handshakes() {
    static const config::v1::Handshakes empty;
    Node node;
    node.message = &empty;
    node.key = "handshakes";
    if (const auto* from = find_single("handshakes")) node = from->child("handshakes", -1);
    auto& out = config_.handshakes;
    out.router_count = config_.settings.controller_count;
    out.processor_share = read_share(node, "share", 0.01, out.processor_share);
    out.full_cost_ms = read_duration(node, "full_cost", 0.01, second_ms, out.full_cost_ms);
    out.resumed_cost_ms = read_duration(node, "resumed_cost", 0.01, second_ms, out.resumed_cost_ms);
    out.max_in_flight = read_count(node, "most_in_all", 1, 1000, out.max_in_flight);
    out.slow_handshake_ms = read_duration(node, "slow", 1, 10 * second_ms, out.slow_handshake_ms);
  }

  void read_decisions() {
    static const config::v1::Decisions empty;
    Node node;
    node.message = &empty;
    node.key = "decisions";
    if (const auto* from = find_single("decisions")) node = from->child("decisions", -1);
    auto& out = config_.settings;
    out.uses_pools = true;
    out.controller_count = read_count(node, "routers", 1, 1000000, 1);
    out.attempt_limit = read_count(node, "attempts", 1, max_attempts_per_request, max_attempts_per_request);
    // Invariant: the release wait includes the socket slack, because all time limits on sockets are longer by
    // it and the module plans its retries by the release wait.
    out.release_wait =
        to_duration(read_duration(node, "release_wait", 0, 60 * second_ms, 0) + socket_slack_ms);
    out.batch_interval = to_duration(read_duration(node, "step", 0, second_ms, 5));
    out.cancelling = true;
    if (node.has("cancelling")) {
      out.cancelling = node.message->GetReflection()->GetBool(*node.message, node.field("cancelling"));
    }
    record(node, "cancelling", out.cancelling ? "true" : "false");
    out.start_capacity = read_share(node, "start_capacity", 0.01, 1);
    out.cold_time = to_duration(read_duration(node, "cold_time", 0, 10 * minute_ms, 0));
  }

  // ---- Policies ----------------------------------------------------------------------------------------

  static constexpr const char* policy_field_names[] = {"deadline",  "attempts", "retry_wait",
                                                       "most_open", "rate",     "burst"};
  static constexpr std::size_t policy_field_count = std::size(policy_field_names);

  /// A policy while its base policies are being resolved.
  struct PolicyDraft {
    Node node;
    std::uint32_t base = no_index;
    enum { unresolved, resolving, resolved } state = unresolved;
    Policy policy;
    std::string origins[policy_field_count];  ///< empty: default; in the order of policy_field_names
  };

  void read_policies() {
    // Index 0 is the built-in default policy, unless a file defines one named "default".
    drafts_.emplace_back();
    drafts_[0].policy.name = "default";
    drafts_[0].node.message = &default_policy_;
    drafts_[0].node.key = "policy.default";
    bool defined = false;
    for_each("policy", [this, &defined](Node node) {
      const auto is_default = node.has("name") && node.text("name") == "default" && !defined;
      const auto index = is_default ? 0 : static_cast<std::uint32_t>(drafts_.size());
      PolicyDraft draft;
      if (!read_name(node, policies_, index, draft.policy.name)) return;
      draft.policy.location = node.location;
      draft.node = std::move(node);
      if (is_default) {
        defined = true;
        drafts_[0] = std::move(draft);
      } else {
        drafts_.push_back(std::move(draft));
      }
    });
    if (!defined) policies_.add("default", 0, SourceLocation{});
    for (auto& draft : drafts_) {
      if (draft.node.has("base")) draft.base = resolve_reference(draft.node, "base", "policy", policies_);
      if (draft.base != no_index) used_policies_.insert(draft.base);
    }
    for (std::uint32_t i = 0; i < drafts_.size(); ++i) {
      std::vector<std::uint32_t> chain;
      resolve_policy(i, chain);
    }
    for (auto& draft : drafts_) {
      check_policy(draft);
      record_policy(draft);
      config_.policies.push_back(draft.policy);
    }
  }

  /// Resolves the base policies first. `chain` holds the policies being resolved; a repetition is a cycle.
  void resolve_policy(std::uint32_t index, std::vector<std::uint32_t>& chain) {
    auto& draft = drafts_[index];
    if (draft.state == PolicyDraft::resolved) return;
    if (draft.state == PolicyDraft::resolving) {
      std::string cycle;
      for (auto at = std::find(chain.begin(), chain.end(), index); at != chain.end(); ++at) {
        cycle += drafts_[*at].policy.name + " -> ";
      }
      const auto& last = drafts_[chain.back()].node;
      add_diagnostic(last.location_of("base"), last.path("base"),
                     "the base policies form a cycle: " + cycle + draft.policy.name,
                     "a base that does not lead back to it");
      return;
    }
    draft.state = PolicyDraft::resolving;
    chain.push_back(index);
    if (draft.base != no_index) {
      resolve_policy(draft.base, chain);
      const auto& base = drafts_[draft.base];
      auto inherited = base.policy;
      inherited.name = draft.policy.name;
      inherited.location = draft.policy.location;
      draft.policy = std::move(inherited);
      for (std::size_t i = 0; i < policy_field_count; ++i) {
        draft.origins[i] =
            base.origins[i].empty() ? "" : "policy " + base.policy.name + ", " + base.origins[i];
      }
    }
    chain.pop_back();
    draft.state = PolicyDraft::resolved;
    apply_own_values(draft);
  }

  /// Overrides the inherited values with those that the policy sets itself.
  void apply_own_values(PolicyDraft& draft) {
    auto& out = draft.policy;
    const auto& node = draft.node;
    // Recorded later by record_policy(), together with the inherited values.
    auto* saved = std::exchange(resolved_settings_, nullptr);
    out.deadline_ms = read_duration(node, "deadline", min_deadline_ms, max_deadline_ms, out.deadline_ms);
    out.max_attempts = read_count(node, "attempts", 1, max_attempts_per_request, out.max_attempts);
    out.retry_wait_ms = read_duration(node, "retry_wait", 0, 60 * second_ms, out.retry_wait_ms);
    out.max_open_requests = read_count(node, "most_open", 1, 10000, out.max_open_requests);
    out.rate_per_second = read_quantity(node, "rate", units::parse_rate, units::rate_text, units::rate_format,
                                        1.0 / 3600, 1e6, out.rate_per_second);
    const bool new_rate = node.has("rate") && !node.has("burst");
    out.burst = read_count(node, "burst", 1, 1000000, new_rate ? 0 : static_cast<std::uint32_t>(out.burst));
    if (out.burst == 0 && out.rate_per_second > 0)
      out.burst = std::max(1.0, std::floor(out.rate_per_second * default_burst_seconds));
    resolved_settings_ = saved;
    for (std::size_t i = 0; i < policy_field_count; ++i) {
      if (node.has(policy_field_names[i]))
        draft.origins[i] = location_text(config_, node.location_of(policy_field_names[i]));
    }
  }

  void check_policy(const PolicyDraft& draft) {
    const auto& policy = draft.policy;
    const auto& node = draft.node;
    const char* blamed_field = "name";
    for (const char* each : {"attempts", "retry_wait", "deadline"}) {
      if (node.has(each)) blamed_field = each;
    }
    if (policy.max_attempts > config_.settings.attempt_limit && policy.location.line > 0 &&
        node.has("attempts")) {
      add_diagnostic(node.location_of("attempts"), node.path("attempts"),
                     std::to_string(policy.max_attempts) + " is above decisions.attempts, which is " +
                         std::to_string(config_.settings.attempt_limit),
                     "at most that many");
    }
    if (node.has("burst") && policy.rate_per_second == 0) {
      add_diagnostic(node.location_of("burst"), node.path("burst"), "it has no effect without a rate",
                     "a rate in this policy or its base");
    }
    double deadline = policy.deadline_ms;
    for (const auto& each : config_.settings.classes) {
      if (policy.deadline_ms == 0) {
        deadline = deadline == 0 ? to_ms(each.give_up_after) : std::min(deadline, to_ms(each.give_up_after));
      }
    }
    const double waits = policy.retry_wait_ms * (policy.max_attempts - 1);
    if (policy.location.line > 0 && deadline > 0 && policy.max_attempts > 1 &&
        waits + answer_margin_ms >= deadline) {
      add_diagnostic(node.location_of(blamed_field), node.path("deadline"),
                     units::duration_text(deadline) + " is too short for " +
                         std::to_string(policy.max_attempts) + " attempts with waits of " +
                         units::duration_text(policy.retry_wait_ms),
                     "a longer deadline, fewer attempts or a shorter wait");
    }
  }

  void record_policy(const PolicyDraft& draft) {
    if (resolved_settings_ == nullptr) return;
    const auto& policy = draft.policy;
    const std::string values[policy_field_count] = {
        policy.deadline_ms == 0 ? "the class's give_up" : units::duration_text(policy.deadline_ms),
        std::to_string(policy.max_attempts),
        units::duration_text(policy.retry_wait_ms),
        policy.max_open_requests == 0 ? "no limit" : std::to_string(policy.max_open_requests),
        policy.rate_per_second == 0 ? "no limit" : units::rate_text(policy.rate_per_second),
        policy.rate_per_second == 0 ? "none" : units::number_text(policy.burst)};
    for (std::size_t i = 0; i < policy_field_count; ++i) {
      record(draft.node.path(policy_field_names[i]), values[i],
             draft.origins[i].empty() ? "default" : draft.origins[i]);
    }
  }

  // ---- Routes ------------------------------------------------------------------------------------------

  void read_route(Node node) {
    const auto& message = static_cast<const config::v1::Route&>(*node.message);
    Route out;
    out.location = node.location;
    const auto first = message.prefix_size() == 0 ? std::string() : message.prefix(0);
    node.key += "." + (first.empty() ? "all" : first);
    if (message.has_class_()) out.traffic_class = resolve_reference(node, "class", "class", classes_);
    if (message.has_tenant()) {
      out.tenant = resolve_reference(node, "tenant", "tenant", tenants_);
      if (out.tenant != no_index) used_tenants_.insert(out.tenant);
    }
    if (message.has_when()) out.schedule = read_schedule(node);
    if (message.has_policy()) {
      out.policy = resolve_reference(node, "policy", "policy", policies_);
      if (out.policy == no_index) out.policy = 0;
    }
    used_policies_.insert(out.policy);
    out.target_list = read_targets(node, message);
    if (message.prefix_size() == 0) return add_route(node, out);
    for (int i = 0; i < message.prefix_size(); ++i) {
      if (!check_prefix(node.location_of("prefix", i), node.path("prefix"), message.prefix(i))) continue;
      out.prefix = message.prefix(i);
      out.location = message.prefix_size() > 1 ? node.location_of("prefix", i) : node.location;
      add_route(node, out);
    }
  }
  void add_route(const Node& node, const Route& route) {
    if (resolved_settings_ != nullptr) {
      const auto conditions = conditions_text(config_, route);
      record("route." + (route.prefix.empty() ? "all" : route.prefix) +
                 (conditions.empty() ? "" : " (" + conditions + ")"),
             targets_text(config_, config_.target_lists[route.target_list]) + "; policy " +
                 config_.policies[route.policy].name,
             location_text(config_, node.location));
    }
    config_.routes.push_back(route);
  }

  std::uint32_t read_schedule(const Node& node) {
    const auto given = node.text("when");
    const auto parsed = units::parse_week_spans(given);
    if (!parsed.value) {
      add_diagnostic(node.location_of("when"), node.path("when"), "\"" + given + "\" " + parsed.error,
                     units::times_format);
      return no_index;
    }
    const auto key = units::week_text(*parsed.value);
    const auto [it, inserted] =
        schedules_.try_emplace(key, static_cast<std::uint32_t>(config_.schedules.size()));
    if (inserted) config_.schedules.push_back(*parsed.value);
    return it->second;
  }

  /// Returns an index into target_lists. Equal lists are stored once, since most of 100,000 routes use one of
  /// a few lists.
  std::uint32_t read_targets(const Node& node, const config::v1::Route& message) {
    std::vector<Target> list;
    double sum = 0;
    bool has_shares = false, valid = message.to_size() > 0;
    if (message.to_size() == 0)
      add_diagnostic(node.location, node.path("to"), "it is missing", "at least one pool");
    for (int i = 0; i < message.to_size(); ++i) {
      const auto& given = message.to(i);
      Target target;
      if (!given.has_pool() || given.has_share()) {
        const auto child = node.child("to", i);
        if (required_text(child, "pool", "the name of a pool").empty()) {
          valid = false;
          continue;
        }
        has_shares = has_shares || given.has_share();
        valid = valid && (!given.has_share() || units::parse_share(given.share()).value.has_value());
        auto* saved = std::exchange(resolved_settings_, nullptr);  // add_route() records the targets
        target.share = read_share(child, "share", 0, 0);
        resolved_settings_ = saved;
      }
      const auto* found = pools_.find(given.pool());
      if (found == nullptr) {
        (void)resolve_reference(node.child("to", i), "pool", "pool", pools_);
        valid = false;
        continue;
      }
      target.pool = found->index;
      used_pools_.insert(target.pool);
      const bool duplicate =
          std::any_of(list.begin(), list.end(), [&](const auto& each) { return each.pool == target.pool; });
      if (duplicate) {
        const auto child = node.child("to", i);
        add_diagnostic(child.location, child.path("pool"), "pool \"" + given.pool() + "\" is listed twice",
                       "each pool once in a route");
        valid = false;
        continue;
      }
      sum += target.share;
      list.push_back(target);
    }
    if (!has_shares && !list.empty()) list.front().share = 1;
    if (has_shares && valid && std::abs(sum - 1) > share_sum_tolerance) {
      add_diagnostic(node.location_of("to", 0), node.path("to"),
                     "the shares add up to " + units::share_text(sum), "100%");
    }
    std::string key;
    for (const auto& each : list) key += std::to_string(each.pool) + ":" + std::to_string(each.share) + ";";
    const auto [it, inserted] =
        target_lists_.try_emplace(key, static_cast<std::uint32_t>(config_.target_lists.size()));
    if (inserted) config_.target_lists.push_back(std::move(list));
    return it->second;
  }

  // ---- Checks of the whole site ---------------------------------------------------------------------------

  void check_not_empty() {
    if (!config_.has_enum_frontend) return;
    const auto& main = roots_.back();
    const auto missing = [&](bool empty, const char* key, const char* expected) {
      if (empty && !diagnostics_.has_errors())
        add_diagnostic(main.location, key, "none is defined", expected);
    };
    missing(config_.settings.classes.empty(), "class", "at least one class");
    missing(config_.pools.empty(), "pool", "at least one pool");
    missing(config_.routes.empty(), "route", "at least one route");
  }

  /// Whether any number with this prefix may be of the class, by the class prefixes alone (for any tenant).
  [[nodiscard]] bool may_have_class(const std::string& prefix, std::uint32_t traffic_class) const {
    std::uint32_t own_class = 0;
    for (std::size_t length = prefix.size() + 1; length-- > 0;) {
      if (const auto* found = class_prefixes_.find(prefix.substr(0, length))) {
        own_class = found->index;
        break;
      }
    }
    if (own_class == traffic_class) return true;
    return std::any_of(config_.class_prefixes.begin(), config_.class_prefixes.end(), [&](const auto& each) {
      return each.traffic_class == traffic_class && each.prefix.starts_with(prefix);
    });
  }

  /// Adds an error for each route whose look-ups are all taken by earlier routes of the same prefix.
  void find_unreachable_routes() {
    if (diagnostics_.has_errors()) return;  // after an error, indexes may be invalid
    struct EarlierRoutes {
      std::vector<units::WeekSpan> spans;
      SourceLocation location;  ///< of the last one
    };
    const std::vector<units::WeekSpan> whole_week{{0, units::minutes_per_week}};
    std::unordered_map<std::string, std::map<std::pair<std::uint32_t, std::uint32_t>, EarlierRoutes>> earlier;
    for (const auto& route : config_.routes) {
      const auto& own_spans = route.schedule == no_index ? whole_week : config_.schedules[route.schedule];
      auto& same_prefix = earlier[route.prefix];
      std::vector<units::WeekSpan> covered;
      std::optional<SourceLocation> covering_route;
      std::vector<std::pair<std::uint32_t, std::uint32_t>> keys{{route.traffic_class, route.tenant}};
      if (route.traffic_class != no_index) keys.emplace_back(no_index, route.tenant);
      if (route.tenant != no_index) keys.emplace_back(route.traffic_class, no_index);
      if (route.traffic_class != no_index && route.tenant != no_index) keys.emplace_back(no_index, no_index);
      for (const auto& key : keys) {
        const auto it = same_prefix.find(key);
        if (it == same_prefix.end()) continue;
        covered.insert(covered.end(), it->second.spans.begin(), it->second.spans.end());
        covering_route = it->second.location;
      }
      const auto key = "route." + (route.prefix.empty() ? "all" : route.prefix);
      if (covering_route && is_covered(own_spans, units::merge_overlapping(covered))) {
        add_diagnostic(route.location, key,
                       "no look-up reaches this route: earlier routes such as the one at " +
                           full_location_text(*covering_route) + " match them all",
                       "a route with another prefix, class, tenant or time");
      }
      check_route_class(route, key);
      auto& own_entry = same_prefix[{route.traffic_class, route.tenant}];
      own_entry.spans.insert(own_entry.spans.end(), own_spans.begin(), own_spans.end());
      own_entry.spans = units::merge_overlapping(std::move(own_entry.spans));
      own_entry.location = route.location;
    }
  }
  /// Adds an error when no look-up that matches the route's prefix and tenant can have its class.
  void check_route_class(const Route& route, const std::string& key) {
    if (route.traffic_class == no_index) return;
    const auto& name = config_.settings.classes[route.traffic_class].name;
    bool reachable = false;
    if (route.tenant != no_index && config_.tenants[route.tenant].traffic_class != no_index) {
      reachable = config_.tenants[route.tenant].traffic_class == route.traffic_class;
    } else {
      reachable = may_have_class(route.prefix, route.traffic_class);
      for (std::size_t i = 0; route.tenant == no_index && !reachable && i < config_.tenants.size(); ++i) {
        reachable = config_.tenants[i].traffic_class == route.traffic_class;
      }
    }
    if (reachable) return;
    add_diagnostic(route.location, key + ".class",
                   "no look-up of " + numbers_text(route.prefix) + " has class " + name,
                   "a class of these numbers or of the tenant");
  }

  void warn_about_unused() {
    if (diagnostics_.has_errors()) return;
    const auto warn = [this](const SourceLocation& location, const std::string& key, const char* what) {
      add_diagnostic(location, key, what, "", true);
    };
    for (std::uint32_t i = 0; i < config_.pools.size(); ++i) {
      const auto& each = config_.pools[i];
      if (!used_pools_.contains(i)) warn(each.location, "pool." + each.name, "no route uses this pool");
    }
    for (std::uint32_t i = 1; i < config_.policies.size(); ++i) {
      const auto& each = config_.policies[i];
      if (!used_policies_.contains(i))
        warn(each.location, "policy." + each.name, "no route uses this policy");
    }
    for (std::uint32_t i = 0; i < config_.tenants.size(); ++i) {
      const auto& each = config_.tenants[i];
      const bool used = used_tenants_.contains(i) || each.traffic_class != no_index;
      if (!used)
        warn(each.location, "tenant." + each.name,
             "no route uses this tenant, and it has no class of its own");
    }
    for (std::uint32_t i = 0; i < config_.registries.size(); ++i) {
      const auto& each = config_.registries[i];
      const bool used = used_registries_.contains(i) || !each.own_application.empty();
      if (!used) warn(each.location, "registry." + each.name, "no pool uses this registry");
    }
  }

  /// Computes the longest deadline, and lets the decision module check its settings.
  void finish() {
    for (const auto& policy : config_.policies) {
      for (std::uint32_t i = 0; i < config_.settings.classes.size(); ++i) {
        config_.longest_deadline_ms = std::max(config_.longest_deadline_ms, config_.deadline_ms(policy, i));
      }
    }
    if (diagnostics_.has_errors() || !config_.has_enum_frontend) return;
    try {
      (void)CallController(config_.settings, 0);
    } catch (const std::exception& error) {
      add_diagnostic(roots_.back().location, "decisions", error.what());
    }
  }

  Diagnostics& diagnostics_;
  std::vector<ResolvedSetting>* resolved_settings_;
  Sources sources_;
  std::vector<Node> roots_;  ///< one per file; the main file is last
  EnumConfig config_;
  NameTable classes_, class_prefixes_, tenants_, networks_, registries_, pools_, members_, policies_;
  config::v1::Policy default_policy_;
  std::vector<PolicyDraft> drafts_;
  std::map<std::string, std::uint32_t> schedules_, target_lists_;
  std::set<std::uint32_t> used_pools_, used_policies_, used_tenants_, used_registries_;
};

}  // namespace

double EnumConfig::deadline_ms(const Policy& policy, std::uint32_t traffic_class) const {
  return policy.deadline_ms > 0 ? policy.deadline_ms : to_ms(settings.classes[traffic_class].give_up_after);
}

EnumConfig read_site(const std::string& path, Diagnostics& diagnostics,
                     std::vector<ResolvedSetting>* resolved_settings) {
  auto config = SiteReader(path, diagnostics, resolved_settings).read();
  diagnostics.sort_by_location();
  return config;
}

EnumConfig load_site(const std::string& path) {
  Diagnostics diagnostics;
  auto config = read_site(path, diagnostics);
  if (diagnostics.has_errors()) throw ConfigError(diagnostics);
  return config;
}

std::string location_text(const EnumConfig& config, const SourceLocation& location) {
  if (location.line == 0) return "default";
  return config.files[location.file] + ":" + std::to_string(location.line);
}

std::string targets_text(const EnumConfig& config, const std::vector<Target>& targets) {
  std::string out;
  for (const auto& each : targets) {
    const auto& pool = config.pools[each.pool].name;
    out += out.empty() ? "" : ", ";
    out += each.share > 0 ? units::share_text(each.share) + " to pool " + pool : "then pool " + pool;
  }
  return out;
}

std::string conditions_text(const EnumConfig& config, const Route& route) {
  std::string out;
  const auto add = [&out](const std::string& condition) { out += (out.empty() ? "" : ", ") + condition; };
  if (route.traffic_class != no_index) add("class " + config.settings.classes[route.traffic_class].name);
  if (route.tenant != no_index) add("tenant " + config.tenants[route.tenant].name);
  if (route.schedule != no_index) add(units::week_text(config.schedules[route.schedule]));
  return out;
}

std::string numbers_text(const std::string& prefix) {
  return prefix.empty() ? "all numbers" : "numbers " + prefix;
}

}  // namespace heathturn
