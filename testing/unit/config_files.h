#ifndef PIMENTOHALL_TESTING_UNIT_CONFIG_FILES_H_
#define PIMENTOHALL_TESTING_UNIT_CONFIG_FILES_H_

#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <string>

#include "pimentohall/config.h"

namespace pimentohall::config {

inline std::string ReadTestFile(const std::filesystem::path& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

// A configuration folder.
struct test_folder {
  // Part name -> bytes. Names are paths without ".json" and may be invalid.
  std::map<std::string, std::string> parts;
  std::string vms;  // Bytes of the VM list; empty if there is none.
};

inline test_folder ReadTestFolder(const std::filesystem::path& folder) {
  test_folder result;
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(folder)) {
    if (entry.path().extension() != ".json") continue;
    const std::string bytes = ReadTestFile(entry.path());
    const auto name =
        entry.path().lexically_relative(folder).replace_extension();
    if (name == "vms") {
      result.vms = bytes;
    } else {
      result.parts[name.generic_string()] = bytes;
    }
  }
  return result;
}

// Publishes and assembles parts as the operators' tool and a daemon do.
inline tl::expected<config_set, faults> AssembleParts(
    const std::map<std::string, std::string>& parts, std::uint64_t version = 1,
    const config_set* previous = nullptr) {
  const auto manifest = ParseManifest(BuildManifest(version, parts));
  if (!manifest) return tl::unexpected(manifest.error());
  return AssembleSet(*manifest, PartsByDigest(parts), previous);
}

inline std::string AllFaults(const faults& faults) {
  std::string text;
  for (const fault& fault : faults) text += fault.ToString() + "\n";
  return text;
}

}  // namespace pimentohall::config

#endif  // PIMENTOHALL_TESTING_UNIT_CONFIG_FILES_H_
