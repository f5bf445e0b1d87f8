#ifndef PIMENTOHALL_SCHED_H_
#define PIMENTOHALL_SCHED_H_

// Library `sched`: estimates of work and decisions under overload. No I/O, no
// clock, no random state of its own: times are passed in.
//
// Durations and instants are `core::duration` (microseconds) and
// `core::instant` unless the name carries a unit. Functions without an error
// type can't fail.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "pimentohall/core.h"

namespace pimentohall::sched {

using core::duration;
using core::instant;

// ---------------------------------------------------------------------------
// Switches.

// Whether a feature is used.
enum class feature_mode {
  kAuto,  // If nothing else bounds the demand.
  kOn,
  kOff,
};

// "auto", "on" or "off".
std::optional<feature_mode> ParseFeatureMode(std::string_view text);
// `demand_is_bounded`: the configuration limits the rate of the callers.
bool IsEnabled(feature_mode mode, bool demand_is_bounded);

// ---------------------------------------------------------------------------
// Cost of a call.

// ---------------------------------------------------------------------------
// Speed and pace of an upstream.

// ---------------------------------------------------------------------------
// Admission control, and the return of refused callers.

// ---------------------------------------------------------------------------
// Nested calls: those that a running call makes to other services. The run
// holds its slot meanwhile, and its work is lost if a nested call fails.

// What the runs of a route need of one other service.
struct callee_need {
  std::string service;
  double calls = 0;    // Nested calls a run, on average.
  duration time{0};    // Mean time of those in time, as the run sees it.
  duration budget{0};  // Mean time within which an answer is in time.
  // Share of the last nested calls that were answered in time; 1 without recent
  // ones.
  double in_time = 1;
  friend bool operator==(const callee_need& a, const callee_need& b);
};

// At the daemon beside an upstream: learns which calls the upstream's runs
// make. A nested call doesn't name its run. So the rate of each route's calls
// is fitted to how many runs of which routes were open when calls came, against
// how many were open together over time (least squares, no rate below 0). The
// fit holds whenever in a run the calls are made, and divides the calls evenly
// between routes whose runs are always open together.
class call_tree {
 public:
  static constexpr std::size_t kMaxRoutes = 16;      // The oldest is dropped.
  static constexpr std::size_t kMaxServices = 32;    // The oldest is dropped.
  static constexpr std::size_t kMaxNeeds = 4;        // Those with most calls.
  static constexpr std::size_t kMaxOpenRuns = 1024;  // Others aren't counted.
  // Counts halve in this time: a change of the callers' code shows within a
  // minute.
  static constexpr double kHalfLifeS = 20;
  // Fewer decayed runs than this say nothing about the next run.
  static constexpr double kMinRuns = 3;
  // Services that runs call less often than this are left out: the fit was off
  // by up to 0.13 calls with three routes at 100 runs per second.
  static constexpr double kMinCalls = 0.15;

  void OnRunStarted(std::uint64_t run, std::string_view route, instant now);
  // The upstream made a call, whose answer is in time within `budget`: the
  // call's aim, but at most its deadline. A run that gets later answers mostly
  // misses its own aim.
  void OnNestedCall(std::string_view service, duration budget, instant now);
  // Times outside 0 to 60 s count as the nearer end.
  void OnNestedDone(std::string_view service, duration took, bool in_time,
                    instant now);
  void OnRunEnded(std::uint64_t run, instant now);
  // The upstream refused the run, so it doesn't count as one.
  void OnRunRefused(std::uint64_t run, instant now);
  // Most calls first; empty: none, or not known.
  std::vector<callee_need> Needs(std::string_view route, instant now) const;

 private:
  using sums = std::map<std::string, double, std::less<>>;
  struct service_stats {
    double time_ms = 0;
    double budget_ms = 0;
    double in_time = 1;  // Decaying mean at `done_at`.
    instant called_at{};
    instant done_at{};
  };
  struct route_stats {
    int open = 0;
    // Decaying sums at `decayed_at_`.
    double runs = 0;    // Ended.
    double open_s = 0;  // Of all runs together.
    sums beside_s;      // By route: open runs times its open runs, over time.
    sums calls_beside;  // By service: open runs at each call.
    sums calls;         // By service: per run, as last fitted.
    instant used_at{};
  };
  // Ends the run; the stats of its route, or null.
  route_stats* Close(std::uint64_t run, instant now);
  // Adds the time since the last change of the open runs.
  void Advance(instant now);
  void Decay(instant now);
  route_stats* FindOrAddRoute(std::string_view route, instant now);
  void Fit(const std::string& service);
  void FitAll(instant now);

  std::map<std::uint64_t, std::string> open_;  // Route by run.
  std::map<std::string, route_stats, std::less<>> routes_;
  std::map<std::string, service_stats, std::less<>> services_;
  instant advanced_at_{};
  instant decayed_at_{};
  instant fitted_at_{};
};

// At an ingress: the needs of each route, merged from what the daemons beside
// the route's upstreams report.
class need_table {
 public:
  static constexpr std::size_t kMaxRoutes = 256;  // The oldest is dropped.
  // Needs that nobody has reported for this long are unknown.
  static constexpr duration kMemory = std::chrono::seconds(30);

  // Ignores needs with values outside their range.
  void OnNeeds(std::string_view route, const std::vector<callee_need>& needs,
               instant now);
  // Empty: none, or not known.
  std::vector<callee_need> Needs(std::string_view route, instant now) const;

 private:
  struct entry {
    std::vector<callee_need> needs;
    instant reported_at{};
  };
  std::map<std::string, entry, std::less<>> routes_;
};

// When to report the needs of a route to an ingress: after a change, and now
// and then for daemons that have started since.
class need_reporter {
 public:
  static constexpr duration kChangedPeriod = std::chrono::seconds(1);
  static constexpr duration kUnchangedPeriod = std::chrono::seconds(5);
  static constexpr std::size_t kMaxReceivers = 1024;  // Then all are forgotten.

  // Whether to report `needs` to `receiver` now; if so, records it.
  bool ShouldReport(const std::string& receiver, const std::string& route,
                    const std::vector<callee_need>& needs, instant now);

 private:
  struct report {
    std::vector<callee_need> needs;
    instant reported_at{};
  };
  std::map<std::pair<std::string, std::string>, report> reports_;
};

// At an ingress: whether the services that a call's run will call have room.
//
// A service is short if even its least loaded upstream would answer a nested
// call after the nested budget, and nested calls are late or refused. The first
// alone says little, since nested calls overtake others in the queue; the
// second alone may have other causes. While a service is short, the share of
// the calls that need it follows the share of nested calls in time, so that
// about as many runs start as can end.
class callee_gate {
 public:
  // Calls that need a short service are admitted at least at this share, so
  // that no route starves and the service's return is noticed.
  static constexpr double kMinShare = 0.25;
  // Admitted runs ask for this multiple of what was answered in time, so that
  // the share grows again as soon as the service has room. 1.08 and 1.3 earned
  // 0.02 and 0.01 less on the pattern "overload that sustains itself".
  static constexpr double kProbeFactor = 1.15;
  static constexpr duration kStep = std::chrono::milliseconds(200);
  static constexpr std::size_t kMaxServices = 64;  // Others aren't gated.

  // Expected time until the least loaded upstream of a service starts a call;
  // none: not known. Asked at most once in `kStep` for each service.
  using wait_query =
      std::function<std::optional<duration>(const std::string& service)>;
  // None: admitted. Otherwise the time after which a retry may be admitted.
  std::optional<duration> FindRefusal(const std::vector<callee_need>& needs,
                                      const wait_query& wait, instant now);
  // Share of the calls that need this service that is admitted.
  double Share(std::string_view service) const;

 private:
  struct state {
    double share = 1;
    double credit = 1;  // A call is admitted when it reaches 1.
    std::optional<duration> wait;
    instant stepped_at{};
  };
  // Adapts the share at most once in `kStep`.
  static void Step(const callee_need& need, const wait_query& wait,
                   state* service, instant now);

  std::map<std::string, state, std::less<>> services_;
};

// At an egress: the slots and queue places that are kept free of callers'
// calls, from the nested calls that have arrived lately.
class nested_reserve {
 public:
  // Never more than this share, so that callers' calls go on.
  static constexpr double kMaxShare = 0.5;
  static constexpr double kWindowS = 2;  // Time constant of the decay.

  // A nested call arrived that is expected to hold a slot for `work`.
  void OnNestedCall(duration work, instant now);
  // Slots that nested calls fill on average, rounded down; at least one slot
  // is left to callers.
  int Slots(int slots, instant now) const;
  std::size_t Places(std::size_t places, instant now) const;

 private:
  double BusySlots(instant now) const;

  double work_s_ = 0;  // Decaying sum at `arrived_at_`.
  instant arrived_at_{};
};

}  // namespace pimentohall::sched

#endif  // PIMENTOHALL_SCHED_H_
