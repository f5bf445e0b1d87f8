#include "pimentohall/mesh.h"

namespace pimentohall::mesh {

void attempt_register::Note(const std::string& attempt, fate what,
                            instant now) {
  if (fates_.emplace(attempt, what).second) order_.emplace_back(now, attempt);
}

void attempt_register::NoteStarted(const std::string& attempt, instant now) {
  Note(attempt, fate::kStarted, now);
}

void attempt_register::Bar(const std::string& attempt, instant now) {
  Note(attempt, fate::kBarred, now);
}

bool attempt_register::HasStarted(const std::string& attempt) const {
  const auto found = fates_.find(attempt);
  return found != fates_.end() && found->second == fate::kStarted;
}

bool attempt_register::IsBarred(const std::string& attempt) const {
  const auto found = fates_.find(attempt);
  return found != fates_.end() && found->second == fate::kBarred;
}

void attempt_register::Expire(instant now) {
  while (!order_.empty() &&
         (order_.front().first + kMemory < now || order_.size() > kMost)) {
    fates_.erase(order_.front().second);
    order_.pop_front();
  }
}

}  // namespace pimentohall::mesh
