// The platform service: a router with the frontend for callers, the backend for converters and the event bus.
#pragma once

#include <memory>

#include "platform/caller_frontend.hpp"
#include "platform/converter_backend.hpp"
#include "platform/event_bus_client.hpp"
#include "program.hpp"

namespace heathturn {

/// Routes calls between the platform's callers and converters.
class PlatformService : public Service {
 public:
  /// `path`: file of the configuration, for reload(). `site_path`: the operator's file with the TLS settings
  /// towards converters; empty: none. Throws InputError when that file, or one that it names, is unusable.
  PlatformService(Program& program, PlatformConfig config, std::string path, std::string site_path = "");
  [[nodiscard]] const char* kind() const override { return "platform"; }
  void start() override;
  void reload(std::function<void(const std::string&)> done) override;
  void refuse_new_requests() override { caller_frontend_.refuse_new_requests(); }
  [[nodiscard]] Router& router() override { return router_; }
  [[nodiscard]] std::vector<ConverterView> converters() const override { return converter_backend_.view(); }
  [[nodiscard]] double max_request_ms() const override { return config_.longest_give_up_ms; }

 private:
  void start_event_bus_client();
  void reload_config();
  void apply_output_limits();
  void load_tls();

  Program& program_;
  PlatformConfig config_;
  std::string path_, site_path_;
  Router router_;
  ConverterBackend converter_backend_;
  CallerFrontend caller_frontend_;
  std::unique_ptr<EventBusClient> event_bus_client_;
};

}  // namespace heathturn
