#ifndef PIMENTOHALL_CONFIG_H_
#define PIMENTOHALL_CONFIG_H_

// Library `config`: the published configuration as immutable values.
//
// A configuration set is a manifest and the parts that it lists. Each part is
// addressed by the SHA-256 digest of its bytes, so a set is complete if and
// only if every listed part is present with the listed digest and size.
//
//   auto manifest = config::ParseManifest(manifest_bytes);
//   if (!manifest) return Refuse(manifest.error());
//   std::map<std::string, std::string> parts;  // digest -> bytes
//   ...                                        // fetch manifest->parts
//   auto set = config::AssembleSet(*manifest, parts);
//   if (!set) return Refuse(set.error());
//   const config::route* route = set->FindRoute("GET", "/ledger/balance/7");
//
// Errors are returned as values: a `fault` holds the document, the position in
// it, the problem and the fix. The library does no I/O and reads no clock or
// random numbers, so its results depend on its arguments only.

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

// Limits on documents. Larger ones are refused.
inline constexpr std::size_t kMaxValueBytes = 1024 * 1024;
inline constexpr std::size_t kMaxManifestBytes = 256 * 1024;
inline constexpr std::size_t kMaxNameBytes = 128;
// Total size of all parts of a set. The target fleet needs about 1.5 MB; the
// limit bounds the memory that a set takes on a node.
inline constexpr std::size_t kMaxSetBytes = 16 * 1024 * 1024;
// Faults listed for one document or set. If there are more, the last entry says
// so.
inline constexpr std::size_t kMaxFaults = 1000;

// One fault in a document.
struct fault {
  std::string document;  // File name or part name.
  int line = 0;          // 1-based; 0 if unknown.
  std::string field;     // JSON pointer; empty for the whole document.
  std::string problem;   // What is wrong.
  std::string fix;       // How to correct it.

  // "document:line: field: problem; fix"
  std::string ToString() const;
  friend bool operator==(const fault& a, const fault& b);
};
using faults = std::vector<fault>;

// Lower-case hexadecimal SHA-256 of `bytes`.
std::string Sha256Hex(std::string_view bytes);

// Compares two digests in a time that depends only on their lengths, so that
// the time does not reveal how many leading bytes match.
bool ConstantTimeEquals(std::string_view a, std::string_view b);

enum class route_class { kInteractive, kOvernight };
enum class zone_state { kIn, kOut };  // In or out of service.
enum class vm_state { kLive, kLeaving };

struct zone {
  std::string name;
  std::string region;
  zone_state state = zone_state::kIn;
  friend bool operator==(const zone& a, const zone& b);
};

struct route {
  std::string name;
  std::string service;      // Name of the service that the route leads to.
  std::string path_prefix;  // See `config_set::FindRoute`.
  std::vector<std::string> methods;
  bool idempotent = false;
  route_class traffic_class = route_class::kInteractive;
  std::int64_t timeout_ms = 5000;
  bool open = false;  // Calls of an open route need no key.
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
  std::string health_path;  // Path of health probes; empty for none.
  std::string load_path;    // Path of load reports; empty for none.
  friend bool operator==(const service& a, const service& b);
};

// The limits of one organisation, summed over all VMs.
struct contract {
  double rate_per_s = 0;            // Calls per second.
  std::int64_t burst = 0;           // Calls.
  std::int64_t max_concurrent = 0;  // Calls in progress.
  std::vector<std::string> routes;  // Sorted route names; "*" allows all.
  friend bool operator==(const contract& a, const contract& b);
};

// An API key, known only by its digest.
struct key_digest {
  std::string id;
  std::string sha256;  // Lower-case hexadecimal digest of the key.
  friend bool operator==(const key_digest& a, const key_digest& b);
};

struct organisation {
  std::string name;
  contract limits;
  std::vector<key_digest> keys;
  friend bool operator==(const organisation& a, const organisation& b);
};

// One entry of a manifest.
struct part_ref {
  std::string name;
  std::string sha256;     // Lower-case hexadecimal digest of the part's bytes.
  std::size_t bytes = 0;  // Size of the part.
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

// A list of immutable values that several sets can share.
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
    explicit const_iterator(const std::shared_ptr<const T>* item)
        : item_(item) {}
    reference operator*() const { return **item_; }
    pointer operator->() const { return item_->get(); }
    const_iterator& operator++() {
      ++item_;
      return *this;
    }
    const_iterator operator++(int) {
      const_iterator previous = *this;
      ++item_;
      return previous;
    }
    friend bool operator==(const_iterator a, const_iterator b) {
      return a.item_ == b.item_;
    }
    friend bool operator!=(const_iterator a, const_iterator b) {
      return a.item_ != b.item_;
    }

   private:
    const std::shared_ptr<const T>* item_ = nullptr;
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
// the cost of a lookup does not depend on the size of the set. `Allows` is a
// binary search over the contract's routes. Copies share the data. Pointers
// returned by a lookup are valid while any copy of the set exists.
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

// The parse functions return all faults found, not only the first. `document`
// is the name of the input that the faults carry.
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
// together: names are unique, no two routes have the same prefix and share
// a method, no two upstreams have the same address and port (on loopback: the
// same VM, address and port), every route in a contract exists, every
// service has an upstream, no key digest belongs to two organisations, at
// least one zone is in service. `parts` maps digest to bytes and may hold parts
// that the manifest does not list.
//
// Cost: linear in the bytes of all parts.
tl::expected<config_set, faults> AssembleSet(
    const manifest& manifest, const std::map<std::string, std::string>& parts);

// The same, but reuses the parts of `previous` (may be null) that have the same
// name, digest and size. These are neither hashed nor parsed again and need not
// be in `parts`.
//
// Cost: one comparison for each listed part, plus time linear in the bytes of
// the changed parts. Tables are rebuilt, in time linear in their size, only if
// their content changed: the tables of routes and upstreams if a service
// changed, the table of keys if an organisation was added or removed or its
// keys changed. A changed contract rebuilds neither. The table of zones is
// rebuilt every time, and a changed service causes a check of every contract.
tl::expected<config_set, faults> AssembleSet(
    const manifest& manifest, const std::map<std::string, std::string>& parts,
    const config_set* previous);

// Returns the bytes of a manifest for `parts`, a map from name to bytes. Parts
// are listed in name order, so the same parts give the same bytes.
std::string BuildManifest(std::uint64_t version,
                          const std::map<std::string, std::string>& parts);

// Converts a map from part name to bytes into the map from digest to bytes that
// `AssembleSet` takes.
std::map<std::string, std::string> PartsByDigest(
    const std::map<std::string, std::string>& parts);

// The part name of a file, given its path in a configuration folder:
// "services/ledger.json" -> "services/ledger".
tl::expected<std::string, fault> PartNameOfFile(std::string_view path);

// Reports inconsistencies between a set and a VM list: upstreams on VMs that
// are not listed, and VMs in unknown zones. Daemons tolerate both, because the
// list may lag behind the set. The check is meant for operators before they
// publish, but only tests call it so far.
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
