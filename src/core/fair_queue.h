#ifndef PIMENTOHALL_CORE_FAIR_QUEUE_H_
#define PIMENTOHALL_CORE_FAIR_QUEUE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pimentohall/config.h"
#include "pimentohall/core.h"

namespace pimentohall::core {

// The calls that wait for a slot of one upstream.
//
//   auto refused = queue.Push(entry, slots, can_start_now, now);
//   while (const fair_queue::entry* next = queue.Front()) {
//     if (!limiter.CanStart(now)) break;
//     Start(queue.Pop());
//   }
//
// Interactive calls go first, but while overnight calls wait, one call in
// `kOvernightShare` is an overnight call. Within a class the organisations
// share the upstream's time in proportion to their weights (start-time fair
// queueing): each organisation has a virtual time that advances by (measured
// service time / weight) with each of its calls, and the organisation with the
// smallest virtual time is served next. An organisation that was idle resumes
// at the virtual time of the class, so its idle time is neither a credit nor a
// penalty.
class fair_queue {
 public:
  static constexpr std::size_t kCapacity = 64;
  // While both classes wait, one call in this many is an overnight call.
  static constexpr int kOvernightShare = 16;
  // Calls that any organisation may have waiting before its weight counts.
  // Without this allowance, an organisation entitled to a tenth of the queue
  // that sends 90% of its share at random times would lose up to 1 call in 20.
  static constexpr std::size_t kBurst = 8;

  struct entry {
    std::uint64_t id = 0;  // Must grow with each pushed call.
    std::string organisation;
    config::route_class traffic_class = config::route_class::kInteractive;
    instant deadline{};
  };
  struct refusal {
    std::uint64_t id = 0;
    reason why = reason::kQueueFull;
  };

  // Sets the weight of each organisation. Organisations that are not listed or
  // have a weight of zero get the smallest positive weight listed, or 1 if
  // there is none.
  void SetWeights(std::map<std::string, double> weights);

  // Adds a call. Returns the call that is refused, if any:
  // - the new call, with kDeadline, if it would wait beyond its deadline;
  // - when the queue is full, with kQueueFull, the newest call of the
  //   organisation that has the most calls beyond `kBurst` relative to its
  //   weight.
  // `slots` is the number of calls that the upstream runs at a time.
  // `can_start_now` says that an upstream slot is free, so that the call starts
  // at once if no other call waits.
  std::optional<refusal> Push(const entry& call, int slots, bool can_start_now,
                              instant now);

  // The next call, or null if none waits.
  const entry* Front() const;
  entry Pop();
  // Removes a call. Returns false if it is not in the queue.
  bool Remove(std::uint64_t id);
  // Removes and returns the calls whose deadline has passed.
  std::vector<entry> Expire(instant now);
  // Removes and returns all calls.
  std::vector<entry> Clear();

  // Records the time that the upstream took for a call.
  void OnServed(const std::string& organisation, duration service_time);

  // Time until a new call of this organisation and class would start; zero
  // while no service time is known. The service time of the call itself is not
  // included: it depends on the route, and a wrongful refusal costs more than a
  // call that runs past its deadline.
  duration EstimatedWait(const std::string& organisation,
                         config::route_class traffic_class, int slots) const;

  std::size_t Size() const { return size_; }

 private:
  // The waiting calls of one organisation in one class.
  struct flow {
    std::deque<entry> calls;
    double virtual_time = 0;  // Start tag of the first call.
  };
  // The waiting calls of one class.
  struct class_lane {
    // By organisation: flows that have calls or whose virtual time is ahead of
    // the lane.
    std::map<std::string, flow> flows;
    double virtual_time = 0;  // Start tag of the last call served.
    std::size_t size = 0;     // Number of calls in all flows.
  };
  using flow_iterator = std::map<std::string, flow>::iterator;

  static std::size_t LaneIndex(config::route_class traffic_class);
  double Weight(const std::string& organisation) const;
  // Mean service time in microseconds; `kUnknownCost` if none is known.
  double Cost(const std::string& organisation) const;
  std::size_t NextLane() const;
  static const entry* FirstEntry(const class_lane& lane);
  std::size_t Queued(const std::string& organisation) const;
  // Queued calls relative to the weight: first those beyond `kBurst`, then all.
  // The organisation with the largest pair loses a call when the queue is full.
  std::pair<double, double> Excess(const std::string& organisation) const;
  std::string LongestOrganisation(const std::string& newcomer) const;
  std::uint64_t RemoveNewest(const std::string& organisation);
  void EraseCall(class_lane* lane, flow_iterator found, std::size_t position);
  static void DropIdleFlows(class_lane* lane);
  double WorkAhead(const class_lane& lane,
                   const std::string& organisation) const;
  double TotalWork(const class_lane& lane) const;

  std::array<class_lane, 2> lanes_;  // Interactive, overnight.
  std::map<std::string, double> weights_;
  std::map<std::string, double> costs_;  // Mean service times in microseconds.
  double min_weight_ = 1;
  double mean_cost_ = 0;  // 0: unknown.
  std::size_t size_ = 0;
  // Interactive calls served in a row while an overnight call waited.
  int interactive_run_ = 0;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_FAIR_QUEUE_H_
