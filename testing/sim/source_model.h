#ifndef PIMENTOHALL_SIM_SOURCE_MODEL_H_
#define PIMENTOHALL_SIM_SOURCE_MODEL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pimentohall/core.h"
#include "sim/event_queue.h"

namespace pimentohall::sim {

// The platform's configuration source: values with an index, blocking reads,
// outages, and a stale mode that serves the values of an earlier moment.
class source_model {
 public:
  using reply = std::function<void(const core::event&)>;

  explicit source_model(event_queue* queue) : queue_(queue) {}

  void Put(const std::string& key, std::string value);
  void SetUp(bool up);
  // Serves the values of this moment until it is called with false.
  void SetStale(bool stale);

  // Answers after the source's own latency, or when a watch ends.
  void Read(const core::read_source& read, const reply& done);

  std::uint64_t Reads() const { return reads_; }

 private:
  struct entry {
    std::uint64_t index = 0;
    std::string value;
  };
  struct watch {
    std::uint64_t id = 0;
    core::read_source read;
    reply done;
  };

  static std::string KeyOf(const core::read_source& read);
  const entry* Find(const std::string& key) const;
  void Finish(const core::read_source& read, const reply& done);

  event_queue* queue_;
  bool up_ = true;
  std::uint64_t index_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t next_watch_ = 0;
  std::map<std::string, entry> entries_;
  std::optional<std::map<std::string, entry>> stale_;
  std::vector<watch> watches_;
};

}  // namespace pimentohall::sim

#endif  // PIMENTOHALL_SIM_SOURCE_MODEL_H_
