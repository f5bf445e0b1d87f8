#include <algorithm>
#include <cmath>

#include "pimentohall/mesh.h"

namespace pimentohall::mesh {
namespace {

// Weight of the newest outcome in the share of failures.
constexpr double kFailureWeight = 0.15;
// An upstream's failures are forgotten by half in this time, so that it is
// tried again.
constexpr double kFailureHalfLifeS = 2.0;
// A failure costs the caller about this many usual call times.
constexpr double kFailureCost = 6;
// Crossing zones costs this much of the score, for the way and the bytes.
constexpr double kFarMs = 3;
constexpr double kFarShare = 0.5;  // Of the call's usual time.
// Candidates whose score is within this part of the call's usual time of the
// best are drawn from. The better one of two is taken: what is known of them is
// as old as the news, and if all daemons took the best, it would be overrun
// before the next news.
constexpr double kDrawShare = 0.2;
// A cold upstream is slow.
constexpr double kColdFactor = 2;
// Upstreams slow down when nearly full; spread calls before that.
constexpr double kCrowding = 0.35;

}  // namespace

std::uint64_t target_picker::Random() {
  random_ ^= random_ << 13;
  random_ ^= random_ >> 7;
  random_ ^= random_ << 17;
  return random_;
}

void target_picker::OnNews(const load_news& news, instant now) {
  state& at = states_[news.upstream];
  at.last = news;
  at.told_at = now;
  at.sent_since = 0;
}

void target_picker::OnSent(const std::string& id) { ++states_[id].sent_since; }

void target_picker::OnDone(const std::string& id, bool failed, instant now) {
  state& at = states_[id];
  at.failure_share = FailureShare(at, now) * (1 - kFailureWeight) +
                     (failed ? kFailureWeight : 0);
  at.failed_at = now;
}

void target_picker::OnRefused(const std::string& id, duration pause,
                              instant now) {
  state& at = states_[id];
  at.paused_until = std::max(at.paused_until, now + pause);
}

double target_picker::FailureShare(const state& of, instant now) const {
  const std::chrono::duration<double> age = now - of.failed_at;
  return of.failure_share * std::exp2(-age.count() / kFailureHalfLifeS);
}

double target_picker::ScoreMs(const candidate& of, duration typical,
                              instant now) const {
  const double typical_ms =
      std::chrono::duration<double, std::milli>(typical).count();
  const auto found = states_.find(of.id);
  const state unknown;
  const state& at = found == states_.end() ? unknown : found->second;
  const double slots =
      std::max(1, at.last.slots > 0 ? at.last.slots : of.slots);
  double call_ms = typical_ms * std::max(0.1, at.last.slowness);
  if (of.is_cold) call_ms *= kColdFactor;
  const double taken = at.last.running + at.last.queued + at.sent_since;
  const double over = std::max(0.0, taken + 1 - slots);
  const double wait_ms =
      over > 0 ? std::max(at.last.backlog_ms, over / slots * call_ms) : 0;
  const double crowded = std::min(1.0, taken / slots);
  return wait_ms + call_ms * (1 + kCrowding * crowded * crowded) +
         kFailureCost * typical_ms * FailureShare(at, now) +
         (of.is_near ? 0 : kFarMs + kFarShare * typical_ms);
}

std::optional<std::size_t> target_picker::Pick(
    const std::vector<candidate>& candidates,
    const std::vector<std::string>& tried, duration typical, instant now) {
  std::vector<std::pair<double, std::size_t>> scored;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const std::string& id = candidates[i].id;
    if (std::find(tried.begin(), tried.end(), id) != tried.end()) continue;
    const auto found = states_.find(id);
    if (found != states_.end() && found->second.paused_until > now) continue;
    scored.emplace_back(ScoreMs(candidates[i], typical, now), i);
  }
  if (scored.empty()) return std::nullopt;
  std::sort(scored.begin(), scored.end());
  const double typical_ms =
      std::chrono::duration<double, std::milli>(typical).count();
  const double limit = scored.front().first + kDrawShare * typical_ms;
  std::size_t drawn = 1;
  while (drawn < scored.size() && scored[drawn].first <= limit) ++drawn;
  return scored[std::min(Random() % drawn, Random() % drawn)].second;
}

void time_estimator::Observe(const std::string& key, duration took,
                             instant now) {
  constexpr int kWeightAfter = 20;  // Calls; a running mean before that.
  mean& at = means_[key];
  at.count = std::min(at.count + 1, kWeightAfter);
  const double ms = std::chrono::duration<double, std::milli>(took).count();
  at.ms += (ms - at.ms) / at.count;
  at.at = now;
}

duration time_estimator::Expect(const std::string& key, duration fallback,
                                instant now) const {
  const auto found = means_.find(key);
  if (found == means_.end()) return fallback;
  const std::chrono::duration<double> age = now - found->second.at;
  const double weight = std::exp2(-age.count() / kHalfLifeS);
  const double other =
      std::chrono::duration<double, std::milli>(fallback).count();
  const double ms = other + (found->second.ms - other) * weight;
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(ms));
}

}  // namespace pimentohall::mesh
