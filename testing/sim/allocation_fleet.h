#ifndef PIMENTOHALL_TESTING_SIM_ALLOCATION_FLEET_H_
#define PIMENTOHALL_TESTING_SIM_ALLOCATION_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/contract_allocator.h"

namespace pimentohall::sim {

// One VM's rate limiter, as the fleet drives it. Variants: the project's
// contract_allocator and the alternatives that it is compared with.
class allocation_strategy {
 public:
  virtual ~allocation_strategy() = default;
  virtual void SetOrganisations(
      const std::vector<config::organisation>& organisations,
      core::instant now) = 0;
  virtual void SetVms(const config::vm_list& vms, core::instant now) = 0;
  // `retry` says that the call was told to wait before.
  virtual core::acquire_result Acquire(const std::string& organisation,
                                       bool retry, core::instant now,
                                       core::actions* out) = 0;
  virtual void Release(const std::string& organisation, bool refund,
                       core::instant now) = 0;
  virtual std::uint64_t Generation() const = 0;
  virtual void OnMessage(const std::string& vm, const core::message& body,
                         core::instant now, core::actions* out) = 0;
  virtual void Tick(core::instant now, core::actions* out) = 0;
  virtual core::instant NextWake() const = 0;
};

using strategy_factory = std::function<std::unique_ptr<allocation_strategy>(
    core::fleet_directory directory, std::uint64_t incarnation,
    core::instant start)>;

// Faults of the network, drawn for each message.
struct network_faults {
  double loss = 0;
  double doubling = 0;
  double slow = 0;  // Part of the messages that is delayed by up to `slowness`.
  core::duration slowness = std::chrono::seconds(4);
};

// What the oracle knows of one organisation, in true time.
struct call_log {
  std::vector<core::instant> admitted;  // Without refunded calls.
  std::int64_t arrived = 0;
  std::int64_t refused = 0;
  std::int64_t waited = 0;
  // Refused here, but admitted by one exact token bucket for the whole fleet
  // that sees the same calls.
  std::int64_t wrongly_refused = 0;
  std::int64_t in_flight = 0;
  std::int64_t most_in_flight = 0;
};

// The greatest excess of calls over burst + rate * w, over all windows that lie
// in [from, to). At most 0 when the limit was kept.
double Overshoot(const std::vector<core::instant>& admitted, double rate_per_s,
                 double burst, core::instant from = core::instant::min(),
                 core::instant to = core::instant::max());

// Several limiters on a fake network in virtual time, with an oracle that sees
// all admissions. The same seed and script give the same run.
class allocation_fleet {
 public:
  allocation_fleet(strategy_factory factory, std::uint64_t seed);

  // VM names are "ZONE-NUMBER"; messages take longer between zones.
  static std::vector<std::string> VmNames(int zones, int vms_per_zone);

  void SetOrganisations(std::vector<config::organisation> organisations,
                        core::duration greatest_lag = core::duration(0));
  // Publishes a list; it reaches each VM after up to `greatest_lag`.
  void SetVms(const std::vector<std::string>& vms,
              core::duration greatest_lag = core::duration(0));
  // The same for one VM only, at once.
  void SetVmsAt(const std::string& vm, const std::vector<std::string>& vms);
  // Starts or restarts the process of a VM, with nothing remembered. Calls of
  // the earlier process end.
  void Start(const std::string& vm);
  void Stop(const std::string& vm);
  // A paused VM handles whatever arrived when it wakes.
  void Pause(const std::string& vm, core::duration time);
  // Cuts messages between the two sides; empty: heals.
  void Partition(std::set<std::string> side);
  void SetFaults(const network_faults& faults) { faults_ = faults; }
  // Clock rate of a VM relative to true time.
  void SetClockRate(const std::string& vm, double rate);
  // Makes one VM believe that `home` is everyone's home.
  void SetBelievedHome(const std::string& vm, const std::string& home);

  // Calls at random times (a Poisson process) until `from_now` + `time`.
  void Load(const std::string& vm, const std::string& organisation,
            double calls_per_s, core::duration from_now, core::duration time,
            core::duration length = std::chrono::milliseconds(20));
  // Calls in one instant.
  void Burst(const std::string& vm, const std::string& organisation, int calls,
             core::duration length = std::chrono::milliseconds(20));
  void At(core::duration from_now, std::function<void()> step);
  void Run(core::duration time);

  core::instant Now() const { return now_; }
  const call_log& Log(const std::string& organisation) const;
  void ClearLogs();
  std::int64_t Messages() const { return messages_; }
  // Changes or drops messages; false drops. For attacks that are aimed.
  std::function<bool(const std::string& from, const std::string& to,
                     core::message* body, core::duration* delay)>
      on_message;
  // Part of the calls that end as "not run" and return their token.
  double refund_part = 0;

 private:
  struct waiting_call {
    std::string organisation;
    core::instant arrived;
    core::duration length{0};
    bool reference_admits = false;
  };
  struct member {
    std::string name;
    std::unique_ptr<allocation_strategy> limiter;
    int process = 0;  // Number of this start.
    bool up = false;
    core::instant paused_until;
    double clock_rate = 1;
    std::string believed_home;
    config::vm_list vms;
    std::uint64_t generation = 0;
    core::instant next_tick;
    std::vector<waiting_call> waiting;
    std::map<std::string, std::int64_t> running;
  };
  // One exact token bucket and concurrency limit for the whole fleet.
  struct reference {
    double tokens = 0;
    core::instant filled_at;
    bool Admit(const config::contract& limits, core::instant now);
  };
  struct step {
    core::instant at;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const step& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  core::instant LocalTime(const member& member) const;
  bool IsCut(const std::string& a, const std::string& b) const;
  std::string HomeOf(const member& member,
                     const std::string& organisation) const;
  bool IsUsable(const std::string& from, const std::string& to) const;
  void Push(core::instant at, std::function<void()> run);
  // Runs now, or when the VM wakes.
  void RunOn(member* member, std::function<void()> run);
  void Perform(member* from, const core::actions& actions);
  void Transmit(const std::string& from, const std::string& to,
                const core::message& body);
  void ScheduleTick(member* member);
  void Arrive(member* member, const std::string& organisation,
              core::duration length);
  void Retry(member* member);
  void Admit(member* member, const waiting_call& call);
  void Refuse(const waiting_call& call);
  void GiveUpOverdue(member* member);
  config::vm_list MakeList(const std::vector<std::string>& vms);

  strategy_factory factory_;
  std::mt19937_64 random_;
  core::instant now_;
  std::uint64_t order_ = 0;
  std::priority_queue<step> steps_;
  std::map<std::string, member> members_;
  std::vector<config::organisation> organisations_;
  config::vm_list published_;
  std::set<std::string> partition_;
  core::instant partitioned_at_;
  network_faults faults_;
  std::map<std::string, call_log> logs_;
  std::map<std::string, reference> references_;
  std::int64_t messages_ = 0;
};

}  // namespace pimentohall::sim

#endif  // PIMENTOHALL_TESTING_SIM_ALLOCATION_FLEET_H_
