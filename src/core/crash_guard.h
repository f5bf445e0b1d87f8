#ifndef PIMENTOHALL_CORE_CRASH_GUARD_H_
#define PIMENTOHALL_CORE_CRASH_GUARD_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pimentohall/core.h"

namespace pimentohall::core {

// Finds calls that crash the upstreams that run them.
//
//   for (const crash_report& report : guard.OnCrash(crash, in_flight, now)) {
//     tell the peers;
//   }
//   if (guard.IsQuarantined(fingerprint, now)) refuse the call;
//
// The guard keeps facts only: which fingerprints were in flight in which crash.
// Its verdicts follow from the facts alone, so own crashes and reports of peers
// give the same verdict in any order. A fingerprint is not blamed for a crash
// in which another one was in flight that occurs in more crashes. It is
// quarantined for `kQuarantine` after the last of
//   - 2 crashes in each of which no other fingerprint was in flight, or
//   - 3 crashes otherwise.
// An answer to a call clears its fingerprint: a call that crashes each upstream
// is never answered, while one that is often in flight by chance mostly is.
class crash_guard {
 public:
  static constexpr std::size_t kMaxFingerprints = 1000;
  static constexpr duration kQuarantine = std::chrono::minutes(10);
  // Longer than the quarantine, so that one further crash after its end
  // quarantines the fingerprint again.
  static constexpr duration kMemory = std::chrono::minutes(20);
  static constexpr int kCrashesAlone = 2;
  static constexpr int kCrashesTogether = 3;

  // Records a crash seen here. `crash` must be unique over all daemons.
  std::vector<crash_report> OnCrash(std::uint64_t crash,
                                    const std::vector<std::uint64_t>& in_flight,
                                    bool alone, instant now);
  // Records a report of a peer; duplicates have no effect.
  void Merge(const crash_report& report, instant now);
  // A call with this fingerprint was answered.
  void OnAnswered(std::uint64_t fingerprint);

  bool IsQuarantined(std::uint64_t fingerprint, instant now) const;
  // True if the fingerprint is blamed for a crash. Such a call should run with
  // no other call beside it.
  bool IsSuspect(std::uint64_t fingerprint, instant now) const;

  std::size_t Size() const { return suspects_.size(); }
  void Expire(instant now);

 private:
  // Older crashes of a fingerprint are not needed for the verdict.
  static constexpr std::size_t kCrashesKept = 8;

  struct crash_fact {
    instant at;
    bool alone = false;
    std::vector<std::uint64_t> fingerprints;
  };
  struct suspect {
    std::vector<std::uint64_t> crashes;  // Oldest first.
    instant last;
  };
  struct verdict {
    int crashes = 0;
    int crashes_alone = 0;
    std::optional<instant> last;
  };

  void Record(std::uint64_t crash, std::uint64_t fingerprint, bool alone,
              instant at);
  void Forget(std::uint64_t fingerprint);
  void RemoveFact(std::uint64_t crash, std::uint64_t fingerprint);
  void MakeRoom();
  bool IsExplained(std::uint64_t fingerprint, std::size_t crashes,
                   const crash_fact& fact) const;
  verdict Judge(std::uint64_t fingerprint, instant now) const;

  std::unordered_map<std::uint64_t, suspect> suspects_;
  std::unordered_map<std::uint64_t, crash_fact> crashes_;
  instant next_expiry_{};
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_CRASH_GUARD_H_
