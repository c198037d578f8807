#include "enum/enum_service.hpp"

#include <algorithm>
#include <set>
#include <thread>
#include <utility>

#include "config/site_reader.hpp"

namespace heathturn {
namespace {

constexpr double poll_ms = 5;
constexpr std::size_t most_told = 50;  // changes in the log at one reload

}  // namespace

EnumService::EnumService(Program& program, EnumConfig config, std::string path, std::uint64_t seed)
    : program_(program),
      config_(std::make_shared<const EnumConfig>(std::move(config))),
      path_(std::move(path)),
      router_(program.clock(), program.deadlines(), config_->settings, seed),
      selector_(config_),
      upstreams_(program.clock(), program.net(), program.datagrams(), router_),
      front_(program.clock(), program.deadlines(), program.net(), program.datagrams(), router_, selector_, config_),
      longest_ms_(config_->longest_deadline_ms) {
  router_.set_carrier(upstreams_);
  router_.set_log(program.log_sink());
  for (const auto& registry : config_->registries) {
    registries_.push_back(std::make_unique<EurekaClient>(program.clock(), program.deadlines(), program.net().base(),
                                                         registry, program.log_sink(), [this] { list_members(); }));
  }
}

/// Each pool's members: those of the file, and those that its registry lists.
void EnumService::list_members() {
  const auto& pools = config_->pools;
  std::vector<std::vector<routes::Listed>> by_pool(pools.size());
  std::vector<Upstreams::Listed> servers;
  std::vector<std::uint32_t> limits;
  std::set<std::string> named;
  const auto add = [&](std::uint32_t pool, const Converter& converter, double weight, const std::string& zone) {
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
  selector_.list(by_pool);
  for (auto& each : servers) each.converter.entry.number = selector_.number_of(each.converter.name);
  upstreams_.update(servers, std::move(limits));
}

/// The new version is read and compared beside the loop, and taken in one turn of it, or not at all.
void EnumService::reload(std::function<void(const std::string&)> done) {
  if (loading_) {
    load_again_ = true;
    return;
  }
  loading_ = std::make_shared<Loading>();
  std::thread([loading = loading_, path = path_, old = config_] {
    try {
      loading->config = std::make_shared<const EnumConfig>(load_site(path));
      loading->difference = diff_sites(*old, *loading->config);
      for (const auto& change : loading->difference.changes) {
        if (change.restart) throw InputError(change.text + "; it takes a restart, and nothing of the file is taken");
      }
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
    program_.deadlines().set(program_.clock().now() + poll_ms, [this, done] { poll_loading(done); });
    return;
  }
  const auto loaded = std::exchange(loading_, nullptr);
  if (loaded->fault.empty()) take(*loaded);
  done(loaded->fault);
  if (std::exchange(load_again_, false)) reload(done);
}

void EnumService::take(Loading& loading) {
  config_ = loading.config;
  selector_.use(*loading.prepared);
  front_.use(config_);
  // What began under the old version may still take as long as that one allowed.
  longest_ms_ = std::max(longest_ms_, config_->longest_deadline_ms);
  list_members();
  const auto& changes = loading.difference.changes;
  for (std::size_t i = 0; i < std::min(changes.size(), most_told); ++i) {
    program_.log(LogLevel::info, "configuration_change", {{"front", kind()}, {"text", changes[i].text}});
  }
  if (changes.size() > most_told) {
    program_.log(LogLevel::info, "configuration_change",
                 {{"front", kind()}, {"text", "and " + std::to_string(changes.size() - most_told) + " more changes"}});
  }
  if (const auto summary = loading.difference.summary(); !summary.empty()) {
    program_.log(LogLevel::info, "configuration_change", {{"front", kind()}, {"text", summary}});
  }
}

void EnumService::start() {
  router_.start();
  list_members();
  const auto own = front_.listen();
  for (const auto& registry : registries_) registry->start(own);
}

void EnumService::leave() {
  for (const auto& registry : registries_) registry->deregister();
}

bool EnumService::leaving() const {
  return std::any_of(registries_.begin(), registries_.end(), [](const auto& each) { return each->deregistering(); });
}

}  // namespace heathturn
