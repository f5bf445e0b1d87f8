#include "sim/upstream_model.h"

#include <utility>
#include <vector>

namespace pimentohall::sim {
namespace {

constexpr core::duration kConnectTime = std::chrono::milliseconds(1);
constexpr core::duration kCrashTime = std::chrono::milliseconds(5);

}  // namespace

upstream_model::upstream_model(event_queue* queue, int slots,
                               core::duration service_time, std::uint64_t seed)
    : queue_(queue),
      slots_(slots),
      service_time_(service_time),
      random_(seed) {}

int upstream_model::Slots() const {
  return warm_answers_ < kWarmAnswers ? kColdSlots : slots_;
}

double upstream_model::Load() const {
  return static_cast<double>(InFlight()) / Slots();
}

void upstream_model::Reply(const reply& done, core::event event) {
  queue_->After(kConnectTime,
                [done, event = std::move(event)] { done(event); });
}

void upstream_model::Start(const core::start_upstream_call& call,
                           const reply& done) {
  if (!up_) {
    return Reply(done, core::upstream_failed{call.vm, call.attempt,
                                             core::upstream_failure::kNotSent});
  }
  if (InFlight() >= kShedFactor * Slots()) {
    core::upstream_answered answer{call.vm, call.attempt, 503, true, draining_};
    return Reply(done, answer);
  }
  if (Slots() == kColdSlots && InFlight() >= kColdLimit) ++cold_overloads_;
  const key id{call.vm, call.attempt};
  running_[id] = {call, done, false};
  queue_in_.push_back(id);
  if (call.info.path.find("crash") != std::string::npos) {
    const std::uint64_t life = life_;
    queue_->After(kCrashTime, [this, life, id] {
      if (life == life_ && running_.count(id) != 0) Crash();
    });
  }
  FillSlots();
}

void upstream_model::FillSlots() {
  while (busy_ < Slots() && !queue_in_.empty()) {
    const key id = queue_in_.front();
    queue_in_.pop_front();
    const auto found = running_.find(id);
    if (found == running_.end()) continue;
    found->second.in_slot = true;
    ++busy_;
    // Between half and one and a half times the mean, evenly.
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    const auto time = std::chrono::duration_cast<core::duration>(
        service_time_ * spread(random_));
    const std::uint64_t life = life_;
    queue_->After(time, [this, id, life] { Finish(id, life); });
  }
}

void upstream_model::Finish(const key& id, std::uint64_t life) {
  if (life != life_) return;
  const auto found = running_.find(id);
  if (found == running_.end()) return;
  const work ended = std::move(found->second);
  running_.erase(found);
  --busy_;
  ++warm_answers_;
  ended.done(core::upstream_answered{id.vm, id.attempt, 200, false, draining_});
  FillSlots();
}

void upstream_model::Cancel(const std::string& vm, core::attempt_id attempt) {
  const auto found = running_.find(key{vm, attempt});
  if (found == running_.end()) return;
  if (found->second.in_slot) --busy_;
  running_.erase(found);
  FillSlots();
}

void upstream_model::Crash() {
  ++crashes_;
  ++life_;
  std::map<key, work> broken;
  broken.swap(running_);
  queue_in_.clear();
  busy_ = 0;
  warm_answers_ = 0;
  up_ = false;
  for (const auto& [id, lost] : broken) {
    Reply(lost.done, core::upstream_failed{id.vm, id.attempt,
                                           core::upstream_failure::kLost});
  }
  const std::uint64_t life = life_;
  queue_->After(kRestartTime, [this, life] {
    if (life == life_) up_ = true;
  });
}

void upstream_model::FallCold() { warm_answers_ = 0; }

}  // namespace pimentohall::sim
