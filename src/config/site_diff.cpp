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

constexpr std::size_t most_shown = 5;          // numbers named in one sentence
constexpr std::size_t most_cases = 20000;      // of class, tenant and time looked at for one prefix
constexpr std::uint32_t other = no_index - 1;  // a class that no route names

std::string quoted(const std::string& text) { return text.empty() ? "none" : text; }
std::string limit_text(std::uint32_t limit) { return limit == 0 ? "no limit" : std::to_string(limit); }
std::string zones_text(const std::vector<std::string>& zones) {
  std::string out;
  for (const auto& each : zones) out += (out.empty() ? "" : ", ") + each;
  return quoted(out);
}

/// Items of one kind by their names.
template <typename Item>
std::map<std::string, const Item*> by_name(const std::vector<Item>& items) {
  std::map<std::string, const Item*> out;
  for (const auto& each : items) out[each.name] = &each;
  return out;
}

class Differ {
 public:
  Differ(const EnumConfig& before, const EnumConfig& after)
      : a_(before), b_(after), table_a_(before), table_b_(after) {}

  SiteDifference run() {
    site();
    decisions();
    handshakes();
    classes();
    tenants();
    registries();
    pools();
    policies();
    all_routes();
    return std::move(out_);
  }

 private:
  void add(const char* kind, const std::string& subject, const std::string& text, bool restart = false) {
    out_.changes.push_back({kind, subject, text, restart});
  }
  /// "SUBJECT: KEY NEW, was OLD", for values shown as texts.
  void value(const char* kind, const std::string& subject, const std::string& key, const std::string& before,
             const std::string& after, bool restart = false) {
    if (before != after) {
      add(kind, subject, (subject.empty() ? "" : subject + ": ") + key + " " + after + ", was " + before,
          restart);
    }
  }
  void time(const char* kind, const std::string& subject, const std::string& key, maddershed::Duration before,
            maddershed::Duration after, bool restart) {
    value(kind, subject, key, units::duration_text(to_ms(before)), units::duration_text(to_ms(after)),
          restart);
  }
  /// Calls for each name in either list, with the items that bear it or null.
  template <typename Item, typename Visit>
  void each_name(const char* kind, const std::vector<Item>& before, const std::vector<Item>& after,
                 bool restart, const Visit& both) {
    const auto old = by_name(before), fresh = by_name(after);
    for (const auto& [name, item] : old) {
      const auto subject = std::string(kind) + " " + name;
      const auto it = fresh.find(name);
      if (it == fresh.end()) {
        add(kind, subject, subject + ": gone", restart);
      } else {
        both(subject, *item, *it->second);
      }
    }
    for (const auto& [name, item] : fresh) {
      const auto subject = std::string(kind) + " " + name;
      if (!old.contains(name)) add(kind, subject, subject + ": new", restart);
    }
  }

  void site() {
    value("site", "", "listen", a_.listen.text(), b_.listen.text(), true);
    value("site", "", "suffix", a_.suffix, b_.suffix);
    value("site", "", "console", quoted(a_.console_path), quoted(b_.console_path), true);
    value("site", "", "converters' TLS", tls_text(a_.converter_tls), tls_text(b_.converter_tls));
    value("site", "", "time_zone", units::time_zone_text(a_.time_zone), units::time_zone_text(b_.time_zone));
  }

  void decisions() {
    const auto &a = a_.settings, &b = b_.settings;
    const std::string subject = "decisions";
    value("decisions", subject, "routers", std::to_string(a.controller_count),
          std::to_string(b.controller_count), true);
    value("decisions", subject, "attempts", std::to_string(a.attempt_limit), std::to_string(b.attempt_limit),
          true);
    time("decisions", subject, "release_wait", a.release_wait, b.release_wait, true);
    time("decisions", subject, "step", a.batch_interval, b.batch_interval, true);
    value("decisions", subject, "cancelling", a.cancelling ? "true" : "false",
          b.cancelling ? "true" : "false", true);
    value("decisions", subject, "start_capacity", units::share_text(a.start_capacity),
          units::share_text(b.start_capacity), true);
    time("decisions", subject, "cold_time", a.cold_time, b.cold_time, true);
  }

  void handshakes() {
    const auto &a = a_.handshakes, &b = b_.handshakes;
    const std::string subject = "handshakes";
    const auto time = [&](const char* key, double before, double after) {
      value("handshakes", subject, key, units::duration_text(before), units::duration_text(after), true);
    };
    value("handshakes", subject, "share", units::share_text(a.processor_share),
          units::share_text(b.processor_share), true);
    time("full_cost", a.full_cost_ms, b.full_cost_ms);
    time("resumed_cost", a.resumed_cost_ms, b.resumed_cost_ms);
    time("slow", a.slow_handshake_ms, b.slow_handshake_ms);
    value("handshakes", subject, "most_in_all", std::to_string(a.max_in_flight),
          std::to_string(b.max_in_flight), true);
  }

  void classes() {
    each_name("class", a_.settings.classes, b_.settings.classes, true,
              [this](const std::string& subject, const auto& a, const auto& b) {
                value("class", subject, "worth", units::number_text(a.worth), units::number_text(b.worth),
                      true);
                value("class", subject, "late_share", units::share_text(a.late_worth_share),
                      units::share_text(b.late_worth_share), true);
                time("class", subject, "aim", a.set_up_objective, b.set_up_objective, true);
                time("class", subject, "give_up", a.give_up_after, b.give_up_after, true);
              });
    if (!a_.has_enum_frontend || !b_.has_enum_frontend) return;
    // Which numbers are of which class, by the effect and not by who says it.
    std::set<std::string> prefixes{""};
    for (const auto& each : a_.class_prefixes) prefixes.insert(each.prefix);
    for (const auto& each : b_.class_prefixes) prefixes.insert(each.prefix);
    for (const auto& prefix : prefixes) {
      const auto& was = a_.settings.classes[table_a_.class_of(prefix, no_index)].name;
      const auto& is = b_.settings.classes[table_b_.class_of(prefix, no_index)].name;
      const auto subject = prefix.empty() ? "numbers of no other class" : numbers_text(prefix);
      value("class", subject, "class", was, is);
    }
    // The module knows classes by their places: another order is another set to it.
    bool same = a_.settings.classes.size() == b_.settings.classes.size();
    for (std::size_t i = 0; same && i < a_.settings.classes.size(); ++i) {
      same = a_.settings.classes[i].name == b_.settings.classes[i].name;
    }
    const bool told = std::any_of(out_.changes.begin(), out_.changes.end(), [](const auto& each) {
      return each.kind == "class" && each.needs_restart;
    });
    if (!same && !told) order_of_classes_ = true;
  }

  void tenants() {
    each_name("tenant", a_.tenants, b_.tenants, false,
              [this](const std::string& subject, const Tenant& a, const Tenant& b) {
                const auto class_text = [](const EnumConfig& config, const Tenant& tenant) {
                  return tenant.traffic_class == no_index
                             ? "the number's"
                             : config.settings.classes[tenant.traffic_class].name;
                };
                value("tenant", subject, "class", class_text(a_, a), class_text(b_, b));
                const auto networks = [](const Tenant& tenant) {
                  std::set<std::string> out;
                  for (const auto& each : tenant.networks) {
                    const auto host = Address{each.host, 0}.text();
                    out.insert(host.substr(0, host.find(':')) + "/" + std::to_string(each.prefix_length));
                  }
                  return out;
                };
                const auto old = networks(a), fresh = networks(b);
                for (const auto& each : old) {
                  if (!fresh.contains(each)) add("tenant", subject, subject + ": no longer from " + each);
                }
                for (const auto& each : fresh) {
                  if (!old.contains(each)) add("tenant", subject, subject + ": also from " + each);
                }
              });
  }

  void registries() {
    each_name("registry", a_.registries, b_.registries, true,
              [this](const std::string& subject, const EurekaConfig& a, const EurekaConfig& b) {
                value("registry", subject, "address", a.address.text(), b.address.text(), true);
                value("registry", subject, "path", quoted(a.path), quoted(b.path), true);
                value("registry", subject, "fetch_every", units::duration_text(a.fetch_every_ms),
                      units::duration_text(b.fetch_every_ms), true);
                value("registry", subject, "register.application", quoted(a.own_application),
                      quoted(b.own_application), true);
                value("registry", subject, "register.instance", quoted(a.own_instance),
                      quoted(b.own_instance), true);
                value("registry", subject, "register.heartbeat", units::duration_text(a.heartbeat_ms),
                      units::duration_text(b.heartbeat_ms), true);
              });
  }

  static std::string from_text(const EnumConfig& config, const Pool& pool) {
    if (!pool.from_registry) return "none";
    const auto& from = *pool.from_registry;
    return config.registries[from.registry].name + "/" + from.application +
           (from.number ? " number " + std::to_string(*from.number) : "") + " weight " +
           units::number_text(from.weight);
  }

  static std::string tls_text(const std::optional<tls::TlsConfig>& set) {
    if (!set) return "none";
    const auto& tls = *set;
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
    add("handshake", units::duration_text(tls.handshake_ms));
    if (tls.most_age_ms > 0) add("most_age", units::duration_text(tls.most_age_ms));
    return out + ", connections " + std::to_string(tls.connections);
  }

  void pools() {
    each_name("pool", a_.pools, b_.pools, false,
              [this](const std::string& subject, const Pool& a, const Pool& b) {
                value("pool", subject, "most_requests", limit_text(a.max_open_requests),
                      limit_text(b.max_open_requests));
                value("pool", subject, "zones", zones_text(a.zones), zones_text(b.zones));
                value("pool", subject, "TLS", tls_text(a.tls), tls_text(b.tls));
                value("pool", subject, "members from registry", from_text(a_, a), from_text(b_, b));
                std::map<std::string, const Member*> old, fresh;
                for (const auto& each : a.members) old[each.converter.name] = &each;
                for (const auto& each : b.members) fresh[each.converter.name] = &each;
                for (const auto& [name, member] : old) {
                  const auto it = fresh.find(name);
                  const auto key = "member " + name;
                  if (it == fresh.end()) {
                    add("pool", subject, subject + ": " + key + " gone");
                    continue;
                  }
                  const auto& is = *it->second;
                  value("pool", subject, key + " address", member->converter.address.text(),
                        is.converter.address.text());
                  value("pool", subject, key + " weight", units::number_text(member->weight),
                        units::number_text(is.weight));
                  value("pool", subject, key + " zone", quoted(member->zone), quoted(is.zone));
                  value("pool", subject, key + " most_requests", std::to_string(member->converter.circuits),
                        std::to_string(is.converter.circuits));
                }
                for (const auto& [name, member] : fresh) {
                  if (old.contains(name)) continue;
                  add("pool", subject,
                      subject + ": member " + name + " new, at " + member->converter.address.text() +
                          ", weight " + units::number_text(member->weight));
                }
              });
  }

  void policies() {
    each_name("policy", a_.policies, b_.policies, false,
              [this](const std::string& subject, const Policy& a, const Policy& b) {
                const auto deadline = [](const Policy& policy) {
                  return policy.deadline_ms == 0 ? "the class's give_up"
                                                 : units::duration_text(policy.deadline_ms);
                };
                const auto rate = [](const Policy& policy) {
                  return policy.rate_per_second == 0 ? "no limit"
                                                     : units::rate_text(policy.rate_per_second) + " burst " +
                                                           units::number_text(policy.burst);
                };
                value("policy", subject, "deadline", deadline(a), deadline(b));
                value("policy", subject, "attempts", std::to_string(a.max_attempts),
                      std::to_string(b.max_attempts));
                value("policy", subject, "retry_wait", units::duration_text(a.retry_wait_ms),
                      units::duration_text(b.retry_wait_ms));
                value("policy", subject, "most_open", limit_text(a.max_open_requests),
                      limit_text(b.max_open_requests));
                value("policy", subject, "rate", rate(a), rate(b));
              });
  }

  // ---- Routes ------------------------------------------------------------------------------------------

  /// What a change of route means; empty when it means nothing.
  struct Effect {
    std::string text;
    bool first_moves = false;
  };

  const Effect& effect(const Route* was, const Route* is) {
    constexpr auto no_route = std::pair(no_index, no_index);
    const auto key_of = [&](const Route* route) {
      return route == nullptr ? no_route : std::pair(route->target_list, route->policy);
    };
    const auto [it, fresh] = effects_.try_emplace(std::pair(key_of(was), key_of(is)));
    if (fresh) it->second = describe(was, is);
    return it->second;
  }

  Effect describe(const Route* was, const Route* is) const {
    if (was == nullptr && is == nullptr) return {};
    if (was == nullptr) {
      return {"new: " + targets_text(b_, b_.target_lists[is->target_list]) + "; policy " +
                  b_.policies[is->policy].name,
              true};
    }
    if (is == nullptr) {
      return {"no route any more, was " + targets_text(a_, a_.target_lists[was->target_list]) + "; policy " +
                  a_.policies[was->policy].name,
              true};
    }
    Effect out;
    const auto say = [&out](const std::string& words) { out.text += (out.text.empty() ? "" : "; ") + words; };
    const auto names = [](const EnumConfig& config, const Route& route) {
      std::vector<std::pair<std::string, double>> list;
      for (const auto& each : config.target_lists[route.target_list])
        list.emplace_back(config.pools[each.pool].name, each.share);
      return list;
    };
    const auto old = names(a_, *was), fresh = names(b_, *is);
    const auto find = [](const auto& list, const std::string& name) {
      return std::find_if(list.begin(), list.end(), [&](const auto& each) { return each.first == name; });
    };
    bool set_changes = false;
    for (const auto& [pool, share] : fresh) {
      const auto it = find(old, pool);
      const bool known = it != old.end();
      const double before = known ? it->second : 0;
      if (units::share_text(before) != units::share_text(share)) out.first_moves = true;
      if (known && units::share_text(before) == units::share_text(share)) continue;
      set_changes = set_changes || !known;
      say((share > 0 ? units::share_text(share) + " to pool " + pool : "only then to pool " + pool) +
          (known ? ", was " + units::share_text(before) : ", which is new there"));
    }
    for (const auto& [pool, share] : old) {
      if (find(fresh, pool) != fresh.end()) continue;
      set_changes = true;
      out.first_moves = out.first_moves || share > 0;
      say("no longer to pool " + pool + (share > 0 ? ", was " + units::share_text(share) : ""));
    }
    std::string order_before, order_after;
    for (const auto& each : old) order_before += (order_before.empty() ? "" : ", ") + each.first;
    for (const auto& each : fresh) order_after += (order_after.empty() ? "" : ", ") + each.first;
    if (!set_changes && order_before != order_after)
      say("pools in the order " + order_after + ", was " + order_before);
    const auto &policy_before = a_.policies[was->policy].name, &policy_after = b_.policies[is->policy].name;
    if (policy_before != policy_after) say("policy " + policy_after + ", was " + policy_before);
    return out;
  }

  /// Classes, tenants and times that the routes on a number's way make a difference by.
  struct Cases {
    std::set<std::string> classes, tenants;
    std::set<std::uint16_t> times{0};
    [[nodiscard]] bool plain() const { return classes.empty() && tenants.empty() && times.size() == 1; }
    [[nodiscard]] std::size_t count() const {
      return (classes.size() + 1) * (tenants.size() + 1) * times.size();
    }
  };
  static void gather(const EnumConfig& config, const RouteTable& table, const std::string& prefix,
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
    return other;
  }
  static std::uint32_t tenant_index(const EnumConfig& config, const std::string& name) {
    for (std::uint32_t i = 0; i < config.tenants.size(); ++i) {
      if (config.tenants[i].name == name) return i;
    }
    return name.empty() ? no_index : other;
  }

  void all_routes() {
    std::set<std::string> prefixes;
    for (const auto* config : {&a_, &b_}) {
      for (const auto& route : config->routes) prefixes.insert(route.prefix);
    }
    out_.prefix_count = prefixes.size();
    for (const auto& prefix : prefixes) {
      Cases cases;
      gather(a_, table_a_, prefix, cases);
      gather(b_, table_b_, prefix, cases);
      bool moves = false;
      if (cases.plain()) {
        const auto& change =
            effect(table_a_.find({prefix, other, no_index, 0}), table_b_.find({prefix, other, no_index, 0}));
        moves = change.first_moves;
        if (!change.text.empty()) group("", change.text, prefix);
      } else if (cases.count() <= most_cases) {
        moves = each_case(prefix, cases);
      } else {
        group("", "so many classes, tenants and times that they were not compared", prefix);
      }
      if (moves) ++out_.moved_prefix_count;
    }
    if (order_of_classes_) add("class", "classes", "classes: they stand in another order", true);
    for (const auto& [words, numbers] : groups_) {
      std::string subject =
          numbers.first.front().empty() ? "all numbers" : "numbers " + numbers.first.front();
      for (std::size_t i = 1; i < numbers.first.size(); ++i) {
        subject += ", " + (numbers.first[i].empty() ? "all others" : numbers.first[i]);
      }
      if (numbers.count > numbers.first.size())
        subject += " and " + std::to_string(numbers.count - numbers.first.size()) + " more";
      const auto& [condition, text] = words;
      const auto whole = condition.empty() ? subject : subject + ", " + condition;
      add("route", whole, whole + ": " + text);
    }
  }

  bool each_case(const std::string& prefix, const Cases& cases) {
    bool moves = false;
    auto classes = cases.classes, tenants = cases.tenants;
    // Any class and tenant that no route here names stands for all of these.
    classes.insert("");
    tenants.insert("");
    std::map<std::string, std::map<std::pair<std::string, std::string>, std::vector<units::WeekSpan>>> found;
    for (const auto& kind : classes) {
      for (const auto& tenant : tenants) {
        for (auto it = cases.times.begin(); it != cases.times.end(); ++it) {
          const auto next = std::next(it);
          const auto end = next == cases.times.end() ? minutes_per_week : *next;
          const auto& change =
              effect(table_a_.find({prefix, class_index(a_, kind), tenant_index(a_, tenant), *it}),
                     table_b_.find({prefix, class_index(b_, kind), tenant_index(b_, tenant), *it}));
          moves = moves || change.first_moves;
          if (change.text.empty()) continue;
          auto& spans = found[change.text][{kind, tenant}];
          if (!spans.empty() && spans.back().to == *it) {
            spans.back().to = end;
          } else {
            spans.push_back({*it, end});
          }
        }
      }
    }
    for (const auto& [text, where] : found) {
      const auto whole_week = [](const auto& each) {
        return each.second.size() == 1 && each.second[0].from == 0 && each.second[0].to == minutes_per_week;
      };
      if (where.size() == classes.size() * tenants.size() &&
          std::all_of(where.begin(), where.end(), whole_week)) {
        group("", text, prefix);
        continue;
      }
      for (const auto& each : where) {
        std::string condition;
        const auto add_words = [&condition](const std::string& words) {
          condition += (condition.empty() ? "" : ", ") + words;
        };
        if (!cases.classes.empty())
          add_words(each.first.first.empty() ? "other classes" : "class " + each.first.first);
        if (!cases.tenants.empty())
          add_words(each.first.second.empty() ? "other tenants" : "tenant " + each.first.second);
        if (!whole_week(each)) add_words(units::week_text(each.second));
        group(condition, text, prefix);
      }
    }
    return moves;
  }

  void group(const std::string& condition, const std::string& text, const std::string& prefix) {
    auto& numbers = groups_[{condition, text}];
    ++numbers.count;
    if (numbers.first.size() < most_shown) numbers.first.push_back(prefix);
  }

  struct Numbers {
    std::vector<std::string> first;
    std::size_t count = 0;
  };
  const EnumConfig &a_, &b_;
  RouteTable table_a_, table_b_;
  SiteDifference out_;
  bool order_of_classes_ = false;
  std::map<std::pair<std::pair<std::uint32_t, std::uint32_t>, std::pair<std::uint32_t, std::uint32_t>>,
           Effect>
      effects_;
  std::map<std::pair<std::string, std::string>, Numbers> groups_;  ///< by condition and text
};

}  // namespace

std::string SiteDifference::summary() const {
  if (moved_prefix_count == 0) return "";
  return "about " + std::to_string(moved_prefix_count) + " of " + std::to_string(prefix_count) +
         " ranges of numbers change their first pool";
}

SiteDifference diff_sites(const EnumConfig& before, const EnumConfig& after) {
  return Differ(before, after).run();
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
