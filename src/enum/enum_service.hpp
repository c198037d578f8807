// The ENUM service: its frontend, router and backend, and the reload of its configuration.
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

/// Answers ENUM queries by look-ups at the name servers of the configured pools.
class EnumService : public Service {
 public:
  /// `path`: the file that `config` was read from, for reload(). Throws InputError when the TLS files of a
  /// pool cannot be used, and std::invalid_argument when a setting is out of range.
  EnumService(Program& program, EnumConfig config, std::string path, std::uint64_t seed);
  [[nodiscard]] const char* kind() const override { return "enum"; }
  void start() override;
  void reload(std::function<void(const std::string&)> done) override;
  [[nodiscard]] bool has_background_work() const override { return pending_load_ != nullptr; }
  void refuse_new_requests() override { frontend_.refuse_new_requests(); }
  [[nodiscard]] Router& router() override { return router_; }
  [[nodiscard]] std::vector<ConverterView> converters() const override { return backend_.server_views(); }
  [[nodiscard]] double max_request_ms() const override { return max_request_ms_; }
  [[nodiscard]] std::string extra_status() const override;
  void deregister() override;
  [[nodiscard]] bool deregistering() const override;

 private:
  /// A configuration that a separate thread loads, because files may be large and the disk slow.
  struct PendingLoad {
    std::atomic<bool> done{false};
    std::shared_ptr<const EnumConfig> config;
    std::shared_ptr<routes::Selector::PreparedConfig> prepared;
    EnumBackend::TlsContexts contexts;
    SiteDifference difference;
    std::string error;  ///< empty on success
  };
  void poll_pending_load(const std::function<void(const std::string&)>& done);
  void apply(PendingLoad& load);
  void update_members();
  void warn_of_expiry();

  Program& program_;
  std::shared_ptr<const EnumConfig> config_;
  std::string path_;
  Router router_;
  routes::Selector selector_;
  EnumBackend backend_;
  EnumBackend::TlsContexts contexts_;
  EnumFrontend frontend_;
  std::vector<std::unique_ptr<EurekaClient>> registry_clients_;
  std::shared_ptr<PendingLoad> pending_load_;
  bool reload_requested_ = false;  ///< while another reload was in progress
  double max_request_ms_ = 0;
  std::map<std::string, int> warned_days_;  ///< last warning threshold reached, in days, by file
};

}  // namespace heathturn
