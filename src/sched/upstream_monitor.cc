#include <algorithm>
#include <cmath>

#include "pimentohall/sched.h"

namespace pimentohall::sched {
namespace {

// Bounds the memory. With `kMinPaceGap`, the samples cover more than a second;
// before that, the pace is taken as usual.
constexpr std::size_t kMaxPaces = 64;
constexpr duration kMinPaceGap = std::chrono::milliseconds(20);
constexpr std::size_t kMaxAbandoned = 64;
constexpr double kPercent = 100;

// A trial that takes more than this multiple of its expected time has waited.
constexpr double kTrialMargin = 1.5;

double Seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

// Share that is left of a value after `age`.
double Decay(duration age, duration half_life) {
  return std::exp2(-std::max(0.0, Seconds(age)) / Seconds(half_life));
}

bool IsCount(const std::optional<int>& value) {
  // Far above what one upstream can hold.
  constexpr int kMaxCount = 100'000;
  return value && *value >= 0 && *value <= kMaxCount;
}

}  // namespace

bool operator==(const upstream_report& a, const upstream_report& b) {
  return a.running == b.running && a.waiting == b.waiting &&
         a.slots == b.slots && a.pace_percent == b.pace_percent;
}

double DecayedPace(double pace, duration age) {
  constexpr double kMin = kMinPacePercent / kPercent;
  constexpr double kMax = kMaxPacePercent / kPercent;
  // False for a pace that isn't a number too.
  if (!(pace >= kMin && pace <= kMax)) return 1;
  return 1 + (pace - 1) * Decay(age, kPaceHalfLife);
}

void upstream_monitor::OnReport(const upstream_report& report, int own_running,
                                instant now) {
  if (report.pace_percent && *report.pace_percent >= kMinPacePercent &&
      *report.pace_percent <= kMaxPacePercent) {
    RecordPace(*report.pace_percent / kPercent, now);
  }
  if (!IsCount(report.running) || !IsCount(report.waiting)) return;
  // An upstream doesn't run more calls than it has slots.
  if (IsCount(report.slots) && *report.running > *report.slots) return;
  const int excess =
      std::max(0, *report.running + *report.waiting - own_running);
  // Answers that are read late and out of order show calls that have ended
  // since. So an excess counts as far as the report before it or the calls
  // cancelled since then explain it.
  const bool has_previous =
      counted_at_ && now - *counted_at_ <= kHiddenHalfLife;
  hidden_ =
      std::min(excess, std::max(has_previous ? excess_ : 0, HiddenCalls(now)));
  excess_ = excess;
  slots_ = IsCount(report.slots) ? *report.slots : 0;
  counted_at_ = now;
  abandoned_.clear();
}

void upstream_monitor::OnStarted(int slots, instant now) {
  if (Room(slots, now) <= 0) trial_at_ = now;
  started_at_ = now;
}

void upstream_monitor::EndTrial(duration took, duration expected, instant now) {
  if (now - took != trial_at_) return;
  trial_at_.reset();
  // Work varies, so one long trial doesn't prove the counts.
  if (took > kTrialMargin * expected) {
    doubt_ /= 2;
    return;
  }
  doubt_ = std::clamp(2 * doubt_, duration(kMinDoubt), duration(kMaxDoubt));
  doubted_until_ = now + doubt_;
}

void upstream_monitor::OnAbandoned(instant now) {
  abandoned_.push_back(now);
  if (abandoned_.size() > kMaxAbandoned) abandoned_.pop_front();
}

void upstream_monitor::RecordPace(double pace, instant now) {
  if (paces_.empty() || now - paces_.back().at >= kMinPaceGap) {
    paces_.push_back({now, pace, DoneS(now)});
    if (paces_.size() > kMaxPaces) paces_.pop_front();
  }
  pace_ = pace;
  paced_at_ = now;
}

// Work done until `at`, from an arbitrary start.
double upstream_monitor::DoneS(instant at) const {
  if (paces_.empty()) return Seconds(at.time_since_epoch());
  if (at < paces_.front().at) {
    return paces_.front().done_s - Seconds(paces_.front().at - at);
  }
  auto after = std::upper_bound(
      paces_.begin(), paces_.end(), at,
      [](instant time, const pace_sample& each) { return time < each.at; });
  const pace_sample& from = *std::prev(after);
  const duration since = at - from.at;
  // The integral of 1 / `DecayedPace` over that time.
  const double end_pace = DecayedPace(from.pace, since);
  const double time_constant_s = Seconds(kPaceHalfLife) / std::log(2.0);
  return from.done_s + Seconds(since) +
         time_constant_s * std::log(end_pace / from.pace);
}

double upstream_monitor::RunWeight(instant now) const {
  return Decay(now - run_at_, kRunHalfLife);
}

void upstream_monitor::OnRun(duration took, duration expected_work,
                             instant now) {
  if (took.count() <= 0 || expected_work.count() <= 0) return;
  const double speed = Speed(now);
  const bool is_trial = now - took == trial_at_;
  EndTrial(took,
           std::chrono::duration_cast<duration>(expected_work * speed *
                                                std::max(1.0, Pace(now))),
           now);
  // A trial may have waited inside the upstream, which isn't speed. Learned as
  // speed, it would make the next trials look short.
  if (is_trial) return;
  const double work_s = DoneS(now) - DoneS(now - took);
  const double ratio = std::clamp(work_s / Seconds(expected_work),
                                  speed / kMaxRunRatio, speed * kMaxRunRatio);
  double weight = RunWeight(now);
  weight = std::min(weight, (kMaxRuns - 1) / std::max(1.0, runs_));
  runs_ = runs_ * weight + 1;
  ratio_sum_ = ratio_sum_ * weight + ratio;
  run_at_ = now;
}

double upstream_monitor::Speed(instant now) const {
  const double weight = RunWeight(now);
  return (kUsualRuns + ratio_sum_ * weight) / (kUsualRuns + runs_ * weight);
}

double upstream_monitor::Pace(instant now) const {
  return DecayedPace(pace_, now - paced_at_);
}

int upstream_monitor::HiddenCalls(instant now) const {
  if (!counted_at_ || now - *counted_at_ > kReportMemory) return 0;
  if (now < doubted_until_) return 0;
  const double reported = hidden_ * Decay(now - *counted_at_, kHiddenHalfLife);
  const auto abandoned =
      std::count_if(abandoned_.begin(), abandoned_.end(),
                    [now](instant at) { return now - at <= kAbandonedMemory; });
  return static_cast<int>(std::lround(reported)) + static_cast<int>(abandoned);
}

duration upstream_monitor::HiddenWork(duration usual, int slots,
                                      instant now) const {
  const int hidden = HiddenCalls(now);
  // Those that run are half done, the others wait inside the upstream.
  const int running = std::min(hidden, std::max(0, slots));
  return usual * (hidden - running) + usual * running / 2;
}

int upstream_monitor::Room(int slots, instant now) const {
  const bool limits = counted_at_ && now - *counted_at_ <= kReportMemory &&
                      slots_ > 0 && slots_ < slots;
  const int room = limits ? slots_ : slots;
  return room - HiddenCalls(now);
}

int upstream_monitor::UsableSlots(int slots, instant now) const {
  const int room = Room(slots, now);
  if (room > 0 || slots <= 0) return std::max(0, room);
  return now - started_at_ >= kTrialPeriod ? 1 : 0;
}

}  // namespace pimentohall::sched
