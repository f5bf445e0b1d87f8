#include "cli/offline_engine.h"

#include <deque>
#include <map>

namespace pimentohall::cli {
namespace {

// Upper bound of the time from an engine's start until it is ready.
constexpr core::duration kMaxStartupTime = std::chrono::seconds(30);
constexpr core::duration kTickInterval = std::chrono::milliseconds(100);

// Answers the engine's reads of the source from memory.
class offline_source {
 public:
  explicit offline_source(std::map<std::string, std::string> values)
      : values_(std::move(values)) {}

  // A watch (a read with an index) gets no answer: the values never change.
  bool Answer(const core::read_source& read, core::event* event) const {
    if (read.index != 0) return false;
    core::source_value value;
    value.key = read.key;
    value.digest = read.digest;
    value.index = 1;
    const auto found = values_.find(ValueKey(read));
    if (found != values_.end()) value.value = found->second;
    *event = std::move(value);
    return true;
  }

 private:
  static std::string ValueKey(const core::read_source& read) {
    switch (read.key) {
      case core::source_key::kManifest:
        return "manifest";
      case core::source_key::kVmList:
        return "vms";
      case core::source_key::kPart:
        return read.digest;
    }
    return "";
  }

  std::map<std::string, std::string> values_;
};

}  // namespace

tl::expected<std::string, config::faults> ExplainOffline(
    const folder& folder, const core::call_arrived& call) {
  const auto set = AssembleFolder(folder, 1);
  if (!set) return tl::make_unexpected(set.error());
  const auto vms = config::ParseVmList(folder.vms, "vms");
  if (!vms) return tl::make_unexpected(vms.error());
  if (vms->vms.empty()) {
    return tl::make_unexpected(config::faults{
        {"vms", 0, "/vms", "the list is empty", "list at least one VM"}});
  }
  std::map<std::string, std::string> values =
      config::PartsByDigest(folder.parts);
  values["manifest"] = config::BuildManifest(1, folder.parts);
  values["vms"] = folder.vms;
  const offline_source source(std::move(values));

  core::engine_options options;
  options.vm = vms->vms.front().name;
  options.zone = vms->vms.front().zone;
  core::instant now{};
  core::engine engine(options, now);
  const core::instant end = now + kMaxStartupTime;
  std::deque<core::event> events = {core::tick{}};
  while (now < end && !engine.IsReady()) {
    const core::event event =
        events.empty() ? core::event(core::tick{}) : events.front();
    if (!events.empty()) events.pop_front();
    for (const core::action& action : engine.Handle(event, now)) {
      // Requests to open links get no answer: a refused link would mark its VM
      // as unusable.
      const auto* read = std::get_if<core::read_source>(&action);
      core::event answer;
      if (read != nullptr && source.Answer(*read, &answer)) {
        events.push_back(answer);
      }
    }
    if (events.empty()) now += kTickInterval;
  }
  return engine.Explain(call, now);
}

}  // namespace pimentohall::cli
