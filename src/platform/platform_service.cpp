#include "platform/platform_service.hpp"

#include <algorithm>

#include "config/site_reader.hpp"

namespace heathturn {

using maddershed::ExchangeNumber;

namespace {

constexpr double ready_anyway_ms = 1500;  // a converter that does not speak keeps nobody waiting

}  // namespace

PlatformService::PlatformService(Program& program, Config config, std::string path, std::string site)
    : program_(program),
      config_(std::move(config)),
      path_(std::move(path)),
      site_(std::move(site)),
      router_(program.clock(), program.timers(), config_.settings, config_.seed),
      converters_(program.clock(), program.timers(), program.net(), router_, config_),
      callers_(program.clock(), program.timers(), program.net(), router_, config_) {
  secure();
  program.net().set_most_unsent(config_.most_unsent);
  router_.set_backend(converters_);
  router_.set_log(program.log_sink());
  converters_.set_unknown_end_handler(
      [this](const std::string& call, int why) { callers_.end_unknown_call(call, why); });
  callers_.set_unknown_release_handler(
      [this](const std::string& call) { converters_.release_at_all_converters(call); });
  callers_.set_number_check([this](ExchangeNumber number) { return converters_.is_known_number(number); });
  callers_.set_readiness_check([this] {
    return converters_.all_states_reported() ||
           program_.clock().now_ms() - program_.started() >= ready_anyway_ms;
  });
}

/// A set of certificates that cannot be used changes nothing.
void PlatformService::secure() {
  if (site_.empty()) return;
  const auto site = load_site(site_);
  if (!site.converter_tls) return;
  auto settings = site.handshakes;
  settings.router_count = config_.settings.controller_count;
  settings.start_capacity = std::max(0.01, config_.settings.start_capacity);
  settings.cold_time_ms = to_ms(config_.settings.cold_time);
  converters_.enable_tls(std::make_shared<tls::Context>(*site.converter_tls, program_.clock().now_ms()),
                         settings);
}

void PlatformService::start() {
  router_.start();
  converters_.update_list(config_.known, true);
  start_bus();
  callers_.listen();
}

void PlatformService::start_bus() {
  if (!config_.bus) return;
  bus_ = std::make_unique<EventBusClient>(program_.clock(), program_.timers(), program_.net(), *config_.bus,
                                          config_.known_offset,
                                          [this](const std::vector<Converter>& list, bool is_snapshot) {
                                            converters_.update_list(list, is_snapshot);
                                          });
  bus_->start();
}

void PlatformService::reload(std::function<void(const std::string&)> done) {
  try {
    read_again();
  } catch (const std::exception& error) {
    return done(error.what());
  }
  done("");
}

/// The bus, the limits, the tenants and time limits change at once. What the calls in work were decided by
/// stays: the module's settings and the own address take a restart.
void PlatformService::read_again() {
  const auto fresh = parse_config(read_file(path_));
  secure();
  if (fresh.listen != config_.listen)
    program_.log(LogLevel::warn, "takes_restart", {{"front", kind()}, {"key", "listen"}});
  if (fresh.settings_text != config_.settings_text)
    program_.log(LogLevel::warn, "takes_restart", {{"front", kind()}, {"key", "settings"}});
  config_.sockets = fresh.sockets;
  config_.memory_mb = fresh.memory_mb;
  config_.most_requests = fresh.most_requests;
  config_.most_unsent = fresh.most_unsent;
  config_.tenants = fresh.tenants;
  config_.connect_timeout_ms = fresh.connect_timeout_ms;
  program_.net().set_most_unsent(config_.most_unsent);
  callers_.update_limits();
  if (!fresh.bus) return;
  config_.bus = fresh.bus;
  if (bus_) {
    bus_->set_address(*fresh.bus);
  } else {
    start_bus();
  }
}

}  // namespace heathturn
