#include "core/membership.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "core/topology.h"

namespace pimentohall::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using names = std::vector<std::string>;

instant At(double s) {
  return instant(std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(1000 + s)));
}

std::string Zone(int i) { return "zone-" + std::to_string(i); }

// `zones` zones of `vms` VMs each.
std::shared_ptr<config::vm_list> MakeList(int zones, int vms) {
  auto list = std::make_shared<config::vm_list>();
  list->version = 1;
  for (int zone = 0; zone < zones; ++zone) {
    for (int i = 0; i < vms; ++i) {
      config::vm vm;
      vm.zone = Zone(zone);
      vm.name = "vm-" + std::to_string(zone) + "-" + std::to_string(i);
      vm.address = "127.0.0.1";
      vm.link_port = 7000 + i;
      list->vms.push_back(vm);
    }
  }
  std::sort(list->vms.begin(), list->vms.end(),
            [](const auto& a, const auto& b) { return a.name < b.name; });
  return list;
}

membership MakeMembership(const std::shared_ptr<config::vm_list>& list,
                          const std::string& vm) {
  const config::vm* self = list->Find(vm);
  membership members(vm, self == nullptr ? Zone(0) : self->zone, {});
  members.SetVms(list);
  return members;
}

bool Contains(const names& list, const std::string& name) {
  return std::find(list.begin(), list.end(), name) != list.end();
}

status_message Status(std::uint64_t incarnation, bool stopping = false) {
  status_message status;
  status.incarnation = incarnation;
  status.stopping = stopping;
  return status;
}

using graph = std::map<std::string, std::set<std::string>>;

// The undirected graph of the links of all VMs except those in `down`.
graph LinkGraph(const std::shared_ptr<config::vm_list>& list, const names& down,
                std::size_t* readers = nullptr) {
  graph links;
  for (const config::vm& vm : list->vms) {
    membership members = MakeMembership(list, vm.name);
    if (readers != nullptr && members.IsReader(At(0))) ++*readers;
    if (Contains(down, vm.name)) continue;
    for (const std::string& dead : down) members.OnLinkDown(dead, At(0));
    for (const std::string& peer : members.DesiredLinks(At(1))) {
      links[vm.name].insert(peer);
      links[peer].insert(vm.name);
    }
  }
  return links;
}

std::size_t Reached(const graph& links) {
  std::set<std::string> seen = {links.begin()->first};
  std::queue<std::string> open;
  open.push(links.begin()->first);
  while (!open.empty()) {
    for (const std::string& peer : links.at(open.front())) {
      if (seen.insert(peer).second) open.push(peer);
    }
    open.pop();
  }
  return seen.size();
}

// Guards against a partitioned fleet, too many readers, and daemons with too
// many links; also while both first readers of some zones are down.
TEST_CASE("links connect the fleet within the link limit") {
  struct test_case {
    int zones, vms, dead_zones;
    std::size_t max_allowed_links;
  };
  for (const test_case& test :
       {test_case{1, 1, 0, 1}, test_case{1, 3, 0, 3}, test_case{2, 2, 0, 4},
        test_case{3, 4, 0, 8}, test_case{4, 12, 1, 26}, test_case{5, 10, 2, 24},
        test_case{15, 147, 0, 40}, test_case{15, 20, 3, 48}}) {
    CAPTURE(test.zones);
    CAPTURE(test.vms);
    const auto list = MakeList(test.zones, test.vms);
    names down;
    for (int zone = 0; zone < test.dead_zones; ++zone) {
      const names ranking =
          MakeMembership(list, "vm-" + std::to_string(zone) + "-0")
              .Ranked("reader", Zone(zone));
      down.insert(down.end(), ranking.begin(), ranking.begin() + 2);
    }
    std::size_t readers = 0;
    const graph links = LinkGraph(list, down, &readers);
    CHECK(readers == static_cast<std::size_t>(test.zones) *
                         std::min<std::size_t>(2, test.vms));
    if (test.zones * test.vms == 1) continue;
    CHECK(links.size() == list->vms.size() - down.size());
    CHECK(Reached(links) == links.size());
    std::size_t peak = 0;
    for (const auto& [vm, peers] : links) peak = std::max(peak, peers.size());
    MESSAGE(test.zones << " zones x " << test.vms << ", " << down.size()
                       << " down: at most " << peak << " links");
    CHECK(peak <= test.max_allowed_links);
  }
}

// Guards against zones that depend on too few other zones: the fleet must stay
// connected when any three zones fail together with their links.
TEST_CASE("any three of fifteen zones may be lost") {
  const int zones = 15;
  const auto list = MakeList(zones, 6);
  const graph links = LinkGraph(list, {});
  const auto zone_of = [&list](const std::string& vm) {
    return list->Find(vm)->zone;
  };
  for (int a = 0; a < zones; ++a) {
    for (int b = a; b < zones; ++b) {
      for (int c = b; c < zones; ++c) {
        const std::set<std::string> lost = {Zone(a), Zone(b), Zone(c)};
        graph remaining;
        for (const auto& [vm, peers] : links) {
          if (lost.count(zone_of(vm)) > 0) continue;
          remaining[vm];
          for (const std::string& peer : peers) {
            if (lost.count(zone_of(peer)) == 0) remaining[vm].insert(peer);
          }
        }
        CHECK(Reached(remaining) == remaining.size());
      }
    }
  }
}

// Guards against cycles of parents, which could cut off a group of VMs: a
// parent is always nearer to the root of the same tree.
TEST_CASE("parents lead to a reader in a few steps") {
  const auto list = MakeList(1, 147);
  const names ranking =
      MakeMembership(list, "vm-0-0").Ranked("reader", Zone(0));
  for (std::size_t tree = 0; tree < topology::kTrees; ++tree) {
    std::map<std::string, int> children;
    for (const config::vm& vm : list->vms) {
      std::string ancestor = vm.name;
      int depth = 0;
      while (ancestor != ranking[tree] && depth < 10) {
        ancestor = topology(*list, ancestor, Zone(0)).Parents(tree).front();
        ++depth;
      }
      CHECK(depth <= 4);
      const topology own(*list, vm.name, Zone(0));
      if (vm.name != ranking[tree]) ++children[own.Parents(tree).front()];
    }
    for (const auto& [parent, count] : children) {
      // The root of the other tree is counted too, although it links to no
      // parent.
      CHECK(count <= static_cast<int>(topology::kFanOut) + 1);
    }
  }
}

// Guards against roles that depend on anything but the list, and against many
// changed roles when one VM is lost.
TEST_CASE("ranking is rendezvous hashing over the live VMs") {
  auto list = MakeList(3, 20);
  const membership members = MakeMembership(list, "vm-0-0");
  const names before = members.Ranked("salt", "");
  CHECK(before.size() == 60);
  CHECK(before == MakeMembership(list, "vm-2-7").Ranked("salt", ""));
  CHECK(before != members.Ranked("pepper", ""));
  CHECK(members.Ranked("salt", Zone(1)).size() == 20);
  CHECK(members.HomeOf("salt", At(0)) == before.front());

  auto fewer = std::make_shared<config::vm_list>(*list);
  for (config::vm& vm : fewer->vms) {
    if (vm.name == before[5]) vm.state = config::vm_state::kLeaving;
  }
  names expected = before;
  expected.erase(expected.begin() + 5);
  CHECK(MakeMembership(fewer, "vm-0-0").Ranked("salt", "") == expected);
}

// Each case lists events of "vm-0-1" with their time in seconds, and whether
// the VM is usable at given times. u: link up, d: link down, c: link closed on
// purpose, s: status that it is stopping, n: status of a new incarnation.
struct usable_case {
  std::string name;
  std::vector<std::pair<char, double>> events;
  std::vector<std::pair<double, bool>> usable;
};
const std::vector<usable_case> kUsable = {
    {"never dialled", {}, {{0, true}}},
    {"linked", {{'u', 0}}, {{0, true}}},
    {"one failure",
     {{'u', 0}, {'d', 1}},
     {{1, false}, {5.9, false}, {6, true}}},
    {"the same failure reported twice",
     {{'u', 0}, {'d', 1}, {'d', 1}},
     {{5.9, false}, {6, true}}},
    {"repeated failures back off longer",
     {{'d', 0}, {'d', 5}, {'d', 15}, {'d', 35}, {'d', 65}},
     {{65, false}, {94.9, false}, {95, true}}},
    {"a link that breaks again at once",
     {{'d', 0}, {'u', 5}, {'d', 6}},
     {{15.9, false}, {16, true}}},
    {"a stable link resets the failures",
     {{'d', 0}, {'u', 5}, {'d', 36}},
     {{40.9, false}, {41, true}}},
    {"a failed dial and then a link from there",
     {{'d', 0}, {'d', 5}, {'u', 7}},
     {{7, false}, {10, true}}},
    {"a new incarnation resets the failures",
     {{'u', 0}, {'n', 0}, {'d', 1}, {'u', 2}, {'n', 2}},
     {{1.5, true}, {2, true}}},
    {"closed on purpose", {{'u', 0}, {'c', 1}}, {{1, true}}},
    {"reports that it stops", {{'u', 0}, {'s', 1}}, {{0, false}, {60, false}}},
    {"stopped and gone",
     {{'u', 0}, {'s', 1}, {'c', 2}},
     {{2, false}, {6.9, false}, {7, true}}},
    {"stopped and replaced",
     {{'u', 0}, {'s', 1}, {'c', 2}, {'u', 3}, {'n', 3}},
     {{3, true}}},
};

// Guards against calls and links to VMs that just failed, and against healthy
// VMs that stay excluded.
TEST_CASE("a failed VM is used again after a growing backoff") {
  for (const usable_case& test : kUsable) {
    CAPTURE(test.name);
    const std::string vm = "vm-0-1";
    membership members = MakeMembership(MakeList(1, 4), "vm-0-0");
    std::uint64_t incarnation = 1;
    for (const auto& [event, s] : test.events) {
      if (event == 'u') members.OnLinkUp(vm, At(s));
      if (event == 'd') members.OnLinkDown(vm, At(s));
      if (event == 'c') members.OnLinkClosed(vm, At(s));
      if (event == 's') members.OnStatus(vm, Status(incarnation, true), At(s));
      if (event == 'n') members.OnStatus(vm, Status(++incarnation), At(s));
    }
    for (const auto& [s, usable] : test.usable) {
      const std::string result = std::to_string(s) + (usable ? "+" : "-");
      const bool found = members.IsUsable(vm, At(s));
      CHECK(result == std::to_string(s) + (found ? "+" : "-"));
    }
  }
}

// Guards against a daemon that drops both parents at once, and against one that
// keeps a substitute for ever.
TEST_CASE("the next rank replaces a parent while its link is down") {
  const auto list = MakeList(1, 40);
  const names ranking =
      MakeMembership(list, "vm-0-0").Ranked("reader", Zone(0));
  const std::string& self = ranking[20];
  membership members = MakeMembership(list, self);
  const names first = members.DesiredLinks(At(0));
  REQUIRE(first.size() == 2);
  for (const std::string& vm : first) members.OnLinkUp(vm, At(0));
  CHECK(members.DesiredLinks(At(1)) == first);
  members.OnLinkDown(first[0], At(2));
  const names second = members.DesiredLinks(At(2));
  REQUIRE(second.size() == 2);
  CHECK_FALSE(Contains(second, first[0]));
  CHECK(Contains(second, first[1]));
  const std::string substitute = second[0] == first[1] ? second[1] : second[0];
  members.OnLinkUp(substitute, At(3));
  // After the backoff both are wanted, until the parent is linked again.
  const names both = members.DesiredLinks(At(8));
  CHECK(Contains(both, first[0]));
  CHECK(Contains(both, substitute));
  members.OnLinkUp(first[0], At(9));
  CHECK(members.DesiredLinks(At(9)) == first);
}

// Guards against a zone without readers, and against a third reader because a
// link was down for a moment.
TEST_CASE("the next rank reads after a reader's link was down for 5 s") {
  const auto list = MakeList(2, 10);
  const names ranking =
      MakeMembership(list, "vm-0-0").Ranked("reader", Zone(0));
  membership members = MakeMembership(list, ranking[2]);
  const names links = members.DesiredLinks(At(0));
  CHECK(Contains(links, ranking[0]));
  CHECK(Contains(links, ranking[1]));
  members.OnLinkDown(ranking[0], At(0));
  CHECK_FALSE(members.IsReader(At(4.9)));
  CHECK(members.IsReader(At(5)));
  CHECK(members.DesiredLinks(At(5)).size() == 4);
  members.OnLinkUp(ranking[0], At(6));
  CHECK_FALSE(members.IsReader(At(6)));
  members.OnStatus(ranking[0], Status(1, true), At(7));
  CHECK(members.IsReader(At(7)));
}

// Guards against a process that was paused and counts the pause as silence of
// its peers.
TEST_CASE("time spent paused is not silence of the peers") {
  struct test_case {
    std::vector<double> ticks;
    bool silent;
  };
  for (const test_case& test :
       {test_case{{0, 1, 2, 3, 4, 5, 6}, false},
        test_case{{0, 1, 2, 3, 4, 5, 6, 6.5}, true}, test_case{{0, 60}, false},
        test_case{{0, 60, 61, 62}, false},
        test_case{{0, 60, 61, 62, 63, 64, 65, 66, 66.1}, true}}) {
    membership members = MakeMembership(MakeList(1, 4), "vm-0-0");
    members.OnLinkUp("vm-0-1", At(0));
    for (const double s : test.ticks) members.Tick(At(s));
    CAPTURE(test.ticks.back());
    CHECK(members.SilentLinks(At(test.ticks.back())).empty() != test.silent);
  }
}

// Guards against a daemon that dials no peer before it has a list, or when its
// whole zone is down.
TEST_CASE("a daemon dials in through bootstrap peers or other zones") {
  membership members("vm-0-0", Zone(0), {{"vm-9", "127.0.0.9", 9}});
  CHECK(members.DesiredLinks(At(0)) == names{"vm-9"});
  CHECK(members.AddressOf("vm-9")->address == "127.0.0.9");
  CHECK_FALSE(members.IsReader(At(0)));
  members.OnLinkDown("vm-9", At(0));
  CHECK(members.DesiredLinks(At(1)).empty());
  const auto list = MakeList(2, 6);
  members.SetVms(list);
  CHECK_FALSE(Contains(members.DesiredLinks(At(6)), "vm-9"));
  for (const config::vm& vm : list->vms) {
    const bool own = vm.zone == Zone(0) && vm.name != "vm-0-0";
    if (own) members.OnLinkDown(vm.name, At(10));
  }
  const names links = members.DesiredLinks(At(10));
  REQUIRE(links.size() == 2);
  CHECK(list->Find(links[0])->zone == Zone(1));
  CHECK(members.IsReader(At(15)));
}

// Guards against links of other modules that are closed while in use.
TEST_CASE("links kept by other modules are wanted while linked") {
  const auto list = MakeList(1, 40);
  const names ranking =
      MakeMembership(list, "vm-0-0").Ranked("reader", Zone(0));
  membership members = MakeMembership(list, ranking[20]);
  const names first = members.DesiredLinks(At(0));
  const std::string& home = ranking[30];
  REQUIRE_FALSE(Contains(first, home));
  members.KeepLink(home, At(60));
  CHECK(members.IsDialling(home));
  CHECK(members.DesiredLinks(At(1)) == first);
  members.OnLinkUp(home, At(2));
  CHECK_FALSE(members.IsDialling(home));
  CHECK(Contains(members.DesiredLinks(At(59)), home));
  CHECK_FALSE(Contains(members.DesiredLinks(At(60)), home));
  CHECK(members.LinkedVms() == names{home});
}

}  // namespace
}  // namespace pimentohall::core
