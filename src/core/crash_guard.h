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
//     send the report to the peers;
//   }
//   if (guard.IsQuarantined(fingerprint, now)) refuse the call;
//
// The guard records only which fingerprints were in flight in which crash, and
// derives its verdicts from these records. The verdict therefore does not
// depend on the order of the reports, nor on whether they are local or from
// peers. A fingerprint is not blamed for a crash if another fingerprint in
// flight in that crash occurs in more crashes. It is quarantined for
// `kQuarantineTime` after the last of
//   - 2 crashes in each of which no other fingerprint was in flight, or
//   - 3 crashes otherwise.
// An answer to a call clears its fingerprint: a call that crashes every
// upstream is never answered, while a call that is often in flight by chance
// usually is.
class crash_guard {
 public:
  static constexpr std::size_t kMaxFingerprints = 1000;
  static constexpr duration kQuarantineTime = std::chrono::minutes(10);
  // How long a crash is remembered. Longer than the quarantine, so that one
  // further crash after the quarantine starts another one.
  static constexpr duration kRetention = std::chrono::minutes(20);
  static constexpr int kMinCrashesAlone = 2;
  static constexpr int kMinCrashesTogether = 3;

  // Records a crash on this VM and returns the reports for the peers. `crash`
  // must be unique among all daemons. `alone` is true if no other call was in
  // flight.
  std::vector<crash_report> OnCrash(std::uint64_t crash,
                                    const std::vector<std::uint64_t>& in_flight,
                                    bool alone, instant now);
  // Records a peer's report; duplicates have no effect.
  void Merge(const crash_report& report, instant now);
  // What is held at present, for a peer that hasn't seen it; the fingerprints
  // with the most crashes first, at most `kMaxReports`.
  static constexpr std::size_t kMaxReports = 1000;
  std::vector<crash_report> Reports(instant now) const;
  // Clears the fingerprint of a call that was answered.
  void OnAnswered(std::uint64_t fingerprint);

  bool IsQuarantined(std::uint64_t fingerprint, instant now) const;
  // True if the fingerprint is blamed for a crash. Such a call should run while
  // no other call is in flight on the upstream.
  bool IsSuspect(std::uint64_t fingerprint, instant now) const;

  std::size_t Size() const { return suspects_.size(); }
  void Expire(instant now);

 private:
  // Number of crashes kept for each fingerprint. The verdict doesn't need older
  // ones.
  static constexpr std::size_t kMaxCrashesKept = 8;

  struct crash_record {
    instant time;
    bool alone = false;
    std::vector<std::uint64_t> fingerprints;
  };
  struct suspect {
    std::vector<std::uint64_t> crashes;  // Oldest first.
    instant last_crash;
  };
  struct verdict {
    int crashes = 0;
    int crashes_alone = 0;
    std::optional<instant> last;  // Time of the last crash.
  };

  void Record(std::uint64_t crash, std::uint64_t fingerprint, bool alone,
              instant time);
  void Remove(std::uint64_t fingerprint);
  void RemoveFromCrash(std::uint64_t crash, std::uint64_t fingerprint);
  void EvictWeakest();
  bool IsExplained(std::uint64_t fingerprint, std::size_t crashes,
                   const crash_record& record) const;
  verdict Evaluate(std::uint64_t fingerprint, instant now) const;

  std::unordered_map<std::uint64_t, suspect> suspects_;
  std::unordered_map<std::uint64_t, crash_record> crashes_;
  instant next_expiry_{};
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_CRASH_GUARD_H_
