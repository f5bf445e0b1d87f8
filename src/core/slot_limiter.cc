#include "core/slot_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pimentohall::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Factor of the limit after an unexpected shed answer.
constexpr double kShedFactor = 0.7;
// Smallest factor of the limit after an inflation that is not strong.
constexpr double kMinFactor = 0.7;
// Noise alone does not double the latency of a whole window.
constexpr double kStrongInflation = 2;
// Smallest factor of the limit after a strong inflation.
constexpr double kMinStrongFactor = 0.5;
constexpr duration kMinProbeInterval = milliseconds(500);
// At 10 slots of 20 ms a failed probe each 8 s is 1 shed call in 4,000.
constexpr duration kMaxProbeInterval = seconds(8);
// Fewer answers than this don't show the variance of the latency.
constexpr int kMinWindow = 4;
// At limit 1 a window ends when the standard error falls to `kMaxColdError`, or
// after `kMaxColdWindow` answers.
constexpr int kMaxColdWindow = 16;
constexpr double kMaxColdError = 0.3;
// A limit of two calls above 10 slots costs little latency; a lower threshold
// would mistake noise for queueing.
constexpr double kMinThreshold = 1.2;
// Cap of the inflation of one call: a call that hangs must not outweigh all
// others in its window.
constexpr double kMaxInflation = 4;
// Cap of the inflation of one call in the weighted mean. That mean sets the
// size of a reduction, so it must be able to show the inflation of an upstream
// that fell from 10 slots to 1.
constexpr double kMaxWeightedInflation = 20;
// Margins between the mean inflation and the threshold, in standard errors.
constexpr double kGrowMargin = 1;
constexpr double kShrinkMargin = 3;
// Margin when the window is long enough to force a decision.
constexpr double kFinalMargin = 1.5;
// Baselines are only replaced if the difference is significant.
constexpr double kRebaseMargin = 2.5;
// The mean of this many samples is accurate to 10% even if the standard
// deviation of the latency equals its mean. Each later sample gets the weight
// 1 / `kMaxBaselineSamples`, so that it replaces older ones.
constexpr int kMaxBaselineSamples = 256;
// Baselines of fewer samples are measured by a dip if a window of full length
// does not decide.
constexpr int kMinBaselineSamples = 12;
// Baselines with a larger standard error are measured by a dip before the
// limiter acts on an inflation.
constexpr double kMaxBaselineError = 0.2;
// After this many samples, outliers in a baseline are capped. The first samples
// are too uncertain to cap the following ones.
constexpr int kSamplesBeforeCap = 16;
// Bounds the entries of routes that were removed from the configuration.
constexpr std::size_t kMaxBaselines = 256;
// A dip starts after this many calls that were started at the limit.
constexpr int kDipPeriod = 300;
// Samples of a dip to half of the limit, and of a dip to 1.
constexpr int kDipSamples = 24;
constexpr int kDipToOneSamples = 8;
// The next dip starts at the earliest after this many times the length of the
// last one: dips to half of the limit then take at most a 20th of the time,
// that is 2.5% of the throughput.
constexpr int kDipSpacing = 20;
// A dip waits for all of its calls, because those that end first are the short
// ones. After this many answers of any call it ends without the remaining ones,
// so that a call that hangs does not block it.
constexpr int kMaxDipAnswers = 96;
// Two connections lost within this time count as a crash. The connections of a
// crashed process break within a few milliseconds.
constexpr duration kLossBurstWindow = milliseconds(200);
constexpr duration kMinBackoff = milliseconds(20);
constexpr duration kMaxBackoff = seconds(1);
// The limit is halved for each such period without calls, because an upstream
// may restart unnoticed while no call runs.
constexpr duration kIdleHalving = seconds(10);
// Reported load from which an upstream counts as full.
constexpr double kFullLoad = 0.95;
// A bad report caps the limit for this long.
constexpr duration kReportCapDuration = seconds(5);
// Reports are ignored for this long after enough good answers under the cap.
constexpr duration kReportsIgnoredFor = seconds(30);

double Microseconds(duration time) {
  return std::max<double>(1, static_cast<double>(time.count()));
}

}  // namespace

void slot_limiter::SetMax(int max) {
  max_ = std::max(1, max);
  limit_ = std::min(limit_, max_);
}

int slot_limiter::Limit(instant now) const {
  int limit = limit_;
  if (dip_limit_ > 0) limit = dip_limit_;
  if (report_cap_ > 0 && now < report_cap_until_) {
    limit = std::min(limit, report_cap_);
  }
  return std::max(1, limit);
}

bool slot_limiter::CanStart(instant now) const {
  return now >= backoff_until_ && in_flight_ < Limit(now);
}

std::optional<slot_limiter::ticket> slot_limiter::TryStart(instant now) {
  if (in_flight_ == 0 && limit_ > 1) {
    const auto halvings = (now - last_activity_) / kIdleHalving;
    if (halvings > 0) {
      limit_ = std::max(1, limit_ >> std::min<std::int64_t>(halvings, 16));
      window_ = {};
    }
  }
  if (!CanStart(now)) return std::nullopt;
  ++in_flight_;
  last_activity_ = now;
  ticket call;
  call.serial = next_serial_++;
  call.level = in_flight_;
  call.started = now;
  call.is_unqueued = in_flight_ <= std::max(1, limit_ / 2);
  if (in_flight_ <= dip_limit_ && dip_calls_ < DipSamples()) {
    call.is_dip = true;
    ++dip_calls_;
  }
  return call;
}

void slot_limiter::OnResult(const ticket& call, const std::string& route,
                            call_result result, instant now) {
  --in_flight_;
  last_activity_ = now;
  switch (result) {
    case call_result::kAnswered:
      OnAnswered(call, route, now);
      break;
    case call_result::kShed:
      OnShed(call, now);
      break;
    case call_result::kTimedOut:
      OnTimedOut(call, route, now);
      break;
    case call_result::kLost:
      OnConnectionLost(now);
      break;
    case call_result::kRefused:
      OnConnectionRefused(now);
      break;
    case call_result::kAbandoned:
      break;
  }
}

// Returns the baseline of the route. The first call of the route sets it,
// whatever the load; after that, only calls that were started with at most half
// of the limit in use update it.
const slot_limiter::baseline& slot_limiter::Baseline(const std::string& route,
                                                     double latency,
                                                     bool is_unqueued) {
  if (baselines_.size() >= kMaxBaselines) baselines_.clear();
  baseline& entry = baselines_[route];
  if (entry.samples == 0) {
    entry.mean = latency;
    entry.samples = 1;
  } else if (is_unqueued) {
    entry.samples = std::min(entry.samples + 1, kMaxBaselineSamples);
    if (entry.samples > kSamplesBeforeCap) {
      latency = std::min(latency, kMaxInflation * entry.mean);
    }
    entry.mean += (latency - entry.mean) / entry.samples;
  }
  return entry;
}

void slot_limiter::OnAnswered(const ticket& call, const std::string& route,
                              instant now) {
  timeouts_ = 0;
  refusals_ = 0;
  backoff_ = duration{0};
  backoff_until_ = instant{};
  if (call.serial >= first_serial_) ++answers_since_reduction_;
  // Calls of a dip update the baselines at the end of the dip.
  const bool is_dip = call.is_dip && dip_limit_ > 0;
  const double latency = Microseconds(now - call.started);
  const baseline& normal =
      Baseline(route, latency, call.is_unqueued && !is_dip);
  CountAnswerUnderCap(now);
  if (dip_limit_ > 0) {
    ++dip_answers_;
    if (is_dip) Add(&dip_, latency, normal);
    const bool is_done = dip_.samples >= DipSamples() ||
                         (dip_answers_ >= kMaxDipAnswers && dip_.samples > 0);
    if (is_done) EndDip(now);
    return;
  }
  AddSample(call, latency, normal, now);
}

void slot_limiter::Add(window* target, double latency, const baseline& normal) {
  const double inflation = std::min(latency / normal.mean, kMaxInflation);
  ++target->samples;
  target->sum += inflation;
  target->square_sum += inflation * inflation;
  target->baseline_variance_sum += 1.0 / normal.samples;
  target->latency_sum += std::min(latency, kMaxWeightedInflation * normal.mean);
  target->baseline_sum += normal.mean;
}

void slot_limiter::AddSample(const ticket& call, double latency,
                             const baseline& normal, instant now) {
  if (call.serial < first_serial_ || call.level < limit_) return;
  if (dip_limit_ > 0) return;
  Add(&window_, latency, normal);
  ++saturated_since_dip_;
  Evaluate(now);
  if (saturated_since_dip_ >= kDipPeriod && CanDip(now)) {
    StartDip(limit_ / 2, now);
  }
}

int slot_limiter::DipSamples() const {
  return dip_limit_ == 1 ? kDipToOneSamples : kDipSamples;
}

void slot_limiter::StartDip(int limit, instant now) {
  saturated_since_dip_ = 0;
  dip_limit_ = std::max(1, limit);
  dip_started_at_ = now;
  dip_calls_ = 0;
  dip_answers_ = 0;
  dip_ = {};
  window_ = {};
}

void slot_limiter::EndDip(instant now) {
  const estimate measured = Estimate(dip_);
  const double suspected = std::exchange(suspected_inflation_, 0);
  const double margin = kRebaseMargin * measured.error + kMinThreshold - 1;
  next_dip_ = now + kDipSpacing * (now - dip_started_at_);
  if (std::exchange(dip_limit_, 0) == 1) {
    if (std::abs(measured.mean - 1) > margin) {
      Rebase(measured.mean, dip_.samples);
      return;
    }
    UpdateBaselinesFromDip(measured.mean);
    if (suspected > 0) ReduceForInflation(suspected, now);
    return;
  }
  if (measured.mean - 1 <= margin) {
    UpdateBaselinesFromDip(measured.mean);
    return;
  }
  StartDip(1, now);
  suspected_inflation_ = std::max(suspected, measured.weighted);
}

void slot_limiter::UpdateBaselinesFromDip(double inflation) {
  for (auto& [route, entry] : baselines_) {
    const double total_samples = entry.samples + dip_.samples;
    entry.mean *= (entry.samples + dip_.samples * inflation) / total_samples;
    entry.samples = std::min(entry.samples + dip_.samples, kMaxBaselineSamples);
  }
}

slot_limiter::estimate slot_limiter::Estimate(const window& measured) {
  const double samples = measured.samples;
  const double variance =
      std::max(0.0, measured.square_sum / samples -
                        (measured.sum / samples) * (measured.sum / samples));
  const double baseline_variance = measured.baseline_variance_sum / samples;
  estimate result;
  result.mean = measured.sum / samples;
  result.weighted = measured.latency_sum / measured.baseline_sum;
  result.error = std::sqrt(variance * (1 / samples + baseline_variance));
  result.baseline_error = std::sqrt(variance * baseline_variance);
  result.baseline_samples = 1 / baseline_variance;
  return result;
}

// Halfway between the inflation without queueing and the inflation that one
// call too many causes.
double slot_limiter::Threshold() const {
  return std::max(kMinThreshold, 1 + 0.5 / (limit_ - 1));
}

void slot_limiter::Evaluate(instant now) {
  const int samples = window_.samples;
  if (samples < std::max(kMinWindow, limit_)) return;
  const estimate measured = Estimate(window_);
  if (limit_ == 1) {
    // No call queues at limit 1. The window shows how noisy the latency is, and
    // thereby how many calls the comparison at limit 2 needs.
    if (measured.error > kMaxColdError && samples < kMaxColdWindow) return;
    const bool is_new_normal =
        std::abs(measured.mean - 1) >
        kMinThreshold - 1 + kRebaseMargin * measured.error;
    if (is_new_normal) Rebase(measured.mean, samples);
    Grow(now);
    return;
  }
  const double threshold = Threshold();
  if (measured.mean - kShrinkMargin * measured.error > threshold) {
    CheckInflation(measured, now);
    return;
  }
  if (measured.mean + kGrowMargin * measured.error <= threshold) {
    Grow(now);
    return;
  }
  if (samples < 8 + 8 * limit_) return;
  if (measured.baseline_samples < kMinBaselineSamples) {
    StartDip(limit_ / 2, now);
  } else if (measured.mean - kFinalMargin * measured.error > threshold) {
    CheckInflation(measured, now);
  } else {
    Grow(now);
  }
}

// Reduces the limit at once if the baselines are accurate, and either the
// inflation is no larger than a probe can cause or no dip is allowed now.
// Otherwise starts a dip, which decides.
void slot_limiter::CheckInflation(const estimate& measured, instant now) {
  const bool is_certain = measured.baseline_error <= kMaxBaselineError;
  const bool is_strong =
      std::min(measured.mean, measured.weighted) >= kStrongInflation;
  if (is_certain && !(is_strong && CanDip(now))) {
    ReduceForInflation(measured.weighted, now);
    return;
  }
  StartDip(is_strong ? 1 : limit_ / 2, now);
  suspected_inflation_ = measured.weighted;
}

void slot_limiter::Grow(instant now) {
  window_ = {};
  if (limit_ >= max_) return;
  if (ceiling_ > 0 && limit_ >= ceiling_) {
    if (limit_ == ceiling_ && now < next_probe_) return;
    if (limit_ > ceiling_) {
      // The probe succeeded: the upstream has more slots than the ceiling.
      ceiling_ = 0;
      probe_interval_ = duration{0};
    }
  }
  ++limit_;
}

void slot_limiter::Reduce(int new_limit, duration probe_after, instant now) {
  limit_ = std::clamp(new_limit, 1, max_);
  ceiling_ = limit_;
  window_ = {};
  first_serial_ = next_serial_;
  answers_since_reduction_ = 0;
  next_probe_ = now + probe_after;
}

// Each failed probe costs a shed call, so the probe interval is doubled.
void slot_limiter::ReduceForShed(int new_limit, instant now) {
  probe_interval_ = std::clamp<duration>(2 * probe_interval_, kMinProbeInterval,
                                         kMaxProbeInterval);
  Reduce(new_limit, probe_interval_, now);
}

void slot_limiter::ReduceForInflation(double inflation, instant now) {
  const double min_factor =
      inflation >= kStrongInflation ? kMinStrongFactor : kMinFactor;
  const double factor = std::clamp(1 / inflation, min_factor, 1.0);
  const int new_limit = static_cast<int>(std::lround(limit_ * factor));
  Reduce(std::min(limit_ - 1, new_limit), kMinProbeInterval, now);
}

// Scales all baselines by the inflation, as measured by `samples` calls.
void slot_limiter::Rebase(double inflation, int samples) {
  for (auto& [route, entry] : baselines_) {
    entry.mean *= inflation;
    entry.samples = std::min(entry.samples, samples);
  }
  window_ = {};
}

void slot_limiter::OnTimedOut(const ticket& call, const std::string& route,
                              instant now) {
  ++timeouts_;
  if (timeouts_ > limit_) {
    ResetToCold();
    return;
  }
  const double latency = Microseconds(now - call.started);
  AddSample(call, latency, Baseline(route, latency, false), now);
}

void slot_limiter::OnShed(const ticket& call, instant now) {
  reports_ignored_until_ = instant::min();
  if (call.serial < first_serial_) return;
  if (limit_ == 1) {
    StartBackoff(now);
    ReduceForShed(1, now);
    return;
  }
  // The call was shed either because the last step exceeded the capacity by one
  // call, which is expected, or because the capacity of the upstream fell.
  const bool is_expected =
      call.level == limit_ && answers_since_reduction_ >= limit_;
  const int new_limit =
      is_expected
          ? limit_ - 1
          : static_cast<int>(kShedFactor * std::min(limit_, call.level));
  ReduceForShed(new_limit, now);
}

void slot_limiter::OnConnectionLost(instant now) {
  reports_ignored_until_ = instant::min();
  const bool is_burst =
      last_loss_ != instant::min() && now - last_loss_ <= kLossBurstWindow;
  last_loss_ = now;
  if (is_burst) ResetToCold();
}

void slot_limiter::OnConnectionRefused(instant now) {
  reports_ignored_until_ = instant::min();
  ++refusals_;
  ResetToCold();
  StartBackoff(now);
}

void slot_limiter::StartBackoff(instant now) {
  backoff_ = std::clamp<duration>(2 * backoff_, kMinBackoff, kMaxBackoff);
  backoff_until_ = now + backoff_;
}

void slot_limiter::ResetToCold() {
  limit_ = 1;
  ceiling_ = 0;
  probe_interval_ = duration{0};
  window_ = {};
  dip_limit_ = 0;
  next_dip_ = instant{};
  suspected_inflation_ = 0;
  saturated_since_dip_ = 0;
  timeouts_ = 0;
  first_serial_ = next_serial_;
  answers_since_reduction_ = 0;
}

void slot_limiter::OnReport(bool healthy, double load, instant now) {
  if (now < reports_ignored_until_) return;
  // A report of a full upstream matters only if the calls of this daemon don't
  // explain the load.
  const bool is_full = load >= kFullLoad && 2 * in_flight_ < limit_;
  if (healthy && !is_full) return;
  const bool is_capped = report_cap_ > 0 && now < report_cap_until_;
  if (!is_capped) {
    report_cap_ = std::max(1, limit_ / 2);
    answers_under_cap_ = 0;
  }
  report_cap_until_ = now + kReportCapDuration;
}

void slot_limiter::CountAnswerUnderCap(instant now) {
  if (report_cap_ == 0 || now >= report_cap_until_) return;
  ++answers_under_cap_;
  if (answers_under_cap_ < 2 * report_cap_) return;
  report_cap_ = 0;
  reports_ignored_until_ = now + kReportsIgnoredFor;
}

}  // namespace pimentohall::core
