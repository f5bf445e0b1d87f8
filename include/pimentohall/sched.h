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

// ---------------------------------------------------------------------------
// Admission control, and the return of refused callers.

// Finds the groups of calls that are served much less often than the mean.
// Counts decay, so that a group isn't owed for what happened long ago.
class service_floor {
 public:
  // Of the mean served share. The floor that is promised is a quarter; the
  // counts react with a delay, so groups are helped before that.
  static constexpr double kShare = 0.35;
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
  static constexpr int kPassInterval = 3;
  static constexpr std::size_t kMaxRanks = 64;

  // A call was offered; `work` is its expected time. A call above the limit
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
  // attempt. 0: unknown, also for a negative budget and for routes beyond
  // `kMaxRoutes`.
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
// Nested calls.

}  // namespace pimentohall::sched

#endif  // PIMENTOHALL_SCHED_H_
