// The verb check-platform.

#include <algorithm>
#include <cctype>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

#include "cli/command_line.h"
#include "cli/folder.h"
#include "cli/verbs.h"
#include "pimentohall/check.h"
#include "platform/platform.h"

namespace pimentohall::cli {
namespace {

using json = nlohmann::ordered_json;

// Widths of the table's columns.
constexpr int kKindWidth = 7;
constexpr int kCodeWidth = 22;
constexpr int kPlaceWidth = 16;
constexpr int kFieldWidth = 12;

constexpr std::uint64_t kBytesPerMb = 1024 * 1024;

const char* SeverityName(check::severity level) {
  return level == check::severity::kError ? "error" : "warning";
}

const char* KindName(config::change_kind kind) {
  switch (kind) {
    case config::change_kind::kAdded:
      return "added";
    case config::change_kind::kRemoved:
      return "removed";
    case config::change_kind::kChanged:
      return "changed";
  }
  return "unknown";
}

// Replaces control characters: a name in the file must not move the cursor or
// look like another line of the table.
std::string Printable(std::string text) {
  std::replace_if(
      text.begin(), text.end(),
      [](char c) { return std::iscntrl(static_cast<unsigned char>(c)) != 0; },
      '?');
  return text;
}

// Reads and parses a file. The result is empty if `path` is.
template <typename value>
tl::expected<std::optional<value>, file_error> Read(
    const std::string& path,
    tl::expected<value, std::string> (*parse)(const std::string&)) {
  if (path.empty()) return std::optional<value>();
  const auto text = ReadFile(path);
  if (!text) return tl::make_unexpected(text.error());
  auto parsed = parse(*text);
  if (!parsed) return tl::make_unexpected(file_error{path, parsed.error()});
  return std::optional<value>(std::move(*parsed));
}

struct check_arguments {
  std::string proposed;
  std::string in_force;  // Empty: not given, as for `upstreams`.
  std::string upstreams;
  std::vector<std::string> evacuated_zones;
  std::uint64_t memory_mb = 0;  // 0: not given.
};

tl::expected<check::input, file_error> ReadInput(const check_arguments& from) {
  check::input input;
  auto proposed = Read(from.proposed, platform::ParseConfiguration);
  if (!proposed) return tl::make_unexpected(proposed.error());
  auto in_force = Read(from.in_force, platform::ParseConfiguration);
  if (!in_force) return tl::make_unexpected(in_force.error());
  auto upstreams = Read(from.upstreams, platform::ParseUpstreams);
  if (!upstreams) return tl::make_unexpected(upstreams.error());
  input.proposed = std::move(**proposed);
  input.in_force = std::move(*in_force);
  input.upstreams = std::move(*upstreams);
  input.evacuated_zones = {from.evacuated_zones.begin(),
                           from.evacuated_zones.end()};
  if (from.memory_mb > 0) input.memory_bytes = from.memory_mb * kBytesPerMb;
  return input;
}

int ExitCode(const check::report& report) {
  const auto worst = report.Worst();
  if (!worst) return kClean;
  return *worst == check::severity::kError ? kErrors : kWarnings;
}

void PrintJson(const json& value) {
  std::cout << value.dump(2, ' ', false, json::error_handler_t::replace)
            << "\n";
}

json ReportJson(const check::report& report) {
  constexpr const char* kResults[] = {"clean", "warnings", "errors"};
  json findings = json::array();
  for (const check::finding& each : report.findings) {
    const check::finding_kind& kind = check::KindOf(each.id);
    findings.push_back({{"code", kind.code},
                        {"severity", SeverityName(kind.level)},
                        {"place", each.place},
                        {"field", platform::FieldName(kind.field)},
                        {"problem", each.problem},
                        {"fix", kind.fix}});
  }
  json differences = json::array();
  for (const check::difference& each : report.differences) {
    differences.push_back({{"kind", KindName(each.kind)},
                           {"subject", each.subject},
                           {"field", platform::FieldName(each.field)},
                           {"before", each.before},
                           {"after", each.after}});
  }
  return {{"result", kResults[ExitCode(report)]},
          {"findings", std::move(findings)},
          {"differences", std::move(differences)}};
}

std::string PlaceText(const std::string& place) {
  return place.empty() ? "configuration" : Printable(place);
}

// Writes a cell of the table; a long text moves the rest of its row.
void PrintCell(const std::string& text, int width) {
  std::cout << std::left << std::setw(width) << text << "  ";
}

void PrintFinding(const check::finding& printed) {
  const check::finding_kind& kind = check::KindOf(printed.id);
  PrintCell(SeverityName(kind.level), kKindWidth);
  PrintCell(kind.code, kCodeWidth);
  PrintCell(PlaceText(printed.place), kPlaceWidth);
  std::cout << platform::FieldName(kind.field) << "\n    "
            << Printable(printed.problem) << "\n    fix: " << kind.fix << "\n";
}

void PrintDifference(const check::difference& printed) {
  const bool is_changed = printed.kind == config::change_kind::kChanged;
  PrintCell(KindName(printed.kind), kKindWidth);
  if (printed.field.empty()) {
    std::cout << PlaceText(printed.subject) << "\n";
    return;
  }
  PrintCell(PlaceText(printed.subject), kPlaceWidth);
  PrintCell(platform::FieldName(printed.field), kFieldWidth);
  std::cout << Printable(printed.before) << (is_changed ? " -> " : "")
            << Printable(printed.after) << "\n";
}

void PrintTable(const check::report& report) {
  std::ptrdiff_t errors = 0;
  for (const check::finding& each : report.findings) {
    PrintFinding(each);
    errors += check::KindOf(each.id).level == check::severity::kError ? 1 : 0;
  }
  for (const check::difference& each : report.differences) {
    PrintDifference(each);
  }
  std::cout << errors << " error(s), "
            << static_cast<std::ptrdiff_t>(report.findings.size()) - errors
            << " warning(s), " << report.differences.size()
            << " difference(s)\n";
}

int PrintUnreadable(const file_error& error, bool as_json) {
  if (as_json) {
    PrintJson({{"result", "unreadable"},
               {"file", error.path},
               {"problem", error.problem}});
  } else {
    std::cerr << "pimentohall: " << Printable(error.ToString()) << "\n";
  }
  return kUnreadable;
}

}  // namespace

int RunCheckPlatform(arguments args) {
  command_line line(
      "Checks a configuration, as the users' platform holds it, before it is "
      "sent, and lists the differences from the one in force. Exit codes: 0 "
      "clean, 1 warnings, 2 errors, 3 a file or the arguments are unreadable");
  TCLAP::UnlabeledValueArg<std::string> proposed(
      "file", "the configuration to check", true, "", "FILE", line);
  TCLAP::ValueArg<std::string> in_force(
      "", "current", "the configuration in force", false, "", "FILE", line);
  TCLAP::ValueArg<std::string> upstreams(
      "", "servers", "the entries of the upstreams: a JSON object by key",
      false, "", "FILE", line);
  TCLAP::MultiArg<std::string> evacuated(
      "", "evacuated", "a zone that is evacuated; needs --servers", false,
      "ZONE", line);
  TCLAP::ValueArg<std::uint32_t> memory_mb("", "memory-mb", "memory of a VM",
                                           false, 0, "number", line);
  line.parse(args);
  if (evacuated.isSet() && !upstreams.isSet()) {
    throw TCLAP::CmdLineParseException("--evacuated needs --servers");
  }
  const auto input =
      ReadInput({proposed.getValue(), in_force.getValue(), upstreams.getValue(),
                 evacuated.getValue(), memory_mb.getValue()});
  if (!input) return PrintUnreadable(input.error(), line.Json());
  const check::report report = check::Check(*input);
  if (line.Json()) {
    PrintJson(ReportJson(report));
  } else {
    PrintTable(report);
  }
  return ExitCode(report);
}

}  // namespace pimentohall::cli
