// Any bytes as settings: refused with faults, or within every limit.

#include "fuzz_check.h"
#include "pimentohall/net.h"

namespace pimentohall::net {
namespace {

bool IsPort(int port) { return port >= 0 && port <= 65535; }

void CheckSettings(const daemon_settings& settings) {
  const limit_settings most;
  FUZZ_CHECK(!settings.vm.empty() && !settings.zone.empty());
  FUZZ_CHECK(IsPort(settings.http.port) && IsPort(settings.link.port));
  FUZZ_CHECK(IsPort(settings.admin.port));
  FUZZ_CHECK(!settings.source.addresses.empty());
  FUZZ_CHECK(settings.limits.body_bytes >= 1 &&
             settings.limits.body_bytes <= most.body_bytes);
  FUZZ_CHECK(settings.limits.links >= 1 && settings.limits.links <= most.links);
  FUZZ_CHECK(!settings.link_tls.IsSet() || !settings.link_tls.ca.empty());
}

}  // namespace
}  // namespace pimentohall::net

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  namespace net = pimentohall::net;
  const auto text = pimentohall::config::AsText(data, size);
  const auto parsed = net::ParseSettings(text, "settings");
  if (parsed) {
    net::CheckSettings(*parsed);
  } else {
    pimentohall::config::CheckFaults(parsed.error(), text);
  }
  return 0;
}
