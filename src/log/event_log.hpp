// The log: one event per line on a file descriptor, as key=value or as JSON, on spdlog. A separate thread
// writes, so that a slow reader of the log never delays the caller: when the queue is full, a new line
// replaces the oldest, which is counted as dropped.
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

/// Format of the lines.
enum class LogFormat { key_value, json };

/// Writes events to a file descriptor without blocking the caller.
class EventLog {
 public:
  /// Lines queued for the writer. Each takes about 400 bytes, plus its length beyond 250 characters.
  static constexpr std::size_t max_queued_lines = 2048;

  /// `name` is a field of each line. Events below `min_level` are discarded.
  EventLog(std::string name, LogFormat format, LogLevel min_level, int descriptor = 1);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /// Queues a line; never blocks. `now`: Unix time in ms.
  void write(double now, LogLevel level, const char* event, const std::vector<LogField>& fields);
  /// Lines dropped so far.
  [[nodiscard]] std::uint64_t dropped() const;
  /// Dropped lines that report_dropped() has not logged yet.
  [[nodiscard]] std::uint64_t unreported_drops() const { return dropped() - reported_drops_; }
  /// Logs the number of lines dropped since its last report, once the queue is at most half full. False while
  /// it is fuller, with drops unreported.
  bool report_dropped(double now);
  /// Waits until all queued lines are written, at most `wait_ms`. False if the writer is still blocked then;
  /// the process must then exit without joining its threads.
  bool close(double wait_ms);

  /// The part of a line that shows the event and its fields.
  [[nodiscard]] static std::string format_event(LogFormat format, const char* event,
                                                const std::vector<LogField>& fields);

 private:
  struct WriteCount;
  LogFormat format_;
  std::shared_ptr<WriteCount> write_count_;
  std::shared_ptr<spdlog::details::thread_pool> writer_;
  std::shared_ptr<spdlog::async_logger> logger_;
  std::uint64_t submitted_ = 0;
  std::uint64_t reported_drops_ = 0;
};

}  // namespace heathturn
