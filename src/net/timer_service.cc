#include <algorithm>
#include <map>

#include "net/raii.h"
#include "pimentohall/net.h"

namespace pimentohall::net {
namespace {

// A disconnected timer stays in the queue until it is due or swept. A sweep
// removes all disconnected timers once the queue has doubled since the last
// sweep. This keeps the amortised cost of a timer constant and limits
// disconnected timers to about half of the queue.
constexpr std::size_t kMinSweepSize = 256;

struct entry {
  sigc::signal<void()> signal;
  core::duration period{0};  // 0 for a one-shot timer.
};

}  // namespace

class timer_service::impl {
 public:
  explicit impl(event_loop& loop) : loop_(loop) {
    wake_.reset(evtimer_new(loop.Base(), &impl::OnWake, this));
    event_priority_set(wake_.get(), 0);
  }

  sigc::connection Add(core::duration delay, core::duration period,
                       sigc::slot<void()> slot) {
    if (queue_.size() >= sweep_size_) Sweep();
    auto new_entry = std::make_shared<entry>();
    new_entry->period = period;
    sigc::connection connection = new_entry->signal.connect(std::move(slot));
    queue_.emplace(loop_.Now() + delay, std::move(new_entry));
    Arm();
    return connection;
  }

  void RunDue(core::instant now) {
    while (!queue_.empty() && queue_.begin()->first <= now) {
      std::shared_ptr<entry> due = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      if (due->signal.empty()) continue;
      if (due->period.count() > 0) queue_.emplace(now + due->period, due);
      due->signal.emit();
    }
    Arm();
  }

  std::optional<core::instant> NextDue() const {
    if (queue_.empty()) return std::nullopt;
    return queue_.begin()->first;
  }

 private:
  static void OnWake(evutil_socket_t, short, void* self) {
    auto* timers = static_cast<impl*>(self);
    timers->armed_time_ = core::instant::max();
    timers->RunDue(timers->loop_.Now());
  }

  void Arm() {
    if (queue_.empty() || queue_.begin()->first >= armed_time_) return;
    armed_time_ = queue_.begin()->first;
    const core::duration remaining =
        std::max(armed_time_ - loop_.Now(), core::duration(0));
    const timeval delay = {
        static_cast<time_t>(remaining.count() / 1000000),
        static_cast<suseconds_t>(remaining.count() % 1000000)};
    evtimer_add(wake_.get(), &delay);
  }

  void Sweep() {
    for (auto it = queue_.begin(); it != queue_.end();) {
      it = it->second->signal.empty() ? queue_.erase(it) : std::next(it);
    }
    sweep_size_ = std::max(kMinSweepSize, 2 * queue_.size());
  }

  event_loop& loop_;
  event_ptr wake_;
  std::multimap<core::instant, std::shared_ptr<entry>> queue_;
  core::instant armed_time_ = core::instant::max();
  std::size_t sweep_size_ = kMinSweepSize;
};

timer_service::timer_service(event_loop& loop)
    : impl_(std::make_unique<impl>(loop)) {}
timer_service::~timer_service() = default;

sigc::connection timer_service::Every(core::duration period,
                                      sigc::slot<void()> slot) {
  return impl_->Add(period, period, std::move(slot));
}
sigc::connection timer_service::After(core::duration delay,
                                      sigc::slot<void()> slot) {
  return impl_->Add(delay, core::duration(0), std::move(slot));
}
void timer_service::RunDue(core::instant now) { impl_->RunDue(now); }
std::optional<core::instant> timer_service::NextDue() const {
  return impl_->NextDue();
}

}  // namespace pimentohall::net
