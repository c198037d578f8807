// A queue of datagrams that serves their senders in turn.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>

#include "net/address.hpp"

namespace heathturn {

/// Holds received datagrams by sender. Senders are served round robin, so that one that floods delays the
/// others by no more than one of its datagrams; what exceeds its own queue is dropped.
class FairQueue {
 public:
  struct Limits {
    std::size_t per_sender = 64;
    std::size_t total = 4096;
  };
  FairQueue() = default;
  explicit FairQueue(const Limits& limits) : limits_(limits) {}

  /// False if the datagram was dropped.
  bool push(const Address& sender, std::string bytes) {
    if (size_ >= limits_.total) return false;
    const auto [it, is_new] = by_sender_.try_emplace(sender);
    if (it->second.size() >= limits_.per_sender) return false;
    if (is_new) turns_.push_back(sender);
    it->second.push_back(std::move(bytes));
    ++size_;
    return true;
  }
  /// The next datagram with its sender; the queue must not be empty.
  std::pair<Address, std::string> pop() {
    const auto sender = turns_.front();
    turns_.pop_front();
    const auto it = by_sender_.find(sender);
    auto bytes = std::move(it->second.front());
    it->second.pop_front();
    --size_;
    if (it->second.empty()) {
      by_sender_.erase(it);
    } else {
      turns_.push_back(sender);
    }
    return {sender, std::move(bytes)};
  }
  [[nodiscard]] bool empty() const { return size_ == 0; }
  [[nodiscard]] std::size_t size() const { return size_; }

 private:
  Limits limits_;
  std::map<Address, std::deque<std::string>> by_sender_;  ///< without empty queues
  std::deque<Address> turns_;                             ///< the senders in by_sender_
  std::size_t size_ = 0;
};

}  // namespace heathturn
