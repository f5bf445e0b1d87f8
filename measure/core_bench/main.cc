// decision_cost_ratio and change_cost_ratio: the time that the decision core
// takes at the target size against today's size.
//
//   core_bench [--out build/measure.jsonl] [--quick] [--benchmark_...]
//
// Exit codes: 0 both rows were measured, 1 one was not.

#include <benchmark/benchmark.h>

#include <cstring>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet/target_config.h"
#include "pimentohall/config.h"
#include "pimentohall/core.h"
#include "rows/rows.h"

namespace pimentohall::measure {
namespace {

using testing::config_size;

// Today's deployment: 12 upstreams, 4 services, 8 organisations with a key
// each.
config_size Today() {
  config_size size;
  size.zones = 3;
  size.regions = 1;
  size.services = 4;
  size.upstreams = 12;
  size.organisations = 8;
  size.keys = 8;
  return size;
}

// Calls come at this interval of virtual time, so that no rate is exceeded.
constexpr core::duration kCallInterval = std::chrono::milliseconds(5);
constexpr core::duration kReadyTime = std::chrono::seconds(30);
constexpr core::duration kStep = std::chrono::milliseconds(100);

// An engine with a configuration in force, all calls of which are answered at
// once. Its VM is the only one that runs: as the links are not answered, the
// router counts the others as usable, as it does before the first failure.
class engine_host {
 public:
  explicit engine_host(const config_size& size)
      : size_(size),
        documents_(testing::GenerateConfiguration(size)),
        engine_(Options(), now_) {
    documents_.version = 1;
    values_ = config::PartsByDigest(testing::PartBytes(documents_));
    values_["manifest"] =
        config::BuildManifest(1, testing::PartBytes(documents_));
    values_["vms"] = documents_.vms.dump();
    Feed(core::tick{});
    const core::instant end = now_ + kReadyTime;
    while (now_ < end && !engine_.IsReady()) {
      now_ += kStep;
      Feed(core::tick{});
    }
    // The share of a newly listed VM is used after 5 s.
    const core::instant warm = now_ + kReadyTime;
    while (now_ < warm) {
      now_ += kStep;
      Feed(core::tick{});
    }
  }

  bool IsReady() const { return engine_.IsReady(); }

  // Admits and routes the next call; true if it was forwarded.
  bool Call() {
    const int organisation = static_cast<int>(next_ % Organisations());
    const int key = static_cast<int>(next_ / Organisations() % KeysEach());
    const auto service = next_ % static_cast<std::uint64_t>(size_.services);
    ++next_;
    now_ += kCallInterval;
    core::call_arrived call;
    call.call = next_;
    call.method = "GET";
    call.path = "/service-" + std::to_string(service) + "/item";
    call.key_digest = digests_[{organisation, key}];
    return Admit(call);
  }

  // Makes the digests that `Call` uses, so that hashing is not measured.
  void PrepareDigests() {
    for (int i = 0; i < size_.organisations; ++i) {
      for (int j = 0; j < size_.keys / size_.organisations; ++j) {
        digests_[{i, j}] = config::Sha256Hex(testing::GeneratedKey(i, j));
      }
    }
  }

 private:
  std::uint64_t Organisations() const {
    return static_cast<std::uint64_t>(size_.organisations);
  }
  std::uint64_t KeysEach() const {
    return static_cast<std::uint64_t>(size_.keys / size_.organisations);
  }

  static core::engine_options Options() {
    core::engine_options options;
    options.vm = "vm-0";
    options.zone = "zone-0";
    options.incarnation = 1;
    return options;
  }

  bool Admit(const core::call_arrived& call) {
    bool forwarded = false;
    std::vector<core::peer_answer> answers;
    for (const core::action& action : engine_.Handle(call, now_)) {
      const auto* forward = std::get_if<core::forward_call>(&action);
      if (forward == nullptr) continue;
      forwarded = true;
      core::peer_answer answer;
      answer.vm = forward->vm;
      answer.attempt = forward->attempt;
      answer.outcome = core::outcome_kind::kAnswered;
      constexpr int kOk = 200;
      answer.http_status = kOk;
      answer.load.limit = 1;
      answers.push_back(std::move(answer));
    }
    for (const core::peer_answer& answer : answers) {
      engine_.Handle(answer, now_);
    }
    return forwarded;
  }

  void Feed(const core::event& first) {
    std::deque<core::event> events = {first};
    while (!events.empty()) {
      const core::event event = std::move(events.front());
      events.pop_front();
      for (const core::action& action : engine_.Handle(event, now_)) {
        const auto* read = std::get_if<core::read_source>(&action);
        if (read != nullptr && read->index == 0) {
          events.push_back(Answer(*read));
        }
      }
    }
  }

  core::source_value Answer(const core::read_source& read) const {
    core::source_value value;
    value.key = read.key;
    value.digest = read.digest;
    value.index = 1;
    std::string key = read.digest;
    if (read.key == core::source_key::kManifest) key = "manifest";
    if (read.key == core::source_key::kVmList) key = "vms";
    const auto found = values_.find(key);
    if (found != values_.end()) value.value = found->second;
    return value;
  }

  config_size size_;
  core::instant now_{};
  std::uint64_t next_ = 0;
  testing::configuration documents_;
  std::map<std::string, std::string> values_;
  std::map<std::pair<int, int>, std::string> digests_;
  core::engine engine_;
};

void Decide(benchmark::State& state, const config_size& size) {
  engine_host host(size);
  host.PrepareDigests();
  std::int64_t forwarded = 0;
  for (auto step : state) {
    (void)step;
    if (host.Call()) ++forwarded;
  }
  if (!host.IsReady()) state.SkipWithError("the engine is not ready");
  // A call that is refused costs less than one that is routed.
  if (forwarded < state.iterations()) {
    const std::string text = std::to_string(forwarded) + " of " +
                             std::to_string(state.iterations()) +
                             " calls were routed";
    state.SkipWithError(text.c_str());
  }
}

// One changed contract: the manifest is parsed and the set assembled on top of
// the one in force, as a daemon does.
void Change(benchmark::State& state, const config_size& size) {
  testing::configuration documents = testing::GenerateConfiguration(size);
  std::map<std::string, std::string> parts = testing::PartBytes(documents);
  constexpr int kVersions = 2;
  std::vector<std::string> manifests;
  std::vector<std::map<std::string, std::string>> changed;
  for (int i = 0; i < kVersions; ++i) {
    testing::SetRate(&documents, "org-0", 100 + i);
    const std::string part = documents.parts["organisations/org-0"].dump();
    parts["organisations/org-0"] = part;
    manifests.push_back(
        config::BuildManifest(static_cast<std::uint64_t>(i + 1), parts));
    changed.push_back({{config::Sha256Hex(part), part}});
  }
  const auto first = config::ParseManifest(manifests.back());
  auto set = config::AssembleSet(*first, config::PartsByDigest(parts));
  if (!set) return state.SkipWithError(set.error().front().ToString().c_str());
  std::size_t next = 0;
  for (auto step : state) {
    (void)step;
    const auto manifest = config::ParseManifest(manifests[next]);
    set = config::AssembleSet(*manifest, changed[next], &*set);
    if (!set) {
      state.SkipWithError(set.error().front().ToString().c_str());
      break;
    }
    next = (next + 1) % kVersions;
  }
}

BENCHMARK_CAPTURE(Decide, today, Today());
BENCHMARK_CAPTURE(Decide, target, config_size());
BENCHMARK_CAPTURE(Change, today, Today());
BENCHMARK_CAPTURE(Change, target, config_size());

// Prints as usual and keeps the median of the repetitions of each benchmark.
class median_reporter : public benchmark::ConsoleReporter {
 public:
  void ReportRuns(const std::vector<Run>& runs) override {
    for (const Run& run : runs) {
      const std::string name = run.run_name.function_name;
      if (run.error_occurred) errors_[name] = run.error_message;
      if (run.aggregate_name == "median") {
        medians_[name] = run.GetAdjustedCPUTime();
      }
    }
    ConsoleReporter::ReportRuns(runs);
  }

  void AddRatio(const std::string& row, const std::string& function,
                row_list* rows) const {
    for (const char* size : {"/today", "/target"}) {
      const auto error = errors_.find(function + size);
      if (error != errors_.end()) {
        return rows->AddMissing(row, error->second);
      }
    }
    const auto today = medians_.find(function + "/today");
    const auto target = medians_.find(function + "/target");
    if (today == medians_.end() || target == medians_.end()) {
      return rows->AddMissing(row, "the benchmark did not run");
    }
    const std::string size = "2,200 upstreams, 120 services, 10,000 keys (" +
                             std::to_string(static_cast<int>(target->second)) +
                             " ns) against 12, 4, 8 (" +
                             std::to_string(static_cast<int>(today->second)) +
                             " ns)";
    rows->Add(row, target->second / today->second, size, 1);
  }

 private:
  std::map<std::string, double> medians_;
  std::map<std::string, std::string> errors_;
};

int Main(int argc, char** argv) {
  std::string out;
  std::vector<char*> arguments = {argv[0]};
  std::string repetitions = "--benchmark_repetitions=7";
  std::string time = "--benchmark_min_time=0.3";
  for (int i = 1; i < argc; ++i) {
    if (std::strcmp(argv[i], "--out") == 0 && i + 1 < argc) {
      out = argv[++i];
    } else if (std::strcmp(argv[i], "--quick") == 0) {
      repetitions = "--benchmark_repetitions=3";
      time = "--benchmark_min_time=0.1";
    } else {
      arguments.push_back(argv[i]);
    }
  }
  // Interleaved, so that a busy moment of the machine falls on both sizes.
  std::string interleaved = "--benchmark_enable_random_interleaving=true";
  for (std::string* text : {&repetitions, &time, &interleaved}) {
    arguments.push_back(text->data());
  }
  int count = static_cast<int>(arguments.size());
  benchmark::Initialize(&count, arguments.data());
  row_list rows(out);
  median_reporter reporter;
  benchmark::RunSpecifiedBenchmarks(&reporter);
  reporter.AddRatio("decision_cost_ratio", "Decide", &rows);
  reporter.AddRatio("change_cost_ratio", "Change", &rows);
  rows.PrintTable();
  return rows.AllMeasured() ? 0 : 1;
}

}  // namespace
}  // namespace pimentohall::measure

int main(int argc, char** argv) {
  return pimentohall::measure::Main(argc, argv);
}
