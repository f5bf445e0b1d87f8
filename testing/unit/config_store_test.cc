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

// The parts of a version. All versions share the zones part; each version has
// its own service part.
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

// Runs one step of a table row and returns its result. The operation letters
// are explained at `kRuns`.
std::string RunStep(config_store* store, char op, int n) {
  const std::string part = ServicePart("s", n);
  switch (op) {
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
    case 'X':  // The right size, but a different first byte.
      return ResultName(
          store->OfferPart(config::Sha256Hex(part), " " + part.substr(1)));
    case 'T':  // Truncated.
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

// Each row is a title and a sequence of steps: an operation letter, a version
// n, and the expected result.
//
// Offers. M: the manifest of version n, with parts Z (shared) and S (of the
// version). C: another manifest of version n. O: a manifest of version n whose
// only part P is invalid. X, T: wrong bytes for S. J, H: a manifest that is not
// JSON or is too large. V, W: two VM lists of version n. A: abandon the staged
// set.
//
// Queries. f, v: version of the set or VM list in force. m: missing parts.
// r: refused sets. c: conflicts. w: whether a manifest of version n is
// eligible.
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
    {"bytes that do not match the digest",
     "M1=staged Z0=staged X1=refused T1=refused m0=1 f0=0 S1=force"},
    {"an invalid set, which is not staged again",
     "M1=staged Z0=staged S1=force O2=staged P0=refused f0=1 r0=1 m0=0 "
     "O2=refused r0=1 M3=staged S3=force f0=3"},
    {"an unreadable or too large manifest",
     "J1=refused J1=refused r0=1 H0=refused r0=2 M1=staged"},
    {"one changed part",
     "M1=staged Z0=staged S1=force M2=staged m0=1 S2=force"},
    {"a newer manifest replaces a staged one that lacks many parts",
     "M1=staged M2=staged Z0=staged S1=unwanted S2=force f0=2"},
    {"a newer manifest is deferred for a nearly complete one",
     "M1=staged Z0=staged M2=staged S2=unwanted S1=force f0=1 m0=1 S2=force"},
    {"only the newest deferred manifest is kept",
     "M1=staged Z0=staged M2=staged M3=staged M2=stale S1=force S2=unwanted "
     "S3=force f0=3"},
    {"a nearly complete set does not block newer ones forever",
     "M1=staged Z0=staged M2=staged M3=staged M4=staged M5=staged M6=staged "
     "M7=staged M8=staged M9=staged M10=staged S1=unwanted S10=force f0=10"},
    {"an abandoned set is replaced by the deferred one",
     "M1=staged Z0=staged M2=staged A0=staged S1=unwanted S2=force f0=2"},
    {"an abandoned set may be offered again",
     "M1=staged A0=unwanted M1=staged Z0=staged S1=force"},
    {"VM lists follow the same version rules",
     "V2=force V1=stale V2=dup W2=clash W2=refused v0=2 W3=force v0=3 r0=1"},
};

// Guards against offers that are misclassified, for example a stale or
// conflicting manifest that comes into force.
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

// Guards against blobs that are never released and blobs that peers can't
// fetch.
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

// Guards against a mixed or older set coming into force after any sequence of
// offers. The oracle is the list of published sets, each assembled separately.
TEST_CASE("property: sets in force are published ones in ascending order") {
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
    std::uint64_t previous = 0;
    const int steps = *rc::gen::inRange(0, 60);
    for (int i = 0; i < steps; ++i) {
      const char op = *rc::gen::element('M', 'M', 'S', 'S', 'Z', 'X', 'A');
      RunStep(&store, op, *rc::gen::inRange(1, kVersions + 1));
      RC_ASSERT(store.ConfigVersion() >= previous);
      previous = store.ConfigVersion();
      if (previous > 0) RC_ASSERT(*store.Set() == published[previous - 1]);
      RC_ASSERT(store.RefusedSets() == 0U);
    }
    store.AbandonStaged();
    store.AbandonStaged();
    for (const char op : {'M', 'Z', 'S'}) RunStep(&store, op, kVersions);
    RC_ASSERT(store.ConfigVersion() == std::uint64_t{kVersions});
  }));
}

// A small model that is searched exhaustively. It has three daemons with the
// real store. The source publishes versions 1 to 3. Daemon 0 reads the source,
// which may serve any version published so far; every daemon may fetch from
// another one with a set in force. Offers arrive in any order and may be
// corrupted. Daemons restart at any time and lose their state, and staged sets
// are abandoned.
//
// Store states are numbered, and the successor of a state is computed once per
// step, so a state of the model holds one number per daemon.
class store_states {
 public:
  struct step {
    char op = 0;
    int version = 0;
    bool operator<(const step& other) const {
      return op != other.op ? op < other.op : version < other.version;
    }
  };

  store_states() { Add(config_store()); }

  int Next(int state, step step) {
    const auto [it, added] = next_.try_emplace({state, step}, -1);
    if (!added) return it->second;
    config_store store = stores_[static_cast<std::size_t>(state)];
    RunStep(&store, step.op, step.version);
    const int next = Add(store);
    next_[{state, step}] = next;
    return next;
  }
  const config_store& Store(int state) const {
    return stores_[static_cast<std::size_t>(state)];
  }
  std::size_t Size() const { return stores_.size(); }

 private:
  // Covers everything that the results of later offers depend on.
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

// Guards against any order of offers, restarts and corruption in which a
// running daemon returns to an older version, mixes versions, or refuses a
// published set.
TEST_CASE(
    "exhaustive: no daemon in the model of three daemons returns to an older "
    "version") {
  store_states states;
  std::set<model_state> seen;
  std::vector<model_state> frontier = {model_state{}};
  seen.insert(frontier.front());
  std::uint64_t transitions = 0;
  std::uint64_t violations = 0;

  const auto add = [&](const model_state& next) {
    ++transitions;
    if (seen.insert(next).second) frontier.push_back(next);
  };
  const auto check = [&](const model_state& state, int daemon, int after) {
    const config_store& previous =
        states.Store(state.stores[static_cast<std::size_t>(daemon)]);
    const config_store& current = states.Store(after);
    const std::uint64_t version = current.ConfigVersion();
    const bool back = version < previous.ConfigVersion();
    const bool unpublished =
        version > static_cast<std::uint64_t>(state.published);
    const bool mixed =
        version > 0 &&
        current.ConfigDigest() !=
            config::Sha256Hex(ManifestOf(static_cast<int>(version)));
    // The route's timeout reveals a part of another version.
    const bool wrong_part =
        version > 0 && current.Set()->FindRouteByName("rs")->timeout_ms !=
                           static_cast<std::int64_t>(1000 + version);
    const bool refused = current.RefusedSets() > 0;
    if (back || unpublished || mixed || wrong_part || refused) ++violations;
  };
  const auto offer = [&](const model_state& state, int daemon, char op, int n) {
    model_state next = state;
    int& store = next.stores[static_cast<std::size_t>(daemon)];
    store = states.Next(store, {op, n});
    check(state, daemon, store);
    add(next);
  };
  // The versions that a daemon can be offered in this state.
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

  while (!frontier.empty() && violations == 0) {
    const model_state state = frontier.back();
    frontier.pop_back();
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
        for (const char op : {'M', 'Z', 'S', 'X'}) {
          offer(state, daemon, op, v);
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
