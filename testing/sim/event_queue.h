#ifndef PIMENTOHALL_SIM_EVENT_QUEUE_H_
#define PIMENTOHALL_SIM_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "pimentohall/core.h"

namespace pimentohall::sim {

// Virtual time: runs callbacks in the order of their times; equal times run in
// the order in which they were added.
class event_queue {
 public:
  core::instant Now() const { return now_; }

  void At(core::instant when, std::function<void()> run) {
    events_.emplace(std::make_pair(when < now_ ? now_ : when, next_++),
                    std::move(run));
  }
  void After(core::duration delay, std::function<void()> run) {
    At(now_ + delay, std::move(run));
  }

  // Runs every event up to and including `end`.
  void RunUntil(core::instant end) {
    while (!events_.empty() && events_.begin()->first.first <= end) {
      now_ = events_.begin()->first.first;
      const std::function<void()> run = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      run();
    }
    now_ = end;
  }

 private:
  core::instant now_{};
  std::uint64_t next_ = 0;
  std::map<std::pair<core::instant, std::uint64_t>, std::function<void()>>
      events_;
};

}  // namespace pimentohall::sim

#endif  // PIMENTOHALL_SIM_EVENT_QUEUE_H_
