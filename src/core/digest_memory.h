#ifndef PIMENTOHALL_CORE_DIGEST_MEMORY_H_
#define PIMENTOHALL_CORE_DIGEST_MEMORY_H_

#include <cstddef>
#include <deque>
#include <set>
#include <string>

namespace pimentohall::core {

// A bounded set of digests. Adding beyond the capacity evicts the oldest.
class digest_memory {
 public:
  explicit digest_memory(std::size_t capacity) : capacity_(capacity) {}

  void Add(const std::string& digest) {
    if (!digests_.insert(digest).second) return;
    order_.push_back(digest);
    if (order_.size() <= capacity_) return;
    digests_.erase(order_.front());
    order_.pop_front();
  }
  bool Contains(const std::string& digest) const {
    return digests_.count(digest) > 0;
  }
  std::size_t Size() const { return order_.size(); }

 private:
  std::size_t capacity_;
  std::set<std::string> digests_;
  std::deque<std::string> order_;  // Oldest first.
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_DIGEST_MEMORY_H_
