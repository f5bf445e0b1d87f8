// Any bytes as a VM list: refused with faults, or sound and sorted.

#include "fuzz_check.h"

namespace pimentohall::config {
namespace {

void CheckVmList(const vm_list& list) {
  FUZZ_CHECK(list.version >= 1 && !list.vms.empty());
  const vm* previous = nullptr;
  for (const vm& vm : list.vms) {
    FUZZ_CHECK(previous == nullptr || previous->name < vm.name);
    FUZZ_CHECK(list.Find(vm.name) == &vm);
    FUZZ_CHECK(vm.http_port >= 1 && vm.http_port <= 65535);
    FUZZ_CHECK(vm.link_port >= 1 && vm.link_port <= 65535);
    FUZZ_CHECK(!vm.address.empty() && !vm.zone.empty());
    previous = &vm;
  }
}

}  // namespace
}  // namespace pimentohall::config

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  namespace config = pimentohall::config;
  const auto text = config::AsText(data, size);
  const auto parsed = config::ParseVmList(text);
  if (parsed) {
    config::CheckVmList(*parsed);
  } else {
    config::CheckFaults(parsed.error(), text);
  }
  return 0;
}
