// The platform's converters: connections held to each, attempts and standing calls on them.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.hpp"
#include "core/router.hpp"
#include "handshakes/admission.hpp"
#include "net/connections.hpp"
#include "net/framing.hpp"
#include "platform/message.hpp"
#include "service.hpp"

namespace heathturn {

class ConverterBackend : public Backend, public ConnectionUser {
 public:
  ConverterBackend(Clock& clock, TimerQueue& timers, Connections& net, Router& router, const Config& config);
  /// Converters that the list names, or that it names anew. `whole`: those it leaves out are gone.
  void update_list(const std::vector<Converter>& list, bool is_snapshot);
  /// Told of a converter's word on a call that this process never had.
  void set_unknown_end_handler(std::function<void(const std::string&, int)> stray) {
    stray_ = std::move(stray);
  }
  /// Cuts a call whose converter is not known.
  void release_at_all_converters(const std::string& call);
  /// Each converter in service has told the state of its group.
  [[nodiscard]] bool all_states_reported() const;
  /// Whether some converter has, or had, this number.
  [[nodiscard]] bool is_known_number(maddershed::ExchangeNumber number) const {
    return numbers_.contains(number);
  }
  [[nodiscard]] std::vector<ConverterView> view() const;
  /// Connections opened from now on speak TLS by this context, as the admission allows.
  void enable_tls(std::shared_ptr<tls::Context> context, const handshakes::Settings& settings);

  void send_attempt(Handle attempt, ExchangeId exchange, const Request& request,
                    double time_left_ms) override;
  void abandon_attempt(Handle attempt) override;
  void release_call(Handle attempt) override;
  void probe(ExchangeId exchange) override;

  void on_connected(Handle connection) override;
  void on_input(Handle connection, evbuffer* in) override;
  void on_ended(Handle connection, const char* reason) override;

 private:
  static constexpr std::size_t held_connections = 2;
  struct Line {
    Handle connection = no_handle;
    bool open = false;
    bool spoken = false;   ///< something has come
    double heard = 0;      ///< when anything came last
    double told = 0;       ///< when the state of the group came last
    double tested_at = 0;  ///< a test is unanswered since; 0: none
    TimerQueue::Key retry;
    handshakes::Kind admitted = handshakes::Kind::full;  ///< with TLS
    double since = 0;                                    ///< with TLS: when it was begun
  };
  struct Said {
    Handle connection = no_handle;
    double at = 0;
  };
  struct Link {
    Converter converter;
    std::array<Line, held_connections> lines;
    std::size_t preferred = 0;  ///< the line for set-ups, whose word on the group counts
    std::unordered_map<std::string, Handle> attempts;  ///< by call: out or standing
    std::vector<Handle> waiting;                       ///< attempts until a connection is open
    std::vector<std::string> unsaid;                   ///< calls to release until a connection is open
    std::unordered_map<std::string, Said> unheard;     ///< releases not confirmed yet, by call
    double retry_ms = 0;
    double unreached = 0;  ///< since when no connection is open; 0: one is
    double down = 0;       ///< since when it fails its tests and says nothing else; 0: it does not
    double gone = 0;       ///< since when the list has it as gone; 0: it does not
    bool state_told = false;
    bool own = false;
  };
  struct Out {
    ExchangeId exchange;
    std::string call_id;
    Handle connection = no_handle;  ///< none while it waits for one
    std::string line;
    double due = 0;  ///< of no use after it
  };
  struct At {
    ExchangeId exchange;
    std::size_t line = 0;
  };
  void open(Link& link, std::size_t line);
  void open_later(Link& link, std::size_t line);
  void list_for_admission(const Link& link);
  void open_at(Link& link, std::size_t line, double time);
  Handle open_secured(Link& link, std::size_t line);
  void write_set_up(Handle attempt, Handle connection);
  void fail_waiting(Link& link);
  void on_message(Link& link, Handle connection, const Message& message);
  void on_end(Link& link, Handle connection, const Message& message);
  void forget(Handle attempt);
  void say_end(Link& link, const std::string& call, Handle preferred);
  void send_test(Link& link, Handle connection, int why);
  void watch(ExchangeId exchange);
  void drop(ExchangeId exchange);
  [[nodiscard]] static Handle open_connection(Link& link);
  [[nodiscard]] maddershed::LoadReport load_of(const Message& message) const;

  Clock& clock_;
  TimerQueue& timers_;
  Connections& net_;
  Router& router_;
  const Config& config_;
  std::function<void(const std::string&, int)> stray_;
  std::map<ExchangeId, Link> links_;
  std::set<maddershed::ExchangeNumber> numbers_;
  std::unordered_map<Handle, At> lines_;  ///< by connection
  std::unordered_map<Handle, Out> attempts_;
  std::unordered_map<std::string, std::pair<ExchangeId, double>> probes_;  ///< by id: when sent
  std::uint64_t last_test_ = 0;
  std::shared_ptr<tls::Context> context_;  ///< null: plain
  std::unique_ptr<handshakes::Admission> admission_;
};

}  // namespace heathturn
