// Logging goes through glog to a sink of ours and to no file: VMs have no disk.

#include <glog/logging.h>
#include <time.h>
#include <unistd.h>

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

class stderr_sink : public google::LogSink {
 public:
  void send(google::LogSeverity, const char*, const char*, int,
            const google::LogMessageTime&, const char* message,
            std::size_t size) override {
    std::string line(message, size);
    line.push_back('\n');
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
  static stderr_sink sink;
  LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&sink, INFO)
      << FormatLogLine(UtcTime(), level, message, fields);
}

}  // namespace pimentohall::net
