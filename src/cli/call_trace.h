#ifndef PIMENTOHALL_CLI_CALL_TRACE_H_
#define PIMENTOHALL_CLI_CALL_TRACE_H_

// Finds the log lines of several daemons that concern one call.

#include <iosfwd>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace pimentohall::cli {

// A log line and the file that it was read from (one file per VM).
struct trace_line {
  std::string source;
  std::string time;  // RFC 3339 with microseconds, by that VM's clock.
  std::string level;
  std::string message;
  std::vector<std::pair<std::string, std::string>> fields;  // In log order.
  // True if the line's field `request` names the call or a call made while it
  // ran. The other lines show how a daemon's state changed around that time.
  bool belongs_to_call = false;

  std::string Field(const std::string& name) const;  // Empty if absent.
};

struct call_trace {
  std::vector<trace_line> lines;  // Sorted by time.
  std::size_t unreadable = 0;     // Lines that aren't JSON objects.

  // Returns the line that reports the end of the call at its ingress, or null.
  const trace_line* End() const;
  // Summarises in one line how the call ended and whether it ran. Empty if
  // `End` is null.
  std::string Verdict() const;
};

// Collects lines by source, then merges them by time.
class trace_builder {
 public:
  // Lines that belong to no call are kept if, on the same VM, a line of the
  // call is at most `window_s` seconds before or after them. 0 keeps none.
  trace_builder(std::string request, double window_s);

  void Read(const std::string& source, std::istream& log);
  call_trace Build() const;

 private:
  bool MatchesRequest(const trace_line& line) const;

  std::string request_;
  double window_s_;
  std::map<std::string, std::vector<trace_line>> by_source_;
  std::size_t unreadable_ = 0;
};

}  // namespace pimentohall::cli

#endif  // PIMENTOHALL_CLI_CALL_TRACE_H_
