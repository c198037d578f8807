#include "enum/enum_service.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <thread>
#include <utility>

#include "config/site_reader.hpp"

namespace heathturn {
namespace {

constexpr double poll_ms = 5;
constexpr std::size_t most_told = 50;  // changes in the log at one reload
constexpr double day_ms = 86400000;
constexpr double expiry_every_ms = 3600000;
constexpr int expiry_days[] = {1, 7, 30};

/// TLS of each pool. One whose settings and files are the same as before goes on, with its sessions. Throws
/// InputError naming pool and file.
EnumBackend::TlsContexts make_contexts(const EnumConfig& config, const std::vector<std::string>& names,
                                       const EnumBackend::TlsContexts& before, double now) {
  EnumBackend::TlsContexts out;
  for (const auto& pool : config.pools) {
    out.emplace_back();
    if (!pool.tls) continue;
    try {
      out.back() = std::make_shared<tls::Context>(*pool.tls, now);
    } catch (const std::exception& error) {
      throw InputError(where_text(config, pool.where) + ": pool." + pool.name + ".tls: " + error.what());
    }
    const auto same = std::find(names.begin(), names.end(), pool.name);
    const auto old = same == names.end() ? nullptr : before[static_cast<std::size_t>(same - names.begin())];
    if (old && old->config() == *pool.tls && old->digest() == out.back()->digest()) out.back() = old;
  }
  return out;
}

std::vector<std::string> pool_names(const EnumConfig& config) {
  std::vector<std::string> out;
  for (const auto& each : config.pools) out.push_back(each.name);
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
      contexts_(make_contexts(*config_, {}, {}, program.clock().now_ms())),
      frontend_(program.clock(), program.timers(), program.net(), program.datagrams(), router_, selector_,
                config_),
      longest_ms_(config_->longest_deadline_ms) {
  router_.set_backend(backend_);
  router_.set_log(program.log_sink());
  for (const auto& registry : config_->registries) {
    registries_.push_back(std::make_unique<EurekaClient>(program.clock(), program.timers(),
                                                         program.net().base(), registry, program.log_sink(),
                                                         [this] { list_members(); }));
  }
}

/// Each pool's members: those of the file, and those that its registry lists.
void EnumService::list_members() {
  const auto& pools = config_->pools;
  std::vector<std::vector<routes::PoolMember>> by_pool(pools.size());
  std::vector<EnumBackend::ListedServer> servers;
  std::vector<std::uint32_t> limits;
  std::set<std::string> named;
  const auto add = [&](std::uint32_t pool, const Converter& converter, double weight,
                       const std::string& zone) {
    // An instance that the file or another pool names already stays with these.
    if (!named.insert(converter.name).second) return;
    const bool ready = converter.entry.state == maddershed::ExchangeState::ready;
    by_pool[pool].push_back({converter.name, weight, zone, ready});
    servers.push_back({converter, pool});
  };
  for (std::uint32_t i = 0; i < pools.size(); ++i) {
    limits.push_back(pools[i].most_requests);
    for (const auto& member : pools[i].members) add(i, member.converter, member.weight, member.zone);
  }
  for (std::uint32_t i = 0; i < pools.size(); ++i) {
    if (!pools[i].from_registry) continue;
    const auto& from = *pools[i].from_registry;
    for (const auto& instance : registries_[from.registry]->instances(from.application)) {
      if (!from.number || instance.entry.number == *from.number) add(i, instance, from.weight, "");
    }
  }
  selector_.set_members(by_pool);
  for (auto& each : servers) each.converter.entry.number = selector_.exchange_number_of(each.converter.name);
  backend_.update_servers(servers, std::move(limits), contexts_);
}

/// The new version is read and compared beside the loop, and taken in one turn of it, or not at all.
void EnumService::reload(std::function<void(const std::string&)> done) {
  if (loading_) {
    load_again_ = true;
    return;
  }
  loading_ = std::make_shared<Loading>();
  std::thread([loading = loading_, path = path_, old = config_, contexts = contexts_,
               now = program_.clock().now_ms()] {
    try {
      loading->config = std::make_shared<const EnumConfig>(load_site(path));
      loading->difference = diff_sites(*old, *loading->config);
      for (const auto& change : loading->difference.changes) {
        if (change.restart)
          throw InputError(change.text + "; it takes a restart, and nothing of the file is taken");
      }
      loading->contexts = make_contexts(*loading->config, pool_names(*old), contexts, now);
      loading->prepared = routes::Selector::prepare(loading->config);
    } catch (const std::exception& error) {
      loading->fault = error.what();
    }
    loading->done.store(true);
  }).detach();
  poll_loading(done);
}

void EnumService::poll_loading(const std::function<void(const std::string&)>& done) {
  if (!loading_->done.load()) {
    program_.timers().schedule(program_.clock().now_ms() + poll_ms, [this, done] { poll_loading(done); });
    return;
  }
  const auto loaded = std::exchange(loading_, nullptr);
  if (loaded->fault.empty()) take(*loaded);
  done(loaded->fault);
  if (std::exchange(load_again_, false)) reload(done);
}

void EnumService::take(Loading& loading) {
  for (std::size_t i = 0; i < loading.contexts.size(); ++i) {
    if (loading.contexts[i] == nullptr) continue;
    const bool kept = std::find(contexts_.begin(), contexts_.end(), loading.contexts[i]) != contexts_.end();
    if (!kept) program_.log(LogLevel::info, "tls_taken", {{"pool", loading.config->pools[i].name}});
  }
  contexts_ = loading.contexts;
  config_ = loading.config;
  selector_.apply_config(*loading.prepared);
  frontend_.set_config(config_);
  // What began under the old version may still take as long as that one allowed.
  longest_ms_ = std::max(longest_ms_, config_->longest_deadline_ms);
  list_members();
  const auto& changes = loading.difference.changes;
  for (std::size_t i = 0; i < std::min(changes.size(), most_told); ++i) {
    program_.log(LogLevel::info, "configuration_change", {{"front", kind()}, {"text", changes[i].text}});
  }
  if (changes.size() > most_told) {
    program_.log(
        LogLevel::info, "configuration_change",
        {{"front", kind()}, {"text", "and " + std::to_string(changes.size() - most_told) + " more changes"}});
  }
  if (const auto summary = loading.difference.summary(); !summary.empty()) {
    program_.log(LogLevel::info, "configuration_change", {{"front", kind()}, {"text", summary}});
  }
}

/// Once for each of the days set, of every file held.
void EnumService::warn_of_expiry() {
  const double now = program_.clock().now_ms();
  for (const auto& context : contexts_) {
    if (context == nullptr) continue;
    for (const auto& [what, not_after] : context->held()) {
      const double left = (not_after - now) / day_ms;
      const auto* days = std::find_if(std::begin(expiry_days), std::end(expiry_days),
                                      [left](int each) { return left <= each; });
      if (days == std::end(expiry_days)) {
        warned_.erase(what);
        continue;
      }
      const auto [it, fresh] = warned_.try_emplace(what, *days);
      if (!fresh && it->second <= *days) continue;
      it->second = *days;
      program_.log(LogLevel::warn, "certificate_expires",
                   {{"what", what}, {"days_left", static_cast<int>(std::floor(left))}});
    }
  }
  program_.timers().schedule(now + expiry_every_ms, [this] { warn_of_expiry(); });
}

void EnumService::start() {
  warn_of_expiry();
  router_.start();
  list_members();
  const auto own = frontend_.listen();
  for (const auto& registry : registries_) registry->start(own);
}

std::string EnumService::extra_status() const {
  std::string out;
  for (std::uint32_t i = 0; i < config_->policies.size(); ++i) {
    const auto gate = selector_.limiter(i);
    if (gate->rejected_count() == 0) continue;
    out += "enum: policy " + config_->policies[i].name + " has turned away " +
           std::to_string(gate->rejected_count()) + "\n";
  }
  const auto& n = backend_.dot_client().counts();
  if (n.full + n.resumed + n.failed + n.deferred == 0) return out;
  out += "enum: handshakes full " + std::to_string(n.full) + ", resumed " + std::to_string(n.resumed) +
         ", declined " + std::to_string(n.declined) + ", failed " + std::to_string(n.failed) +
         ", held back " + std::to_string(n.deferred) + "\n";
  for (const auto& [why, count] : backend_.dot_client().tls_failures()) {
    out += "enum: " + why + " " + std::to_string(count) + "\n";
  }
  return out;
}

void EnumService::deregister() {
  for (const auto& registry : registries_) registry->deregister();
}

bool EnumService::deregistering() const {
  return std::any_of(registries_.begin(), registries_.end(),
                     [](const auto& each) { return each->deregistering(); });
}

}  // namespace heathturn
