// The backend of the ENUM service: sends look-ups to the name servers. An attempt is one look-up at one
// server, over TLS where its pool says so; otherwise over UDP from a port of its own, repeated over TCP when
// the answer is truncated.
#pragma once

#include <map>
#include <random>
#include <unordered_map>
#include <vector>

#include "core/router.hpp"
#include "enum/dns.hpp"
#include "enum/dot_client.hpp"
#include "net/connections.hpp"
#include "net/datagrams.hpp"
#include "service.hpp"

namespace heathturn {

/// Carries the attempts of the ENUM service to the name servers and limits how many are in flight.
class EnumBackend : public Backend,
                    public ConnectionHandler,
                    public DatagramHandler,
                    public DotClientHandler {
 public:
  EnumBackend(Clock& clock, TimerQueue& timers, Connections& net, Datagrams& datagrams, Router& router,
              const handshakes::Settings& handshakes, std::uint64_t seed);
  /// A server and the index of its pool.
  struct ListedServer {
    Converter converter;
    std::uint32_t pool = 0;
  };
  /// TLS context of each pool; null where its look-ups are not encrypted.
  using TlsContexts = std::vector<std::shared_ptr<tls::Context>>;
  /// Replaces the list of servers; those not in it are gone. `pool_limits`: maximum number of look-ups in
  /// flight for each pool; 0: no limit.
  void update_servers(const std::vector<ListedServer>& list, std::vector<std::uint32_t> pool_limits,
                      const TlsContexts& contexts);
  [[nodiscard]] const DotClient& dot_client() const { return dot_client_; }
  [[nodiscard]] std::vector<ConverterView> server_views() const;

  void send_attempt(Handle attempt, ExchangeId exchange, const Request& request,
                    double time_left_ms) override;
  void abandon_attempt(Handle attempt) override;
  void release_call(Handle attempt) override { abandon_attempt(attempt); }
  /// Name servers give no load reports, so the probe is reported as failed at once.
  void probe(ExchangeId exchange) override { router_.exchange_reported(exchange, {}, false); }

  void on_datagram(Handle socket, const Address& from, const std::string& bytes) override;
  void on_refused(Handle socket) override;
  void on_connected(Handle connection) override;
  void on_input(Handle connection, evbuffer* in) override;
  void on_ended(Handle connection, const char* reason) override;

  std::string serialize_query(Handle attempt, std::uint16_t message_id) override;
  void on_dot_answer(Handle attempt, const std::string& message) override;
  void on_dot_failed(Handle attempt, maddershed::AttemptResult result) override;

 private:
  struct Server {
    Converter converter;
    std::uint32_t pool = 0;
    std::uint32_t in_flight = 0;  ///< look-ups
    bool listed = false;
    bool uses_tls = false;
  };
  struct PoolUsage {
    std::uint32_t max_in_flight = 0;  ///< 0: no limit
    std::uint32_t in_flight = 0;      ///< look-ups
  };
  struct LookUp {
    ExchangeId exchange;
    std::uint32_t pool = 0;  ///< counted in the usage of this pool
    dns::Message query;
    Handle socket = no_handle;
    Handle connection = no_handle;
    std::uint64_t pool_generation = 0;
    double deadline_ms = 0;
  };
  ExchangeId exchange_id_of(const std::string& name);
  void report_group(ExchangeId exchange);
  [[nodiscard]] std::uint32_t free_circuits_at(const Server& server) const;
  void erase_gone_servers();
  void erase_look_up(Handle attempt);
  void end_attempt(Handle attempt, maddershed::AttemptResult result,
                   maddershed::FailureCause cause = maddershed::FailureCause::none);
  void process_answer(Handle attempt, const std::string& bytes, bool over_tcp);
  void deliver_answer(Handle attempt, const std::string& bytes);
  std::uint16_t random_message_id() { return static_cast<std::uint16_t>(random_()); }

  Clock& clock_;
  Connections& net_;
  Datagrams& datagrams_;
  Router& router_;
  DotClient dot_client_;
  /// The system's random source, so that message ids cannot be predicted from earlier ones.
  std::random_device random_;
  std::map<std::string, ExchangeId> exchange_ids_;
  std::uint32_t last_exchange_id_ = 0;
  std::map<ExchangeId, Server> servers_;
  std::vector<PoolUsage> pool_usage_;
  /// Changes with the pool limits; look-ups of an earlier generation are not counted in the pools' usage.
  std::uint64_t pool_generation_ = 0;
  std::unordered_map<Handle, LookUp> look_ups_;  ///< by attempt
  std::unordered_map<Handle, Handle> attempt_by_socket_;
  std::unordered_map<Handle, Handle> attempt_by_connection_;
};

}  // namespace heathturn
