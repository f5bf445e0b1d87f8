#ifndef PIMENTOHALL_REVIEW_HARNESS_DEPLOYMENT_H_
#define PIMENTOHALL_REVIEW_HARNESS_DEPLOYMENT_H_

// A small deployment on loopback: daemons as processes of their own, and the
// platform's store, the upstreams and the callers on one event loop here.
//
//   fleet small(options);
//   if (!small.Start()) return kCouldNotRun;
//   small.RunFor(seconds(5));
//   auto call = small.Send(0, {"GET", "/reports/1", ...});

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pimentohall/stream.h"

namespace pimentohall::review {

using core::instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// Writes what happened to the record of a case, with the time since its start.
class recorder {
 public:
  recorder(const net::event_loop& loop, const std::string& file);
  ~recorder();
  recorder(const recorder&) = delete;
  recorder& operator=(const recorder&) = delete;

  void Write(const std::string& line);
  double SecondsAt(instant time) const;

 private:
  const net::event_loop& loop_;
  const instant start_;
  std::FILE* file_;
};

// The platform's store: ranges in pages, and watches. Every VM has an address
// of its own for it, so that a case can tell who reads.
class platform_store {
 public:
  platform_store(net::event_loop& loop, net::timer_service& timers,
                 recorder& record)
      : loop_(loop), timers_(timers), record_(record) {}

  bool Listen(int vm, const net::endpoint& address);
  // Both return when the change was acknowledged.
  instant Put(const std::string& key, const std::string& value);
  instant Remove(const std::string& key);

  // The VMs whose daemons wait for changes of the upstreams' entries.
  std::set<int> UpstreamWatchers() const;

  // How old the answer to a read with `allowStale` is; unset: current.
  std::function<milliseconds(int vm, const std::string& prefix,
                             const std::string& after)>
      staleness;

 private:
  struct item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct change {
    instant at{};
    std::string key;
    std::uint64_t revision = 0;
    bool removed = false;
    item what;
  };
  struct watch {
    std::shared_ptr<stream::server_exchange> call;
    std::string prefix;
    std::uint64_t after = 0;
    int server = 0;
    sigc::connection timer;
  };
  using call_ptr = std::shared_ptr<stream::server_exchange>;

  void Serve(int vm, const call_ptr& call, const std::string& target);
  void ServeRange(int vm, const call_ptr& call,
                  const std::map<std::string, std::string>& query);
  void ServeWatch(int vm, const call_ptr& call,
                  const std::map<std::string, std::string>& query);
  // Answers a watch if it has events, or if its time is over.
  bool FinishWatch(const std::shared_ptr<watch>& which, bool time_over);
  void Notify();
  void Reply(int vm, const call_ptr& call, int status,
             const nlohmann::json& body);
  // The newest revision whose changes are no longer in the history.
  std::uint64_t DroppedRevision() const;
  // The items as they were `age` ago, and the revision then.
  std::pair<std::map<std::string, item>, std::uint64_t> ItemsBefore(
      milliseconds age) const;

  net::event_loop& loop_;
  net::timer_service& timers_;
  recorder& record_;
  std::map<int, std::unique_ptr<stream::server>> servers_;
  std::uint64_t revision_ = 100;
  std::map<std::string, item> items_;
  std::vector<change> history_;
  std::list<std::shared_ptr<watch>> watches_;
};

// A request that an upstream began to run.
struct run {
  std::string id;
  int vm = 0;
  std::string service;
  std::string path;
  std::string caller_service;
  std::string tenant;
  instant began{};
  instant ended{};  // Zero: not ended, or dropped by the daemon.
};

struct request {
  std::string method;
  std::string host;
  std::string path;
  std::string key;  // Empty: none.
  int budget_ms = 0;
  std::size_t body_bytes = 0;
  // The body is sent in this many pieces, with this time between them.
  int pieces = 1;
  milliseconds piece_gap{0};
};

// A caller's request and its answer.
struct call {
  std::string id;
  int vm = 0;
  request what;
  instant sent{};
  instant ended{};  // Zero: neither answered nor closed.
  int status = 0;   // 0: the connection ended without a whole answer.
  bool sealed = false;
};

struct fleet_options {
  std::string folder;  // For settings and logs.
  std::string record;
  std::vector<std::string> services;  // Of the upstream on each VM.
  std::vector<std::string> zones;     // Of each VM.
  int slots = 9;
};

class fleet {
 public:
  explicit fleet(fleet_options options);
  ~fleet();

  // Publishes `configuration` and starts everything. False if something
  // couldn't be started.
  bool Start(const nlohmann::json& configuration);
  void RunFor(milliseconds time);
  // Runs until `done` is true; false if it still isn't after `most`.
  bool RunUntil(const std::function<bool()>& done, milliseconds most);
  instant Now() const { return loop_.Now(); }
  net::event_loop& Loop() { return loop_; }
  net::timer_service& Timers() { return timers_; }
  recorder& Record() { return record_; }
  platform_store& Store() { return store_; }

  std::shared_ptr<call> Send(int vm, const request& what);
  const std::vector<std::shared_ptr<call>>& Calls() const { return calls_; }
  const std::vector<std::shared_ptr<run>>& Runs() const { return runs_; }
  // The first run of this request; null if there is none.
  const run* FindRun(const std::string& id) const;

  void Signal(int vm, int signal);
  // Starts the daemon again once its process is gone.
  bool StartDaemon(int vm);
  // Removes the entry of the VM's upstream, which goes on serving.
  instant RemoveEntry(int vm);
  // True once the daemon's process has ended.
  bool HasEnded(int vm);
  // Changes a field of the VM's settings file.
  void WriteSettings(int vm, const std::string& service);
  // Where the daemon's callers connect.
  net::endpoint CallersOf(int vm) const {
    return {vms_[vm]->address, Port(kCallers)};
  }

  // How long an upstream works on a request.
  std::function<milliseconds(const std::string& path)> work;
  // The least size of an upstream's answer; unset: a few bytes.
  std::function<std::size_t(const std::string& path)> answer_bytes;
  // Whether an upstream rejects this upload before the body is in, and reads on
  // on the same connection.
  std::function<bool(int vm, const std::string& id)> rejects_early;

 private:
  enum port { kCallers, kPeers, kReady, kAdmin, kUpstream, kStore, kNews };
  static constexpr int kPorts = 7;
  struct vm {
    int index = 0;
    std::string address;
    std::string upstream_id;
    pid_t process = 0;
    std::unique_ptr<stream::server> upstream;
  };

  int Port(port which) const { return first_port_ + which; }
  bool FindPorts();
  bool OpenUpstream(vm* at);
  void OnUpstreamCall(vm* at,
                      const std::shared_ptr<stream::server_exchange>& inbound,
                      const stream::message_head& head);
  void BeginRun(vm* at, const std::shared_ptr<stream::server_exchange>& inbound,
                const stream::message_head& head);
  void SendPiece(const std::shared_ptr<stream::exchange>& exchange,
                 const std::shared_ptr<call>& sent, int piece);
  static void Answer(stream::server* server,
                     const std::shared_ptr<stream::server_exchange>& inbound,
                     int status, net::header_list headers,
                     const std::string& body);

  const fleet_options options_;
  net::event_loop loop_;
  net::timer_service timers_;
  recorder record_;
  platform_store store_;
  stream::client_pool callers_;
  int first_port_ = 0;
  std::vector<std::unique_ptr<vm>> vms_;
  std::vector<std::shared_ptr<call>> calls_;
  std::vector<std::shared_ptr<run>> runs_;
  int last_call_ = 0;
};

// The main function of a case: `argv` holds the folder, the record and 0 if the
// case shall run without its disruption.
int RunCase(int argc, char** argv, fleet_options options,
            int (*run_case)(const fleet_options& options, bool trouble));

// Parts of a configuration.
nlohmann::json Route(const std::string& name, const std::string& prefix,
                     const std::string& service, const std::string& kind,
                     int timeout_ms, int aim_ms);
nlohmann::json Service(const std::string& name);
nlohmann::json Configuration(int version,
                             const std::vector<nlohmann::json>& routes,
                             const std::vector<nlohmann::json>& services);
inline constexpr char kHost[] = "a.example";

}  // namespace pimentohall::review

#endif  // PIMENTOHALL_REVIEW_HARNESS_DEPLOYMENT_H_
