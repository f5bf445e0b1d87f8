#include "pimentohall/mesh.h"

namespace pimentohall::mesh {

void attempt_register::Record(const std::string& id, outcome result,
                              instant now) {
  if (outcomes_.emplace(id, result).second) order_.emplace_back(now, id);
}

void attempt_register::NoteStarted(const std::string& attempt, instant now) {
  Record(attempt, outcome::kStarted, now);
}

void attempt_register::Bar(const std::string& attempt, instant now) {
  Record(attempt, outcome::kBarred, now);
}

bool attempt_register::HasStarted(const std::string& attempt) const {
  const auto found = outcomes_.find(attempt);
  return found != outcomes_.end() && found->second == outcome::kStarted;
}

bool attempt_register::IsBarred(const std::string& attempt) const {
  const auto found = outcomes_.find(attempt);
  return found != outcomes_.end() && found->second == outcome::kBarred;
}

void attempt_register::Expire(instant now) {
  while (!order_.empty() && (order_.front().first + kMemory < now ||
                             order_.size() > kMaxAttempts)) {
    outcomes_.erase(order_.front().second);
    order_.pop_front();
  }
}

}  // namespace pimentohall::mesh
