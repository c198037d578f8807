// The platform's front, converters and event bus round one core.
#pragma once

#include <memory>

#include "platform/caller_frontend.hpp"
#include "platform/converter_backend.hpp"
#include "platform/event_bus_client.hpp"
#include "program.hpp"

namespace heathturn {

class PlatformService : public Service {
 public:
  /// `path`: where the configuration was read, for reload(). `site`: the operator's file, if there is one, of
  /// which the TLS towards converters is read. Throws InputError when its files are of no use.
  PlatformService(Program& program, Config config, std::string path, std::string site = "");
  [[nodiscard]] const char* kind() const override { return "platform"; }
  void start() override;
  void reload(std::function<void(const std::string&)> done) override;
  void refuse_new_requests() override { callers_.refuse_new_requests(); }
  [[nodiscard]] Router& router() override { return router_; }
  [[nodiscard]] std::vector<ConverterView> converters() const override { return converters_.view(); }
  [[nodiscard]] double max_request_ms() const override { return config_.longest_give_up_ms; }

 private:
  void start_bus();
  void read_again();
  void secure();

  Program& program_;
  Config config_;
  std::string path_, site_;
  Router router_;
  ConverterBackend converters_;
  CallerFrontend callers_;
  std::unique_ptr<EventBusClient> bus_;
};

}  // namespace heathturn
