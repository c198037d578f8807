#include "log/event_log.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <spdlog/async.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <thread>

namespace heathturn {
namespace {

std::string json_text(const std::string& text) {
  rapidjson::StringBuffer out;
  rapidjson::Writer<rapidjson::StringBuffer> json(out);
  json.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
  return {out.GetString(), out.GetSize()};
}

/// The value as it is if it is a single word without special characters, else quoted as in JSON, so that text
/// from a peer can neither end a line nor look like another field.
std::string value_text(const LogField& field) {
  const bool needs_no_quotes =
      !field.text.empty() && field.text.find_first_of(" =\"\\") == std::string::npos &&
      std::all_of(field.text.begin(), field.text.end(),
                  [](char c) { return static_cast<unsigned char>(c) > 0x20 && c != 0x7f; });
  return needs_no_quotes ? field.text : json_text(field.text);
}

spdlog::level::level_enum level_of(LogLevel level) {
  switch (level) {
    case LogLevel::debug:
      return spdlog::level::debug;
    case LogLevel::info:
      return spdlog::level::info;
    case LogLevel::warn:
      return spdlog::level::warn;
    case LogLevel::error:
      break;
  }
  return spdlog::level::err;
}

}  // namespace

struct EventLog::WriteCount {
  std::atomic<std::uint64_t> lines{0};
};

namespace {

/// Writes whole lines to a file descriptor. Write errors are ignored: an unwritable log must not end the
/// program.
template <typename Count>
class DescriptorSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  DescriptorSink(int descriptor, std::shared_ptr<Count> count)
      : descriptor_(descriptor), count_(std::move(count)) {}

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    for (std::size_t at = 0; at < line.size();) {
      const auto bytes_written = ::write(descriptor_, line.data() + at, line.size() - at);
      if (bytes_written < 0 && errno == EAGAIN) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        continue;
      }
      if (bytes_written < 0 && errno != EINTR) break;
      if (bytes_written > 0) at += static_cast<std::size_t>(bytes_written);
    }
    count_->lines.fetch_add(1);
  }
  void flush_() override {}

 private:
  int descriptor_;
  std::shared_ptr<Count> count_;
};

}  // namespace

EventLog::EventLog(std::string name, LogFormat format, LogLevel min_level, int descriptor)
    : format_(format),
      write_count_(std::make_shared<WriteCount>()),
      writer_(std::make_shared<spdlog::details::thread_pool>(max_queued_lines, 1)) {
  auto sink = std::make_shared<DescriptorSink<WriteCount>>(descriptor, write_count_);
  name = format == LogFormat::json ? json_text(name) : value_text({"name", name});
  logger_ = std::make_shared<spdlog::async_logger>(std::move(name), std::move(sink), writer_,
                                                   spdlog::async_overflow_policy::overrun_oldest);
  logger_->set_pattern(format == LogFormat::json ? R"({"ts":%E.%e,"level":"%l","name":%n,%v})"
                                                 : "ts=%E.%e level=%l name=%n %v",
                       spdlog::pattern_time_type::utc);
  logger_->set_level(level_of(min_level));
  logger_->set_error_handler([](const std::string&) {});
}

EventLog::~EventLog() = default;

std::string EventLog::format_event(LogFormat format, const char* event, const std::vector<LogField>& fields) {
  std::string out;
  if (format == LogFormat::json) {
    out = "\"event\":" + json_text(event);
    for (const auto& each : fields) {
      out += "," + json_text(each.key) + ":" + (each.is_number ? each.text : json_text(each.text));
    }
    return out;
  }
  out = std::string("event=") + event;
  for (const auto& each : fields) out += std::string(" ") + each.key + "=" + value_text(each);
  return out;
}

void EventLog::write(double now, LogLevel level, const char* event, const std::vector<LogField>& fields) {
  const auto spdlog_level = level_of(level);
  if (!logger_->should_log(spdlog_level)) return;
  const auto time = spdlog::log_clock::time_point(std::chrono::duration_cast<spdlog::log_clock::duration>(
      std::chrono::duration<double, std::milli>(now)));
  ++submitted_;
  logger_->log(time, spdlog::source_loc{}, spdlog_level,
               spdlog::string_view_t(format_event(format_, event, fields)));
}

std::uint64_t EventLog::dropped() const { return writer_->overrun_counter(); }

bool EventLog::report_dropped(double now) {
  const auto dropped_lines = dropped();
  if (dropped_lines == reported_drops_) return true;
  if (writer_->queue_size() > max_queued_lines / 2) return false;
  const auto unreported = dropped_lines - reported_drops_;
  reported_drops_ = dropped_lines;
  write(now, LogLevel::warn, "log_dropped", {{"count", unreported}});
  return true;
}

bool EventLog::close(double wait_ms) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::duration<double, std::milli>(wait_ms);
  while (write_count_->lines.load() + writer_->overrun_counter() < submitted_) {
    if (std::chrono::steady_clock::now() >= deadline) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

}  // namespace heathturn
