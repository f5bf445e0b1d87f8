#include "core/membership.h"

#include <algorithm>
#include <utility>

#include "core/rendezvous.h"

namespace pimentohall::core {
namespace {

// Cached ranks for each organisation. The whole list is ranked again only if
// all of these are unusable.
constexpr std::size_t kHomeCandidates = 8;
// Bounds the cache, in case it is asked for names that are not organisations.
constexpr std::size_t kMaxHomes = 4096;
// Maximum number of peers outside the list; beyond it, those without a link are
// removed.
constexpr std::size_t kMaxUnlistedPeers = 1024;

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

duration BackoffAfter(int failures) {
  duration backoff = membership::kMinBackoff;
  for (int i = 1; i < failures && backoff < membership::kMaxBackoff; ++i) {
    backoff *= 2;
  }
  return std::min(backoff, membership::kMaxBackoff);
}

}  // namespace

membership::membership(std::string vm, std::string zone,
                       std::vector<bootstrap_peer> bootstrap_peers)
    : vm_(std::move(vm)),
      zone_(std::move(zone)),
      bootstrap_peers_(std::move(bootstrap_peers)) {}

void membership::SetVms(std::shared_ptr<const config::vm_list> vms) {
  if (vms == nullptr || vms == vms_) return;
  vms_ = std::move(vms);
  topology_.emplace(*vms_, vm_, zone_);
  homes_.clear();
  RemoveUnlisted();
}

void membership::RemoveUnlisted() {
  for (auto it = peers_.begin(); it != peers_.end();) {
    const bool is_kept = it->second.linked || vms_->Find(it->first) != nullptr;
    it = is_kept ? std::next(it) : peers_.erase(it);
  }
}

void membership::OnLinkUp(const std::string& vm, instant now) {
  peer& peer = peers_[vm];
  if (peer.linked) return;
  peer.linked = true;
  peer.dialling = false;
  peer.up_since = now;
  peer.status_at = now;
  peer.down_since.reset();
  // Earlier failed dials say little once the VM is reached, so the backoff
  // shrinks to the minimum. That minimum remains for links that keep breaking.
  peer.retry_at = std::min(peer.retry_at, peer.failed_at + kMinBackoff);
}

void membership::OnLinkDown(const std::string& vm, instant now) {
  peer& peer = peers_[vm];
  const bool repeated =
      !peer.linked && peer.failures > 0 && peer.failed_at == now;
  if (repeated) return;
  if (peer.linked && now - peer.up_since >= kStableLinkTime) peer.failures = 0;
  peer.linked = false;
  peer.dialling = false;
  // A stopped daemon may have restarted by the end of the backoff, so it is
  // dialled again.
  peer.stopping = false;
  ++peer.failures;
  peer.failed_at = now;
  peer.retry_at = now + BackoffAfter(peer.failures);
  if (!peer.down_since) peer.down_since = now;
  if (vms_ != nullptr && peers_.size() > vms_->vms.size() + kMaxUnlistedPeers) {
    RemoveUnlisted();
  }
}

void membership::OnLinkClosed(const std::string& vm, instant now) {
  const auto it = peers_.find(vm);
  if (it == peers_.end()) return;
  if (it->second.stopping) {
    OnLinkDown(vm, now);
    return;
  }
  it->second.linked = false;
}

void membership::OnStatus(const std::string& vm, const status_message& status,
                          instant now) {
  const auto it = peers_.find(vm);
  if (it == peers_.end()) return;
  peer& peer = it->second;
  const bool is_restarted =
      peer.incarnation != 0 && peer.incarnation != status.incarnation;
  if (is_restarted) {
    peer.failures = 0;
    peer.up_since = now;
  }
  peer.incarnation = status.incarnation;
  peer.stopping = status.stopping;
  peer.status_at = now;
}

void membership::KeepLink(const std::string& vm, instant until) {
  if (vm == vm_) return;
  peer& peer = peers_[vm];
  peer.keep_until = std::max(peer.keep_until, until);
  if (!peer.linked) peer.dialling = true;
}

void membership::Tick(instant now) {
  if (last_tick_ && now - *last_tick_ > kMaxTickGap) {
    const duration gap = now - *last_tick_;
    for (auto& [name, peer] : peers_) {
      // The time of a status received after the gap must not move into the
      // future.
      peer.status_at = std::min(peer.status_at + gap, now);
    }
  }
  last_tick_ = now;
}

const std::string& membership::Self() const { return vm_; }

const membership::peer* membership::Find(const std::string& vm) const {
  const auto it = peers_.find(vm);
  return it == peers_.end() ? nullptr : &it->second;
}

bool membership::HasLink(const std::string& vm) const {
  const peer* known = Find(vm);
  return known != nullptr && known->linked;
}

bool membership::IsDialling(const std::string& vm) const {
  const peer* known = Find(vm);
  return known != nullptr && known->dialling;
}

std::vector<std::string> membership::LinkedVms() const {
  std::vector<std::string> linked;
  for (const auto& [name, peer] : peers_) {
    if (peer.linked) linked.push_back(name);
  }
  return linked;
}

const config::vm* membership::FindVm(std::string_view vm) const {
  return vms_ == nullptr ? nullptr : vms_->Find(vm);
}

bool membership::IsStopping(const std::string& vm) const {
  const peer* known = Find(vm);
  return known != nullptr && known->stopping;
}

bool membership::IsBackingOff(const peer& peer, instant now) const {
  return peer.failures > 0 && now < peer.retry_at;
}

bool membership::IsUsable(const std::string& vm, instant now) const {
  const config::vm* listed = FindVm(vm);
  const bool is_leaving =
      listed != nullptr && listed->state == config::vm_state::kLeaving;
  if (is_leaving) return false;
  if (IsStopping(vm)) return false;
  const peer* known = Find(vm);
  return known == nullptr || !IsBackingOff(*known, now);
}

bool membership::CanLink(const std::string& vm, instant now) const {
  if (vm == vm_ || IsStopping(vm)) return false;
  const peer* known = Find(vm);
  return known == nullptr || known->linked || !IsBackingOff(*known, now);
}

bool membership::IsPresumedUp(const std::string& vm, instant now) const {
  if (IsStopping(vm)) return false;
  const peer* known = Find(vm);
  if (known == nullptr || known->linked || !known->down_since) return true;
  return now - *known->down_since < kMinBackoff;
}

std::vector<std::string> membership::Ranked(std::string_view salt,
                                            std::string_view zone) const {
  std::vector<std::string> names;
  if (vms_ == nullptr) return names;
  for (const config::vm& vm : vms_->vms) {
    if (vm.state != config::vm_state::kLive) continue;
    if (zone.empty() || vm.zone == zone) names.push_back(vm.name);
  }
  SortByWeight(salt, &names);
  return names;
}

const std::vector<std::string>& membership::HomeCandidates(
    std::string_view organisation) const {
  const auto it = homes_.find(organisation);
  if (it != homes_.end()) return it->second;
  if (homes_.size() >= kMaxHomes) homes_.clear();
  std::vector<std::string> ranked = Ranked(organisation, "");
  if (ranked.size() > kHomeCandidates) ranked.resize(kHomeCandidates);
  return homes_.emplace(organisation, std::move(ranked)).first->second;
}

std::string membership::HomeOf(std::string_view organisation,
                               instant now) const {
  for (const std::string& vm : HomeCandidates(organisation)) {
    if (IsUsable(vm, now)) return vm;
  }
  for (const std::string& vm : Ranked(organisation, "")) {
    if (IsUsable(vm, now)) return vm;
  }
  return "";
}

bool membership::IsReader(instant now) const {
  if (!topology_) return false;
  const std::vector<std::string>& ranking = topology_->ReaderRanking();
  std::size_t ranked_before = 0;
  for (std::size_t i = 0; i < topology_->ReaderRank(); ++i) {
    if (IsPresumedUp(ranking[i], now)) ++ranked_before;
    if (ranked_before == topology::kReaders) return false;
  }
  return true;
}

void membership::PickOnePerList(
    const std::vector<const std::vector<std::string>*>& lists, instant now,
    std::vector<std::string>* picked) const {
  std::vector<const std::vector<std::string>*> unlinked;
  for (const std::vector<std::string>* candidates : lists) {
    const auto best = std::find_if(
        candidates->begin(), candidates->end(), [&](const std::string& vm) {
          return !Contains(*picked, vm) && CanLink(vm, now);
        });
    if (best == candidates->end()) continue;
    picked->push_back(*best);
    if (!HasLink(*best)) unlinked.push_back(candidates);
  }
  // Until the best candidate is linked, the link to the first linked one is
  // kept.
  for (const std::vector<std::string>* candidates : unlinked) {
    const auto substitute = std::find_if(
        candidates->begin(), candidates->end(), [&](const std::string& vm) {
          return !Contains(*picked, vm) && HasLink(vm) && CanLink(vm, now);
        });
    if (substitute != candidates->end()) picked->push_back(*substitute);
  }
}

void membership::PickBootstrapPeers(instant now,
                                    std::vector<std::string>* picked) const {
  for (const bootstrap_peer& peer : bootstrap_peers_) {
    if (CanLink(peer.vm, now) && !Contains(*picked, peer.vm)) {
      picked->push_back(peer.vm);
    }
  }
}

void membership::PickReaderLinks(instant now,
                                 std::vector<std::string>* picked) const {
  std::vector<const std::vector<std::string>*> lists;
  for (const std::vector<std::string>& candidates : topology_->ZoneLinks()) {
    lists.push_back(&candidates);
  }
  PickOnePerList(lists, now, picked);
}

void membership::PickParents(instant now,
                             std::vector<std::string>* picked) const {
  std::vector<const std::vector<std::string>*> lists;
  for (std::size_t tree = 0; tree < topology::kTrees; ++tree) {
    lists.push_back(&topology_->Parents(tree));
  }
  PickOnePerList(lists, now, picked);
}

void membership::PickKept(instant now, std::vector<std::string>* picked) const {
  for (const auto& [name, peer] : peers_) {
    const bool is_kept = peer.linked && now < peer.keep_until;
    if (is_kept && !Contains(*picked, name)) picked->push_back(name);
  }
}

std::vector<std::string> membership::DesiredLinks(instant now) const {
  std::vector<std::string> picked;
  if (!topology_) {
    PickBootstrapPeers(now, &picked);
    PickKept(now, &picked);
    return picked;
  }
  const std::vector<std::string>& ranking = topology_->ReaderRanking();
  const std::size_t readers_and_standbys =
      topology::kReaders + topology::kStandbys;
  const bool is_reader = IsReader(now);
  if (is_reader || topology_->ReaderRank() < readers_and_standbys) {
    for (std::size_t i = 0; i < ranking.size() && i < topology::kReaders; ++i) {
      if (CanLink(ranking[i], now)) picked.push_back(ranking[i]);
    }
  } else {
    PickParents(now, &picked);
  }
  if (is_reader) PickReaderLinks(now, &picked);
  // Without any candidate in its zone, this daemon can rejoin only through
  // other zones or the bootstrap peers of its settings.
  if (picked.empty()) PickReaderLinks(now, &picked);
  if (picked.empty()) PickBootstrapPeers(now, &picked);
  PickKept(now, &picked);
  return picked;
}

bool membership::IsFirstChoiceOf(const std::string& vm) const {
  const config::vm* listed = FindVm(vm);
  if (listed == nullptr) return false;
  membership other(vm, listed->zone, {});
  other.SetVms(vms_);
  return Contains(other.DesiredLinks(instant()), vm_);
}

std::vector<std::string> membership::SilentLinks(instant now) const {
  std::vector<std::string> vms;
  for (const auto& [name, peer] : peers_) {
    if (peer.linked && now - peer.status_at > kMaxSilence) vms.push_back(name);
  }
  return vms;
}

std::optional<bootstrap_peer> membership::AddressOf(
    const std::string& vm) const {
  const config::vm* listed = FindVm(vm);
  if (listed != nullptr) {
    return bootstrap_peer{vm, listed->address, listed->link_port};
  }
  for (const bootstrap_peer& peer : bootstrap_peers_) {
    if (peer.vm == vm) return peer;
  }
  return std::nullopt;
}

}  // namespace pimentohall::core
