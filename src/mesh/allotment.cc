#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "pimentohall/mesh.h"

namespace pimentohall::mesh {

namespace {

// Time constant of the decaying mean of demand.
constexpr double kDemandWindowS = 0.7;
// How often a tenant's pacing is recomputed.
constexpr duration kPacingPeriod = std::chrono::milliseconds(100);

double Seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

std::uint32_t TenantHash(std::string_view name) {
  return XXH32(name.data(), name.size(), 0);
}

void allotment_table::Refill(bucket* tokens, instant now) const {
  if (now <= tokens->refilled_at) return;
  const double elapsed_s = Seconds(now - tokens->refilled_at);
  tokens->refilled_at = now;
  const double rate = tokens->rate_per_s * partition_share_;
  tokens->level += rate * elapsed_s;
  tokens->level =
      std::min(tokens->level, std::max(1.0, tokens->burst * partition_share_));
  tokens->paced_tokens += rate * tokens->demand_share * elapsed_s;
  tokens->paced_tokens =
      std::min(tokens->paced_tokens,
               std::max(1.0, rate * tokens->demand_share * kPacedBurstS));
}

double allotment_table::DemandOf(const bucket& tokens, instant now) {
  return tokens.demand_per_s *
         std::exp(-Seconds(now - tokens.called_at) / kDemandWindowS);
}

void allotment_table::RecordDemand(bucket* tokens, instant now) {
  tokens->demand_per_s = DemandOf(*tokens, now) + 1 / kDemandWindowS;
  tokens->called_at = now;
}

void allotment_table::UpdatePacing(std::uint32_t tenant, bucket* tokens,
                                   instant now) const {
  if (now - tokens->demand_share_at < kPacingPeriod) return;
  tokens->demand_share_at = now;
  const double own_demand = DemandOf(*tokens, now);
  double fleet_demand = own_demand;
  for (const auto& [address, peer] : peers_) {
    const auto found = peer.counts.find(tenant);
    if (found == peer.counts.end()) continue;
    if (now - found->second.reported_at > kDemandMemory) continue;
    fleet_demand += found->second.demand_per_s;
  }
  tokens->is_paced =
      fleet_demand > tokens->rate_per_s * partition_share_ * kPacingThreshold;
  tokens->demand_share = fleet_demand > 0 ? own_demand / fleet_demand : 1;
}

void allotment_table::SetConfiguration(
    const std::shared_ptr<const configuration>& config, instant now) {
  std::unordered_map<std::uint32_t, bucket> next;
  for (const tenant& tenant_limits : config->Parts().tenants) {
    if (tenant_limits.rate_per_s <= 0) continue;
    const std::uint32_t hash = TenantHash(tenant_limits.name);
    const auto known = buckets_.find(hash);
    bucket& tokens = next[hash];
    if (known != buckets_.end()) {
      tokens = known->second;
      Refill(&tokens, now);
    } else {
      tokens.level = tenant_limits.burst * kStartLevel;
      tokens.refilled_at = now;
    }
    tokens.rate_per_s = tenant_limits.rate_per_s;
    tokens.burst = tenant_limits.burst;
    tokens.level = std::min(tokens.level, tenant_limits.burst);
  }
  buckets_ = std::move(next);
}

tl::expected<void, duration> allotment_table::Admit(const tenant& caller,
                                                    instant now) {
  if (caller.rate_per_s <= 0) return {};
  const auto found = buckets_.find(TenantHash(caller.name));
  if (found == buckets_.end()) return {};
  bucket& tokens = found->second;
  RecordDemand(&tokens, now);
  UpdatePacing(found->first, &tokens, now);
  Refill(&tokens, now);
  const bool has_paced_token =
      !tokens.is_paced || tokens.paced_tokens >= 1 ||
      tokens.level >= tokens.burst * kUnpacedBurstShare;
  if (tokens.level >= 1 && has_paced_token) {
    tokens.level -= 1;
    tokens.paced_tokens = std::max(0.0, tokens.paced_tokens - 1);
    ++tokens.admitted;
    return {};
  }
  // Time until the fleet's next token, since the caller may retry at another
  // daemon.
  const double rate = std::max(0.001, tokens.rate_per_s * partition_share_);
  const double retry_after_s = std::max(1.0, 1 - tokens.level) / rate;
  return tl::unexpected(std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(retry_after_s)));
}

// The token returns to this daemon's bucket only: the reported count never
// decreases, so the other daemons' buckets err on the low side.
void allotment_table::ReturnToken(const tenant& caller, instant now) {
  const auto found = buckets_.find(TenantHash(caller.name));
  if (found == buckets_.end()) return;
  Refill(&found->second, now);
  found->second.level =
      std::min(found->second.level + 1, std::max(1.0, found->second.burst));
}

void allotment_table::SetFleet(std::size_t fleet, std::size_t heard,
                               instant now) {
  for (auto& [hash, tokens] : buckets_) Refill(&tokens, now);
  if (fleet == 0 || heard >= fleet) {
    partition_share_ = 1;
    return;
  }
  partition_share_ =
      std::min(1.0, kPartitionExcess * static_cast<double>(heard) /
                        static_cast<double>(fleet));
}

void allotment_table::OnNews(const peer_news& news, bool is_first,
                             instant now) {
  peer_counts& peer = peers_[news.address];
  if (peer.boot != news.boot) {
    peer = peer_counts{};
    peer.boot = news.boot;
    // Calls that a peer admitted before this daemon started may be long past;
    // those of a peer that started later are recent.
    const auto own_age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - start_);
    peer.skips_first_counts =
        is_first && static_cast<std::int64_t>(news.uptime_ms) > own_age.count();
  }
  for (const tenant_count& count : news.admitted) {
    const auto known = peer.counts.find(count.tenant);
    std::uint64_t previous = 0;
    if (known != peer.counts.end()) {
      previous = known->second.admitted;
    } else if (peer.skips_first_counts) {
      previous = count.admitted;
    }
    if (count.admitted < previous) continue;
    peer.counts[count.tenant] = {count.admitted, count.demand_per_s, now};
    const auto found = buckets_.find(count.tenant);
    if (found == buckets_.end()) continue;
    bucket& tokens = found->second;
    Refill(&tokens, now);
    tokens.level -= static_cast<double>(count.admitted - previous);
    tokens.level = std::max(tokens.level, -kMaxDebtS * tokens.rate_per_s);
  }
}

std::vector<tenant_count> allotment_table::News(instant now,
                                                instant since) const {
  std::vector<tenant_count> counts;
  for (const auto& [hash, tokens] : buckets_) {
    if (tokens.called_at == instant{} || tokens.called_at < since) continue;
    counts.push_back({hash, tokens.admitted,
                      static_cast<int>(std::lround(DemandOf(tokens, now)))});
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
