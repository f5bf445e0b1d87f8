#include <algorithm>

#include "config/part_checks.h"
#include "config/set_data.h"
#include "pimentohall/config.h"

namespace pimentohall::config {
namespace {

using set_data = set_builder::set_data;
using part_bytes = std::map<std::string, std::string>;

void Append(faults* out, faults more) {
  for (fault& fault : more) AddFault(std::move(fault), out);
}

// The name that the document of this part must contain, "" for zones.
std::string ExpectedName(const std::string& part_name) {
  const std::size_t slash = part_name.find('/');
  return slash == std::string::npos ? "" : part_name.substr(slash + 1);
}

// Parses with `parse` and checks that the name in the document matches the part
// name.
template <typename T>
tl::expected<shared_part, faults> ParseNamed(
    const part_ref& ref, std::string_view bytes,
    tl::expected<T, faults> (*parse)(std::string_view, const std::string&)) {
  auto parsed = parse(bytes, ref.name);
  if (!parsed) return tl::unexpected(std::move(parsed.error()));
  if (parsed->name != ExpectedName(ref.name)) {
    const auto root = ParseJsonText(bytes);
    const json_value* value = root ? FindValue(*root, "/name") : nullptr;
    return tl::unexpected(
        faults{{ref.name, value == nullptr ? 0 : value->line, "/name",
                "name \"" + parsed->name + "\" differs from the part name",
                "use \"" + ExpectedName(ref.name) + "\" or rename the part"}});
  }
  return std::make_shared<const parsed_part>(
      parsed_part{ref, std::move(*parsed)});
}

tl::expected<shared_part, faults> ParsePart(const part_ref& ref,
                                            std::string_view bytes) {
  if (ref.name == "zones") {
    auto zones = ParseZones(bytes, ref.name);
    if (!zones) return tl::unexpected(std::move(zones.error()));
    return std::make_shared<const parsed_part>(
        parsed_part{ref, std::move(*zones)});
  }
  if (ref.name.rfind("services/", 0) == 0) {
    return ParseNamed<service>(ref, bytes, ParseService);
  }
  return ParseNamed<organisation>(ref, bytes, ParseOrganisation);
}

tl::expected<shared_part, faults> VerifyAndParse(const part_ref& ref,
                                                 const part_bytes& parts) {
  const auto fail = [&ref](std::string problem, std::string fix) {
    return tl::unexpected(
        faults{{ref.name, 0, "", std::move(problem), std::move(fix)}});
  };
  const auto found = parts.find(ref.sha256);
  if (found == parts.end()) {
    return fail("part is missing", "publish or fetch the part");
  }
  const std::string& bytes = found->second;
  if (bytes.size() != ref.bytes) {
    return fail("part has " + std::to_string(bytes.size()) +
                    " bytes, the manifest says " + std::to_string(ref.bytes),
                "build the manifest again from the parts");
  }
  if (Sha256Hex(bytes) != ref.sha256) {
    return fail("part does not have the digest that the manifest says",
                "publish the part again under its own digest");
  }
  return ParsePart(ref, bytes);
}

// Finds the parts of a set by name. Manifests usually list parts in name order,
// so the part after the last one found is tried before a binary search.
class part_finder {
 public:
  // `parts` is sorted by name and must outlive this object.
  explicit part_finder(const std::vector<shared_part>& parts)
      : parts_(parts), next_(parts.begin()) {}

  // The part that equals `ref`, or null.
  shared_part Find(const part_ref& ref) {
    if (next_ == parts_.end() || (*next_)->ref.name != ref.name) {
      next_ = std::lower_bound(
          parts_.begin(), parts_.end(), ref.name,
          [](const shared_part& part, const std::string& name) {
            return part->ref.name < name;
          });
    }
    if (next_ == parts_.end() || (*next_)->ref.name != ref.name) return nullptr;
    const shared_part& found = *next_++;
    return found->ref == ref ? found : nullptr;
  }

 private:
  const std::vector<shared_part>& parts_;
  std::vector<shared_part>::const_iterator next_;
};

bool IsBefore(const shared_part& a, const shared_part& b) {
  return a->ref.name < b->ref.name;
}

// Collects the parts in name order: parts that `previous` has are shared with
// it, the others are parsed from `bytes` and also added to `parsed`.
faults CollectParts(const manifest& manifest, const part_bytes& bytes,
                    const set_data& previous, set_data* out,
                    std::vector<shared_part>* parsed) {
  faults found;
  part_finder finder(previous.parts);
  out->parts.reserve(manifest.parts.size());
  for (const part_ref& ref : manifest.parts) {
    shared_part part = finder.Find(ref);
    if (part == nullptr) {
      auto verified = VerifyAndParse(ref, bytes);
      if (!verified) {
        Append(&found, std::move(verified.error()));
        continue;
      }
      part = std::move(*verified);
      parsed->push_back(part);
    }
    out->parts.push_back(std::move(part));
  }
  std::vector<shared_part>& parts = out->parts;
  if (!std::is_sorted(parts.begin(), parts.end(), IsBefore)) {
    std::sort(parts.begin(), parts.end(), IsBefore);
  }
  return found;
}

// The contents of type `T`. Each pointer shares the ownership of its part.
template <typename T>
std::vector<std::shared_ptr<const T>> ContentOf(
    const std::vector<shared_part>& parts) {
  std::vector<std::shared_ptr<const T>> list;
  for (const shared_part& part : parts) {
    const T* content = std::get_if<T>(&part->content);
    if (content != nullptr) list.emplace_back(part, content);
  }
  return list;
}

void FillZones(set_data* data, cross_faults* out) {
  auto zones = ContentOf<std::vector<zone>>(data->parts);
  if (zones.empty()) {
    out->Add("manifest", "/parts", "no part \"zones\"", "add the part");
    data->zones = std::make_shared<std::vector<zone>>();
    return;
  }
  data->zones = zones.front();
  bool any_in = false;
  for (const zone& zone : *data->zones) {
    data->zones_by_name.emplace(zone.name, &zone);
    any_in = any_in || zone.state == zone_state::kIn;
  }
  if (!any_in) {
    out->Add("zones", "/zones", "every zone is out of service",
             "set the state of at least one zone to \"in\"");
  }
}

// True if both lists hold the same objects.
template <typename T>
bool IsSameList(const shared_list<T>& a, const shared_list<T>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const T& x, const T& y) { return &x == &y; });
}

// True if both lists have the same names and keys in the same order, so that
// the tables built for one are valid for the other.
bool HaveSameKeys(const shared_list<organisation>& a,
                  const shared_list<organisation>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const organisation& x, const organisation& y) {
                      return &x == &y || (x.name == y.name && x.keys == y.keys);
                    });
}

void FillServices(const set_data& previous, set_data* data, cross_faults* out) {
  data->services = shared_list<service>(ContentOf<service>(data->parts));
  if (data->services.empty()) {
    out->Add("manifest", "/parts", "no service",
             "add at least one part services/NAME");
  }
  data->by_service = IsSameList(data->services, previous.services)
                         ? previous.by_service
                         : BuildServiceTables(data->services, out);
}

void FillOrganisations(const set_data& previous, set_data* data,
                       cross_faults* out) {
  data->organisations =
      shared_list<organisation>(ContentOf<organisation>(data->parts));
  data->by_organisation =
      HaveSameKeys(data->organisations, previous.organisations)
          ? previous.by_organisation
          : BuildOrganisationTables(data->organisations, out);
}

// Checks the contracts against the routes. If the routes are those of
// `previous`, only newly parsed contracts need a check.
void CheckContracts(const set_data& previous, const set_data& data,
                    const std::vector<shared_part>& parsed, cross_faults* out) {
  const bool same_routes = previous.by_service == data.by_service;
  for (const shared_part& part : same_routes ? parsed : data.parts) {
    const auto* organisation =
        std::get_if<config::organisation>(&part->content);
    if (organisation != nullptr) {
      CheckContract(*organisation, *data.by_service, out);
    }
  }
}

}  // namespace

tl::expected<config_set, faults> AssembleSet(
    const manifest& manifest, const std::map<std::string, std::string>& parts) {
  return AssembleSet(manifest, parts, nullptr);
}

tl::expected<config_set, faults> AssembleSet(
    const manifest& manifest, const std::map<std::string, std::string>& parts,
    const config_set* previous) {
  const config_set empty;
  const set_data& previous_data =
      set_builder::Data(previous == nullptr ? empty : *previous);
  auto data = std::make_shared<set_data>();
  data->version = manifest.version;
  data->digest = manifest.digest;
  std::vector<shared_part> parsed;
  // Faults between parts are only looked for if every part is valid: routes of
  // a service that could not be parsed would be reported as missing.
  faults part_faults =
      CollectParts(manifest, parts, previous_data, data.get(), &parsed);
  if (!part_faults.empty()) return tl::unexpected(std::move(part_faults));
  cross_faults set_faults(&manifest, &parts);
  FillZones(data.get(), &set_faults);
  FillServices(previous_data, data.get(), &set_faults);
  FillOrganisations(previous_data, data.get(), &set_faults);
  CheckContracts(previous_data, *data, parsed, &set_faults);
  if (!set_faults.Empty()) return tl::unexpected(set_faults.Take());
  return set_builder::Make(std::move(data));
}

}  // namespace pimentohall::config
