#include "core/slot_limiter.h"

#include <algorithm>
#include <cmath>

namespace pimentohall::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kShrink = 0.7;
constexpr duration kMinProbeInterval = milliseconds(500);
// At 10 slots of 20 ms a failed probe each 8 s is 1 shed call in 4,000.
constexpr duration kMaxProbeInterval = seconds(8);
// Fewer answers than this say nothing about the spread of the latency.
constexpr int kMinWindow = 4;
// An inflation of 1.15 lies between one call more than 10 slots (1.1), which
// costs little, and one more than 6 (1.17).
constexpr double kMinThreshold = 1.15;
// A call that hangs must not outweigh all others in its window.
constexpr double kMaxInflation = 4;
// Standard errors between the mean and the threshold.
constexpr double kGrowMargin = 1;
constexpr double kShrinkMargin = 2;
constexpr double kBaselineGain = 1.0 / 32;
// A cold upstream answers slowly at first; at limit 1 nothing waits, so the
// latency there is followed faster.
constexpr double kColdBaselineGain = 1.0 / 8;
// Routes come from the configuration, but removed ones would stay.
constexpr std::size_t kMaxBaselines = 256;
// Half of the limit for 16 calls in 1,000 costs less than 2% of throughput.
constexpr int kDipPeriod = 1000;
constexpr int kDipSamples = 16;
constexpr int kMinLimitForDip = 4;
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
  if (dip_samples_ > 0) limit /= 2;
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
  return ticket{next_serial_++, in_flight_, now};
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
double slot_limiter::RouteLatency(const std::string& route, double latency,
                                  bool is_unqueued) {
  if (baselines_.size() >= kMaxBaselines) baselines_.clear();
  baseline& known = baselines_[route];
  if (known.samples == 0) {
    known.mean = latency;
    known.samples = 1;
    return latency;
  }
  if (is_unqueued) {
    const double gain = limit_ == 1 ? kColdBaselineGain : kBaselineGain;
    ++known.samples;
    known.mean += std::max(gain, 1.0 / known.samples) * (latency - known.mean);
  }
  return known.mean;
}

void slot_limiter::OnAnswered(const ticket& call, const std::string& route,
                              instant now) {
  timeouts_ = 0;
  refusals_ = 0;
  pause_ = duration{0};
  paused_until_ = instant{};
  if (call.serial >= first_serial_) ++answers_since_reduction_;
  const bool is_unqueued = call.level <= std::max(1, limit_ / 2);
  if (is_unqueued && dip_samples_ > 0) --dip_samples_;
  const double latency = Microseconds(now - call.started);
  const double normal = RouteLatency(route, latency, is_unqueued);
  CountGoodUnderCap(now);
  AddSample(call, latency / normal, now);
}

void slot_limiter::AddSample(const ticket& call, double inflation,
                             instant now) {
  if (call.serial < first_serial_ || call.level < limit_) return;
  inflation = std::min(inflation, kMaxInflation);
  ++window_.samples;
  window_.sum += inflation;
  window_.square_sum += inflation * inflation;
  ++saturated_since_dip_;
  Evaluate(now);
  StartDipIfDue();
}

void slot_limiter::StartDipIfDue() {
  if (saturated_since_dip_ < kDipPeriod || limit_ < kMinLimitForDip) return;
  saturated_since_dip_ = 0;
  dip_samples_ = kDipSamples;
}

// Halfway between no waiting and the waiting that one call too many causes.
double slot_limiter::Threshold() const {
  return std::max(kMinThreshold, 1 + 0.5 / (limit_ - 1));
}

void slot_limiter::Evaluate(instant now) {
  const int samples = window_.samples;
  if (samples < std::max(kMinWindow, limit_)) return;
  if (limit_ == 1) {
    Grow(now);
    return;
  }
  const double mean = window_.sum / samples;
  const double variance =
      std::max(0.0, window_.square_sum / samples - mean * mean);
  const double error = std::sqrt(variance / samples);
  const bool is_last_chance = samples >= 20 + 10 * limit_;
  const double threshold = Threshold();
  if (mean - kShrinkMargin * error > threshold ||
      (is_last_chance && mean > threshold)) {
    OnInflated(mean, now);
  } else if (mean + kGrowMargin * error <= threshold || is_last_chance) {
    Grow(now);
  }
}

void slot_limiter::Grow(instant now) {
  window_ = {};
  reduction_ = {};
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

void slot_limiter::Reduce(int to, instant now) {
  limit_ = std::clamp(to, 1, max_);
  ceiling_ = limit_;
  window_ = {};
  first_serial_ = next_serial_;
  answers_since_reduction_ = 0;
  probe_interval_ = std::clamp<duration>(2 * probe_interval_, kMinProbeInterval,
                                         kMaxProbeInterval);
  next_probe_ = now + probe_interval_;
}

void slot_limiter::OnInflated(double inflation, instant now) {
  const reduction last = reduction_;
  if (last.from > limit_) {
    // With waiting as the cause, the inflation would have shrunk like the
    // limit.
    const double expected = last.inflation * limit_ / last.from;
    if (inflation > (expected + last.inflation) / 2) {
      Rebase(inflation);
      limit_ = last.from;
      ceiling_ = 0;
      return;
    }
  }
  const int from = limit_;
  const double factor = std::max(kShrink, 1 / inflation);
  const int to = static_cast<int>(std::lround(from * factor));
  Reduce(std::min(from - 1, to), now);
  reduction_ = {from, inflation};
}

void slot_limiter::Rebase(double inflation) {
  for (auto& [route, known] : baselines_) known.mean *= inflation;
  window_ = {};
  reduction_ = {};
}

void slot_limiter::OnTimedOut(const ticket& call, const std::string& route,
                              instant now) {
  ++timeouts_;
  if (timeouts_ > limit_) {
    FallCold();
    return;
  }
  const double latency = Microseconds(now - call.started);
  AddSample(call, latency / RouteLatency(route, latency, false), now);
}

void slot_limiter::OnShed(const ticket& call, instant now) {
  reports_ignored_until_ = instant::min();
  if (call.serial < first_serial_) return;
  if (limit_ == 1) {
    Pause(now);
    Reduce(1, now);
    return;
  }
  // Shed by one call above what the upstream just bore, or by a change of the
  // upstream.
  const bool is_expected =
      call.level == limit_ && answers_since_reduction_ >= limit_;
  const int to = is_expected
                     ? limit_ - 1
                     : static_cast<int>(kShrink * std::min(limit_, call.level));
  Reduce(to, now);
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
  reduction_ = {};
  dip_samples_ = 0;
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
