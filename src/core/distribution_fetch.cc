// The part of `distribution` that fetches blobs from peers and penalises peers.

#include <algorithm>
#include <utility>

#include "core/distribution.h"

namespace pimentohall::core {
namespace {

// Maximum number of manifests, and of VM lists, fetched at the same time; the
// highest versions are fetched first.
constexpr std::size_t kMaxLists = 4;
constexpr std::size_t kMaxPenalties = 512;
constexpr std::size_t kMaxAbandoned = 64;

std::uint64_t VersionOf(blob_kind kind, const status_message& status) {
  return kind == blob_kind::kManifest ? status.config_version
                                      : status.vms_version;
}

const std::string& DigestOf(blob_kind kind, const status_message& status) {
  return kind == blob_kind::kManifest ? status.config_digest
                                      : status.vms_digest;
}

}  // namespace

// ---------------------------------------------------------------------------
// Fetches.

void distribution::UpdateFetches(instant now, actions* out) {
  fetcher_.SetWanted(WantedBlobs(now), now, out);
  PenaliseFailedFetches(now, out);
}

std::vector<wanted_blob> distribution::WantedBlobs(instant now) const {
  std::vector<wanted_blob> blobs;
  AddWantedLists(blob_kind::kVmList, now, &blobs);
  AddWantedLists(blob_kind::kManifest, now, &blobs);
  AddWantedParts(now, &blobs);
  return blobs;
}

void distribution::AddWantedLists(blob_kind kind, instant now,
                                  std::vector<wanted_blob>* blobs) const {
  std::set<std::pair<std::uint64_t, std::string>> offers;
  for (const auto& [vm, link] : links_) {
    if (!link.status || IsPenalised(vm, now)) continue;
    const std::uint64_t version = VersionOf(kind, *link.status);
    const std::string& digest = DigestOf(kind, *link.status);
    const bool wanted = kind == blob_kind::kManifest
                            ? store_->IsManifestEligible(version, digest)
                            : store_->IsVmListEligible(version, digest);
    if (!wanted || abandoned_.count(digest) > 0) continue;
    offers.emplace(version, digest);
  }
  std::size_t added = 0;
  for (auto it = offers.rbegin(); it != offers.rend(); ++it) {
    if (added++ == kMaxLists) return;
    wanted_blob blob;
    blob.id = blob_id(kind, it->second);
    blob.max_bytes = kind == blob_kind::kManifest ? config::kMaxManifestBytes
                                                  : config::kMaxValueBytes;
    blob.peers = Holders(kind, it->second, now);
    blobs->push_back(std::move(blob));
  }
}

void distribution::AddWantedParts(instant now,
                                  std::vector<wanted_blob>* blobs) const {
  const config::manifest* staged = store_->Staged();
  if (staged == nullptr) return;
  const auto peers = Holders(blob_kind::kManifest, staged->digest, now);
  if (peers.empty()) return;
  for (const config::part_ref& part : store_->MissingParts()) {
    const auto read = part_reads_.find(part.sha256);
    if (read != part_reads_.end() && read->second.in_flight) continue;
    wanted_blob blob;
    blob.id = blob_id(blob_kind::kPart, part.sha256);
    blob.max_bytes = config::kMaxValueBytes;
    blob.exact_bytes = part.bytes;
    blob.peers = peers;
    blobs->push_back(std::move(blob));
  }
}

std::vector<std::string> distribution::Holders(blob_kind kind,
                                               const std::string& digest,
                                               instant now) const {
  std::vector<std::pair<std::uint64_t, std::string>> holders;
  for (const auto& [vm, link] : links_) {
    if (!link.status || IsPenalised(vm, now)) continue;
    const bool holds = DigestOf(kind, *link.status) == digest;
    if (holds) holders.emplace_back(link.announcement_order, vm);
  }
  std::sort(holders.begin(), holders.end());
  std::vector<std::string> names;
  names.reserve(holders.size());
  for (auto& [order, vm] : holders) names.push_back(std::move(vm));
  return names;
}

void distribution::OnFetched(const fetched_blob& blob, instant now,
                             actions* out) {
  const auto& [kind, digest] = blob.id;
  if (kind == blob_kind::kPart) {
    LogRefusal(store_->OfferPart(digest, blob.bytes), out);
    return;
  }
  const offer_result result = kind == blob_kind::kManifest
                                  ? store_->OfferManifest(blob.bytes)
                                  : store_->OfferVmList(blob.bytes);
  LogRefusal(result, out);
  CheckAnnouncements(blob.id, now, out);
}

void distribution::CheckAnnouncements(const blob_id& id, instant now,
                                      actions* out) {
  const auto& [kind, digest] = id;
  std::vector<std::string> violators;
  for (const auto& [vm, link] : links_) {
    if (!link.status || DigestOf(kind, *link.status) != digest) continue;
    const std::uint64_t version = VersionOf(kind, *link.status);
    // The blob was just offered to the store, so it is held or refused. It is
    // eligible only if its real version is lower than the announced one.
    const bool still_wanted = kind == blob_kind::kManifest
                                  ? store_->IsManifestEligible(version, digest)
                                  : store_->IsVmListEligible(version, digest);
    if (still_wanted) violators.push_back(vm);
  }
  for (const std::string& vm : violators) {
    Penalise(vm, "announced a version that the blob does not have", true, now,
             out);
  }
}

void distribution::ExpireStaged(instant now, actions* out) {
  for (auto it = abandoned_.begin(); it != abandoned_.end();) {
    it = it->second <= now ? abandoned_.erase(it) : std::next(it);
  }
  const config::manifest* staged = store_->Staged();
  if (staged == nullptr) {
    staged_digest_.clear();
    return;
  }
  const std::size_t missing = store_->MissingParts().size();
  if (staged->digest != staged_digest_ || missing != staged_missing_) {
    staged_digest_ = staged->digest;
    staged_missing_ = missing;
    staged_progress_ = now;
    return;
  }
  const bool replaced = store_->HasDeferred();
  const duration limit = replaced ? kDeferredTimeout : kStagedTimeout;
  if (now - staged_progress_ < limit) return;
  out->push_back(log_entry{log_level::kWarning,
                           "staged configuration abandoned",
                           {{"version", std::to_string(staged->version)},
                            {"digest", staged_digest_},
                            {"missing_parts", std::to_string(missing)}}});
  if (abandoned_.size() >= kMaxAbandoned) abandoned_.erase(abandoned_.begin());
  abandoned_[staged_digest_] = now + kAbandonedDuration;
  if (!replaced) {
    PenaliseHolders(blob_kind::kManifest, staged_digest_,
                    "did not deliver the parts", now, out);
  }
  staged_digest_.clear();
  LogRefusal(store_->AbandonStaged(), out);
  manifest_watch_.Restart(now, kDialTimeout);
}

// ---------------------------------------------------------------------------
// Penalties.

void distribution::PenaliseViolations(instant now, actions* out) {
  for (const auto& [vm, reason] : fetcher_.TakeViolations()) {
    Penalise(vm, reason, true, now, out);
  }
}

void distribution::PenaliseFailedFetches(instant now, actions* out) {
  for (const blob_kind kind : {blob_kind::kManifest, blob_kind::kVmList}) {
    std::set<std::string> failed;
    for (const auto& [vm, link] : links_) {
      if (!link.status) continue;
      const std::string& digest = DigestOf(kind, *link.status);
      if (fetcher_.HasFailed(blob_id(kind, digest))) failed.insert(digest);
    }
    for (const std::string& digest : failed) {
      PenaliseHolders(kind, digest, "did not deliver what it announced", now,
                      out);
    }
  }
}

void distribution::PenaliseHolders(blob_kind kind, const std::string& digest,
                                   std::string_view reason, instant now,
                                   actions* out) {
  for (const std::string& vm : Holders(kind, digest, now)) {
    Penalise(vm, reason, false, now, out);
  }
}

bool distribution::IsPenalised(const std::string& vm, instant now) const {
  const auto it = penalties_.find(vm);
  return it != penalties_.end() && now < it->second.until;
}

void distribution::Penalise(const std::string& vm, std::string_view reason,
                            bool fault, instant now, actions* out) {
  if (penalties_.size() >= kMaxPenalties && penalties_.count(vm) == 0) {
    penalties_.erase(std::min_element(penalties_.begin(), penalties_.end(),
                                      [](const auto& a, const auto& b) {
                                        return a.second.until < b.second.until;
                                      }));
  }
  penalty& penalty = penalties_[vm];
  if (penalty.until + kMaxPenalty < now) penalty.count = 0;
  duration length = kInitialPenalty;
  for (int i = 0; i < penalty.count && length < kMaxPenalty; ++i) {
    length *= 2;
  }
  if (fault) ++penalty.count;
  penalty.until = now + std::min(length, kMaxPenalty);
  ++penalty_count_;
  out->push_back(log_entry{log_level::kWarning,
                           "peer not asked for a while",
                           {{"vm", vm}, {"reason", std::string(reason)}}});
}

void distribution::LogRefusal(offer_result result, actions* out) {
  const bool refused =
      result == offer_result::kRefused || result == offer_result::kConflict;
  if (!refused || !store_->LastRefusal()) return;
  const refusal& last = *store_->LastRefusal();
  log_entry entry{
      log_level::kError,
      "configuration refused",
      {{"version", std::to_string(last.version)}, {"digest", last.digest}}};
  if (!last.faults.empty()) {
    entry.fields.emplace_back("fault", last.faults.front().ToString());
  }
  out->push_back(std::move(entry));
}

}  // namespace pimentohall::core
