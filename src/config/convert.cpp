#include "config/convert.hpp"

#include <google/protobuf/text_format.h>

#include <algorithm>
#include <map>
#include <set>

#include "config/formatter.hpp"
#include "config/json_object.hpp"
#include "config/platform_config.hpp"
#include "config/units.hpp"
#include "core/clock.hpp"
#include "core/router.hpp"
#include "heathturn/config/v1/site.pb.h"

namespace heathturn {
namespace {

using namespace maddershed;

constexpr const char* registry_name = "registry";

/// Builds the site message from the JSON configuration, section by section.
class JsonSiteConversion {
 public:
  JsonSiteConversion(const JsonObject& root) : root_(root), settings_(read_settings(root).settings) {}

  const config::v1::Site& run() {
    site_.set_listen(root_.text("listen"));
    site_.set_suffix(root_.text("suffix"));
    if (root_.find("console") != nullptr) site_.set_console(root_.object("console").text("socket"));
    convert_classes();
    if (root_.find("eureka") != nullptr) convert_registry();
    convert_pools();
    convert_decisions();
    convert_routes();
    return site_;
  }

 private:
  void convert_classes() {
    for (const auto& each : settings_.classes) {
      auto& out = *site_.add_class_();
      out.set_name(each.name);
      out.set_worth(each.worth);
      if (each.late_worth_share > 0) out.set_late_share(units::share_text(each.late_worth_share));
      out.set_aim(units::duration_text(to_ms(each.set_up_objective)));
      out.set_give_up(units::duration_text(to_ms(each.give_up_after)));
    }
  }

  void convert_registry() {
    const auto from = root_.object("eureka");
    auto& out = *site_.add_registry();
    out.set_name(registry_name);
    out.set_address(from.text("registry"));
    if (from.find("path") != nullptr) out.set_path(from.text("path"));
    const auto time = [&from](const char* key) { return units::duration_text(from.number(key, 50, 600000)); };
    if (from.find("fetch_every_ms") != nullptr) out.set_fetch_every(time("fetch_every_ms"));
    if (from.find("register_as") == nullptr) return;
    auto& own = *out.mutable_register_();
    own.set_application(from.text("register_as"));
    if (from.find("instance") != nullptr) own.set_instance(from.text("instance"));
    if (from.find("heartbeat_ms") != nullptr) own.set_heartbeat(time("heartbeat_ms"));
  }

  static std::uint32_t read_pool_number(const JsonObject& from, const char* key) {
    return static_cast<std::uint32_t>(from.number(key, 0, 65535));
  }

  /// Creates a pool for each number that look-ups are routed to.
  void convert_pools() {
    std::map<std::uint32_t, std::vector<JsonObject>> servers;
    if (root_.find("upstreams") != nullptr) {
      const auto& list = root_.array("upstreams");
      for (rapidjson::SizeType i = 0; i < list.Size(); ++i) {
        const JsonObject each(list[i], "upstreams." + std::to_string(i));
        servers[read_pool_number(each, "number")].push_back(each);
      }
    }
    const bool has_registry = site_.registry_size() > 0;
    const auto& numbers = root_.array("numbers");
    for (rapidjson::SizeType i = 0; i < numbers.Size(); ++i) {
      const JsonObject each(numbers[i], "numbers." + std::to_string(i));
      const auto number = read_pool_number(each, "destination");
      if (!has_registry && !servers.contains(number)) {
        throw InputError(each.path("destination") + ": no upstream has the number " + std::to_string(number));
      }
      servers[number];
    }
    for (const auto& [number, members] : servers) {
      auto& pool = *site_.add_pool();
      pool.set_name(members.size() == 1 && !has_registry ? members.front().text("name")
                                                         : "number-" + std::to_string(number));
      pool_names_[number] = pool.name();
      for (const auto& each : members) {
        auto& member = *pool.add_member();
        member.set_name(each.text("name"));
        member.set_address(each.text("address"));
        if (each.find("lookups") != nullptr) {
          member.set_most_requests(static_cast<std::uint32_t>(each.number("lookups", 1, 10000)));
        }
      }
      if (!has_registry) continue;
      auto& from = *pool.mutable_from_registry();
      from.set_registry(registry_name);
      from.set_application(root_.object("eureka").text("application"));
      from.set_number(number);
    }
  }

  void convert_decisions() {
    auto& out = *site_.mutable_decisions();
    out.set_routers(settings_.controller_count);
    const auto attempts = std::min(settings_.attempt_limit, max_attempts_per_request);
    out.set_attempts(attempts);
    const double wait_ms = to_ms(settings_.release_wait) - socket_slack_ms;
    if (wait_ms > 0) out.set_release_wait(units::duration_text(wait_ms));
    if (settings_.batch_interval > Duration{0})
      out.set_step(units::duration_text(to_ms(settings_.batch_interval)));
    out.set_cancelling(settings_.cancelling);
    if (settings_.start_capacity < 1) out.set_start_capacity(units::share_text(settings_.start_capacity));
    if (settings_.cold_time > Duration{0})
      out.set_cold_time(units::duration_text(to_ms(settings_.cold_time)));
    auto& policy = *site_.add_policy();
    policy.set_name("default");
    policy.set_attempts(attempts);
  }

  void convert_routes() {
    const auto& numbers = root_.array("numbers");
    std::set<std::string> policies;
    for (rapidjson::SizeType i = 0; i < numbers.Size(); ++i) {
      const JsonObject each(numbers[i], "numbers." + std::to_string(i));
      const auto prefix = each.text("prefix");
      const auto name = each.text("class", settings_.classes.front().name);
      const auto matching_class =
          std::find_if(settings_.classes.begin(), settings_.classes.end(),
                       [&name](const auto& candidate) { return candidate.name == name; });
      if (matching_class == settings_.classes.end())
        throw InputError(each.path("class") + " is not a class of the settings");
      site_.mutable_class_(static_cast<int>(matching_class - settings_.classes.begin()))->add_prefix(prefix);
      auto& route = *site_.add_route();
      if (!prefix.empty()) route.add_prefix(prefix);
      // In the JSON form, every other upstream served as the second choice.
      const auto first_choice = read_pool_number(each, "destination");
      route.add_to()->set_pool(pool_names_.at(first_choice));
      for (const auto& [number, pool] : pool_names_) {
        if (number != first_choice) route.add_to()->set_pool(pool);
      }
      const double give_up_ms = to_ms(matching_class->give_up_after);
      const double deadline_ms = each.number("deadline_ms", 100, 60000, give_up_ms);
      if (deadline_ms == give_up_ms) continue;
      const auto text = units::duration_text(deadline_ms);
      const auto policy_name = "within-" + text;
      route.set_policy(policy_name);
      if (!policies.insert(policy_name).second) continue;
      auto& policy = *site_.add_policy();
      policy.set_name(policy_name);
      policy.set_base("default");
      policy.set_deadline(text);
    }
  }

  const JsonObject& root_;
  Settings settings_;
  config::v1::Site site_;
  std::map<std::uint32_t, std::string> pool_names_;  ///< by number
};

}  // namespace

std::string convert_json_site(const std::string& name, const std::string& json) {
  rapidjson::Document document;
  parse_json(document, json, name);
  const JsonObject root(document, "");
  JsonSiteConversion conversion(root);
  std::string text;
  google::protobuf::TextFormat::PrintToString(conversion.run(), &text);
  // Puts an empty line before each block whose kind differs from that of the entry before it.
  std::string spaced = "# Converted from " + name + ".\n";
  std::string previous_key;
  for (std::size_t position = 0; position < text.size();) {
    const auto end = std::min(text.find('\n', position), text.size());
    const auto line = text.substr(position, end - position);
    const auto key = line.substr(0, line.find_first_of(": "));
    const bool is_top_level = !line.empty() && line.front() != ' ' && line.front() != '}';
    if (is_top_level && key != previous_key && line.back() == '{') spaced += "\n";
    if (is_top_level) previous_key = key;
    spaced += line + "\n";
    position = end + 1;
  }
  Diagnostics diagnostics;
  const auto out = format_source(name, spaced, diagnostics);
  if (!out) throw ConfigError(diagnostics);
  return *out;
}

}  // namespace heathturn
