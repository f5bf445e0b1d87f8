#include <event2/event.h>
#include <event2/thread.h>
#include <sys/socket.h>
#include <time.h>

#include <csignal>
#include <deque>

#include "net/raii.h"
#include "pimentohall/net.h"

namespace pimentohall::net {
namespace {

// libevent serves lower numbers first. Timers have priority 0; all other events
// keep libevent's default, half of the number of priorities, which is 1 here.
constexpr int kPriorities = 2;

struct signal_entry {
  event_ptr watch;
  std::function<void()> handler;
};

}  // namespace

class event_loop::impl {
 public:
  explicit impl(std::function<core::instant()> clock)
      : clock_(std::move(clock)) {
    // A write to a connection that the peer closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    base_.reset(event_base_new());
    event_base_priority_init(base_.get(), kPriorities);
    wake_.reset(event_new(base_.get(), -1, 0, &impl::RunPosted, this));
  }

  void Post(std::function<void()> task) {
    posted_.push_back(std::move(task));
    event_active(wake_.get(), EV_TIMEOUT, 0);
  }

  void OnSignal(int signal_number, std::function<void()> handler) {
    auto entry = std::make_unique<signal_entry>();
    entry->handler = std::move(handler);
    entry->watch.reset(evsignal_new(base_.get(), signal_number,
                                    &impl::OnSignalEvent, entry.get()));
    event_add(entry->watch.get(), nullptr);
    signals_.push_back(std::move(entry));
  }

  event_base* Base() const { return base_.get(); }
  core::instant Now() const {
    if (clock_) return clock_();
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return core::instant(std::chrono::duration_cast<core::duration>(
        std::chrono::seconds(time.tv_sec) +
        std::chrono::nanoseconds(time.tv_nsec)));
  }

 private:
  static void RunPosted(evutil_socket_t, std::int16_t, void* self) {
    // Runs only the tasks that are queued now, so that tasks that post further
    // tasks don't starve the sockets.
    auto tasks = std::move(static_cast<impl*>(self)->posted_);
    static_cast<impl*>(self)->posted_.clear();
    for (auto& task : tasks) task();
  }
  static void OnSignalEvent(evutil_socket_t, std::int16_t, void* entry) {
    static_cast<signal_entry*>(entry)->handler();
  }

  const std::function<core::instant()> clock_;
  event_base_ptr base_;
  event_ptr wake_;
  std::deque<std::function<void()>> posted_;
  std::vector<std::unique_ptr<signal_entry>> signals_;
};

event_loop::event_loop(std::function<core::instant()> clock)
    : impl_(std::make_unique<impl>(std::move(clock))) {}
event_loop::~event_loop() = default;

core::instant event_loop::Now() const { return impl_->Now(); }

void event_loop::Run() {
  event_base_loop(impl_->Base(), EVLOOP_NO_EXIT_ON_EMPTY);
}
void event_loop::Stop() { event_base_loopbreak(impl_->Base()); }
void event_loop::Post(std::function<void()> task) {
  impl_->Post(std::move(task));
}
void event_loop::OnSignal(int signal_number, std::function<void()> handler) {
  impl_->OnSignal(signal_number, std::move(handler));
}
event_base* event_loop::Base() const { return impl_->Base(); }

}  // namespace pimentohall::net
