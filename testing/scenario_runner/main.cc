// Runs scenario files: scenario_runner [--update-golden] [--measures] FILE...
//
// Exit codes: 0 every expectation holds, 1 one does not, 2 a file is faulty.
// With a golden file of the same name the recorded session must equal it.

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

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

deployment_files ReadDeployment(const fs::path& folder) {
  deployment_files files;
  files.vms = ReadFile(folder / "vms.json");
  files.parts["zones"] = ReadFile(folder / "zones.json");
  for (const char* kind : {"services", "organisations"}) {
    for (const auto& entry : fs::directory_iterator(folder / kind)) {
      const std::string name =
          std::string(kind) + "/" + entry.path().stem().string();
      files.parts[name] = ReadFile(entry.path());
    }
  }
  return files;
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

int RunFile(const fs::path& path, const scenario::deployments& deployments,
            bool update_golden, bool print_measures) {
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
  if (print_measures) {
    for (const auto& [name, value] : run->Measures()) {
      std::cout << name << " " << value << "\n";
    }
  }
  const fs::path golden = path.parent_path().parent_path() / "golden" /
                          (path.stem().string() + ".txt");
  const bool same = MatchesGolden(golden, run->Session(), update_golden);
  return run->Holds() && same ? 0 : kFailed;
}

int Main(int argc, char** argv) {
  bool update_golden = false;
  bool print_measures = false;
  int worst = 0;
  scenario::deployments deployments;
  for (int i = 1; i < argc; ++i) {
    const std::string argument = argv[i];
    if (argument == "--update-golden") {
      update_golden = true;
      continue;
    }
    if (argument == "--measures") {
      print_measures = true;
      continue;
    }
    const fs::path path = fs::absolute(argument);
    if (deployments.empty()) {
      const fs::path examples =
          path.parent_path().parent_path().parent_path() / "examples";
      for (const auto& entry : fs::directory_iterator(examples)) {
        if (!entry.is_directory()) continue;
        deployments[entry.path().filename().string()] =
            ReadDeployment(entry.path());
      }
    }
    worst = std::max(worst,
                     RunFile(path, deployments, update_golden, print_measures));
  }
  return worst;
}

}  // namespace
}  // namespace pimentohall::sim

int main(int argc, char** argv) { return pimentohall::sim::Main(argc, argv); }
