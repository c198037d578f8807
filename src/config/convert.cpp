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

class Converting {
 public:
  Converting(const JsonObject& root) : root_(root), settings_(read_settings(root).settings) {}

  const config::v1::Site& run() {
    site_.set_listen(root_.text("listen"));
    site_.set_suffix(root_.text("suffix"));
    if (root_.find("console") != nullptr) site_.set_console(root_.object("console").text("socket"));
    classes();
    if (root_.find("eureka") != nullptr) registry();
    pools();
    decisions();
    routes();
    return site_;
  }

 private:
  void classes() {
    for (const auto& each : settings_.classes) {
      auto& out = *site_.add_class_();
      out.set_name(each.name);
      out.set_worth(each.worth);
      if (each.late_worth_share > 0) out.set_late_share(units::share_text(each.late_worth_share));
      out.set_aim(units::duration_text(to_ms(each.set_up_objective)));
      out.set_give_up(units::duration_text(to_ms(each.give_up_after)));
    }
  }

  void registry() {
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

  static std::uint32_t number_in(const JsonObject& from, const char* key) {
    return static_cast<std::uint32_t>(from.number(key, 0, 65535));
  }

  /// One pool for each number that look-ups went to.
  void pools() {
    std::map<std::uint32_t, std::vector<JsonObject>> servers;
    if (root_.find("upstreams") != nullptr) {
      const auto& list = root_.array("upstreams");
      for (rapidjson::SizeType i = 0; i < list.Size(); ++i) {
        const JsonObject each(list[i], "upstreams." + std::to_string(i));
        servers[number_in(each, "number")].push_back(each);
      }
    }
    const bool listed = site_.registry_size() > 0;
    const auto& numbers = root_.array("numbers");
    for (rapidjson::SizeType i = 0; i < numbers.Size(); ++i) {
      const JsonObject each(numbers[i], "numbers." + std::to_string(i));
      const auto number = number_in(each, "destination");
      if (!listed && !servers.contains(number)) {
        throw InputError(each.path("destination") + ": no upstream has the number " + std::to_string(number));
      }
      servers[number];
    }
    for (const auto& [number, members] : servers) {
      auto& pool = *site_.add_pool();
      pool.set_name(members.size() == 1 && !listed ? members.front().text("name")
                                                   : "number-" + std::to_string(number));
      pools_[number] = pool.name();
      for (const auto& each : members) {
        auto& member = *pool.add_member();
        member.set_name(each.text("name"));
        member.set_address(each.text("address"));
        if (each.find("lookups") != nullptr) {
          member.set_most_requests(static_cast<std::uint32_t>(each.number("lookups", 1, 10000)));
        }
      }
      if (!listed) continue;
      auto& from = *pool.mutable_from_registry();
      from.set_registry(registry_name);
      from.set_application(root_.object("eureka").text("application"));
      from.set_number(number);
    }
  }

  void decisions() {
    auto& out = *site_.mutable_decisions();
    out.set_routers(settings_.controller_count);
    const auto attempts = std::min(settings_.attempt_limit, max_attempts_per_request);
    out.set_attempts(attempts);
    const double wait = to_ms(settings_.release_wait) - socket_slack_ms;
    if (wait > 0) out.set_release_wait(units::duration_text(wait));
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

  void routes() {
    const auto& numbers = root_.array("numbers");
    std::set<std::string> policies;
    for (rapidjson::SizeType i = 0; i < numbers.Size(); ++i) {
      const JsonObject each(numbers[i], "numbers." + std::to_string(i));
      const auto prefix = each.text("prefix");
      const auto name = each.text("class", settings_.classes.front().name);
      const auto kind = std::find_if(settings_.classes.begin(), settings_.classes.end(),
                                     [&name](const auto& other) { return other.name == name; });
      if (kind == settings_.classes.end())
        throw InputError(each.path("class") + " is not a class of the settings");
      site_.mutable_class_(static_cast<int>(kind - settings_.classes.begin()))->add_prefix(prefix);
      auto& route = *site_.add_route();
      if (!prefix.empty()) route.add_prefix(prefix);
      // Any other upstream served as second choice.
      const auto first = number_in(each, "destination");
      route.add_to()->set_pool(pools_.at(first));
      for (const auto& [number, pool] : pools_) {
        if (number != first) route.add_to()->set_pool(pool);
      }
      const double give_up = to_ms(kind->give_up_after);
      const double deadline = each.number("deadline_ms", 100, 60000, give_up);
      if (deadline == give_up) continue;
      const auto text = units::duration_text(deadline);
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
  std::map<std::uint32_t, std::string> pools_;  ///< names, by number
};

}  // namespace

std::string convert_json_site(const std::string& name, const std::string& json) {
  rapidjson::Document document;
  parse_json(document, json, name);
  const JsonObject root(document, "");
  Converting converting(root);
  std::string text;
  google::protobuf::TextFormat::PrintToString(converting.run(), &text);
  // Each thing of the site stands apart from the one before it.
  std::string spaced = "# Converted from " + name + ".\n";
  std::string last;
  for (std::size_t at = 0; at < text.size();) {
    const auto end = std::min(text.find('\n', at), text.size());
    const auto line = text.substr(at, end - at);
    const auto key = line.substr(0, line.find_first_of(": "));
    const bool opens = !line.empty() && line.front() != ' ' && line.front() != '}';
    if (opens && key != last && line.back() == '{') spaced += "\n";
    if (opens) last = key;
    spaced += line + "\n";
    at = end + 1;
  }
  Faults faults;
  const auto out = format_source(name, spaced, faults);
  if (!out) throw ConfigError(faults);
  return *out;
}

}  // namespace heathturn
