#ifndef PIMENTOHALL_SCHED_H_
#define PIMENTOHALL_SCHED_H_

// Library `sched`: estimates of work and decisions under overload. No I/O, no
// clock, no random state of its own: times are passed in.
//
// Durations and instants are `core::duration` (microseconds) and
// `core::instant` unless the name carries a unit. Functions without an error
// type can't fail.

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
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

// What is known about a call before it runs.
struct call_features {
  std::string_view route;
  std::string_view method;
  std::string_view path;  // With or without a query, which is ignored.
  std::string_view caller_service;
  std::string_view tenant;
  double body_bytes = 0;
};

// Hashes of a call's features. Of a path, only its shape counts: segments that
// contain a digit or are long are taken for identifiers and are all equal.
struct cost_key {
  // A path shape is known by its method and route; the others by the path.
  enum effect : std::size_t { kPath, kCaller, kTenant, kSize, kEffects };
  std::uint64_t route = 0;
  std::array<std::uint64_t, kEffects> effects{};
  friend bool operator==(const cost_key& a, const cost_key& b) {
    return a.route == b.route && a.effects == b.effects;
  }
};
cost_key KeyOf(const call_features& call);

// Time that a call takes once started, at usual speed and pace.
struct cost_estimate {
  duration mean{0};
  duration high{0};  // 80th percentile.
  friend bool operator==(const cost_estimate& a, const cost_estimate& b) {
    return a.mean == b.mean && a.high == b.high;
  }
};

// Mean of an upstream's times relative to the usual ones, over about 100 runs.
// An estimate of cost divides by it when it learns and multiplies by it when it
// predicts. A mean over few runs follows the mix of calls instead of the
// upstream, and that error doesn't cancel.
class speed_mean {
 public:
  // Ratios that aren't positive numbers are ignored; others are limited to
  // 0.05 to 20.
  void Observe(double ratio);
  // 1: never observed.
  double Value() const { return mean_; }

 private:
  double mean_ = 1;
  int runs_ = 0;
};

// Learns the cost of calls from the runs that ended.
//
// The logarithm of a cost is the mean of its route plus an effect for each
// feature. Each effect is fitted to what the ones before it leave unexplained
// and is shrunk towards 0: by its number of runs, and by how well the effects
// of its kind have predicted runs of this route so far. The distribution around
// that prediction is kept as a histogram by route and path shape; it yields the
// mean, the high estimate and the remaining time of a run.
//
// All weights halve every `kHalfLifeS` without runs, so estimates return to the
// fallback. Memory is allocated once; the lightest of the colliding entries is
// replaced.
class cost_predictor {
 public:
  static constexpr double kHalfLifeS = 30;
  // One run changes a prediction at most by this factor.
  static constexpr double kMaxFactorPerRun = 8;

  cost_predictor();

  // A run took `work`, corrected for the upstream's speed and pace. Times that
  // are not positive or above 10 minutes are ignored.
  void Observe(const cost_key& call, duration work, instant now);
  // `fallback`: mean that applies without any run of the route.
  cost_estimate Predict(const cost_key& call, duration fallback,
                        instant now) const;
  // Expected time left of a run that has taken `age` and hasn't ended.
  duration Remaining(const cost_key& call, duration age, duration fallback,
                     instant now) const;

  void Observe(const call_features& call, duration work, instant now) {
    Observe(KeyOf(call), work, now);
  }
  cost_estimate Predict(const call_features& call, duration fallback,
                        instant now) const {
    return Predict(KeyOf(call), fallback, now);
  }
  duration Remaining(const call_features& call, duration age, duration fallback,
                     instant now) const {
    return Remaining(KeyOf(call), age, fallback, now);
  }

  // Routes with runs, 64 at most.
  std::size_t Routes() const;
  std::size_t MemoryBytes() const;

 private:
  static constexpr std::size_t kBins = 24;
  using histogram = std::array<float, kBins>;

  // Weight in runs at the time `at`.
  struct entry {
    std::uint64_t key = 0;  // 0: free.
    instant at{};
    float weight = 0;
    float mean = 0;  // Of logarithms.
  };
  // How well the effects of one kind predict.
  struct trust {
    float explained = 0.5F;  // Decaying sum of residual x effect,
    float squares = 0.5F;    // and of effect squared.
    float Value() const;
  };
  struct route_entry : entry {
    std::array<trust, cost_key::kEffects> trusts;
  };
  struct spread_entry : entry {
    histogram bins{};
  };
  // Log-mean of a call, and what it is made of.
  struct prediction {
    double log_mean = 0;
    double route_weight = 0;
    std::array<double, cost_key::kEffects> effects{};
  };
  // The distribution of cost / exp(log-mean), scaled to milliseconds.
  struct distribution {
    histogram mass{};    // Sums to 1.
    double base_ms = 0;  // Cost at ratio 1.
    double mean_ms = 0;
  };

  prediction Sum(const route_entry& route, const cost_key& call,
                 instant now) const;
  distribution Distribution(const cost_key& call, duration fallback,
                            instant now) const;
  double LearnEffects(route_entry* route, const cost_key& call, double log_ms,
                      instant now);
  void LearnSpread(std::uint64_t key, double residual, double share,
                   instant now);
  double Maturity(const cost_key& call, instant now) const;

  std::vector<route_entry> routes_;
  std::vector<entry> effects_;
  std::vector<spread_entry> spreads_;
};

// ---------------------------------------------------------------------------
// Speed and pace of an upstream.

// What an upstream reports about itself. Missing: not reported, or unreadable.
struct upstream_report {
  std::optional<int> running;  // Calls that it runs,
  std::optional<int> waiting;  // calls that wait inside it,
  std::optional<int> slots;    // and calls that it can run at a time.
  // Momentary time of work on its machine, in per cent of the usual time.
  std::optional<int> pace_percent;
  friend bool operator==(const upstream_report& a, const upstream_report& b);
};

// Reported paces outside of these bounds are nonsense and ignored.
inline constexpr int kMinPacePercent = 10;
inline constexpr int kMaxPacePercent = 2000;
// A pace loses half of its distance from 1 in this time. Stalls of a shared
// machine last some hundred milliseconds, so an older pace says little. Of 75,
// 100, 150 and 300 ms, 100 ms served load pattern "short stalls" best.
inline constexpr duration kPaceHalfLife = std::chrono::milliseconds(100);

// What a pace is worth after `age`. The decay is exponential, so a daemon that
// receives a decayed pace goes on where the sender stopped. Negative ages count
// as 0.
double DecayedPace(double pace, duration age);

// Estimates how fast an upstream is, and how much of its room is taken by work
// that its egress no longer counts. Calls that the egress cancelled are such
// work: an upstream may run them to their end.
//
// Reports are evidence, not truth: missing or nonsensical figures change
// nothing, and every figure decays.
class upstream_monitor {
 public:
  // Runs that the assumption of usual speed (1) counts for. Work varies by
  // about its mean, and speeds by about half of that, so that 4 runs say as
  // much about a speed as the assumption does.
  static constexpr double kUsualRuns = 4;
  // At most this many runs count, so that a lasting change shows within
  // seconds.
  static constexpr double kMaxRuns = 60;
  // Runs lose half of their weight in this time.
  static constexpr duration kRunHalfLife = std::chrono::seconds(10);
  // Largest factor between one run and the present speed.
  static constexpr double kMaxRunRatio = 6;
  // Unexplained calls lose half of their weight in this time without a report.
  static constexpr duration kHiddenHalfLife = std::chrono::milliseconds(300);
  // A cancelled call counts until the next report, and no longer than this.
  static constexpr duration kAbandonedMemory = std::chrono::milliseconds(150);
  // While the counts leave no slot, one call may start in each such period. If
  // it takes no longer than usual, the counts are wrong and aren't used for a
  // time that doubles with every such call, between these bounds.
  static constexpr duration kTrialPeriod = std::chrono::milliseconds(500);
  static constexpr duration kMinDoubt = std::chrono::seconds(1);
  static constexpr duration kMaxDoubt = std::chrono::seconds(32);
  // Figures older than this aren't used.
  static constexpr duration kReportMemory = std::chrono::seconds(5);

  // `own_running`: calls that the egress has at the upstream, including the one
  // whose answer carries the report.
  void OnReport(const upstream_report& report, int own_running, instant now);
  // The egress starts a call. To be called after `UsableSlots` at this time.
  void OnStarted(int slots, instant now);
  // The egress cancelled a call at the upstream.
  void OnAbandoned(instant now);
  // An answered call. `expected_work`: its time at usual speed and pace. Times
  // of 0 or less are ignored.
  void OnRun(duration took, duration expected_work, instant now);

  // Lasting: time of work here / its usual time in the service.
  double Speed(instant now) const;
  // Momentary: time of work at present / its usual time here.
  double Pace(instant now) const;
  // Calls at the upstream that the egress doesn't count as running.
  int HiddenCalls(instant now) const;
  // Expected time of the work that they have left, if each takes `usual`.
  duration HiddenWork(duration usual, int slots, instant now) const;
  // Calls that the egress may have at the upstream, of `slots` by the
  // directory.
  int UsableSlots(int slots, instant now) const;

 private:
  // A sequence of paces, from which the work done between two times follows.
  struct pace_sample {
    instant at{};
    double pace = 1;
    double done_s = 0;  // Work done until `at`, in seconds at usual pace.
  };
  void RecordPace(double pace, instant now);
  double DoneS(instant at) const;
  double RunWeight(instant now) const;
  // Slots without the hidden calls; may be negative.
  int Room(int slots, instant now) const;
  // Judges the counts by a call that started although they left no slot.
  void EndTrial(duration took, duration expected, instant now);

  std::deque<pace_sample> paces_;
  double pace_ = 1;
  instant paced_at_{};
  double runs_ = 0;       // Decaying number of runs at `run_at_`,
  double ratio_sum_ = 0;  // and sum of their ratios to the usual time.
  instant run_at_{};
  int excess_ = 0;  // Unexplained calls in the last report,
  int hidden_ = 0;  // and those that the report before it confirms.
  int slots_ = 0;   // Reported; 0: none.
  std::optional<instant> counted_at_;  // Of the last report with counts.
  std::deque<instant> abandoned_;
  instant started_at_{};             // Start of the last call.
  std::optional<instant> trial_at_;  // Start of the last trial.
  duration doubt_{0};                // Length of the last doubt in the counts
  instant doubted_until_{};          // and its end.
};

// ---------------------------------------------------------------------------
// Admission control, and the return of refused callers.

// Finds the groups of calls that are served much less often than the mean.
// Counts decay, so that a group isn't owed for what happened long ago.
class service_floor {
 public:
  // Of the mean served share. The floor that is promised is a quarter; the
  // counts react with a delay, so groups are helped before that.
  static constexpr double kShare = 0.4;
  // Bounds the memory; calls of further groups are never owed.
  static constexpr std::size_t kMaxGroups = 256;

  // `weight`: how many offered calls this one stands for.
  void OnOffered(std::uint64_t group, double weight, instant now);
  void OnServed(std::uint64_t group, instant now);
  // Whether the group's served share is below `kShare` of the mean.
  bool IsOwed(std::uint64_t group) const;

 private:
  struct counts {
    double offered = 0;
    double served = 0;
    instant at{};
  };
  static void Decay(counts* counted, instant now);
  counts* Find(std::uint64_t group, instant now);

  counts all_;
  std::unordered_map<std::uint64_t, counts> groups_;
};

// Derives from the demand at one upstream which ranks it takes. Ranks whose
// demand is behind a whole capacity of more urgent demand aren't taken.
class rank_limiter {
 public:
  static constexpr int kNone = 1'000'000;
  // A daemon still sends one in this many of the calls that it may refuse
  // because of their rank, so that their demand stays known and their routes
  // keep their floor.
  static constexpr int kPassInterval = 2;
  static constexpr std::size_t kMaxRanks = 64;

  // A call was offered; `work` is its expected time. A negative rank is more
  // urgent than all that can be limited. A call above the limit
  // counts for `kPassInterval` calls, which `WeightOf` returns.
  void OnOffered(int rank, duration work, instant now);
  double WeightOf(int rank) const { return rank > limit_ ? kPassInterval : 1; }
  // The highest rank that is taken; `kNone`: all. `backlog` is the time until
  // the queued and running work is done. Cuts and restores at different
  // thresholds, so that a steady load has a steady limit.
  int Update(int slots, duration backlog, instant now);
  int Limit() const { return limit_; }

 private:
  struct demand {
    double work_s = 0;  // Decaying sum at `at`.
    instant at{};
  };
  static double DecayedWork(const demand& of, instant now);

  std::map<int, demand> ranks_;
  int limit_ = kNone;
  bool cuts_ = false;
};

// Refuses calls at an ingress that every upstream in reach would refuse because
// of their rank.
class admission_gate {
 public:
  // An older limit is ignored.
  static constexpr duration kMaxAge = std::chrono::seconds(1);

  void OnReport(const std::string& service, const std::string& upstream,
                int rank_limit, instant now);
  // False if all of `upstreams` reported a lower limit lately. `key` numbers
  // the calls: one in `rank_limiter::kPassInterval` is admitted nevertheless.
  bool Admits(const std::string& service,
              const std::vector<std::string>& upstreams, int rank,
              std::uint64_t key, instant now) const;
  // Forgets reports that are ignored; call it often.
  void Expire(instant now);
  // Upstreams that limit ranks at present.
  std::size_t Size() const { return limits_.size(); }

 private:
  struct limit {
    int rank = 0;
    instant at{};
  };
  std::map<std::pair<std::string, std::string>, limit> limits_;
};

// Spreads the return of refused callers over the time in which their service
// becomes free, so that callers refused together don't come back together.
class return_pacer {
 public:
  static constexpr duration kMin = std::chrono::milliseconds(20);
  // Of the time left to a caller.
  static constexpr int kMaxPart = 3;

  // A call of the service was answered: room became free.
  void OnAnswered(const std::string& service, instant now);
  // `room_in`: when the queue that refused the call expects room; `time_left`
  // of the caller. At most a third of `time_left`.
  duration RetryAfter(const std::string& service, duration room_in,
                      duration time_left, instant now);

 private:
  struct schedule {
    double answers = 0;  // Decaying count at `answered_at`.
    instant answered_at{};
    instant next{};             // Return of the next refused caller.
    std::uint64_t refused = 0;  // Spreads callers that can't wait for `next`.
  };
  static duration Gap(const schedule& of, instant now);

  std::unordered_map<std::string, schedule> services_;
};

// The time that callers have spent on earlier attempts, from their remaining
// budgets: a budget below the largest that the route had recently belongs to a
// later attempt.
class budget_history {
 public:
  // The largest budget is remembered for one to two of these.
  static constexpr duration kPeriod = std::chrono::seconds(10);
  static constexpr std::size_t kMaxRoutes = 4096;
  // If more of a route's calls seem to be later attempts, its callers have
  // different budgets, and nothing is known about their attempts.
  static constexpr double kMaxLaterShare = 0.75;

  // Records the budget of a call; returns the time since the caller's first
  // attempt. 0: unknown, also for a negative budget, for one below a quarter of
  // the route's largest, and for routes beyond `kMaxRoutes`.
  duration Spent(const std::string& route, duration budget, instant now);

 private:
  struct largest {
    duration current{0};
    duration previous{0};
    instant since{};
    double later_share = 0;  // Moving average.
  };
  std::unordered_map<std::string, largest> routes_;
};

// ---------------------------------------------------------------------------
// Upstreams that refuse calls.

// A circuit breaker for an upstream that sheds calls although it has free
// slots. Such an upstream answers at once, so it looks idle and attracts calls;
// each of them costs a retry elsewhere.
class shed_breaker {
 public:
  // Sheds in a row that open the breaker. An upstream that sheds only part of
  // its calls still serves the others.
  static constexpr int kOpenAfter = 8;
  // The breaker stays open for this long at first. After that, one call at a
  // time is a trial: if it is shed, the time doubles up to the maximum.
  static constexpr duration kMinHold = std::chrono::milliseconds(300);
  static constexpr duration kMaxHold = std::chrono::milliseconds(2400);

  enum class state {
    kClosed,    // Calls may start.
    kOpen,      // No call may start.
    kHalfOpen,  // A trial call may start.
    kTrial,     // The trial call runs; no other may start.
  };

  state State(instant now) const;
  bool MayStart(instant now) const;
  void OnStarted(instant now);
  void OnShed(instant now);
  // The upstream ran a call, or its call ended otherwise.
  void OnNotShed();

 private:
  int sheds_ = 0;  // In a row.
  duration hold_{0};
  instant open_until_{};
  std::optional<instant> trial_at_;
};

// ---------------------------------------------------------------------------
// Nested calls: those that a running call makes to other services. The run
// holds its slot meanwhile, and its work is lost if a nested call fails.

// Tells nested calls from callers' calls where neither keys nor addresses do:
// callers and the upstream are on the same VM, and without tenants nobody sends
// a key. A nested call ends with its run, so a call that may take longer than
// every open run isn't nested. Later attempts of callers have less time left,
// so the calls of a route are judged together.
class nested_routes {
 public:
  // A route is the callers' if at least this share of its calls may take longer
  // than the open runs. Runs that go on after they were cancelled make a few
  // nested calls look so.
  static constexpr double kCallersShare = 0.25;
  static constexpr double kWindowCalls = 50;  // Calls that the share covers.
  static constexpr std::size_t kMaxRoutes = 4096;  // Others: callers'.
  // Allowed for the rounding of budgets to whole milliseconds.
  static constexpr duration kMargin = std::chrono::milliseconds(5);

  // Records a call and returns whether it is nested. `budget`: what it states;
  // none: the caller waits without limit. `longest_run`: time left to the open
  // run with the latest deadline; none: no run is open.
  bool OnCall(const std::string& route, std::optional<duration> budget,
              std::optional<duration> longest_run);

 private:
  struct counts {
    double calls = 0;  // Both decay by `kWindowCalls`.
    double longer = 0;
  };
  std::unordered_map<std::string, counts> routes_;
};

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
