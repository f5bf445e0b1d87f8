#include "sim/allocation_fleet.h"

#include <xxhash.h>

#include <algorithm>

namespace pimentohall::sim {

using core::duration;
using core::instant;

namespace {

// Time after which a VM notices that messages to another are lost.
constexpr duration kLinkTimeout = std::chrono::seconds(5);
constexpr duration kNearDelay = std::chrono::microseconds(200);
constexpr duration kFarDelay = std::chrono::microseconds(1500);

// Clocks start apart so that no test compares them.
constexpr duration kClockStart = std::chrono::hours(1);

std::string Zone(const std::string& vm) { return vm.substr(0, vm.find('-')); }

double Seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

duration FromSeconds(double seconds) {
  return duration(static_cast<duration::rep>(seconds * 1e6));
}

}  // namespace

double Overshoot(const std::vector<instant>& admitted, double rate_per_s,
                 double burst, instant from, instant to) {
  // For a window from call i to call j the excess is
  // (j + 1 - rate * t_j) - (i - rate * t_i) - burst, so the least second term
  // so far gives the worst window that ends in call j.
  double least = 0;
  double worst = -burst;
  double count = 0;
  for (const instant at : admitted) {
    if (at < from || at >= to) {
      continue;
    }
    const double filled = rate_per_s * Seconds(at.time_since_epoch());
    least = count == 0 ? -filled : std::min(least, count - filled);
    count += 1;
    worst = std::max(worst, count - filled - least - burst);
  }
  return worst;
}

bool allocation_fleet::reference::Admit(const config::contract& limits,
                                        instant now) {
  const auto burst = static_cast<double>(limits.burst);
  tokens =
      std::min(burst, tokens + limits.rate_per_s * Seconds(now - filled_at));
  filled_at = now;
  if (tokens < 1) {
    return false;
  }
  tokens -= 1;
  return true;
}

allocation_fleet::allocation_fleet(strategy_factory factory, std::uint64_t seed)
    : factory_(std::move(factory)), random_(seed) {}

std::vector<std::string> allocation_fleet::VmNames(int zones,
                                                   int vms_per_zone) {
  std::vector<std::string> names;
  for (int zone = 0; zone < zones; ++zone) {
    for (int vm = 0; vm < vms_per_zone; ++vm) {
      names.push_back(std::string(1, static_cast<char>('a' + zone)) + "-" +
                      std::to_string(vm));
    }
  }
  return names;
}

config::vm_list allocation_fleet::MakeList(
    const std::vector<std::string>& vms) {
  config::vm_list list;
  list.version = published_.version + 1;
  for (const std::string& name : vms) {
    config::vm vm;
    vm.name = name;
    vm.zone = Zone(name);
    list.vms.push_back(vm);
    members_[name].name = name;
  }
  return list;
}

void allocation_fleet::SetOrganisations(
    std::vector<config::organisation> organisations, duration greatest_lag) {
  organisations_ = std::move(organisations);
  for (auto& [name, member] : members_) {
    sim::allocation_fleet::member* target = &member;
    const duration lag =
        FromSeconds(Seconds(greatest_lag) *
                    std::uniform_real_distribution<double>(0, 1)(random_));
    Push(now_ + lag, [this, target, list = organisations_] {
      RunOn(target, [this, target, list] {
        target->limiter->SetOrganisations(list, LocalTime(*target));
      });
    });
  }
}

void allocation_fleet::SetVms(const std::vector<std::string>& vms,
                              duration greatest_lag) {
  published_ = MakeList(vms);
  for (auto& [name, member] : members_) {
    const std::string vm = name;
    const duration lag =
        FromSeconds(Seconds(greatest_lag) *
                    std::uniform_real_distribution<double>(0, 1)(random_));
    Push(now_ + lag, [this, vm, vms] { SetVmsAt(vm, vms); });
  }
}

void allocation_fleet::SetVmsAt(const std::string& vm,
                                const std::vector<std::string>& vms) {
  member* target = &members_[vm];
  RunOn(target, [this, target, list = MakeList(vms)] {
    target->vms = list;
    target->limiter->SetVms(list, LocalTime(*target));
    ScheduleTick(target);
  });
}

void allocation_fleet::Start(const std::string& vm) {
  Stop(vm);
  member& target = members_[vm];
  target.name = vm;
  target.up = true;
  ++target.process;
  target.paused_until = now_;
  target.vms = published_;
  member* self = &target;
  core::fleet_directory directory;
  directory.self = vm;
  directory.home_of = [this, self](const std::string& organisation, instant) {
    return HomeOf(*self, organisation);
  };
  directory.is_usable = [this, vm](const std::string& other, instant) {
    return IsUsable(vm, other);
  };
  target.limiter = factory_(directory, random_(), LocalTime(target));
  target.generation = target.limiter->Generation();
  target.limiter->SetOrganisations(organisations_, LocalTime(target));
  target.limiter->SetVms(published_, LocalTime(target));
  target.next_tick = now_;
  ScheduleTick(self);
}

void allocation_fleet::Stop(const std::string& vm) {
  member& target = members_[vm];
  for (auto& [organisation, running] : target.running) {
    logs_[organisation].in_flight -= running;
  }
  target.running.clear();
  target.waiting.clear();
  target.up = false;
  target.limiter.reset();
}

void allocation_fleet::Pause(const std::string& vm, duration time) {
  members_[vm].paused_until = now_ + time;
}

void allocation_fleet::Partition(std::set<std::string> side) {
  partition_ = std::move(side);
  partitioned_at_ = now_;
}

void allocation_fleet::SetClockRate(const std::string& vm, double rate) {
  members_[vm].clock_rate = rate;
}

void allocation_fleet::SetBelievedHome(const std::string& vm,
                                       const std::string& home) {
  members_[vm].believed_home = home;
}

instant allocation_fleet::LocalTime(const member& member) const {
  const auto offset =
      kClockStart * static_cast<int>(1 + member.name.back() % 7);
  return instant(offset + FromSeconds(Seconds(now_.time_since_epoch()) *
                                      member.clock_rate));
}

bool allocation_fleet::IsCut(const std::string& a, const std::string& b) const {
  return partition_.count(a) != partition_.count(b);
}

bool allocation_fleet::IsUsable(const std::string& from,
                                const std::string& to) const {
  const auto found = members_.find(to);
  const bool noticed = now_ - partitioned_at_ > kLinkTimeout;
  return found != members_.end() && found->second.up &&
         !(IsCut(from, to) && noticed);
}

std::string allocation_fleet::HomeOf(const member& member,
                                     const std::string& organisation) const {
  if (!member.believed_home.empty()) {
    return member.believed_home;
  }
  std::pair<std::uint64_t, std::string> best;
  for (const config::vm& vm : member.vms.vms) {
    const std::string text = organisation + "/" + vm.name;
    const std::uint64_t weight = XXH64(text.data(), text.size(), 0);
    if (IsUsable(member.name, vm.name)) {
      best = std::max(best, {weight, vm.name});
    }
  }
  return best.second;
}

void allocation_fleet::Push(instant at, std::function<void()> run) {
  steps_.push({at, ++order_, std::move(run)});
}

void allocation_fleet::At(duration from_now, std::function<void()> step) {
  Push(now_ + from_now, std::move(step));
}

void allocation_fleet::RunOn(member* member, std::function<void()> run) {
  if (!member->up) {
    return;
  }
  if (member->paused_until > now_) {
    const int process = member->process;
    Push(member->paused_until, [this, member, process, run = std::move(run)] {
      if (member->process == process) {
        RunOn(member, run);
      }
    });
    return;
  }
  run();
}

void allocation_fleet::Perform(member* from, const core::actions& actions) {
  for (const core::action& action : actions) {
    if (const auto* send = std::get_if<core::send_message>(&action)) {
      Transmit(from->name, send->vm, send->body);
    }
  }
  if (from->limiter->Generation() != from->generation) {
    from->generation = from->limiter->Generation();
    Retry(from);
  }
  ScheduleTick(from);
}

void allocation_fleet::Transmit(const std::string& from, const std::string& to,
                                const core::message& body) {
  ++messages_;
  std::uniform_real_distribution<double> part(0, 1);
  const int copies = part(random_) < faults_.doubling ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    duration delay = Zone(from) == Zone(to) ? kNearDelay : kFarDelay;
    if (part(random_) < faults_.slow) {
      delay += FromSeconds(Seconds(faults_.slowness) * part(random_));
    }
    core::message sent = body;
    const bool lost = part(random_) < faults_.loss || IsCut(from, to);
    if (on_message && !on_message(from, to, &sent, &delay)) {
      continue;
    }
    if (lost || members_.count(to) == 0) {
      continue;
    }
    member* receiver = &members_[to];
    Push(now_ + delay, [this, receiver, from, sent] {
      RunOn(receiver, [this, receiver, from, sent] {
        core::actions actions;
        receiver->limiter->OnMessage(from, sent, LocalTime(*receiver),
                                     &actions);
        Perform(receiver, actions);
      });
    });
  }
}

void allocation_fleet::ScheduleTick(member* member) {
  const duration wait =
      std::max(duration(0), member->limiter->NextWake() - LocalTime(*member));
  const instant at = now_ + wait;
  if (member->next_tick > now_ && member->next_tick <= at) {
    return;
  }
  member->next_tick = at;
  const int process = member->process;
  Push(at, [this, member, process, at] {
    if (member->process != process || member->next_tick != at) {
      return;
    }
    RunOn(member, [this, member] {
      core::actions actions;
      member->limiter->Tick(LocalTime(*member), &actions);
      GiveUpOverdue(member);
      member->next_tick = now_;
      Perform(member, actions);
    });
  });
}

void allocation_fleet::Load(const std::string& vm,
                            const std::string& organisation, double calls_per_s,
                            duration from_now, duration time, duration length) {
  std::exponential_distribution<double> gap(calls_per_s);
  member* target = &members_[vm];
  target->name = vm;
  const instant end = now_ + from_now + time;
  for (instant at = now_ + from_now + FromSeconds(gap(random_)); at < end;
       at += FromSeconds(gap(random_))) {
    Push(at, [this, target, organisation, length] {
      RunOn(target, [=] { Arrive(target, organisation, length); });
    });
  }
}

void allocation_fleet::Burst(const std::string& vm,
                             const std::string& organisation, int calls,
                             duration length) {
  member* target = &members_[vm];
  for (int call = 0; call < calls; ++call) {
    RunOn(target, [=] { Arrive(target, organisation, length); });
  }
}

void allocation_fleet::Arrive(member* member, const std::string& organisation,
                              duration length) {
  call_log& log = logs_[organisation];
  ++log.arrived;
  waiting_call call{organisation, now_, length, false};
  for (const config::organisation& known : organisations_) {
    if (known.name == organisation) {
      call.reference_admits =
          references_[organisation].Admit(known.limits, now_);
    }
  }
  core::actions actions;
  const core::acquire_result result = member->limiter->Acquire(
      organisation, false, LocalTime(*member), &actions);
  if (result == core::acquire_result::kAcquired) {
    Admit(member, call);
  } else if (result == core::acquire_result::kWait) {
    ++log.waited;
    member->waiting.push_back(call);
    const int process = member->process;
    Push(now_ + core::contract_allocator::kAcquireTimeout,
         [this, member, process] {
           if (member->process == process) {
             GiveUpOverdue(member);
           }
         });
  } else {
    Refuse(call);
  }
  Perform(member, actions);
}

void allocation_fleet::GiveUpOverdue(member* member) {
  std::vector<waiting_call> waiting;
  waiting.swap(member->waiting);
  for (waiting_call& call : waiting) {
    if (now_ - call.arrived >= core::contract_allocator::kAcquireTimeout) {
      Refuse(call);
    } else {
      member->waiting.push_back(call);
    }
  }
}

void allocation_fleet::Retry(member* member) {
  GiveUpOverdue(member);
  std::vector<waiting_call> waiting;
  waiting.swap(member->waiting);
  core::actions actions;
  for (const waiting_call& call : waiting) {
    const core::acquire_result result = member->limiter->Acquire(
        call.organisation, true, LocalTime(*member), &actions);
    if (result == core::acquire_result::kAcquired) {
      Admit(member, call);
    } else if (result == core::acquire_result::kWait) {
      member->waiting.push_back(call);
    } else {
      Refuse(call);
    }
  }
  Perform(member, actions);
}

void allocation_fleet::Admit(member* member, const waiting_call& call) {
  call_log& log = logs_[call.organisation];
  const bool refund =
      std::uniform_real_distribution<double>(0, 1)(random_) < refund_part;
  if (!refund) {
    log.admitted.push_back(now_);
  }
  ++log.in_flight;
  log.most_in_flight = std::max(log.most_in_flight, log.in_flight);
  ++member->running[call.organisation];
  const int process = member->process;
  Push(now_ + call.length, [=] {
    if (member->process != process) {
      return;
    }
    // The upstream finishes at this time, whether or not the VM is paused.
    --logs_[call.organisation].in_flight;
    --member->running[call.organisation];
    RunOn(member, [=] {
      member->limiter->Release(call.organisation, refund, LocalTime(*member));
    });
  });
}

void allocation_fleet::Refuse(const waiting_call& call) {
  call_log& log = logs_[call.organisation];
  ++log.refused;
  log.wrongly_refused += call.reference_admits ? 1 : 0;
}

void allocation_fleet::Run(duration time) {
  const instant end = now_ + time;
  while (!steps_.empty() && steps_.top().at <= end) {
    const step next = steps_.top();
    steps_.pop();
    now_ = next.at;
    next.run();
  }
  now_ = end;
}

const call_log& allocation_fleet::Log(const std::string& organisation) const {
  static const call_log kNone;
  const auto found = logs_.find(organisation);
  return found == logs_.end() ? kNone : found->second;
}

void allocation_fleet::ClearLogs() {
  for (auto& [name, log] : logs_) {
    const std::int64_t in_flight = log.in_flight;
    log = call_log{};
    log.in_flight = in_flight;
    log.most_in_flight = in_flight;
  }
}

}  // namespace pimentohall::sim
