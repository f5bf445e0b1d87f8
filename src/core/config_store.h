#ifndef PIMENTOHALL_CORE_CONFIG_STORE_H_
#define PIMENTOHALL_CORE_CONFIG_STORE_H_

#include <sigc++/sigc++.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pimentohall/config.h"
#include "pimentohall/core.h"

namespace pimentohall::core {

enum class offer_result {
  kInForce,    // The offer completed a newer set, which is now in force.
  kStaged,     // Newer, but parts are still missing.
  kDuplicate,  // Already held.
  kStale,      // Older than what is in force or staged.
  kConflict,   // The version in force with another digest.
  kRefused,    // Malformed or inconsistent; see `LastRefusal`.
  kUnwanted,   // A part that no staged manifest lists.
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
// staged again.
class config_store {
 public:
  offer_result OfferManifest(const std::string& bytes);
  offer_result OfferPart(const std::string& digest, const std::string& bytes);
  offer_result OfferVmList(const std::string& bytes);

  // Parts that the staged manifest lists and that are not held.
  std::vector<config::part_ref> MissingParts() const;

  // True if a manifest or VM list with this version and digest would be
  // considered: it is newer than what is held and was not refused.
  bool WantsManifest(std::uint64_t version, const std::string& digest) const;
  bool WantsVmList(std::uint64_t version, const std::string& digest) const;

  // Null until a first set or list is in force.
  std::shared_ptr<const config::config_set> Set() const;
  std::shared_ptr<const config::vm_list> Vms() const;

  // Bytes of the manifest, part or VM list with this digest, or null. Serves
  // peers: only blobs of the set and list in force are kept and served.
  const std::string* FindBlob(blob_kind kind, const std::string& digest) const;

  const std::optional<refusal>& LastRefusal() const;
  std::uint64_t RefusedSets() const;

  // Emitted after a set or a VM list has come into force.
  sigc::signal<void()>& SignalInForce();
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_CONFIG_STORE_H_
