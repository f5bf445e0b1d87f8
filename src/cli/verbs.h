#ifndef PIMENTOHALL_CLI_VERBS_H_
#define PIMENTOHALL_CLI_VERBS_H_

#include <string>
#include <vector>

namespace pimentohall::cli {

// Exit codes by kind of failure. Scripts may rely on them.
enum exit_code {
  kOk = 0,
  kFaulty = 1,  // The configuration has faults, a call is refused, or no log
                // line reports how a call ended.
  kUsage = 2,   // Bad arguments.
  kUnreachable = 3,  // A daemon did not answer, or its answer was unusable.
  kDiffers = 4,      // `diff` found differences; `status` found lag.
  kFileError = 5,    // A file can't be read or written.
};

// Exit codes of `check-platform`, by the worst finding.
enum check_platform_exit {
  kClean = 0,
  kWarnings = 1,
  kErrors = 2,
  kUnreadable =
      3,  // A file or the arguments can't be read; nothing is checked.
};

// Arguments of a verb; the first is the program's name with the verb.
using arguments = std::vector<std::string>;

int RunCheck(arguments args);
int RunCheckPlatform(arguments args);
int RunDiff(arguments args);
int RunBuild(arguments args);
int RunStatus(arguments args);
int RunDump(arguments args);
int RunExplain(arguments args);
int RunTrace(arguments args);
int RunWatch(arguments args);

}  // namespace pimentohall::cli

#endif  // PIMENTOHALL_CLI_VERBS_H_
