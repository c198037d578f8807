// The frontend of the ENUM service: turns NAPTR queries for numbers, over UDP and TCP, into requests.
#pragma once

#include <map>
#include <set>
#include <tuple>
#include <unordered_map>

#include "config/enum_config.hpp"
#include "core/router.hpp"
#include "enum/dns.hpp"
#include "net/connections.hpp"
#include "net/datagrams.hpp"
#include "routes/selector.hpp"

namespace heathturn {

/// Listens for DNS queries, offers them to the router as requests and answers them.
class EnumFrontend : public Frontend, public ConnectionHandler, public DatagramHandler {
 public:
  EnumFrontend(Clock& clock, TimerQueue& timers, Connections& net, Datagrams& datagrams, Router& router,
               routes::Selector& selector, std::shared_ptr<const EnumConfig> config);
  /// Applies a new configuration to later queries; pending requests keep the one they began with.
  void set_config(std::shared_ptr<const EnumConfig> config) { config_ = std::move(config); }
  /// Listens for UDP and TCP on one port and returns its address. Throws std::runtime_error on failure.
  Address listen();
  /// Answers every later query with REFUSED.
  void refuse_new_requests() { refusing_new_requests_ = true; }

  bool on_request_served(Handle request, const std::string& answer) override;
  void on_request_refused(Handle request, double wait_ms) override;
  void on_request_failed(Handle request) override;
  void on_call_ended(Handle, CallEnd) override {}

  void on_datagram(Handle socket, const Address& from, const std::string& bytes) override;
  void on_connected(Handle connection) override;
  void on_input(Handle connection, evbuffer* in) override;
  void on_ended(Handle connection, const char* reason) override;

 private:
  /// The origin of a query and destination of its answer: an address for UDP, a connection for TCP.
  struct Client {
    Address address;
    Handle connection = no_handle;
    auto operator<=>(const Client&) const = default;
  };
  using QueryKey = std::tuple<Client, std::uint16_t, std::string>;  ///< client, message id, name asked for
  struct PendingQuery {
    Client client;
    dns::Message query;
    QueryKey key;
    std::shared_ptr<routes::PolicyLimiter> limiter;  ///< of the policy under which the request began
  };
  void on_query(const Client& client, const std::string& bytes);
  /// Pending queries of a client over UDP.
  [[nodiscard]] std::size_t pending_count_of(const Address& address) const;
  void open_request(const Client& client, dns::Message query);
  [[nodiscard]] std::uint16_t minute_of_week();
  void send_error(const Client& client, const dns::Message& query, std::uint16_t rcode);
  void send_answer(const Client& client, const dns::Message& query, dns::Message answer);
  /// Removes the query from the tables and returns it; nothing when its client has left.
  std::optional<PendingQuery> take_pending(Handle request);
  void restart_idle_timer(Handle connection);

  Clock& clock_;
  TimerQueue& timers_;
  Connections& net_;
  Datagrams& datagrams_;
  Router& router_;
  routes::Selector& selector_;
  std::shared_ptr<const EnumConfig> config_;
  Handle socket_ = no_handle;
  std::unordered_map<Handle, PendingQuery> pending_;  ///< by request
  std::map<QueryKey, Handle> request_by_key_;
  std::map<Address, std::size_t> pending_by_address_;  ///< number of pending queries of clients over UDP
  std::map<Handle, TimerQueue::Key> idle_timers_;      ///< by connection
  bool refusing_new_requests_ = false;
  double minute_expires_ms_ = 0;  ///< until then, minute_of_week_ is current
  std::uint16_t minute_of_week_ = 0;
};

}  // namespace heathturn
