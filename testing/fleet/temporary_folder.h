#ifndef PIMENTOHALL_TESTING_FLEET_TEMPORARY_FOLDER_H_
#define PIMENTOHALL_TESTING_FLEET_TEMPORARY_FOLDER_H_

#include <string>

namespace pimentohall::testing {

// A new folder under TMPDIR (default /tmp). The destructor removes it unless
// `Keep` was called.
class temporary_folder {
 public:
  temporary_folder();
  ~temporary_folder();
  temporary_folder(const temporary_folder&) = delete;
  temporary_folder& operator=(const temporary_folder&) = delete;

  const std::string& Path() const { return path_; }
  void Keep() { keep_ = true; }

 private:
  std::string path_;
  bool keep_ = false;
};

}  // namespace pimentohall::testing

#endif  // PIMENTOHALL_TESTING_FLEET_TEMPORARY_FOLDER_H_
