#include "core/config_store.h"

#include <algorithm>
#include <set>
#include <utility>

namespace pimentohall::core {
namespace {

config::fault MakeFault(const std::string& document, const std::string& problem,
                        const std::string& fix) {
  config::fault fault;
  fault.document = document;
  fault.problem = problem;
  fault.fix = fix;
  return fault;
}

}  // namespace

offer_result config_store::Refuse(std::uint64_t version,
                                  const std::string& digest,
                                  config::faults faults) {
  refused_.Add(digest);
  ++refused_sets_;
  last_refusal_ = refusal{version, digest, std::move(faults)};
  return offer_result::kRefused;
}

offer_result config_store::RefuseConflict(std::uint64_t version,
                                          const std::string& digest,
                                          const std::string& document) {
  ++conflicts_;
  const std::string problem =
      "version " + std::to_string(version) + " is in force with another digest";
  Refuse(version, digest,
         {MakeFault(document, problem, "publish it with a greater version")});
  return offer_result::kConflict;
}

offer_result config_store::OfferManifest(const std::string& bytes) {
  const std::string digest = config::Sha256Hex(bytes);
  if (refused_.Contains(digest)) return offer_result::kRefused;
  const bool held = (set_ && set_->manifest.digest == digest) ||
                    (staged_ && staged_->manifest.digest == digest) ||
                    (deferred_ && deferred_->manifest.digest == digest);
  if (held) return offer_result::kDuplicate;
  auto manifest = config::ParseManifest(bytes);
  if (!manifest) return Refuse(0, digest, std::move(manifest.error()));
  const std::uint64_t version = manifest->version;
  if (version < ConfigVersion()) return offer_result::kStale;
  if (set_ && version == ConfigVersion()) {
    return RefuseConflict(version, digest, "manifest");
  }
  const staging* newest = nullptr;
  if (staged_) newest = &*staged_;
  if (deferred_) newest = &*deferred_;
  if (newest != nullptr && version < newest->manifest.version) {
    return offer_result::kStale;
  }
  if (newest != nullptr && version == newest->manifest.version) {
    // The digest is not recorded as refused: the staged manifest may be the
    // wrong one of the two.
    ++conflicts_;
    return offer_result::kConflict;
  }
  return Stage(MakeStaging(std::move(*manifest), bytes));
}

config_store::staging config_store::MakeStaging(config::manifest manifest,
                                                const std::string& bytes) {
  staging next;
  next.manifest = std::move(manifest);
  next.bytes = bytes;
  for (const config::part_ref& part : next.manifest.parts) {
    if (parts_.count(part.sha256) == 0) next.missing.emplace(part.sha256, part);
  }
  return next;
}

bool config_store::MustDefer(const staging& candidate) const {
  if (!staged_ || candidate.missing.empty()) return false;
  if (deferrals_ >= kMaxDeferrals) return false;
  const std::size_t nearly_complete =
      std::max<std::size_t>(1, staged_->manifest.parts.size() / 8);
  const std::size_t missing = staged_->missing.size();
  return missing <= nearly_complete && candidate.missing.size() >= missing;
}

offer_result config_store::Stage(staging candidate) {
  if (MustDefer(candidate)) {
    deferred_ = std::move(candidate);
    ++deferrals_;
    return offer_result::kStaged;
  }
  staged_ = std::move(candidate);
  deferred_.reset();
  deferrals_ = 0;
  DropUnreferencedParts();
  return CompleteStaged();
}

offer_result config_store::OfferPart(const std::string& digest,
                                     const std::string& bytes) {
  if (parts_.count(digest) > 0) return offer_result::kDuplicate;
  if (!staged_) return offer_result::kUnwanted;
  const auto wanted = staged_->missing.find(digest);
  if (wanted == staged_->missing.end()) return offer_result::kUnwanted;
  const bool matches = bytes.size() == wanted->second.bytes &&
                       config::Sha256Hex(bytes) == digest;
  if (!matches) return offer_result::kRefused;
  staged_->missing.erase(wanted);
  parts_.emplace(digest, bytes);
  return CompleteStaged();
}

offer_result config_store::CompleteStaged() {
  offer_result result = offer_result::kStaged;
  bool changed = false;
  while (staged_ && staged_->missing.empty()) {
    const bool applied = ApplyStaged();
    changed = changed || applied;
    result = applied ? offer_result::kInForce : offer_result::kRefused;
    PromoteDeferred();
    DropUnreferencedParts();
  }
  if (!changed) return result;
  signal_in_force_.emit();
  return offer_result::kInForce;
}

bool config_store::ApplyStaged() {
  const config::manifest& manifest = staged_->manifest;
  const config::config_set* previous = set_ ? set_->set.get() : nullptr;
  auto set = config::AssembleSet(manifest, parts_, previous);
  if (!set) {
    Refuse(manifest.version, manifest.digest, std::move(set.error()));
    return false;
  }
  set_in_force next;
  next.set = std::make_shared<const config::config_set>(std::move(*set));
  next.manifest = std::move(staged_->manifest);
  next.bytes = std::move(staged_->bytes);
  set_ = std::move(next);
  return true;
}

void config_store::PromoteDeferred() {
  staged_.reset();
  deferrals_ = 0;
  if (!deferred_) return;
  staging next = MakeStaging(std::move(deferred_->manifest), deferred_->bytes);
  deferred_.reset();
  staged_ = std::move(next);
}

offer_result config_store::AbandonStaged() {
  if (!staged_) return offer_result::kUnwanted;
  PromoteDeferred();
  DropUnreferencedParts();
  if (!staged_) return offer_result::kUnwanted;
  return CompleteStaged();
}

void config_store::DropUnreferencedParts() {
  std::set<std::string> referenced;
  const auto add = [&referenced](const config::manifest& manifest) {
    for (const config::part_ref& part : manifest.parts) {
      referenced.insert(part.sha256);
    }
  };
  if (set_) add(set_->manifest);
  if (staged_) add(staged_->manifest);
  for (auto it = parts_.begin(); it != parts_.end();) {
    it = referenced.count(it->first) > 0 ? std::next(it) : parts_.erase(it);
  }
}

offer_result config_store::OfferVmList(const std::string& bytes) {
  const std::string digest = config::Sha256Hex(bytes);
  if (refused_.Contains(digest)) return offer_result::kRefused;
  if (list_ && list_->list->digest == digest) return offer_result::kDuplicate;
  auto list = config::ParseVmList(bytes);
  if (!list) return Refuse(0, digest, std::move(list.error()));
  if (list->version < VmsVersion()) return offer_result::kStale;
  if (list_ && list->version == VmsVersion()) {
    return RefuseConflict(list->version, digest, "vms");
  }
  list_in_force next;
  next.bytes = bytes;
  next.list = std::make_shared<const config::vm_list>(std::move(*list));
  list_ = std::move(next);
  signal_in_force_.emit();
  return offer_result::kInForce;
}

std::vector<config::part_ref> config_store::MissingParts() const {
  std::vector<config::part_ref> missing;
  if (!staged_) return missing;
  for (const auto& [digest, part] : staged_->missing) missing.push_back(part);
  return missing;
}

const config::manifest* config_store::Staged() const {
  return staged_ ? &staged_->manifest : nullptr;
}

bool config_store::HasDeferred() const { return deferred_.has_value(); }

bool config_store::IsManifestEligible(std::uint64_t version,
                                      const std::string& digest) const {
  std::uint64_t newest = ConfigVersion();
  if (staged_) newest = staged_->manifest.version;
  if (deferred_) newest = deferred_->manifest.version;
  return version > newest && !refused_.Contains(digest);
}

bool config_store::IsVmListEligible(std::uint64_t version,
                                    const std::string& digest) const {
  return version > VmsVersion() && !refused_.Contains(digest);
}

bool config_store::IsRefused(const std::string& digest) const {
  return refused_.Contains(digest);
}

std::shared_ptr<const config::config_set> config_store::Set() const {
  return set_ ? set_->set : nullptr;
}

std::shared_ptr<const config::vm_list> config_store::Vms() const {
  return list_ ? list_->list : nullptr;
}

std::uint64_t config_store::ConfigVersion() const {
  return set_ ? set_->manifest.version : 0;
}

std::string config_store::ConfigDigest() const {
  return set_ ? set_->manifest.digest : std::string();
}

std::uint64_t config_store::VmsVersion() const {
  return list_ ? list_->list->version : 0;
}

std::string config_store::VmsDigest() const {
  return list_ ? list_->list->digest : std::string();
}

const std::string* config_store::FindBlob(blob_kind kind,
                                          const std::string& digest) const {
  switch (kind) {
    case blob_kind::kManifest:
      return set_ && set_->manifest.digest == digest ? &set_->bytes : nullptr;
    case blob_kind::kVmList:
      return list_ && list_->list->digest == digest ? &list_->bytes : nullptr;
    case blob_kind::kPart:
      break;
  }
  const auto part = parts_.find(digest);
  return part == parts_.end() ? nullptr : &part->second;
}

const std::optional<refusal>& config_store::LastRefusal() const {
  return last_refusal_;
}

std::uint64_t config_store::RefusedSets() const { return refused_sets_; }

std::uint64_t config_store::Conflicts() const { return conflicts_; }

std::size_t config_store::PartBytes() const {
  std::size_t bytes = 0;
  for (const auto& [digest, part] : parts_) bytes += part.size();
  return bytes;
}

sigc::signal<void()>& config_store::SignalInForce() { return signal_in_force_; }

}  // namespace pimentohall::core
