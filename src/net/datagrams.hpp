// UDP sockets in a table of numbered slots: bound ones that take from anybody, and connected ones that the
// system itself keeps to one peer.
#pragma once

#include <event2/event.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/slots.hpp"
#include "log/event.hpp"
#include "net/address.hpp"

namespace heathturn {

class DatagramUser {
 public:
  virtual ~DatagramUser() = default;
  virtual void on_datagram(Handle socket, const Address& from, const std::string& bytes) = 0;
  /// The peer of a connected socket has no such port.
  virtual void on_refused(Handle) {}
};

class Datagrams {
 public:
  Datagrams(event_base* base, LogSink log);
  ~Datagrams();
  Datagrams(const Datagrams&) = delete;
  Datagrams& operator=(const Datagrams&) = delete;

  /// Throws std::runtime_error when the address cannot be had.
  Handle bind(const Address& at, DatagramUser& user);
  [[nodiscard]] Address address(Handle socket);
  /// On a port of the system's choice, a new one each time; no_handle when no socket can be had.
  Handle connect(const Address& to, DatagramUser& user);
  /// False when it could not leave; a datagram may get lost all the same.
  bool send(Handle socket, const std::string& bytes);
  bool send_to(Handle socket, const Address& to, const std::string& bytes);
  void close(Handle socket);

 private:
  struct Socket {
    int descriptor = -1;
    event* ready = nullptr;
    DatagramUser* user = nullptr;
    bool connected = false;
  };
  struct Hook {
    Datagrams* owner;
    Handle socket;
  };
  Handle adopt(int descriptor, DatagramUser& user, bool connected);
  void receive(Handle socket);

  event_base* base_;
  LogSink log_;
  SlotTable<Socket> table_;
  std::map<Handle, std::unique_ptr<Hook>> hooks_;
  std::string buffer_;
};

}  // namespace heathturn
