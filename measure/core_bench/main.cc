// decision_cost_ratio and change_cost_ratio: the time that the decision core
// takes at the target size against today's size.
//
//   core_bench [--out build/measure.jsonl] [--quick] [--benchmark_...]
//
// Exit codes: 0 both rows were measured, 1 one was not.

#include <benchmark/benchmark.h>

#include <chrono>
#include <cstring>
#include <deque>
#include <map>
#include <memory>
#include <set>
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

// Bounds the events that follow from one, in case the answers go round.
constexpr int kMaxEvents = 10'000;
// Real time for the start of an engine. A start that takes longer is reported
// as a row that could not be measured.
constexpr std::chrono::seconds kStartBound(20);
// Heartbeats of the linked peers.
constexpr core::duration kHeartbeat = std::chrono::seconds(2);

// The engine of vm-0 with a configuration in force. Once it is ready, every
// link that it opens comes up, and the peers send heartbeats. Every call is
// answered at once.
class engine_host {
 public:
  explicit engine_host(const config_size& size)
      : size_(size),
        documents_(testing::GenerateConfiguration(size)),
        engine_(Options(), now_) {
    const auto parts = testing::PartBytes(documents_);
    values_ = config::PartsByDigest(parts);
    values_["manifest"] = config::BuildManifest(1, parts);
    // vm-0 reads the set from the source only if it is a reader.
    testing::SetLiveVms(&documents_, 1);
    values_["vms"] = documents_.vms.dump();
    Feed(core::tick{});
    const core::instant ready_bound = now_ + kReadyTime;
    while (now_ < ready_bound && !engine_.IsReady() && !IsLate()) Step();
    testing::SetLiveVms(&documents_, documents_.vms["vms"].size());
    values_["vms"] = documents_.vms.dump();
    ++index_;
    Feed(Answer({core::source_key::kVmList, "", 0, {}}));
    // The share of a newly listed VM is used after 5 s.
    const core::instant settled = now_ + kReadyTime;
    while (now_ < settled && !IsLate()) Step();
    started_in_time_ = !IsLate();
  }

  bool IsReady() const { return engine_.IsReady() && started_in_time_; }

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

  // Why the last call was not forwarded.
  const std::string& Refusal() const { return refusal_; }

  bool HeartbeatsDue() const { return now_ >= next_heartbeat_; }
  void SendHeartbeats() {
    if (!HeartbeatsDue()) return;
    next_heartbeat_ = now_ + kHeartbeat;
    core::status_message status;
    status.incarnation = 1;
    status.source_age_ms = 0;
    if (const auto set = engine_.Set()) {
      status.config_version = set->Version();
      status.config_digest = set->Digest();
    }
    if (const auto vms = engine_.Vms()) {
      status.vms_version = vms->version;
      status.vms_digest = vms->digest;
    }
    const std::set<std::string> linked = linked_;
    for (const std::string& vm : linked) {
      status.vm = vm;
      Feed(core::message_received{vm, status});
    }
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
      const auto* refused = std::get_if<core::answer_call>(&action);
      if (refused != nullptr) refusal_ = core::ReasonName(refused->why);
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

  bool IsLate() const {
    return !started_in_time_ &&
           std::chrono::steady_clock::now() - begin_ > kStartBound;
  }

  void Step() {
    now_ += kStep;
    Feed(core::tick{});
    SendHeartbeats();
  }

  void Feed(const core::event& first) {
    std::deque<core::event> events = {first};
    for (int i = 0; i < kMaxEvents && !events.empty() && !IsLate(); ++i) {
      const core::event event = std::move(events.front());
      events.pop_front();
      for (const core::action& action : engine_.Handle(event, now_)) {
        const auto* read = std::get_if<core::read_source>(&action);
        if (read != nullptr && read->index == 0) {
          events.push_back(Answer(*read));
        }
        const auto* open = std::get_if<core::open_link>(&action);
        if (open != nullptr && engine_.IsReady() &&
            linked_.insert(open->vm).second) {
          events.push_back(core::link_up{open->vm});
        }
        const auto* close = std::get_if<core::close_link>(&action);
        if (close != nullptr && linked_.erase(close->vm) > 0) {
          events.push_back(core::link_down{close->vm});
        }
      }
    }
  }

  core::source_value Answer(const core::read_source& read) const {
    core::source_value value;
    value.key = read.key;
    value.digest = read.digest;
    value.index = index_;
    std::string key = read.digest;
    if (read.key == core::source_key::kManifest) key = "manifest";
    if (read.key == core::source_key::kVmList) key = "vms";
    const auto found = values_.find(key);
    if (found != values_.end()) value.value = found->second;
    return value;
  }

  std::chrono::steady_clock::time_point begin_ =
      std::chrono::steady_clock::now();
  bool started_in_time_ = false;
  config_size size_;
  core::instant now_{};
  core::instant next_heartbeat_{};
  std::uint64_t next_ = 0;
  std::uint64_t index_ = 1;
  std::set<std::string> linked_;
  std::string refusal_;
  testing::configuration documents_;
  std::map<std::string, std::string> values_;
  std::map<std::pair<int, int>, std::string> digests_;
  core::engine engine_;
};

// One host for each size: its start costs more than the calls, and the library
// runs a benchmark several times.
engine_host& HostOf(const config_size& size) {
  static std::map<int, engine_host> hosts;
  const auto [at, is_new] = hosts.try_emplace(size.upstreams, size);
  if (is_new) at->second.PrepareDigests();
  return at->second;
}

void Decide(benchmark::State& state, const config_size& size) {
  engine_host& host = HostOf(size);
  if (!host.IsReady()) {
    return state.SkipWithError("the engine was not settled within 20 s");
  }
  std::int64_t forwarded = 0;
  for (auto step : state) {
    (void)step;
    if (host.Call()) ++forwarded;
    if (!host.HeartbeatsDue()) continue;
    state.PauseTiming();
    host.SendHeartbeats();
    state.ResumeTiming();
  }
  // A call that is refused costs less than one that is routed.
  if (forwarded < state.iterations()) {
    const std::string text = std::to_string(forwarded) + " of " +
                             std::to_string(state.iterations()) +
                             " calls were routed: " + host.Refusal();
    state.SkipWithError(text.c_str());
  }
}

// One changed contract: the manifest is parsed and the set assembled on top of
// the one in force, as a daemon does.
void Change(benchmark::State& state, const config_size& size) {
  testing::configuration documents = testing::GenerateConfiguration(size);
  std::map<std::string, std::string> parts = testing::PartBytes(documents);
  constexpr std::uint64_t kVersions = 2;
  std::vector<std::string> manifests;
  std::vector<std::map<std::string, std::string>> changed;
  for (std::uint64_t version = 1; version <= kVersions; ++version) {
    testing::SetRate(&documents, "org-0", 100 + static_cast<double>(version));
    const std::string part = documents.parts["organisations/org-0"].dump();
    parts["organisations/org-0"] = part;
    manifests.push_back(config::BuildManifest(version, parts));
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
