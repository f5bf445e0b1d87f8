#include "fleet/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <thread>
#include <utility>

namespace pimentohall::testing {
namespace {

constexpr std::size_t kMaxChildren = 1024;
constexpr int kExecFailed = 127;
constexpr int kLogMode = 0644;

// Running children, for the signal handler, which may read only atomics.
std::array<std::atomic<pid_t>, kMaxChildren> running_children;

bool Register(pid_t id) {
  for (std::atomic<pid_t>& slot : running_children) {
    pid_t expected = 0;
    if (slot.compare_exchange_strong(expected, id)) return true;
  }
  return false;
}

void Unregister(pid_t id) {
  for (std::atomic<pid_t>& slot : running_children) {
    pid_t expected = id;
    if (slot.compare_exchange_strong(expected, 0)) return;
  }
}

void KillChildrenAndExit(int signal) {
  for (const std::atomic<pid_t>& slot : running_children) {
    const pid_t id = slot.load();
    if (id > 0) kill(id, SIGKILL);
  }
  constexpr int kSignalExitBase = 128;
  _exit(kSignalExitBase + signal);
}

// In the child, between fork and exec: only async-signal-safe calls. The errno
// of a failed exec is written to `error_pipe`, which a successful exec closes.
[[noreturn]] void ExecInChild(char* const* arguments, int log, int error_pipe,
                              pid_t parent) {
  // The inherited handler would kill all of the parent's children.
  for (const int signal : {SIGINT, SIGTERM, SIGHUP, SIGPIPE}) {
    std::signal(signal, SIG_DFL);
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(kExecFailed);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  const int null_device = open("/dev/null", O_RDONLY);
  dup2(null_device, STDIN_FILENO);
  execv(arguments[0], arguments);
  const int error = errno;
  const ssize_t written = write(error_pipe, &error, sizeof(error));
  _exit(written > 0 ? kExecFailed : kExecFailed + 1);
}

// Waits until the child's exec has succeeded, which returns 0, or has failed,
// which returns its errno. A signal sent earlier would reach the forked copy of
// this process.
int WaitForExec(int error_pipe) {
  int error = 0;
  const ssize_t size = read(error_pipe, &error, sizeof(error));
  return size > 0 ? error : 0;
}

}  // namespace

void EndChildrenOnSignals() {
  for (const int signal : {SIGINT, SIGTERM, SIGHUP}) {
    std::signal(signal, KillChildrenAndExit);
  }
  std::signal(SIGPIPE, SIG_IGN);
}

fleet_result<child_process> child_process::Start(
    const std::vector<std::string>& command, const std::string& log_file) {
  const int log = open(log_file.c_str(),
                       O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogMode);
  if (log < 0) return FleetError(log_file + ": " + std::strerror(errno));
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  std::array<int, 2> error_pipe = {-1, -1};
  if (pipe2(error_pipe.data(), O_CLOEXEC) != 0) {
    close(log);
    return FleetError(std::string("pipe: ") + std::strerror(errno));
  }
  const pid_t parent = getpid();
  const pid_t id = fork();
  if (id == 0) ExecInChild(arguments.data(), log, error_pipe[1], parent);
  close(log);
  close(error_pipe[1]);
  child_process child;
  child.id_ = std::max(id, 0);
  const int error = id < 0 ? errno : WaitForExec(error_pipe[0]);
  close(error_pipe[0]);
  if (error != 0) {
    return FleetError(command.front() + ": " + std::strerror(error));
  }
  if (!Register(id)) return FleetError("too many child processes");
  return child;
}

child_process::~child_process() { Kill(); }

child_process::child_process(child_process&& other) noexcept
    : id_(std::exchange(other.id_, 0)),
      status_(std::exchange(other.status_, std::nullopt)) {}

child_process& child_process::operator=(child_process&& other) noexcept {
  if (this == &other) return *this;
  Kill();
  id_ = std::exchange(other.id_, 0);
  status_ = std::exchange(other.status_, std::nullopt);
  return *this;
}

bool child_process::IsRunning() {
  if (id_ == 0 || status_) return false;
  int status = 0;
  if (waitpid(id_, &status, WNOHANG) != id_) return true;
  status_ = status;
  Unregister(id_);
  return false;
}

void child_process::Signal(int signal) {
  if (IsRunning()) kill(id_, signal);
}

std::optional<int> child_process::WaitExit(std::chrono::milliseconds timeout) {
  constexpr std::chrono::milliseconds kPollInterval(5);
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (IsRunning() && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kPollInterval);
  }
  return status_;
}

bool child_process::Stop(std::chrono::milliseconds timeout) {
  Signal(SIGTERM);
  const bool clean = WaitExit(timeout) == std::optional<int>(0);
  Kill();
  return clean;
}

void child_process::Kill() {
  if (!IsRunning()) return;
  kill(id_, SIGKILL);
  int status = 0;
  if (waitpid(id_, &status, 0) == id_) status_ = status;
  Unregister(id_);
}

}  // namespace pimentohall::testing
