// The name servers that answer ENUM look-ups: the carrier of the ENUM front. An attempt is one look-up at one
// server, over UDP from a port of its own, and over TCP when the answer comes back truncated.
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

class EnumBackend : public Backend, public ConnectionUser, public DatagramUser, public DotClientHandler {
 public:
  EnumBackend(Clock& clock, TimerQueue& timers, Connections& net, Datagrams& datagrams, Router& router,
              const handshakes::Settings& handshakes, std::uint64_t seed);
  /// The whole list: those it leaves out are gone.
  /// `pool_limits`: look-ups out at once in each pool, 0 for no limit; each server is told with its pool.
  struct ListedServer {
    Converter converter;
    std::uint32_t pool = 0;
  };
  /// `contexts`: of each pool, null where its look-ups go in plain.
  using TlsContexts = std::vector<std::shared_ptr<tls::Context>>;
  void update_servers(const std::vector<ListedServer>& list, std::vector<std::uint32_t> pool_limits,
                      const TlsContexts& contexts);
  [[nodiscard]] const DotClient& dot_client() const { return dot_client_; }
  [[nodiscard]] std::vector<ConverterView> server_views() const;

  void send_attempt(Handle attempt, ExchangeId exchange, const Request& request,
                    double time_left_ms) override;
  void abandon_attempt(Handle attempt) override;
  void release_call(Handle attempt) override { abandon_attempt(attempt); }
  void probe(ExchangeId exchange) override { router_.exchange_reported(exchange, {}, false); }

  void on_datagram(Handle socket, const Address& from, const std::string& bytes) override;
  void on_refused(Handle socket) override;
  void on_connected(Handle connection) override;
  void on_input(Handle connection, evbuffer* in) override;
  void on_ended(Handle connection, const char* reason) override;

  std::string serialize_query(Handle attempt, std::uint16_t id) override;
  void on_dot_answer(Handle attempt, const std::string& message) override;
  void on_dot_failed(Handle attempt, maddershed::AttemptResult result) override;

 private:
  struct Server {
    Converter converter;
    std::uint32_t pool = 0;
    std::uint32_t out = 0;
    bool listed = false;
    bool secured = false;  ///< asked over TLS
  };
  struct PoolRoom {
    std::uint32_t most = 0;  ///< 0: no limit
    std::uint32_t out = 0;
  };
  struct LookUp {
    ExchangeId exchange;
    std::uint32_t pool = 0;  ///< whose room it takes
    dns::Message query;
    Handle socket = no_handle;
    Handle connection = no_handle;
    std::uint64_t generation = 0;
    double due = 0;
  };
  ExchangeId id_of(const std::string& name);
  void tell_group(ExchangeId exchange);
  [[nodiscard]] std::uint32_t room_at(const Server& server) const;
  void forget_gone();
  void forget(Handle attempt);
  void end(Handle attempt, maddershed::AttemptResult result,
           maddershed::FailureCause cause = maddershed::FailureCause::none);
  void take_answer(Handle attempt, const std::string& bytes, bool over_tcp);
  void deliver(Handle attempt, const std::string& bytes);
  std::uint16_t unpredictable() { return static_cast<std::uint16_t>(random_()); }

  Clock& clock_;
  Connections& net_;
  Datagrams& datagrams_;
  Router& router_;
  DotClient dot_client_;
  std::random_device random_;  // the system's own source, which no answer seen before foretells
  std::map<std::string, ExchangeId> ids_;
  std::uint32_t last_id_ = 0;
  std::map<ExchangeId, Server> servers_;
  std::vector<PoolRoom> pools_;
  std::uint64_t generation_ = 0;  ///< of the pools: what began before a reload takes no room after it
  std::unordered_map<Handle, LookUp> look_ups_;   ///< by attempt
  std::unordered_map<Handle, Handle> by_socket_;  ///< attempts
  std::unordered_map<Handle, Handle> by_connection_;
};

}  // namespace heathturn
