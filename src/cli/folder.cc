#include "cli/folder.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace pimentohall::cli {
namespace {

namespace fs = std::filesystem;

}  // namespace

tl::expected<std::string, file_error> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream bytes;
  bytes << file.rdbuf();
  if (!file) {
    return tl::make_unexpected(file_error{path, "can't be read"});
  }
  return bytes.str();
}

tl::expected<folder, file_error> ReadFolder(const std::string& path) {
  folder result;
  std::error_code error;
  fs::recursive_directory_iterator entries(path, error);
  if (error) return tl::make_unexpected(file_error{path, error.message()});
  for (const fs::directory_entry& entry : entries) {
    if (entry.path().extension() != ".json") continue;
    auto bytes = ReadFile(entry.path().string());
    if (!bytes) return tl::make_unexpected(bytes.error());
    const std::string name = entry.path()
                                 .lexically_relative(path)
                                 .replace_extension()
                                 .generic_string();
    (name == "vms" ? result.vms : result.parts[name]) = std::move(*bytes);
  }
  if (result.parts.empty()) {
    return tl::make_unexpected(
        file_error{path,
                   "holds no part; expected zones.json, services/*.json "
                   "and organisations/*.json"});
  }
  return result;
}

tl::expected<void, file_error> WriteFile(const std::string& path,
                                         const std::string& bytes) {
  std::error_code error;
  fs::create_directories(fs::path(path).parent_path(), error);
  std::ofstream file(path, std::ios::binary);
  file << bytes;
  file.close();
  if (!file) return tl::make_unexpected(file_error{path, "can't be written"});
  return {};
}

tl::expected<config::config_set, config::faults> AssembleFolder(
    const folder& folder, std::uint64_t version) {
  config::faults faults;
  if (!folder.vms.empty()) {
    const auto vms = config::ParseVmList(folder.vms, "vms");
    if (!vms) faults = vms.error();
  }
  const auto manifest =
      config::ParseManifest(config::BuildManifest(version, folder.parts));
  if (!manifest) {
    faults.insert(faults.end(), manifest.error().begin(),
                  manifest.error().end());
    return tl::make_unexpected(std::move(faults));
  }
  auto set =
      config::AssembleSet(*manifest, config::PartsByDigest(folder.parts));
  if (!set) faults.insert(faults.end(), set.error().begin(), set.error().end());
  if (!faults.empty()) return tl::make_unexpected(std::move(faults));
  return set;
}

}  // namespace pimentohall::cli
