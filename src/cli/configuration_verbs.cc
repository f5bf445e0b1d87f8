// The verbs that work on configuration folders, without a daemon: check, diff,
// build.

#include <iostream>
#include <nlohmann/json.hpp>

#include "cli/command_line.h"
#include "cli/folder.h"
#include "cli/verbs.h"

namespace pimentohall::cli {
namespace {

using json = nlohmann::ordered_json;

json FaultsJson(const config::faults& faults) {
  json list = json::array();
  for (const config::fault& fault : faults) {
    list.push_back({{"document", fault.document},
                    {"line", fault.line},
                    {"field", fault.field},
                    {"problem", fault.problem},
                    {"fix", fault.fix}});
  }
  return list;
}

int PrintFaults(const std::string& path, const config::faults& faults,
                bool as_json) {
  if (as_json) {
    std::cout << json({{"ok", false}, {"faults", FaultsJson(faults)}}).dump(2)
              << "\n";
    return kFaulty;
  }
  for (const config::fault& fault : faults) {
    std::cerr << path << "/" << fault.ToString() << "\n";
  }
  std::cerr << faults.size() << " fault(s); nothing was accepted\n";
  return kFaulty;
}

int PrintFileError(const file_error& error) {
  std::cerr << "pimentohall: " << error.ToString() << "\n";
  return kFileError;
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

// Reads and assembles a folder. On failure it prints the faults and returns the
// exit code.
tl::expected<config::config_set, int> Load(const std::string& path,
                                           bool as_json) {
  const auto files = ReadFolder(path);
  if (!files) return tl::make_unexpected(PrintFileError(files.error()));
  auto set = AssembleFolder(*files, 1);
  if (!set) {
    return tl::make_unexpected(PrintFaults(path, set.error(), as_json));
  }
  return *set;
}

std::size_t CountUpstreams(const config::config_set& set) {
  std::size_t count = 0;
  for (const config::service& service : set.Services()) {
    count += service.upstreams.size();
  }
  return count;
}

}  // namespace

int RunCheck(arguments args) {
  command_line line("Checks a configuration folder before it is published");
  TCLAP::UnlabeledValueArg<std::string> path("folder", "configuration folder",
                                             true, "", "FOLDER", line);
  line.parse(args);
  const auto set = Load(path.getValue(), line.Json());
  if (!set) return set.error();
  if (line.Json()) {
    std::cout << json({{"ok", true},
                       {"zones", set->Zones().size()},
                       {"services", set->Services().size()},
                       {"upstreams", CountUpstreams(*set)},
                       {"organisations", set->Organisations().size()}})
                     .dump(2)
              << "\n";
    return kOk;
  }
  std::cout << "ok: " << set->Zones().size() << " zones, "
            << set->Services().size() << " services, " << CountUpstreams(*set)
            << " upstreams, " << set->Organisations().size()
            << " organisations\n";
  return kOk;
}

int RunDiff(arguments args) {
  command_line line("Shows what differs between two configuration folders");
  TCLAP::UnlabeledValueArg<std::string> before("before", "configuration folder",
                                               true, "", "BEFORE", line);
  TCLAP::UnlabeledValueArg<std::string> after("after", "configuration folder",
                                              true, "", "AFTER", line);
  line.parse(args);
  const auto old_set = Load(before.getValue(), line.Json());
  if (!old_set) return old_set.error();
  const auto new_set = Load(after.getValue(), line.Json());
  if (!new_set) return new_set.error();
  const std::vector<config::change> changes = config::Diff(*old_set, *new_set);
  if (line.Json()) {
    json list = json::array();
    for (const config::change& change : changes) {
      list.push_back({{"kind", KindName(change.kind)},
                      {"subject", change.subject},
                      {"detail", change.detail}});
    }
    std::cout << list.dump(2) << "\n";
  } else {
    for (const config::change& change : changes) {
      std::cout << KindName(change.kind) << " " << change.subject << "  "
                << change.detail << "\n";
    }
  }
  return changes.empty() ? kOk : kDiffers;
}

int RunBuild(arguments args) {
  command_line line(
      "Checks a configuration folder and writes it as the values to publish: "
      "manifest, parts/DIGEST and vms. Publishes nothing itself: put the parts "
      "first and the manifest last");
  TCLAP::UnlabeledValueArg<std::string> path("folder", "configuration folder",
                                             true, "", "FOLDER", line);
  TCLAP::UnlabeledValueArg<std::string> out("out", "folder to write", true, "",
                                            "OUT", line);
  TCLAP::ValueArg<std::uint64_t> version(
      "", "set-version", "version of the set; greater than the one in force",
      true, 0, "number", line);
  line.parse(args);
  const auto files = ReadFolder(path.getValue());
  if (!files) return PrintFileError(files.error());
  const auto set = AssembleFolder(*files, version.getValue());
  if (!set) return PrintFaults(path.getValue(), set.error(), line.Json());

  std::map<std::string, std::string> values;
  for (const auto& [digest, bytes] : config::PartsByDigest(files->parts)) {
    values["parts/" + digest] = bytes;
  }
  if (!files->vms.empty()) values["vms"] = files->vms;
  values["manifest"] = config::BuildManifest(version.getValue(), files->parts);
  for (const auto& [key, bytes] : values) {
    const auto written = WriteFile(out.getValue() + "/" + key, bytes);
    if (!written) return PrintFileError(written.error());
  }
  if (line.Json()) {
    std::cout << json({{"version", set->Version()},
                       {"digest", set->Digest()},
                       {"values", values.size()}})
                     .dump(2)
              << "\n";
  } else {
    std::cout << "version " << set->Version() << ", digest " << set->Digest()
              << ", " << values.size() << " values in " << out.getValue()
              << "\n";
  }
  return kOk;
}

}  // namespace pimentohall::cli
