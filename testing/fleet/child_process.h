#ifndef PIMENTOHALL_TESTING_FLEET_CHILD_PROCESS_H_
#define PIMENTOHALL_TESTING_FLEET_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "fleet/fleet_error.h"

namespace pimentohall::testing {

// Makes SIGINT, SIGTERM and SIGHUP kill all running children before they end
// this process, and makes this process ignore SIGPIPE. Call it once, before the
// first child is started.
void EndChildrenOnSignals();

// A child process. The kernel kills it when the thread that started it ends, so
// start children from a thread that lives at least as long as they do. Signals
// are sent to the child's process id only.
//
//   auto child = child_process::Start({"build/load", "--help"}, "load.log");
//   if (!child) return child.error();
//   child->Stop(std::chrono::seconds(5));
class child_process {
 public:
  // `command` is the path of the program and its arguments. Standard output
  // and standard error are appended to `log_file`.
  static fleet_result<child_process> Start(
      const std::vector<std::string>& command, const std::string& log_file);

  child_process() = default;  // No process.
  // Ends the process with SIGKILL if it still runs.
  ~child_process();
  child_process(child_process&& other) noexcept;
  child_process& operator=(child_process&& other) noexcept;

  pid_t Id() const { return id_; }
  bool IsRunning();
  void Signal(int signal);
  // The wait status (see waitpid), or nothing if it still runs after `timeout`.
  std::optional<int> WaitExit(std::chrono::milliseconds timeout);
  // Sends SIGTERM, and SIGKILL if it still runs after `timeout`. True if it
  // ended in time and with status 0.
  bool Stop(std::chrono::milliseconds timeout);
  // Sends SIGKILL; returns when the process is gone.
  void Kill();

 private:
  pid_t id_ = 0;
  std::optional<int> status_;
};

}  // namespace pimentohall::testing

#endif  // PIMENTOHALL_TESTING_FLEET_CHILD_PROCESS_H_
