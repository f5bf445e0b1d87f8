#ifndef PIMENTOHALL_CORE_CONTRACT_ALLOCATOR_H_
#define PIMENTOHALL_CORE_CONTRACT_ALLOCATOR_H_

#include <cstdint>
#include <string>

#include "core/membership.h"
#include "pimentohall/config.h"
#include "pimentohall/core.h"

namespace pimentohall::core {

enum class acquire_result {
  kAcquired,
  kWait,  // Tokens or permits were asked of the home VM; try again when
          // `Generation` changes, or give up after `kAcquireWait`.
  kRateExceeded,
  kConcurrencyExceeded,
};

// Keeps every organisation within its rate, burst and concurrency over all VMs
// together, without shared state: each VM owns a fixed share, and shares and
// tokens are lent by leases whose two uses never overlap.
class contract_allocator {
 public:
  // Greatest time that a call waits for tokens from the home VM.
  static constexpr duration kAcquireWait = std::chrono::milliseconds(30);

  // `members` must outlive this object.
  contract_allocator(membership* members, std::uint64_t incarnation,
                     instant start);

  void SetConfig(const config::config_set& set, instant now);
  void SetVms(const config::vm_list& vms, instant now);

  // Takes one token and one permit for a call, or says why not.
  acquire_result Acquire(const std::string& organisation, instant now,
                         actions* out);
  // Returns the permit. `refund` returns the token too: the call did not run.
  void Release(const std::string& organisation, bool refund, instant now);

  // Grows when a loan arrives; waiting calls then try again.
  std::uint64_t Generation() const;
  // Time until the next token is likely, for Retry-After.
  duration RetryAfter(const std::string& organisation, instant now) const;

  void OnMessage(const std::string& vm, const message& body, instant now,
                 actions* out);
  void Tick(instant now, actions* out);
  instant NextWake() const;

  // One line of state for dumps.
  struct view {
    std::string organisation;
    double rate_per_s = 0;  // In use here now, loans included.
    double burst = 0;
    double tokens = 0;
    std::int64_t permits = 0;
    std::int64_t in_use = 0;
    std::string home;
  };
  std::vector<view> View(instant now) const;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_CONTRACT_ALLOCATOR_H_
