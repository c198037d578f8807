// The ENUM front and its upstreams round a core of their own.
#pragma once

#include <memory>

#include "enum/front.hpp"
#include "enum/upstreams.hpp"
#include "eureka/client.hpp"
#include "program.hpp"

namespace heathturn {

class EnumService : public Service {
 public:
  /// `path`: where the file was read, for reload().
  EnumService(Program& program, EnumConfig config, std::string path, std::uint64_t seed);
  [[nodiscard]] const char* kind() const override { return "enum"; }
  void start() override;
  void reload() override;
  void close_door() override { front_.close_door(); }
  [[nodiscard]] Router& router() override { return router_; }
  [[nodiscard]] std::vector<ConverterView> converters() const override { return upstreams_.view(); }
  [[nodiscard]] double longest_ms() const override { return config_.longest_deadline_ms; }
  void leave() override {
    if (eureka_) eureka_->deregister();
  }
  [[nodiscard]] bool leaving() const override { return eureka_ && eureka_->deregistering(); }

 private:
  void update(std::vector<Converter> list);

  Program& program_;
  EnumConfig config_;
  std::string path_;
  std::vector<Converter> registered_;  ///< the registry's list
  Router router_;
  Upstreams upstreams_;
  EnumFront front_;
  std::unique_ptr<EurekaClient> eureka_;
};

}  // namespace heathturn
