#include <numeric>

#include "sched/need_math.h"

namespace pimentohall::sched {
namespace {

// Fits take some arithmetic for each pair of routes, and means move slowly.
constexpr duration kFitPeriod = std::chrono::milliseconds(500);
constexpr int kFitRounds = 100;
constexpr duration kDecayPeriod = std::chrono::seconds(1);
constexpr double kNewestWeight = 0.1;  // In the moving averages.

void Average(double value, double* mean) {
  *mean = *mean == 0 ? value : *mean + kNewestWeight * (value - *mean);
}

}  // namespace

void call_tree::Advance(instant now) {
  const std::chrono::duration<double> age = now - advanced_at_;
  advanced_at_ = now;
  if (open_.empty()) return;
  const double seconds = std::max(0.0, age.count());
  for (auto& [name, route] : routes_) {
    if (route.open == 0) continue;
    route.open_s += route.open * seconds;
    for (const auto& [other_name, other] : routes_) {
      if (other.open == 0) continue;
      route.beside_s[other_name] += route.open * other.open * seconds;
    }
  }
}

void call_tree::Decay(instant now) {
  if (now - decayed_at_ < kDecayPeriod) return;
  const double factor = DecaySince(decayed_at_, now, kHalfLifeS);
  decayed_at_ = now;
  for (auto& [name, route] : routes_) {
    route.runs *= factor;
    route.open_s *= factor;
    for (auto& [other, sum] : route.beside_s) sum *= factor;
    for (auto& [service, sum] : route.calls_beside) sum *= factor;
  }
}

call_tree::route_stats* call_tree::FindOrAddRoute(std::string_view route,
                                                  instant now) {
  if (routes_.find(route) == routes_.end() && routes_.size() >= kMaxRoutes) {
    auto oldest = routes_.end();
    for (auto each = routes_.begin(); each != routes_.end(); ++each) {
      if (each->second.open > 0) continue;
      const bool is_older = oldest == routes_.end() ||
                            each->second.used_at < oldest->second.used_at;
      if (is_older) oldest = each;
    }
    if (oldest == routes_.end()) return nullptr;
    for (auto& [name, other] : routes_) other.beside_s.erase(oldest->first);
    routes_.erase(oldest);
  }
  route_stats& stats = routes_[std::string(route)];
  stats.used_at = now;
  return &stats;
}

void call_tree::OnRunStarted(std::uint64_t run, std::string_view route,
                             instant now) {
  Advance(now);
  Decay(now);
  if (open_.size() >= kMaxOpenRuns || open_.count(run) != 0) return;
  route_stats* const stats = FindOrAddRoute(route, now);
  if (stats == nullptr) return;
  ++stats->open;
  open_.emplace(run, route);
}

void call_tree::OnNestedCall(std::string_view service, duration budget,
                             instant now) {
  if (services_.find(service) == services_.end() &&
      services_.size() >= kMaxServices) {
    const auto oldest = OldestOf(services_, &service_stats::called_at);
    for (auto& [name, route] : routes_) {
      route.calls_beside.erase(oldest->first);
      route.calls.erase(oldest->first);
    }
    services_.erase(oldest);
  }
  const std::string name(service);
  service_stats& called = services_[name];
  called.called_at = now;
  Average(ClampedMs(budget), &called.budget_ms);
  for (auto& [route, stats] : routes_) {
    if (stats.open > 0) stats.calls_beside[name] += stats.open;
  }
}

void call_tree::OnNestedDone(std::string_view service, duration took,
                             bool in_time, instant now) {
  const auto found = services_.find(service);
  if (found == services_.end()) return;
  service_stats& stats = found->second;
  if (in_time) Average(ClampedMs(took), &stats.time_ms);
  const double before = InTimeNow(stats.in_time, stats.done_at, now);
  stats.in_time = before + kNewestWeight * ((in_time ? 1 : 0) - before);
  stats.done_at = now;
}

call_tree::route_stats* call_tree::Close(std::uint64_t run, instant now) {
  const auto found = open_.find(run);
  if (found == open_.end()) return nullptr;
  Advance(now);
  route_stats& stats = routes_.find(found->second)->second;
  open_.erase(found);
  --stats.open;
  return &stats;
}

void call_tree::OnRunEnded(std::uint64_t run, instant now) {
  route_stats* const stats = Close(run, now);
  if (stats == nullptr) return;
  stats->runs += 1;
  const bool is_early = stats->runs < 2 * kMinRuns;
  if (is_early || now - fitted_at_ >= kFitPeriod) FitAll(now);
}

void call_tree::OnRunRefused(std::uint64_t run, instant now) {
  Close(run, now);
}

void call_tree::FitAll(instant now) {
  fitted_at_ = now;
  for (const auto& [service, stats] : services_) Fit(service);
}

// Multiplicative updates, which keep the rates from going below 0.
void call_tree::Fit(const std::string& service) {
  std::vector<route_stats*> routes;
  std::vector<std::vector<double>> beside;
  std::vector<double> calls;
  for (auto& [name, route] : routes_) {
    routes.push_back(&route);
    const auto seen = route.calls_beside.find(service);
    calls.push_back(seen == route.calls_beside.end() ? 0 : seen->second);
    std::vector<double>& row = beside.emplace_back();
    for (const auto& [other_name, other] : routes_) {
      const auto sum = route.beside_s.find(other_name);
      row.push_back(sum == route.beside_s.end() ? 0 : sum->second);
    }
  }
  std::vector<double> rates(routes.size(), 1);  // Calls of an open run per s.
  for (int round = 0; round < kFitRounds; ++round) {
    const std::vector<double> last = rates;
    for (std::size_t i = 0; i < rates.size(); ++i) {
      const double fitted =
          std::inner_product(last.begin(), last.end(), beside[i].begin(), 0.0);
      if (fitted > 0) rates[i] *= calls[i] / fitted;
    }
  }
  for (std::size_t i = 0; i < rates.size(); ++i) {
    const double runs = routes[i]->runs;
    routes[i]->calls[service] =
        runs > 0 ? rates[i] * routes[i]->open_s / runs : 0;
  }
}

std::vector<callee_need> call_tree::Needs(std::string_view route,
                                          instant now) const {
  const auto found = routes_.find(route);
  if (found == routes_.end()) return {};
  const route_stats& stats = found->second;
  const double runs = stats.runs * DecaySince(decayed_at_, now, kHalfLifeS);
  if (runs < kMinRuns) return {};
  std::vector<callee_need> needs;
  for (const auto& [name, calls] : stats.calls) {
    const auto service = services_.find(name);
    if (calls < kMinCalls || service == services_.end()) continue;
    const service_stats& called = service->second;
    needs.push_back({name, calls, FromMs(called.time_ms),
                     FromMs(called.budget_ms),
                     InTimeNow(called.in_time, called.done_at, now)});
  }
  SortAndLimit(&needs);
  return needs;
}

}  // namespace pimentohall::sched
