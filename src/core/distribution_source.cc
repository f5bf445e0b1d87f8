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
    // A refused manifest (of a newer set, one that can't be parsed, or one that
    // was refused before) still shows that the source answers and has no better
    // version.
    useful =
        result != offer_result::kStale && result != offer_result::kConflict;
  }
  watch.OnAnswer(value.index, useful, now, &random_);
  if (!manifest) return;
  if (useful) {
    own_read_confirmed_at_ = now;
    Confirm(now);
    direct_backoff_.Reset();
  } else if (is_direct_) {
    next_direct_read_ =
        std::max(next_direct_read_, now + direct_backoff_.Next(&random_));
  }
}

void distribution::OnPartValue(const source_value& value, instant now) {
  const auto it = part_reads_.find(value.digest);
  const bool accepted =
      value.value &&
      store_->OfferPart(value.digest, *value.value) != offer_result::kRefused;
  if (it == part_reads_.end()) return;
  it->second.in_flight = false;
  if (!accepted) it->second.not_before = now + it->second.retry.Next(&random_);
}

void distribution::OnSourceFailed(const source_failed& failure, instant now,
                                  actions* out) {
  if (failure.key == source_key::kPart) {
    const auto it = part_reads_.find(failure.digest);
    if (it != part_reads_.end()) {
      it->second.in_flight = false;
      it->second.not_before = now + it->second.retry.Next(&random_);
    }
  } else if (failure.key == source_key::kManifest) {
    manifest_watch_.OnFailure(now, &random_);
  } else {
    vms_watch_.OnFailure(now, &random_);
  }
  if (is_direct_) {
    next_direct_read_ =
        std::max(next_direct_read_, now + direct_backoff_.Next(&random_));
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
    is_direct_ = false;
    unconfirmed_since_.reset();
    for (source_watch* watch : {&manifest_watch_, &vms_watch_}) {
      if (watch->CanRead(now)) SendRead(watch->Read(true, now), out);
    }
    return;
  }
  if (MustReadDirectly(now)) ReadDirectly(now, out);
}

bool distribution::HasFreshPeer(instant now) const {
  const std::uint64_t version = store_->ConfigVersion();
  return std::any_of(links_.begin(), links_.end(), [&](const auto& entry) {
    const auto& [vm, link] = entry;
    const bool alive = now - link.seen < kUnconfirmedTimeout;
    if (!alive || !link.confirmed_at || IsPenalised(vm, now)) return false;
    const bool behind = link.status->config_version < version;
    const bool no_list =
        store_->Vms() == nullptr && link.status->vms_version == 0;
    if (behind || no_list) return false;
    // Peers report the confirmations of this daemon's own direct reads back in
    // their statuses. Only a read by another daemon ends the direct reads.
    const bool echo =
        is_direct_ && own_read_confirmed_at_ &&
        *link.confirmed_at <= *own_read_confirmed_at_ + kDirectReadJitter;
    return !echo && now - *link.confirmed_at <= kMaxFreshAge;
  });
}

duration distribution::DirectReadDelay() const {
  if (store_->Vms() == nullptr) {
    return has_bootstrap_peers_ ? kNoVmListTimeout : duration(0);
  }
  // Linked peers without a set may soon get one from the readers.
  const bool alone = store_->Set() == nullptr && links_.empty();
  return alone ? kNoSetTimeout : kUnconfirmedTimeout;
}

bool distribution::MustReadDirectly(instant now) {
  if (HasFreshPeer(now)) {
    is_direct_ = false;
    unconfirmed_since_.reset();
    return false;
  }
  if (!unconfirmed_since_) {
    unconfirmed_since_ = now;
    const bool alone = store_->Vms() == nullptr && !has_bootstrap_peers_;
    direct_read_spread_ =
        alone ? duration(0) : RandomBelow(kDirectReadSpread, &random_);
  }
  is_direct_ =
      now >= *unconfirmed_since_ + DirectReadDelay() + direct_read_spread_;
  return is_direct_;
}

void distribution::ReadDirectly(instant now, actions* out) {
  if (now < next_direct_read_ || !store_->MissingParts().empty()) return;
  const bool manifest = direct_target_ == direct_target::kManifest;
  direct_target_ = manifest ? direct_target::kVmList : direct_target::kManifest;
  source_watch& watch = manifest ? manifest_watch_ : vms_watch_;
  if (!watch.CanRead(now)) return;
  next_direct_read_ =
      now + kDirectReadInterval + RandomBelow(kDirectReadJitter, &random_);
  SendRead(watch.Read(false, now), out);
}

bool distribution::MayReadPart(const std::string& digest, bool reader,
                               instant now) {
  const auto holders =
      Holders(blob_kind::kManifest, store_->Staged()->digest, now);
  const bool from_peers = !holders.empty() && !fetcher_.HasFailed(blob_id(
                                                  blob_kind::kPart, digest));
  if (from_peers) return false;
  if (reader) {
    const bool taken = part_read_tokens_.Take(now);
    part_waits_for_token_ = part_waits_for_token_ || !taken;
    return taken;
  }
  // The peers may be switching from one version to another.
  if (!is_direct_ && now - staged_progress_ < kDeferredTimeout) return false;
  if (now < next_direct_read_) return false;
  next_direct_read_ =
      now + kDirectReadInterval + RandomBelow(kDirectReadJitter, &random_);
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
      if (read.in_flight && overdue) read.in_flight = false;
      if (read.in_flight || now < read.not_before) continue;
    }
    if (!MayReadPart(part.sha256, reader, now)) continue;
    part_read& read = part_reads_[part.sha256];
    read.in_flight = true;
    read.sent = now;
    read_source request;
    request.key = source_key::kPart;
    request.digest = part.sha256;
    SendRead(std::move(request), out);
  }
}

}  // namespace pimentohall::core
