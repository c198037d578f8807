// UDP sockets, kept in one table and identified by handles: bound ones receive from any sender, connected
// ones only from their peer, which the kernel enforces.
#pragma once

#include <event2/event.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/slots.hpp"
#include "log/event.hpp"
#include "net/address.hpp"
#include "net/fair_queue.hpp"

namespace heathturn {

/// Receives the datagrams of a socket.
class DatagramHandler {
 public:
  virtual ~DatagramHandler() = default;
  virtual void on_datagram(Handle socket, const Address& from, const std::string& bytes) = 0;
  /// The peer of a connected socket has answered with ICMP "port unreachable".
  virtual void on_refused(Handle) {}
};

/// Opens UDP sockets on an event loop, and sends and receives on them. A bound socket serves its senders in
/// turn.
class Datagrams {
 public:
  Datagrams(event_base* base, LogSink log);
  ~Datagrams();
  Datagrams(const Datagrams&) = delete;
  Datagrams& operator=(const Datagrams&) = delete;

  /// Binds a socket. Throws std::runtime_error if that fails.
  Handle bind(const Address& at, DatagramHandler& handler);
  /// The local address; the handle must be valid.
  [[nodiscard]] Address address(Handle socket);
  /// Opens a socket to one peer, on a new ephemeral port each time; no_handle if that fails.
  Handle connect(const Address& to, DatagramHandler& handler);
  /// False if the datagram could not be sent. A datagram that was sent may still be lost.
  bool send(Handle socket, const std::string& bytes);
  bool send_to(Handle socket, const Address& to, const std::string& bytes);
  void close(Handle socket);

 private:
  struct Socket {
    int descriptor = -1;
    event* read_event = nullptr;
    event* resume_event = nullptr;  ///< a timer for the rest of `received`
    DatagramHandler* handler = nullptr;
    bool connected = false;
    FairQueue received;  ///< of a bound socket, not yet passed to the handler
  };
  /// Argument of the read callback; lives as long as the socket.
  struct CallbackContext {
    Datagrams* owner;
    Handle socket;
  };
  Handle add_socket(int descriptor, DatagramHandler& handler, bool connected);
  void receive(Handle socket);
  std::optional<std::string> receive_datagram(const Socket& socket, Address& from);
  void receive_from_peer(Handle socket);
  void receive_from_any(Handle socket);

  event_base* base_;
  LogSink log_;
  SlotTable<Socket> table_;
  std::map<Handle, std::unique_ptr<CallbackContext>> callback_contexts_;
  std::string buffer_;
};

}  // namespace heathturn
