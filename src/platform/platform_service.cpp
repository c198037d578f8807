#include "platform/platform_service.hpp"

namespace heathturn {
namespace {

constexpr double ready_anyway_ms = 1500;  // a converter that does not speak keeps nobody waiting

}  // namespace

PlatformService::PlatformService(Program& program, Config config)
    : program_(program),
      config_(std::move(config)),
      router_(program.clock(), program.deadlines(), config_.settings, config_.seed),
      converters_(program.clock(), program.deadlines(), program.net(), router_, config_),
      callers_(program.clock(), program.deadlines(), program.net(), router_, config_) {
  router_.set_carrier(converters_);
  router_.set_log([&program](const std::string& text) { program.log(text); });
  converters_.set_stray([this](const std::string& call, int why) { callers_.stray_over(call, why); });
  callers_.set_stray_release(
      [this](const std::string& call, int why) { converters_.release_anywhere(call, why); });
  callers_.set_ready([this] {
    return converters_.all_heard() || program_.clock().now() - program_.started() >= ready_anyway_ms;
  });
}

void PlatformService::start() {
  router_.start();
  converters_.update(config_.known, true);
  if (config_.bus) {
    bus_ = std::make_unique<EventBus>(
        program_.clock(), program_.deadlines(), program_.net(), *config_.bus, config_.known_offset,
        [this](const std::vector<Converter>& list, bool whole) { converters_.update(list, whole); });
    bus_->start();
  }
  callers_.listen();
}

}  // namespace heathturn
