// Every deadline of the program hangs in this one ordered structure.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace heathturn {

class Deadlines {
 public:
  struct Key {
    double due = 0;
    std::uint64_t number = 0;  ///< 0: none
    auto operator<=>(const Key&) const = default;
  };
  Key set(double due, std::function<void()> what) {
    const Key key{due, ++last_};
    all_.emplace(key, std::move(what));
    return key;
  }
  void cancel(Key& key) {
    if (key.number != 0) all_.erase(key);
    key = {};
  }
  [[nodiscard]] std::optional<double> next() const {
    return all_.empty() ? std::nullopt : std::optional(all_.begin()->first.due);
  }
  /// Runs what is due at `now`, in order; what is set meanwhile waits for the next turn.
  void run(double now) {
    const auto newest = last_;
    for (auto it = all_.begin(); it != all_.end() && it->first.due <= now;) {
      if (it->first.number > newest) {
        ++it;
        continue;
      }
      const auto what = std::move(it->second);
      all_.erase(it);
      what();
      it = all_.begin();
    }
  }

 private:
  std::map<Key, std::function<void()>> all_;
  std::uint64_t last_ = 0;
};

}  // namespace heathturn
