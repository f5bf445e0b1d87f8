// Smoke test of the programs: a source stand-in, three daemons and three
// upstreams on loopback, a few calls and the operators' verbs.
//
//   smoke_test --programs build --config examples/tsurumaki
//
// Every step waits for a condition within a bound. Prints each check; exit
// code 0 if all hold, 1 otherwise.

#include <sys/wait.h>
#include <tclap/CmdLine.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>
#include <thread>

#include "cli/folder.h"
#include "fleet/child_process.h"
#include "fleet/fleet.h"
#include "fleet/http_client.h"
#include "fleet/source_sampler.h"
#include "fleet/temporary_folder.h"
#include "fleet/upstream_counts.h"
#include "fleet/version_watch.h"

namespace pimentohall::testing {
namespace {

using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

// Generous for a build with sanitizers on a busy machine.
constexpr std::chrono::milliseconds kBound = 30s;
constexpr std::chrono::milliseconds kPause = 50ms;
constexpr char kFolderOfNoUse[] = "no-such-folder";

// Exit codes of the operators' command line (src/cli/verbs.h).
constexpr int kOk = 0;
constexpr int kRefused = 1;
constexpr int kUnreachable = 3;
constexpr int kDiffers = 4;
constexpr int kFileError = 5;

struct verb_result {
  int code = -1;
  std::string output;
};

class smoke_test {
 public:
  smoke_test(std::string programs, std::string folder)
      : programs_(std::move(programs)), folder_(std::move(folder)) {}

  fleet_result<void> Run(const std::string& config) {
    auto documents = SmallConfiguration(config);
    if (!documents) return tl::make_unexpected(documents.error());
    CheckFolderVerbs(*documents);
    fleet_options options;
    options.programs = programs_;
    options.folder = folder_;
    options.upstream_arguments = {"--service-ms", "1"};
    auto created = fleet::Create(options, std::move(*documents));
    if (!created) return tl::make_unexpected(created.error());
    fleet_ = std::move(*created);
    auto done = fleet_->Start();
    if (done) done = fleet_->WaitReady(kBound);
    if (!done) return done;
    CheckCalls();
    CheckDaemonVerbs();
    CheckChange();
    CheckPlannedStop();
    return {};
  }

  bool Passed() const { return failures_ == 0; }

 private:
  void Check(bool holds, const std::string& text) {
    std::cout << (holds ? "ok      " : "FAILED  ") << text << "\n";
    if (!holds) ++failures_;
  }

  // Repeats until it holds; false after the bound.
  static bool Eventually(const std::function<bool()>& holds) {
    const auto end = steady::now() + kBound;
    while (steady::now() < end) {
      if (holds()) return true;
      std::this_thread::sleep_for(kPause);
    }
    return false;
  }

  // One VM in each zone with a target of the service `ledger`.
  static fleet_result<configuration> SmallConfiguration(
      const std::string& folder) {
    auto documents = ReadConfiguration(folder);
    if (!documents) return documents;
    nlohmann::ordered_json vms = nlohmann::ordered_json::array();
    for (const auto& vm : documents->vms["vms"]) {
      const std::string name = vm["name"];
      if (name == "vm-a2" || name == "vm-b2" || name == "vm-c2") {
        vms.push_back(vm);
      }
    }
    documents->vms["vms"] = std::move(vms);
    for (const char* service : {"counter", "refunds", "statements"}) {
      documents->parts.erase("services/" + std::string(service));
    }
    auto& parts = documents->parts;
    for (auto part = parts.begin(); part != parts.end();) {
      const bool is_kept = part->first.compare(0, 14, "organisations/") != 0 ||
                           part->first == "organisations/yamaga";
      part = is_kept ? std::next(part) : parts.erase(part);
    }
    return documents;
  }

  verb_result RunVerb(const std::vector<std::string>& arguments) {
    const std::string log =
        folder_ + "/verb-" + std::to_string(++verbs_) + ".log";
    std::vector<std::string> command = {programs_ + "/pimentohall"};
    command.insert(command.end(), arguments.begin(), arguments.end());
    verb_result result;
    auto process = child_process::Start(command, log);
    if (!process) return result;
    const auto status = process->WaitExit(kBound);
    if (status && WIFEXITED(*status)) result.code = WEXITSTATUS(*status);
    std::ifstream file(log);
    std::ostringstream text;
    text << file.rdbuf();
    result.output = text.str();
    return result;
  }

  void WriteFolder(const configuration& documents, const std::string& folder) {
    for (const auto& [name, bytes] : PartBytes(documents)) {
      std::string path = folder;
      path.append("/").append(name).append(".json");
      const auto written = cli::WriteFile(path, bytes);
      Check(written.has_value(), "wrote " + name);
    }
    const auto vms = cli::WriteFile(folder + "/vms.json", documents.vms.dump());
    Check(vms.has_value(), "wrote vms");
  }

  void CheckFolderVerbs(configuration documents) {
    const std::string before = folder_ + "/before";
    const std::string after = folder_ + "/after";
    const std::string bad = folder_ + "/bad";
    WriteFolder(documents, before);
    SetRate(&documents, "yamaga", 500);
    WriteFolder(documents, after);
    documents.parts["organisations/yamaga"]["contract"]["routes"] = {"nowhere"};
    WriteFolder(documents, bad);
    Check(RunVerb({"check", before}).code == kOk, "check accepts a folder");
    const verb_result faulty = RunVerb({"check", bad});
    Check(faulty.code == kRefused &&
              faulty.output.find("nowhere") != std::string::npos,
          "check names an unknown route");
    Check(RunVerb({"check", folder_ + "/" + kFolderOfNoUse}).code == kFileError,
          "check reports a missing folder");
    Check(RunVerb({"diff", before, before}).code == kOk,
          "diff finds no difference");
    const verb_result diff = RunVerb({"diff", before, after});
    Check(diff.code == kDiffers &&
              diff.output.find("yamaga") != std::string::npos,
          "diff names the changed organisation");
  }

  std::vector<std::string> AdminArguments(const std::string& verb) {
    std::vector<std::string> arguments = {verb};
    for (const fleet_daemon& daemon : fleet_->Daemons()) {
      arguments.push_back("--admin");
      arguments.push_back(AdminOf(daemon));
    }
    return arguments;
  }

  static std::string AdminOf(const fleet_daemon& daemon) {
    return "127.0.0.1:" + std::to_string(daemon.admin_port);
  }

  static http_call Call(const std::string& method, const std::string& path,
                        const std::string& key, const std::string& id) {
    http_call call;
    call.method = method;
    call.path = path;
    if (!key.empty()) call.headers = {{"Authorization", "Bearer " + key}};
    call.headers.emplace_back("X-Call-Id", id);
    if (method == "POST") call.body = "{}";
    return call;
  }

  int StatusOf(const fleet_daemon& daemon, const http_call& call,
               http_reply* reply) {
    const auto answer = http_client(daemon.http_port, kBound).Send(call);
    if (!answer) return 0;
    *reply = *answer;
    return answer->status;
  }

  // A newly listed VM waits 5 s before it uses its share of a contract, so the
  // first calls may be refused.
  void CheckCalls() {
    int number = 0;
    for (const fleet_daemon& daemon : fleet_->Daemons()) {
      http_reply reply;
      std::string id;
      const bool answered = Eventually([&] {
        id = "get-" + std::to_string(++number);
        return StatusOf(daemon,
                        Call("GET", "/ledger/balance/7", "demo-key-yamaga", id),
                        &reply) == 200;
      });
      Check(answered, daemon.vm + " answers a read");
      Check(reply.body == "yamaga " + id + "\n" &&
                reply.Header("x-call-id") == id,
            daemon.vm + " gives the call its own answer");
      CheckPosting(daemon);
      CheckRefusals(daemon);
    }
    const auto counts = ReadCounts(UpstreamPorts(fleet_.get()));
    Check(counts && counts->keys_seen == 0, "no upstream saw a key");
    const auto posts = ReadPosts(UpstreamPorts(fleet_.get()));
    Check(posts && posts->size() == fleet_->Daemons().size() &&
              CountDoubled(*posts) == 0,
          "each posting ran exactly once");
  }

  void CheckPosting(const fleet_daemon& daemon) {
    http_reply reply;
    const std::string id = "post-" + daemon.vm;
    // A repetition is safe after "not run" only.
    const bool answered = Eventually([&] {
      const int status = StatusOf(
          daemon, Call("POST", "/ledger/postings", "demo-key-yamaga", id),
          &reply);
      return status == 200 || reply.Header("x-pimentohall-not-run") != "true";
    });
    Check(answered && reply.status == 200, daemon.vm + " answers a posting");
  }

  void CheckRefusals(const fleet_daemon& daemon) {
    http_reply reply;
    const auto refuses = [&](const http_call& call, int status) {
      return StatusOf(daemon, call, &reply) == status &&
             reply.Header("x-pimentohall-not-run") == "true";
    };
    Check(refuses(Call("GET", "/ledger/balance/7", "wrong-key", "a"), 401),
          daemon.vm + " refuses an unknown key");
    Check(refuses(Call("GET", "/ledger/balance/7", "", "b"), 401),
          daemon.vm + " refuses a call without a key");
    Check(refuses(Call("GET", "/nowhere", "demo-key-yamaga", "c"), 404),
          daemon.vm + " refuses an unknown route");
  }

  // A watch that the source answers at once, or that no daemon arms, costs one
  // read a second and delays each change.
  bool WatchesWait() {
    const auto end = std::chrono::steady_clock::now() + kBound;
    while (std::chrono::steady_clock::now() < end) {
      const auto counts = ReadSourceCounts(fleet_->SourceAdminPort());
      if (counts.has_value() && counts->waiting >= 2) return true;
      std::this_thread::sleep_for(kPause);
    }
    return false;
  }

  void CheckDaemonVerbs() {
    const verb_result status = RunVerb(AdminArguments("status"));
    Check(
        status.code == kOk && status.output.find("vm-b2") != std::string::npos,
        "status lists the daemons");
    Check(WatchesWait(), "watches of the manifest and the VM list wait");
    const fleet_daemon& first = fleet_->Daemons().front();
    const verb_result dump = RunVerb({"dump", "--admin", AdminOf(first)});
    const auto state = nlohmann::json::parse(dump.output, nullptr, false);
    Check(dump.code == kOk && state.is_object() && state["vm"] == first.vm,
          "dump prints the state");
    Check(dump.output.find("demo-key") == std::string::npos &&
              dump.output.find(KeyDigest()) == std::string::npos,
          "dump shows no key and no digest of one");
    const verb_result explain = RunVerb(
        {"explain", "--admin", AdminOf(first), "--path", "/ledger/balance/7"});
    Check(explain.code == kRefused &&
              explain.output.find("no_key") != std::string::npos,
          "explain tells why a call without a key is refused");
    const verb_result offline = RunVerb(
        {"explain", "--config", folder_ + "/before", "--path", "/nowhere"});
    Check(offline.code == kRefused &&
              offline.output.find("no_key") != std::string::npos,
          "explain works on a folder");
  }

  std::string KeyDigest() {
    return fleet_->Documents()
        .parts["organisations/yamaga"]["keys"][0]["sha256"];
  }

  void CheckChange() {
    version_watch watch(fleet_->AdminPorts(), kPause);
    WithdrawKey(&fleet_->Documents(), "yamaga", "demo");
    Check(fleet_->Publish().has_value(), "published a change");
    Check(watch.WaitForAll(fleet_->Documents().version, kBound).has_value(),
          "the change is in force at every daemon");
    for (const fleet_daemon& daemon : fleet_->Daemons()) {
      http_reply reply;
      Check(StatusOf(daemon,
                     Call("GET", "/ledger/balance/7", "demo-key-yamaga", "d"),
                     &reply) == 401,
            daemon.vm + " refuses the withdrawn key");
    }
    Check(watch.Regressions() == 0, "no daemon went back in version");
  }

  void CheckPlannedStop() {
    fleet_daemon& first = fleet_->Daemons().front();
    first.process.Signal(SIGTERM);
    const auto status = first.process.WaitExit(kBound);
    Check(status == std::optional<int>(0), "a planned stop ends with status 0");
    Check(RunVerb(AdminArguments("status")).code == kUnreachable,
          "status reports a daemon that is gone");
    http_reply reply;
    Check(StatusOf(fleet_->Daemons().back(), Call("GET", "/nowhere", "", "e"),
                   &reply) == 401,
          "the others go on");
    fleet_->StopDaemons(kBound);
    for (fleet_daemon& daemon : fleet_->Daemons()) {
      Check(daemon.process.WaitExit(0ms) == std::optional<int>(0),
            daemon.vm + " ended with status 0");
    }
  }

  std::string programs_;
  std::string folder_;
  std::unique_ptr<fleet> fleet_;
  int failures_ = 0;
  int verbs_ = 0;
};

int Main(int argc, char** argv) {
  TCLAP::CmdLine line("Smoke test of the programs", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> programs("", "programs", "the build folder",
                                        false, "build", "folder", line);
  TCLAP::ValueArg<std::string> config("", "config", "configuration folder",
                                      false, "examples/tsurumaki", "folder",
                                      line);
  line.parse(argc, argv);
  EndChildrenOnSignals();
  temporary_folder folder;
  smoke_test test(programs.getValue(), folder.Path());
  auto done = test.Run(config.getValue());
  if (!done) std::cout << "FAILED  " << done.error().problem << "\n";
  return done && test.Passed() ? 0 : 1;
}

}  // namespace
}  // namespace pimentohall::testing

int main(int argc, char** argv) {
  return pimentohall::testing::Main(argc, argv);
}
