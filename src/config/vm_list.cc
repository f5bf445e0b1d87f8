#include <algorithm>
#include <unordered_map>

#include "config/document_reader.h"
#include "config/syntax.h"
#include "pimentohall/config.h"

namespace pimentohall::config {
namespace {

constexpr std::int64_t kFormat = 1;
constexpr choice<vm_state> kVmStates[] = {{"live", vm_state::kLive},
                                          {"leaving", vm_state::kLeaving}};

void ReadVm(object_reader& reader, vm* out) {
  reader.Text("name", kNameRule, &out->name);
  reader.Text("zone", kNameRule, &out->zone);
  reader.Text("address", kAddressRule, &out->address);
  reader.Integer("http_port", kPortRange, &out->http_port);
  reader.Integer("link_port", kPortRange, &out->link_port);
  reader.Choice("state", kVmStates, &out->state);
  if (out->http_port != 0 && out->http_port == out->link_port) {
    reader.Report("link_port", "link_port is the same as http_port",
                  "give each its own port");
  }
}

// Checks that no two VMs share an address and port: only one of them could
// listen there, and calls for the other would reach the wrong VM.
void CheckPorts(object_reader& reader, const std::vector<vm>& vms) {
  std::unordered_map<std::string, const vm*> owners;
  for (const vm& vm : vms) {
    for (int port : {vm.http_port, vm.link_port}) {
      if (vm.address.empty() || port == 0) continue;
      const std::string endpoint =
          CanonicalAddress(vm.address) + " port " + std::to_string(port);
      const auto [owner, added] = owners.emplace(endpoint, &vm);
      if (added || owner->second == &vm) continue;
      reader.ReportElement("vms", static_cast<std::size_t>(&vm - vms.data()),
                           endpoint + " belongs to " + owner->second->name +
                               " and to " + vm.name,
                           "give each VM its own address or ports");
    }
  }
}

void ReadVmList(object_reader& reader, vm_list* out) {
  std::int64_t format = 0;
  reader.Integer("format", {kFormat, kFormat}, &format);
  reader.Integer("version", kVersionRange, &out->version);
  reader.Objects("vms", emptiness::kRefused, &vm::name, &out->vms, ReadVm);
  CheckPorts(reader, out->vms);
}

}  // namespace

tl::expected<vm_list, faults> ParseVmList(std::string_view bytes,
                                          const std::string& document) {
  auto parsed =
      ReadDocument<vm_list>(bytes, document, kMaxValueBytes, ReadVmList);
  if (!parsed) return parsed;
  parsed->digest = Sha256Hex(bytes);
  std::sort(parsed->vms.begin(), parsed->vms.end(),
            [](const vm& a, const vm& b) { return a.name < b.name; });
  return parsed;
}

}  // namespace pimentohall::config
