#ifndef PIMENTOHALL_CORE_SOURCE_WATCH_H_
#define PIMENTOHALL_CORE_SOURCE_WATCH_H_

#include <cstdint>
#include <optional>
#include <random>

#include "core/backoff.h"
#include "pimentohall/core.h"

namespace pimentohall::core {

// State of the reads of one key of the source: at most one at a time, at most
// one a second, and with backoff after failures. A watch waits at the source
// for an index other than the last one; the published protocol says to start
// over at 0 when the index goes back.
class source_watch {
 public:
  static constexpr duration kWait = std::chrono::seconds(30);
  static constexpr duration kLeastInterval = std::chrono::seconds(1);
  // A read without any answer this long after its wait is given up.
  static constexpr duration kGrace = std::chrono::seconds(10);

  source_watch(source_key key, instant start) : key_(key), not_before_(start) {}

  bool CanRead(instant now) const { return !sent_at_ && not_before_ <= now; }
  // The next read: a watch, or an immediate read of the value.
  read_source Read(bool watch, instant now);
  // Without `useful` (a stale or absent value) the next read backs off as after
  // a failure.
  void OnAnswer(std::uint64_t index, bool useful, instant now,
                std::mt19937_64* random);
  void OnFailure(instant now, std::mt19937_64* random);
  // Gives up a read that is overdue. True if one was.
  bool Expire(instant now, std::mt19937_64* random);
  // Makes the next read return the value at once, after `pause`.
  void StartOver(instant now, duration pause);
  instant NextWake() const;

 private:
  source_key key_;
  std::uint64_t index_ = 0;
  std::optional<instant> sent_at_;  // Of the read that is under way.
  duration wait_{0};
  instant last_sent_;
  instant not_before_;
  backoff backoff_;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_SOURCE_WATCH_H_
