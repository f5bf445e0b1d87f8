#include "core/source_watch.h"

#include <algorithm>

namespace pimentohall::core {

read_source source_watch::Read(bool watch, instant now) {
  read_source read;
  read.key = key_;
  read.index = watch ? index_ : 0;
  read.wait = read.index > 0 ? kWatchTimeout : duration(0);
  wait_ = read.wait;
  sent_at_ = now;
  last_sent_at_ = now;
  return read;
}

void source_watch::OnAnswer(std::uint64_t index, bool useful, instant now,
                            std::mt19937_64* random) {
  if (!sent_at_) return;
  sent_at_.reset();
  index_ = index < index_ ? 0 : index;
  not_before_ = std::max(now, last_sent_at_ + kMinInterval);
  if (useful) {
    backoff_.Reset();
    return;
  }
  // The source holds a watch with an index; only immediate reads back off.
  if (index_ == 0) {
    not_before_ = std::max(not_before_, now + backoff_.Next(random));
  }
}

void source_watch::OnFailure(instant now, std::mt19937_64* random) {
  if (!sent_at_) return;
  sent_at_.reset();
  index_ = 0;
  not_before_ =
      std::max(last_sent_at_ + kMinInterval, now + backoff_.Next(random));
}

bool source_watch::Expire(instant now, std::mt19937_64* random) {
  if (!sent_at_ || now - *sent_at_ < wait_ + kGrace) return false;
  OnFailure(now, random);
  return true;
}

void source_watch::Restart(instant now, duration delay) {
  index_ = 0;
  not_before_ = std::max(not_before_, now + delay);
}

instant source_watch::NextWake() const {
  return sent_at_ ? *sent_at_ + wait_ + kGrace : not_before_;
}

}  // namespace pimentohall::core
