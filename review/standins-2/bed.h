#ifndef PIMENTOHALL_REVIEW_STANDINS_2_BED_H_
#define PIMENTOHALL_REVIEW_STANDINS_2_BED_H_

// Stand-ins for the second review: the platform's store, targets and requesters
// on one event loop, and the daemons as child processes. It needs nothing but
// the C++ library and POSIX.

#include <sys/types.h>

#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bed {

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// Seconds on the steady clock since the loop was made.
using seconds = double;

class loop {
 public:
  loop();
  ~loop();
  loop(const loop&) = delete;
  loop& operator=(const loop&) = delete;

  seconds Now() const;
  void At(seconds when, std::function<void()> task);
  void After(seconds delay, std::function<void()> task) {
    At(Now() + delay, std::move(task));
  }
  // Calls `task` after each `period` until the loop ends.
  void Every(seconds period, const std::function<void()>& task);
  void Watch(int fd, bool read, bool write,
             std::function<void(std::uint32_t)> handler);
  void Change(int fd, bool read, bool write);
  void Forget(int fd);
  void RunUntil(seconds when);

 private:
  int epoll_;
  seconds start_;
  std::uint64_t next_timer_ = 0;
  std::map<std::pair<seconds, std::uint64_t>, std::function<void()>> timers_;
  std::map<int, std::shared_ptr<std::function<void(std::uint32_t)>>> watches_;
};

struct message {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  // The value of a header, or "".
  std::string Header(const std::string& name) const;
  std::string Method() const;
  std::string Target() const;
  int Status() const;
};

// One TCP connection that carries HTTP/1.1 messages.
class http_connection : public std::enable_shared_from_this<http_connection> {
 public:
  // `is_server`: it receives requests.
  http_connection(loop& owner, int fd, bool is_server);
  ~http_connection();

  void Start();
  void Send(const std::string& bytes);
  void Close();
  void Reset();
  bool IsOpen() const { return fd_ >= 0; }
  // Closes the connection once all bytes are sent.
  void CloseWhenSent();

  std::function<void(message)> on_message;
  // `whole`: it ended between two messages.
  std::function<void(bool whole)> on_closed;

 private:
  void OnReady(std::uint32_t events);
  void Read();
  void Write();
  bool Parse();
  void Fail(bool whole);

  loop& loop_;
  int fd_;
  bool is_server_;
  bool close_when_sent_ = false;
  bool peer_ended_ = false;
  std::string in_;
  std::string out_;
};

class http_server {
 public:
  explicit http_server(loop& owner) : loop_(owner) {}
  ~http_server() { Stop(); }
  bool Listen(const std::string& address, int port);
  // Closes the listener and resets all connections, as the kernel does for a
  // process that was killed with unread bytes.
  void Stop();
  bool IsListening() const { return fd_ >= 0; }
  std::function<void(const std::shared_ptr<http_connection>&, message)>
      on_request;
  std::function<void(const http_connection*)> on_closed;

 private:
  void Accept();
  loop& loop_;
  int fd_ = -1;
  std::set<std::shared_ptr<http_connection>> connections_;
};

std::string Answer(
    int status, const std::vector<std::pair<std::string, std::string>>& extra,
    const std::string& body);

class recorder {
 public:
  recorder(const loop& clock, const std::string& file);
  ~recorder();
  void Write(const char* format, ...) __attribute__((format(printf, 2, 3)));

 private:
  const loop& clock_;
  std::FILE* file_;
};

// The platform's store: ranges and watches.
class store {
 public:
  store(loop& owner, recorder& record)
      : loop_(owner), record_(record), server_(owner) {}
  bool Listen(const std::string& address, int port);
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // While it is silent, it takes calls and never answers them, and nothing can
  // be written.
  void SetSilent(bool silent);
  bool IsSilent() const { return silent_; }
  // The store comes back from this copy, in the next era.
  struct copy;
  std::shared_ptr<copy> Copy() const;
  void Restore(const copy& from);
  void TellEra(std::uint64_t era) { era_ = era; }
  std::uint64_t Revision() const { return revision_; }

 private:
  struct item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct change {
    std::string key;
    std::uint64_t revision = 0;
    bool removed = false;
    item what;
  };
  struct watch {
    std::shared_ptr<http_connection> conn;
    std::string prefix;
    std::uint64_t after = 0;
    std::uint64_t id = 0;
  };
  void Serve(const std::shared_ptr<http_connection>& conn, const message& call);
  bool FinishWatch(const watch& which, bool time_over);
  void Notify();
  void Reply(const std::shared_ptr<http_connection>& conn, int status,
             const std::string& body);

  loop& loop_;
  recorder& record_;
  http_server server_;
  bool silent_ = false;
  std::uint64_t revision_ = 100;
  std::uint64_t oldest_ = 100;
  std::optional<std::uint64_t> era_;
  std::map<std::string, item> items_;
  std::vector<change> history_;
  std::vector<watch> watches_;
  std::uint64_t next_watch_ = 0;

 public:
  struct copy {
    std::uint64_t revision = 0;
    std::map<std::string, item> items;
    std::vector<change> history;
  };
};

struct request {
  std::string method = "GET";
  std::string host;
  std::string path;
  std::string key;
  int deadline_ms = 2500;
  std::string body;
};

// What a requester sent and saw.
struct attempt {
  std::string id;
  int vm = 0;
  request what;
  seconds sent = 0;
  seconds ended = -1;
  int status = 0;  // 0: no whole answer.
  bool sealed = false;
  std::string body;
};

// What reached a target.
struct arrival {
  std::string id;
  int vm = 0;
  seconds at = 0;
  message what;
  bool ran = false;
  seconds ended = -1;  // Below 0: not ended, or dropped.
};

class deployment;

// A target beside the daemon of its VM.
class target {
 public:
  target(deployment& owner, int vm, std::string service);

  bool Start(seconds cold_for);
  // Ends the process: connections are reset. It comes back after `down` s with
  // a new id, cold if `cold_for` is above 0.
  void Crash(seconds down, seconds cold_for);
  void BecomeCold(seconds cold_for);
  void WriteEntry();
  seconds WarmupLeft() const;
  bool IsUp() const { return server_.IsListening(); }
  const std::string& Id() const { return id_; }
  const std::string& Service() const { return service_; }
  int Running() const { return running_; }

  // Time of work of a request in seconds; asked when it begins to run.
  std::function<seconds(const message&)> work;
  // Returns true if it has dealt with the request itself.
  std::function<bool(target&, const std::shared_ptr<http_connection>&,
                     const message&, arrival&)>
      intercept;

 private:
  struct waiting {
    std::shared_ptr<http_connection> conn;
    message what;
    std::shared_ptr<arrival> seen;
  };
  void OnRequest(const std::shared_ptr<http_connection>& conn, message what);
  void StartOne(const waiting& next);
  void StartWaiting();
  void Finish(const waiting& done, std::uint64_t boot);

  deployment& deployment_;
  const int vm_;
  const std::string service_;
  http_server server_;
  std::string id_;
  std::uint64_t boot_ = 0;
  std::uint64_t sequence_ = 0;
  std::int64_t born_ms_ = 0;
  seconds cold_until_ = 0;
  int running_ = 0;
  std::deque<waiting> queue_;
  std::string registered_;  // Id of the entry in the store.
};

struct vm {
  std::string name;
  std::string zone;
  std::string address;
  std::unique_ptr<target> app;
  pid_t daemon = -1;
  seconds disturbed_at = -100;  // Last signal to, or start of, its daemon.
};

struct options {
  std::string record;
  std::string folder;
  std::vector<std::pair<std::string, std::string>> vms;  // Zone and service.
  int slots = 9;
  int queue = 36;
  double heartbeat_s = 1.5;
};

class deployment {
 public:
  explicit deployment(options chosen);
  ~deployment();

  // Publishes the configuration, starts targets and daemons, and waits until
  // all daemons are ready. False: it couldn't.
  bool Start(const std::string& configuration);
  std::shared_ptr<attempt> Send(int vm, const request& what,
                                const std::function<void()>& done = {});
  // SIGTERM, then SIGKILL after the grace time; started again 0.3 s after its
  // end.
  void RestartDaemon(int vm);
  void Signal(int vm, int signal);
  bool StartDaemon(int vm);
  void WriteSettings(int vm, const std::string& service);
  // No signal to its daemon for contactMs.
  bool IsInTouch(int vm) const { return Now() - At(vm).disturbed_at >= 3.0; }

  seconds Now() const { return loop_.Now(); }
  bed::loop& Loop() { return loop_; }
  recorder& Record() { return record_; }
  bed::store& Store() { return store_; }
  vm& At(int index) { return *vms_[static_cast<std::size_t>(index)]; }
  const vm& At(int index) const {
    return *vms_[static_cast<std::size_t>(index)];
  }
  int Count() const { return static_cast<int>(vms_.size()); }
  const options& Options() const { return options_; }
  std::vector<std::shared_ptr<arrival>>& Arrivals() { return arrivals_; }
  const std::vector<std::shared_ptr<attempt>>& Attempts() const {
    return attempts_;
  }
  int AppPort() const { return port_ + 3; }
  // Writes each request with its answer, and each arrival at a target.
  void WriteTraffic();
  // Ended children are started again, as the platform does.
  void Reap();

 private:
  bool FindPorts();
  bool IsReady(int vm);

  options options_;
  bed::loop loop_;
  recorder record_;
  bed::store store_;
  std::string net_;
  int port_ = 0;
  std::vector<std::unique_ptr<vm>> vms_;
  std::vector<std::shared_ptr<arrival>> arrivals_;
  std::vector<std::shared_ptr<attempt>> attempts_;
  std::uint64_t next_id_ = 0;
  std::set<int> ready_;
  bool ending_ = false;
};

// Whether the case runs with its disruption (TROUBLE isn't 0).
bool HasTrouble();

}  // namespace bed

#endif  // PIMENTOHALL_REVIEW_STANDINS_2_BED_H_
