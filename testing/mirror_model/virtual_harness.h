#ifndef PIMENTOHALL_TESTING_MIRROR_MODEL_VIRTUAL_HARNESS_H_
#define PIMENTOHALL_TESTING_MIRROR_MODEL_VIRTUAL_HARNESS_H_

// An event loop and timers in virtual time. Nothing in it may use sockets.

#include <event2/event.h>

#include "pimentohall/net.h"

namespace pimentohall::net {

struct virtual_harness {
  core::instant now{std::chrono::hours(1)};
  event_loop loop{[this] { return now; }};
  timer_service timers{loop};

  // Runs the timers that are due within `time`, each at its own time.
  void RunFor(core::duration time) {
    const core::instant end = now + time;
    RunReady();
    for (auto due = timers.NextDue(); due && *due <= end;
         due = timers.NextDue()) {
      now = std::max(now, *due);
      timers.RunDue(now);
      RunReady();
    }
    now = end;
  }
  // Runs what was posted to the loop.
  void RunReady() {
    for (int i = 0; i < 3; ++i) event_base_loop(loop.Base(), EVLOOP_NONBLOCK);
  }
};

}  // namespace pimentohall::net

#endif  // PIMENTOHALL_TESTING_MIRROR_MODEL_VIRTUAL_HARNESS_H_
