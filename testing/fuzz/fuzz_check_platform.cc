// Any bytes as a configuration and, behind a line "---", upstream entries:
// unreadable, or a report that agrees with what daemons accept.

#include "fuzz_check.h"
#include "pimentohall/check.h"
#include "platform/platform.h"

namespace pimentohall::check {
namespace {

constexpr std::string_view kSeparator = "\n---\n";

void CheckReport(const input& checked) {
  const report result = Check(checked);
  bool is_refused = false;
  for (const finding& each : result.findings) {
    FUZZ_CHECK(!each.problem.empty());
    is_refused = is_refused || KindOf(each.id).refused_by_daemons;
  }
  const bool is_accepted =
      mesh::configuration::Build(checked.proposed).has_value();
  FUZZ_CHECK(is_accepted != is_refused);
  FUZZ_CHECK(result.differences.empty());  // Compared with itself.
}

}  // namespace
}  // namespace pimentohall::check

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  namespace check = pimentohall::check;
  namespace platform = pimentohall::platform;
  const std::string text(pimentohall::config::AsText(data, size));
  const std::size_t end = text.find(check::kSeparator);
  auto proposed = platform::ParseConfiguration(text.substr(0, end));
  if (!proposed) {
    FUZZ_CHECK(!proposed.error().empty());
    return 0;
  }
  check::input input;
  input.proposed = *proposed;
  input.in_force = std::move(*proposed);
  if (end != std::string::npos) {
    auto upstreams =
        platform::ParseUpstreams(text.substr(end + check::kSeparator.size()));
    if (upstreams) input.upstreams = std::move(*upstreams);
  }
  input.evacuated_zones = {"north"};
  input.memory_bytes = 160 * 1024 * 1024;
  check::CheckReport(input);
  return 0;
}
