#include "fleet/fleet.h"

#include <algorithm>
#include <csignal>
#include <set>
#include <thread>

#include "cli/folder.h"
#include "fleet/http_client.h"
#include "fleet/ports.h"

namespace pimentohall::testing {
namespace {

using json = nlohmann::ordered_json;
using steady = std::chrono::steady_clock;

constexpr int kSourcePorts = 2;
constexpr int kPortsPerVm = 3;
constexpr std::size_t kBootstrapPeers = 4;
constexpr std::chrono::milliseconds kStartTimeout(10000);
constexpr std::chrono::milliseconds kPollInterval(20);

std::size_t CountUpstreams(const configuration& documents) {
  std::size_t count = 0;
  for (const auto& [name, document] : documents.parts) {
    if (document.contains("upstreams")) count += document["upstreams"].size();
  }
  return count;
}

json Endpoint(int port) { return {{"address", "127.0.0.1"}, {"port", port}}; }

}  // namespace

fleet_result<std::unique_ptr<fleet>> fleet::Create(fleet_options options,
                                                   configuration documents) {
  const std::size_t vms = documents.vms["vms"].size();
  std::size_t count =
      kSourcePorts + kPortsPerVm * std::min(vms, options.daemons);
  if (options.upstreams) count += CountUpstreams(documents);
  const auto first = FindFreePorts(static_cast<int>(count));
  if (!first) return tl::make_unexpected(first.error());
  return std::unique_ptr<fleet>(
      new fleet(std::move(options), std::move(documents), *first));
}

fleet::fleet(fleet_options options, configuration documents, int first_port)
    : options_(std::move(options)),
      documents_(std::move(documents)),
      source_port_(first_port),
      source_admin_port_(first_port + 1),
      publisher_(source_admin_port_) {
  AssignPorts(first_port + kSourcePorts);
}

void fleet::AssignPorts(int first_port) {
  int port = first_port;
  for (json& vm : documents_.vms["vms"]) {
    if (daemons_.size() == options_.daemons) break;
    fleet_daemon daemon;
    daemon.vm = vm["name"];
    daemon.zone = vm["zone"];
    daemon.http_port = port++;
    daemon.link_port = port++;
    daemon.admin_port = port++;
    daemon.settings_file = options_.folder + "/" + daemon.vm + ".json";
    vm["address"] = "127.0.0.1";
    vm["http_port"] = daemon.http_port;
    vm["link_port"] = daemon.link_port;
    daemons_.push_back(std::move(daemon));
  }
  if (!options_.upstreams) return;
  for (auto& [name, document] : documents_.parts) {
    if (!document.contains("upstreams")) continue;
    for (json& entry : document["upstreams"]) {
      fleet_upstream upstream;
      upstream.name = entry["name"];
      upstream.service = document["name"];
      upstream.vm = entry["vm"];
      upstream.port = port++;
      entry["address"] = "127.0.0.1";
      entry["port"] = upstream.port;
      upstreams_.push_back(std::move(upstream));
    }
  }
}

fleet_result<void> fleet::Start() {
  auto result = StartSource();
  if (result) result = PublishVms();
  if (result) result = Publish();
  for (fleet_upstream& upstream : upstreams_) {
    if (result) result = StartUpstream(&upstream);
  }
  for (fleet_upstream& upstream : upstreams_) {
    if (result) result = WaitListening(upstream.port, kStartTimeout);
  }
  for (fleet_daemon& daemon : daemons_) {
    if (result) result = StartDaemon(&daemon);
  }
  return result;
}

fleet_result<void> fleet::StartSource() {
  auto process = child_process::Start(
      {Program("source_standin"), "--port", std::to_string(source_port_),
       "--admin-port", std::to_string(source_admin_port_)},
      LogFile("source"));
  if (!process) return tl::make_unexpected(process.error());
  source_ = std::move(*process);
  return WaitListening(source_admin_port_, kStartTimeout);
}

fleet_result<void> fleet::StartDaemon(fleet_daemon* daemon) {
  auto written = WriteSettings(*daemon);
  if (!written) return written;
  auto process = child_process::Start(
      {Program("pimentohalld"), "--settings", daemon->settings_file},
      LogFile(daemon->vm));
  if (!process) return tl::make_unexpected(process.error());
  daemon->process = std::move(*process);
  return {};
}

fleet_result<void> fleet::StartUpstream(fleet_upstream* upstream) {
  std::vector<std::string> command = {Program("upstream_standin"), "--port",
                                      std::to_string(upstream->port)};
  command.insert(command.end(), options_.upstream_arguments.begin(),
                 options_.upstream_arguments.end());
  auto process = child_process::Start(command, LogFile(upstream->name));
  if (!process) return tl::make_unexpected(process.error());
  upstream->process = std::move(*process);
  return {};
}

fleet_result<void> fleet::WaitReady(std::chrono::milliseconds timeout) {
  const auto end = steady::now() + timeout;
  for (fleet_daemon& daemon : daemons_) {
    while (true) {
      if (!daemon.process.IsRunning()) {
        return FleetError(daemon.vm + " has ended, see " + LogFile(daemon.vm));
      }
      if (HttpGet(daemon.admin_port, "/readyz")) break;
      if (steady::now() > end) return FleetError(daemon.vm + " is not ready");
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  return {};
}

bool fleet::StopDaemons(std::chrono::milliseconds timeout) {
  const auto end = steady::now() + timeout;
  for (fleet_daemon& daemon : daemons_) daemon.process.Signal(SIGTERM);
  bool clean = true;
  for (fleet_daemon& daemon : daemons_) {
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(end -
                                                              steady::now());
    clean &= daemon.process.WaitExit(remaining) == std::optional<int>(0);
    daemon.process.Kill();
  }
  return clean;
}

fleet_daemon* fleet::FindDaemon(const std::string& vm) {
  for (fleet_daemon& daemon : daemons_) {
    if (daemon.vm == vm) return &daemon;
  }
  return nullptr;
}

std::string fleet::ZoneOf(const fleet_upstream& upstream) const {
  for (const fleet_daemon& daemon : daemons_) {
    if (daemon.vm == upstream.vm) return daemon.zone;
  }
  return "";
}

std::vector<int> fleet::AdminPorts() const {
  std::vector<int> ports;
  for (const fleet_daemon& daemon : daemons_) {
    ports.push_back(daemon.admin_port);
  }
  return ports;
}

fleet_result<void> fleet::WriteSettings(const fleet_daemon& daemon) const {
  const json settings = {{"vm", daemon.vm},
                         {"zone", daemon.zone},
                         {"http", Endpoint(daemon.http_port)},
                         {"link", Endpoint(daemon.link_port)},
                         {"admin", Endpoint(daemon.admin_port)},
                         {"source",
                          {{"addresses", json::array({Endpoint(source_port_)})},
                           {"prefix", kSourcePrefix}}},
                         {"bootstrap_peers", BootstrapPeers(daemon)},
                         {"log", {{"level", options_.log_level}}}};
  auto written = cli::WriteFile(daemon.settings_file, settings.dump(2));
  if (!written) return FleetError(written.error().ToString());
  return {};
}

// The first other VM of each zone, for the first `kBootstrapPeers` zones.
json fleet::BootstrapPeers(const fleet_daemon& daemon) const {
  json peers = json::array();
  std::set<std::string> zones;
  for (const fleet_daemon& other : daemons_) {
    if (peers.size() == kBootstrapPeers) break;
    if (other.vm == daemon.vm || !zones.insert(other.zone).second) continue;
    json peer = {{"vm", other.vm}};
    peer.update(Endpoint(other.link_port));
    peers.push_back(std::move(peer));
  }
  return peers;
}

std::string fleet::Program(const std::string& name) const {
  return options_.programs + "/" + name;
}

std::string fleet::LogFile(const std::string& name) const {
  return options_.folder + "/" + name + ".log";
}

fleet_result<void> WaitListening(int port, std::chrono::milliseconds timeout) {
  const auto end = steady::now() + timeout;
  while (true) {
    const auto reply = http_client(port, timeout).Send({"GET", "/", "", {}});
    if (reply) return {};
    if (steady::now() > end) return tl::make_unexpected(reply.error());
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace pimentohall::testing
