#include "config/site_diff.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "config/site_reader.hpp"
#include "core/clock.hpp"
#include "routes/route_table.hpp"

namespace heathturn {
namespace {

using routes::LookUp;
using routes::RouteTable;
using units::minutes_per_week;

constexpr std::size_t max_listed_prefixes = 5;          // prefixes listed in one sentence
constexpr std::size_t max_cases_per_prefix = 20000;     // combinations of class, tenant and time
constexpr std::uint32_t unlisted_index = no_index - 1;  // an index of a class or tenant that no route names

std::string text_or_none(const std::string& text) { return text.empty() ? "none" : text; }
std::string limit_text(std::uint32_t limit) { return limit == 0 ? "no limit" : std::to_string(limit); }
std::string zones_text(const std::vector<std::string>& zones) {
  std::string out;
  for (const auto& each : zones) out += (out.empty() ? "" : ", ") + each;
  return text_or_none(out);
}

/// The items by name.
template <typename Item>
std::map<std::string, const Item*> by_name(const std::vector<Item>& items) {
  std::map<std::string, const Item*> out;
  for (const auto& each : items) out[each.name] = &each;
  return out;
}

/// Compares two configurations section by section, and the routes by their effect on each prefix.
class SiteComparison {
 public:
  SiteComparison(const EnumConfig& before, const EnumConfig& after)
      : before_(before), after_(after), table_before_(before), table_after_(after) {}

  SiteDifference run() {
    compare_site();
    compare_decisions();
    compare_handshakes();
    compare_classes();
    compare_tenants();
    compare_registries();
    compare_pools();
    compare_policies();
    compare_routes();
    return std::move(difference_);
  }

 private:
  void add(const char* kind, const std::string& subject, const std::string& text,
           bool needs_restart = false) {
    difference_.changes.push_back({kind, subject, text, needs_restart});
  }
  /// Adds a change "SUBJECT: KEY NEW, was OLD" if the formatted values differ.
  void compare(const char* kind, const std::string& subject, const std::string& key,
               const std::string& before, const std::string& after, bool needs_restart = false) {
    if (before != after) {
      add(kind, subject, (subject.empty() ? "" : subject + ": ") + key + " " + after + ", was " + before,
          needs_restart);
    }
  }
  void compare_duration(const char* kind, const std::string& subject, const std::string& key,
                        maddershed::Duration before, maddershed::Duration after, bool needs_restart) {
    compare(kind, subject, key, units::duration_text(to_ms(before)), units::duration_text(to_ms(after)),
            needs_restart);
  }
  /// Adds a change for each item that is new or gone, and calls `visit` with the two items of each name that
  /// is in both lists.
  template <typename Item, typename Visit>
  void compare_by_name(const char* kind, const std::vector<Item>& before, const std::vector<Item>& after,
                       bool needs_restart, const Visit& visit) {
    const auto old = by_name(before), current = by_name(after);
    for (const auto& [name, item] : old) {
      const auto subject = std::string(kind) + " " + name;
      const auto it = current.find(name);
      if (it == current.end()) {
        add(kind, subject, subject + ": gone", needs_restart);
      } else {
        visit(subject, *item, *it->second);
      }
    }
    for (const auto& [name, item] : current) {
      const auto subject = std::string(kind) + " " + name;
      if (!old.contains(name)) add(kind, subject, subject + ": new", needs_restart);
    }
  }

  void compare_site() {
    compare("site", "", "listen", before_.listen.text(), after_.listen.text(), true);
    compare("site", "", "suffix", before_.suffix, after_.suffix);
    compare("site", "", "console", text_or_none(before_.console_path), text_or_none(after_.console_path),
            true);
    compare("site", "", "converters' TLS", tls_text(before_.converter_tls), tls_text(after_.converter_tls));
    compare("site", "", "time_zone", units::time_zone_text(before_.time_zone),
            units::time_zone_text(after_.time_zone));
  }

  void compare_decisions() {
    const auto &a = before_.settings, &b = after_.settings;
    const std::string subject = "decisions";
    compare("decisions", subject, "routers", std::to_string(a.controller_count),
            std::to_string(b.controller_count), true);
    compare("decisions", subject, "attempts", std::to_string(a.attempt_limit),
            std::to_string(b.attempt_limit), true);
    compare_duration("decisions", subject, "release_wait", a.release_wait, b.release_wait, true);
    compare_duration("decisions", subject, "step", a.batch_interval, b.batch_interval, true);
    compare("decisions", subject, "cancelling", a.cancelling ? "true" : "false",
            b.cancelling ? "true" : "false", true);
    compare("decisions", subject, "start_capacity", units::share_text(a.start_capacity),
            units::share_text(b.start_capacity), true);
    compare_duration("decisions", subject, "cold_time", a.cold_time, b.cold_time, true);
  }

  void compare_handshakes() {
    const auto &a = before_.handshakes, &b = after_.handshakes;
    const std::string subject = "handshakes";
    const auto compare_ms = [&](const char* key, double before, double after) {
      compare("handshakes", subject, key, units::duration_text(before), units::duration_text(after), true);
    };
    compare("handshakes", subject, "share", units::share_text(a.processor_share),
            units::share_text(b.processor_share), true);
    compare_ms("full_cost", a.full_cost_ms, b.full_cost_ms);
    compare_ms("resumed_cost", a.resumed_cost_ms, b.resumed_cost_ms);
    compare_ms("slow", a.slow_handshake_ms, b.slow_handshake_ms);
    compare("handshakes", subject, "most_in_all", std::to_string(a.max_in_flight),
            std::to_string(b.max_in_flight), true);
  }

  void compare_classes() {
    compare_by_name("class", before_.settings.classes, after_.settings.classes, true,
                    [this](const std::string& subject, const auto& a, const auto& b) {
                      compare("class", subject, "worth", units::number_text(a.worth),
                              units::number_text(b.worth), true);
                      compare("class", subject, "late_share", units::share_text(a.late_worth_share),
                              units::share_text(b.late_worth_share), true);
                      compare_duration("class", subject, "aim", a.set_up_objective, b.set_up_objective, true);
                      compare_duration("class", subject, "give_up", a.give_up_after, b.give_up_after, true);
                    });
    if (!before_.has_enum_frontend || !after_.has_enum_frontend) return;
    // Compares the class that each prefix resolves to, not the classes' lists of prefixes.
    std::set<std::string> prefixes{""};
    for (const auto& each : before_.class_prefixes) prefixes.insert(each.prefix);
    for (const auto& each : after_.class_prefixes) prefixes.insert(each.prefix);
    for (const auto& prefix : prefixes) {
      const auto& class_before = before_.settings.classes[table_before_.class_of(prefix, no_index)].name;
      const auto& class_after = after_.settings.classes[table_after_.class_of(prefix, no_index)].name;
      const auto subject = prefix.empty() ? "numbers of no other class" : numbers_text(prefix);
      compare("class", subject, "class", class_before, class_after);
    }
    // The decision module identifies classes by index, so a different order is a different set of classes.
    bool same_order = before_.settings.classes.size() == after_.settings.classes.size();
    for (std::size_t i = 0; same_order && i < before_.settings.classes.size(); ++i) {
      same_order = before_.settings.classes[i].name == after_.settings.classes[i].name;
    }
    const bool class_change_needs_restart =
        std::any_of(difference_.changes.begin(), difference_.changes.end(),
                    [](const auto& each) { return each.kind == "class" && each.needs_restart; });
    if (!same_order && !class_change_needs_restart) class_order_changed_ = true;
  }

  void compare_tenants() {
    compare_by_name(
        "tenant", before_.tenants, after_.tenants, false,
        [this](const std::string& subject, const Tenant& a, const Tenant& b) {
          const auto class_text = [](const EnumConfig& config, const Tenant& tenant) {
            return tenant.traffic_class == no_index ? "the number's"
                                                    : config.settings.classes[tenant.traffic_class].name;
          };
          compare("tenant", subject, "class", class_text(before_, a), class_text(after_, b));
          const auto networks = [](const Tenant& tenant) {
            std::set<std::string> out;
            for (const auto& each : tenant.networks) {
              const auto host = Address{each.host, 0}.text();
              out.insert(host.substr(0, host.find(':')) + "/" + std::to_string(each.prefix_length));
            }
            return out;
          };
          const auto old = networks(a), current = networks(b);
          for (const auto& each : old) {
            if (!current.contains(each)) add("tenant", subject, subject + ": no longer from " + each);
          }
          for (const auto& each : current) {
            if (!old.contains(each)) add("tenant", subject, subject + ": also from " + each);
          }
        });
  }

  void compare_registries() {
    compare_by_name("registry", before_.registries, after_.registries, true,
                    [this](const std::string& subject, const EurekaConfig& a, const EurekaConfig& b) {
                      compare("registry", subject, "address", a.address.text(), b.address.text(), true);
                      compare("registry", subject, "path", text_or_none(a.path), text_or_none(b.path), true);
                      compare("registry", subject, "fetch_every", units::duration_text(a.fetch_every_ms),
                              units::duration_text(b.fetch_every_ms), true);
                      compare("registry", subject, "register.application", text_or_none(a.own_application),
                              text_or_none(b.own_application), true);
                      compare("registry", subject, "register.instance", text_or_none(a.own_instance),
                              text_or_none(b.own_instance), true);
                      compare("registry", subject, "register.heartbeat", units::duration_text(a.heartbeat_ms),
                              units::duration_text(b.heartbeat_ms), true);
                    });
  }

  static std::string registry_source_text(const EnumConfig& config, const Pool& pool) {
    if (!pool.from_registry) return "none";
    const auto& from = *pool.from_registry;
    return config.registries[from.registry].name + "/" + from.application +
           (from.number ? " number " + std::to_string(*from.number) : "") + " weight " +
           units::number_text(from.weight);
  }

  static std::string tls_text(const std::optional<tls::TlsConfig>& config) {
    if (!config) return "none";
    const auto& tls = *config;
    std::string out = tls.verify ? "verified" : "not verified";
    const auto add = [&out](const char* what, const std::string& value) {
      if (!value.empty()) out += std::string(", ") + what + " " + value;
    };
    for (const auto& each : tls.trust) add("trust", each);
    add("name", tls.name);
    if (!tls.pins.empty()) add("pins", std::to_string(tls.pins.size()));
    add("certificate", tls.certificate);
    add("key", tls.key);
    add("crl", tls.crl);
    for (const auto& each : tls.alpn) add("alpn", each);
    if (tls.tls13_only) add("lowest", "1.3");
    add("handshake", units::duration_text(tls.handshake_timeout_ms));
    if (tls.max_connection_age_ms > 0) add("most_age", units::duration_text(tls.max_connection_age_ms));
    return out + ", connections " + std::to_string(tls.connections_per_member);
  }

  void compare_pools() {
    compare_by_name("pool", before_.pools, after_.pools, false,
                    [this](const std::string& subject, const Pool& a, const Pool& b) {
                      compare("pool", subject, "most_requests", limit_text(a.max_open_requests),
                              limit_text(b.max_open_requests));
                      compare("pool", subject, "zones", zones_text(a.zones), zones_text(b.zones));
                      compare("pool", subject, "TLS", tls_text(a.tls), tls_text(b.tls));
                      compare("pool", subject, "members from registry", registry_source_text(before_, a),
                              registry_source_text(after_, b));
                      std::map<std::string, const Member*> old, current;
                      for (const auto& each : a.members) old[each.converter.name] = &each;
                      for (const auto& each : b.members) current[each.converter.name] = &each;
                      for (const auto& [name, member] : old) {
                        const auto it = current.find(name);
                        const auto key = "member " + name;
                        if (it == current.end()) {
                          add("pool", subject, subject + ": " + key + " gone");
                          continue;
                        }
                        const auto& member_after = *it->second;
                        compare("pool", subject, key + " address", member->converter.address.text(),
                                member_after.converter.address.text());
                        compare("pool", subject, key + " weight", units::number_text(member->weight),
                                units::number_text(member_after.weight));
                        compare("pool", subject, key + " zone", text_or_none(member->zone),
                                text_or_none(member_after.zone));
                        compare("pool", subject, key + " most_requests",
                                std::to_string(member->converter.circuits),
                                std::to_string(member_after.converter.circuits));
                      }
                      for (const auto& [name, member] : current) {
                        if (old.contains(name)) continue;
                        add("pool", subject,
                            subject + ": member " + name + " new, at " + member->converter.address.text() +
                                ", weight " + units::number_text(member->weight));
                      }
                    });
  }

  void compare_policies() {
    compare_by_name("policy", before_.policies, after_.policies, false,
                    [this](const std::string& subject, const Policy& a, const Policy& b) {
                      const auto deadline = [](const Policy& policy) {
                        return policy.deadline_ms == 0 ? "the class's give_up"
                                                       : units::duration_text(policy.deadline_ms);
                      };
                      const auto rate = [](const Policy& policy) {
                        return policy.rate_per_second == 0 ? "no limit"
                                                           : units::rate_text(policy.rate_per_second) +
                                                                 " burst " + units::number_text(policy.burst);
                      };
                      compare("policy", subject, "deadline", deadline(a), deadline(b));
                      compare("policy", subject, "attempts", std::to_string(a.max_attempts),
                              std::to_string(b.max_attempts));
                      compare("policy", subject, "retry_wait", units::duration_text(a.retry_wait_ms),
                              units::duration_text(b.retry_wait_ms));
                      compare("policy", subject, "most_open", limit_text(a.max_open_requests),
                              limit_text(b.max_open_requests));
                      compare("policy", subject, "rate", rate(a), rate(b));
                    });
  }

  // ---- Routes ------------------------------------------------------------------------------------------

  /// The effect of a number getting another route. The text is empty when there is none.
  struct Effect {
    std::string text;
    bool moves_first_choice = false;  ///< first choices go to other pools or in other shares
  };

  /// Returns a cached description, because many prefixes change between the same routes.
  const Effect& effect(const Route* route_before, const Route* route_after) {
    constexpr auto no_route = std::pair(no_index, no_index);
    const auto key_of = [&](const Route* route) {
      return route == nullptr ? no_route : std::pair(route->target_list, route->policy);
    };
    const auto [it, inserted] =
        effects_by_route_.try_emplace(std::pair(key_of(route_before), key_of(route_after)));
    if (inserted) it->second = describe(route_before, route_after);
    return it->second;
  }

  Effect describe(const Route* route_before, const Route* route_after) const {
    if (route_before == nullptr && route_after == nullptr) return {};
    if (route_before == nullptr) {
      return {"new: " + targets_text(after_, after_.target_lists[route_after->target_list]) + "; policy " +
                  after_.policies[route_after->policy].name,
              true};
    }
    if (route_after == nullptr) {
      return {"no route any more, was " +
                  targets_text(before_, before_.target_lists[route_before->target_list]) + "; policy " +
                  before_.policies[route_before->policy].name,
              true};
    }
    Effect out;
    const auto add_clause = [&out](const std::string& clause) {
      out.text += (out.text.empty() ? "" : "; ") + clause;
    };
    const auto pool_shares = [](const EnumConfig& config, const Route& route) {
      std::vector<std::pair<std::string, double>> list;
      for (const auto& each : config.target_lists[route.target_list])
        list.emplace_back(config.pools[each.pool].name, each.share);
      return list;
    };
    const auto old = pool_shares(before_, *route_before), current = pool_shares(after_, *route_after);
    const auto find = [](const auto& list, const std::string& name) {
      return std::find_if(list.begin(), list.end(), [&](const auto& each) { return each.first == name; });
    };
    bool pools_change = false;
    for (const auto& [pool, share] : current) {
      const auto it = find(old, pool);
      const bool known = it != old.end();
      const double before = known ? it->second : 0;
      if (units::share_text(before) != units::share_text(share)) out.moves_first_choice = true;
      if (known && units::share_text(before) == units::share_text(share)) continue;
      pools_change = pools_change || !known;
      add_clause((share > 0 ? units::share_text(share) + " to pool " + pool : "only then to pool " + pool) +
                 (known ? ", was " + units::share_text(before) : ", which is new there"));
    }
    for (const auto& [pool, share] : old) {
      if (find(current, pool) != current.end()) continue;
      pools_change = true;
      out.moves_first_choice = out.moves_first_choice || share > 0;
      add_clause("no longer to pool " + pool + (share > 0 ? ", was " + units::share_text(share) : ""));
    }
    std::string order_before, order_after;
    for (const auto& each : old) order_before += (order_before.empty() ? "" : ", ") + each.first;
    for (const auto& each : current) order_after += (order_after.empty() ? "" : ", ") + each.first;
    if (!pools_change && order_before != order_after)
      add_clause("pools in the order " + order_after + ", was " + order_before);
    const auto &policy_before = before_.policies[route_before->policy].name,
               &policy_after = after_.policies[route_after->policy].name;
    if (policy_before != policy_after) add_clause("policy " + policy_after + ", was " + policy_before);
    return out;
  }

  /// The classes, tenants and times by which the candidate routes of a prefix differ.
  struct Cases {
    std::set<std::string> classes, tenants;
    std::set<std::uint16_t> times{0};
    [[nodiscard]] bool is_single() const { return classes.empty() && tenants.empty() && times.size() == 1; }
    [[nodiscard]] std::size_t count() const {
      return (classes.size() + 1) * (tenants.size() + 1) * times.size();
    }
  };
  static void collect_cases(const EnumConfig& config, const RouteTable& table, const std::string& prefix,
                            Cases& cases) {
    for (const auto* route : table.candidate_routes(prefix)) {
      if (route->traffic_class != no_index)
        cases.classes.insert(config.settings.classes[route->traffic_class].name);
      if (route->tenant != no_index) cases.tenants.insert(config.tenants[route->tenant].name);
      if (route->schedule == no_index) continue;
      for (const auto& span : config.schedules[route->schedule]) {
        cases.times.insert(span.from);
        if (span.to < minutes_per_week) cases.times.insert(span.to);
      }
    }
  }
  static std::uint32_t class_index(const EnumConfig& config, const std::string& name) {
    for (std::uint32_t i = 0; i < config.settings.classes.size(); ++i) {
      if (config.settings.classes[i].name == name) return i;
    }
    return unlisted_index;
  }
  static std::uint32_t tenant_index(const EnumConfig& config, const std::string& name) {
    for (std::uint32_t i = 0; i < config.tenants.size(); ++i) {
      if (config.tenants[i].name == name) return i;
    }
    return name.empty() ? no_index : unlisted_index;
  }

  void compare_routes() {
    std::set<std::string> prefixes;
    for (const auto* config : {&before_, &after_}) {
      for (const auto& route : config->routes) prefixes.insert(route.prefix);
    }
    difference_.prefix_count = prefixes.size();
    for (const auto& prefix : prefixes) {
      Cases cases;
      collect_cases(before_, table_before_, prefix, cases);
      collect_cases(after_, table_after_, prefix, cases);
      bool moves = false;
      if (cases.is_single()) {
        const auto& change = effect(table_before_.find({prefix, unlisted_index, no_index, 0}),
                                    table_after_.find({prefix, unlisted_index, no_index, 0}));
        moves = change.moves_first_choice;
        if (!change.text.empty()) add_to_group("", change.text, prefix);
      } else if (cases.count() <= max_cases_per_prefix) {
        moves = compare_cases(prefix, cases);
      } else {
        add_to_group("", "so many classes, tenants and times that they were not compared", prefix);
      }
      if (moves) ++difference_.moved_prefix_count;
    }
    if (class_order_changed_) add("class", "classes", "classes: they stand in another order", true);
    for (const auto& [key, group] : route_groups_) {
      std::string subject = group.listed.front().empty() ? "all numbers" : "numbers " + group.listed.front();
      for (std::size_t i = 1; i < group.listed.size(); ++i) {
        subject += ", " + (group.listed[i].empty() ? "all others" : group.listed[i]);
      }
      if (group.count > group.listed.size())
        subject += " and " + std::to_string(group.count - group.listed.size()) + " more";
      const auto& [condition, text] = key;
      const auto full_subject = condition.empty() ? subject : subject + ", " + condition;
      add("route", full_subject, full_subject + ": " + text);
    }
  }

  bool compare_cases(const std::string& prefix, const Cases& cases) {
    bool moves = false;
    auto classes = cases.classes, tenants = cases.tenants;
    // The empty name stands for all classes, or tenants, that no route of the prefix names.
    classes.insert("");
    tenants.insert("");
    std::map<std::string, std::map<std::pair<std::string, std::string>, std::vector<units::WeekSpan>>>
        cases_by_text;
    for (const auto& class_name : classes) {
      for (const auto& tenant : tenants) {
        for (auto it = cases.times.begin(); it != cases.times.end(); ++it) {
          const auto next = std::next(it);
          const auto end = next == cases.times.end() ? minutes_per_week : *next;
          const auto& change = effect(table_before_.find({prefix, class_index(before_, class_name),
                                                          tenant_index(before_, tenant), *it}),
                                      table_after_.find({prefix, class_index(after_, class_name),
                                                         tenant_index(after_, tenant), *it}));
          moves = moves || change.moves_first_choice;
          if (change.text.empty()) continue;
          auto& spans = cases_by_text[change.text][{class_name, tenant}];
          if (!spans.empty() && spans.back().to == *it) {
            spans.back().to = end;
          } else {
            spans.push_back({*it, end});
          }
        }
      }
    }
    for (const auto& [text, cases_of_text] : cases_by_text) {
      const auto is_whole_week = [](const auto& each) {
        return each.second.size() == 1 && each.second[0].from == 0 && each.second[0].to == minutes_per_week;
      };
      if (cases_of_text.size() == classes.size() * tenants.size() &&
          std::all_of(cases_of_text.begin(), cases_of_text.end(), is_whole_week)) {
        add_to_group("", text, prefix);
        continue;
      }
      for (const auto& each : cases_of_text) {
        std::string condition;
        const auto add_condition = [&condition](const std::string& clause) {
          condition += (condition.empty() ? "" : ", ") + clause;
        };
        if (!cases.classes.empty())
          add_condition(each.first.first.empty() ? "other classes" : "class " + each.first.first);
        if (!cases.tenants.empty())
          add_condition(each.first.second.empty() ? "other tenants" : "tenant " + each.first.second);
        if (!is_whole_week(each)) add_condition(units::week_text(each.second));
        add_to_group(condition, text, prefix);
      }
    }
    return moves;
  }

  void add_to_group(const std::string& condition, const std::string& text, const std::string& prefix) {
    auto& group = route_groups_[{condition, text}];
    ++group.count;
    if (group.listed.size() < max_listed_prefixes) group.listed.push_back(prefix);
  }

  /// The prefixes with the same change.
  struct RouteGroup {
    std::vector<std::string> listed;  ///< the first ones
    std::size_t count = 0;
  };
  const EnumConfig &before_, &after_;
  RouteTable table_before_, table_after_;
  SiteDifference difference_;
  bool class_order_changed_ = false;
  std::map<std::pair<std::pair<std::uint32_t, std::uint32_t>, std::pair<std::uint32_t, std::uint32_t>>,
           Effect>
      effects_by_route_;
  std::map<std::pair<std::string, std::string>, RouteGroup> route_groups_;  ///< by condition and text
};

}  // namespace

std::string SiteDifference::summary() const {
  if (moved_prefix_count == 0) return "";
  return "about " + std::to_string(moved_prefix_count) + " of " + std::to_string(prefix_count) +
         " ranges of numbers change their first pool";
}

SiteDifference diff_sites(const EnumConfig& before, const EnumConfig& after) {
  return SiteComparison(before, after).run();
}

std::string to_json(const SiteDifference& difference) {
  rapidjson::StringBuffer out;
  rapidjson::Writer<rapidjson::StringBuffer> json(out);
  const auto text = [&json](const char* key, const std::string& value) {
    json.Key(key);
    json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  json.StartObject();
  json.Key("changes");
  json.StartArray();
  for (const auto& each : difference.changes) {
    json.StartObject();
    text("kind", each.kind);
    text("subject", each.subject);
    text("text", each.text);
    json.Key("restart");
    json.Bool(each.needs_restart);
    json.EndObject();
  }
  json.EndArray();
  json.Key("ranges");
  json.Uint64(difference.prefix_count);
  json.Key("moved");
  json.Uint64(difference.moved_prefix_count);
  json.EndObject();
  return {out.GetString(), out.GetSize()};
}

}  // namespace heathturn
