#include "enum/enum_service.hpp"

namespace heathturn {

EnumService::EnumService(Program& program, EnumConfig config, std::string path, std::uint64_t seed)
    : program_(program),
      config_(std::move(config)),
      path_(std::move(path)),
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
      [this](std::vector<Converter> list) { update(std::move(list)); });
}

void EnumService::update(std::vector<Converter> list) {
  registered_ = std::move(list);
  auto whole = registered_;
  whole.insert(whole.end(), config_.upstreams.begin(), config_.upstreams.end());
  upstreams_.update(std::move(whole), true);
}

/// The ranges of numbers and the file's servers change at once; the rest takes a restart.
void EnumService::reload() {
  auto fresh = parse_enum_config(read_file(path_));
  if (fresh.listen != config_.listen) program_.log("listen: a change takes a restart");
  if (fresh.settings_text != config_.settings_text) {
    // The ranges name classes by their place in the settings.
    program_.log("settings: a change takes a restart, and the numbers wait for it");
  } else {
    config_.numbers = std::move(fresh.numbers);
    config_.longest_deadline_ms = fresh.longest_deadline_ms;
  }
  config_.upstreams = std::move(fresh.upstreams);
  update(std::move(registered_));
}

void EnumService::start() {
  router_.start();
  update({});
  const auto own = front_.listen();
  if (eureka_) eureka_->start(own);
}

}  // namespace heathturn
