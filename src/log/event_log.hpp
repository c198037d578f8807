// The log: one event a line on a descriptor, as key=value or as JSON, on spdlog. A thread of its own writes,
// so that a reader who is slow costs lines and never time: what finds no room takes the place of the oldest,
// and is counted.
#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "log/event.hpp"

namespace spdlog {
class async_logger;
namespace details {
class thread_pool;
}  // namespace details
}  // namespace spdlog

namespace heathturn {

enum class LogFormat { key_value, json };

class EventLog {
 public:
  /// Lines that wait for the writer; each takes about 400 bytes and what it has beyond 250 characters.
  static constexpr std::size_t most_waiting = 2048;

  EventLog(std::string name, LogFormat format, LogLevel least, int descriptor = 1);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /// Never waits. `now`: Unix time in ms.
  void write(double now, LogLevel level, const char* event, const std::vector<LogField>& fields);
  /// Lines lost so far.
  [[nodiscard]] std::uint64_t dropped() const;
  /// Of these, not yet told of.
  [[nodiscard]] std::uint64_t untold() const { return dropped() - told_; }
  /// Tells of lines lost since it was last told, once the writer goes on. False while some are untold.
  bool tell_dropped(double now);
  /// Waits for the writer, so long at most. False when it still stands: the process must then end without
  /// waiting for its threads.
  bool close(double wait_ms);

  /// The event's own part of a line.
  [[nodiscard]] static std::string text(LogFormat format, const char* event,
                                        const std::vector<LogField>& fields);

 private:
  struct Written;
  LogFormat format_;
  std::shared_ptr<Written> written_;
  std::shared_ptr<spdlog::details::thread_pool> writer_;
  std::shared_ptr<spdlog::async_logger> logger_;
  std::uint64_t given_ = 0;
  std::uint64_t told_ = 0;
};

}  // namespace heathturn
