#include "enum/enum_service.hpp"

namespace heathturn {

EnumService::EnumService(Program& program, EnumConfig config, std::uint64_t seed)
    : config_(std::move(config)),
      router_(program.clock(), program.deadlines(), config_.settings, seed),
      upstreams_(program.clock(), program.net(), program.datagrams(), router_),
      front_(program.clock(), program.deadlines(), program.net(), program.datagrams(), router_, config_) {
  router_.set_carrier(upstreams_);
  router_.set_log([&program](const std::string& text) { program.log(text); });
  if (!config_.eureka) return;
  // The registry's list is whole each time; the file's servers, if it names any, stay beside it.
  eureka_ = std::make_unique<EurekaClient>(
      program.clock(), program.deadlines(), program.net().base(), *config_.eureka,
      [&program](const std::string& text) { program.log(text); },
      [this](std::vector<Converter> list) {
        list.insert(list.end(), config_.upstreams.begin(), config_.upstreams.end());
        upstreams_.update(std::move(list), true);
      });
}

void EnumService::start() {
  router_.start();
  upstreams_.update(config_.upstreams, true);
  const auto own = front_.listen();
  if (eureka_) eureka_->start(own);
}

}  // namespace heathturn
