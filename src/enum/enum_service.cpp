#include "enum/enum_service.hpp"

namespace heathturn {

EnumService::EnumService(Program& program, EnumConfig config, std::uint64_t seed)
    : config_(std::move(config)),
      router_(program.clock(), program.deadlines(), config_.settings, seed),
      upstreams_(program.clock(), program.net(), program.datagrams(), router_),
      front_(program.clock(), program.deadlines(), program.net(), program.datagrams(), router_, config_) {
  router_.set_carrier(upstreams_);
  router_.set_log([&program](const std::string& text) { program.log(text); });
}

void EnumService::start() {
  router_.start();
  upstreams_.update(config_.upstreams, true);
  front_.listen();
}

}  // namespace heathturn
