#include <sstream>

#include "pimentohall/config.h"

namespace pimentohall::config {
namespace {

std::string ToText(const std::string& value) {
  return value.empty() ? "\"\"" : value;
}
std::string ToText(bool value) { return value ? "true" : "false"; }
std::string ToText(int value) { return std::to_string(value); }
std::string ToText(std::int64_t value) { return std::to_string(value); }
std::string ToText(double value) {
  std::ostringstream text;
  text.precision(12);
  text << value;
  return text.str();
}
std::string ToText(zone_state value) {
  return value == zone_state::kIn ? "in" : "out";
}
std::string ToText(route_class value) {
  return value == route_class::kInteractive ? "interactive" : "overnight";
}
std::string ToText(const std::vector<std::string>& value) {
  std::string text;
  for (const std::string& item : value) {
    text += text.empty() ? "" : ",";
    text += item;
  }
  return "[" + text + "]";
}

// Appends the differences of one subject to a list of changes.
class comparison {
 public:
  comparison(std::string subject, std::vector<change>* out)
      : subject_(std::move(subject)), out_(out) {}

  template <typename T>
  void Field(const char* name, const T& before, const T& after) {
    if (before == after) return;
    AddChange(std::string(name) + " " + ToText(before) + " -> " +
              ToText(after));
  }
  void AddChange(std::string detail) {
    out_->push_back({change_kind::kChanged, subject_, std::move(detail)});
  }
  std::string ChildSubject(const std::string& list,
                           const std::string& name) const {
    return subject_ + "/" + list + "/" + name;
  }

 private:
  std::string subject_;
  std::vector<change>* out_;
};

// Compares two lists of named values in name order. `compare(subject, before,
// after)` reports the differences of values with the same name.
template <typename L, typename T, typename S, typename F>
void CompareLists(const L& before, const L& after, std::string T::*name,
                  S subject, std::vector<change>* out, F compare) {
  std::map<std::string_view, std::pair<const T*, const T*>> by_name;
  for (const T& item : before) by_name[item.*name].first = &item;
  for (const T& item : after) by_name[item.*name].second = &item;
  for (const auto& [key, pair] : by_name) {
    const auto [old_item, new_item] = pair;
    const std::string text = subject(std::string(key));
    if (old_item == nullptr) {
      out->push_back({change_kind::kAdded, text, ""});
    } else if (new_item == nullptr) {
      out->push_back({change_kind::kRemoved, text, ""});
    } else if (old_item != new_item) {
      compare(text, *old_item, *new_item);
    }
  }
}

class set_comparison {
 public:
  explicit set_comparison(std::vector<change>* out) : out_(out) {}

  void Compare(const config_set& before, const config_set& after) {
    CompareLists(
        before.Zones(), after.Zones(), &zone::name,
        [](const std::string& name) { return "zones/" + name; }, out_,
        [this](const std::string& subject, const zone& a, const zone& b) {
          CompareZone(subject, a, b);
        });
    CompareLists(
        before.Services(), after.Services(), &service::name,
        [](const std::string& name) { return "services/" + name; }, out_,
        [this](const std::string& subject, const service& a, const service& b) {
          CompareService(subject, a, b);
        });
    CompareLists(
        before.Organisations(), after.Organisations(), &organisation::name,
        [](const std::string& name) { return "organisations/" + name; }, out_,
        [this](const std::string& subject, const organisation& a,
               const organisation& b) { CompareOrganisation(subject, a, b); });
  }

 private:
  void CompareZone(const std::string& subject, const zone& a, const zone& b) {
    comparison differences(subject, out_);
    differences.Field("region", a.region, b.region);
    differences.Field("state", a.state, b.state);
  }

  void CompareService(const std::string& subject, const service& a,
                      const service& b) {
    comparison differences(subject, out_);
    differences.Field("health_path", a.health_path, b.health_path);
    differences.Field("load_path", a.load_path, b.load_path);
    CompareLists(
        a.routes, b.routes, &route::name,
        [&differences](const std::string& name) {
          return differences.ChildSubject("routes", name);
        },
        out_,
        [this](const std::string& subject, const route& a, const route& b) {
          CompareRoute(subject, a, b);
        });
    CompareLists(
        a.upstreams, b.upstreams, &upstream::name,
        [&differences](const std::string& name) {
          return differences.ChildSubject("upstreams", name);
        },
        out_,
        [this](const std::string& subject, const upstream& a,
               const upstream& b) { CompareUpstream(subject, a, b); });
  }

  void CompareRoute(const std::string& subject, const route& a,
                    const route& b) {
    comparison differences(subject, out_);
    differences.Field("path_prefix", a.path_prefix, b.path_prefix);
    differences.Field("methods", a.methods, b.methods);
    differences.Field("idempotent", a.idempotent, b.idempotent);
    differences.Field("class", a.traffic_class, b.traffic_class);
    differences.Field("timeout_ms", a.timeout_ms, b.timeout_ms);
    differences.Field("open", a.open, b.open);
  }

  void CompareUpstream(const std::string& subject, const upstream& a,
                       const upstream& b) {
    comparison differences(subject, out_);
    differences.Field("vm", a.vm, b.vm);
    differences.Field("address", a.address, b.address);
    differences.Field("port", a.port, b.port);
    differences.Field("max_connections", a.max_connections, b.max_connections);
  }

  void CompareOrganisation(const std::string& subject, const organisation& a,
                           const organisation& b) {
    comparison differences(subject, out_);
    differences.Field("rate_per_s", a.limits.rate_per_s, b.limits.rate_per_s);
    differences.Field("burst", a.limits.burst, b.limits.burst);
    differences.Field("max_concurrent", a.limits.max_concurrent,
                      b.limits.max_concurrent);
    differences.Field("routes", a.limits.routes, b.limits.routes);
    CompareLists(
        a.keys, b.keys, &key_digest::id,
        [&differences](const std::string& name) {
          return differences.ChildSubject("keys", name);
        },
        out_,
        [this](const std::string& subject, const key_digest& a,
               const key_digest& b) {
          // The digests themselves stay out of logs.
          if (a.sha256 != b.sha256) {
            comparison(subject, out_).AddChange("sha256 changed");
          }
        });
  }

  std::vector<change>* out_;
};

}  // namespace

std::vector<change> Diff(const config_set& before, const config_set& after) {
  std::vector<change> changes;
  set_comparison(&changes).Compare(before, after);
  return changes;
}

}  // namespace pimentohall::config
