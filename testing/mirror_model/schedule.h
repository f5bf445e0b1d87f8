#ifndef PIMENTOHALL_TESTING_MIRROR_MODEL_SCHEDULE_H_
#define PIMENTOHALL_TESTING_MIRROR_MODEL_SCHEDULE_H_

// Events in virtual time.

#include <functional>
#include <map>
#include <optional>

#include "pimentohall/core.h"

namespace pimentohall::testing {

class schedule {
 public:
  core::instant now{std::chrono::hours(1)};

  void After(core::duration delay, std::function<void()> run) {
    events_.emplace(now + delay, std::move(run));
  }
  std::optional<core::instant> NextDue() const {
    if (events_.empty()) return std::nullopt;
    return events_.begin()->first;
  }
  // Runs the next event, at its time or now, whichever is later.
  void RunNext() {
    auto next = events_.extract(events_.begin());
    now = std::max(now, next.key());
    next.mapped()();
  }

 private:
  std::multimap<core::instant, std::function<void()>> events_;
};

}  // namespace pimentohall::testing

#endif  // PIMENTOHALL_TESTING_MIRROR_MODEL_SCHEDULE_H_
