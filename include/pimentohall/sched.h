#ifndef PIMENTOHALL_SCHED_H_
#define PIMENTOHALL_SCHED_H_

// Library `sched`: estimates of work and decisions under overload. No I/O, no
// clock, no random state of its own: times are passed in.
//
// Durations and instants are `core::duration` (microseconds) and
// `core::instant` unless the name carries a unit. Functions without an error
// type can't fail.

#include <deque>
#include <optional>
#include <string_view>

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

// ---------------------------------------------------------------------------
// Nested calls.

}  // namespace pimentohall::sched

#endif  // PIMENTOHALL_SCHED_H_
