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
//   auto refused = queue.Push(entry, slots, now);
//   while (const fair_queue::entry* next = queue.Front()) {
//     if (!upstream.HasRoom()) break;
//     Start(queue.Pop());
//   }
//
// Interactive calls go first, but one call in `kOvernightShare` is an overnight
// call while one waits. Within a class the organisations share the upstream's
// time by their weights: each organisation has a virtual time that advances by
// (measured service time / weight) with each of its calls, and the organisation
// with the least virtual time is next (start-time fair queueing). An
// organisation that was idle starts at the virtual time of the class, so it
// neither loses nor gains by its idle time.
class fair_queue {
 public:
  static constexpr std::size_t kCapacity = 64;
  static constexpr int kOvernightShare = 16;
  // Calls that any organisation may have waiting before its weight counts. A
  // tenth of the queue alone would lose up to 1 call in 20 of an organisation
  // that sends 90% of its share at random times.
  static constexpr std::size_t kBurst = 8;

  struct entry {
    std::uint64_t id = 0;
    std::string organisation;
    config::route_class traffic_class = config::route_class::kInteractive;
    instant deadline{};
  };
  struct refusal {
    std::uint64_t id = 0;
    reason why = reason::kQueueFull;
  };

  // Sets the weight of each organisation. Others, and organisations with a
  // weight of zero, have the least weight given here.
  void SetWeights(std::map<std::string, double> weights);

  // Adds a call. Returns the call that is refused, if any: the new one with
  // kDeadline if it would wait beyond its deadline, or, when the queue is full,
  // the newest call of the organisation with the most calls beyond `kBurst` for
  // its weight.
  // `slots` is the number of calls that the upstream runs at a time; with
  // `has_room` the call can start at once.
  std::optional<refusal> Push(const entry& call, int slots, bool has_room,
                              instant now);

  // The next call, or null.
  const entry* Front() const;
  entry Pop();
  // Removes a call. False if it does not wait here.
  bool Remove(std::uint64_t id);
  // Removes and returns the calls whose deadline has passed.
  std::vector<entry> Expire(instant now);
  // Removes and returns all calls.
  std::vector<entry> Clear();

  // Takes the time that the upstream worked on a call.
  void OnServed(const std::string& organisation, duration service_time);

  // Time until a new call of this organisation and class would start; zero
  // while no service time is known. The time that the call itself needs is not
  // part of it: that depends on the route, and a wrongful refusal costs more
  // than a call that runs too long.
  duration EstimatedWait(const std::string& organisation,
                         config::route_class traffic_class, int slots) const;

  std::size_t Size() const { return size_; }

 private:
  struct flow {
    std::deque<entry> calls;
    double virtual_time = 0;  // Start tag of the first call.
  };
  struct lane {
    std::map<std::string, flow> flows;  // Those with calls or ahead in time.
    double virtual_time = 0;            // Start tag of the last call served.
    std::size_t size = 0;
  };
  using lane_flow = std::map<std::string, flow>::iterator;

  static std::size_t LaneIndex(config::route_class traffic_class);
  double Weight(const std::string& organisation) const;
  // Mean service time in microseconds; `kUnknownCost` if none is known.
  double Cost(const std::string& organisation) const;
  std::size_t NextLane() const;
  static const entry* FirstOf(const lane& waiting);
  std::size_t Queued(const std::string& organisation) const;
  // Orders organisations by the calls that they hold for their weight: first
  // those beyond `kBurst`, then all.
  std::pair<double, double> Excess(const std::string& organisation) const;
  std::string LongestOrganisation(const std::string& preferred) const;
  std::uint64_t RemoveNewest(const std::string& organisation);
  void EraseAt(lane* waiting, lane_flow found, std::size_t position);
  static void ForgetIdle(lane* waiting);
  double WorkAhead(const lane& waiting, const std::string& organisation) const;
  double TotalWork(const lane& waiting) const;

  std::array<lane, 2> lanes_;
  std::map<std::string, double> weights_;
  std::map<std::string, double> costs_;
  double least_weight_ = 1;
  double mean_cost_ = 0;  // 0: unknown.
  std::size_t size_ = 0;
  // Interactive calls served since an overnight call was, while one waited.
  int interactive_run_ = 0;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_FAIR_QUEUE_H_
