// An upstream rejects a few large uploads before their bodies are in, and reads
// on.

#include "../harness/deployment.h"

namespace pimentohall::review {
namespace {

constexpr std::size_t kUploadBytes = 600 * 1000;
// A caller with 5 Mbit/s.
constexpr int kPieces = 60;
constexpr milliseconds kPieceGap(16);
constexpr int kSlots = 18;
constexpr int kVault = 2;
// The upstream rejects this share of the uploads, for this long. The largest
// dose of `garble` with `early` is 0.4 for 6 s.
constexpr int kRejectedOfTen = 4;
constexpr milliseconds kDisturbance(6000);
constexpr milliseconds kGap(12);
constexpr milliseconds kSettle(8000);
// Probes after the disturbance.
constexpr int kProbes = 60;
constexpr milliseconds kProbeGap(500);

int Run(const fleet_options& options, bool trouble) {
  fleet small(options);
  bool rejecting = false;
  int seen = 0;
  int rejected = 0;
  small.rejects_early = [&](int vm, const std::string&) {
    if (!rejecting || vm != kVault) return false;
    const bool rejects = ++seen % 10 < kRejectedOfTen;
    rejected += rejects ? 1 : 0;
    return rejects;
  };
  const std::vector<nlohmann::json> services = {Service("vault"),
                                                Service("orders")};
  std::vector<nlohmann::json> routes = {
      Route("proof-view", "/proofs/", "orders", "idempotent", 1500, 600)};
  if (!small.Start(Configuration(1, routes, services))) return kCouldNotRun;
  small.RunFor(seconds(3));
  // Two routes are added.
  routes.push_back(
      Route("crest-upload", "/crests/", "vault", "upload", 2000, 800));
  routes.push_back(
      Route("style-lookup", "/styles/", "vault", "idempotent", 2000, 800));
  small.Store().Put("op/config", Configuration(2, routes, services).dump());
  small.RunFor(seconds(3));
  const request upload = {"POST", kHost,        "/crests/1", "key-of-shore",
                          2000,   kUploadBytes, kPieces,     kPieceGap};
  const request lookup = {"GET", kHost, "/styles/1", "key-of-shore", 2000, 0};
  const request view = {"GET", kHost, "/proofs/1", "key-of-shore", 1500, 0};
  const auto send_uploads = [&](milliseconds time) {
    const instant end = small.Now() + time;
    for (int i = 0; small.Now() < end; ++i) {
      small.Send(i % 2, upload);
      small.RunFor(kGap);
    }
  };
  send_uploads(seconds(2));
  rejecting = trouble;
  send_uploads(kDisturbance);
  rejecting = false;
  small.RunFor(kSettle);
  const std::size_t first = small.Calls().size();
  for (int i = 0; i < kProbes; ++i) {
    for (const request& each : {upload, lookup, view}) small.Send(i % 2, each);
    small.RunFor(kProbeGap);
  }
  small.RunFor(seconds(3));
  std::map<std::string, int> served;
  for (std::size_t i = first; i < small.Calls().size(); ++i) {
    const call& each = *small.Calls()[i];
    if (each.status == 200) ++served[each.what.path];
  }
  const std::string of = " of " + std::to_string(kProbes);
  small.Record().Write(
      std::to_string(rejected) +
      " uploads were rejected early. From 8 s after the disturbance on, " +
      std::to_string(served[upload.path]) + of + " uploads, " +
      std::to_string(served[lookup.path]) + of + " lookups at the same " +
      "upstream and " + std::to_string(served[view.path]) + of +
      " views at others were served");
  if (served[view.path] < kProbes) return kCouldNotRun;
  // Routes that were added later are served less than a quarter as often as the
  // first one: two kinds of request against one.
  const int later = served[upload.path] + served[lookup.path];
  return 4 * later < 2 * served[view.path] ? kBroken : kHeld;
}

}  // namespace

int Main(int argc, char** argv) {
  return RunCase(argc, argv,
                 {"",
                  "",
                  {"orders", "orders", "vault"},
                  {"zone-a", "zone-b", "zone-c"},
                  kSlots},
                 &Run);
}

}  // namespace pimentohall::review

int main(int argc, char** argv) {
  return pimentohall::review::Main(argc, argv);
}
