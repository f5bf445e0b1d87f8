#ifndef PIMENTOHALL_CORE_CONFIG_STORE_H_
#define PIMENTOHALL_CORE_CONFIG_STORE_H_

#include <sigc++/sigc++.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/digest_memory.h"
#include "pimentohall/config.h"
#include "pimentohall/core.h"

namespace pimentohall::core {

enum class offer_result {
  kInForce,    // The offer completed a newer set or VM list, now in force.
  kStaged,     // The manifest is newer, but parts are still missing.
  kDuplicate,  // Already held.
  kStale,      // Older than what is in force or staged.
  kConflict,   // Same version as in force or staged, but another digest.
  kRefused,    // Malformed or inconsistent; see `LastRefusal`.
  kUnwanted,   // A part that the staged manifest doesn't list.
};

// Why a set or VM list was refused.
struct refusal {
  std::uint64_t version = 0;  // 0: the bytes could not be parsed.
  std::string digest;
  config::faults faults;
};

// Holds the configuration set and the VM list in force and stages newer ones.
//
//   store.OfferManifest(bytes);
//   for (const config::part_ref& part : store.MissingParts()) Fetch(part);
//   store.OfferPart(digest, part_bytes);  // kInForce on the last one
//
// Invariants: versions in force never decrease; a set comes into force whole,
// in one step, after verification and validation; a refused digest is never
// staged again while it is remembered (the last `kMaxRefused`).
//
// One manifest is staged at a time. A newer one replaces it and reuses the
// parts that both list, with one exception: if the staged set is nearly
// complete (at most an eighth of its parts missing, or one) and the newer one
// misses at least as many parts, the newer one is deferred until the staged set
// is in force, refused or abandoned. Without this rule, no set would ever
// complete if a large part changed faster than it can be fetched. Only the
// newest deferred manifest is kept, and after `kMaxDeferrals` deferrals the
// staged set is replaced anyway.
//
// Memory is bounded by the limits of `config` (256 KB a manifest, 1 MB a part,
// 16 MB a set): at most the parts of the set in force and of the staged set are
// held, and only parts that the staged manifest lists are accepted.
//
// Cost: a set with one changed part hashes and parses only that part.
class config_store {
 public:
  static constexpr std::size_t kMaxRefused = 256;
  static constexpr int kMaxDeferrals = 8;

  offer_result OfferManifest(const std::string& bytes);
  // A part with the wrong size or digest returns kRefused without being
  // recorded as a refusal, because the set itself may be valid.
  offer_result OfferPart(const std::string& digest, const std::string& bytes);
  offer_result OfferVmList(const std::string& bytes);

  // Drops the staged manifest without refusing it, for example because no peer
  // holds its parts, and stages the deferred one, if any. Returns kInForce if
  // that one is complete, kStaged if it misses parts, kRefused if it is
  // invalid, and kUnwanted if there is none.
  offer_result AbandonStaged();

  // Parts that the staged manifest lists and the store doesn't hold.
  std::vector<config::part_ref> MissingParts() const;

  // The staged manifest, or null.
  const config::manifest* Staged() const;
  // True if a newer manifest is deferred until the staged set is settled.
  bool HasDeferred() const;

  // True if a manifest or VM list with this version and digest is worth
  // fetching: it is newer than every one held and was not refused.
  bool IsManifestEligible(std::uint64_t version,
                          const std::string& digest) const;
  bool IsVmListEligible(std::uint64_t version, const std::string& digest) const;

  // True if this digest was refused and is remembered.
  bool IsRefused(const std::string& digest) const;

  // Null until a first set or list is in force.
  std::shared_ptr<const config::config_set> Set() const;
  std::shared_ptr<const config::vm_list> Vms() const;

  // Version and digest in force; 0 and empty before the first.
  std::uint64_t ConfigVersion() const;
  std::string ConfigDigest() const;
  std::uint64_t VmsVersion() const;
  std::string VmsDigest() const;

  // Bytes of the manifest, part or VM list with this digest, or null. Serves
  // peers: manifests and lists in force, and the verified parts of the set in
  // force and of the staged one.
  const std::string* FindBlob(blob_kind kind, const std::string& digest) const;

  const std::optional<refusal>& LastRefusal() const;
  // Sets and VM lists refused, conflicts included.
  std::uint64_t RefusedSets() const;
  // Number of offers with a version in force or staged but another digest.
  std::uint64_t Conflicts() const;
  // Bytes of all parts held, in force and staged.
  std::size_t PartBytes() const;

  // Emitted after a set or a VM list has come into force.
  sigc::signal<void()>& SignalInForce();

 private:
  struct staging {
    config::manifest manifest;
    std::string bytes;
    std::map<std::string, config::part_ref> missing;  // By digest.
  };
  struct set_in_force {
    config::manifest manifest;
    std::string bytes;
    std::shared_ptr<const config::config_set> set;
  };
  struct list_in_force {
    std::string bytes;
    std::shared_ptr<const config::vm_list> list;
  };

  offer_result Refuse(std::uint64_t version, const std::string& digest,
                      config::faults faults);
  offer_result RefuseConflict(std::uint64_t version, const std::string& digest,
                              const std::string& document);
  offer_result Stage(staging candidate);
  bool MustDefer(const staging& candidate) const;
  staging MakeStaging(config::manifest manifest, const std::string& bytes);
  // Applies staged sets until none is complete.
  offer_result CompleteStaged();
  bool ApplyStaged();
  void PromoteDeferred();
  void DropUnreferencedParts();

  std::optional<set_in_force> set_;
  std::optional<list_in_force> list_;
  std::optional<staging> staged_;
  std::optional<staging> deferred_;
  int deferrals_ = 0;
  std::map<std::string, std::string> parts_;  // Digest to bytes.
  digest_memory refused_{kMaxRefused};
  std::optional<refusal> last_refusal_;
  std::uint64_t refused_sets_ = 0;
  std::uint64_t conflicts_ = 0;
  sigc::signal<void()> signal_in_force_;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_CONFIG_STORE_H_
