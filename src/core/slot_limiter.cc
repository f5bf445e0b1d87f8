#include "core/slot_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pimentohall::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kShedShrink = 0.7;
constexpr double kLeastFactor = 0.7;
// Noise alone does not double the latency of a whole window.
constexpr double kStrongInflation = 2;
constexpr double kStrongFactor = 0.5;
constexpr duration kMinProbeInterval = milliseconds(500);
// At 10 slots of 20 ms a failed probe each 8 s is 1 shed call in 4,000.
constexpr duration kMaxProbeInterval = seconds(8);
// Fewer answers than this say nothing about the spread of the latency.
constexpr int kMinWindow = 4;
constexpr int kMaxColdWindow = 16;
constexpr double kColdError = 0.3;
// Two calls more than 10 slots cost little; a lower threshold would take noise
// for waiting.
constexpr double kMinThreshold = 1.2;
// A call that hangs must not outweigh all others in its window.
constexpr double kMaxInflation = 4;
// The size of a reduction needs the inflation of an upstream that fell from 10
// slots to 1.
constexpr double kMaxWeighted = 20;
// Standard errors between the mean and the threshold.
constexpr double kGrowMargin = 1;
constexpr double kShrinkMargin = 3;
// Margin when the window is long enough for a decision.
constexpr double kLastMargin = 1.5;
// A new normal must differ from the old one beyond doubt.
constexpr double kRebaseMargin = 2.5;
// The mean of so many samples is good to 10% even if the latency spreads as
// widely as its mean; later ones replace the older with this weight.
constexpr int kMaxBaselineSamples = 256;
constexpr int kThinBaselineSamples = 12;
// Baselines that are less certain are measured before an inflation is believed.
constexpr double kBaselineError = 0.2;
// The first samples must not limit the following ones.
constexpr int kSamplesBeforeCap = 16;
// Routes come from the configuration, but removed ones would stay.
constexpr std::size_t kMaxBaselines = 256;
constexpr int kDipPeriod = 300;
constexpr int kDipSamples = 24;
constexpr int kDipToOneSamples = 8;
// Dips take at most a 20th of the time, that is 2.5% of the throughput.
constexpr int kDipSpacing = 20;
// A dip waits for all of its calls, since those that end first are the short
// ones, but not for one that hangs.
constexpr int kMaxDipAnswers = 96;
// Connections of a crashed process break within a few milliseconds.
constexpr duration kLostTogether = milliseconds(200);
constexpr duration kMinPause = milliseconds(20);
constexpr duration kMaxPause = seconds(1);
// An upstream may restart unnoticed while no call runs.
constexpr duration kIdleHalving = seconds(10);
constexpr double kFullLoad = 0.95;
constexpr duration kReportCap = seconds(5);
constexpr duration kReportsIgnored = seconds(30);

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

bool slot_limiter::HasRoom(instant now) const {
  return now >= paused_until_ && in_flight_ < Limit(now);
}

std::optional<slot_limiter::ticket> slot_limiter::TryStart(instant now) {
  if (in_flight_ == 0 && limit_ > 1) {
    const auto halvings = (now - last_activity_) / kIdleHalving;
    if (halvings > 0) {
      limit_ = std::max(1, limit_ >> std::min<std::int64_t>(halvings, 16));
      window_ = {};
    }
  }
  if (!HasRoom(now)) return std::nullopt;
  ++in_flight_;
  last_activity_ = now;
  ticket call;
  call.serial = next_serial_++;
  call.level = in_flight_;
  call.started = now;
  call.is_unqueued = in_flight_ <= std::max(1, limit_ / 2);
  if (in_flight_ <= dip_limit_ && dip_started_ < DipSamples()) {
    call.is_dip = true;
    ++dip_started_;
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
      OnLost(now);
      break;
    case call_result::kRefused:
      OnRefused(now);
      break;
    case call_result::kAbandoned:
      break;
  }
}

// The latency to compare with. Calls that found few others in flight set it.
const slot_limiter::baseline& slot_limiter::Baseline(const std::string& route,
                                                     double latency,
                                                     bool is_unqueued) {
  if (baselines_.size() >= kMaxBaselines) baselines_.clear();
  baseline& known = baselines_[route];
  if (known.samples == 0) {
    known.mean = latency;
    known.samples = 1;
  } else if (is_unqueued) {
    known.samples = std::min(known.samples + 1, kMaxBaselineSamples);
    if (known.samples > kSamplesBeforeCap) {
      latency = std::min(latency, kMaxInflation * known.mean);
    }
    known.mean += (latency - known.mean) / known.samples;
  }
  return known;
}

void slot_limiter::OnAnswered(const ticket& call, const std::string& route,
                              instant now) {
  timeouts_ = 0;
  refusals_ = 0;
  pause_ = duration{0};
  paused_until_ = instant{};
  if (call.serial >= first_serial_) ++answers_since_reduction_;
  // Calls of a dip are taken over at its end.
  const bool is_dip = call.is_dip && dip_limit_ > 0;
  const double latency = Microseconds(now - call.started);
  const baseline& normal =
      Baseline(route, latency, call.is_unqueued && !is_dip);
  CountGoodUnderCap(now);
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

void slot_limiter::Add(window* to, double latency, const baseline& normal) {
  const double inflation = std::min(latency / normal.mean, kMaxInflation);
  ++to->samples;
  to->sum += inflation;
  to->square_sum += inflation * inflation;
  to->baseline_variance_sum += 1.0 / normal.samples;
  to->latency_sum += std::min(latency, kMaxWeighted * normal.mean);
  to->baseline_sum += normal.mean;
}

void slot_limiter::AddSample(const ticket& call, double latency,
                             const baseline& normal, instant now) {
  if (call.serial < first_serial_ || call.level < limit_) return;
  if (dip_limit_ > 0) return;
  Add(&window_, latency, normal);
  ++saturated_since_dip_;
  Evaluate(now);
  if (saturated_since_dip_ >= kDipPeriod && MayDip(now)) {
    StartDip(limit_ / 2, now);
  }
}

int slot_limiter::DipSamples() const {
  return dip_limit_ == 1 ? kDipToOneSamples : kDipSamples;
}

void slot_limiter::StartDip(int limit, instant now) {
  saturated_since_dip_ = 0;
  dip_limit_ = std::max(1, limit);
  dip_since_ = now;
  dip_started_ = 0;
  dip_answers_ = 0;
  dip_ = {};
  window_ = {};
}

void slot_limiter::EndDip(instant now) {
  const estimate seen = Estimate(dip_);
  const double suspected = std::exchange(suspected_inflation_, 0);
  const double margin = kRebaseMargin * seen.error + kMinThreshold - 1;
  next_dip_ = now + kDipSpacing * (now - dip_since_);
  if (std::exchange(dip_limit_, 0) == 1) {
    if (std::abs(seen.mean - 1) > margin) {
      Rebase(seen.mean, dip_.samples);
      return;
    }
    TakeDipAsNormal(seen.mean);
    if (suspected > 0) OnInflated(suspected, now);
    return;
  }
  if (seen.mean - 1 <= margin) {
    TakeDipAsNormal(seen.mean);
    return;
  }
  StartDip(1, now);
  suspected_inflation_ = std::max(suspected, seen.weighted);
}

void slot_limiter::TakeDipAsNormal(double inflation) {
  for (auto& [route, known] : baselines_) {
    const double all = known.samples + dip_.samples;
    known.mean *= (known.samples + dip_.samples * inflation) / all;
    known.samples = std::min(known.samples + dip_.samples, kMaxBaselineSamples);
  }
}

slot_limiter::estimate slot_limiter::Estimate(const window& from) {
  const double samples = from.samples;
  const double variance =
      std::max(0.0, from.square_sum / samples -
                        (from.sum / samples) * (from.sum / samples));
  const double baseline_variance = from.baseline_variance_sum / samples;
  estimate result;
  result.mean = from.sum / samples;
  result.weighted = from.latency_sum / from.baseline_sum;
  result.error = std::sqrt(variance * (1 / samples + baseline_variance));
  result.baseline_error = std::sqrt(variance * baseline_variance);
  result.baseline_samples = 1 / baseline_variance;
  return result;
}

// Halfway between no waiting and the waiting that one call too many causes.
double slot_limiter::Threshold() const {
  return std::max(kMinThreshold, 1 + 0.5 / (limit_ - 1));
}

void slot_limiter::Evaluate(instant now) {
  const int samples = window_.samples;
  if (samples < std::max(kMinWindow, limit_)) return;
  const estimate seen = Estimate(window_);
  if (limit_ == 1) {
    // Nothing waits at limit 1. The window shows how noisy the latency is, and
    // by that how many calls the comparison at limit 2 needs.
    if (seen.error > kColdError && samples < kMaxColdWindow) return;
    const bool is_new_normal = std::abs(seen.mean - 1) >
                               kMinThreshold - 1 + kRebaseMargin * seen.error;
    if (is_new_normal) Rebase(seen.mean, samples);
    Grow(now);
    return;
  }
  const double threshold = Threshold();
  if (seen.mean - kShrinkMargin * seen.error > threshold) {
    CheckInflation(seen, now);
    return;
  }
  if (seen.mean + kGrowMargin * seen.error <= threshold) {
    Grow(now);
    return;
  }
  if (samples < 8 + 8 * limit_) return;
  if (seen.baseline_samples < kThinBaselineSamples) {
    StartDip(limit_ / 2, now);
  } else if (seen.mean - kLastMargin * seen.error > threshold) {
    CheckInflation(seen, now);
  } else {
    Grow(now);
  }
}

// Believes an inflation at once if it is clear and no larger than a probe
// causes; else a dip decides.
void slot_limiter::CheckInflation(const estimate& seen, instant now) {
  const bool is_certain = seen.baseline_error <= kBaselineError;
  const bool is_strong = std::min(seen.mean, seen.weighted) >= kStrongInflation;
  if (is_certain && !(is_strong && MayDip(now))) {
    OnInflated(seen.weighted, now);
    return;
  }
  StartDip(is_strong ? 1 : limit_ / 2, now);
  suspected_inflation_ = seen.weighted;
}

void slot_limiter::Grow(instant now) {
  window_ = {};
  if (limit_ >= max_) return;
  if (ceiling_ > 0 && limit_ >= ceiling_) {
    if (limit_ == ceiling_ && now < next_probe_) return;
    if (limit_ > ceiling_) {
      // The probe found room.
      ceiling_ = 0;
      probe_interval_ = duration{0};
    }
  }
  ++limit_;
}

void slot_limiter::Reduce(int to, duration probe_after, instant now) {
  limit_ = std::clamp(to, 1, max_);
  ceiling_ = limit_;
  window_ = {};
  first_serial_ = next_serial_;
  answers_since_reduction_ = 0;
  next_probe_ = now + probe_after;
}

// A failed probe costs a shed call, so probes become rare.
void slot_limiter::ReduceForShed(int to, instant now) {
  probe_interval_ = std::clamp<duration>(2 * probe_interval_, kMinProbeInterval,
                                         kMaxProbeInterval);
  Reduce(to, probe_interval_, now);
}

void slot_limiter::OnInflated(double inflation, instant now) {
  const double least =
      inflation >= kStrongInflation ? kStrongFactor : kLeastFactor;
  const double factor = std::clamp(1 / inflation, least, 1.0);
  const int to = static_cast<int>(std::lround(limit_ * factor));
  Reduce(std::min(limit_ - 1, to), kMinProbeInterval, now);
}

// Makes the inflated latency the normal one, as measured by `samples` calls.
void slot_limiter::Rebase(double inflation, int samples) {
  for (auto& [route, known] : baselines_) {
    known.mean *= inflation;
    known.samples = std::min(known.samples, samples);
  }
  window_ = {};
}

void slot_limiter::OnTimedOut(const ticket& call, const std::string& route,
                              instant now) {
  ++timeouts_;
  if (timeouts_ > limit_) {
    FallCold();
    return;
  }
  const double latency = Microseconds(now - call.started);
  AddSample(call, latency, Baseline(route, latency, false), now);
}

void slot_limiter::OnShed(const ticket& call, instant now) {
  reports_ignored_until_ = instant::min();
  if (call.serial < first_serial_) return;
  if (limit_ == 1) {
    Pause(now);
    ReduceForShed(1, now);
    return;
  }
  // Shed by one call above what the upstream just bore, or by a change of the
  // upstream.
  const bool is_expected =
      call.level == limit_ && answers_since_reduction_ >= limit_;
  const int to =
      is_expected
          ? limit_ - 1
          : static_cast<int>(kShedShrink * std::min(limit_, call.level));
  ReduceForShed(to, now);
}

void slot_limiter::OnLost(instant now) {
  reports_ignored_until_ = instant::min();
  const bool is_together =
      last_lost_ != instant::min() && now - last_lost_ <= kLostTogether;
  last_lost_ = now;
  if (is_together) FallCold();
}

void slot_limiter::OnRefused(instant now) {
  reports_ignored_until_ = instant::min();
  ++refusals_;
  FallCold();
  Pause(now);
}

void slot_limiter::Pause(instant now) {
  pause_ = std::clamp<duration>(2 * pause_, kMinPause, kMaxPause);
  paused_until_ = now + pause_;
}

void slot_limiter::FallCold() {
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
  // A full upstream is news only if the calls from here don't explain it.
  const bool is_full = load >= kFullLoad && 2 * in_flight_ < limit_;
  if (healthy && !is_full) return;
  const bool is_capped = report_cap_ > 0 && now < report_cap_until_;
  if (!is_capped) {
    report_cap_ = std::max(1, limit_ / 2);
    good_under_cap_ = 0;
  }
  report_cap_until_ = now + kReportCap;
}

void slot_limiter::CountGoodUnderCap(instant now) {
  if (report_cap_ == 0 || now >= report_cap_until_) return;
  ++good_under_cap_;
  if (good_under_cap_ < 2 * report_cap_) return;
  report_cap_ = 0;
  reports_ignored_until_ = now + kReportsIgnored;
}

}  // namespace pimentohall::core
