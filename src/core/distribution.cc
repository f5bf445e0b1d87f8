#include "core/distribution.h"

#include <algorithm>
#include <utility>

#include "core/rendezvous.h"

namespace pimentohall::core {
namespace {

// A source age above this (30 years) is invalid and is treated as "never".
constexpr std::int64_t kMaxAgeMs = 1'000'000'000'000;

std::uint64_t SeedFor(const engine_options& options) {
  const std::string salt =
      std::to_string(options.seed) + "/" + std::to_string(options.incarnation);
  return RendezvousWeight(salt, options.vm);
}

}  // namespace

distribution::distribution(const engine_options& options, config_store* store,
                           membership* members, instant start)
    : vm_(options.vm),
      incarnation_(options.incarnation),
      has_bootstrap_peers_(!options.bootstrap_peers.empty()),
      store_(store),
      members_(members),
      random_(SeedFor(options)),
      manifest_watch_(source_key::kManifest, start),
      vms_watch_(source_key::kVmList, start),
      part_read_tokens_(kPartReadsPerSecond, kPartReadBurst, start),
      next_direct_read_(start),
      next_heartbeat_(start + RandomBelow(kHeartbeat, &random_)),
      last_advance_(start),
      next_wake_(start) {}

// ---------------------------------------------------------------------------
// Events.

void distribution::OnLinkUp(const std::string& vm, instant now, actions* out) {
  if (vm == vm_) return;
  const bool dialled = dials_.erase(vm) > 0 || members_->IsDialling(vm);
  const bool known = links_.count(vm) > 0;
  if (!known && !dialled && links_.size() >= kMaxLinks) {
    out->push_back(close_link{vm});
    return;
  }
  link& link = links_.try_emplace(vm, now).first->second;
  link.dialled = link.dialled || dialled;
  members_->OnLinkUp(vm, now);
  out->push_back(send_message{vm, MakeStatus(now)});
  Advance(now, out);
}

void distribution::OnLinkDown(const std::string& vm, instant now,
                              actions* out) {
  const auto it = links_.find(vm);
  const bool dialling = dials_.erase(vm) > 0 || members_->IsDialling(vm);
  // The link was already removed if this daemon closed it.
  if (it == links_.end() && !dialling) return;
  // A peer may close a link that it dialled and no longer needs, so only the
  // end of a link that this daemon dialled counts as a failure.
  const bool failed = dialling || it->second.dialled;
  if (failed) {
    members_->OnLinkDown(vm, now);
  } else {
    members_->OnLinkClosed(vm, now);
  }
  DropLink(vm, now, out);
  Advance(now, out);
}

void distribution::DropLink(const std::string& vm, instant now, actions* out) {
  links_.erase(vm);
  ready_pending_peers_.erase(vm);
  fetcher_.OnLinkDown(vm, now, out);
}

void distribution::OnMessage(const std::string& vm, const message& body,
                             instant now, actions* out) {
  if (links_.count(vm) == 0) return;
  if (const auto* status = std::get_if<status_message>(&body)) {
    OnStatus(vm, *status, now);
  } else if (const auto* request = std::get_if<fetch_request>(&body)) {
    OnFetchRequest(vm, *request, now, out);
    return;
  } else if (const auto* reply = std::get_if<fetch_reply>(&body)) {
    const auto blob = fetcher_.OnReply(vm, *reply, now, out);
    if (blob) OnFetched(*blob, now, out);
  } else {
    return;
  }
  Advance(now, out);
}

void distribution::OnStatus(const std::string& vm, const status_message& status,
                            instant now) {
  members_->OnStatus(vm, status, now);
  ready_pending_peers_.erase(vm);
  link& link = links_.at(vm);
  const bool changed = !link.status ||
                       link.status->config_digest != status.config_digest ||
                       link.status->vms_digest != status.vms_digest;
  if (changed) link.announcement_order = ++announcements_;
  link.status = status;
  link.seen = now;
  link.confirmed_at.reset();
  const bool known =
      status.source_age_ms >= 0 && status.source_age_ms <= kMaxAgeMs;
  if (!known || status.config_version == 0) return;
  link.confirmed_at = now - std::chrono::milliseconds(status.source_age_ms);
  const std::uint64_t version = store_->ConfigVersion();
  const bool agrees = status.config_version > version ||
                      status.config_digest == store_->ConfigDigest();
  const bool counts = status.config_version >= version && agrees;
  if (counts && version > 0) Confirm(*link.confirmed_at);
}

void distribution::OnFetchRequest(const std::string& vm,
                                  const fetch_request& request, instant now,
                                  actions* out) {
  if (!links_.at(vm).reply_limit.Take(now)) return;
  fetch_reply reply;
  reply.kind = request.kind;
  reply.digest = request.digest;
  reply.offset = request.offset;
  const std::string* blob = store_->FindBlob(request.kind, request.digest);
  if (blob != nullptr) {
    if (request.offset >= blob->size()) return;
    reply.total_bytes = blob->size();
    reply.bytes = blob->substr(static_cast<std::size_t>(request.offset),
                               blob_fetcher::kPieceBytes);
  }
  out->push_back(send_message{vm, std::move(reply)});
}

void distribution::BeginStop(instant now, actions* out) {
  stopping_ = true;
  status_due_ = true;
  Advance(now, out);
}

void distribution::Tick(instant now, actions* out) {
  if (now < next_wake_) return;
  Advance(now, out);
}

instant distribution::NextWake() const { return next_wake_; }

// ---------------------------------------------------------------------------
// Steps that run after each event.

void distribution::Advance(instant now, actions* out) {
  ShiftDeadlines(now);
  members_->Tick(now);
  CloseSilentLinks(now, out);
  ExpireDials(now, out);
  fetcher_.Tick(now, out);
  PenaliseViolations(now, out);
  ExpireStaged(now, out);
  AdoptVmList();
  UpdateLinks(now, out);
  UpdateFetches(now, out);
  ReadSource(now, out);
  ReadParts(now, out);
  SendStatuses(now, out);
  UpdateReadiness(now);
  UpdateNextWake(now);
}

void distribution::ShiftDeadlines(instant now) {
  const duration gap = now - last_advance_;
  last_advance_ = now;
  if (gap <= membership::kMaxTickGap) return;
  fetcher_.Shift(gap);
  staged_progress_ += gap;
  unconfirmed_since_.reset();
  for (auto& [vm, link] : links_) link.seen = std::min(link.seen + gap, now);
  for (auto& [vm, since] : dials_) since += gap;
}

void distribution::CloseSilentLinks(instant now, actions* out) {
  for (const std::string& vm : members_->SilentLinks(now)) {
    members_->OnLinkDown(vm, now);
    DropLink(vm, now, out);
    out->push_back(close_link{vm});
  }
}

void distribution::ExpireDials(instant now, actions* out) {
  for (auto it = dials_.begin(); it != dials_.end();) {
    if (now - it->second < kDialTimeout) {
      ++it;
      continue;
    }
    members_->OnLinkDown(it->first, now);
    ready_pending_peers_.erase(it->first);
    out->push_back(close_link{it->first});
    it = dials_.erase(it);
  }
}

void distribution::AdoptVmList() {
  if (store_->VmsDigest() != announced_vms_) members_->SetVms(store_->Vms());
}

void distribution::UpdateLinks(instant now, actions* out) {
  const std::vector<std::string> wanted = members_->DesiredLinks(now);
  for (const std::string& vm : wanted) {
    if (links_.count(vm) == 0 && dials_.count(vm) == 0) OpenLink(vm, now, out);
  }
  CloseUnwanted(wanted, now, out);
  if (!ready_check_start_ && store_->Vms() != nullptr) ready_check_start_ = now;
}

void distribution::OpenLink(const std::string& vm, instant now, actions* out) {
  const auto address = members_->AddressOf(vm);
  if (!address) return;
  dials_.emplace(vm, now);
  out->push_back(open_link{vm, address->address, address->port});
  const bool in_time =
      !ready_check_start_ || now < *ready_check_start_ + kReadyTimeout;
  if (in_time && !ready_) ready_pending_peers_.insert(vm);
}

void distribution::CloseUnwanted(const std::vector<std::string>& wanted,
                                 instant now, actions* out) {
  std::vector<std::string> closed;
  for (auto& [vm, link] : links_) {
    const bool keep = !link.dialled || std::find(wanted.begin(), wanted.end(),
                                                 vm) != wanted.end();
    if (keep) {
      link.unwanted_since.reset();
    } else if (!link.unwanted_since) {
      link.unwanted_since = now;
    } else if (now - *link.unwanted_since >= kLinkHold) {
      // If both sides dialled at the same time, the peer may need the link.
      link.dialled = !members_->IsFirstChoiceOf(vm);
      if (link.dialled) closed.push_back(vm);
    }
  }
  for (const std::string& vm : closed) {
    members_->OnLinkClosed(vm, now);
    DropLink(vm, now, out);
    out->push_back(close_link{vm});
  }
}

void distribution::SendStatuses(instant now, actions* out) {
  const bool changed = store_->ConfigDigest() != announced_config_ ||
                       store_->VmsDigest() != announced_vms_;
  if (!changed && !status_due_ && now < next_heartbeat_) return;
  announced_config_ = store_->ConfigDigest();
  announced_vms_ = store_->VmsDigest();
  status_due_ = false;
  next_heartbeat_ = now + kHeartbeat;
  for (const auto& [vm, link] : links_) {
    out->push_back(send_message{vm, MakeStatus(now)});
  }
}

status_message distribution::MakeStatus(instant now) const {
  status_message status;
  status.vm = vm_;
  status.incarnation = incarnation_;
  status.config_version = store_->ConfigVersion();
  status.config_digest = store_->ConfigDigest();
  status.vms_version = store_->VmsVersion();
  status.vms_digest = store_->VmsDigest();
  if (confirmed_at_) {
    using std::chrono::milliseconds;
    // Rounded up, so that the age does not shrink with each hop.
    status.source_age_ms =
        std::chrono::ceil<milliseconds>(now - *confirmed_at_).count();
  }
  status.stopping = stopping_;
  return status;
}

void distribution::UpdateNextWake(instant now) {
  next_wake_ =
      std::min({now + kTickInterval, next_heartbeat_, fetcher_.NextWake()});
  if (members_->IsReader(now)) {
    next_wake_ = std::min(
        {next_wake_, manifest_watch_.NextWake(), vms_watch_.NextWake()});
    if (part_waits_for_token_) {
      next_wake_ = std::min(next_wake_, part_read_tokens_.NextTokenAt());
    }
  }
  // Prevents a busy loop if a deadline has passed and no step moved it.
  next_wake_ = std::max(next_wake_, now + kMinWakeInterval);
}

// ---------------------------------------------------------------------------
// Readiness and source age.

bool distribution::HaveAllPeersAnswered(instant now) const {
  if (!ready_check_start_) return false;
  if (ready_pending_peers_.empty()) return true;
  if (now < *ready_check_start_ + kReadyTimeout) return false;
  // Peers without a link were not reachable within `kReadyTimeout`.
  return std::none_of(
      ready_pending_peers_.begin(), ready_pending_peers_.end(),
      [this](const std::string& vm) { return links_.count(vm) > 0; });
}

bool distribution::IsHighestVersionInForce(instant now) {
  std::uint64_t highest = 0;
  for (const auto& [vm, link] : links_) {
    if (!link.status || IsPenalised(vm, now)) continue;
    if (store_->IsRefused(link.status->config_digest)) continue;
    highest = std::max(highest, link.status->config_version);
  }
  // Versions published later must not keep a slow daemon from becoming ready.
  if (!ready_target_version_) ready_target_version_ = highest;
  return store_->ConfigVersion() >= std::min(highest, *ready_target_version_);
}

void distribution::UpdateReadiness(instant now) {
  if (ready_ || store_->Set() == nullptr || store_->Vms() == nullptr) return;
  ready_ = HaveAllPeersAnswered(now) && IsHighestVersionInForce(now);
}

bool distribution::IsReady() const { return ready_; }

void distribution::Confirm(instant confirmed_at) {
  confirmed_at_ =
      confirmed_at_ ? std::max(*confirmed_at_, confirmed_at) : confirmed_at;
}

duration distribution::SourceAge(instant now) const {
  return confirmed_at_ ? now - *confirmed_at_ : duration(-1);
}

std::uint64_t distribution::SourceReads() const { return source_reads_; }

std::uint64_t distribution::StaleAnswers() const { return stale_answers_; }

std::uint64_t distribution::Penalties() const { return penalty_count_; }

}  // namespace pimentohall::core
