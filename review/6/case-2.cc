// The store comes back from an older copy, and the operator writes again, in
// order and at the pace of the first time, what it had written since.

#include <cstdio>

#include "../standins-2/mesh.h"

namespace bed {
namespace {

// Seconds between the changes, both times.
constexpr double kGapS = 4.0;
constexpr double kAwayS = 1.0;
constexpr double kRevertSlackS = 0.25;
constexpr double kApplyS = 2.0;

constexpr char kBothKeys[] = "\"key-1\",\"key-2\"";
constexpr char kOneKey[] = "\"key-1\"";

std::string Further(const char* name) {
  return "," + RouteText(name, "counter.example", "idempotent", 1200, 400, 2,
                         "counter");
}

struct version {
  int number;
  std::string text;
};

int Run(const std::string& folder, const std::string& record) {
  deployment mesh({record, folder, MeshVms()});
  const std::string first = MeshConfiguration(10, kBothKeys);
  // Lost with the store: two routes are added, then a key is withdrawn.
  const version lost[] = {
      {11, MeshConfiguration(11, kBothKeys, Further("extra"))},
      {13,
       MeshConfiguration(13, kBothKeys, Further("extra") + Further("more"))},
      {14, MeshConfiguration(14, kOneKey, Further("extra") + Further("more"))},
  };
  mesh.Store().TellEra(3);
  if (!mesh.Start(first)) return kCouldNotRun;
  for (int i = 0; i < mesh.Count(); ++i) {
    mesh.At(i).app->work = [](const message&) { return 0.02; };
  }
  const seconds begin = mesh.Now();
  std::shared_ptr<store::copy> older;
  mesh.Loop().At(begin + 2, [&] { older = mesh.Store().Copy(); });
  const auto put = [&mesh](const version& each) {
    mesh.Record().Write("the operator writes r%d", each.number);
    mesh.Store().Put("op/config", each.text);
  };
  seconds at = begin + 2.5;
  seconds last_ack = 0;
  for (const version& each : lost) {
    mesh.Loop().At(at, [&put, &each] { put(each); });
    last_ack = at;
    at += kGapS;
  }
  // The drill begins once the last version is in force everywhere.
  const seconds back = last_ack + kApplyS + 1 + kAwayS;
  if (HasTrouble()) {
    mesh.Loop().At(back - kAwayS, [&] { mesh.Store().SetSilent(true); });
    mesh.Loop().At(back, [&] {
      mesh.Store().SetSilent(false);
      mesh.Store().Restore(*older);
      for (int i = 0; i < mesh.Count(); ++i) mesh.At(i).app->WriteEntry();
    });
    at = back + 1;
    for (const version& each : lost) {
      mesh.Loop().At(at, [&put, &each] { put(each); });
      at += kGapS;
    }
  }
  const seconds end = back + 1 + 3 * kGapS + 6;
  // Each machine gets requests with the key that r14 withdraws, and with the
  // one that stays.
  std::vector<std::shared_ptr<attempt>> probes;
  SendSteadily(mesh, 60, end, [&](int n) {
    const std::string path = std::to_string(n);
    probes.push_back(mesh.Send(n % mesh.Count(), Balance(path, "key-2")));
  });
  SendSteadily(mesh, 60, end, [&](int n) {
    mesh.Send(n % mesh.Count(), Balance("k" + std::to_string(n), "key-1"));
  });
  mesh.Loop().RunUntil(end + 3);
  // The effect of r14 at a machine: its first 401 for the withdrawn key.
  std::map<int, seconds> effect;
  int refused = 0;
  int older_again = 0;
  int machines = 0;
  seconds first_at = 0;
  seconds last_at = 0;
  std::set<int> regressed;
  for (const auto& each : probes) {
    if (each->status == 401) {
      effect.emplace(each->vm, each->ended);
      ++refused;
      continue;
    }
    const auto seen = effect.find(each->vm);
    if (each->status != 200 || seen == effect.end() ||
        each->sent <= seen->second + kRevertSlackS) {
      continue;
    }
    if (older_again++ == 0) first_at = each->sent;
    last_at = each->sent;
    regressed.insert(each->vm);
    mesh.Record().Write(
        "%s answers 200 to the withdrawn key, sent at %.3f; it had refused it "
        "from %.3f on",
        mesh.At(each->vm).name.c_str(), each->sent, seen->second);
  }
  machines = static_cast<int>(regressed.size());
  mesh.Record().Write("%d requests with the withdrawn key were refused",
                      refused);
  if (refused < 50 || static_cast<int>(effect.size()) < mesh.Count()) {
    return kCouldNotRun;
  }
  mesh.Record().Write(
      "after r14 had been in force: %d requests with the withdrawn key ran "
      "again, at %d machines, from %.1f to %.1f s after the store's return",
      older_again, machines, first_at - back, last_at - back);
  std::printf("ran again with the withdrawn key: %d, at %d machines\n",
              older_again, machines);
  const bool broken = older_again > 0;
  mesh.WriteTraffic();
  mesh.Record().Write(broken ? "CONFIG is broken" : "CONFIG held");
  return broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace bed

int main(int argc, char** argv) {
  return argc == 3 ? bed::Run(argv[1], argv[2]) : bed::kCouldNotRun;
}
