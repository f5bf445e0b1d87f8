#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "pimentohall/mesh.h"

namespace pimentohall::mesh {

namespace {

// Demand is averaged over about this long.
constexpr double kDemandWindowS = 0.7;
// How often a daemon's part of the demand is worked out anew.
constexpr duration kPartPeriod = std::chrono::milliseconds(100);

double Seconds(duration of) {
  return std::chrono::duration<double>(of).count();
}

}  // namespace

std::uint32_t TenantHash(std::string_view name) {
  return XXH32(name.data(), name.size(), 0);
}

void allotment_table::Refill(bucket* at, instant now) const {
  if (now <= at->filled_at) return;
  const double elapsed_s = Seconds(now - at->filled_at);
  at->filled_at = now;
  const double rate = at->rate_per_s * share_;
  at->level += rate * elapsed_s;
  at->level = std::min(at->level, std::max(1.0, at->burst * share_));
  at->paced += rate * at->part * elapsed_s;
  at->paced =
      std::min(at->paced, std::max(1.0, rate * at->part * kPacedBurstS));
}

double allotment_table::DemandOf(const bucket& of, instant now) {
  return of.demand_per_s *
         std::exp(-Seconds(now - of.asked_at) / kDemandWindowS);
}

void allotment_table::NoteDemand(bucket* at, instant now) {
  at->demand_per_s = DemandOf(*at, now) + 1 / kDemandWindowS;
  at->asked_at = now;
}

void allotment_table::UpdatePart(std::uint32_t tenant, bucket* at,
                                 instant now) const {
  if (now - at->part_at < kPartPeriod) return;
  at->part_at = now;
  const double own = DemandOf(*at, now);
  double all = own;
  for (const auto& [address, peer] : peers_) {
    const auto found = peer.counts.find(tenant);
    if (found == peer.counts.end()) continue;
    if (now - found->second.told_at > kDemandMemory) continue;
    all += found->second.demand_per_s;
  }
  at->is_paced = all > at->rate_per_s * share_ * kPacedAbove;
  at->part = all > 0 ? own / all : 1;
}

void allotment_table::SetConfiguration(
    const std::shared_ptr<const configuration>& config, instant now) {
  std::unordered_map<std::uint32_t, bucket> next;
  for (const tenant& each : config->Parts().tenants) {
    if (each.rate_per_s <= 0) continue;
    const std::uint32_t hash = TenantHash(each.name);
    const auto known = buckets_.find(hash);
    bucket& at = next[hash];
    if (known != buckets_.end()) {
      at = known->second;
      Refill(&at, now);
    } else {
      at.level = each.burst * kStartLevel;
      at.filled_at = now;
    }
    at.rate_per_s = each.rate_per_s;
    at.burst = each.burst;
    at.level = std::min(at.level, each.burst);
  }
  buckets_ = std::move(next);
}

tl::expected<void, duration> allotment_table::Admit(const tenant& from,
                                                    instant now) {
  if (from.rate_per_s <= 0) return {};
  const auto found = buckets_.find(TenantHash(from.name));
  if (found == buckets_.end()) return {};
  bucket& at = found->second;
  NoteDemand(&at, now);
  UpdatePart(found->first, &at, now);
  Refill(&at, now);
  const bool is_free =
      !at.is_paced || at.paced >= 1 || at.level >= at.burst * kFreeShare;
  if (at.level >= 1 && is_free) {
    at.level -= 1;
    at.paced = std::max(0.0, at.paced - 1);
    ++at.admitted;
    return {};
  }
  // The fleet's next token: the caller may come back at another daemon.
  const double rate = std::max(0.001, at.rate_per_s * share_);
  const double wait_s = std::max(1.0, 1 - at.level) / rate;
  return tl::unexpected(std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(wait_s)));
}

// The count told to others only grows, so only the own bucket gets it back;
// the others' buckets stay on the safe side.
void allotment_table::GiveBack(const tenant& from, instant now) {
  const auto found = buckets_.find(TenantHash(from.name));
  if (found == buckets_.end()) return;
  Refill(&found->second, now);
  found->second.level =
      std::min(found->second.level + 1, std::max(1.0, found->second.burst));
}

void allotment_table::SetFleet(std::size_t fleet, std::size_t heard,
                               instant now) {
  for (auto& [hash, at] : buckets_) Refill(&at, now);
  if (fleet == 0 || heard >= fleet) {
    share_ = 1;
    return;
  }
  share_ = std::min(1.0, kPartitionExcess * static_cast<double>(heard) /
                             static_cast<double>(fleet));
}

void allotment_table::OnNews(const peer_news& news, bool is_first,
                             instant now) {
  peer_counts& from = peers_[news.address];
  if (from.boot != news.boot) {
    from = peer_counts{};
    from.boot = news.boot;
    // What a daemon admitted before this one started is not known to be
    // recent; what it admitted since its own later start is.
    const auto own_age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - start_);
    from.baseline =
        is_first && static_cast<std::int64_t>(news.uptime_ms) > own_age.count();
  }
  for (const tenant_count& each : news.admitted) {
    const auto known = from.counts.find(each.tenant);
    std::uint64_t before = 0;
    if (known != from.counts.end()) {
      before = known->second.admitted;
    } else if (from.baseline) {
      before = each.admitted;
    }
    if (each.admitted < before) continue;
    from.counts[each.tenant] = {each.admitted, each.demand_per_s, now};
    const auto found = buckets_.find(each.tenant);
    if (found == buckets_.end()) continue;
    bucket& at = found->second;
    Refill(&at, now);
    at.level -= static_cast<double>(each.admitted - before);
    at.level = std::max(at.level, -kMaxDebtS * at.rate_per_s);
  }
}

std::vector<tenant_count> allotment_table::News(instant now,
                                                instant since) const {
  std::vector<tenant_count> counts;
  for (const auto& [hash, at] : buckets_) {
    if (at.asked_at == instant{} || at.asked_at < since) continue;
    counts.push_back(
        {hash, at.admitted, static_cast<int>(std::lround(DemandOf(at, now)))});
  }
  std::sort(counts.begin(), counts.end(),
            [](const tenant_count& a, const tenant_count& b) {
              return a.tenant < b.tenant;
            });
  return counts;
}

double allotment_table::Level(const std::string& tenant, instant now) {
  const auto found = buckets_.find(TenantHash(tenant));
  if (found == buckets_.end()) return 0;
  Refill(&found->second, now);
  return found->second.level;
}

}  // namespace pimentohall::mesh
