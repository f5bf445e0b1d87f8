#include "core/source_watch.h"

#include <algorithm>

namespace pimentohall::core {

read_source source_watch::Read(bool watch, instant now) {
  read_source read;
  read.key = key_;
  read.index = watch ? index_ : 0;
  read.wait = read.index > 0 ? kWait : duration(0);
  wait_ = read.wait;
  sent_at_ = now;
  last_sent_ = now;
  return read;
}

void source_watch::OnAnswer(std::uint64_t index, bool useful, instant now,
                            std::mt19937_64* random) {
  if (!sent_at_) return;
  sent_at_.reset();
  index_ = index < index_ ? 0 : index;
  not_before_ = std::max(now, last_sent_ + kLeastInterval);
  if (useful) {
    backoff_.Reset();
    return;
  }
  // A watch with an index waits at the source; only plain reads back off.
  if (index_ == 0) {
    not_before_ = std::max(not_before_, now + backoff_.Next(random));
  }
}

void source_watch::OnFailure(instant now, std::mt19937_64* random) {
  if (!sent_at_) return;
  sent_at_.reset();
  index_ = 0;
  not_before_ =
      std::max(last_sent_ + kLeastInterval, now + backoff_.Next(random));
}

bool source_watch::Expire(instant now, std::mt19937_64* random) {
  if (!sent_at_ || now - *sent_at_ < wait_ + kGrace) return false;
  OnFailure(now, random);
  return true;
}

void source_watch::StartOver(instant now, duration pause) {
  index_ = 0;
  not_before_ = std::max(not_before_, now + pause);
}

instant source_watch::NextWake() const {
  return sent_at_ ? *sent_at_ + wait_ + kGrace : not_before_;
}

}  // namespace pimentohall::core
