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
// The same with cost routing. The difference is more than twice `kDrawShare`;
// with a smaller one, the draw alone would make calls change zones.
constexpr double kFarShareInUse = 0.25;
constexpr double kFarShareNotInUse = 0.75;
// Other zones are in use for this long after a pick: as long as the usual time
// between two reports of a daemon in another zone.
constexpr duration kFarUse = std::chrono::milliseconds(600);
// Share of the slots of an upstream in another zone that this daemon may fill
// between two reports; at least one call.
constexpr double kMaxFarSlotShare = 0.25;
// Reports are renewed at least this often while their daemon runs. Older ones
// lose half of their weight in the half-lives below.
constexpr duration kFreshReport = std::chrono::seconds(1);
constexpr duration kLoadHalfLife = std::chrono::milliseconds(500);
constexpr duration kSlownessHalfLife = std::chrono::seconds(5);
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

// An upstream that reported to take no calls. An older report doesn't count, so
// that it is tried again when reports stop.
constexpr double kClosedMs = 60'000;
constexpr duration kClosedReportAge = std::chrono::seconds(1);

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
  target.sent_work_ms = 0;
}

void target_picker::OnSent(const std::string& id, duration cost) {
  state& target = states_[id];
  ++target.sent_since;
  target.sent_work_ms +=
      std::chrono::duration<double, std::milli>(cost).count();
}

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

// Expected wait before another call starts. With the costs known, all work
// ahead counts once no slot is free: the share of it that must end first,
// (calls - slots) / calls, is shorter but sends too many calls to upstreams
// that are full with news of some hundred ms ago.
double target_picker::WaitMs(const load_news& news, const state& target,
                             const call_profile& call, double slots,
                             double call_ms) {
  const double load = news.running + news.queued + target.sent_since;
  const double excess = std::max(0.0, load + 1 - slots);
  if (excess <= 0) return 0;
  if (!call.cost) return std::max(news.backlog_ms, excess / slots * call_ms);
  const double factor = std::max(0.1, news.slowness) * news.pace;
  return news.backlog_ms + target.sent_work_ms * factor / slots;
}

load_news target_picker::WeightedNews(const state& target, instant now) const {
  load_news weighted = target.last;
  const duration age = now - target.reported_at;
  weighted.pace = sched::DecayedPace(target.last.pace, age);
  if (!cost_routing_ || age <= kFreshReport) return weighted;
  const auto weight = [age](duration half_life) {
    const std::chrono::duration<double> excess = age - kFreshReport;
    const std::chrono::duration<double> half = half_life;
    return std::exp2(-excess / half);
  };
  const double load = weight(kLoadHalfLife);
  weighted.running = static_cast<int>(target.last.running * load);
  weighted.queued = static_cast<int>(target.last.queued * load);
  weighted.backlog_ms *= load;
  weighted.slowness =
      1 + (target.last.slowness - 1) * weight(kSlownessHalfLife);
  return weighted;
}

double target_picker::FarShare(const std::vector<candidate>& candidates,
                               instant now) const {
  if (!cost_routing_) return kFarShare;
  const bool is_in_use = std::any_of(
      candidates.begin(), candidates.end(), [&](const candidate& each) {
        if (each.is_near) return false;
        const auto found = states_.find(each.id);
        if (found == states_.end()) return false;
        const auto& picked_at = found->second.far_pick_at;
        return picked_at && now - *picked_at <= kFarUse;
      });
  return is_in_use ? kFarShareInUse : kFarShareNotInUse;
}

bool target_picker::IsAtFarBound(const candidate& target) const {
  if (!cost_routing_ || target.is_near) return false;
  const auto found = states_.find(target.id);
  if (found == states_.end()) return false;
  const double bound = std::max(1.0, kMaxFarSlotShare * target.slots);
  return found->second.sent_since >= bound;
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
    call_profile call;
    call.typical = typical;
    const load_news news = WeightedNews(known, now);
    const double call_ms =
        typical_ms * std::max(0.1, news.slowness) * news.pace;
    const double wait_ms =
        std::max(backoff_ms, WaitMs(news, known, call, slots, call_ms));
    least = std::min(least.value_or(wait_ms), wait_ms);
  }
  if (!least) return std::nullopt;
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(*least));
}

double target_picker::ScoreMs(const candidate& target, const call_profile& call,
                              instant now) const {
  return ScoreMs(target, call, FarShare({target}, now), now);
}

double target_picker::ScoreMs(const candidate& target, const call_profile& call,
                              double far_share, instant now) const {
  constexpr double kBytesPerKb = 1000;
  const double typical_ms =
      std::chrono::duration<double, std::milli>(call.typical).count();
  const auto found = states_.find(target.id);
  const state unknown;
  const state& known = found == states_.end() ? unknown : found->second;
  const load_news news = WeightedNews(known, now);
  const double slots = std::max(1, news.slots > 0 ? news.slots : target.slots);
  const double usual_ms = std::chrono::duration<double, std::milli>(
                              call.cost.value_or(call.typical))
                              .count();
  double call_ms = usual_ms * std::max(0.1, news.slowness) * news.pace;
  if (target.is_cold) call_ms *= kColdFactor;
  const double load = news.running + news.queued + known.sent_since;
  const bool is_closed = avoids_closed_ && known.last.slots == 0 &&
                         known.reported_at != instant{} &&
                         now - known.reported_at <= kClosedReportAge;
  const double utilisation = std::min(1.0, load / slots);
  return (is_closed ? kClosedMs : 0) +
         WaitMs(news, known, call, slots, call_ms) +
         call_ms * (1 + kUtilisationCost * utilisation * utilisation) +
         kFailureCost * typical_ms * FailureShare(known, now) +
         TransitMs(known, now) * (1 + call.bytes / (kTransitKb * kBytesPerKb)) +
         (target.is_near ? 0
                         : kFarMs + far_share * typical_ms +
                               kFarMsPerKb * call.bytes / kBytesPerKb);
}

std::optional<std::size_t> target_picker::Pick(
    const std::vector<candidate>& candidates,
    const std::vector<std::string>& tried, const call_profile& call,
    instant now) {
  std::vector<std::pair<double, std::size_t>> scored;
  std::vector<std::pair<double, std::size_t>> bounded;
  const double far_share = FarShare(candidates, now);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const std::string& id = candidates[i].id;
    if (std::find(tried.begin(), tried.end(), id) != tried.end()) continue;
    const auto found = states_.find(id);
    if (found != states_.end() && found->second.backoff_until > now) continue;
    auto& list = IsAtFarBound(candidates[i]) ? bounded : scored;
    list.emplace_back(ScoreMs(candidates[i], call, far_share, now), i);
  }
  if (scored.empty()) scored = std::move(bounded);
  if (scored.empty()) return std::nullopt;
  std::sort(scored.begin(), scored.end());
  const double typical_ms =
      std::chrono::duration<double, std::milli>(call.typical).count();
  const double limit = scored.front().first + kDrawShare * typical_ms;
  std::size_t pool = 1;
  while (pool < scored.size() && scored[pool].first <= limit) ++pool;
  const std::size_t picked =
      scored[std::min(Random() % pool, Random() % pool)].second;
  if (cost_routing_ && !candidates[picked].is_near) {
    states_[candidates[picked].id].far_pick_at = now;
  }
  return picked;
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
