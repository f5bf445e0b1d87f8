// A request that crashes the targets that run it comes again and again, and the
// machines of the system are stopped and started in turn.

#include <cstdio>

#include "../standins-2/mesh.h"

namespace bed {
namespace {

constexpr double kResendS = 2.0;
constexpr double kDownS = 3.0;        // A crashed target is back after that.
constexpr double kGapS = 16.0;        // Between two stops.
constexpr int kRolled[] = {3, 4, 5};  // The machines beside `ledger`.
constexpr char kPoisonPath[] = "/dues/poison";
constexpr int kMostRetries = 3;

// A resend of the poison.
struct resend {
  std::shared_ptr<attempt> sent;
  int vm = 0;
  bool from_calm = false;  // Its machine was in touch.
};

int Run(const std::string& folder, const std::string& record) {
  deployment mesh({record, folder, MeshVms()});
  if (!mesh.Start(MeshConfiguration(7, "\"key-1\""))) return kCouldNotRun;
  std::vector<std::pair<std::string, seconds>> crashes;
  std::set<std::string> calm_arrivals;  // At machines in touch.
  for (int i = 0; i < mesh.Count(); ++i) {
    mesh.At(i).app->work = [](const message&) { return 0.16; };
    mesh.At(i).app->intercept = [&mesh, &crashes, &calm_arrivals, i](
                                    target& app,
                                    const std::shared_ptr<http_connection>&,
                                    const message& what, arrival& seen) {
      if (what.Target() != kPoisonPath) return false;
      seen.ran = true;
      if (mesh.IsInTouch(i)) calm_arrivals.insert(seen.id);
      crashes.emplace_back(seen.id, mesh.Now());
      mesh.Record().Write(
          "the poison %s reaches target %s, with %d others at work; its "
          "daemon on %s is %s",
          seen.id.c_str(), app.Id().c_str(), app.Running(),
          mesh.At(i).name.c_str(),
          mesh.IsInTouch(i) ? "in touch" : "not in touch");
      // It ends a moment after it has begun to run the request.
      mesh.Loop().After(0.02, [&app] {
        if (app.IsUp()) app.Crash(kDownS, kWarmupS);
      });
      return true;
    };
  }
  const seconds begin = mesh.Now();
  const seconds roll_at = begin + 14;
  const seconds end = roll_at + 2 * kGapS + 38;
  // Usual traffic of the route: 41 a second.
  SendSteadily(mesh, 41, end, [&mesh](int n) {
    const std::string path = std::to_string(n);
    mesh.Send(n % mesh.Count(), Dues(path, "key-1", "amount=" + path));
  });
  std::vector<resend> resends;
  mesh.Loop().At(begin + 3, [&] {
    SendSteadily(mesh, 1 / kResendS, end, [&](int n) {
      // From the same service, at each of its machines in turn, and only while
      // all machines beside `ledger` are in touch.
      for (const int vm : kRolled) {
        if (!mesh.IsInTouch(vm) || mesh.At(vm).daemon < 0) return;
      }
      const int vm = 6 + n % 3;
      request poison = Dues("poison", "key-1", "amount=poison");
      resends.push_back({mesh.Send(vm, poison), vm, mesh.IsInTouch(vm)});
    });
  });
  if (HasTrouble()) {
    seconds at = roll_at;
    for (const int vm : kRolled) {
      mesh.Loop().At(at, [&mesh, vm] { mesh.RestartDaemon(vm); });
      at += kGapS;
    }
  }
  mesh.Loop().RunUntil(end + 4);
  if (crashes.size() < 3) {
    mesh.Record().Write("only %zu crashes", crashes.size());
    return kCouldNotRun;
  }
  const seconds bound_from = crashes[2].second + kContactS;
  std::set<std::string> reached;
  std::set<std::string> all_reached;
  for (const auto& [id, at] : crashes) {
    if (at <= bound_from) continue;
    all_reached.insert(id);
    for (const resend& each : resends) {
      if (each.sent->id == id && each.from_calm &&
          calm_arrivals.count(id) != 0 && each.sent->sent > bound_from) {
        reached.insert(id);
      }
    }
  }
  int answered = 0;
  for (const auto& each : mesh.Attempts()) answered += each->status == 200;
  mesh.Record().Write("%zu requests, %d answered with 200; %zu resends",
                      mesh.Attempts().size(), answered, resends.size());
  mesh.Record().Write(
      "third crash at %.3f; later than 3 s after it, %zu retries reached "
      "targets, %zu of them sent by machines in touch (3 allowed)",
      crashes[2].second, all_reached.size(), reached.size());
  std::printf("retries that reached targets: %zu, in touch %zu (3 allowed)\n",
              all_reached.size(), reached.size());
  const bool broken = reached.size() > kMostRetries;
  mesh.WriteTraffic();
  mesh.Record().Write(broken ? "BUDGET is broken" : "BUDGET held");
  return broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace bed

int main(int argc, char** argv) {
  return argc == 3 ? bed::Run(argv[1], argv[2]) : bed::kCouldNotRun;
}
