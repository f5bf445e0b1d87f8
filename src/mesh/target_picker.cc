#include <algorithm>
#include <cmath>

#include "pimentohall/mesh.h"

namespace pimentohall::mesh {
namespace {

// Weight of the newest outcome in the moving average of failures.
constexpr double kFailureWeight = 0.15;
// An upstream's failure share halves in this time, so that it is tried again.
constexpr double kFailureHalfLifeS = 2.0;
// Cost of a failure to the caller, in usual call durations.
constexpr double kFailureCost = 6;
// Score of a call to another zone, for the latency and the traffic between
// zones.
constexpr double kFarMs = 3;
constexpr double kFarShare = 0.5;  // Of the call's usual duration.
// And for each kilobyte that the call carries: traffic between zones is
// expensive, and its links are shared.
constexpr double kFarMsPerKb = 5;
// Weight of the newest call in the moving average of the transit time.
constexpr double kTransitWeight = 0.3;
// The mean transit time halves in this time without calls, so that an upstream
// behind a link that was full is tried again.
constexpr double kTransitHalfLifeS = 1.0;
// A call of this many kilobytes counts the transit time twice: it delays the
// calls behind it on the link as much as it is delayed itself.
constexpr double kTransitKb = 10;
// Two candidates are drawn at random from those whose score is within this
// share of the call's usual duration of the best score, and the better of the
// two is used. Loads are only as recent as the last news: if all daemons used
// the best upstream, it would be overloaded before the next news.
constexpr double kDrawShare = 0.2;
// A cold upstream takes this many times as long for a call.
constexpr double kColdFactor = 2;
// Upstreams slow down when nearly full. This spreads calls before that: a call
// to a full upstream costs this share of its duration more.
constexpr double kUtilisationCost = 0.35;

}  // namespace

std::uint64_t target_picker::Random() {
  random_ ^= random_ << 13;
  random_ ^= random_ >> 7;
  random_ ^= random_ << 17;
  return random_;
}

void target_picker::OnNews(const load_news& news, instant now) {
  state& target = states_[news.upstream];
  target.last = news;
  target.reported_at = now;
  target.sent_since = 0;
}

void target_picker::OnSent(const std::string& id) { ++states_[id].sent_since; }

void target_picker::OnDone(const std::string& id, bool failed, instant now) {
  state& target = states_[id];
  target.failure_share = FailureShare(target, now) * (1 - kFailureWeight) +
                         (failed ? kFailureWeight : 0);
  target.failed_at = now;
}

void target_picker::OnRefused(const std::string& id, duration backoff,
                              instant now) {
  state& target = states_[id];
  target.backoff_until = std::max(target.backoff_until, now + backoff);
}

double target_picker::FailureShare(const state& target, instant now) const {
  const std::chrono::duration<double> age = now - target.failed_at;
  return target.failure_share * std::exp2(-age.count() / kFailureHalfLifeS);
}

void target_picker::OnTransit(const std::string& id, duration transit,
                              instant now) {
  state& target = states_[id];
  const double ms = std::chrono::duration<double, std::milli>(transit).count();
  target.transit_ms =
      TransitMs(target, now) * (1 - kTransitWeight) + ms * kTransitWeight;
  target.transit_at = now;
}

double target_picker::TransitMs(const state& target, instant now) const {
  const std::chrono::duration<double> age = now - target.transit_at;
  return target.transit_ms * std::exp2(-age.count() / kTransitHalfLifeS);
}

// Expected time until the upstream starts a call that is sent now.
double target_picker::WaitMs(const state& target, double slots,
                             double call_ms) {
  const double load =
      target.last.running + target.last.queued + target.sent_since;
  const double excess = std::max(0.0, load + 1 - slots);
  return excess > 0 ? std::max(target.last.backlog_ms, excess / slots * call_ms)
                    : 0;
}

std::optional<duration> target_picker::LeastWait(
    const std::vector<candidate>& candidates, duration typical,
    instant now) const {
  const double typical_ms =
      std::chrono::duration<double, std::milli>(typical).count();
  std::optional<double> least;
  for (const candidate& each : candidates) {
    const auto found = states_.find(each.id);
    if (found == states_.end()) return duration{0};
    const state& known = found->second;
    const double slots =
        std::max(1, known.last.slots > 0 ? known.last.slots : each.slots);
    const double backoff_ms =
        std::chrono::duration<double, std::milli>(known.backoff_until - now)
            .count();
    const double wait_ms = std::max(
        backoff_ms,
        WaitMs(known, slots, typical_ms * std::max(0.1, known.last.slowness)));
    least = std::min(least.value_or(wait_ms), wait_ms);
  }
  if (!least) return std::nullopt;
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(*least));
}

double target_picker::ScoreMs(const candidate& target, const call_profile& call,
                              instant now) const {
  constexpr double kBytesPerKb = 1000;
  const double typical_ms =
      std::chrono::duration<double, std::milli>(call.typical).count();
  const auto found = states_.find(target.id);
  const state unknown;
  const state& known = found == states_.end() ? unknown : found->second;
  const double slots =
      std::max(1, known.last.slots > 0 ? known.last.slots : target.slots);
  double call_ms = typical_ms * std::max(0.1, known.last.slowness);
  if (target.is_cold) call_ms *= kColdFactor;
  const double load = known.last.running + known.last.queued + known.sent_since;
  const double wait_ms = WaitMs(known, slots, call_ms);
  const double utilisation = std::min(1.0, load / slots);
  return wait_ms +
         call_ms * (1 + kUtilisationCost * utilisation * utilisation) +
         kFailureCost * typical_ms * FailureShare(known, now) +
         TransitMs(known, now) * (1 + call.bytes / (kTransitKb * kBytesPerKb)) +
         (target.is_near ? 0
                         : kFarMs + kFarShare * typical_ms +
                               kFarMsPerKb * call.bytes / kBytesPerKb);
}

std::optional<std::size_t> target_picker::Pick(
    const std::vector<candidate>& candidates,
    const std::vector<std::string>& tried, const call_profile& call,
    instant now) {
  std::vector<std::pair<double, std::size_t>> scored;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const std::string& id = candidates[i].id;
    if (std::find(tried.begin(), tried.end(), id) != tried.end()) continue;
    const auto found = states_.find(id);
    if (found != states_.end() && found->second.backoff_until > now) continue;
    scored.emplace_back(ScoreMs(candidates[i], call, now), i);
  }
  if (scored.empty()) return std::nullopt;
  std::sort(scored.begin(), scored.end());
  const double typical_ms =
      std::chrono::duration<double, std::milli>(call.typical).count();
  const double limit = scored.front().first + kDrawShare * typical_ms;
  std::size_t pool = 1;
  while (pool < scored.size() && scored[pool].first <= limit) ++pool;
  return scored[std::min(Random() % pool, Random() % pool)].second;
}

void time_estimator::Observe(const std::string& key, duration took,
                             instant now) {
  constexpr int kMaxCount = 20;  // Plain mean up to this many calls.
  mean& updated = means_[key];
  updated.count = std::min(updated.count + 1, kMaxCount);
  const double ms = std::chrono::duration<double, std::milli>(took).count();
  updated.ms += (ms - updated.ms) / updated.count;
  updated.observed_at = now;
}

void size_estimator::Observe(const std::string& key, double bytes) {
  constexpr double kNewestWeight = 0.1;
  const auto [mean, is_new] = means_.try_emplace(key, bytes);
  if (!is_new) mean->second += kNewestWeight * (bytes - mean->second);
}

double size_estimator::Expect(const std::string& key) const {
  const auto found = means_.find(key);
  return found == means_.end() ? 0 : found->second;
}

duration time_estimator::Expect(const std::string& key, duration fallback,
                                instant now) const {
  const auto found = means_.find(key);
  if (found == means_.end()) return fallback;
  const std::chrono::duration<double> age = now - found->second.observed_at;
  const double weight = std::exp2(-age.count() / kHalfLifeS);
  const double fallback_ms =
      std::chrono::duration<double, std::milli>(fallback).count();
  const double ms = fallback_ms + (found->second.ms - fallback_ms) * weight;
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(ms));
}

}  // namespace pimentohall::mesh
