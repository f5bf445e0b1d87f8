#include <algorithm>

#include "pimentohall/sched.h"

namespace pimentohall::sched {

void admission_gate::OnReport(const std::string& service,
                              const std::string& upstream, int rank_limit,
                              instant now) {
  if (rank_limit >= rank_limiter::kNone || rank_limit < 0) {
    if (!limits_.empty()) limits_.erase({service, upstream});
    return;
  }
  limits_[{service, upstream}] = {rank_limit, now};
}

bool admission_gate::Admits(const std::string& service,
                            const std::vector<std::string>& upstreams, int rank,
                            std::uint64_t key, instant now) const {
  if (limits_.empty() || upstreams.empty()) return true;
  if (key % rank_limiter::kPassInterval == 0) return true;
  return std::any_of(
      upstreams.begin(), upstreams.end(), [&](const std::string& upstream) {
        const auto found = limits_.find({service, upstream});
        return found == limits_.end() || now - found->second.at > kMaxAge ||
               rank <= found->second.rank;
      });
}

void admission_gate::Expire(instant now) {
  for (auto each = limits_.begin(); each != limits_.end();) {
    const bool is_old = now - each->second.at > kMaxAge;
    each = is_old ? limits_.erase(each) : std::next(each);
  }
}

}  // namespace pimentohall::sched
