#include "fleet/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

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

// In the child, between fork and exec: only async-signal-safe calls.
[[noreturn]] void Become(char* const* arguments, int log, pid_t parent) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(kExecFailed);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  const int none = open("/dev/null", O_RDONLY);
  dup2(none, STDIN_FILENO);
  execv(arguments[0], arguments);
  _exit(kExecFailed);
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
  if (access(command.front().c_str(), X_OK) != 0) {
    return FleetError(command.front() + ": " + std::strerror(errno));
  }
  const int log = open(log_file.c_str(),
                       O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogMode);
  if (log < 0) return FleetError(log_file + ": " + std::strerror(errno));
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& word : command) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  const pid_t parent = getpid();
  const pid_t id = fork();
  if (id == 0) Become(arguments.data(), log, parent);
  close(log);
  if (id < 0) return FleetError(std::string("fork: ") + std::strerror(errno));
  child_process child;
  child.id_ = id;
  if (!Register(id)) {
    child.Kill();
    return FleetError("too many child processes");
  }
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
