// A daemon gets SIGTERM while requests that it took wait in the queues before
// busy upstreams.

#include <csignal>

#include "../harness/deployment.h"

namespace pimentohall::review {
namespace {

// Bounds of the site.
constexpr milliseconds kGrace(6000);
constexpr milliseconds kLossSlack(200);
// The target may still be at work in the last sixth of the grace time.
constexpr milliseconds kLastSixth = kGrace - kGrace / 6;
constexpr milliseconds kWork(1200);
constexpr int kBudgetMs = 8000;
constexpr int kVms = 3;
constexpr int kSlots = 9;
constexpr milliseconds kGap(34);
constexpr int kRequests = 900;

int Run(const fleet_options& options, bool trouble) {
  fleet small(options);
  small.work = [](const std::string&) { return kWork; };
  const auto route = Route("statement-run", "/statements/", "statements",
                           "idempotent", kBudgetMs, 1200);
  if (!small.Start(Configuration(1, {route}, {Service("statements")}))) {
    return kCouldNotRun;
  }
  small.RunFor(seconds(6));
  const request statement = {"GET",          kHost,     "/statements/1",
                             "key-of-shore", kBudgetMs, 0};
  const std::size_t first = small.Calls().size();
  // A third more than the upstreams can run, until their queues are full.
  for (int i = 0; i < kRequests; ++i) {
    small.Send(i % kVms, statement);
    small.RunFor(kGap);
  }
  const instant stopped = small.Now();
  if (trouble) small.Signal(0, SIGTERM);
  small.RunFor(milliseconds(kBudgetMs) + seconds(1));

  int answered = 0;
  int refused = 0;
  int excused = 0;
  int lost = 0;
  for (std::size_t i = first; i < small.Calls().size(); ++i) {
    const call& each = *small.Calls()[i];
    if (each.vm != 0) continue;
    if (each.status == 200) ++answered;
    if (each.status != 0) {
      refused += each.status == 200 ? 0 : 1;
      continue;
    }
    const run* const ran = small.FindRun(each.id);
    const bool was_at_work =
        ran != nullptr && each.ended >= stopped + kLastSixth;
    const bool is_over = each.ended - each.sent >= milliseconds(kBudgetMs) ||
                         each.ended - each.sent <= kLossSlack;
    if (was_at_work || is_over) {
      ++excused;
    } else {
      ++lost;
    }
  }
  small.Record().Write(
      "of the requests that the stopped daemon took, " +
      std::to_string(answered) + " were answered, " + std::to_string(refused) +
      " refused, " + std::to_string(excused) +
      " cut while their upstream was at work, and " + std::to_string(lost) +
      " cut without an answer while they waited");
  if (answered == 0) return kCouldNotRun;
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace

int Main(int argc, char** argv) {
  return RunCase(argc, argv,
                 {"",
                  "",
                  {"statements", "statements", "statements"},
                  {"zone-a", "zone-b", "zone-c"},
                  kSlots},
                 &Run);
}

}  // namespace pimentohall::review

int main(int argc, char** argv) {
  return pimentohall::review::Main(argc, argv);
}
