// pimentohall: the operators' command line. Each verb has its own --help.

#include <tclap/CmdLine.h>

#include <iomanip>
#include <iostream>

#include "cli/verbs.h"
#include "pimentohall/net.h"

namespace pimentohall::cli {
namespace {

struct verb {
  const char* name;
  int (*run)(arguments);
  const char* summary;
  int usage_exit = kUsage;  // Exit code for bad arguments.
};

constexpr verb kVerbs[] = {
    {"check", RunCheck, "check a configuration folder before it is published"},
    {"check-platform", RunCheckPlatform,
     "check a configuration of the users' platform before it is sent",
     kUnreadable},
    {"diff", RunDiff, "show what differs between two configuration folders"},
    {"build", RunBuild, "write the manifest and parts of a folder as values"},
    {"status", RunStatus, "version in force, age and lag of daemons, by zone"},
    {"dump", RunDump, "print the state of a daemon"},
    {"explain", RunExplain,
     "explain why a call is admitted, refused or routed"},
    {"trace", RunTrace, "merge the logs of several daemons on one call"},
    {"watch", RunWatch, "follow the status of daemons"},
};

constexpr int kNameWidth = 16;

void PrintHelp(std::ostream& out) {
  out << "usage: pimentohall VERB [arguments]\n\n";
  for (const verb& v : kVerbs) {
    out << "  " << std::left << std::setw(kNameWidth) << v.name << v.summary
        << "\n";
  }
  out << "\npimentohall VERB --help describes a verb.\n"
      << "Exit codes: 0 ok, 1 faults or a refused call, 2 bad arguments,\n"
      << "3 a daemon did not answer, 4 differences or lag, 5 file error.\n"
      << "check-platform has its own: 0 clean, 1 warnings, 2 errors, 3 "
         "unreadable.\n";
}

int Main(int argc, char** argv) {
  const std::string name = argc > 1 ? argv[1] : "";
  if (name == "--version") {
    std::cout << "pimentohall " << net::VersionText() << "\n";
    return kOk;
  }
  if (name == "--help" || name == "-h" || name == "help") {
    PrintHelp(std::cout);
    return kOk;
  }
  for (const verb& v : kVerbs) {
    if (name != v.name) continue;
    arguments args = {"pimentohall " + name};
    args.insert(args.end(), argv + 2, argv + argc);
    try {
      return v.run(std::move(args));
    } catch (const TCLAP::ArgException& e) {
      std::cerr << "pimentohall " << name << ": " << e.error();
      if (e.argId() != " ") std::cerr << " (" << e.argId() << ")";
      std::cerr << "; see pimentohall " << name << " --help\n";
      return v.usage_exit;
    } catch (const TCLAP::ExitException& e) {
      return e.getExitStatus() == 0 ? kOk : v.usage_exit;
    }
  }
  if (!name.empty()) {
    std::cerr << "pimentohall: unknown verb '" << name << "'\n";
  }
  PrintHelp(std::cerr);
  return kUsage;
}

}  // namespace
}  // namespace pimentohall::cli

int main(int argc, char** argv) { return pimentohall::cli::Main(argc, argv); }
