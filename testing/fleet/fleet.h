#ifndef PIMENTOHALL_TESTING_FLEET_FLEET_H_
#define PIMENTOHALL_TESTING_FLEET_FLEET_H_

#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "fleet/child_process.h"
#include "fleet/configuration.h"
#include "fleet/fleet_error.h"

namespace pimentohall::testing {

struct fleet_options {
  std::string programs;  // Folder of the programs (the build folder).
  std::string folder;    // For settings and logs; must exist.
  std::string log_level = "info";
  // Maximum number of daemons to start; VMs beyond it are only published.
  std::size_t daemons = 1000;
  bool upstreams = true;  // Starts a stand-in for each upstream.
  std::vector<std::string> upstream_arguments;
};

struct fleet_daemon {
  std::string vm;
  std::string zone;
  int http_port = 0;
  int link_port = 0;
  int admin_port = 0;
  std::string settings_file;
  child_process process;
};

struct fleet_upstream {
  std::string name;
  std::string service;
  std::string vm;
  int port = 0;
  child_process process;
};

// A source stand-in, daemons and upstream stand-ins as processes on loopback,
// for the VMs and upstreams of a configuration. The configuration's ports are
// replaced by free ones.
//
//   auto documents = ReadConfiguration("examples/tsurumaki");
//   auto f = fleet::Create(options, std::move(*documents));
//   if (!f) return f.error();
//   (*f)->Start();
//   (*f)->WaitReady(std::chrono::seconds(20));
//
// The destructor ends all processes.
class fleet {
 public:
  static fleet_result<std::unique_ptr<fleet>> Create(fleet_options options,
                                                     configuration documents);

  // Starts the source, publishes the documents, then starts the upstreams and
  // the daemons.
  fleet_result<void> Start();
  fleet_result<void> StartDaemon(fleet_daemon* daemon);
  fleet_result<void> StartUpstream(fleet_upstream* upstream);
  // Waits until every daemon is ready. A daemon that isn't running is an error.
  fleet_result<void> WaitReady(std::chrono::milliseconds timeout);
  // Stops all daemons with SIGTERM; true if each ended in time with status 0.
  bool StopDaemons(std::chrono::milliseconds timeout);

  // Edit the documents, then publish them.
  configuration& Documents() { return documents_; }
  fleet_result<void> Publish() { return publisher_.Publish(&documents_); }
  fleet_result<void> PublishVms() { return publisher_.PublishVms(documents_); }

  std::deque<fleet_daemon>& Daemons() { return daemons_; }
  std::deque<fleet_upstream>& Upstreams() { return upstreams_; }
  fleet_daemon* FindDaemon(const std::string& vm);
  std::string ZoneOf(const fleet_upstream& upstream) const;
  int SourceAdminPort() const { return source_admin_port_; }
  std::vector<int> AdminPorts() const;

 private:
  fleet(fleet_options options, configuration documents, int first_port);
  void AssignPorts(int first_port);
  fleet_result<void> StartSource();
  fleet_result<void> WriteSettings(const fleet_daemon& daemon) const;
  nlohmann::ordered_json BootstrapPeers(const fleet_daemon& daemon) const;
  std::string Program(const std::string& name) const;
  std::string LogFile(const std::string& name) const;

  fleet_options options_;
  configuration documents_;
  int source_port_;
  int source_admin_port_;
  publisher publisher_;
  child_process source_;
  std::deque<fleet_upstream> upstreams_;
  std::deque<fleet_daemon> daemons_;
};

// Waits until an HTTP server answers at the port.
fleet_result<void> WaitListening(int port, std::chrono::milliseconds timeout);

}  // namespace pimentohall::testing

#endif  // PIMENTOHALL_TESTING_FLEET_FLEET_H_
