#ifndef PIMENTOHALL_CONFIG_H_
#define PIMENTOHALL_CONFIG_H_

// Library `config`: the published configuration as immutable values.
//
// A configuration set is a manifest and the parts that it lists. Each part is
// addressed by the SHA-256 digest of its bytes, so a set is whole exactly when
// every listed part is present with the listed digest and size.
//
//   auto manifest = config::ParseManifest(manifest_bytes);
//   if (!manifest) return Refuse(manifest.error());
//   std::map<std::string, std::string> parts;  // digest -> bytes
//   ...                                        // fetch manifest->parts
//   auto set = config::AssembleSet(*manifest, parts);
//   if (!set) return Refuse(set.error());
//   const config::route* route = set->FindRoute("GET", "/ledger/balance/7");
//
// Errors are values: a `fault` names the document, the place in it and the fix.
// Nothing in this library reads files, sockets, clocks or random numbers.

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

namespace pimentohall::config {

// Limits on what is accepted from outside.
inline constexpr std::size_t kMaxValueBytes = 1024 * 1024;
inline constexpr std::size_t kMaxManifestBytes = 256 * 1024;
inline constexpr std::size_t kMaxNameBytes = 128;
// All parts of a set together. The target fleet needs about 1.5 MB; the limit
// keeps a set within the memory of a node.
inline constexpr std::size_t kMaxSetBytes = 16 * 1024 * 1024;
// Faults listed for one document or set; the last entry tells if more exist.
inline constexpr std::size_t kMaxFaults = 1000;

// One fault in a document. `document` is a file name or a part name, `line` is
// 1-based (0: unknown), `field` is a JSON pointer (empty: the whole document).
struct fault {
  std::string document;
  int line = 0;
  std::string field;
  std::string problem;
  std::string fix;

  // "document:line: field: problem; fix"
  std::string ToString() const;
  friend bool operator==(const fault& a, const fault& b);
};
using faults = std::vector<fault>;

// Lower-case hexadecimal SHA-256 of `bytes`.
std::string Sha256Hex(std::string_view bytes);

// Compares two digests in time that depends on their lengths only.
bool ConstantTimeEquals(std::string_view a, std::string_view b);

enum class route_class { kInteractive, kOvernight };
enum class zone_state { kIn, kOut };
enum class vm_state { kLive, kLeaving };

struct zone {
  std::string name;
  std::string region;
  zone_state state = zone_state::kIn;
  friend bool operator==(const zone& a, const zone& b);
};

struct route {
  std::string name;
  std::string service;
  std::string path_prefix;
  std::vector<std::string> methods;
  bool idempotent = false;
  route_class traffic_class = route_class::kInteractive;
  std::int64_t timeout_ms = 5000;
  bool open = false;  // Open routes need no key.
  friend bool operator==(const route& a, const route& b);
};

// One back-end process. `vm` names the VM whose daemon guards its slots.
struct upstream {
  std::string name;
  std::string service;
  std::string vm;
  std::string address;
  int port = 0;
  int max_connections = 100;
  friend bool operator==(const upstream& a, const upstream& b);
};

struct service {
  std::string name;
  std::vector<route> routes;
  std::vector<upstream> upstreams;
  std::string health_path;  // Empty: no health probes.
  std::string load_path;    // Empty: no load reports.
  friend bool operator==(const service& a, const service& b);
};

// The limits of one organisation over all VMs together.
struct contract {
  double rate_per_s = 0;
  std::int64_t burst = 0;
  std::int64_t max_concurrent = 0;
  std::vector<std::string> routes;  // Sorted route names; "*" allows all.
  friend bool operator==(const contract& a, const contract& b);
};

struct key_digest {
  std::string id;
  std::string sha256;
  friend bool operator==(const key_digest& a, const key_digest& b);
};

struct organisation {
  std::string name;
  contract limits;
  std::vector<key_digest> keys;
  friend bool operator==(const organisation& a, const organisation& b);
};

struct part_ref {
  std::string name;
  std::string sha256;
  std::size_t bytes = 0;
  friend bool operator==(const part_ref& a, const part_ref& b);
};

struct manifest {
  std::uint64_t version = 0;
  std::string digest;  // SHA-256 of the manifest's own bytes.
  std::vector<part_ref> parts;
  friend bool operator==(const manifest& a, const manifest& b);
};

struct vm {
  std::string name;
  std::string zone;
  std::string address;
  int http_port = 0;
  int link_port = 0;
  vm_state state = vm_state::kLive;
  friend bool operator==(const vm& a, const vm& b);
};

struct vm_list {
  std::uint64_t version = 0;
  std::string digest;
  std::vector<vm> vms;  // Sorted by name.

  const vm* Find(std::string_view name) const;
  friend bool operator==(const vm_list& a, const vm_list& b);
};

// A list of immutable values that several sets share.
template <typename T>
class shared_list {
 public:
  class const_iterator {
   public:
    using iterator_category = std::forward_iterator_tag;
    using value_type = T;
    using difference_type = std::ptrdiff_t;
    using pointer = const T*;
    using reference = const T&;

    const_iterator() = default;
    explicit const_iterator(const std::shared_ptr<const T>* at) : at_(at) {}
    reference operator*() const { return **at_; }
    pointer operator->() const { return at_->get(); }
    const_iterator& operator++() {
      ++at_;
      return *this;
    }
    const_iterator operator++(int) {
      const_iterator before = *this;
      ++at_;
      return before;
    }
    friend bool operator==(const_iterator a, const_iterator b) {
      return a.at_ == b.at_;
    }
    friend bool operator!=(const_iterator a, const_iterator b) {
      return a.at_ != b.at_;
    }

   private:
    const std::shared_ptr<const T>* at_ = nullptr;
  };

  shared_list() = default;
  explicit shared_list(std::vector<std::shared_ptr<const T>> items)
      : items_(std::move(items)) {}

  std::size_t size() const { return items_.size(); }
  bool empty() const { return items_.empty(); }
  const T& operator[](std::size_t i) const { return *items_[i]; }
  const_iterator begin() const { return const_iterator(items_.data()); }
  const_iterator end() const {
    return const_iterator(items_.data() + items_.size());
  }

 private:
  std::vector<std::shared_ptr<const T>> items_;
};

// An immutable, validated set. Lookup tables are built once, on assembly, and
// the cost of a look-up does not depend on the size of the set. Copies share
// the data. Pointers that a look-up returns are valid while a copy exists.
//
// A default-constructed set is empty and has version 0.
class config_set {
 public:
  config_set();
  config_set(const config_set&);
  config_set& operator=(const config_set&);
  ~config_set();

  std::uint64_t Version() const;
  const std::string& Digest() const;  // The manifest's digest.
  const std::vector<zone>& Zones() const;
  const shared_list<service>& Services() const;            // Sorted by name.
  const shared_list<organisation>& Organisations() const;  // Sorted by name.

  const zone* FindZone(std::string_view name) const;
  const service* FindService(std::string_view name) const;
  const organisation* FindOrganisation(std::string_view name) const;
  const upstream* FindUpstream(std::string_view name) const;
  const route* FindRouteByName(std::string_view name) const;

  // The route with the longest matching path prefix that allows `method`, or
  // null. A prefix matches whole path segments: "/a" matches "/a" and "/a/b"
  // but not "/ab". The query string is not part of `path`. A path with a dot
  // segment ("/a/../b", also percent-encoded) has no route, because the
  // upstream could resolve it to a resource of another route.
  const route* FindRoute(std::string_view method, std::string_view path) const;

  // The organisation that owns the key with this digest, or null.
  const organisation* FindByKeyDigest(std::string_view sha256) const;

  // True if the contract names `route_name` or "*".
  bool Allows(const organisation& organisation,
              std::string_view route_name) const;

  friend bool operator==(const config_set& a, const config_set& b);

 private:
  struct data;
  friend struct set_builder;
  std::shared_ptr<const data> data_;
};

// Parse functions. Each returns every fault found, not only the first.
// `document` names the input in the faults.
tl::expected<manifest, faults> ParseManifest(
    std::string_view bytes, const std::string& document = "manifest");
tl::expected<vm_list, faults> ParseVmList(std::string_view bytes,
                                          const std::string& document = "vms");
tl::expected<std::vector<zone>, faults> ParseZones(std::string_view bytes,
                                                   const std::string& document);
tl::expected<service, faults> ParseService(std::string_view bytes,
                                           const std::string& document);
tl::expected<organisation, faults> ParseOrganisation(
    std::string_view bytes, const std::string& document);

// Verifies every part's digest and size, parses all parts and validates them
// together: names are unique, no two routes match the same calls, no two
// upstreams have the same address, every route in a contract exists, every
// service has an upstream, no key digest belongs to two organisations, at
// least one zone is in service. `parts` maps digest to bytes and may hold more
// than is needed.
//
// Cost: linear in the bytes of all parts.
tl::expected<config_set, faults> AssembleSet(
    const manifest& manifest, const std::map<std::string, std::string>& parts);

// The same, but takes over the parts of `previous` (may be null) that have the
// same name, digest and size. These are neither hashed nor parsed again and
// need not be in `parts`.
//
// Cost: one comparison for each listed part, linear in the bytes of the changed
// parts, and tables only where their content changed: the tables of routes and
// upstreams (linear in their number) if a service changed, the table of keys
// (linear in their number) if an organisation was added or removed or its keys
// changed. A changed contract rebuilds no table.
tl::expected<config_set, faults> AssembleSet(
    const manifest& manifest, const std::map<std::string, std::string>& parts,
    const config_set* previous);

// Makes the manifest's bytes for parts given by name. Parts are listed in name
// order, so the same parts give the same bytes.
std::string BuildManifest(std::uint64_t version,
                          const std::map<std::string, std::string>& parts);

// The parts of a folder, for `AssembleSet`: digest -> bytes.
std::map<std::string, std::string> PartsByDigest(
    const std::map<std::string, std::string>& parts);

// The part name of a file, given its path in a configuration folder:
// "services/ledger.json" -> "services/ledger".
tl::expected<std::string, fault> PartNameOfFile(std::string_view path);

// What is amiss between a set and a VM list: upstreams on VMs that are not
// listed, and VMs in unknown zones. The list lags, so a daemon bears with both;
// an operator wants to know before publishing.
faults CheckVms(const config_set& set, const vm_list& vms);

enum class change_kind { kAdded, kRemoved, kChanged };

// One difference between two sets, for operators and logs.
struct change {
  change_kind kind = change_kind::kChanged;
  std::string subject;  // For example "organisations/yamaga".
  std::string detail;   // For example "rate_per_s 50 -> 80".
  friend bool operator==(const change& a, const change& b);
};
std::vector<change> Diff(const config_set& before, const config_set& after);

}  // namespace pimentohall::config

#endif  // PIMENTOHALL_CONFIG_H_
