#ifndef PIMENTOHALL_CORE_DISTRIBUTION_H_
#define PIMENTOHALL_CORE_DISTRIBUTION_H_

#include <cstdint>
#include <string>

#include "core/config_store.h"
#include "core/membership.h"
#include "pimentohall/core.h"

namespace pimentohall::core {

// Keeps the store up to date: reads and watches the source where this daemon
// is a reader, exchanges versions with linked peers, and fetches what is newer.
// Appends its actions (open_link, close_link, send_message, read_source,
// log_entry) to `out`.
class distribution {
 public:
  // `store` and `members` must outlive this object.
  distribution(const engine_options& options, config_store* store,
               membership* members, instant start);

  void OnLinkUp(const std::string& vm, instant now, actions* out);
  void OnLinkDown(const std::string& vm, instant now, actions* out);
  void OnMessage(const std::string& vm, const message& body, instant now,
                 actions* out);
  void OnSourceValue(const source_value& value, instant now, actions* out);
  void OnSourceFailed(const source_failed& failure, instant now, actions* out);
  void BeginStop(instant now, actions* out);
  void Tick(instant now, actions* out);
  instant NextWake() const;

  // True once a set and a VM list are in force and the peers that were
  // reachable in the first second have told their versions.
  bool IsReady() const;

  // Time since the source was last known to confirm what is in force, directly
  // or through peers; negative if never.
  duration SourceAge(instant now) const;
  std::uint64_t SourceReads() const;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_DISTRIBUTION_H_
