#include "sim/deployment_files.h"

#include <fstream>
#include <sstream>
#include <string>

namespace pimentohall::sim {
namespace {

namespace fs = std::filesystem;

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

}  // namespace

scenario::deployments ReadDeployments(const fs::path& examples) {
  scenario::deployments deployments;
  for (const auto& entry : fs::directory_iterator(examples)) {
    if (!entry.is_directory()) continue;
    deployments[entry.path().filename().string()] =
        ReadDeployment(entry.path());
  }
  return deployments;
}

}  // namespace pimentohall::sim
