// The verbs that query running daemons: status, watch, dump, explain. `explain`
// also works offline, from a configuration folder.

#include <unistd.h>

#include <iostream>
#include <nlohmann/json.hpp>

#include "cli/admin_client.h"
#include "cli/command_line.h"
#include "cli/fleet_status.h"
#include "cli/folder.h"
#include "cli/offline_engine.h"
#include "cli/verbs.h"
#include "pimentohall/core.h"

namespace pimentohall::cli {
namespace {

using json = nlohmann::ordered_json;

constexpr char kAdminHelp[] = "admin address of a daemon; may be repeated";

int PrintUnreachable(const admin_error& error) {
  std::cerr << "pimentohall: " << error.ToString()
            << "; is the daemon running, and is this its admin address?\n";
  return kUnreachable;
}

// Reads the key from standard input, so that no process list shows it.
std::string ReadKeyDigest() {
  std::string key;
  std::getline(std::cin, key);
  return config::Sha256Hex(key);
}

int PrintExplanation(const std::string& text, bool as_json) {
  const json report = json::parse(text, nullptr, false);
  if (report.is_discarded()) {
    std::cerr << "pimentohall: the daemon's explanation is not JSON\n";
    return kUnreachable;
  }
  const bool admitted = report.value("verdict", "") == "admitted";
  if (as_json) {
    std::cout << report.dump(2) << "\n";
    return admitted ? kOk : kFaulty;
  }
  for (const auto& [field, value] : report.items()) {
    if (field == "upstreams") continue;
    std::cout << field << ": "
              << (value.is_string() ? value.get<std::string>() : value.dump())
              << "\n";
  }
  for (const json& upstream : report.value("upstreams", json::array())) {
    std::cout << "upstream " << upstream.value("upstream", "") << " on "
              << upstream.value("vm", "") << " in "
              << upstream.value("zone", "") << ": "
              << upstream.value("state", "") << "\n";
  }
  return admitted ? kOk : kFaulty;
}

}  // namespace

int RunStatus(arguments args) {
  command_line line(
      "Shows the version in force, its age and the lag of daemons, by zone");
  TCLAP::MultiArg<std::string> admin("", "admin", kAdminHelp, true,
                                     "address:port", line);
  line.parse(args);
  const fleet_status fleet = QueryFleet(admin.getValue());
  std::cout << (line.Json() ? StatusJson(fleet) + "\n" : StatusTable(fleet));
  return ExitCodeFor(fleet);
}

int RunWatch(arguments args) {
  command_line line("Follows the status of daemons and prints each change");
  TCLAP::MultiArg<std::string> admin("", "admin", kAdminHelp, true,
                                     "address:port", line);
  TCLAP::ValueArg<int> count("", "count",
                             "number of times to ask; 0: until interrupted",
                             false, 0, "number", line);
  line.parse(args);
  int code = kOk;
  std::map<std::string, std::string> shown;
  for (int i = 0; count.getValue() == 0 || i < count.getValue(); ++i) {
    if (i > 0) sleep(1);
    const fleet_status fleet = QueryFleet(admin.getValue());
    code = ExitCodeFor(fleet);
    for (const daemon_status& daemon : fleet.daemons) {
      const json entry = {
          {"address", daemon.address},   {"vm", daemon.vm},
          {"version", daemon.version},   {"ready", daemon.ready},
          {"stopping", daemon.stopping}, {"error", daemon.error}};
      std::string text = entry.dump();
      if (shown[daemon.address] == text) continue;
      shown[daemon.address] = text;
      if (line.Json()) {
        std::cout << text << std::endl;
      } else if (!daemon.error.empty()) {
        std::cout << daemon.address << " " << daemon.error << std::endl;
      } else {
        std::cout << daemon.vm << " version " << daemon.version
                  << (daemon.ready ? " ready" : " not ready")
                  << (daemon.stopping ? " stopping" : "") << std::endl;
      }
    }
  }
  return code;
}

int RunDump(arguments args) {
  command_line line("Prints the state of a daemon as JSON");
  TCLAP::ValueArg<std::string> admin("", "admin", "admin address of a daemon",
                                     true, "", "address:port", line);
  line.parse(args);
  const auto body = AdminGet(admin.getValue(), "/state");
  if (!body) return PrintUnreachable(body.error());
  std::cout << *body << "\n";
  return kOk;
}

int RunExplain(arguments args) {
  command_line line(
      "Explains why a call would be admitted, refused or routed as it is, from "
      "a "
      "daemon's state (--admin) or offline from a configuration folder "
      "(--config)");
  TCLAP::ValueArg<std::string> admin("", "admin", "admin address of a daemon",
                                     false, "", "address:port", line);
  TCLAP::ValueArg<std::string> folder_path("", "config",
                                           "configuration folder with vms.json",
                                           false, "", "folder", line);
  TCLAP::ValueArg<std::string> method("", "method", "HTTP method", false, "GET",
                                      "method", line);
  TCLAP::ValueArg<std::string> path("", "path", "request path", true, "",
                                    "path", line);
  TCLAP::SwitchArg key("", "key", "read the caller's key from standard input",
                       line);
  line.parse(args);
  if (admin.isSet() == folder_path.isSet()) {
    std::cerr << "pimentohall explain: give either --admin or --config\n";
    return kUsage;
  }
  core::call_arrived call;
  call.method = method.getValue();
  call.path = path.getValue();
  if (key.getValue()) call.key_digest = ReadKeyDigest();

  if (admin.isSet()) {
    const auto body = AdminGet(
        admin.getValue(), "/explain?method=" + EncodeParameter(call.method) +
                              "&path=" + EncodeParameter(call.path) +
                              "&key_sha256=" + call.key_digest);
    if (!body) return PrintUnreachable(body.error());
    return PrintExplanation(*body, line.Json());
  }
  const auto files = ReadFolder(folder_path.getValue());
  if (!files) {
    std::cerr << "pimentohall: " << files.error().ToString() << "\n";
    return kFileError;
  }
  const auto explanation = ExplainOffline(*files, call);
  if (!explanation) {
    for (const config::fault& fault : explanation.error()) {
      std::cerr << folder_path.getValue() << "/" << fault.ToString() << "\n";
    }
    return kFaulty;
  }
  return PrintExplanation(*explanation, line.Json());
}

}  // namespace pimentohall::cli
