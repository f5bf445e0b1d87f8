#ifndef PIMENTOHALL_SIM_UPSTREAM_MODEL_H_
#define PIMENTOHALL_SIM_UPSTREAM_MODEL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>

#include "pimentohall/core.h"
#include "sim/event_queue.h"

namespace pimentohall::sim {

// A back end with slots, a first-come queue, a cold start and a crash.
//
// A cold upstream has `kColdSlots` slots until it has answered `kWarmAnswers`
// calls. A call whose path holds "crash" ends the process. Calls beyond
// `kShedFactor` times the slots are shed.
class upstream_model {
 public:
  static constexpr int kColdSlots = 2;
  static constexpr int kWarmAnswers = 50;
  static constexpr int kShedFactor = 4;
  static constexpr core::duration kRestartTime = std::chrono::seconds(1);
  // A cold upstream with more than this many calls at once is overloaded.
  static constexpr int kColdLimit = 2 * kColdSlots;

  using reply = std::function<void(const core::event&)>;

  upstream_model(event_queue* queue, int slots, core::duration service_time,
                 std::uint64_t seed);

  // Starts the call; `done` gets upstream_answered or upstream_failed.
  void Start(const core::start_upstream_call& call, const reply& done);
  void Cancel(const std::string& vm, core::attempt_id attempt);

  void Crash();     // Breaks running calls, refuses for the restart time.
  void FallCold();  // Loses its warm state without notice.
  void SetDraining(bool draining) { draining_ = draining; }

  bool Draining() const { return draining_; }
  int InFlight() const { return static_cast<int>(running_.size()); }
  double Load() const;
  // Starts of calls while more than `kColdLimit` ran on a cold upstream.
  std::uint64_t ColdOverloads() const { return cold_overloads_; }
  std::uint64_t Crashes() const { return crashes_; }

 private:
  struct key {
    std::string vm;
    core::attempt_id attempt = 0;
    bool operator<(const key& other) const {
      return attempt != other.attempt ? attempt < other.attempt : vm < other.vm;
    }
  };
  struct work {
    core::start_upstream_call call;
    reply done;
    bool in_slot = false;
  };

  int Slots() const;
  void FillSlots();
  void Finish(const key& key, std::uint64_t life);
  void Reply(const reply& done, core::event event);

  event_queue* queue_;
  int slots_;
  core::duration service_time_;
  std::mt19937_64 random_;
  bool up_ = true;
  bool draining_ = false;
  int warm_answers_ = 0;
  int busy_ = 0;
  std::uint64_t life_ = 0;
  std::uint64_t cold_overloads_ = 0;
  std::uint64_t crashes_ = 0;
  std::map<key, work> running_;
  std::deque<key> queue_in_;
};

}  // namespace pimentohall::sim

#endif  // PIMENTOHALL_SIM_UPSTREAM_MODEL_H_
