#ifndef PIMENTOHALL_TESTING_LOAD_MODEL_MODEL_H_
#define PIMENTOHALL_TESTING_LOAD_MODEL_MODEL_H_

// A fleet under load without network, in virtual time: callers with aims,
// budgets and retries; daemons that pick upstreams by news of a certain age; a
// queue before each upstream; upstreams with slots, speeds and calls of their
// own. The decisions are those of library mesh; the rest is arithmetic.
//
//   load_result result = RunLoad(BurstPattern(), 1);
//   result.worth  // Earned share of the worth that was owed.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "pimentohall/mesh.h"

namespace pimentohall::testing {

// Calls of one kind.
struct load_class {
  std::string name;
  std::string service;
  double per_s = 0;      // Over the fleet, at the start; 0: nested calls only.
  double work_ms = 100;  // Mean, at speed 1.
  double spread = 0.5;   // Sigma of the logarithm.
  double aim_ms = 400;
  double budget_ms = 2500;
  double timeout_ms = 1200;
  double worth = 1;
  double late_worth = 0.3;
  int rank = 0;
  int retries = 2;
  std::string nested;       // Class of the calls that it makes.
  int nested_times = 0;     // One after the other.
  double nested_share = 0;  // Of its calls that make them.
  double bytes = 0;         // Of each request, on the way to the upstream.
  std::string route = {};   // Empty: its name.
  std::string path = "/";
};

struct load_upstream {
  std::string service;
  double slowness = 1;  // Work takes this many times as long.
  int slots = 9;
  double from_s = 0;     // Up from then on,
  double until_s = 1e9;  // until then.
  double cold_until_s = 0;
  double cold_per_s = 0;
  double fails = 0;  // Share of its calls that it fails.
  // Of the link to its VM, which carries one request after the other; 0: not
  // limited.
  double link_bytes_per_ms = 0;
  int zone = -1;  // -1: by its position.
  // Its machine is busy now and then: work takes `stall_factor` times as long
  // for `stall_ms`, with this mean time between the stalls. 0: never.
  double stall_gap_ms = 0;
  double stall_ms = 300;
  double stall_factor = 2.5;
  // Calls that it queues itself. Above that it sheds calls, and it runs
  // cancelled ones to their end. 0: it is never sent more than its slots, and
  // the work of cancelled calls ends.
  int own_queue = 0;
};

// What upstreams report about their load.
enum class load_reports {
  kNone,
  kTrue,
  kNonsense,       // Negative and huge figures.
  kAlwaysWaiting,  // Always 1,000 calls that wait.
  kAlwaysSlow,     // Two upstreams always report a pace of 250.
};

struct load_pattern {
  std::string name;
  std::string answers;  // What the pattern is to show.
  std::vector<load_class> classes;
  std::vector<load_upstream> upstreams;
  // Factor of a class's rate at a time.
  std::function<double(const load_class&, double at_s)> rate =
      [](const load_class&, double) { return 1.0; };
  int daemons = 12;
  // Share of the calls that arrive in zone 0; the rest is spread evenly. 0:
  // all are spread evenly.
  double first_zone_share = 0;
  double near_news_s = 0.3;  // Period of news within a zone,
  double far_news_s = 0.6;   // and between zones.
  double leave_share = 0;    // Callers that leave at half their aim.
  double ignore_share = 0;   // Callers that come back at once, and more often.
  // Retry-After of a call for which no upstream takes calls; daemons: 250 ms.
  double no_upstream_ms = 0;
  // All daemons and upstreams are down in this time and come back without
  // state, the upstreams cold for `cold_after_loss_s` at
  // `cold_after_loss_per_s` calls a second each. 0: never.
  double lost_from_s = 0;
  double lost_until_s = 0;
  double cold_after_loss_s = 0;
  double cold_after_loss_per_s = 0;
  double length_s = 30;
  bool uses_cost_routing = false;
  load_reports reports = load_reports::kNone;
  double reports_until_s = 1e9;  // No reports from then on.
  // Daemons learn which calls runs make, refuse calls whose callees are full,
  // reserve slots for nested calls, and refuse those only as a last resort.
  bool nested_control = false;
  // Every other daemon is of the previous version, without nested control.
  bool half_updated = false;
};

struct class_result {
  int asked = 0;
  int in_aim = 0;
  int late = 0;
  int refused = 0;  // Ended with a refusal.
  int failed = 0;   // Ended otherwise without an answer.
  double Served() const {
    return asked == 0 ? 1 : static_cast<double>(in_aim + late) / asked;
  }
};

struct load_result {
  double worth = 0;            // Earned / owed.
  double served = 0;           // Share of the calls.
  double worst_window = 0;     // Earned / owed in the worst 2 s.
  double refused_wait_ms = 0;  // Mean time until a refusal was told.
  // Share of the attempts that a queue refused after most of their time.
  double held_in_vain = 0;
  // Bytes that crossed zones, as a share of those that all calls had to carry.
  double far_bytes = 0;
  // Reports of needs between daemons, as a share of the answers to calls.
  double need_reports = 0;
  double shed = 0;  // Share of the started calls that an upstream shed.
  std::map<std::string, class_result> classes;
  // Earned / owed by second of the first attempt.
  std::vector<double> worth_by_s;
};

// Which parts of overload control are used.
struct load_options {
  mesh::queue_order order = mesh::queue_order::kEarliestAim;
  bool aims_of_retries = false;  // A retry's aim counts from the first attempt.
  bool gate = false;             // Ingresses refuse by the rank limits.
  bool pacer = false;            // Refused callers return one after the other.
  bool cost = false;             // With cost routing.
  bool reports = false;          // With cost routing by load reports.
};
// As a daemon with the setting `overload_control`.
load_options OverloadControl();

load_result RunLoad(const load_pattern& pattern, std::uint64_t seed,
                    const load_options& options = {});

// The named patterns.
load_pattern CalmPattern();
load_pattern BurstPattern(double times);
load_pattern ScaleInPattern();
load_pattern SlowMinorityPattern();
load_pattern RetryStormPattern();
load_pattern LeavingCallersPattern();
load_pattern ColdZonePattern();
load_pattern FullCalleePattern();
load_pattern LastCalleePattern();
load_pattern GreyMinorityPattern();
load_pattern WideFleetPattern();
load_pattern UploadsPattern();
load_pattern LoadedZonePattern();
load_pattern LostZonePattern();
// The service that others call is short from 6 s until then.
inline constexpr double kShortCalleeUntilS = 20;
load_pattern ShortCalleePattern();
// The service that others call gets 1.7 times its capacity from 5 s to 25 s.
load_pattern LastingOverloadPattern();
// No upstream takes calls from 10 s until then.
inline constexpr double kAllBackS = 10.4;
load_pattern AllComeBackPattern();
// All daemons and upstreams lose power at 10 s and are back from then on.
inline constexpr double kFleetBackS = 12;
load_pattern FleetReturnPattern();
load_pattern UnequalSpeedsPattern();
load_pattern ShortStallsPattern();
load_pattern CancelledRunsPattern();
load_pattern LookAlikesPattern();
load_pattern TwoKindsPattern();
// One service gets twice its capacity, in three ranks.
load_pattern ThreeRanksPattern();
std::vector<load_pattern> AllPatterns();

}  // namespace pimentohall::testing

#endif  // PIMENTOHALL_TESTING_LOAD_MODEL_MODEL_H_
