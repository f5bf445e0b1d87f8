// A target becomes cold again while the platform's store is down. Its status
// check tells so; its entry can't.

#include <algorithm>
#include <cstdio>

#include "../standins-2/mesh.h"

namespace bed {
namespace {

constexpr double kDownS = 4.5;
// warmupPerS x warmupOvershoot + warmupSlack
constexpr double kBound = kWarmupPerS * 1.5 + 5;
// The record also has the count without this time after the target became
// cold, in which the system may not know it yet. The rule has no such time.
constexpr double kNoticeS = 0.5;
constexpr int kRounds = 3;
constexpr double kRoundS = 12;
constexpr char kPeekRoute[] =
    ",{\"name\":\"peek\",\"host\":\"inner.example\",\"prefix\":\"/peek/\","
    "\"kind\":\"idempotent\",\"timeoutMs\":400,\"aimMs\":120,\"priority\":2,"
    "\"service\":\"ledger\",\"maxAttempts\":2,\"public\":true}";

int Run(const std::string& folder, const std::string& record) {
  deployment mesh({record, folder, MeshVms()});
  if (!mesh.Start(MeshConfiguration(7, "\"key-1\"", kPeekRoute))) {
    return kCouldNotRun;
  }
  // The traffic for `ledger` on the site's day scale-1: dues postings, and the
  // lookups that balance checks make (116 a second, 7 of 10 with 2 lookups
  // each).
  for (int i = 0; i < mesh.Count(); ++i) {
    mesh.At(i).app->work = [](const message& what) {
      return what.Method() == "POST" ? 0.16 : 0.03;
    };
  }
  const seconds begin = mesh.Now();
  const seconds end = begin + 4 + kRounds * kRoundS;
  constexpr double kZoneShares[] = {0.285, 0.354, 0.361};
  for (int zone = 0; zone < 3; ++zone) {
    SendSteadily(mesh, kZoneShares[zone] * 51, end, [&mesh, zone](int n) {
      const std::string path = std::to_string(zone) + "-" + std::to_string(n);
      mesh.Send(zone + 3 * (n % 4), Dues(path, "key-1", "amount=" + path));
    });
    // The targets of `counter` make these calls: without a key, at their own
    // machine.
    SendSteadily(mesh, kZoneShares[zone] * 162, end, [&mesh, zone](int n) {
      const std::string path = std::to_string(zone) + "-" + std::to_string(n);
      mesh.Send(zone, {"GET", "inner.example", "/peek/" + path, "", 400, ""});
    });
  }
  std::vector<std::pair<int, seconds>> colds;
  for (int round = 0; round < kRounds; ++round) {
    const seconds at = begin + 4 + round * kRoundS;
    const int vm = 3 + round % 3;  // The targets of `ledger`.
    if (HasTrouble()) {
      mesh.Loop().At(at - 0.5, [&mesh] { mesh.Store().SetSilent(true); });
      mesh.Loop().At(at - 0.5 + kDownS,
                     [&mesh] { mesh.Store().SetSilent(false); });
    }
    mesh.Loop().At(at, [&mesh, &colds, vm] {
      mesh.At(vm).app->BecomeCold(kWarmupS);
      colds.emplace_back(vm, mesh.Now());
    });
  }
  mesh.Loop().RunUntil(end + 3);
  int answered = 0;
  for (const auto& each : mesh.Attempts()) answered += each->status == 200;
  mesh.Record().Write("%zu requests, %d answered with 200",
                      mesh.Attempts().size(), answered);
  if (answered * 10 < static_cast<int>(mesh.Attempts().size()) * 8) {
    return kCouldNotRun;
  }
  std::map<std::string, seconds> sent;
  for (const auto& each : mesh.Attempts()) sent[each->id] = each->sent;
  bool broken = false;
  for (const auto& cold : colds) {
    const int vm = cold.first;
    const seconds at = cold.second;
    std::vector<seconds> times;
    for (const auto& each : mesh.Arrivals()) {
      if (each->vm == vm && each->at >= at && each->at <= at + kWarmupS) {
        times.push_back(each->at);
      }
    }
    // The largest count in one second: sent and arrived inside of it.
    const auto count_most = [&](seconds first, seconds* most_from) {
      int most = 0;
      for (seconds from = first; from + 1 <= at + kWarmupS; from += 0.05) {
        int count = 0;
        for (const auto& each : mesh.Arrivals()) {
          count +=
              each->vm == vm && each->at < from + 1 && sent[each->id] >= from;
        }
        if (count <= most) continue;
        most = count;
        *most_from = from;
      }
      return most;
    };
    seconds most_from = 0;
    seconds later_from = 0;
    const int most = count_most(at, &most_from);
    const int later = count_most(at + kNoticeS, &later_from);
    mesh.Record().Write(
        "%s cold from %.3f to %.3f: %zu requests; most in one second: %d, from "
        "%.3f on (bound %.1f); from %.1f s after it became cold on: %d, from "
        "%.3f on",
        mesh.At(vm).name.c_str(), at, at + kWarmupS, times.size(), most,
        most_from, kBound, kNoticeS, later, later_from);
    std::printf("most in one second: %d, later than %.1f s: %d (bound %.1f)\n",
                most, kNoticeS, later, kBound);
    broken = broken || most > kBound;
  }
  mesh.WriteTraffic();
  mesh.Record().Write(broken ? "FAILBACK is broken" : "FAILBACK held");
  return broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace bed

int main(int argc, char** argv) {
  return argc == 3 ? bed::Run(argv[1], argv[2]) : bed::kCouldNotRun;
}
