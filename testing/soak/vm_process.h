#ifndef PIMENTOHALL_TESTING_SOAK_VM_PROCESS_H_
#define PIMENTOHALL_TESTING_SOAK_VM_PROCESS_H_

// Daemons as processes of their own on loopback, each beside an upstream and
// behind proxies on its ways to the upstream and to the store.

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "fleet/child_process.h"
#include "soak/proxy.h"
#include "soak/upstream.h"

namespace pimentohall::testing {

// Of all routes of the fleet.
inline constexpr std::chrono::milliseconds kRouteTimeout(1500);

enum class vm_port {
  kCallers,
  kPeers,
  kNews,
  kReady,
  kAdmin,
  kUpstream,
  kStore,
  kBehind,  // Of the upstream, behind its proxy.
  kPorts
};

struct vm_process {
  int index = 0;
  std::string address;
  child_process process;
  int boot = 0;
  int start = 0;  // Of the upstream.
  std::unique_ptr<tcp_proxy> store_proxy;
  std::unique_ptr<tcp_proxy> upstream_proxy;
  std::unique_ptr<soak_upstream> upstream;

  std::string Name() const { return "vm-" + std::to_string(index); }
  std::string Zone() const;
  // Id of the upstream's start.
  std::string Start() const;
};

// What the daemons of one fleet share.
class vm_fleet {
 public:
  struct options {
    std::string programs;  // Folder of the built programs.
    std::string folder;    // Settings and logs go there.
    std::uint64_t seed = 1;
    int store_port = 0;
  };
  vm_fleet(net::event_loop& loop, net::timer_service& timers,
           const options& chosen)
      : loop_(loop), timers_(timers), options_(chosen) {}

  // False if there are no free ports.
  bool ClaimPorts();
  int Port(vm_port which) const {
    return first_port_ + static_cast<int>(which);
  }
  // Gives the VM its address and opens its proxies and its upstream. False if
  // it can't listen.
  bool Open(vm_process* at, int index, run_log* runs);
  void WriteSettings(const vm_process& of) const;
  // False if the daemon can't be started.
  bool StartDaemon(vm_process* at) const;
  // The published entry of a VM's upstream.
  nlohmann::json Entry(const vm_process& of, const char* state) const;

 private:
  std::string SettingsFile(const vm_process& of) const {
    return options_.folder + "/" + of.Name() + ".json";
  }

  net::event_loop& loop_;
  net::timer_service& timers_;
  const options options_;
  int first_port_ = 0;
};

// A published configuration. Routes and tenants are given in full.
nlohmann::json ConfigurationDocument(int version, nlohmann::json routes,
                                     nlohmann::json tenants);
// A route of service "ledger"; its prefix is "/NAME/".
nlohmann::json RouteOf(const std::string& name, bool idempotent);

}  // namespace pimentohall::testing

#endif  // PIMENTOHALL_TESTING_SOAK_VM_PROCESS_H_
