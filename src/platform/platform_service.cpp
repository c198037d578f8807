#include "platform/platform_service.hpp"

#include <algorithm>

#include "config/site_reader.hpp"

namespace heathturn {

using maddershed::ExchangeNumber;

namespace {

constexpr double readiness_timeout_ms = 1500;  // then ready even if a converter has not reported its state

}  // namespace

PlatformService::PlatformService(Program& program, PlatformConfig config, std::string path,
                                 std::string site_path)
    : program_(program),
      config_(std::move(config)),
      path_(std::move(path)),
      site_path_(std::move(site_path)),
      router_(program.clock(), program.timers(), config_.settings, config_.seed),
      converter_backend_(program.clock(), program.timers(), program.net(), router_, config_),
      caller_frontend_(program.clock(), program.timers(), program.net(), router_, config_) {
  load_tls();
  apply_output_limits();
  router_.set_backend(converter_backend_);
  router_.set_log(program.log_sink());
  converter_backend_.set_unknown_call_end_handler([this](const std::string& call_id, int cause_code) {
    caller_frontend_.end_unknown_call(call_id, cause_code);
  });
  caller_frontend_.set_unknown_release_handler(
      [this](const std::string& call_id) { converter_backend_.release_at_all_converters(call_id); });
  caller_frontend_.set_number_check(
      [this](ExchangeNumber number) { return converter_backend_.is_known_number(number); });
  caller_frontend_.set_readiness_check([this] {
    return converter_backend_.all_states_reported() ||
           program_.clock().now_ms() - program_.started_ms() >= readiness_timeout_ms;
  });
}

void PlatformService::apply_output_limits() {
  program_.net().set_output_limits(
      {.per_connection = config_.max_unsent_bytes, .total = config_.max_total_unsent_bytes});
}

/// Throws InputError, and changes nothing, when the certificates cannot be used.
void PlatformService::load_tls() {
  if (site_path_.empty()) return;
  const auto site = load_site(site_path_);
  if (!site.converter_tls) return;
  auto settings = site.handshakes;
  settings.router_count = config_.settings.controller_count;
  settings.start_capacity = std::max(0.01, config_.settings.start_capacity);
  settings.cold_time_ms = to_ms(config_.settings.cold_time);
  converter_backend_.enable_tls(
      std::make_shared<tls::Context>(*site.converter_tls, program_.clock().now_ms()), settings);
}

void PlatformService::start() {
  router_.start();
  converter_backend_.update_list(config_.known_converters, true);
  start_event_bus_client();
  caller_frontend_.listen();
}

void PlatformService::start_event_bus_client() {
  if (!config_.bus) return;
  event_bus_client_ = std::make_unique<EventBusClient>(
      program_.clock(), program_.timers(), program_.net(), *config_.bus, config_.bus_offset,
      [this](const std::vector<Converter>& list, bool is_snapshot) {
        converter_backend_.update_list(list, is_snapshot);
      });
  event_bus_client_->start();
}

void PlatformService::reload(std::function<void(const std::string&)> done) {
  try {
    reload_config();
  } catch (const std::exception& error) {
    return done(error.what());
  }
  done("");
}

/// Applies the new bus, limits, tenants and time limits at once. The module's settings, by which the open
/// calls were decided, and the listen address change only with a restart.
void PlatformService::reload_config() {
  const auto new_config = parse_platform_config(read_file(path_));
  load_tls();
  if (new_config.listen != config_.listen)
    program_.log(LogLevel::warn, "takes_restart", {{"front", kind()}, {"key", "listen"}});
  if (new_config.settings_text != config_.settings_text)
    program_.log(LogLevel::warn, "takes_restart", {{"front", kind()}, {"key", "settings"}});
  config_.max_sockets = new_config.max_sockets;
  config_.max_memory_mb = new_config.max_memory_mb;
  config_.max_open_requests = new_config.max_open_requests;
  config_.max_unsent_bytes = new_config.max_unsent_bytes;
  config_.max_total_unsent_bytes = new_config.max_total_unsent_bytes;
  config_.tenant_names = new_config.tenant_names;
  config_.connect_timeout_ms = new_config.connect_timeout_ms;
  apply_output_limits();
  caller_frontend_.update_limits();
  if (!new_config.bus) return;
  config_.bus = new_config.bus;
  if (event_bus_client_) {
    event_bus_client_->set_address(*new_config.bus);
  } else {
    start_event_bus_client();
  }
}

}  // namespace heathturn
