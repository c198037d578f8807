// The ENUM front and its upstreams round a core of their own.
#pragma once

#include <atomic>
#include <map>
#include <memory>

#include "config/site_diff.hpp"
#include "enum/enum_backend.hpp"
#include "enum/enum_frontend.hpp"
#include "eureka/client.hpp"
#include "program.hpp"
#include "routes/selector.hpp"

namespace heathturn {

class EnumService : public Service {
 public:
  /// `path`: where the settings were read, for reload().
  EnumService(Program& program, EnumConfig config, std::string path, std::uint64_t seed);
  [[nodiscard]] const char* kind() const override { return "enum"; }
  void start() override;
  void reload(std::function<void(const std::string&)> done) override;
  [[nodiscard]] bool has_background_work() const override { return loading_ != nullptr; }
  void refuse_new_requests() override { frontend_.refuse_new_requests(); }
  [[nodiscard]] Router& router() override { return router_; }
  [[nodiscard]] std::vector<ConverterView> converters() const override { return backend_.server_views(); }
  [[nodiscard]] double max_request_ms() const override { return longest_ms_; }
  [[nodiscard]] std::string extra_status() const override;
  void deregister() override;
  [[nodiscard]] bool deregistering() const override;

 private:
  /// A version being read beside the loop: files may be large, and their disk slow.
  struct Loading {
    std::atomic<bool> done{false};
    std::shared_ptr<const EnumConfig> config;
    std::shared_ptr<routes::Selector::PreparedConfig> prepared;
    EnumBackend::TlsContexts contexts;
    SiteDifference difference;
    std::string fault;
  };
  void poll_loading(const std::function<void(const std::string&)>& done);
  void take(Loading& loading);
  void list_members();
  void warn_of_expiry();

  Program& program_;
  std::shared_ptr<const EnumConfig> config_;
  std::string path_;
  Router router_;
  routes::Selector selector_;
  EnumBackend backend_;
  EnumBackend::TlsContexts contexts_;  ///< of each pool
  EnumFrontend frontend_;
  std::vector<std::unique_ptr<EurekaClient>> registries_;
  std::shared_ptr<Loading> loading_;
  bool load_again_ = false;  ///< asked for while one was under way
  double longest_ms_ = 0;
  std::map<std::string, int> warned_;  ///< days last told of, by file
};

}  // namespace heathturn
