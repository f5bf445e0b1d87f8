#ifndef PIMENTOHALL_TESTING_FLEET_VERSION_WATCH_H_
#define PIMENTOHALL_TESTING_FLEET_VERSION_WATCH_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pimentohall::testing {

// Polls daemons for the version in force on its own thread and records when
// each daemon first reported each version.
//
//   version_watch watch(f->AdminPorts(), std::chrono::milliseconds(20));
//   const auto published = std::chrono::steady_clock::now();
//   ...
//   auto seen = watch.WaitForAll(2, std::chrono::seconds(10));
//   if (seen) Print(*seen - published);
class version_watch {
 public:
  using time = std::chrono::steady_clock::time_point;

  version_watch(const std::vector<int>& admin_ports,
                std::chrono::milliseconds interval);
  ~version_watch();
  version_watch(const version_watch&) = delete;
  version_watch& operator=(const version_watch&) = delete;

  // Waits until all daemons have reported `version` or a later one. Returns the
  // time at which the last of them first did; nothing if any daemon has not
  // done so after `timeout`.
  std::optional<time> WaitForAll(std::uint64_t version,
                                 std::chrono::milliseconds timeout);
  // As WaitForAll, but ignores the daemons at the indices `excluded` of the
  // list of ports.
  std::optional<time> WaitForAllExcept(std::uint64_t version,
                                       const std::vector<std::size_t>& excluded,
                                       std::chrono::milliseconds timeout);
  // The last version that each daemon reported; 0: none.
  std::vector<std::uint64_t> Versions() const;
  // The number of answers, over all daemons, with a lower version than the
  // highest that the same daemon had reported. Version 0, "none in force",
  // which a daemon that is starting reports, never counts.
  std::uint64_t Regressions() const;
  std::uint64_t Answers() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

// Value of a metric in the Prometheus text format, or nothing. `name` includes
// the labels: "x_total{direction=\"sent\"}".
std::optional<double> MetricValue(const std::string& text,
                                  const std::string& name);

}  // namespace pimentohall::testing

#endif  // PIMENTOHALL_TESTING_FLEET_VERSION_WATCH_H_
