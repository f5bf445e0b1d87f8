// Logging uses glog with a sink of its own and no log files, as VMs have no
// disk. The sink writes to standard error or, if there is one, to a log_stream.

#include <fcntl.h>
#include <glog/logging.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "pimentohall/net.h"

namespace pimentohall::net {
namespace {

core::log_level min_level = core::log_level::kInfo;

const char* LevelName(core::log_level level) {
  switch (level) {
    case core::log_level::kInfo:
      return "info";
    case core::log_level::kWarning:
      return "warning";
    case core::log_level::kError:
      return "error";
  }
  return "error";
}

// The lines of a log_stream that are not yet written to standard output.
struct line_buffer {
  log_stream_options options;
  std::string bytes;
  // Lines that the rate limit accepts now; refilled at `lines_per_s`.
  double allowance = 0;
  core::instant allowance_updated_at{};
  // Lines dropped since the last report, by message.
  std::map<std::string, std::uint64_t> dropped;
  std::uint64_t dropped_total = 0;
};

line_buffer* current_buffer = nullptr;

// Adds lines to the current log_stream's buffer, which goes to standard output,
// or writes them to standard error if there is no log_stream.
class stderr_sink : public google::LogSink {
 public:
  void send(google::LogSeverity, const char*, const char*, int,
            const google::LogMessageTime&, const char* message,
            std::size_t size) override {
    std::string line(message, size);
    line.push_back('\n');
    if (current_buffer != nullptr) {
      current_buffer->bytes += line;
      return;
    }
    // A single write for each record keeps lines intact. If the pipe is full,
    // the record is lost.
    [[maybe_unused]] const ssize_t written =
        write(STDERR_FILENO, line.data(), line.size());
  }
};

std::string UtcTime() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  tm parts{};
  gmtime_r(&now.tv_sec, &parts);
  char text[40];
  const std::size_t size =
      strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
  snprintf(text + size, sizeof(text) - size, ".%06ldZ", now.tv_nsec / 1000);
  return text;
}

core::instant BootTime() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return core::instant(std::chrono::duration_cast<core::duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

// Returns true if the buffer and the rate limit accept the line. Otherwise
// counts the line as dropped.
bool TakeAllowance(line_buffer* buffer, core::log_level level,
                   std::string_view message) {
  const core::instant now = BootTime();
  const double burst = buffer->options.lines_per_s;
  const std::chrono::duration<double> elapsed =
      now - buffer->allowance_updated_at;
  buffer->allowance_updated_at = now;
  buffer->allowance = std::min(
      burst, buffer->allowance + elapsed.count() * buffer->options.lines_per_s);
  const bool has_room = buffer->bytes.size() < buffer->options.buffer_bytes;
  const bool within_rate =
      buffer->allowance >= 1 || level >= core::log_level::kWarning;
  if (has_room && within_rate) {
    buffer->allowance = std::max(0.0, buffer->allowance - 1);
    return true;
  }
  ++buffer->dropped[std::string(message)];
  ++buffer->dropped_total;
  return false;
}

}  // namespace

std::string FormatLogLine(
    std::string_view time, core::log_level level, std::string_view message,
    const std::vector<std::pair<std::string, std::string>>& fields) {
  nlohmann::ordered_json line = {
      {"time", time}, {"level", LevelName(level)}, {"message", message}};
  for (const auto& [name, value] : fields) line["fields"][name] = value;
  return line.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

void SetLogLevel(core::log_level level) { min_level = level; }

void Log(core::log_level level, std::string_view message,
         const std::vector<std::pair<std::string, std::string>>& fields) {
  if (level < min_level) return;
  if (current_buffer != nullptr &&
      !TakeAllowance(current_buffer, level, message)) {
    return;
  }
  static stderr_sink sink;
  LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&sink, INFO)
      << FormatLogLine(UtcTime(), level, message, fields);
}

// ---------------------------------------------------------------------------
// log_stream

class log_stream::impl {
 public:
  impl(event_loop& loop, timer_service& timers, log_stream_options options) {
    buffer_.options = options;
    buffer_.allowance = options.lines_per_s;
    buffer_.allowance_updated_at = loop.Now();
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    current_buffer = &buffer_;
    timer_ = timers.Every(options.flush_period,
                          sigc::slot<void()>([this] { Flush(); }));
  }

  ~impl() {
    timer_.disconnect();
    Flush();
    current_buffer = nullptr;
  }

 private:
  void Flush() {
    if (buffer_.bytes.size() < buffer_.options.buffer_bytes) ReportDropped();
    if (buffer_.bytes.empty()) return;
    const ssize_t written =
        write(STDOUT_FILENO, buffer_.bytes.data(), buffer_.bytes.size());
    if (written > 0) {
      buffer_.bytes.erase(0, static_cast<std::size_t>(written));
    }
  }

  void ReportDropped() {
    if (buffer_.dropped.empty()) return;
    std::vector<std::pair<std::string, std::string>> fields;
    for (const auto& [message, count] : buffer_.dropped) {
      fields.emplace_back(message, std::to_string(count));
    }
    buffer_.dropped.clear();
    Log(core::log_level::kWarning, "log lines dropped", fields);
  }

  line_buffer buffer_;
  sigc::connection timer_;
};

log_stream::log_stream(event_loop& loop, timer_service& timers,
                       log_stream_options options)
    : impl_(std::make_unique<impl>(loop, timers, options)) {}
log_stream::~log_stream() = default;

std::uint64_t DroppedLogLines() {
  return current_buffer == nullptr ? 0 : current_buffer->dropped_total;
}

}  // namespace pimentohall::net
