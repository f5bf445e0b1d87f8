#include "sim/scenario.h"

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <utility>

namespace pimentohall::sim {
namespace {

using words = std::vector<std::string>;

words Split(const std::string& text, char separator) {
  words result;
  std::istringstream stream(text);
  std::string word;
  while (std::getline(stream, word, separator)) {
    if (!word.empty()) result.push_back(word);
  }
  return result;
}

// "250ms" or "5s".
std::optional<core::duration> ParseTime(const std::string& text) {
  char* end = nullptr;
  const double number = std::strtod(text.c_str(), &end);
  const std::string unit = end;
  if (end == text.c_str() || (unit != "s" && unit != "ms")) return {};
  const double seconds = unit == "s" ? number : number / 1000;
  return std::chrono::duration_cast<core::duration>(
      std::chrono::duration<double>(seconds));
}

// Words of the form name=value.
std::map<std::string, std::string> Options(const words& args) {
  std::map<std::string, std::string> options;
  for (const std::string& word : args) {
    const std::size_t equals = word.find('=');
    if (equals == std::string::npos) continue;
    options[word.substr(0, equals)] = word.substr(equals + 1);
  }
  return options;
}

std::string Join(const words& args, std::size_t from) {
  std::string text;
  for (std::size_t i = from; i < args.size(); ++i) {
    text += (i == from ? "" : " ") + args[i];
  }
  return text;
}

double Seconds(core::duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

// Carries out the statements of one scenario.
class scenario_run {
 public:
  explicit scenario_run(const scenario::deployments& deployments)
      : deployments_(deployments) {}

  std::optional<scenario_error> Run(const std::string& text) {
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
      ++line_;
      const words statement = Split(line.substr(0, line.find('#')), ' ');
      if (statement.empty()) continue;
      if (!Execute(statement)) return scenario_error{line_, problem_};
    }
    Finish();
    return {};
  }

  scenario Result() { return std::move(result_); }

 private:
  using handler = bool (scenario_run::*)(const words&);

  bool Fail(const std::string& problem) {
    problem_ = problem;
    return false;
  }

  // Statements that configure the run or check it.
  bool Execute(const words& statement) {
    static const std::map<std::string, handler> kStatements = {
        {"deployment", &scenario_run::Deployment},
        {"seed", &scenario_run::Seed},
        {"slots", &scenario_run::Slots},
        {"service_time", &scenario_run::ServiceTime},
        {"record", &scenario_run::Record},
        {"at", &scenario_run::At},
        {"run", &scenario_run::RunTo},
        {"window", &scenario_run::Window},
        {"expect", &scenario_run::Expect},
    };
    const auto found = kStatements.find(statement[0]);
    if (found != kStatements.end()) return (this->*found->second)(statement);
    return Command(statement);
  }

  // Statements that change the world; also after "at TIME".
  bool Command(const words& statement) {
    static const std::map<std::string, handler> kCommands = {
        {"start", &scenario_run::Start},
        {"kill", &scenario_run::Kill},
        {"pause", &scenario_run::Pause},
        {"resume", &scenario_run::Resume},
        {"stop", &scenario_run::Stop},
        {"partition", &scenario_run::Partition},
        {"heal", &scenario_run::Heal},
        {"source", &scenario_run::Source},
        {"publish", &scenario_run::Publish},
        {"zone", &scenario_run::Zone},
        {"withdraw", &scenario_run::Withdraw},
        {"vm", &scenario_run::Vm},
        {"upstream", &scenario_run::Upstream},
        {"reports", &scenario_run::Reports},
        {"load", &scenario_run::Load},
        {"call", &scenario_run::Call},
        {"dump", &scenario_run::Dump},
    };
    const auto found = kCommands.find(statement[0]);
    if (found == kCommands.end()) {
      return Fail("unknown statement '" + statement[0] + "'");
    }
    if (!EnsureWorld()) return false;
    return (this->*found->second)(statement);
  }

  bool EnsureWorld() {
    if (world_ != nullptr) return true;
    const auto found = deployments_.find(deployment_);
    if (found == deployments_.end()) {
      return Fail("no deployment '" + deployment_ + "'");
    }
    const auto vms = config::ParseVmList(found->second.vms);
    if (!vms) return Fail(vms.error().front().ToString());
    world_ = std::make_unique<world>(options_, found->second.parts, *vms);
    return true;
  }

  bool Deployment(const words& args) {
    if (args.size() != 2) return Fail("deployment NAME");
    deployment_ = args[1];
    if (deployment_ == "berberecho") {
      options_.slots = 6;
      options_.cross_zone_latency = std::chrono::microseconds(1500);
    }
    return true;
  }
  bool Seed(const words& args) {
    if (args.size() != 2) return Fail("seed NUMBER");
    options_.seed = std::strtoull(args[1].c_str(), nullptr, 10);
    return true;
  }
  bool Slots(const words& args) {
    if (args.size() != 2) return Fail("slots NUMBER");
    options_.slots = std::atoi(args[1].c_str());
    return true;
  }
  bool ServiceTime(const words& args) {
    const auto time = args.size() == 2 ? ParseTime(args[1]) : std::nullopt;
    if (!time) return Fail("service_time TIME");
    options_.service_time = *time;
    return true;
  }
  bool Record(const words&) {
    record_ = true;
    return true;
  }

  bool At(const words& args) {
    const auto time = args.size() > 2 ? ParseTime(args[1]) : std::nullopt;
    if (!time) return Fail("at TIME STATEMENT");
    if (!EnsureWorld()) return false;
    if (core::instant(*time) < world_->Queue().Now()) {
      return Fail("time has passed");
    }
    const words statement(args.begin() + 2, args.end());
    // Runs up to the moment, so that a fault in the statement names its line.
    world_->Queue().RunUntil(core::instant(*time));
    return Command(statement);
  }
  bool RunTo(const words& args) {
    const auto time = args.size() == 2 ? ParseTime(args[1]) : std::nullopt;
    if (!time) return Fail("run TIME");
    if (!EnsureWorld()) return false;
    world_->Queue().RunUntil(core::instant(*time));
    return true;
  }
  // Limits the measures to calls sent in this time.
  bool Window(const words& args) {
    const auto from = args.size() == 3 ? ParseTime(args[1]) : std::nullopt;
    const auto to = args.size() == 3 ? ParseTime(args[2]) : std::nullopt;
    if (!from || !to) return Fail("window FROM TO");
    from_ = core::instant(*from);
    to_ = core::instant(*to);
    return true;
  }

  // "all", "zone=NAME", "half", or names separated by commas.
  std::vector<std::string> VmsOf(const std::string& selector) {
    std::vector<std::string> names;
    std::size_t index = 0;
    for (const config::vm& vm : world_->Vms().vms) {
      const bool chosen = selector == "all" || selector == "zone=" + vm.zone ||
                          (selector == "half" && index % 2 == 0) ||
                          (selector == "tenth" && index % 10 == 0);
      if (chosen) names.push_back(vm.name);
      ++index;
    }
    if (!names.empty()) return names;
    return Split(selector, ',');
  }
  bool ForEachVm(const words& args, void (world::*act)(const std::string&)) {
    if (args.size() != 2) return Fail(args[0] + " VMS");
    for (const std::string& vm : VmsOf(args[1])) {
      if (!Known(vm)) return Fail("no VM '" + vm + "'");
      ((*world_).*act)(vm);
    }
    return true;
  }
  bool Known(const std::string& vm) const {
    return world_->Vms().Find(vm) != nullptr;
  }
  bool Start(const words& args) { return ForEachVm(args, &world::StartNode); }
  bool Kill(const words& args) { return ForEachVm(args, &world::KillNode); }
  bool Pause(const words& args) { return ForEachVm(args, &world::PauseNode); }
  bool Resume(const words& args) { return ForEachVm(args, &world::ResumeNode); }
  bool Stop(const words& args) { return ForEachVm(args, &world::StopNode); }

  // partition GROUP GROUP...; "source" may stand in a group.
  bool Partition(const words& args) {
    std::vector<std::set<std::string>> groups;
    for (std::size_t i = 1; i < args.size(); ++i) {
      std::set<std::string> group;
      for (const std::string& selector : Split(args[i], '+')) {
        for (const std::string& vm : VmsOf(selector)) group.insert(vm);
      }
      groups.push_back(std::move(group));
    }
    world_->Partition(groups);
    return true;
  }
  bool Heal(const words&) {
    world_->Heal();
    return true;
  }

  bool Source(const words& args) {
    static const std::map<std::string, std::function<void(source_model&)>>
        kModes = {
            {"down", [](source_model& s) { s.SetUp(false); }},
            {"up", [](source_model& s) { s.SetUp(true); }},
            {"stale", [](source_model& s) { s.SetStale(true); }},
            {"fresh", [](source_model& s) { s.SetStale(false); }},
        };
    const auto mode = args.size() == 2 ? kModes.find(args[1]) : kModes.end();
    if (mode == kModes.end()) return Fail("source down|up|stale|fresh");
    mode->second(world_->Source());
    return true;
  }

  // publish PART JSON-merge-patch (RFC 7396)
  bool Publish(const words& args) {
    if (args.size() < 3) return Fail("publish PART PATCH");
    const auto part = world_->Parts().find(args[1]);
    if (part == world_->Parts().end()) return Fail("no part '" + args[1] + "'");
    const auto patch =
        nlohmann::json::parse(Join(args, 2), nullptr, false, true);
    auto document = nlohmann::json::parse(part->second, nullptr, false, true);
    if (patch.is_discarded()) return Fail("the patch is not JSON");
    document.merge_patch(patch);
    part->second = document.dump();
    PublishNow();
    return true;
  }
  bool Zone(const words& args) {
    if (args.size() != 3) return Fail("zone NAME in|out");
    auto document = nlohmann::json::parse(world_->Parts().at("zones"), nullptr,
                                          false, true);
    for (auto& zone : document["zones"]) {
      if (zone["name"] == args[1]) zone["state"] = args[2];
    }
    world_->Parts()["zones"] = document.dump();
    PublishNow();
    left_zone_ = args[2] == "out" ? args[1] : left_zone_;
    if (args[2] == "out") zone_left_at_ = world_->Queue().Now();
    return true;
  }
  bool Withdraw(const words& args) {
    if (args.size() != 2) return Fail("withdraw ORGANISATION");
    const std::string name = "organisations/" + args[1];
    const auto part = world_->Parts().find(name);
    if (part == world_->Parts().end()) return Fail("no part '" + name + "'");
    auto document = nlohmann::json::parse(part->second, nullptr, false, true);
    // A fresh key takes the place of the withdrawn one.
    document["keys"] = {
        {{"id", "fresh"}, {"sha256", config::Sha256Hex("fresh-" + args[1])}}};
    part->second = document.dump();
    PublishNow();
    withdrawn_ = args[1];
    withdrawn_at_ = world_->Queue().Now();
    return true;
  }
  // vm NAME leaving|live|gone
  bool Vm(const words& args) {
    if (args.size() != 3) return Fail("vm NAME leaving|live|gone");
    std::vector<config::vm>& vms = world_->MutableVms().vms;
    const auto found =
        std::find_if(vms.begin(), vms.end(),
                     [&](const config::vm& vm) { return vm.name == args[1]; });
    if (found == vms.end()) return Fail("no VM '" + args[1] + "'");
    if (args[2] == "gone") {
      vms.erase(found);
    } else {
      found->state = args[2] == "leaving" ? config::vm_state::kLeaving
                                          : config::vm_state::kLive;
      left_vm_ = args[1];
      vm_left_at_ = world_->Queue().Now();
    }
    world_->PublishVms();
    return true;
  }
  void PublishNow() {
    published_at_ = world_->Queue().Now();
    world_->PublishParts();
  }

  bool Upstream(const words& args) {
    if (args.size() != 3) return Fail("upstream NAME crash|cold|drain|serve");
    static const std::map<std::string, std::function<void(upstream_model&)>>
        kActs = {
            {"crash", [](upstream_model& u) { u.Crash(); }},
            {"cold", [](upstream_model& u) { u.FallCold(); }},
            {"drain", [](upstream_model& u) { u.SetDraining(true); }},
            {"serve", [](upstream_model& u) { u.SetDraining(false); }},
        };
    const auto act = kActs.find(args[2]);
    if (act == kActs.end()) return Fail("unknown act '" + args[2] + "'");
    for (const std::string& name : world_->UpstreamNames()) {
      if (args[1] == "all" || args[1] == name) {
        act->second(world_->Upstream(name));
      }
    }
    return true;
  }
  bool Reports(const words& args) {
    if (args.size() != 2) return Fail("reports honest|misleading");
    world_->SetMisleadingReports(args[1] == "misleading");
    return true;
  }

  static std::string KeyDigest(const std::string& organisation) {
    return config::Sha256Hex("demo-key-" + organisation);
  }
  bool Load(const words& args) {
    auto options = Options(args);
    const auto until = ParseTime(options["until"]);
    if (!until || options["org"].empty() || options["path"].empty()) {
      return Fail("load org= rate= path= [method=] [via=] until=");
    }
    load_options load;
    load.organisation = options["org"];
    load.key_digest = KeyDigest(load.organisation);
    load.rate_per_s = std::strtod(options["rate"].c_str(), nullptr);
    if (load.rate_per_s <= 0) return Fail("rate must be positive");
    if (options.count("method") != 0) load.method = options["method"];
    load.path = options["path"];
    load.vms = VmsOf(options.count("via") != 0 ? options["via"] : "all");
    load.until = core::instant(*until);
    world_->AddLoad(load);
    return true;
  }
  // call org= path= [method=] [via=] [key=]
  bool Call(const words& args) {
    auto options = Options(args);
    const std::string organisation = options["org"];
    const std::string method =
        options.count("method") != 0 ? options["method"] : "GET";
    const std::string via =
        options.count("via") != 0 ? options["via"] : world_->Vms().vms[0].name;
    if (!Known(via)) return Fail("no VM '" + via + "'");
    const core::call_id id = world_->SendCall(
        via, method, options["path"], organisation,
        organisation.empty() ? "" : KeyDigest(organisation), options["key"]);
    recorded_.emplace_back(id, method + " " + options["path"] + " via " + via);
    return true;
  }

  // What must hold in every scenario, whatever fails.
  bool ExpectInvariants() {
    static const char* const kZeroMeasures[] = {
        "lost_calls",          "doubled_calls",   "false_not_run",
        "crossed_answers",     "overshoot_calls", "cut_by_planned_stop",
        "version_regressions", "busy_wakes"};
    for (const char* measure : kZeroMeasures) {
      if (!Expect({"expect", measure, "==", "0"})) return false;
    }
    return true;
  }

  // dump VM: the daemon's state goes into the session.
  bool Dump(const words& args) {
    if (args.size() != 2 || !Known(args[1])) return Fail("dump VM");
    result_.session_ += world_->Dump(args[1]) + "\n";
    return true;
  }

  // expect MEASURE OP VALUE, or expect invariants
  bool Expect(const words& args) {
    if (args.size() == 2 && args[1] == "invariants") return ExpectInvariants();
    if (args.size() != 4) return Fail("expect MEASURE OP VALUE");
    if (!EnsureWorld()) return false;
    const auto measures = Measures();
    const auto measure = measures.find(args[1]);
    if (measure == measures.end()) {
      return Fail("unknown measure '" + args[1] + "'");
    }
    const double bound = std::strtod(args[3].c_str(), nullptr);
    expectation result{line_, Join(args, 1), measure->second, false};
    if (args[2] == "==") {
      result.holds = measure->second == bound;
    } else if (args[2] == "<=") {
      result.holds = measure->second <= bound;
    } else if (args[2] == ">=") {
      result.holds = measure->second >= bound;
    } else {
      return Fail("unknown operator '" + args[2] + "'");
    }
    result_.expectations_.push_back(std::move(result));
    return true;
  }

  // Time from `since` to the last start, or 0 if none came after it.
  static double StartsAfter(core::instant last, core::instant since) {
    return last > since ? Seconds(last - since) : 0;
  }

  std::map<std::string, double> Measures() const {
    const verdict v = world_->Oracle().Judge(from_, to_);
    std::map<std::string, double> m;
    m["calls"] = static_cast<double>(v.calls);
    m["answered"] = static_cast<double>(v.answered);
    m["refused"] = static_cast<double>(v.refused);
    m["lost_calls"] = static_cast<double>(v.lost);
    m["doubled_calls"] = static_cast<double>(v.doubled);
    m["false_not_run"] = static_cast<double>(v.false_not_run);
    m["crossed_answers"] = static_cast<double>(v.crossed);
    m["overshoot_calls"] = static_cast<double>(v.overshoot);
    m["wrongful_refusals_ppm"] = v.WrongfulPpm();
    m["success"] = v.Success();
    m["worst_organisation_share"] = v.worst_share;
    m["cut_by_planned_stop"] = static_cast<double>(world_->CutByPlannedStop());
    m["busy_wakes"] = static_cast<double>(world_->BusyWakes());
    m["version_regressions"] = static_cast<double>(world_->Regressions());
    m["lowest_version"] = static_cast<double>(world_->LowestVersion());
    m["version"] = static_cast<double>(world_->PublishedVersion());
    for (const auto& [id, call] : world_->Oracle().Calls()) {
      const bool counted = call.answered && call.sent >= from_ &&
                           call.sent <= to_ && call.why != core::reason::kNone;
      if (counted) {
        const std::string why = core::ReasonName(call.why);
        m["reason." + why] += 1;
        m["reason." + why + "." + call.organisation] += 1;
      }
    }
    m["source_reads"] = static_cast<double>(world_->Source().Reads());
    m["convergence_s"] = world_->LowestVersion() == world_->PublishedVersion()
                             ? Seconds(world_->ConvergedAt() - published_at_)
                             : 1e9;
    double zone_leave = 0;
    for (const config::vm& vm : world_->Vms().vms) {
      if (vm.zone != left_zone_) continue;
      zone_leave = std::max(
          zone_leave, StartsAfter(world_->LastStartAt(vm.name), zone_left_at_));
    }
    m["zone_leave_s"] = zone_leave;
    m["vm_leave_s"] = StartsAfter(world_->LastStartAt(left_vm_), vm_left_at_);
    m["key_withdrawal_s"] =
        StartsAfter(world_->LastStartFor(withdrawn_), withdrawn_at_);
    double overloads = 0;
    double crashes = 0;
    for (const std::string& name : world_->UpstreamNames()) {
      overloads += static_cast<double>(world_->Upstream(name).ColdOverloads());
      crashes += static_cast<double>(world_->Upstream(name).Crashes());
    }
    m["cold_overloads"] = overloads;
    m["upstream_crashes"] = crashes;
    return m;
  }

  void Finish() {
    if (world_ == nullptr) return;
    result_.measures_ = Measures();
    if (!record_) return;
    for (const auto& [id, text] : recorded_) {
      const call_record* call = world_->Oracle().Find(id);
      std::ostringstream line;
      line << Seconds(call->sent.time_since_epoch()) << "s " << text
           << " org=" << (call->organisation.empty() ? "-" : call->organisation)
           << ": ";
      if (!call->answered) {
        line << (call->broken ? "connection refused" : "no answer");
      } else {
        line << call->http_status << " " << core::ReasonName(call->why)
             << (call->outcome == core::outcome_kind::kNotRun ? " not_run" : "")
             << " executions=" << call->executions;
      }
      result_.session_ += line.str() + "\n";
    }
  }

  const scenario::deployments& deployments_;
  world_options options_;
  std::string deployment_ = "tsurumaki";
  std::unique_ptr<world> world_;
  scenario result_;
  int line_ = 0;
  std::string problem_;
  bool record_ = false;
  core::instant from_{};
  core::instant to_ = core::instant::max();
  core::instant published_at_{};
  std::string left_zone_;
  core::instant zone_left_at_{};
  std::string left_vm_;
  core::instant vm_left_at_{};
  std::string withdrawn_;
  core::instant withdrawn_at_{};
  std::vector<std::pair<core::call_id, std::string>> recorded_;
};

tl::expected<scenario, scenario_error> scenario::Run(
    const std::string& text, const deployments& deployments) {
  scenario_run run(deployments);
  const auto error = run.Run(text);
  if (error) return tl::make_unexpected(*error);
  return run.Result();
}

bool scenario::Holds() const {
  return std::all_of(expectations_.begin(), expectations_.end(),
                     [](const expectation& e) { return e.holds; });
}

const std::map<std::string, double>& scenario::Measures() const {
  return measures_;
}

double scenario::Measure(const std::string& name) const {
  const auto found = measures_.find(name);
  return found == measures_.end() ? 0 : found->second;
}

}  // namespace pimentohall::sim
