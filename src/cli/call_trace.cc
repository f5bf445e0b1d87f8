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

// Seconds within the day, for short distances; none if it isn't a log time.
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
  const ordered_json from = ordered_json::parse(text, nullptr, false);
  if (!from.is_object()) return std::nullopt;
  const auto text_of = [&from](const char* name) {
    const auto found = from.find(name);
    return found != from.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
  };
  trace_line line;
  line.source = source;
  line.time = text_of("time");
  line.level = text_of("level");
  line.message = text_of("message");
  const auto fields = from.find("fields");
  if (fields == from.end() || !fields->is_object()) return line;
  for (const auto& [name, value] : fields->items()) {
    line.fields.emplace_back(
        name, value.is_string() ? value.get<std::string>() : value.dump());
  }
  return line;
}

bool IsOfSomeCall(const trace_line& line) {
  return !line.Field("request").empty() || !line.Field("attempt").empty();
}

}  // namespace

std::string trace_line::Field(const std::string& name) const {
  for (const auto& [known, value] : fields) {
    if (known == name) return value;
  }
  return {};
}

const trace_line* call_trace::End() const {
  for (const trace_line& each : lines) {
    const bool is_nested = each.Field("request").find('.') != std::string::npos;
    if (each.is_of_call && each.message == kEndMessage && !is_nested) {
      return &each;
    }
  }
  return nullptr;
}

std::string call_trace::Verdict() const {
  const trace_line* const end = End();
  if (end == nullptr) return {};
  int ran = 0;
  int refused = 0;
  for (const trace_line& each : lines) {
    if (!each.is_of_call || each.message != kAttemptMessage ||
        each.Field("request") != end->Field("request")) {
      continue;
    }
    const std::string outcome = each.Field("outcome");
    const bool not_run = outcome == "not_run" || outcome == "shed";
    ++(not_run ? refused : ran);
  }
  return "status " + end->Field("status") + " from " + end->Field("from") +
         " on " + end->source + ", reason " + end->Field("reason") + "; " +
         std::to_string(ran) + " attempts ran or may have run, " +
         std::to_string(refused) + " didn't, " + end->Field("sent") +
         " reached an upstream";
}

trace_builder::trace_builder(std::string request, double around_s)
    : request_(std::move(request)), around_s_(around_s) {}

bool trace_builder::Names(const trace_line& line) const {
  const std::string request = line.Field("request");
  // Calls that an upstream makes while it runs the call have its id, a dot and
  // one of their own.
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
    line->is_of_call = Names(*line);
    if (line->is_of_call || (around_s_ > 0 && !IsOfSomeCall(*line))) {
      lines.push_back(std::move(*line));
    }
  }
}

call_trace trace_builder::Build() const {
  call_trace trace;
  trace.unreadable = unreadable_;
  for (const auto& [source, lines] : by_source_) {
    std::vector<double> touched;
    for (const trace_line& each : lines) {
      const auto at = SecondsOfDay(each.time);
      if (each.is_of_call && at) touched.push_back(*at);
    }
    for (const trace_line& each : lines) {
      const auto at = SecondsOfDay(each.time);
      const bool is_near =
          at && std::any_of(touched.begin(), touched.end(), [&](double other) {
            return std::abs(other - *at) <= around_s_;
          });
      if (each.is_of_call || is_near) trace.lines.push_back(each);
    }
  }
  std::stable_sort(
      trace.lines.begin(), trace.lines.end(),
      [](const trace_line& a, const trace_line& b) { return a.time < b.time; });
  return trace;
}

}  // namespace pimentohall::cli
