#include "enum/enum_service.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <thread>
#include <utility>

#include "config/site_reader.hpp"

namespace heathturn {
namespace {

constexpr double load_poll_interval_ms = 5;
constexpr std::size_t max_logged_changes = 50;  // by one reload
constexpr double day_ms = 86400000;
constexpr double expiry_check_interval_ms = 3600000;
constexpr int expiry_warning_days[] = {1, 7, 30};

/// Creates the TLS context of each pool. A context whose settings and files are unchanged is kept, with its
/// sessions. Throws InputError, naming pool and file, when one cannot be created.
EnumBackend::TlsContexts make_tls_contexts(const EnumConfig& config,
                                           const std::vector<std::string>& previous_names,
                                           const EnumBackend::TlsContexts& previous, double now_ms) {
  EnumBackend::TlsContexts out;
  for (const auto& pool : config.pools) {
    out.emplace_back();
    if (!pool.tls) continue;
    try {
      out.back() = std::make_shared<tls::Context>(*pool.tls, now_ms);
    } catch (const std::exception& error) {
      throw InputError(location_text(config, pool.location) + ": pool." + pool.name +
                       ".tls: " + error.what());
    }
    const auto found = std::find(previous_names.begin(), previous_names.end(), pool.name);
    const auto previous_context = found == previous_names.end()
                                      ? nullptr
                                      : previous[static_cast<std::size_t>(found - previous_names.begin())];
    if (previous_context && previous_context->config() == *pool.tls &&
        previous_context->file_contents() == out.back()->file_contents())
      out.back() = previous_context;
  }
  return out;
}

std::vector<std::string> pool_names(const EnumConfig& config) {
  std::vector<std::string> out;
  for (const auto& pool : config.pools) out.push_back(pool.name);
  return out;
}

}  // namespace

EnumService::EnumService(Program& program, EnumConfig config, std::string path, std::uint64_t seed)
    : program_(program),
      config_(std::make_shared<const EnumConfig>(std::move(config))),
      path_(std::move(path)),
      router_(program.clock(), program.timers(), config_->settings, seed),
      selector_(config_),
      backend_(program.clock(), program.timers(), program.net(), program.datagrams(), router_,
               config_->handshakes, seed),
      contexts_(make_tls_contexts(*config_, {}, {}, program.clock().now_ms())),
      frontend_(program.clock(), program.timers(), program.net(), program.datagrams(), router_, selector_,
                config_),
      max_request_ms_(config_->longest_deadline_ms) {
  router_.set_backend(backend_);
  router_.set_log(program.log_sink());
  for (const auto& registry : config_->registries) {
    registry_clients_.push_back(
        std::make_unique<EurekaClient>(program.clock(), program.timers(), program.net().base(), registry,
                                       program.log_sink(), [this] { update_members(); }));
  }
}

/// Passes the members of each pool, from the configuration file and from its registry, to selector and
/// backend.
void EnumService::update_members() {
  const auto& pools = config_->pools;
  std::vector<std::vector<routes::PoolMember>> members_by_pool(pools.size());
  std::vector<EnumBackend::ListedServer> servers;
  std::vector<std::uint32_t> limits;
  std::set<std::string> seen_names;
  const auto add = [&](std::uint32_t pool, const Converter& converter, double weight,
                       const std::string& zone) {
    // An instance that the file or an earlier pool already lists is not added again.
    if (!seen_names.insert(converter.name).second) return;
    const bool ready = converter.entry.state == maddershed::ExchangeState::ready;
    members_by_pool[pool].push_back({converter.name, weight, zone, ready});
    servers.push_back({converter, pool});
  };
  for (std::uint32_t i = 0; i < pools.size(); ++i) {
    limits.push_back(pools[i].max_open_requests);
    for (const auto& member : pools[i].members) add(i, member.converter, member.weight, member.zone);
  }
  for (std::uint32_t i = 0; i < pools.size(); ++i) {
    if (!pools[i].from_registry) continue;
    const auto& from = *pools[i].from_registry;
    for (const auto& instance : registry_clients_[from.registry]->instances(from.application)) {
      if (!from.number || instance.entry.number == *from.number) add(i, instance, from.weight, "");
    }
  }
  selector_.set_members(members_by_pool);
  for (auto& server : servers)
    server.converter.entry.number = selector_.exchange_number_of(server.converter.name);
  backend_.update_servers(servers, std::move(limits), contexts_);
}

/// A thread loads the new configuration and compares it; the event loop then applies it whole, or not at all.
void EnumService::reload(std::function<void(const std::string&)> done) {
  if (pending_load_) {
    reload_requested_ = true;
    return;
  }
  pending_load_ = std::make_shared<PendingLoad>();
  std::thread([load = pending_load_, path = path_, previous = config_, contexts = contexts_,
               now_ms = program_.clock().now_ms()] {
    try {
      load->config = std::make_shared<const EnumConfig>(load_site(path));
      load->difference = diff_sites(*previous, *load->config);
      for (const auto& change : load->difference.changes) {
        if (change.needs_restart)
          throw InputError(change.text +
                           "; this change requires a restart, so nothing in the file was applied");
      }
      load->contexts = make_tls_contexts(*load->config, pool_names(*previous), contexts, now_ms);
      load->prepared = routes::Selector::prepare(load->config);
    } catch (const std::exception& error) {
      load->error = error.what();
    }
    load->done.store(true);
  }).detach();
  poll_pending_load(done);
}

void EnumService::poll_pending_load(const std::function<void(const std::string&)>& done) {
  if (!pending_load_->done.load()) {
    program_.timers().schedule(program_.clock().now_ms() + load_poll_interval_ms,
                               [this, done] { poll_pending_load(done); });
    return;
  }
  const auto load = std::exchange(pending_load_, nullptr);
  if (load->error.empty()) apply(*load);
  done(load->error);
  if (std::exchange(reload_requested_, false)) reload(done);
}

void EnumService::apply(PendingLoad& load) {
  for (std::size_t i = 0; i < load.contexts.size(); ++i) {
    if (load.contexts[i] == nullptr) continue;
    const bool kept = std::find(contexts_.begin(), contexts_.end(), load.contexts[i]) != contexts_.end();
    if (!kept) program_.log(LogLevel::info, "tls_taken", {{"pool", load.config->pools[i].name}});
  }
  contexts_ = load.contexts;
  config_ = load.config;
  selector_.apply_config(*load.prepared);
  frontend_.set_config(config_);
  // Requests that began under the previous configuration may still take as long as it allowed.
  max_request_ms_ = std::max(max_request_ms_, config_->longest_deadline_ms);
  update_members();
  const auto& changes = load.difference.changes;
  for (std::size_t i = 0; i < std::min(changes.size(), max_logged_changes); ++i) {
    program_.log(LogLevel::info, "configuration_change", {{"front", kind()}, {"text", changes[i].text}});
  }
  if (changes.size() > max_logged_changes) {
    program_.log(LogLevel::info, "configuration_change",
                 {{"front", kind()},
                  {"text", "and " + std::to_string(changes.size() - max_logged_changes) + " more changes"}});
  }
  if (const auto summary = load.difference.summary(); !summary.empty()) {
    program_.log(LogLevel::info, "configuration_change", {{"front", kind()}, {"text", summary}});
  }
}

/// Warns once per threshold of `expiry_warning_days` about each file that is about to expire.
void EnumService::warn_of_expiry() {
  const double now_ms = program_.clock().now_ms();
  for (const auto& context : contexts_) {
    if (context == nullptr) continue;
    for (const auto& [what, not_after] : context->expiries()) {
      const double days_left = (not_after - now_ms) / day_ms;
      const auto* threshold = std::find_if(std::begin(expiry_warning_days), std::end(expiry_warning_days),
                                           [days_left](int days) { return days_left <= days; });
      if (threshold == std::end(expiry_warning_days)) {
        warned_days_.erase(what);
        continue;
      }
      const auto [it, inserted] = warned_days_.try_emplace(what, *threshold);
      if (!inserted && it->second <= *threshold) continue;
      it->second = *threshold;
      program_.log(LogLevel::warn, "certificate_expires",
                   {{"what", what}, {"days_left", static_cast<int>(std::floor(days_left))}});
    }
  }
  program_.timers().schedule(now_ms + expiry_check_interval_ms, [this] { warn_of_expiry(); });
}

void EnumService::start() {
  warn_of_expiry();
  router_.start();
  update_members();
  const auto own_address = frontend_.listen();
  for (const auto& registry : registry_clients_) registry->start(own_address);
}

std::string EnumService::extra_status() const {
  std::string out;
  for (std::uint32_t i = 0; i < config_->policies.size(); ++i) {
    const auto limiter = selector_.limiter(i);
    if (limiter->rejected_count() == 0) continue;
    out += "enum: policy " + config_->policies[i].name + " has turned away " +
           std::to_string(limiter->rejected_count()) + "\n";
  }
  const auto& counts = backend_.dot_client().counts();
  if (counts.full + counts.resumed + counts.failed + counts.deferred == 0) return out;
  out += "enum: handshakes full " + std::to_string(counts.full) + ", resumed " +
         std::to_string(counts.resumed) + ", declined " + std::to_string(counts.declined) + ", failed " +
         std::to_string(counts.failed) + ", held back " + std::to_string(counts.deferred) + "\n";
  for (const auto& [why, count] : backend_.dot_client().tls_failures()) {
    out += "enum: " + why + " " + std::to_string(count) + "\n";
  }
  return out;
}

void EnumService::deregister() {
  for (const auto& registry : registry_clients_) registry->deregister();
}

bool EnumService::deregistering() const {
  return std::any_of(registry_clients_.begin(), registry_clients_.end(),
                     [](const auto& each) { return each->deregistering(); });
}

}  // namespace heathturn
