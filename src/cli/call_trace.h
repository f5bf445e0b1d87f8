#ifndef PIMENTOHALL_CLI_CALL_TRACE_H_
#define PIMENTOHALL_CLI_CALL_TRACE_H_

// Finds what the log lines of several daemons say of one call.

#include <iosfwd>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace pimentohall::cli {

// A log line, of the file (one for each VM) that it was read from.
struct trace_line {
  std::string source;
  std::string time;  // RFC 3339 with microseconds, by that VM's clock.
  std::string level;
  std::string message;
  std::vector<std::pair<std::string, std::string>> fields;  // In log order.
  // Names the call, an attempt of it or a call made while it ran; the others
  // tell what a daemon came to believe around that time.
  bool is_of_call = false;

  std::string Field(const std::string& name) const;  // Empty: none.
};

struct call_trace {
  std::vector<trace_line> lines;  // By time.
  std::size_t unreadable = 0;     // Lines that aren't JSON objects.

  // The line that ended the call at its ingress, or null.
  const trace_line* End() const;
  // How it ended and whether it ran, in one line; empty without `End`.
  std::string Verdict() const;
};

// Collects lines by source, then joins them.
class trace_builder {
 public:
  // `around_s`: lines without a call are kept this many seconds before and
  // after the call's own, on the VMs that it touched; 0: none.
  trace_builder(std::string request, double around_s);

  void Read(const std::string& source, std::istream& log);
  call_trace Build() const;

 private:
  bool Names(const trace_line& line) const;

  std::string request_;
  double around_s_;
  std::map<std::string, std::vector<trace_line>> by_source_;
  std::size_t unreadable_ = 0;
};

}  // namespace pimentohall::cli

#endif  // PIMENTOHALL_CLI_CALL_TRACE_H_
