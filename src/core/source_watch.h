#ifndef PIMENTOHALL_CORE_SOURCE_WATCH_H_
#define PIMENTOHALL_CORE_SOURCE_WATCH_H_

#include <cstdint>
#include <optional>
#include <random>

#include "core/backoff.h"
#include "pimentohall/core.h"

namespace pimentohall::core {

// Schedules the reads of one key of the source: at most one at a time, at most
// one per second, and with backoff after failures. A watch is a read that the
// source holds until the index differs from the last one. If the index
// decreases, the next read restarts at index 0, as the source's published
// protocol demands.
class source_watch {
 public:
  // How long the source may hold a watch.
  static constexpr duration kWatchTimeout = std::chrono::seconds(30);
  static constexpr duration kMinInterval = std::chrono::seconds(1);
  // A read fails if no answer arrives this long after its watch timeout.
  static constexpr duration kGrace = std::chrono::seconds(10);

  source_watch(source_key key, instant start) : key_(key), not_before_(start) {}

  bool CanRead(instant now) const { return !sent_at_ && not_before_ <= now; }
  // Starts the next read: a watch, or an immediate read of the value.
  read_source Read(bool watch, instant now);
  // If the answer is not `useful` (a stale or absent value), an immediate read
  // backs off as after a failure.
  void OnAnswer(std::uint64_t index, bool useful, instant now,
                std::mt19937_64* random);
  void OnFailure(instant now, std::mt19937_64* random);
  // Fails the read in flight if it is overdue. Returns true if it was.
  bool Expire(instant now, std::mt19937_64* random);
  // Makes the next read an immediate one, no earlier than after `delay`.
  void Restart(instant now, duration delay);
  instant NextWake() const;

 private:
  source_key key_;
  std::uint64_t index_ = 0;
  std::optional<instant> sent_at_;  // Of the read in flight.
  duration wait_{0};  // Time for which the source may hold that read.
  instant last_sent_at_;
  instant not_before_;
  backoff backoff_;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_SOURCE_WATCH_H_
