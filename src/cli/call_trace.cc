#include "cli/call_trace.h"

#include <algorithm>
#include <cstdlib>
#include <iomanip>
#include <istream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

namespace pimentohall::cli {
namespace {

using nlohmann::ordered_json;

constexpr char kEndMessage[] = "call ended";
constexpr char kAttemptMessage[] = "attempt ended";

// Returns the seconds since midnight, to compare times that are close to each
// other, or nullopt if `time` is not a log time.
std::optional<double> SecondsOfDay(const std::string& time) {
  std::tm parts{};
  std::istringstream in(time);
  in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
  if (in.fail()) return std::nullopt;
  double fraction = 0;
  if (in.peek() == '.') in >> fraction;
  return parts.tm_hour * 3600 + parts.tm_min * 60 + parts.tm_sec + fraction;
}

std::optional<trace_line> ReadLine(const std::string& source,
                                   const std::string& text) {
  const ordered_json object = ordered_json::parse(text, nullptr, false);
  if (!object.is_object()) return std::nullopt;
  const auto string_field = [&object](const char* name) {
    const auto found = object.find(name);
    return found != object.end() && found->is_string()
               ? found->get<std::string>()
               : std::string();
  };
  trace_line line;
  line.source = source;
  line.time = string_field("time");
  line.level = string_field("level");
  line.message = string_field("message");
  const auto fields = object.find("fields");
  if (fields == object.end() || !fields->is_object()) return line;
  for (const auto& [name, value] : fields->items()) {
    line.fields.emplace_back(
        name, value.is_string() ? value.get<std::string>() : value.dump());
  }
  return line;
}

bool BelongsToAnyCall(const trace_line& line) {
  return !line.Field("request").empty() || !line.Field("attempt").empty();
}

}  // namespace

std::string trace_line::Field(const std::string& name) const {
  for (const auto& [field_name, value] : fields) {
    if (field_name == name) return value;
  }
  return {};
}

const trace_line* call_trace::End() const {
  for (const trace_line& line : lines) {
    const bool is_nested = line.Field("request").find('.') != std::string::npos;
    if (line.belongs_to_call && line.message == kEndMessage && !is_nested) {
      return &line;
    }
  }
  return nullptr;
}

std::string call_trace::Verdict() const {
  const trace_line* const end = End();
  if (end == nullptr) return {};
  int run_count = 0;
  int not_run_count = 0;
  for (const trace_line& line : lines) {
    if (!line.belongs_to_call || line.message != kAttemptMessage ||
        line.Field("request") != end->Field("request")) {
      continue;
    }
    const std::string outcome = line.Field("outcome");
    const bool not_run = outcome == "not_run" || outcome == "shed";
    ++(not_run ? not_run_count : run_count);
  }
  return "status " + end->Field("status") + " from " + end->Field("from") +
         " on " + end->source + ", reason " + end->Field("reason") + "; " +
         std::to_string(run_count) + " attempts ran or may have run, " +
         std::to_string(not_run_count) + " didn't, " + end->Field("sent") +
         " reached an upstream";
}

trace_builder::trace_builder(std::string request, double window_s)
    : request_(std::move(request)), window_s_(window_s) {}

bool trace_builder::MatchesRequest(const trace_line& line) const {
  const std::string request = line.Field("request");
  // A call that an upstream makes while it runs this call has this call's id, a
  // dot and an id of its own.
  return request == request_ || request.rfind(request_ + ".", 0) == 0;
}

void trace_builder::Read(const std::string& source, std::istream& log) {
  std::string text;
  std::vector<trace_line>& lines = by_source_[source];
  while (std::getline(log, text)) {
    if (text.empty()) continue;
    auto line = ReadLine(source, text);
    if (!line) {
      ++unreadable_;
      continue;
    }
    line->belongs_to_call = MatchesRequest(*line);
    if (line->belongs_to_call || (window_s_ > 0 && !BelongsToAnyCall(*line))) {
      lines.push_back(std::move(*line));
    }
  }
}

call_trace trace_builder::Build() const {
  call_trace trace;
  trace.unreadable = unreadable_;
  for (const auto& [source, lines] : by_source_) {
    std::vector<double> call_seconds;
    for (const trace_line& line : lines) {
      const auto seconds = SecondsOfDay(line.time);
      if (line.belongs_to_call && seconds) call_seconds.push_back(*seconds);
    }
    for (const trace_line& line : lines) {
      const auto seconds = SecondsOfDay(line.time);
      const bool is_in_window =
          seconds &&
          std::any_of(call_seconds.begin(), call_seconds.end(),
                      [&](double call_second) {
                        return std::abs(call_second - *seconds) <= window_s_;
                      });
      if (line.belongs_to_call || is_in_window) trace.lines.push_back(line);
    }
  }
  std::stable_sort(
      trace.lines.begin(), trace.lines.end(),
      [](const trace_line& a, const trace_line& b) { return a.time < b.time; });
  return trace;
}

}  // namespace pimentohall::cli
