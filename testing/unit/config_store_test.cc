#include "core/config_store.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <iostream>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "unit/config_property.h"

namespace pimentohall::core {
namespace {

using parts_by_name = std::map<std::string, std::string>;

std::string ZonesPart(const std::string& state = "in") {
  return R"({"zones":[{"name":"a","region":"r","state":")" + state + R"("}]})";
}

std::string ServicePart(const std::string& name, int variant) {
  const std::string port = std::to_string(2000 + (name.back() % 100));
  return R"({"name":")" + name + R"(","routes":[{"name":"r)" + name +
         R"(","path_prefix":"/)" + name +
         R"(","methods":["GET"],"idempotent":true,"class":"interactive",)" +
         R"("timeout_ms":)" + std::to_string(1000 + variant) +
         R"(,"open":true}],"upstreams":[{"name":"u)" + name +
         R"(","vm":"vm-1","address":"127.0.0.1","port":)" + port +
         R"(,"max_connections":10}]})";
}

// The set of a version: all versions share the zones, each has its own service.
parts_by_name PartsOf(int version) {
  return {{"zones", ZonesPart()}, {"services/s", ServicePart("s", version)}};
}

std::string ManifestOf(int version) {
  return config::BuildManifest(static_cast<std::uint64_t>(version),
                               PartsOf(version));
}

std::string VmListOf(int version, const std::string& address) {
  return R"({"format":1,"version":)" + std::to_string(version) +
         R"(,"vms":[{"name":"vm-1","zone":"a","address":")" + address +
         R"(","http_port":1,"link_port":2,"state":"live"}]})";
}

offer_result OfferPart(config_store* store, const std::string& bytes) {
  return store->OfferPart(config::Sha256Hex(bytes), bytes);
}

const char* ResultName(offer_result result) {
  constexpr const char* kNames[] = {"force", "staged",  "dup",     "stale",
                                    "clash", "refused", "unwanted"};
  return kNames[static_cast<int>(result)];
}

// Carries out one step of a table row; the letters are explained there.
std::string RunStep(config_store* store, char what, int n) {
  const std::string part = ServicePart("s", n);
  switch (what) {
    case 'M':
      return ResultName(store->OfferManifest(ManifestOf(n)));
    case 'C': {
      const parts_by_name other = PartsOf(n + 1000);
      return ResultName(store->OfferManifest(config::BuildManifest(n, other)));
    }
    case 'O': {
      const parts_by_name out = {{"zones", ZonesPart("out")}};
      return ResultName(store->OfferManifest(config::BuildManifest(n, out)));
    }
    case 'P':
      return ResultName(OfferPart(store, ZonesPart("out")));
    case 'Z':
      return ResultName(OfferPart(store, ZonesPart()));
    case 'S':
      return ResultName(OfferPart(store, part));
    case 'X':  // The right size, another byte.
      return ResultName(
          store->OfferPart(config::Sha256Hex(part), " " + part.substr(1)));
    case 'T':  // Cut short.
      return ResultName(
          store->OfferPart(config::Sha256Hex(part), part.substr(1)));
    case 'J':
      return ResultName(store->OfferManifest("junk" + std::to_string(n)));
    case 'H':
      return ResultName(store->OfferManifest(
          std::string(config::kMaxManifestBytes + 1, ' ')));
    case 'V':
      return ResultName(store->OfferVmList(VmListOf(n, "127.0.0.1")));
    case 'W':
      return ResultName(store->OfferVmList(VmListOf(n, "127.0.0.2")));
    case 'A':
      return ResultName(store->AbandonStaged());
    case 'f':
      return std::to_string(store->ConfigVersion());
    case 'v':
      return std::to_string(store->VmsVersion());
    case 'm':
      return std::to_string(store->MissingParts().size());
    case 'r':
      return std::to_string(store->RefusedSets());
    case 'c':
      return std::to_string(store->Conflicts());
    case 'w':
      return store->IsManifestEligible(n, "") ? "yes" : "no";
    default:
      return "no such step";
  }
}

// Each row is a run of steps and results. M: manifest of version n, whose parts
// are Z (shared) and S (of the version); C: another manifest of version n;
// O: a manifest of version n whose only part P is invalid; X, T: wrong bytes
// for S; J, H: a manifest that is no JSON or too large; V, W: two VM lists of
// version n; A: abandon. Queries: f, v: version in force; m: missing parts;
// r: refused; c: conflicts; w: would a manifest of version n be wanted.
const std::vector<std::pair<std::string, std::string>> kRuns = {
    {"a part in the wrong order or twice",
     "Z0=unwanted M1=staged m0=2 Z0=staged Z0=dup f0=0 S1=force S1=dup f0=1"},
    {"an older version after a newer one",
     "M2=staged Z0=staged S2=force M1=stale f0=2 w1=no w2=no w3=yes"},
    {"an older version while a newer one is staged",
     "M3=staged M2=stale Z0=staged S2=unwanted S3=force f0=3"},
    {"the same manifest again",
     "M1=staged M1=dup Z0=staged S1=force M1=dup r0=0"},
    {"the version in force with another digest",
     "M1=staged Z0=staged S1=force C1=clash r0=1 c0=1 C1=refused r0=1 f0=1"},
    {"the staged version with another digest, which may be the true one",
     "M1=staged C1=clash r0=0 c0=1 A0=unwanted C1=staged Z0=staged S1001=force "
     "f0=1"},
    {"bytes that do not give the digest",
     "M1=staged Z0=staged X1=refused T1=refused m0=1 f0=0 S1=force"},
    {"an invalid set, which is not staged again",
     "M1=staged Z0=staged S1=force O2=staged P0=refused f0=1 r0=1 m0=0 "
     "O2=refused r0=1 M3=staged S3=force f0=3"},
    {"an unreadable or too large manifest",
     "J1=refused J1=refused r0=1 H0=refused r0=2 M1=staged"},
    {"one changed part",
     "M1=staged Z0=staged S1=force M2=staged m0=1 S2=force"},
    {"a newer manifest replaces a staged one that lacks much",
     "M1=staged M2=staged Z0=staged S1=unwanted S2=force f0=2"},
    {"a newer manifest waits for a nearly complete one",
     "M1=staged Z0=staged M2=staged S2=unwanted S1=force f0=1 m0=1 S2=force"},
    {"only the newest deferred manifest is kept",
     "M1=staged Z0=staged M2=staged M3=staged M2=stale S1=force S2=unwanted "
     "S3=force f0=3"},
    {"a nearly complete set does not block newer ones for ever",
     "M1=staged Z0=staged M2=staged M3=staged M4=staged M5=staged M6=staged "
     "M7=staged M8=staged M9=staged M10=staged S1=unwanted S10=force f0=10"},
    {"an abandoned set gives way to the deferred one",
     "M1=staged Z0=staged M2=staged A0=staged S1=unwanted S2=force f0=2"},
    {"an abandoned set may be offered again",
     "M1=staged A0=unwanted M1=staged Z0=staged S1=force"},
    {"VM lists keep the same order",
     "V2=force V1=stale V2=dup W2=clash W2=refused v0=2 W3=force v0=3 r0=1"},
};

// Guards against every way in which an offer could be mistaken for another.
TEST_CASE("offers to the config store give the expected results") {
  for (const auto& row : kRuns) {
    CAPTURE(row.first);
    config_store store;
    std::istringstream steps(row.second);
    std::string step;
    while (steps >> step) {
      CAPTURE(step);
      const std::size_t equals = step.find('=');
      const int n = std::stoi(step.substr(1, equals - 1));
      CHECK(RunStep(&store, step[0], n) == step.substr(equals + 1));
    }
  }
}

// Guards against blobs that are kept for ever or missing for peers.
TEST_CASE("only blobs of the sets in force and staged are held") {
  config_store store;
  int signals = 0;
  store.SignalInForce().connect([&signals] { ++signals; });
  store.OfferManifest(ManifestOf(1));
  OfferPart(&store, ZonesPart());
  OfferPart(&store, ServicePart("s", 1));
  const auto part = [&store](int n) {
    const std::string digest = config::Sha256Hex(ServicePart("s", n));
    return store.FindBlob(blob_kind::kPart, digest) != nullptr;
  };
  const auto manifest = [&store](int n) {
    const std::string digest = config::Sha256Hex(ManifestOf(n));
    return store.FindBlob(blob_kind::kManifest, digest) != nullptr;
  };
  CHECK(signals == 1);
  CHECK(part(1));
  CHECK(manifest(1));
  store.OfferManifest(ManifestOf(2));
  CHECK_FALSE(manifest(2));
  OfferPart(&store, ServicePart("s", 2));
  CHECK(signals == 2);
  CHECK(part(2));
  CHECK_FALSE(part(1));
  CHECK_FALSE(manifest(1));
  CHECK(store.PartBytes() == ZonesPart().size() + ServicePart("s", 2).size());
  store.OfferVmList(VmListOf(1, "127.0.0.1"));
  CHECK(signals == 3);
  CHECK(store.FindBlob(blob_kind::kVmList, store.VmsDigest()) != nullptr);
}

// Guards against memory that grows with the number of hostile offers.
TEST_CASE("refused digests are remembered up to a bound") {
  config_store store;
  const int count = static_cast<int>(config_store::kMaxRefused) + 1;
  for (int i = 0; i < count; ++i) RunStep(&store, 'J', i);
  CHECK_FALSE(store.IsRefused(config::Sha256Hex("junk0")));
  CHECK(store.IsRefused(config::Sha256Hex("junk1")));
  CHECK(store.RefusedSets() == static_cast<std::uint64_t>(count));
}

// Guards against a mixed or older set after any run of offers. The oracle is
// the list of published sets, each assembled on its own.
TEST_CASE("property: sets in force are published ones in growing order") {
  constexpr int kVersions = 6;
  std::vector<config::config_set> published;
  for (int v = 0; v < kVersions; ++v) {
    const auto manifest = config::ParseManifest(ManifestOf(v + 1));
    const auto set =
        config::AssembleSet(*manifest, config::PartsByDigest(PartsOf(v + 1)));
    const std::string faults = set ? "" : set.error().front().ToString();
    REQUIRE(faults == "");
    published.push_back(*set);
  }
  CHECK(config::HoldsFor("store", 300, [&published] {
    config_store store;
    std::uint64_t before = 0;
    const int steps = *rc::gen::inRange(0, 60);
    for (int i = 0; i < steps; ++i) {
      const char what = *rc::gen::element('M', 'M', 'S', 'S', 'Z', 'X', 'A');
      RunStep(&store, what, *rc::gen::inRange(1, kVersions + 1));
      RC_ASSERT(store.ConfigVersion() >= before);
      before = store.ConfigVersion();
      if (before > 0) RC_ASSERT(*store.Set() == published[before - 1]);
      RC_ASSERT(store.RefusedSets() == 0U);
    }
    store.AbandonStaged();
    store.AbandonStaged();
    for (const char what : {'M', 'Z', 'S'}) RunStep(&store, what, kVersions);
    RC_ASSERT(store.ConfigVersion() == std::uint64_t{kVersions});
  }));
}

// A small model, searched exhaustively: three daemons with the real store; the
// source publishes versions 1 to 3; daemon 0 reads the source, which may serve
// any version published so far, and the others fetch from daemons that hold a
// set in force; offers arrive in any order, also corrupted; daemons restart at
// any time and lose their memory, and staged sets are abandoned.
//
// The state of one store is found once for each sequence of offers and then
// looked up by number, so a state of the model is three numbers.
class store_states {
 public:
  struct step {
    char what = 0;
    int n = 0;
    bool operator<(const step& other) const {
      return what != other.what ? what < other.what : n < other.n;
    }
  };

  store_states() { Add(config_store()); }

  int Next(int state, step step) {
    const auto [it, added] = next_.try_emplace({state, step}, -1);
    if (!added) return it->second;
    config_store store = stores_[static_cast<std::size_t>(state)];
    RunStep(&store, step.what, step.n);
    const int next = Add(store);
    next_[{state, step}] = next;
    return next;
  }
  const config_store& Store(int state) const {
    return stores_[static_cast<std::size_t>(state)];
  }
  std::size_t Size() const { return stores_.size(); }

 private:
  // Everything that later offers depend on.
  static std::string Signature(const config_store& store) {
    std::ostringstream text;
    text << store.ConfigVersion() << "/" << store.ConfigDigest() << "/"
         << (store.Staged() != nullptr ? store.Staged()->digest : "") << "/"
         << store.HasDeferred() << "/" << store.IsManifestEligible(2, "")
         << store.IsManifestEligible(3, "") << "/" << store.RefusedSets() << "/"
         << store.Conflicts();
    for (const auto& part : store.MissingParts()) text << "/" << part.sha256;
    return text.str();
  }
  int Add(const config_store& store) {
    const int next = static_cast<int>(stores_.size());
    const auto [it, added] = numbers_.try_emplace(Signature(store), next);
    if (added) stores_.push_back(store);
    return it->second;
  }

  std::vector<config_store> stores_;
  std::map<std::string, int> numbers_;
  std::map<std::pair<int, step>, int> next_;
};

constexpr int kDaemons = 3;
constexpr int kModelVersions = 3;

struct model_state {
  int published = 1;
  std::array<int, kDaemons> stores{};
  bool operator<(const model_state& other) const {
    return published != other.published ? published < other.published
                                        : stores < other.stores;
  }
};

// Guards against any order of offers, restarts and corruption that takes a
// running daemon back, mixes versions, or refuses a published set.
TEST_CASE("exhaustive: no daemon goes back in the model of three daemons") {
  store_states states;
  std::set<model_state> seen;
  std::vector<model_state> open = {model_state{}};
  seen.insert(open.front());
  std::uint64_t transitions = 0;
  std::uint64_t violations = 0;

  const auto add = [&](const model_state& next) {
    ++transitions;
    if (seen.insert(next).second) open.push_back(next);
  };
  const auto check = [&](const model_state& state, int daemon, int after) {
    const config_store& old =
        states.Store(state.stores[static_cast<std::size_t>(daemon)]);
    const config_store& now = states.Store(after);
    const std::uint64_t version = now.ConfigVersion();
    const bool back = version < old.ConfigVersion();
    const bool unpublished =
        version > static_cast<std::uint64_t>(state.published);
    const bool mixed =
        version > 0 &&
        now.ConfigDigest() !=
            config::Sha256Hex(ManifestOf(static_cast<int>(version)));
    // A part of another version shows in the route's timeout.
    const bool wrong_part =
        version > 0 && now.Set()->FindRouteByName("rs")->timeout_ms !=
                           static_cast<std::int64_t>(1000 + version);
    const bool refused = now.RefusedSets() > 0;
    if (back || unpublished || mixed || wrong_part || refused) ++violations;
  };
  const auto offer = [&](const model_state& state, int daemon, char what,
                         int n) {
    model_state next = state;
    int& store = next.stores[static_cast<std::size_t>(daemon)];
    store = states.Next(store, {what, n});
    check(state, daemon, store);
    add(next);
  };
  // The versions that a daemon can be offered now.
  const auto offered = [&](const model_state& state, int daemon) {
    std::set<int> versions;
    for (int v = 1; daemon == 0 && v <= state.published; ++v) {
      versions.insert(v);
    }
    for (int peer = 0; peer < kDaemons; ++peer) {
      const int number = state.stores[static_cast<std::size_t>(peer)];
      const std::uint64_t version = states.Store(number).ConfigVersion();
      if (peer != daemon && version > 0) {
        versions.insert(static_cast<int>(version));
      }
    }
    return versions;
  };

  while (!open.empty() && violations == 0) {
    const model_state state = open.back();
    open.pop_back();
    if (state.published < kModelVersions) {
      model_state next = state;
      ++next.published;
      add(next);
    }
    for (int daemon = 0; daemon < kDaemons; ++daemon) {
      model_state restarted = state;
      restarted.stores[static_cast<std::size_t>(daemon)] = 0;
      add(restarted);
      offer(state, daemon, 'A', 0);
      for (const int v : offered(state, daemon)) {
        for (const char what : {'M', 'Z', 'S', 'X'}) {
          offer(state, daemon, what, v);
        }
      }
    }
  }
  MESSAGE("model: " << seen.size() << " states, " << transitions
                    << " transitions, " << states.Size() << " store states");
  CHECK(violations == 0);
  CHECK(seen.size() > 10000);
}

}  // namespace
}  // namespace pimentohall::core
