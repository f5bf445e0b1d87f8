#include "check/differences.h"

#include <algorithm>
#include <map>
#include <utility>

#include "check/value_text.h"

namespace pimentohall::check {
namespace {

using config::change_kind;

// Orders texts and counts the comparisons.
struct counting_less {
  std::uint64_t* count;
  template <typename key>
  bool operator()(const key& a, const key& b) const {
    ++*count;
    return a < b;
  }
};

template <typename entry>
struct compared_field {
  const char* name;
  std::string (*text)(const entry&);
};

// The text of a member, for tables of `compared_field`.
template <auto member, typename entry>
std::string TextOf(const entry& from) {
  return ToText(from.*member);
}

constexpr compared_field<mesh::configuration_parts> kWholeFields[] = {
    {"version", TextOf<&mesh::configuration_parts::version>}};

constexpr compared_field<mesh::route> kRouteFields[] = {
    {"host", TextOf<&mesh::route::host>},
    {"path_prefix", TextOf<&mesh::route::path_prefix>},
    {"parts", TextOf<&mesh::route::parts>},
    {"idempotent", TextOf<&mesh::route::idempotent>},
    {"timeout", TextOf<&mesh::route::timeout>},
    {"aim", TextOf<&mesh::route::aim>},
    {"max_attempts", TextOf<&mesh::route::max_attempts>},
    {"priority", TextOf<&mesh::route::priority>},
    {"open", TextOf<&mesh::route::open>},
    {"regions", TextOf<&mesh::route::regions>}};

constexpr compared_field<mesh::service> kServiceFields[] = {
    {"health_path", TextOf<&mesh::service::health_path>},
    {"max_connections", TextOf<&mesh::service::max_connections>},
    {"warmup", TextOf<&mesh::service::warmup>},
    {"warmup_per_s", TextOf<&mesh::service::warmup_per_s>}};

std::string PriorityText(const mesh::tenant& from) {
  return from.priority ? ToText(*from.priority) : "that of the route";
}

constexpr compared_field<mesh::tenant> kTenantFields[] = {
    {"priority", PriorityText},
    {"rate_per_s", TextOf<&mesh::tenant::rate_per_s>},
    {"burst", TextOf<&mesh::tenant::burst>},
    {"regions", TextOf<&mesh::tenant::regions>}};

constexpr compared_field<mesh::caller_limits> kLimitFields[] = {
    {"header_bytes", TextOf<&mesh::caller_limits::header_bytes>},
    {"body_bytes", TextOf<&mesh::caller_limits::body_bytes>},
    {"header_timeout", TextOf<&mesh::caller_limits::header_timeout>},
    {"idle_timeout", TextOf<&mesh::caller_limits::idle_timeout>}};

class comparison {
 public:
  explicit comparison(std::uint64_t* comparisons) : count_(comparisons) {}

  template <typename entry, std::size_t size>
  void Fields(const std::string& subject,
              const compared_field<entry> (&fields)[size], const entry& before,
              const entry& after) {
    ++*count_;
    if (before == after) return;
    for (const auto& field : fields) {
      const std::string old_text = field.text(before);
      const std::string new_text = field.text(after);
      if (old_text == new_text) continue;
      differences_.push_back(
          {change_kind::kChanged, subject, field.name, old_text, new_text});
    }
  }

  // `compare_rest(subject, before, after)` compares what isn't in `fields`. An
  // added or removed entry is compared with an empty one by it.
  template <typename entry, std::size_t size, typename rest>
  void Lists(const std::string& list,
             const compared_field<entry> (&fields)[size],
             const std::vector<entry>& before, const std::vector<entry>& after,
             rest compare_rest) {
    auto pairs = Match(before, after);
    for (const auto& [key, pair] : pairs) {
      const std::string subject = list + "/" + key.first;
      static const entry kNone{};
      const entry& old_entry = pair.first ? *pair.first : kNone;
      const entry& new_entry = pair.second ? *pair.second : kNone;
      if (pair.first && pair.second) {
        Fields(subject, fields, old_entry, new_entry);
      } else {
        Add(pair.second ? change_kind::kAdded : change_kind::kRemoved, subject);
      }
      compare_rest(subject, old_entry, new_entry);
    }
  }

  void Keys(const std::string& subject, const mesh::tenant& before,
            const mesh::tenant& after) {
    const auto old_keys = SetOf(before.key_digests);
    const auto new_keys = SetOf(after.key_digests);
    for (const std::string& key : old_keys) {
      if (new_keys.count(key) != 0) continue;
      differences_.push_back({change_kind::kRemoved, subject, "key", key, ""});
    }
    for (const std::string& key : new_keys) {
      if (old_keys.count(key) != 0) continue;
      differences_.push_back({change_kind::kAdded, subject, "key", "", key});
    }
  }

  std::vector<difference> Take() { return std::move(differences_); }

 private:
  template <typename entry>
  using pair_of = std::pair<const entry*, const entry*>;
  // An entry's name, and how many entries of the name precede it in its list.
  using match_key = std::pair<std::string, int>;
  template <typename entry>
  using matches = std::map<match_key, pair_of<entry>, counting_less>;
  using text_set = std::set<std::string, counting_less>;

  template <typename entry>
  matches<entry> Match(const std::vector<entry>& before,
                       const std::vector<entry>& after) const {
    matches<entry> pairs{counting_less{count_}};
    AddSide(before, &pair_of<entry>::first, &pairs);
    AddSide(after, &pair_of<entry>::second, &pairs);
    return pairs;
  }

  template <typename entry>
  void AddSide(const std::vector<entry>& list,
               const entry* pair_of<entry>::*side,
               matches<entry>* pairs) const {
    std::map<std::string, int, counting_less> seen{counting_less{count_}};
    for (const entry& each : list) {
      (*pairs)[{each.name, seen[each.name]++}].*side = &each;
    }
  }

  text_set SetOf(const std::vector<std::string>& texts) const {
    return {texts.begin(), texts.end(), counting_less{count_}};
  }

  void Add(change_kind kind, const std::string& subject) {
    differences_.push_back({kind, subject, "", "", ""});
  }

  std::uint64_t* count_;
  std::vector<difference> differences_;
};

}  // namespace

std::vector<difference> Compare(const mesh::configuration_parts& before,
                                const mesh::configuration_parts& after,
                                std::uint64_t* comparisons) {
  comparison result(comparisons);
  const auto no_rest = [](const std::string&, const auto&, const auto&) {};
  result.Fields("", kWholeFields, before, after);
  result.Lists("routes", kRouteFields, before.routes, after.routes, no_rest);
  result.Lists("services", kServiceFields, before.services, after.services,
               no_rest);
  result.Lists("tenants", kTenantFields, before.tenants, after.tenants,
               [&](const std::string& subject, const mesh::tenant& old_tenant,
                   const mesh::tenant& new_tenant) {
                 result.Keys(subject, old_tenant, new_tenant);
               });
  result.Fields("limits", kLimitFields, before.limits, after.limits);
  return result.Take();
}

}  // namespace pimentohall::check
