#ifndef PIMENTOHALL_CHECK_RULES_H_
#define PIMENTOHALL_CHECK_RULES_H_

#include <string>
#include <vector>

#include "check/entry_index.h"
#include "pimentohall/check.h"

namespace pimentohall::check {

// Collects the findings of one entry.
class finding_list {
 public:
  finding_list(std::string place, std::vector<finding>* out)
      : place_(std::move(place)), out_(out) {}
  void Add(finding_id id, std::string problem) {
    out_->push_back({id, place_, std::move(problem)});
  }

 private:
  std::string place_;
  std::vector<finding>* out_;
};

// Each function applies all rules on one kind of entry.
void CheckRoutes(entry_index* index, std::vector<finding>* out);
void CheckServices(entry_index* index, std::vector<finding>* out);
void CheckTenants(entry_index* index, std::vector<finding>* out);
void CheckWhole(entry_index* index, std::vector<finding>* out);

}  // namespace pimentohall::check

#endif  // PIMENTOHALL_CHECK_RULES_H_
