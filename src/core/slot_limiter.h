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
// least `limit` answers shows no sign of overload. Only calls that were started
// with all slots in use count: an idle upstream proves nothing.
//
// Overload shows in two ways. An upstream may shed the call. Or it may let it
// wait: then the latency grows in proportion to (calls in flight / slots). The
// latency of a call is divided by the mean latency of its route in calls that
// found at most half of the limit in use, so slow routes look like fast ones.
// The mean of the window is compared with a threshold together with its
// standard error, so that noisy latency makes the decision later, not wrong.
//
// After overload the limit at which it did not show is kept as the ceiling. A
// probe goes one above it after 0.5 s, doubling to 8 s while probes are shed.
//
// Under steady load few calls find the upstream half empty. From time to time,
// and before a doubtful inflation is believed, a dip uses half of the limit for
// a few calls. A strong inflation is checked by a dip to 1, where nothing
// waits: what is inflated there is the new normal of an upstream that became
// slower.
//
// A refused connection and the loss of several connections at once make the
// upstream cold again. Reports of health and load can only halve the limit for
// a short time; when the upstream answers well meanwhile, reports are ignored
// until it fails in-band.
class slot_limiter {
 public:
  enum class call_result {
    kAnswered,
    kShed,
    kTimedOut,
    kLost,
    kRefused,
    kAbandoned,  // Cancelled; tells nothing about the upstream.
  };
  struct ticket {
    std::uint64_t serial = 0;
    int level = 0;  // Calls in flight with this one.
    instant started{};
    bool is_unqueued = false;  // At most half of the limit was in use.
    bool is_dip = false;       // Measured by the current dip.
  };

  // Greatest limit.
  void SetMax(int max);

  bool HasRoom(instant now) const;
  // Takes a slot, if one is free.
  std::optional<ticket> TryStart(instant now);
  // Frees the slot.
  void OnResult(const ticket& call, const std::string& route,
                call_result result, instant now);
  void OnReport(bool healthy, double load, instant now);

  // Calls that may be in flight now; at least 1.
  int Limit(instant now) const;
  int InFlight() const { return in_flight_; }
  // The last connections were refused.
  bool IsDown() const { return refusals_ >= kRefusalsDown; }
  // Before this time no call is started, because the upstream refused the last.
  instant PausedUntil() const { return paused_until_; }

 private:
  static constexpr int kRefusalsDown = 2;

  // Latency of a route without waiting, in microseconds.
  struct baseline {
    double mean = 0;
    int samples = 0;  // At most `kMaxBaselineSamples`.
  };
  struct window {
    int samples = 0;
    double sum = 0;
    double square_sum = 0;
    double baseline_variance_sum = 0;
    double latency_sum = 0;
    double baseline_sum = 0;
  };
  struct estimate {
    double mean = 0;  // Inflation of the latency; 1: no waiting.
    // The same weighted by the time of the calls. By Little's law it is the
    // limit over the slots, but it is noisier when routes differ.
    double weighted = 0;
    double error = 0;  // Standard error, that of the baselines included.
    double baseline_error = 0;
    double baseline_samples = 0;
  };
  void OnAnswered(const ticket& call, const std::string& route, instant now);
  void OnTimedOut(const ticket& call, const std::string& route, instant now);
  void OnShed(const ticket& call, instant now);
  void OnLost(instant now);
  void OnRefused(instant now);
  const baseline& Baseline(const std::string& route, double latency,
                           bool is_unqueued);
  void AddSample(const ticket& call, double latency, const baseline& normal,
                 instant now);
  static void Add(window* to, double latency, const baseline& normal);
  static estimate Estimate(const window& from);
  void Evaluate(instant now);
  double Threshold() const;
  void Grow(instant now);
  void Reduce(int to, duration probe_after, instant now);
  void ReduceForShed(int to, instant now);
  void OnInflated(double inflation, instant now);
  void CheckInflation(const estimate& seen, instant now);
  void Rebase(double inflation, int samples);
  void FallCold();
  void Pause(instant now);
  int DipSamples() const;
  bool MayDip(instant now) const { return now >= next_dip_; }
  void StartDip(int limit, instant now);
  void EndDip(instant now);
  void TakeDipAsNormal(double inflation);
  void CountGoodUnderCap(instant now);

  int max_ = 100;
  int limit_ = 1;
  int in_flight_ = 0;
  int ceiling_ = 0;  // 0: none known.
  duration probe_interval_{0};
  instant next_probe_{};
  std::uint64_t next_serial_ = 1;
  // Calls started before the last reduction tell nothing about the new limit.
  std::uint64_t first_serial_ = 1;
  int answers_since_reduction_ = 0;
  window window_;
  std::unordered_map<std::string, baseline> baselines_;
  int saturated_since_dip_ = 0;
  int dip_limit_ = 0;  // 0: no dip.
  instant dip_since_{};
  instant next_dip_{};
  int dip_started_ = 0;
  int dip_answers_ = 0;
  window dip_;
  double suspected_inflation_ = 0;  // The dip decides on it; 0: none.
  int timeouts_ = 0;                // In a row.
  int refusals_ = 0;                // In a row.
  duration pause_{0};
  instant paused_until_{};
  instant last_lost_ = instant::min();
  instant last_activity_{};

  int report_cap_ = 0;  // 0: none.
  int good_under_cap_ = 0;
  instant report_cap_until_{};
  instant reports_ignored_until_ = instant::min();
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_SLOT_LIMITER_H_
