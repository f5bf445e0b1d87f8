// The part of `distribution` that reads the source.

#include <algorithm>
#include <utility>

#include "core/distribution.h"

namespace pimentohall::core {

// ---------------------------------------------------------------------------
// Answers.

void distribution::OnSourceValue(const source_value& value, instant now,
                                 actions* out) {
  if (value.key == source_key::kPart) {
    OnPartValue(value, now);
  } else {
    OnWatchValue(value, now, out);
  }
  Advance(now, out);
}

void distribution::OnWatchValue(const source_value& value, instant now,
                                actions* out) {
  const bool manifest = value.key == source_key::kManifest;
  source_watch& watch = manifest ? manifest_watch_ : vms_watch_;
  bool useful = false;
  if (value.value) {
    const offer_result result = manifest ? store_->OfferManifest(*value.value)
                                         : store_->OfferVmList(*value.value);
    LogRefusal(result, out);
    if (result == offer_result::kStale) ++stale_answers_;
    // A refused newer set still shows that the source is alive, and that
    // nothing better is published.
    useful =
        result != offer_result::kStale && result != offer_result::kConflict;
  }
  watch.OnAnswer(value.index, useful, now, &random_);
  if (!manifest) return;
  if (useful) {
    own_confirmed_ = now;
    Confirm(now);
    direct_wait_.Reset();
  } else if (direct_) {
    next_direct_ = std::max(next_direct_, now + direct_wait_.Next(&random_));
  }
}

void distribution::OnPartValue(const source_value& value, instant now) {
  const auto it = part_reads_.find(value.digest);
  const bool accepted =
      value.value &&
      store_->OfferPart(value.digest, *value.value) != offer_result::kRefused;
  if (it == part_reads_.end()) return;
  it->second.under_way = false;
  if (!accepted) it->second.not_before = now + it->second.wait.Next(&random_);
}

void distribution::OnSourceFailed(const source_failed& failure, instant now,
                                  actions* out) {
  if (failure.key == source_key::kPart) {
    const auto it = part_reads_.find(failure.digest);
    if (it != part_reads_.end()) {
      it->second.under_way = false;
      it->second.not_before = now + it->second.wait.Next(&random_);
    }
  } else if (failure.key == source_key::kManifest) {
    manifest_watch_.OnFailure(now, &random_);
  } else {
    vms_watch_.OnFailure(now, &random_);
  }
  if (direct_) {
    next_direct_ = std::max(next_direct_, now + direct_wait_.Next(&random_));
  }
  Advance(now, out);
}

// ---------------------------------------------------------------------------
// Reads.

void distribution::SendRead(read_source read, actions* out) {
  ++source_reads_;
  out->push_back(std::move(read));
}

void distribution::ReadSource(instant now, actions* out) {
  manifest_watch_.Expire(now, &random_);
  vms_watch_.Expire(now, &random_);
  if (members_->IsReader(now)) {
    direct_ = false;
    unconfirmed_since_.reset();
    for (source_watch* watch : {&manifest_watch_, &vms_watch_}) {
      if (watch->CanRead(now)) SendRead(watch->Read(true, now), out);
    }
    return;
  }
  if (IsDirect(now)) ReadDirectly(now, out);
}

bool distribution::HasFreshPeer(instant now) const {
  const std::uint64_t version = store_->ConfigVersion();
  return std::any_of(links_.begin(), links_.end(), [&](const auto& entry) {
    const auto& [vm, link] = entry;
    const bool alive = now - link.heard < kUnconfirmedWait;
    if (!alive || !link.confirmed || IsPenalised(vm, now)) return false;
    const bool behind = link.status->config_version < version;
    const bool no_list =
        store_->Vms() == nullptr && link.status->vms_version == 0;
    if (behind || no_list) return false;
    // Own direct reads come back in the peers' statuses; only what somebody
    // else read ends the direct reads.
    const bool echo = direct_ && own_confirmed_ &&
                      *link.confirmed <= *own_confirmed_ + kDirectJitter;
    return !echo && now - *link.confirmed <= kFreshAge;
  });
}

duration distribution::DirectWait() const {
  if (store_->Vms() == nullptr) {
    return has_bootstrap_peers_ ? kNoListWait : duration(0);
  }
  // Linked peers without a set may be about to get it from the readers.
  const bool alone = store_->Set() == nullptr && links_.empty();
  return alone ? kNoSetWait : kUnconfirmedWait;
}

bool distribution::IsDirect(instant now) {
  if (HasFreshPeer(now)) {
    direct_ = false;
    unconfirmed_since_.reset();
    return false;
  }
  if (!unconfirmed_since_) {
    unconfirmed_since_ = now;
    const bool alone = store_->Vms() == nullptr && !has_bootstrap_peers_;
    direct_spread_ = alone ? duration(0) : RandomBelow(kDirectSpread, &random_);
  }
  direct_ = now >= *unconfirmed_since_ + DirectWait() + direct_spread_;
  return direct_;
}

void distribution::ReadDirectly(instant now, actions* out) {
  if (now < next_direct_ || !store_->MissingParts().empty()) return;
  const bool manifest = direct_target_ == direct_target::kManifest;
  direct_target_ = manifest ? direct_target::kVmList : direct_target::kManifest;
  source_watch& watch = manifest ? manifest_watch_ : vms_watch_;
  if (!watch.CanRead(now)) return;
  next_direct_ = now + kDirectInterval + RandomBelow(kDirectJitter, &random_);
  SendRead(watch.Read(false, now), out);
}

bool distribution::MayReadPart(const std::string& digest, bool reader,
                               instant now) {
  const auto holders =
      Holders(blob_kind::kManifest, store_->Staged()->digest, now);
  const bool from_peers = !holders.empty() && !fetcher_.IsHopeless(blob_id(
                                                  blob_kind::kPart, digest));
  if (from_peers) return false;
  if (reader) {
    const bool taken = part_read_tokens_.Take(now);
    part_waits_for_token_ = part_waits_for_token_ || !taken;
    return taken;
  }
  // The peers may be between two versions.
  if (!direct_ && now - staged_progress_ < kDeferredWait) return false;
  if (now < next_direct_) return false;
  next_direct_ = now + kDirectInterval + RandomBelow(kDirectJitter, &random_);
  return true;
}

void distribution::ReadParts(instant now, actions* out) {
  const std::vector<config::part_ref> missing = store_->MissingParts();
  std::map<std::string, part_read> kept;
  for (const config::part_ref& part : missing) {
    const auto it = part_reads_.find(part.sha256);
    if (it != part_reads_.end()) kept.insert(*it);
  }
  part_reads_ = std::move(kept);
  part_waits_for_token_ = false;
  const bool reader = members_->IsReader(now);
  for (const config::part_ref& part : missing) {
    const auto it = part_reads_.find(part.sha256);
    if (it != part_reads_.end()) {
      part_read& read = it->second;
      const bool overdue = now - read.sent > source_watch::kGrace;
      if (read.under_way && overdue) read.under_way = false;
      if (read.under_way || now < read.not_before) continue;
    }
    if (!MayReadPart(part.sha256, reader, now)) continue;
    part_read& read = part_reads_[part.sha256];
    read.under_way = true;
    read.sent = now;
    read_source request;
    request.key = source_key::kPart;
    request.digest = part.sha256;
    SendRead(std::move(request), out);
  }
}

}  // namespace pimentohall::core
