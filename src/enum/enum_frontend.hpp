// The ENUM front: NAPTR queries for numbers, over UDP and TCP, as requests.
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

class EnumFrontend : public Frontend, public ConnectionUser, public DatagramUser {
 public:
  EnumFrontend(Clock& clock, TimerQueue& timers, Connections& net, Datagrams& datagrams, Router& router,
               routes::Selector& selector, std::shared_ptr<const EnumConfig> config);
  /// Takes look-ups by other settings from now on; those open go on as they began.
  void set_config(std::shared_ptr<const EnumConfig> config) { config_ = std::move(config); }
  /// Returns where it listens.
  Address listen();
  void refuse_new_requests() { door_closed_ = true; }

  void on_request_served(Handle request, const std::string& answer) override;
  void on_request_refused(Handle request, double wait_ms) override;
  void on_request_failed(Handle request) override;
  void on_call_ended(Handle, CallEnd) override {}

  void on_datagram(Handle socket, const Address& from, const std::string& bytes) override;
  void on_connected(Handle connection) override;
  void on_input(Handle connection, evbuffer* in) override;
  void on_ended(Handle connection, const char* reason) override;

 private:
  /// Where an answer goes: to an address, or down a connection.
  struct Client {
    Address address;
    Handle connection = no_handle;
    auto operator<=>(const Client&) const = default;
  };
  using Key = std::tuple<Client, std::uint16_t, std::string>;  ///< with the id and the question
  struct Asked {
    Client client;
    dns::Message query;
    Key key;
    std::shared_ptr<routes::PolicyLimiter> gate;  ///< of the policy that it began under
  };
  void on_query(const Client& client, const std::string& bytes);
  void open_request(const Client& client, dns::Message query);
  [[nodiscard]] std::uint16_t minute_of_week();
  void reply(const Client& client, const dns::Message& query, std::uint16_t rcode);
  void write(const Client& client, const dns::Message& query, dns::Message answer);
  /// Takes the request out of the tables; nothing when its client has left.
  std::optional<Asked> take(Handle request);
  void expect_query(Handle connection);

  Clock& clock_;
  TimerQueue& timers_;
  Connections& net_;
  Datagrams& datagrams_;
  Router& router_;
  routes::Selector& selector_;
  std::shared_ptr<const EnumConfig> config_;
  Handle socket_ = no_handle;
  std::unordered_map<Handle, Asked> asked_;
  std::map<Key, Handle> open_;
  std::map<Handle, TimerQueue::Key> idle_;  ///< by connection
  bool door_closed_ = false;
  double minute_until_ = 0;  ///< the minute of the week as last worked out holds until then
  std::uint16_t minute_ = 0;
};

}  // namespace heathturn
