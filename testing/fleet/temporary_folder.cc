#include "fleet/temporary_folder.h"

#include <cstdlib>
#include <filesystem>

namespace pimentohall::testing {

temporary_folder::temporary_folder() {
  const char* root = std::getenv("TMPDIR");
  path_ = std::string(root == nullptr ? "/tmp" : root) + "/pimentohall.XXXXXX";
  if (mkdtemp(path_.data()) == nullptr) path_.clear();
}

temporary_folder::~temporary_folder() {
  if (path_.empty() || keep_) return;
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

}  // namespace pimentohall::testing
