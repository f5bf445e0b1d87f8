// Runs scenario files: scenario_runner [--update-golden] [--measures]
// [--session] FILE...
//
// Exit codes: 0 every expectation holds, 1 one does not, 2 a file is faulty.
// With a golden file of the same name the recorded session must equal it.

#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <string>

#include "sim/deployment_files.h"
#include "sim/scenario.h"

namespace pimentohall::sim {
namespace {

namespace fs = std::filesystem;

constexpr int kFailed = 1;
constexpr int kFaulty = 2;

std::string ReadFile(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream bytes;
  bytes << file.rdbuf();
  return bytes.str();
}

// True if the session equals the golden file, or there is none.
bool MatchesGolden(const fs::path& golden, const std::string& session,
                   bool update) {
  if (update && !session.empty()) std::ofstream(golden) << session;
  if (!fs::exists(golden)) return true;
  const std::string expected = ReadFile(golden);
  if (expected == session) return true;
  std::cout << "session differs from " << golden.string() << ":\n" << session;
  return false;
}

struct run_options {
  bool update_golden = false;
  bool print_measures = false;
  bool print_session = false;
};

int RunFile(const fs::path& path, const scenario::deployments& deployments,
            const run_options& options) {
  const auto run = scenario::Run(ReadFile(path), deployments);
  if (!run) {
    std::cout << path.string() << ":" << run.error().line << ": "
              << run.error().problem << "\n";
    return kFaulty;
  }
  for (const expectation& e : run->Expectations()) {
    std::cout << (e.holds ? "ok   " : "FAIL ") << path.filename().string()
              << ":" << e.line << ": " << e.text << " (is " << e.value << ")\n";
  }
  if (options.print_session) std::cout << run->Session();
  if (options.print_measures) {
    for (const auto& [name, value] : run->Measures()) {
      std::cout << name << " " << value << "\n";
    }
  }
  const fs::path golden = path.parent_path().parent_path() / "golden" /
                          (path.stem().string() + ".txt");
  const bool same =
      MatchesGolden(golden, run->Session(), options.update_golden);
  return run->Holds() && same ? 0 : kFailed;
}

int Main(int argc, char** argv) {
  run_options options;
  const std::map<std::string, bool*> flags = {
      {"--update-golden", &options.update_golden},
      {"--measures", &options.print_measures},
      {"--session", &options.print_session},
  };
  int worst = 0;
  scenario::deployments deployments;
  for (int i = 1; i < argc; ++i) {
    const std::string argument = argv[i];
    const auto flag = flags.find(argument);
    if (flag != flags.end()) {
      *flag->second = true;
      continue;
    }
    const fs::path path = fs::absolute(argument);
    if (deployments.empty()) {
      deployments = ReadDeployments(
          path.parent_path().parent_path().parent_path() / "examples");
    }
    worst = std::max(worst, RunFile(path, deployments, options));
  }
  return worst;
}

}  // namespace
}  // namespace pimentohall::sim

int main(int argc, char** argv) { return pimentohall::sim::Main(argc, argv); }
