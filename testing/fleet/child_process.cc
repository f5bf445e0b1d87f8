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

// Running children, for the signal handler, which may only read atomics.
std::array<std::atomic<pid_t>, kMaxChildren> running;

bool Register(pid_t id) {
  for (std::atomic<pid_t>& slot : running) {
    pid_t none = 0;
    if (slot.compare_exchange_strong(none, id)) return true;
  }
  return false;
}

void Unregister(pid_t id) {
  for (std::atomic<pid_t>& slot : running) {
    pid_t expected = id;
    if (slot.compare_exchange_strong(expected, 0)) return;
  }
}

void EndAll(int signal) {
  for (const std::atomic<pid_t>& slot : running) {
    const pid_t id = slot.load();
    if (id > 0) kill(id, SIGKILL);
  }
  constexpr int kSignalExitBase = 128;
  _exit(kSignalExitBase + signal);
}

// In the child, between fork and exec: only async-signal-safe calls. The errno
// of a failure goes to `failure`, which exec closes.
[[noreturn]] void Become(char* const* arguments, int log, int failure,
                         pid_t parent) {
  // The parent's handler would end all children from here.
  for (const int signal : {SIGINT, SIGTERM, SIGHUP, SIGPIPE}) {
    std::signal(signal, SIG_DFL);
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(kExecFailed);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  const int none = open("/dev/null", O_RDONLY);
  dup2(none, STDIN_FILENO);
  execv(arguments[0], arguments);
  const int error = errno;
  const ssize_t written = write(failure, &error, sizeof(error));
  _exit(written > 0 ? kExecFailed : kExecFailed + 1);
}

// Waits until the child runs the program. A signal sent before that would hit
// the copy of this process.
int WaitExec(int failure) {
  int error = 0;
  const ssize_t size = read(failure, &error, sizeof(error));
  return size > 0 ? error : 0;
}

}  // namespace

void EndChildrenOnSignals() {
  for (const int signal : {SIGINT, SIGTERM, SIGHUP}) {
    std::signal(signal, EndAll);
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
  for (const std::string& word : command) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  std::array<int, 2> failure = {-1, -1};
  if (pipe2(failure.data(), O_CLOEXEC) != 0) {
    close(log);
    return FleetError(std::string("pipe: ") + std::strerror(errno));
  }
  const pid_t parent = getpid();
  const pid_t id = fork();
  if (id == 0) Become(arguments.data(), log, failure[1], parent);
  close(log);
  close(failure[1]);
  child_process child;
  child.id_ = std::max(id, 0);
  const int error = id < 0 ? errno : WaitExec(failure[0]);
  close(failure[0]);
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

std::optional<int> child_process::WaitExit(std::chrono::milliseconds bound) {
  constexpr std::chrono::milliseconds kPause(5);
  const auto end = std::chrono::steady_clock::now() + bound;
  while (IsRunning() && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kPause);
  }
  return status_;
}

bool child_process::Stop(std::chrono::milliseconds bound) {
  Signal(SIGTERM);
  const bool clean = WaitExit(bound) == std::optional<int>(0);
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
