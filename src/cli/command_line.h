#ifndef PIMENTOHALL_CLI_COMMAND_LINE_H_
#define PIMENTOHALL_CLI_COMMAND_LINE_H_

#include <tclap/CmdLine.h>

#include <string>

#include "cli/verbs.h"

namespace pimentohall::cli {

// A verb's command line. Errors are thrown to `main`, which prints them and
// chooses the exit code.
class command_line : public TCLAP::CmdLine {
 public:
  explicit command_line(const std::string& description)
      : TCLAP::CmdLine(description, ' ', "0.1.0"),
        json_("", "json", "print JSON instead of a table", *this) {
    setExceptionHandling(false);
  }
  bool Json() const { return json_.getValue(); }

 private:
  TCLAP::SwitchArg json_;
};

}  // namespace pimentohall::cli

#endif  // PIMENTOHALL_CLI_COMMAND_LINE_H_
