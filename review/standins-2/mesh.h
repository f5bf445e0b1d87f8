#ifndef PIMENTOHALL_REVIEW_STANDINS_2_MESH_H_
#define PIMENTOHALL_REVIEW_STANDINS_2_MESH_H_

// A deployment like sites/tsurumaki-mesh.toml: 12 VMs in 3 zones, 4 services
// with 3 targets each, and its usual traffic.

#include <string>
#include <utility>
#include <vector>

#include "bed.h"

namespace bed {

inline constexpr double kContactS = 3.0;
inline constexpr double kWarmupS = 3.0;
inline constexpr double kWarmupPerS = 13.0;

inline std::vector<std::pair<std::string, std::string>> MeshVms() {
  std::vector<std::pair<std::string, std::string>> vms;
  for (const char* service : {"counter", "ledger", "refunds", "statements"}) {
    for (const char* zone : {"kyushu-a", "kyushu-b", "kyushu-c"}) {
      vms.emplace_back(zone, service);
    }
  }
  return vms;
}

inline std::string RouteText(const std::string& name, const std::string& host,
                             const std::string& kind, int timeout_ms,
                             int aim_ms, int priority,
                             const std::string& service) {
  return "{\"name\":\"" + name + "\",\"host\":\"" + host + "\",\"prefix\":\"/" +
         name + "/\",\"kind\":\"" + kind +
         "\",\"timeoutMs\":" + std::to_string(timeout_ms) +
         ",\"aimMs\":" + std::to_string(aim_ms) +
         ",\"priority\":" + std::to_string(priority) + ",\"service\":\"" +
         service + "\",\"maxAttempts\":2,\"public\":false}";
}

// `routes`: further ones, each with a comma before it.
inline std::string MeshConfiguration(int version, const std::string& keys,
                                     const std::string& routes = "") {
  std::string services;
  for (const char* service : {"counter", "ledger", "refunds", "statements"}) {
    services += std::string(services.empty() ? "" : ",") + "{\"name\":\"" +
                service +
                "\",\"healthPath\":\"/health\",\"maxConnections\":110,"
                "\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,"
                "\"warmupPerS\":13.0}";
  }
  return "{\"version\":\"r" + std::to_string(version) + "\",\"routes\":[" +
         RouteText("balance", "counter.example", "idempotent", 1200, 400, 2,
                   "counter") +
         "," +
         RouteText("dues", "ledger.example", "non_idempotent", 1500, 500, 1,
                   "ledger") +
         "," +
         RouteText("refund", "refunds.example", "non_idempotent", 800, 250, 0,
                   "refunds") +
         "," +
         RouteText("run", "statements.example", "idempotent", 4000, 1200, 2,
                   "statements") +
         routes + "],\"services\":[" + services +
         "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
         "\"tenants\":[{\"name\":\"homes\",\"apiKeys\":[" +
         keys + "],\"priority\":1,\"ratePerS\":400,\"burst\":400}]}";
}

inline request Balance(const std::string& path, const std::string& key) {
  return {"GET", "counter.example", "/balance/" + path, key, 2500, ""};
}
inline request Dues(const std::string& path, const std::string& key,
                    const std::string& body) {
  return {"POST", "ledger.example", "/dues/" + path, key, 3000, body};
}

// Calls `send` `per_s` times a second, evenly, until `until`.
inline void SendSteadily(deployment& mesh, double per_s, seconds until,
                         const std::function<void(int)>& send, int number = 0) {
  if (mesh.Now() >= until) return;
  send(number);
  mesh.Loop().After(1 / per_s, [&mesh, per_s, until, send, number] {
    SendSteadily(mesh, per_s, until, send, number + 1);
  });
}

}  // namespace bed

#endif  // PIMENTOHALL_REVIEW_STANDINS_2_MESH_H_
