#ifndef PIMENTOHALL_CLI_FOLDER_H_
#define PIMENTOHALL_CLI_FOLDER_H_

#include <map>
#include <string>
#include <tl/expected.hpp>

#include "pimentohall/config.h"

namespace pimentohall::cli {

// A file that can't be read or written.
struct file_error {
  std::string path;
  std::string problem;
  std::string ToString() const { return path + ": " + problem; }
};

// A configuration folder: `zones.json`, `services/NAME.json`,
// `organisations/NAME.json` and, optionally, `vms.json`. The path of a file
// without ".json" is the name of its part.
struct folder {
  std::map<std::string, std::string> parts;
  std::string vms;  // Empty if there is no VM list.
};

tl::expected<std::string, file_error> ReadFile(const std::string& path);
tl::expected<folder, file_error> ReadFolder(const std::string& path);
tl::expected<void, file_error> WriteFile(const std::string& path,
                                         const std::string& bytes);

// Parses and validates a folder as a set with this version, and its VM list if
// it has one.
tl::expected<config::config_set, config::faults> AssembleFolder(
    const folder& folder, std::uint64_t version);

}  // namespace pimentohall::cli

#endif  // PIMENTOHALL_CLI_FOLDER_H_
