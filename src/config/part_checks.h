#ifndef PIMENTOHALL_CONFIG_PART_CHECKS_H_
#define PIMENTOHALL_CONFIG_PART_CHECKS_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "config/document_reader.h"
#include "config/set_data.h"
#include "pimentohall/config.h"

namespace pimentohall::config {

// Collects faults between parts. Parsed parts hold no line numbers, so the part
// is parsed again to find the line of a fault. Only invalid sets incur this
// cost.
class cross_faults {
 public:
  // Both must outlive this object.
  cross_faults(const manifest* manifest,
               const std::map<std::string, std::string>* parts)
      : manifest_(manifest), parts_(parts) {}

  // A fault at `field` of the part `part`. The line is 0 if the bytes of the
  // part are not available.
  void Add(const std::string& part, const std::string& field,
           std::string problem, std::string fix);
  // The same for the element equal to `text` in the list of texts at `field`.
  void AddAtText(const std::string& part, const std::string& field,
                 const std::string& text, std::string problem, std::string fix);

  bool Empty() const { return faults_.empty(); }
  faults Take() { return std::move(faults_); }

 private:
  // The JSON tree of a part, or null if its bytes are not available.
  const json_value* FindTree(const std::string& part);

  const manifest* manifest_;
  const std::map<std::string, std::string>* parts_;
  // The tree of the part that was requested last. A tree is several times as
  // large as its part, so only one is cached.
  std::string cached_part_;
  std::optional<json_value> cached_tree_;
  faults faults_;
};

// Builds the tables and reports names, route matches and addresses that occur
// twice, within one service or in two.
std::shared_ptr<const service_tables> BuildServiceTables(
    const shared_list<service>& services, cross_faults* out);

// Builds the tables and reports key digests that two organisations share.
std::shared_ptr<const organisation_tables> BuildOrganisationTables(
    const shared_list<organisation>& organisations, cross_faults* out);

// Reports contract routes that no service has.
void CheckContract(const organisation& organisation,
                   const service_tables& tables, cross_faults* out);

}  // namespace pimentohall::config

#endif  // PIMENTOHALL_CONFIG_PART_CHECKS_H_
