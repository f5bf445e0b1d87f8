#ifndef PIMENTOHALL_CORE_SLOT_LIMITER_H_
#define PIMENTOHALL_CORE_SLOT_LIMITER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "pimentohall/core.h"

namespace pimentohall::core {

// Finds how many calls one upstream can run at a time.
//
//   if (auto ticket = limiter.TryStart(now)) { ... run the call ... }
//   limiter.OnResult(*ticket, route, call_result::kAnswered, now);
//
// Growth. The limit starts at 1 (cold). It grows by one when a window of at
// least `limit` answers shows no sign of overload. Only calls that took the
// last free slot count, since an idle upstream says nothing about its capacity.
//
// Overload shows in two ways. The upstream may shed calls. Or it may queue
// them: then the latency grows in proportion to (calls in flight / slots). Each
// latency is divided by the baseline of the route, which is the mean latency of
// calls that were started with at most half of the limit in use; the first call
// of a route counts whatever the load. This makes slow and fast routes
// comparable. The quotient is called the inflation. The mean inflation of a
// window is compared with a threshold, with a margin in standard errors, so
// that noisy latency delays the decision instead of making it wrong.
//
// After overload the reduced limit becomes the ceiling. A probe goes one above
// the ceiling after 0.5 s; the interval doubles up to 8 s while probes are
// shed.
//
// Under steady load few calls find half of the limit free, so baselines become
// stale. From time to time, and before the limiter acts on a doubtful
// inflation, a dip lowers the limit to half for a few calls. A strong inflation
// is checked by a dip to 1, where no call waits for another: if the latency is
// inflated there too, the upstream became slower and the baselines are adapted.
//
// A refused connection, the loss of several connections at once, or more
// timeouts in a row than the limit make the upstream cold again. Reports of
// health and load can only halve the limit for a short time. If the upstream
// answers enough calls meanwhile, further reports are ignored for a while, or
// until it sheds a call or loses or refuses a connection.
class slot_limiter {
 public:
  enum class call_result {
    kAnswered,
    kShed,
    kTimedOut,
    kLost,
    kRefused,
    kAbandoned,  // Cancelled; says nothing about the upstream.
  };
  // Describes a started call; passed to `OnResult` when the call ends.
  struct ticket {
    std::uint64_t serial = 0;
    int level = 0;  // Calls in flight at the start, including this one.
    instant started{};
    bool is_unqueued = false;  // At most half of the limit was in use.
    bool is_dip = false;       // Measured by the dip in which it was started.
  };

  // Sets the upper bound of the limit.
  void SetMax(int max);

  // Whether a slot is free and no backoff is in effect.
  bool CanStart(instant now) const;
  // Takes a slot if `CanStart`.
  std::optional<ticket> TryStart(instant now);
  // Frees the slot and adapts the limit to the result.
  void OnResult(const ticket& call, const std::string& route,
                call_result result, instant now);
  // Handles an out-of-band report; `load` 1 means that the upstream is full.
  void OnReport(bool healthy, double load, instant now);

  // Calls that may be in flight now; at least 1.
  int Limit(instant now) const;
  int InFlight() const { return in_flight_; }
  // Whether at least `kRefusalsDown` connections in a row were refused.
  bool IsDown() const { return refusals_ >= kRefusalsDown; }
  // End of the backoff after a refused connection or a shed call at limit 1; no
  // call is started before.
  instant BackoffUntil() const { return backoff_until_; }

 private:
  static constexpr int kRefusalsDown = 2;

  // Mean latency of a route without queueing, in microseconds.
  struct baseline {
    double mean = 0;
    int samples = 0;  // At most `kMaxBaselineSamples`.
  };
  // Sums over the calls of a measurement.
  struct window {
    int samples = 0;
    double sum = 0;         // Of the inflation.
    double square_sum = 0;  // Of the squared inflation.
    // Of the variance of the baseline, relative to that of the inflation.
    double baseline_variance_sum = 0;
    double latency_sum = 0;   // In microseconds.
    double baseline_sum = 0;  // In microseconds.
  };
  struct estimate {
    double mean = 0;  // Mean inflation of the latency; 1: no queueing.
    // Mean inflation weighted by the baseline of each call. By Little's law it
    // is the limit divided by the slots, but it is noisier when routes differ.
    double weighted = 0;
    // Standard error of `mean`, including that of the baselines.
    double error = 0;
    double baseline_error = 0;    // Part of `error` due to the baselines.
    double baseline_samples = 0;  // Harmonic mean of the baselines' samples.
  };
  void OnAnswered(const ticket& call, const std::string& route, instant now);
  void OnTimedOut(const ticket& call, const std::string& route, instant now);
  void OnShed(const ticket& call, instant now);
  void OnConnectionLost(instant now);
  void OnConnectionRefused(instant now);
  const baseline& Baseline(const std::string& route, double latency,
                           bool is_unqueued);
  void AddSample(const ticket& call, double latency, const baseline& normal,
                 instant now);
  static void Add(window* target, double latency, const baseline& normal);
  static estimate Estimate(const window& measured);
  void Evaluate(instant now);
  double Threshold() const;
  void Grow(instant now);
  void Reduce(int new_limit, duration probe_after, instant now);
  void ReduceForShed(int new_limit, instant now);
  void ReduceForInflation(double inflation, instant now);
  void CheckInflation(const estimate& measured, instant now);
  void Rebase(double inflation, int samples);
  void ResetToCold();
  void StartBackoff(instant now);
  int DipSamples() const;
  bool CanDip(instant now) const { return now >= next_dip_; }
  void StartDip(int limit, instant now);
  void EndDip(instant now);
  void UpdateBaselinesFromDip(double inflation);
  void CountAnswerUnderCap(instant now);

  int max_ = 100;
  int limit_ = 1;
  int in_flight_ = 0;
  int ceiling_ = 0;  // Only probes exceed it; 0: none known.
  duration probe_interval_{0};
  instant next_probe_{};
  std::uint64_t next_serial_ = 1;
  // Calls with a smaller serial started before the last reduction and say
  // nothing about the new limit.
  std::uint64_t first_serial_ = 1;
  int answers_since_reduction_ = 0;
  window window_;
  std::unordered_map<std::string, baseline> baselines_;
  // Calls that were started at the limit and were answered or timed out, since
  // the last dip.
  int saturated_since_dip_ = 0;
  int dip_limit_ = 0;  // Limit during a dip; 0: no dip.
  instant dip_started_at_{};
  instant next_dip_{};
  int dip_calls_ = 0;
  int dip_answers_ = 0;
  window dip_;
  double suspected_inflation_ = 0;  // Checked by the current dip; 0: none.
  int timeouts_ = 0;                // In a row.
  int refusals_ = 0;                // In a row.
  duration backoff_{0};
  instant backoff_until_{};
  instant last_loss_ = instant::min();
  instant last_activity_{};

  int report_cap_ = 0;  // Limit imposed by reports; 0: none.
  int answers_under_cap_ = 0;
  instant report_cap_until_{};
  instant reports_ignored_until_ = instant::min();
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_SLOT_LIMITER_H_
