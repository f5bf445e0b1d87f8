// The patterns: four services whose calls need one another, as both users'
// deployments have them.

#include "load_model/model.h"

namespace pimentohall::testing {
namespace {

std::vector<load_class> Classes() {
  load_class read{"read", "counter", 92, 120, 0.8,    400, 2500, 1200,
                  1,      0.3,       2,  2,   "peek", 2,   0.7};
  load_class post{"post", "ledger", 41, 160, 0.3,      500, 3000, 1500,
                  2,      0.6,      1,  2,   "verify", 1,   0.7};
  load_class refund{"refund", "refunds", 27, 84, 0.8,       250, 1500, 800,
                    3,        0.9,       0,  2,  "history", 2,   0.7};
  load_class report{"report", "statements", 18, 480, 0.5, 1200, 8000, 4000,
                    1,        0.3,          2,  2,   "",  0,    0};
  load_class peek{"peek", "ledger", 0, 30, 0.5, 120, 400, 400,
                  0,      0,        0, 0,  "",  0,   0};
  load_class verify = peek;
  verify.name = "verify";
  verify.service = "refunds";
  load_class history = peek;
  history.name = "history";
  history.service = "statements";
  return {read, post, refund, report, peek, verify, history};
}

std::vector<load_upstream> Upstreams() {
  std::vector<load_upstream> all;
  for (const char* service : {"counter", "ledger", "refunds", "statements"}) {
    for (const double slowness : {0.7, 0.7, 1.6}) {
      load_upstream one;
      one.service = service;
      one.slowness = slowness;
      all.push_back(one);
    }
  }
  return all;
}

load_pattern Base(const std::string& name, const std::string& answers) {
  load_pattern pattern;
  pattern.name = name;
  pattern.answers = answers;
  pattern.classes = Classes();
  pattern.upstreams = Upstreams();
  return pattern;
}

// One route for short and long calls, close to the capacity of their service.
// `path` of the long calls: unlike that of the short ones, it tells them apart.
load_pattern MixedRoutePattern(const std::string& path) {
  load_pattern pattern;
  load_class brief{"brief", "desk", 320, 60, 0.4, 250, 1500, 800,
                   1,       0.3,    1,   1,  "",  0,   0};
  load_class lengthy{"lengthy", "desk", 40, 480, 0.4, 1500, 4000, 2500,
                     2,         0.3,    1,  1,   "",  0,    0};
  brief.route = lengthy.route = "search";
  lengthy.path = path;
  pattern.classes = {brief, lengthy};
  for (const double slowness : {0.7, 0.7, 1.6, 0.7, 0.7, 1.6}) {
    load_upstream one;
    one.service = "desk";
    one.slowness = slowness;
    one.slots = 6;
    pattern.upstreams.push_back(one);
  }
  return pattern;
}

}  // namespace

load_pattern CalmPattern() { return Base("calm", "nobody waits"); }

load_pattern BurstPattern(double times) {
  load_pattern pattern =
      Base("burst x" + std::to_string(times).substr(0, 3),
           "a burst is served late rather than refused, and passes");
  pattern.rate = [times](const load_class&, double at_s) {
    return at_s > 8 && at_s < 13 ? times : 1;
  };
  return pattern;
}

load_pattern ScaleInPattern() {
  load_pattern pattern =
      Base("scale in under load",
           "a service far beyond its room serves in aim what it serves");
  pattern.upstreams[0].until_s = 5;
  pattern.upstreams[1].until_s = 8;
  return pattern;
}

load_pattern SlowMinorityPattern() {
  load_pattern pattern =
      Base("slow minority", "work goes round an upstream that turned slow");
  pattern.upstreams[0].slowness = 4;
  pattern.upstreams[3].slowness = 4;
  return pattern;
}

load_pattern RetryStormPattern() {
  load_pattern pattern =
      Base("retry storm", "impatient callers push nobody else out");
  pattern.ignore_share = 0.3;
  pattern.rate = [](const load_class& kind, double at_s) {
    return kind.name == "read" && at_s > 8 && at_s < 20 ? 2.2 : 1;
  };
  return pattern;
}

load_pattern LeavingCallersPattern() {
  load_pattern pattern =
      Base("callers that leave", "their work stops and the room is used");
  pattern.leave_share = 0.3;
  pattern.rate = [](const load_class&, double at_s) {
    return at_s > 8 && at_s < 20 ? 1.5 : 1;
  };
  return pattern;
}

load_pattern ColdZonePattern() {
  load_pattern pattern =
      Base("a zone's upstreams back cold", "cold ones are ramped, not crashed");
  for (std::size_t i = 0; i < pattern.upstreams.size(); i += 3) {
    pattern.upstreams[i].from_s = 10;
    pattern.upstreams[i].cold_until_s = 13;
    pattern.upstreams[i].cold_per_s = 13;
  }
  return pattern;
}

load_pattern FullCalleePattern() {
  load_pattern pattern =
      Base("a full callee", "calls of running calls go before new ones");
  pattern.rate = [](const load_class& kind, double at_s) {
    return kind.name == "post" && at_s > 8 && at_s < 20 ? 3.0 : 1;
  };
  return pattern;
}

load_pattern LastCalleePattern() {
  load_pattern pattern =
      Base("a callee's last upstream",
           "nested calls are served while their own service is short");
  pattern.upstreams[3].until_s = 5;
  pattern.upstreams[4].until_s = 5;
  pattern.upstreams[5].slowness = 1;
  return pattern;
}

load_pattern GreyMinorityPattern() {
  load_pattern pattern =
      Base("a grey minority", "an upstream that fails calls gets few");
  pattern.upstreams[0].fails = 0.5;
  pattern.upstreams[4].fails = 0.5;
  return pattern;
}

// The grown deployment: as much load for each upstream, six times as many of
// them, and news that are older.
load_pattern WideFleetPattern() {
  load_pattern pattern =
      Base("a wide fleet",
           "work spreads although news are older than calls are apart");
  constexpr int kTimes = 6;
  const std::vector<load_upstream> few = pattern.upstreams;
  pattern.upstreams.clear();
  for (const load_upstream& each : few) {
    pattern.upstreams.insert(pattern.upstreams.end(), kTimes, each);
  }
  for (load_class& each : pattern.classes) each.per_s *= kTimes;
  pattern.daemons = 69;
  pattern.near_news_s = 0.414;
  pattern.far_news_s = 0.828;
  return pattern;
}

// Large uploads beside short reads that other calls need, on narrow links: two
// services, three upstreams of unequal speed a zone for the uploads.
load_pattern UploadsPattern() {
  load_pattern pattern;
  pattern.name = "large uploads beside small reads";
  pattern.answers = "small calls go round links that uploads fill";
  load_class view{"view", "desk", 300, 220, 0.3,      600, 1500, 1400,
                  1,      0.3,    2,   1,   "lookup", 2,   0.7};
  load_class upload{"upload", "vault", 50, 260, 0.8, 800, 2000, 1900,
                    2,        0.6,     1,  1,   "",  0,   0};
  upload.bytes = 60000;
  load_class lookup{"lookup", "vault", 0, 55, 0.5, 200, 600, 600,
                    0,        0,       0, 0,  "",  0,   0};
  pattern.classes = {view, upload, lookup};
  for (int i = 0; i < 12; ++i) {
    load_upstream desk;
    desk.service = "desk";
    desk.slots = 18;
    pattern.upstreams.push_back(desk);
  }
  constexpr double kSlowness[] = {0.6, 1.0, 1.4};
  for (int i = 0; i < 3; ++i) {
    load_upstream vault;
    vault.service = "vault";
    vault.slots = 18;
    vault.slowness = kSlowness[i];
    vault.zone = i;
    vault.link_bytes_per_ms = 2000;
    pattern.upstreams.push_back(vault);
  }
  return pattern;
}

load_pattern LoadedZonePattern() {
  load_pattern pattern = UploadsPattern();
  pattern.name = "one zone loaded twice";
  pattern.answers = "a loaded zone spills over, the others stay near";
  pattern.first_zone_share = 0.25;
  return pattern;
}

load_pattern LostZonePattern() {
  load_pattern pattern = UploadsPattern();
  pattern.name = "a zone lost its upstreams";
  pattern.answers = "the zone's calls are served by the others";
  for (load_upstream& each : pattern.upstreams) {
    if (each.zone == 2) each.until_s = 10;
  }
  return pattern;
}

// dimasalang scale-1, seed 292573397552: one upstream is left to the service
// that others call.
load_pattern ShortCalleePattern() {
  load_pattern pattern = UploadsPattern();
  pattern.name = "overload that sustains itself";
  pattern.answers = "once the cause is gone, calls are served as before";
  std::vector<load_upstream> returned;
  for (load_upstream& each : pattern.upstreams) {
    if (each.service != "vault") continue;
    each.link_bytes_per_ms = 100000;
    each.slowness = 0.8;
    if (each.zone == 0) continue;
    returned.push_back(each);
    returned.back().from_s = kShortCalleeUntilS;
    each.until_s = 6;
  }
  pattern.upstreams.insert(pattern.upstreams.end(), returned.begin(),
                           returned.end());
  return pattern;
}

// Customer 1's calls (docs/design/overload-and-cost.md) on nine of its 23
// upstreams a service. A lodgement takes a slot for 161 ms at speed 0.7 and for
// 305 ms at 1.6, its nested calls included, so 54 slots run 282 a second. The
// look-ups' nested calls take 8.5 slots. 4.4 times the usual lodgements make
// that 1.7 times the capacity.
load_pattern LastingOverloadPattern() {
  load_pattern pattern;
  pattern.name = "lasting overload of one service";
  pattern.answers = "a service serves in aim what it can, for as long as it is";
  constexpr double kFleet = 9.0 / 23;
  constexpr double kLodgeTimes = 4.4;
  load_class look{"lookup", "lookups", 600 * kFleet, 120, 0.8, 400,     1500,
                  800,      1,         0.1,          0,   1,   "check", 2,
                  0.7,      0};
  load_class lodge{"lodge",
                   "lodgements",
                   251 * kFleet,
                   160,
                   0.3,
                   500,
                   2000,
                   1000,
                   2,
                   0.1,
                   1,
                   1,
                   "peek",
                   2,
                   0.7,
                   0};
  load_class bulk{"bulk", "bulk", 251 * kFleet, 300, 0.5, 1500, 3000,
                  3000,   1,      0.04,         2,   1,   "",   0,
                  0,      0};
  load_class check{"check", "lodgements", 0, 30, 0.5, 120, 400, 400, 0, 0, 0,
                   0,       "",           0, 0,  0};
  load_class peek = check;
  peek.name = "peek";
  peek.service = "bulk";
  pattern.classes = {look, lodge, bulk, check, peek};
  for (const char* service : {"lookups", "lodgements", "bulk"}) {
    for (int i = 0; i < 9; ++i) {
      load_upstream one;
      one.service = service;
      one.slowness = i % 3 == 2 ? 1.6 : 0.7;
      one.slots = 6;
      one.zone = i / 3;
      pattern.upstreams.push_back(one);
    }
  }
  pattern.daemons = 27;
  pattern.rate = [](const load_class& kind, double at_s) {
    return kind.name == "lodge" && at_s > 5 && at_s < 25 ? kLodgeTimes : 1;
  };
  return pattern;
}

// Every caller of a moment is refused. What the callers do next decides whether
// the returned services meet an even load or a wave.
load_pattern AllComeBackPattern() {
  load_pattern pattern =
      Base("all come back", "callers refused together return spread out");
  const std::vector<load_upstream> before = pattern.upstreams;
  for (load_upstream& each : pattern.upstreams) each.until_s = 10;
  for (load_upstream each : before) {
    each.from_s = kAllBackS;
    pattern.upstreams.push_back(each);
  }
  for (load_class& each : pattern.classes) each.per_s *= 1.3;
  pattern.no_upstream_ms = 250;
  return pattern;
}

load_pattern FleetReturnPattern() {
  load_pattern pattern =
      Base("the whole fleet returns", "cold upstreams serve who can be served");
  pattern.lost_from_s = kFleetBackS - 2;
  pattern.lost_until_s = kFleetBackS;
  pattern.cold_after_loss_s = 6;
  pattern.cold_after_loss_per_s = 12;  // About 0.3 of a service's usual rate.
  for (load_class& each : pattern.classes) each.retries = 1;
  pattern.no_upstream_ms = 250;
  return pattern;
}

// At a load at which the two fast upstreams of a service don't suffice.
load_pattern UnequalSpeedsPattern() {
  load_pattern pattern =
      Base("speeds 0.7, 0.7, 1.6", "calls are shared out by speed");
  pattern.rate = [](const load_class&, double) { return 1.8; };
  return pattern;
}

load_pattern ShortStallsPattern() {
  load_pattern pattern =
      Base("short stalls", "work goes round an upstream while it is slow");
  for (load_upstream& each : pattern.upstreams) each.stall_gap_ms = 900;
  pattern.rate = [](const load_class&, double) { return 1.5; };
  return pattern;
}

// Too little capacity, and callers that wait for less time than many runs take.
load_pattern CancelledRunsPattern() {
  load_pattern pattern;
  pattern.name = "cancelled runs go on";
  pattern.answers = "an upstream isn't sent more than it can start";
  load_class look{"look", "desk", 144, 120, 0.8,      400, 1500, 300,
                  1,      0.1,    0,   1,   "nested", 2,   0.7};
  load_class lodge{"lodge", "office", 60, 160, 0.5, 500, 2000, 1000,
                   2,       0.1,      1,  1,   "",  0,   0};
  load_class nested{"nested", "office", 0, 30, 0.5, 120, 400, 400,
                    0,        0,        0, 0,  "",  0,   0};
  pattern.classes = {look, lodge, nested};
  for (const char* service : {"desk", "office"}) {
    for (const double slowness : {0.7, 0.7, 1.6}) {
      load_upstream one;
      one.service = service;
      one.slowness = slowness;
      one.slots = 6;
      one.own_queue = 24;
      one.stall_gap_ms = 900;
      pattern.upstreams.push_back(one);
    }
  }
  return pattern;
}

load_pattern LookAlikesPattern() {
  load_pattern pattern = MixedRoutePattern("/");
  pattern.name = "look-alikes of unlike cost";
  pattern.answers = "where no feature tells costs, none is assumed";
  return pattern;
}

load_pattern TwoKindsPattern() {
  load_pattern pattern = MixedRoutePattern("/all");
  pattern.name = "two kinds, one long";
  pattern.answers = "short calls don't wait behind long ones";
  return pattern;
}

// 36 slots run 300 calls a second; 630 arrive.
load_pattern ThreeRanksPattern() {
  load_pattern pattern;
  pattern.name = "three ranks in one service";
  pattern.answers = "the least urgent is shed first, and keeps its floor";
  load_class urgent{"urgent", "shared", 210, 120, 0.5, 400, 1500, 800,
                    1,        0.1,      0,   1,   "",  0,   0,    0};
  load_class usual = urgent;
  usual.name = "usual";
  usual.rank = 1;
  load_class spare = urgent;
  spare.name = "spare";
  spare.rank = 2;
  pattern.classes = {urgent, usual, spare};
  for (int i = 0; i < 6; ++i) {
    load_upstream one;
    one.service = "shared";
    one.slots = 6;
    pattern.upstreams.push_back(one);
  }
  return pattern;
}

std::vector<load_pattern> AllPatterns() {
  return {
      CalmPattern(),        BurstPattern(1.4),       BurstPattern(2),
      BurstPattern(3),      ScaleInPattern(),        SlowMinorityPattern(),
      RetryStormPattern(),  LeavingCallersPattern(), ColdZonePattern(),
      FullCalleePattern(),  LastCalleePattern(),     GreyMinorityPattern(),
      WideFleetPattern(),   UploadsPattern(),        LoadedZonePattern(),
      LostZonePattern(),    ShortCalleePattern(),    LastingOverloadPattern(),
      AllComeBackPattern(), ThreeRanksPattern(),     LookAlikesPattern(),
      TwoKindsPattern(),    FleetReturnPattern(),    UnequalSpeedsPattern(),
      ShortStallsPattern(), CancelledRunsPattern()};
}

}  // namespace pimentohall::testing
