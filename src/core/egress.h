#ifndef PIMENTOHALL_CORE_EGRESS_H_
#define PIMENTOHALL_CORE_EGRESS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "pimentohall/config.h"
#include "pimentohall/core.h"

namespace pimentohall::core {

// Guards the upstreams beside this VM: decides when each forwarded call starts,
// waits or is refused, and what is known of its fate. The only part that gives
// work to these upstreams.
class egress {
 public:
  egress(std::string vm, std::uint64_t seed);

  // Takes over the upstreams whose `vm` is this one; calls of removed
  // upstreams finish, waiting ones are answered "not run".
  void SetConfig(std::shared_ptr<const config::config_set> set, instant now,
                 actions* out);

  void OnPeerCall(const peer_call& call, instant now, actions* out);
  void OnPeerCancel(const peer_cancel& cancel, instant now, actions* out);
  // The link to the ingress daemon closed: its waiting calls are dropped and
  // its running ones cancelled.
  void OnPeerGone(const std::string& vm, instant now, actions* out);
  void OnUpstreamAnswered(const upstream_answered& answer, instant now,
                          actions* out);
  void OnUpstreamFailed(const upstream_failed& failure, instant now,
                        actions* out);
  void OnUpstreamReport(const upstream_report& report, instant now,
                        actions* out);
  void OnCrashReport(const crash_report& report, instant now);
  // New calls are answered "not run"; running and waiting calls finish.
  void BeginStop();
  void Tick(instant now, actions* out);
  instant NextWake() const;

  // Crash reports made here since the last call; the engine sends them to all
  // linked peers.
  std::vector<crash_report> TakeCrashReports();
  // True if calls with this fingerprint are refused now.
  bool IsQuarantined(std::uint64_t fingerprint, instant now) const;

  bool IsIdle() const;  // No call waits or runs.

  struct view {
    std::string upstream;
    std::string state;  // "cold", "warm", "draining", "down"
    upstream_load load;
    std::uint64_t started = 0;
    std::uint64_t shed = 0;
    std::uint64_t lost = 0;
  };
  std::vector<view> View(instant now) const;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_EGRESS_H_
