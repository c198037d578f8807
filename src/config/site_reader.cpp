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

constexpr double second = 1000, minute = 60000;
constexpr double least_deadline_ms = 100, most_deadline_ms = 60 * second;
constexpr std::size_t most_name = 64;
constexpr std::size_t most_prefix = 32;
constexpr std::uint32_t usual_requests = 32;
constexpr double usual_burst_s = 0.1;  ///< of the rate, where no burst is given
constexpr double share_slack = 1e-6;
constexpr const char* name_form = "1 to 64 letters, digits, '.', '_', ':' or '-'";

/// One message of a file, with its place and the key that names it to the operator.
struct Node {
  const SourceFile* file = nullptr;
  std::uint32_t file_index = 0;
  const pb::Message* message = nullptr;
  const pb::TextFormat::ParseInfoTree* tree = nullptr;
  std::string key;
  SourceLocation location;

  [[nodiscard]] const pb::FieldDescriptor* field(const char* name) const {
    return message->GetDescriptor()->FindFieldByName(name);
  }
  [[nodiscard]] bool has(const char* name) const {
    return message->GetReflection()->HasField(*message, field(name));
  }
  [[nodiscard]] SourceLocation place(const char* name, int index = -1) const {
    if (tree == nullptr) return location;
    const auto at = tree->GetLocation(field(name), index);
    if (at.line < 0) return location;
    return {file_index, static_cast<std::uint32_t>(at.line) + 1, static_cast<std::uint32_t>(at.column) + 1};
  }
  [[nodiscard]] std::string text(const char* name) const {
    return message->GetReflection()->GetString(*message, field(name));
  }
  [[nodiscard]] std::string path(const char* name) const { return key.empty() ? name : key + "." + name; }
  [[nodiscard]] Node inner(const char* name, int index) const {
    const auto* which = field(name);
    const auto* reflection = message->GetReflection();
    Node out;
    out.file = file;
    out.file_index = file_index;
    out.message = index < 0 ? &reflection->GetMessage(*message, which)
                            : &reflection->GetRepeatedMessage(*message, which, index);
    out.tree = tree == nullptr ? nullptr : tree->GetTreeForNested(which, index);
    out.location = place(name, index);
    out.key = path(name);
    return out;
  }
};

/// Names of one kind, each with its index and place.
class Names {
 public:
  struct Entry {
    std::uint32_t index;
    SourceLocation location;
  };
  [[nodiscard]] const Entry* find(const std::string& name) const {
    const auto it = entries_.find(name);
    return it == entries_.end() ? nullptr : &it->second;
  }
  /// The entry that has the name already, if any.
  const Entry* add(const std::string& name, std::uint32_t index, SourceLocation location) {
    const auto [it, fresh] = entries_.try_emplace(name, Entry{index, location});
    return fresh ? nullptr : &it->second;
  }
  [[nodiscard]] std::string list() const {
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

/// The spans of a, with nothing of them outside b. Both in order and apart.
bool within(const std::vector<units::WeekSpan>& a, const std::vector<units::WeekSpan>& b) {
  return std::all_of(a.begin(), a.end(), [&b](const auto& span) {
    return std::any_of(b.begin(), b.end(),
                       [&span](const auto& outer) { return outer.from <= span.from && span.to <= outer.to; });
  });
}

class SiteReader {
 public:
  SiteReader(const std::string& path, Faults& faults, std::vector<ResolvedSetting>* notes)
      : faults_(faults), notes_(notes), sources_(load_sources(path, faults)) {
    for (std::uint32_t i = 0; i < sources_.files.size(); ++i) {
      const auto& source = *sources_.files[i];
      config_.files.push_back(source.name);
      Node top;
      top.file = &source;
      top.file_index = i;
      top.message = &source.message;
      top.tree = source.places.get();
      top.location = {i, 1, 1};
      tops_.push_back(std::move(top));
    }
  }

  EnumConfig read() {
    if (!sources_.whole) return std::move(config_);
    read_converters();
    if (config_.has_enum_frontend) read_front();
    each("class", [this](const Node& node) { read_class(node); });
    each("tenant", [this](const Node& node) { read_tenant(node); });
    each("registry", [this](const Node& node) { read_registry(node); });
    each("pool", [this](const Node& node) { read_pool(node); });
    read_decisions();
    read_handshakes();
    read_policies();
    each("route", [this](const Node& node) { read_route(node); });
    require_some();
    find_hidden();
    find_unused();
    finish();
    return std::move(config_);
  }

 private:
  // ---- Faults and notes --------------------------------------------------------------------------------

  void fault(const SourceLocation& location, const std::string& key, const std::string& text,
             const std::string& expected = "", bool warning = false) {
    faults_.add({config_.files[location.file], static_cast<int>(location.line),
                 static_cast<int>(location.column), key, text, expected, warning});
  }
  [[nodiscard]] std::string place_text(const SourceLocation& location) const {
    return location_text(config_, location) + ":" + std::to_string(location.column);
  }
  void note(const std::string& key, const std::string& value, const std::string& origin) {
    if (notes_ != nullptr) notes_->push_back({key, value, origin});
  }
  /// The note of one field: from the file if it stands there.
  void note(const Node& node, const char* field, const std::string& value) {
    if (notes_ == nullptr) return;
    note(node.path(field), value, node.has(field) ? location_text(config_, node.place(field)) : "default");
  }

  // ---- Values ------------------------------------------------------------------------------------------

  using Form = units::Parsed<double> (*)(const std::string&);
  using Show = std::string (*)(double);
  double measure(const Node& node, const char* field, Form form, Show show, const char* expected,
                 double least, double most, double otherwise) {
    if (!node.has(field)) {
      note(node, field, show(otherwise));
      return otherwise;
    }
    const auto text = node.text(field);
    const auto parsed = form(text);
    if (!parsed.value) {
      fault(node.place(field), node.path(field), "\"" + text + "\" " + parsed.fault, expected);
      return otherwise;
    }
    if (*parsed.value < least || *parsed.value > most) {
      fault(node.place(field), node.path(field), "\"" + text + "\" is out of range",
            show(least) + " to " + show(most));
      return otherwise;
    }
    note(node, field, show(*parsed.value));
    return *parsed.value;
  }
  double duration(const Node& node, const char* field, double least, double most, double otherwise) {
    return measure(node, field, units::duration, units::duration_text, units::duration_form, least, most,
                   otherwise);
  }
  double share(const Node& node, const char* field, double least, double otherwise) {
    return measure(node, field, units::share, units::share_text, units::share_form, least, 1, otherwise);
  }
  std::uint32_t count(const Node& node, const char* field, std::uint32_t least, std::uint32_t most,
                      std::uint32_t otherwise, const char* none = nullptr) {
    if (!node.has(field)) {
      note(node, field, none != nullptr ? none : std::to_string(otherwise));
      return otherwise;
    }
    const auto value = node.message->GetReflection()->GetUInt32(*node.message, node.field(field));
    if (value < least || value > most) {
      fault(node.place(field), node.path(field), std::to_string(value) + " is out of range",
            std::to_string(least) + " to " + std::to_string(most));
      return otherwise;
    }
    note(node, field, std::to_string(value));
    return value;
  }
  double number(const Node& node, const char* field, double most, double otherwise) {
    if (!node.has(field)) {
      note(node, field, units::number_text(otherwise));
      return otherwise;
    }
    const double value = node.message->GetReflection()->GetDouble(*node.message, node.field(field));
    if (!(value >= 0 && value <= most)) {
      fault(node.place(field), node.path(field), units::number_text(value) + " is out of range",
            "0 to " + units::number_text(most));
      return otherwise;
    }
    note(node, field, units::number_text(value));
    return value;
  }
  std::string text(const Node& node, const char* field, const std::string& otherwise) {
    const auto value = node.has(field) ? node.text(field) : otherwise;
    note(node, field, value);
    return value;
  }
  /// Empty, and a fault, when it is missing.
  std::string needed(const Node& node, const char* field, const char* expected) {
    if (!node.has(field) || node.text(field).empty()) {
      fault(node.has(field) ? node.place(field) : node.location, node.path(field),
            node.has(field) ? "it is empty" : "it is missing", expected);
      return "";
    }
    return node.text(field);
  }
  std::optional<Address> address(const Node& node, const char* field) {
    constexpr const char* form = "an IPv4 address with a port such as \"127.0.0.1:53\"";
    const auto given = needed(node, field, form);
    if (given.empty()) return std::nullopt;
    const auto parsed = Address::parse(given);
    if (!parsed) {
      fault(node.place(field), node.path(field), "\"" + given + "\" is no address with a port", form);
    }
    note(node, field, given);
    return parsed;
  }
  /// A name that is well formed and new; the node's key ends in it from here on.
  bool name(Node& node, Names& names, std::uint32_t index, std::string& out) {
    const auto given = needed(node, "name", name_form);
    if (given.empty()) return false;
    const auto good = [](char c) {
      return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
             std::string("._:-").find(c) != std::string::npos;
    };
    if (given.size() > most_name || !std::all_of(given.begin(), given.end(), good)) {
      fault(node.place("name"), node.path("name"), "\"" + given + "\" is no name", name_form);
      return false;
    }
    if (const auto* first = names.add(given, index, node.location)) {
      fault(node.place("name"), node.path("name"),
            "\"" + given + "\" stands there twice, first at " + place_text(first->location),
            "a name of its own");
      return false;
    }
    node.key += "." + given;
    out = given;
    return true;
  }
  /// The index behind a name that another message defines.
  std::uint32_t reference(const Node& node, const char* field, const char* kind, const Names& names) {
    const auto given = node.text(field);
    const auto* found = names.find(given);
    if (found == nullptr) {
      const auto list = names.list();
      fault(node.place(field), node.path(field), std::string("no ") + kind + " is named \"" + given + "\"",
            list.empty() ? std::string("a ") + kind + " that is defined" : "one of " + list);
      return no_index;
    }
    return found->index;
  }
  bool digits(const SourceLocation& location, const std::string& key, const std::string& prefix) {
    if (prefix.size() <= most_prefix && prefix.find_first_not_of("0123456789") == std::string::npos)
      return true;
    fault(location, key, "\"" + prefix + "\" is no prefix of numbers", "at most 32 digits");
    return false;
  }

  void each(const char* field, const std::function<void(const Node&)>& take) {
    for (const auto& top : tops_) {
      const auto* which = top.field(field);
      const int size = top.message->GetReflection()->FieldSize(*top.message, which);
      for (int i = 0; i < size; ++i) take(top.inner(field, i));
    }
  }
  /// The one file that sets a single field; a second one is a fault.
  const Node* single(const char* field) {
    const Node* found = nullptr;
    for (const auto& top : tops_) {
      if (!top.has(field)) continue;
      if (found != nullptr) {
        fault(top.place(field), field, "it is set again, first at " + place_text(found->place(field)),
              "one file to set it");
        continue;
      }
      found = &top;
    }
    return found;
  }

  // ---- The site ----------------------------------------------------------------------------------------

  /// A file with nothing but what concerns the platform's converters has no ENUM front.
  void read_converters() {
    const auto* from = single("converters");
    if (from == nullptr) return;
    const auto node = from->inner("converters", -1);
    if (node.has("tls")) config_.converter_tls = read_tls(node.inner("tls", -1));
    config_.has_enum_frontend = std::any_of(tops_.begin(), tops_.end(), [](const Node& top) {
      const auto& message = static_cast<const config::v1::Site&>(*top.message);
      return message.has_listen() || message.has_suffix() || message.class__size() > 0 ||
             message.pool_size() > 0 || message.route_size() > 0;
    });
  }

  void read_front() {
    const auto& main = tops_.back();
    const auto* from = single("listen");
    if (const auto at = address(from != nullptr ? *from : main, "listen")) config_.listen = *at;
    from = single("suffix");
    const auto& at = from != nullptr ? *from : main;
    const auto given = needed(at, "suffix", "a domain name such as \"enum.example.org\"");
    if (!given.empty()) {
      const auto suffix = dns::name_from_text(given);
      if (!suffix || suffix->size() == 1) {
        fault(at.place("suffix"), "suffix", "\"" + given + "\" is no domain name",
              "one such as \"enum.example.org\"");
      } else {
        config_.suffix = dns::name_to_text(*suffix);
      }
      note(at, "suffix", given);
    }
    from = single("console");
    config_.console_path = text(from != nullptr ? *from : main, "console", "");
    from = single("time_zone");
    const auto zone = text(from != nullptr ? *from : main, "time_zone", "utc");
    const auto parsed = units::time_zone(zone);
    if (parsed.value) {
      config_.time_zone = *parsed.value;
    } else {
      fault(from->place("time_zone"), "time_zone", "\"" + zone + "\" " + parsed.fault, units::zone_form);
    }
  }

  void read_class(Node node) {
    ClassSettings out;
    const auto index = static_cast<std::uint32_t>(config_.settings.classes.size());
    if (!name(node, classes_, index, out.name)) return;
    out.worth = number(node, "worth", 1e6, 1);
    out.late_worth_share = share(node, "late_share", 0, 0);
    const double aim = duration(node, "aim", 1, 60 * second, second);
    const double give_up = duration(node, "give_up", least_deadline_ms, most_deadline_ms, 2 * second);
    if (aim > give_up) {
      fault(node.place(node.has("give_up") ? "give_up" : "aim"), node.path("give_up"),
            units::duration_text(give_up) + " is shorter than the aim of " + units::duration_text(aim),
            "the aim or longer");
    }
    out.set_up_objective = to_duration(aim);
    out.give_up_after = to_duration(give_up);
    const auto& message = static_cast<const config::v1::Class&>(*node.message);
    for (int i = 0; i < message.prefix_size(); ++i) {
      const auto& prefix = message.prefix(i);
      const auto location = node.place("prefix", i);
      if (!digits(location, node.path("prefix"), prefix)) continue;
      if (const auto* first = class_prefixes_.add(prefix, index, location)) {
        fault(location, node.path("prefix"),
              "\"" + prefix + "\" stands there twice, first at " + place_text(first->location),
              "each prefix in one class only");
        continue;
      }
      config_.class_prefixes.push_back({prefix, index});
      note(node.path("prefix"), prefix, location_text(config_, location));
    }
    config_.settings.classes.push_back(std::move(out));
  }

  void read_tenant(Node node) {
    Tenant out;
    out.location = node.location;
    const auto index = static_cast<std::uint32_t>(config_.tenants.size());
    if (!name(node, tenants_, index, out.name)) return;
    const auto& message = static_cast<const config::v1::Tenant&>(*node.message);
    constexpr const char* form = "an IPv4 network such as \"192.0.2.0/24\"";
    if (message.network_size() == 0) fault(node.location, node.path("network"), "it is missing", form);
    for (int i = 0; i < message.network_size(); ++i) {
      const auto location = node.place("network", i);
      const auto network = parse_network(message.network(i));
      if (!network) {
        fault(location, node.path("network"), "\"" + message.network(i) + "\" is no network", form);
        continue;
      }
      const auto key = std::to_string(network->host) + "/" + std::to_string(network->prefix_length);
      if (const auto* first = networks_.add(key, index, location)) {
        fault(location, node.path("network"),
              "\"" + message.network(i) + "\" stands there twice, first at " + place_text(first->location),
              "each network with one tenant only");
        continue;
      }
      out.networks.push_back(*network);
      note(node.path("network"), message.network(i), location_text(config_, location));
    }
    if (node.has("class")) out.traffic_class = reference(node, "class", "class", classes_);
    note(node, "class", node.has("class") ? node.text("class") : "the number's");
    config_.tenants.push_back(std::move(out));
  }

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
    if (!name(node, registries_, static_cast<std::uint32_t>(config_.registries.size()), out.name)) return;
    if (const auto at = address(node, "address")) out.address = *at;
    out.path = text(node, "path", "/eureka");
    out.fetch_every_ms = duration(node, "fetch_every", 50, 10 * minute, 5 * second);
    if (node.has("register")) {
      const auto own = node.inner("register", -1);
      out.own_application = needed(own, "application", "the application's name");
      note(own, "application", out.own_application);
      out.own_instance = text(own, "instance", "heathturn");
      out.heartbeat_ms = duration(own, "heartbeat", 50, 10 * minute, 30 * second);
    }
    config_.registries.push_back(std::move(out));
  }

  void read_pool(Node node) {
    Pool out;
    out.location = node.location;
    const auto index = static_cast<std::uint32_t>(config_.pools.size());
    if (!name(node, pools_, index, out.name)) return;
    out.max_open_requests = count(node, "most_requests", 1, 1000000, 0, "no limit");
    const auto& message = static_cast<const config::v1::Pool&>(*node.message);
    out.zones.assign(message.zone().begin(), message.zone().end());
    if (!out.zones.empty()) {
      std::string list;
      for (const auto& zone : out.zones) list += (list.empty() ? "" : ", ") + zone;
      note(node.path("zone"), list, location_text(config_, node.place("zone", 0)));
    }
    if (message.has_tls()) out.tls = read_tls(node.inner("tls", -1));
    double weights = 0;
    for (int i = 0; i < message.member_size(); ++i) {
      auto inner = node.inner("member", i);
      Member member;
      auto& converter = member.converter;
      if (!name(inner, members_, 0, converter.name)) continue;
      if (const auto at = address(inner, "address")) converter.address = *at;
      member.weight = number(inner, "weight", 1000, 1);
      member.zone = text(inner, "zone", "");
      converter.circuits = count(inner, "most_requests", 1, 10000, usual_requests);
      weights += member.weight;
      out.members.push_back(std::move(member));
    }
    if (message.has_from_registry()) {
      const auto from = node.inner("from_registry", -1);
      RegistrySource list;
      if (!needed(from, "registry", "the name of a registry").empty()) {
        list.registry = reference(from, "registry", "registry", registries_);
        if (list.registry != no_index) used_registries_.insert(list.registry);
        note(from, "registry", from.text("registry"));
      }
      list.application = needed(from, "application", "the application's name");
      note(from, "application", list.application);
      const auto wanted = count(from, "number", 0, 65535, no_index, "any");
      if (wanted != no_index) list.number = static_cast<std::int32_t>(wanted);
      list.weight = number(from, "weight", 1000, 1);
      weights += list.weight;
      out.from_registry = std::move(list);
    }
    if (message.member_size() == 0 && !message.has_from_registry()) {
      fault(node.location, node.path("member"), "the pool has no members", "a member, or from_registry");
    } else if (weights <= 0 && !faults_.any_error()) {
      fault(node.location, node.path("member"), "all weights are 0", "a member with a weight above 0");
    }
    config_.pools.push_back(std::move(out));
  }

  [[nodiscard]] std::string beside(const Node& node, const std::string& path) const {
    if (path.empty() || path.starts_with('/')) return path;
    const auto slash = node.file->name.rfind('/');
    return slash == std::string::npos ? path : node.file->name.substr(0, slash + 1) + path;
  }

  tls::TlsConfig read_tls(const Node& node) {
    tls::TlsConfig out;
    const auto& message = static_cast<const config::v1::Tls&>(*node.message);
    for (const auto& each : message.trust()) out.trust.push_back(beside(node, each));
    out.name = text(node, "name", "");
    for (int i = 0; i < message.pin_size(); ++i) {
      const auto pin = tls::parse_pin(message.pin(i));
      if (pin.empty()) {
        fault(node.place("pin", i), node.path("pin"), "\"" + message.pin(i) + "\" is no pin",
              "\"sha256/\" and 32 bytes in base 64");
      }
      out.pins.push_back(pin);
    }
    out.certificate = beside(node, text(node, "certificate", ""));
    out.key = beside(node, text(node, "key", ""));
    if (out.certificate.empty() != out.key.empty()) {
      fault(node.location, node.path(out.key.empty() ? "key" : "certificate"), "it is missing",
            "a certificate with its key");
    }
    out.crl = beside(node, text(node, "crl", ""));
    for (int i = 0; i < message.alpn_size(); ++i) {
      if (message.alpn(i).empty() || message.alpn(i).size() > 255) {
        fault(node.place("alpn", i), node.path("alpn"), "it is no protocol's name", "1 to 255 bytes");
      }
      out.alpn.push_back(message.alpn(i));
    }
    const auto one_of = [&](const char* field, const char* usual, const char* other) {
      const auto given = text(node, field, usual);
      if (given != usual && given != other) {
        fault(node.place(field), node.path(field), "\"" + given + "\" is not known",
              std::string("\"") + usual + "\" or \"" + other + "\"");
      }
      return given == other;
    };
    out.tls13_only = one_of("lowest", "1.2", "1.3");
    out.verify = !one_of("verification", "full", "none");
    if (!out.verify) {
      fault(node.place("verification"), node.path("verification"),
            "certificates are not verified: anybody may answer in the server's place", "", true);
    } else if (out.trust.empty()) {
      fault(node.location, node.path("trust"), "it is missing",
            "a file with the authorities that are trusted");
    }
    out.handshake_ms = duration(node, "handshake", 50, 30 * second, 2 * second);
    if (node.has("most_age")) out.most_age_ms = duration(node, "most_age", second, 24 * 60 * minute, 0);
    out.connections = count(node, "connections", 1, 64, 2);
    return out;
  }

  void read_handshakes() {
    static const config::v1::Handshakes none;
    Node node;
    node.message = &none;
    node.key = "handshakes";
    if (const auto* from = single("handshakes")) node = from->inner("handshakes", -1);
    auto& out = config_.handshakes;
    out.router_count = config_.settings.controller_count;
    out.processor_share = share(node, "share", 0.01, out.processor_share);
    out.full_cost_ms = duration(node, "full_cost", 0.01, second, out.full_cost_ms);
    out.resumed_cost_ms = duration(node, "resumed_cost", 0.01, second, out.resumed_cost_ms);
    out.max_in_flight = count(node, "most_in_all", 1, 1000, out.max_in_flight);
    out.slow_handshake_ms = duration(node, "slow", 1, 10 * second, out.slow_handshake_ms);
  }

  void read_decisions() {
    static const config::v1::Decisions none;
    Node node;
    node.message = &none;
    node.key = "decisions";
    if (const auto* from = single("decisions")) node = from->inner("decisions", -1);
    auto& out = config_.settings;
    out.uses_pools = true;
    out.controller_count = count(node, "routers", 1, 1000000, 1);
    out.attempt_limit = count(node, "attempts", 1, max_attempts_per_request, max_attempts_per_request);
    // Rule: on sockets the limits of time are longer by this; the module plans its retries by it.
    out.release_wait = to_duration(duration(node, "release_wait", 0, 60 * second, 0) + socket_slack_ms);
    out.batch_interval = to_duration(duration(node, "step", 0, second, 5));
    out.cancelling = true;
    if (node.has("cancelling")) {
      out.cancelling = node.message->GetReflection()->GetBool(*node.message, node.field("cancelling"));
    }
    note(node, "cancelling", out.cancelling ? "true" : "false");
    out.start_capacity = share(node, "start_capacity", 0.01, 1);
    out.cold_time = to_duration(duration(node, "cold_time", 0, 10 * minute, 0));
  }

  // ---- Policies ----------------------------------------------------------------------------------------

  static constexpr const char* policy_fields[] = {"deadline",  "attempts", "retry_wait",
                                                  "most_open", "rate",     "burst"};
  static constexpr std::size_t policy_field_count = std::size(policy_fields);

  struct PolicyDraft {
    Node node;
    std::uint32_t base = no_index;
    enum { fresh, under_way, done } state = fresh;
    Policy policy;
    std::string origins[policy_field_count];
  };

  void read_policies() {
    // The first place is the built-in default's, unless a file defines it.
    drafts_.emplace_back();
    drafts_[0].policy.name = "default";
    drafts_[0].node.message = &default_policy_;
    drafts_[0].node.key = "policy.default";
    bool defined = false;
    each("policy", [this, &defined](Node node) {
      const auto is_default = node.has("name") && node.text("name") == "default" && !defined;
      const auto index = is_default ? 0 : static_cast<std::uint32_t>(drafts_.size());
      PolicyDraft draft;
      if (!name(node, policies_, index, draft.policy.name)) return;
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
      if (draft.node.has("base")) draft.base = reference(draft.node, "base", "policy", policies_);
      if (draft.base != no_index) used_policies_.insert(draft.base);
    }
    for (std::uint32_t i = 0; i < drafts_.size(); ++i) {
      std::vector<std::uint32_t> chain;
      resolve(i, chain);
    }
    for (auto& draft : drafts_) {
      check_policy(draft);
      note_policy(draft);
      config_.policies.push_back(draft.policy);
    }
  }

  void resolve(std::uint32_t index, std::vector<std::uint32_t>& chain) {
    auto& draft = drafts_[index];
    if (draft.state == PolicyDraft::done) return;
    if (draft.state == PolicyDraft::under_way) {
      std::string words;
      for (auto at = std::find(chain.begin(), chain.end(), index); at != chain.end(); ++at) {
        words += drafts_[*at].policy.name + " -> ";
      }
      const auto& last = drafts_[chain.back()].node;
      fault(last.place("base"), last.path("base"), "a policy built on itself: " + words + draft.policy.name,
            "a base that does not lead back to it");
      return;
    }
    draft.state = PolicyDraft::under_way;
    chain.push_back(index);
    if (draft.base != no_index) {
      resolve(draft.base, chain);
      const auto& base = drafts_[draft.base];
      auto kept = base.policy;
      kept.name = draft.policy.name;
      kept.location = draft.policy.location;
      draft.policy = std::move(kept);
      for (std::size_t i = 0; i < policy_field_count; ++i) {
        draft.origins[i] =
            base.origins[i].empty() ? "" : "policy " + base.policy.name + ", " + base.origins[i];
      }
    }
    chain.pop_back();
    draft.state = PolicyDraft::done;
    own_values(draft);
  }

  void own_values(PolicyDraft& draft) {
    auto& out = draft.policy;
    const auto& node = draft.node;
    auto* told = std::exchange(notes_, nullptr);  // told of below, together with what is taken over
    out.deadline_ms = duration(node, "deadline", least_deadline_ms, most_deadline_ms, out.deadline_ms);
    out.max_attempts = count(node, "attempts", 1, max_attempts_per_request, out.max_attempts);
    out.retry_wait_ms = duration(node, "retry_wait", 0, 60 * second, out.retry_wait_ms);
    out.max_open_requests = count(node, "most_open", 1, 10000, out.max_open_requests);
    out.rate_per_second = measure(node, "rate", units::rate, units::rate_text, units::rate_form, 1.0 / 3600,
                                  1e6, out.rate_per_second);
    const bool new_rate = node.has("rate") && !node.has("burst");
    out.burst = count(node, "burst", 1, 1000000, new_rate ? 0 : static_cast<std::uint32_t>(out.burst));
    if (out.burst == 0 && out.rate_per_second > 0)
      out.burst = std::max(1.0, std::floor(out.rate_per_second * usual_burst_s));
    notes_ = told;
    for (std::size_t i = 0; i < policy_field_count; ++i) {
      if (node.has(policy_fields[i])) draft.origins[i] = location_text(config_, node.place(policy_fields[i]));
    }
  }

  void check_policy(const PolicyDraft& draft) {
    const auto& policy = draft.policy;
    const auto& node = draft.node;
    const char* location = "name";
    for (const char* each : {"attempts", "retry_wait", "deadline"}) {
      if (node.has(each)) location = each;
    }
    if (policy.max_attempts > config_.settings.attempt_limit && policy.location.line > 0 &&
        node.has("attempts")) {
      fault(node.place("attempts"), node.path("attempts"),
            std::to_string(policy.max_attempts) + " is above decisions.attempts, which is " +
                std::to_string(config_.settings.attempt_limit),
            "that many at most");
    }
    if (node.has("burst") && policy.rate_per_second == 0) {
      fault(node.place("burst"), node.path("burst"), "there is no rate that it belongs to",
            "a rate beside it");
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
      fault(node.place(location), node.path("deadline"),
            units::duration_text(deadline) + " is over before " + std::to_string(policy.max_attempts) +
                " attempts with waits of " + units::duration_text(policy.retry_wait_ms),
            "a longer deadline, fewer attempts or a shorter wait");
    }
  }

  void note_policy(const PolicyDraft& draft) {
    if (notes_ == nullptr) return;
    const auto& policy = draft.policy;
    const std::string values[policy_field_count] = {
        policy.deadline_ms == 0 ? "the class's give_up" : units::duration_text(policy.deadline_ms),
        std::to_string(policy.max_attempts),
        units::duration_text(policy.retry_wait_ms),
        policy.max_open_requests == 0 ? "no limit" : std::to_string(policy.max_open_requests),
        policy.rate_per_second == 0 ? "no limit" : units::rate_text(policy.rate_per_second),
        policy.rate_per_second == 0 ? "none" : units::number_text(policy.burst)};
    for (std::size_t i = 0; i < policy_field_count; ++i) {
      note(draft.node.path(policy_fields[i]), values[i],
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
    if (message.has_class_()) out.traffic_class = reference(node, "class", "class", classes_);
    if (message.has_tenant()) {
      out.tenant = reference(node, "tenant", "tenant", tenants_);
      if (out.tenant != no_index) used_tenants_.insert(out.tenant);
    }
    if (message.has_when()) out.schedule = schedule(node);
    if (message.has_policy()) {
      out.policy = reference(node, "policy", "policy", policies_);
      if (out.policy == no_index) out.policy = 0;
    }
    used_policies_.insert(out.policy);
    out.target_list = targets(node, message);
    if (message.prefix_size() == 0) return add_route(node, out);
    for (int i = 0; i < message.prefix_size(); ++i) {
      if (!digits(node.place("prefix", i), node.path("prefix"), message.prefix(i))) continue;
      out.prefix = message.prefix(i);
      out.location = message.prefix_size() > 1 ? node.place("prefix", i) : node.location;
      add_route(node, out);
    }
  }
  void add_route(const Node& node, const Route& route) {
    if (notes_ != nullptr) {
      const auto conditions = conditions_text(config_, route);
      note("route." + (route.prefix.empty() ? "all" : route.prefix) +
               (conditions.empty() ? "" : " (" + conditions + ")"),
           targets_text(config_, config_.target_lists[route.target_list]) + "; policy " +
               config_.policies[route.policy].name,
           location_text(config_, node.location));
    }
    config_.routes.push_back(route);
  }

  std::uint32_t schedule(const Node& node) {
    const auto given = node.text("when");
    const auto parsed = units::week_spans(given);
    if (!parsed.value) {
      fault(node.place("when"), node.path("when"), "\"" + given + "\" " + parsed.fault, units::times_form);
      return no_index;
    }
    const auto key = units::week_text(*parsed.value);
    const auto [it, fresh] =
        schedules_.try_emplace(key, static_cast<std::uint32_t>(config_.schedules.size()));
    if (fresh) config_.schedules.push_back(*parsed.value);
    return it->second;
  }

  /// Lists that are the same stand once: of 100,000 routes most go to one of a few.
  std::uint32_t targets(const Node& node, const config::v1::Route& message) {
    std::vector<Target> list;
    double sum = 0;
    bool shares = false, sound = message.to_size() > 0;
    if (message.to_size() == 0) fault(node.location, node.path("to"), "it is missing", "a pool to go to");
    for (int i = 0; i < message.to_size(); ++i) {
      const auto& given = message.to(i);
      Target target;
      if (!given.has_pool() || given.has_share()) {
        const auto inner = node.inner("to", i);
        if (needed(inner, "pool", "the name of a pool").empty()) {
          sound = false;
          continue;
        }
        shares = shares || given.has_share();
        sound = sound && (!given.has_share() || units::share(given.share()).value.has_value());
        auto* told = std::exchange(notes_, nullptr);
        target.share = share(inner, "share", 0, 0);
        notes_ = told;
      }
      const auto* found = pools_.find(given.pool());
      if (found == nullptr) {
        (void)reference(node.inner("to", i), "pool", "pool", pools_);
        sound = false;
        continue;
      }
      target.pool = found->index;
      used_pools_.insert(target.pool);
      const bool twice =
          std::any_of(list.begin(), list.end(), [&](const auto& each) { return each.pool == target.pool; });
      if (twice) {
        const auto inner = node.inner("to", i);
        fault(inner.location, inner.path("pool"), "pool \"" + given.pool() + "\" stands there twice",
              "each pool once in a route");
        sound = false;
        continue;
      }
      sum += target.share;
      list.push_back(target);
    }
    if (!shares && !list.empty()) list.front().share = 1;
    if (shares && sound && std::abs(sum - 1) > share_slack) {
      fault(node.place("to", 0), node.path("to"), "the shares add up to " + units::share_text(sum), "100%");
    }
    std::string key;
    for (const auto& each : list) key += std::to_string(each.pool) + ":" + std::to_string(each.share) + ";";
    const auto [it, fresh] =
        target_lists_.try_emplace(key, static_cast<std::uint32_t>(config_.target_lists.size()));
    if (fresh) config_.target_lists.push_back(std::move(list));
    return it->second;
  }

  // ---- The whole ---------------------------------------------------------------------------------------

  void require_some() {
    if (!config_.has_enum_frontend) return;
    const auto& main = tops_.back();
    const auto missing = [&](bool empty, const char* key, const char* expected) {
      if (empty && !faults_.any_error()) fault(main.location, key, "there is none", expected);
    };
    missing(config_.settings.classes.empty(), "class", "at least one class");
    missing(config_.pools.empty(), "pool", "at least one pool");
    missing(config_.routes.empty(), "route", "at least one route");
  }

  /// Classes that numbers beginning so may be of, whoever asks: by the class prefixes alone.
  [[nodiscard]] bool may_be_of(const std::string& prefix, std::uint32_t traffic_class) const {
    std::uint32_t own = 0;
    for (std::size_t length = prefix.size() + 1; length-- > 0;) {
      if (const auto* found = class_prefixes_.find(prefix.substr(0, length))) {
        own = found->index;
        break;
      }
    }
    if (own == traffic_class) return true;
    return std::any_of(config_.class_prefixes.begin(), config_.class_prefixes.end(), [&](const auto& each) {
      return each.traffic_class == traffic_class && each.prefix.starts_with(prefix);
    });
  }

  void find_hidden() {
    if (faults_.any_error()) return;  // an index may lead nowhere
    struct Seen {
      std::vector<units::WeekSpan> spans;
      SourceLocation location;
    };
    const std::vector<units::WeekSpan> always{{0, units::minutes_a_week}};
    std::unordered_map<std::string, std::map<std::pair<std::uint32_t, std::uint32_t>, Seen>> seen;
    for (const auto& route : config_.routes) {
      const auto& own = route.schedule == no_index ? always : config_.schedules[route.schedule];
      auto& same = seen[route.prefix];
      std::vector<units::WeekSpan> taken;
      std::optional<SourceLocation> by;
      std::vector<std::pair<std::uint32_t, std::uint32_t>> keys{{route.traffic_class, route.tenant}};
      if (route.traffic_class != no_index) keys.emplace_back(no_index, route.tenant);
      if (route.tenant != no_index) keys.emplace_back(route.traffic_class, no_index);
      if (route.traffic_class != no_index && route.tenant != no_index) keys.emplace_back(no_index, no_index);
      for (const auto& key : keys) {
        const auto it = same.find(key);
        if (it == same.end()) continue;
        taken.insert(taken.end(), it->second.spans.begin(), it->second.spans.end());
        by = it->second.location;
      }
      const auto key = "route." + (route.prefix.empty() ? "all" : route.prefix);
      if (by && within(own, units::joined(taken))) {
        fault(route.location, key,
              "no look-up reaches this route, since the one at " + place_text(*by) + " takes them all",
              "a route of its own prefix, class, tenant or time");
      }
      check_class(route, key);
      auto& mine = same[{route.traffic_class, route.tenant}];
      mine.spans.insert(mine.spans.end(), own.begin(), own.end());
      mine.spans = units::joined(std::move(mine.spans));
      mine.location = route.location;
    }
  }
  void check_class(const Route& route, const std::string& key) {
    if (route.traffic_class == no_index) return;
    const auto& name = config_.settings.classes[route.traffic_class].name;
    bool reached = false;
    if (route.tenant != no_index && config_.tenants[route.tenant].traffic_class != no_index) {
      reached = config_.tenants[route.tenant].traffic_class == route.traffic_class;
    } else {
      reached = may_be_of(route.prefix, route.traffic_class);
      for (std::size_t i = 0; route.tenant == no_index && !reached && i < config_.tenants.size(); ++i) {
        reached = config_.tenants[i].traffic_class == route.traffic_class;
      }
    }
    if (reached) return;
    fault(route.location, key + ".class",
          "no look-up of " + numbers_text(route.prefix) + " is of class " + name,
          "a class that these numbers or the tenant have");
  }

  void find_unused() {
    if (faults_.any_error()) return;
    const auto warn = [this](const SourceLocation& location, const std::string& key, const char* what) {
      fault(location, key, what, "", true);
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

  void finish() {
    for (const auto& policy : config_.policies) {
      for (std::uint32_t i = 0; i < config_.settings.classes.size(); ++i) {
        config_.longest_deadline_ms = std::max(config_.longest_deadline_ms, config_.deadline_ms(policy, i));
      }
    }
    if (faults_.any_error() || !config_.has_enum_frontend) return;
    try {
      (void)CallController(config_.settings, 0);
    } catch (const std::exception& error) {
      fault(tops_.back().location, "decisions", error.what());
    }
  }

  Faults& faults_;
  std::vector<ResolvedSetting>* notes_;
  Sources sources_;
  std::vector<Node> tops_;  ///< the file asked for comes last
  EnumConfig config_;
  Names classes_, class_prefixes_, tenants_, networks_, registries_, pools_, members_, policies_;
  config::v1::Policy default_policy_;
  std::vector<PolicyDraft> drafts_;
  std::map<std::string, std::uint32_t> schedules_, target_lists_;
  std::set<std::uint32_t> used_pools_, used_policies_, used_tenants_, used_registries_;
};

}  // namespace

double EnumConfig::deadline_ms(const Policy& policy, std::uint32_t traffic_class) const {
  return policy.deadline_ms > 0 ? policy.deadline_ms : to_ms(settings.classes[traffic_class].give_up_after);
}

EnumConfig read_site(const std::string& path, Faults& faults, std::vector<ResolvedSetting>* notes) {
  auto config = SiteReader(path, faults, notes).read();
  faults.sort();
  return config;
}

EnumConfig load_site(const std::string& path) {
  Faults faults;
  auto config = read_site(path, faults);
  if (faults.any_error()) throw ConfigError(faults);
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
  const auto add = [&out](const std::string& words) { out += (out.empty() ? "" : ", ") + words; };
  if (route.traffic_class != no_index) add("class " + config.settings.classes[route.traffic_class].name);
  if (route.tenant != no_index) add("tenant " + config.tenants[route.tenant].name);
  if (route.schedule != no_index) add(units::week_text(config.schedules[route.schedule]));
  return out;
}

std::string numbers_text(const std::string& prefix) {
  return prefix.empty() ? "all numbers" : "numbers " + prefix;
}

}  // namespace heathturn
