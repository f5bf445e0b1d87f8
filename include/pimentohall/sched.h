#ifndef PIMENTOHALL_SCHED_H_
#define PIMENTOHALL_SCHED_H_

// Library `sched`: estimates of work and decisions under overload. No I/O, no
// clock, no random state of its own: times are passed in.
//
// Durations and instants are `core::duration` (microseconds) and
// `core::instant` unless the name carries a unit. Functions without an error
// type can't fail.

#include <chrono>
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
