#ifndef PIMENTOHALL_CHECK_ENTRY_INDEX_H_
#define PIMENTOHALL_CHECK_ENTRY_INDEX_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "pimentohall/check.h"

namespace pimentohall::check {

// Compares keys of a hash table and counts the comparisons, so that a test can
// bound them.
struct counting_equal {
  std::uint64_t* count;
  bool operator()(const std::string& a, const std::string& b) const {
    ++*count;
    return a == b;
  }
};

template <typename value>
using counted_map = std::unordered_map<std::string, value,
                                       std::hash<std::string>, counting_equal>;

template <typename value>
counted_map<value> MakeCountedMap(std::uint64_t* count) {
  return counted_map<value>(0, std::hash<std::string>(), counting_equal{count});
}

// What the rules need to know about a service.
struct service_facts {
  bool is_configured = false;
  bool is_routed = false;  // A route sends calls here.
  int listed = 0;          // Upstreams with an entry, except ended starts.
  int draining = 0;        // Of these.
  int evacuated = 0;       // Not draining, but in an evacuated zone.
  int usable = 0;          // The rest, which takes calls.
  double usable_slots = 0;
  // The shortest aim of the routes that send calls here; none if no route has
  // an aim.
  std::optional<mesh::duration> shortest_aim;

  // Calls per second that the usable upstreams take if a call takes the usual
  // share of the shortest aim. None if no aim is known.
  std::optional<double> Capacity() const;
};

// Lookup tables over the entries of an input. A rule sees one entry and this
// index, so it can't go over all entries for each one.
class entry_index {
 public:
  explicit entry_index(const input& indexed);
  // The input must outlive the index.
  entry_index(const entry_index&) = delete;
  entry_index& operator=(const entry_index&) = delete;

  const service_facts* FindService(const std::string& name);
  const counted_map<service_facts>& Services() const { return services_; }
  bool HasUpstreams() const { return input_.upstreams.has_value(); }
  const input& Input() const { return input_; }
  // The largest capacity of a service with routes and usable upstreams. None if
  // there is no such service, or the capacity of one of them is unknown.
  std::optional<double> LargestCapacity() const { return largest_capacity_; }

  // Notes that `owner` uses `key` of a `space` such as "host and prefix".
  // Returns the first owner if it isn't the first use.
  const std::string* Claim(const std::string& space, const std::string& key,
                           const std::string& owner);

  void CountVisit() { ++comparisons_; }
  std::uint64_t Comparisons() const { return comparisons_; }

 private:
  void AddServices();
  void AddAims();
  void AddUpstreams();
  void SetLargestCapacity();

  const input& input_;
  std::uint64_t comparisons_ = 0;
  counted_map<service_facts> services_;
  counted_map<std::string> claims_;
  std::optional<double> largest_capacity_;
};

}  // namespace pimentohall::check

#endif  // PIMENTOHALL_CHECK_ENTRY_INDEX_H_
