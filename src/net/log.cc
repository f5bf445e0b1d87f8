// Logging goes through glog to a sink of ours and to no file: VMs have no disk.
// The sink writes to standard error, or hands the line to a log_stream.

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

core::log_level minimum_level = core::log_level::kInfo;

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

// The lines of a log_stream on their way to standard output.
struct line_buffer {
  log_stream_options options;
  std::string bytes;
  double allowance = 0;  // Lines that may still be taken.
  core::instant allowed_at{};
  std::map<std::string, std::uint64_t> dropped;  // By message.
  std::uint64_t dropped_total = 0;
};

line_buffer* current_buffer = nullptr;

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
    // One write a record keeps lines whole. A full pipe loses the record.
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

// True if the line may be taken; counts it as dropped otherwise.
bool TakeAllowance(line_buffer* to, core::log_level level,
                   std::string_view message) {
  const core::instant now = BootTime();
  const double burst = to->options.lines_per_s;
  const std::chrono::duration<double> elapsed = now - to->allowed_at;
  to->allowed_at = now;
  to->allowance = std::min(
      burst, to->allowance + elapsed.count() * to->options.lines_per_s);
  const bool has_room = to->bytes.size() < to->options.buffer_bytes;
  const bool in_rate = to->allowance >= 1 || level >= core::log_level::kWarning;
  if (has_room && in_rate) {
    to->allowance = std::max(0.0, to->allowance - 1);
    return true;
  }
  ++to->dropped[std::string(message)];
  ++to->dropped_total;
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

void SetLogLevel(core::log_level level) { minimum_level = level; }

void Log(core::log_level level, std::string_view message,
         const std::vector<std::pair<std::string, std::string>>& fields) {
  if (level < minimum_level) return;
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
    buffer_.allowed_at = loop.Now();
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
    if (buffer_.bytes.size() < buffer_.options.buffer_bytes) TellDropped();
    if (buffer_.bytes.empty()) return;
    const ssize_t written =
        write(STDOUT_FILENO, buffer_.bytes.data(), buffer_.bytes.size());
    if (written > 0) {
      buffer_.bytes.erase(0, static_cast<std::size_t>(written));
    }
  }

  void TellDropped() {
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
