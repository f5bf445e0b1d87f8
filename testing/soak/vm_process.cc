#include "soak/vm_process.h"

#include <cstdlib>
#include <fstream>

#include "fleet/ports.h"

namespace pimentohall::testing {
namespace {

using nlohmann::json;

constexpr int kZones = 3;

}  // namespace

std::string vm_process::Zone() const {
  return "zone-" + std::to_string(index % kZones);
}

std::string vm_process::Start() const {
  return "i-" + std::to_string(index) + "-" + std::to_string(start);
}

bool vm_fleet::ClaimPorts() {
  const auto ports = FindFreePorts(static_cast<int>(vm_port::kPorts));
  if (ports) first_port_ = *ports;
  return ports.has_value();
}

bool vm_fleet::Open(vm_process* at, int index, run_log* runs) {
  at->index = index;
  at->address = "127." + std::to_string(1 + options_.seed % 250) + "." +
                std::to_string(1 + index / 200) + "." +
                std::to_string(1 + index % 200);
  at->store_proxy = std::make_unique<tcp_proxy>(
      loop_, timers_, net::endpoint{at->address, Port(vm_port::kStore)},
      net::endpoint{"127.0.0.1", options_.store_port});
  at->upstream_proxy = std::make_unique<tcp_proxy>(
      loop_, timers_, net::endpoint{at->address, Port(vm_port::kUpstream)},
      net::endpoint{at->address, Port(vm_port::kBehind)});
  at->upstream = std::make_unique<soak_upstream>(
      loop_, timers_, net::endpoint{at->address, Port(vm_port::kBehind)}, runs,
      options_.seed * 1000 + static_cast<std::uint64_t>(index));
  return at->store_proxy->Open() && at->upstream_proxy->Open() &&
         at->upstream->Open();
}

void vm_fleet::WriteSettings(const vm_process& of) const {
  const auto at = [&](vm_port which) {
    return of.address + ":" + std::to_string(Port(which));
  };
  const json settings = {
      {"name", of.Name()},
      {"zone", of.Zone()},
      {"zones", {{"zone-0", "r"}, {"zone-1", "r"}, {"zone-2", "r"}}},
      {"service", "ledger"},
      {"callers", at(vm_port::kCallers)},
      {"peers", at(vm_port::kPeers)},
      {"ready", at(vm_port::kReady)},
      {"upstream", at(vm_port::kUpstream)},
      {"source", at(vm_port::kStore)},
      {"news_port", Port(vm_port::kNews)},
      {"admin_port", Port(vm_port::kAdmin)},
      {"bounds",
       {"graceS=6", "retryBudgetRatio=0.2", "retrySlack=50",
        "budgetWindowS=10"}}};
  std::ofstream(SettingsFile(of)) << settings.dump(1) << "\n";
}

bool vm_fleet::StartDaemon(vm_process* at) const {
  setenv("PIMENTOHALL_NODE_FILE", SettingsFile(*at).c_str(), 1);
  auto started =
      child_process::Start({options_.programs + "/pimentohalld", "--platform"},
                           options_.folder + "/" + at->Name() + ".log");
  if (!started) return false;
  at->process = std::move(*started);
  ++at->boot;
  return true;
}

json vm_fleet::Entry(const vm_process& of, const char* state) const {
  return {
      {"service", "ledger"},
      {"address", of.address + ":" + std::to_string(Port(vm_port::kUpstream))},
      {"zone", of.Zone()},
      {"version", "v1"},
      {"slots", 6},
      {"state", state},
      {"warmupLeftMs", 0},
      {"sequence", of.start},
      {"born", 1000000 + of.start}};
}

json RouteOf(const std::string& name, bool idempotent) {
  return {{"name", name},
          {"host", "a.example"},
          {"prefix", "/" + name + "/"},
          {"kind", idempotent ? "idempotent" : "non_idempotent"},
          {"timeoutMs", kRouteTimeout.count()},
          {"aimMs", 400},
          {"priority", idempotent ? 1 : 0},
          {"maxAttempts", 2},
          {"service", "ledger"}};
}

json ConfigurationDocument(int version, json routes, json tenants) {
  return {{"version", "r" + std::to_string(version)},
          {"routes", std::move(routes)},
          {"services",
           {{{"name", "ledger"},
             {"healthPath", "/health"},
             {"maxConnections", 100},
             {"warmupS", 3},
             {"warmupPerS", 0}}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 8000000},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}},
          {"tenants", std::move(tenants)}};
}

}  // namespace pimentohall::testing
