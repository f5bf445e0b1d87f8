// Settings of the daemon, as docs/settings.md lists them.

#include <algorithm>
#include <fstream>
#include <optional>
#include <sstream>

#include "config/document_reader.h"
#include "config/syntax.h"
#include "pimentohall/net.h"

namespace pimentohall::net {
namespace {

using config::json_kind;
using config::json_value;

constexpr std::size_t kMaxSettingsBytes = 1024 * 1024;
constexpr int kMaxPort = 65535;

// One object of the settings. `config::object_reader` has no optional objects,
// and most sections here are optional. Fields that no one asked for are faults.
class section {
 public:
  // `value` null: the section is absent, and all its fields have defaults.
  section(const json_value* value, std::string pointer,
          config::fault_sink* sink)
      : value_(value), pointer_(std::move(pointer)), sink_(sink) {
    if (value_ != nullptr && value_->kind != json_kind::kObject) {
      sink_->Add(value_->line, pointer_, "not an object", "write {...}");
      value_ = nullptr;
    }
  }
  ~section() {
    if (value_ == nullptr) return;
    for (std::size_t i = 0; i < value_->children.size(); ++i) {
      CheckMember(value_->children[i], i);
    }
  }
  section(const section&) = delete;
  section& operator=(const section&) = delete;

  section Child(const char* name) { return {Find(name), Pointer(name), sink_}; }
  bool Has(const char* name) { return Find(name) != nullptr; }

  std::string Text(const char* name, std::string fallback) {
    const json_value* field = Find(name);
    if (field == nullptr) return fallback;
    if (field->kind == json_kind::kString) return field->text;
    Fault(name, "not a string", "write \"...\"");
    return fallback;
  }
  std::string Matching(const char* name, const config::text_rule& rule,
                       std::string fallback) {
    std::string text = Text(name, std::move(fallback));
    if (Has(name) && !rule.accepts(text)) {
      Fault(name, std::string("not ") + rule.what,
            std::string("use ") + rule.fix);
    }
    return text;
  }
  std::int64_t Int(const char* name, std::int64_t low, std::int64_t high,
                   std::int64_t fallback) {
    const json_value* field = Find(name);
    if (field == nullptr) return fallback;
    const bool fits = field->kind == json_kind::kInteger &&
                      field->integer >= low && field->integer <= high;
    if (fits) return field->integer;
    Fault(name, "not a whole number in range",
          "write a number from " + std::to_string(low) + " to " +
              std::to_string(high));
    return fallback;
  }
  // Calls `read(section)` for each object in the array.
  template <typename step>
  void Each(const char* name, step read) {
    const json_value* field = Find(name);
    if (field == nullptr) return;
    if (field->kind != json_kind::kArray) {
      return Fault(name, "not an array", "write [...]");
    }
    for (std::size_t i = 0; i < field->children.size(); ++i) {
      section item(&field->children[i], Pointer(name) + "/" + std::to_string(i),
                   sink_);
      read(&item);
    }
  }
  bool Require(const char* name) {
    if (Has(name)) return true;
    if (value_ != nullptr) {
      sink_->Add(value_->line, pointer_,
                 std::string("field \"") + name + "\" is missing",
                 std::string("add \"") + name + "\"");
    }
    return false;
  }
  void Fault(const char* name, std::string problem, std::string fix) {
    const json_value* field = Find(name);
    const int line = field != nullptr ? field->line : 0;
    sink_->Add(line, Pointer(name), std::move(problem), std::move(fix));
  }

 private:
  std::string Pointer(const char* name) const {
    return config::AppendToPointer(pointer_, name);
  }

  const json_value* Find(const char* name) {
    known_.emplace_back(name);
    if (value_ == nullptr) return nullptr;
    for (const json_value& child : value_->children) {
      if (child.key == name) return &child;
    }
    return nullptr;
  }

  void CheckMember(const json_value& member, std::size_t index) {
    const std::string pointer = config::AppendToPointer(pointer_, member.key);
    if (std::find(known_.begin(), known_.end(), member.key) == known_.end()) {
      sink_->Add(member.line, pointer, "unknown field",
                 "remove it or correct its name");
    }
    const auto first = value_->children.begin();
    const auto here = first + static_cast<std::ptrdiff_t>(index);
    const bool repeated = std::any_of(
        first, here,
        [&member](const json_value& other) { return other.key == member.key; });
    if (repeated) {
      sink_->Add(member.line, pointer, "repeated field", "keep one of them");
    }
  }

  const json_value* value_;
  const std::string pointer_;
  config::fault_sink* const sink_;
  std::vector<std::string> known_;
};

std::string ReadAddress(section* from) {
  return from->Matching("address", config::kAddressRule, "127.0.0.1");
}

std::string ReadName(section* from, const char* field) {
  if (!from->Require(field)) return {};
  return from->Matching(field, config::kNameRule, "");
}

// Where the daemon listens. Port 0 lets the system choose.
endpoint ReadListen(section from) {
  endpoint where;
  where.address = ReadAddress(&from);
  if (from.Require("port")) {
    where.port = static_cast<int>(from.Int("port", 0, kMaxPort, 0));
  }
  return where;
}

endpoint ReadTarget(section* from) {
  endpoint where;
  if (from->Require("address")) where.address = ReadAddress(from);
  if (from->Require("port")) {
    where.port = static_cast<int>(from->Int("port", 1, kMaxPort, 0));
  }
  return where;
}

tls_files ReadTls(section* parent, const char* name, bool with_ca) {
  tls_files files;
  if (!parent->Has(name)) return files;
  section from = parent->Child(name);
  const auto read = [&from](const char* field) {
    if (!from.Require(field)) return std::string();
    std::string path = from.Text(field, "");
    if (path.empty()) from.Fault(field, "empty", "name a PEM file");
    return path;
  };
  files.certificate = read("certificate");
  files.key = read("key");
  if (with_ca) files.ca = read("ca");
  return files;
}

bool IsKeyPrefix(const std::string& prefix) {
  std::istringstream parts(prefix + "/");
  std::string part;
  while (std::getline(parts, part, '/')) {
    if (!config::kNameRule.accepts(part)) return false;
  }
  return !prefix.empty();
}

source_settings ReadSource(section from) {
  source_settings source;
  if (from.Require("addresses")) {
    from.Each("addresses", [&source](section* item) {
      source.addresses.push_back(ReadTarget(item));
    });
    if (source.addresses.empty()) {
      from.Fault("addresses", "no address", "name at least one source server");
    }
  }
  source.prefix = from.Text("prefix", source.prefix);
  if (!IsKeyPrefix(source.prefix)) {
    from.Fault("prefix", "not a key prefix",
               "use names separated by '/', without one at the ends");
  }
  return source;
}

core::log_level ReadLevel(section from) {
  const std::string name = from.Text("level", "info");
  if (name == "info") return core::log_level::kInfo;
  if (name == "warning") return core::log_level::kWarning;
  if (name == "error") return core::log_level::kError;
  from.Fault("level", "unknown level",
             "write \"info\", \"warning\" or \"error\"");
  return core::log_level::kInfo;
}

limit_settings ReadLimits(section from) {
  const limit_settings most;
  limit_settings limits;
  limits.body_bytes =
      from.Int("body_bytes", 1, most.body_bytes, most.body_bytes);
  limits.header_bytes =
      from.Int("header_bytes", 1024, most.header_bytes, most.header_bytes);
  limits.calls_in_flight = from.Int("calls_in_flight", 1, most.calls_in_flight,
                                    most.calls_in_flight);
  limits.links = from.Int("links", 1, most.links, most.links);
  limits.idle_connection_ms =
      from.Int("idle_connection_ms", 100, most.idle_connection_ms,
               most.idle_connection_ms);
  return limits;
}

core::bootstrap_peer ReadPeer(section* from) {
  core::bootstrap_peer peer;
  peer.vm = ReadName(from, "vm");
  const endpoint where = ReadTarget(from);
  peer.address = where.address;
  peer.port = where.port;
  return peer;
}

daemon_settings ReadAll(section root) {
  daemon_settings settings;
  settings.vm = ReadName(&root, "vm");
  settings.zone = ReadName(&root, "zone");
  if (root.Require("http")) settings.http = ReadListen(root.Child("http"));
  if (root.Require("link")) settings.link = ReadListen(root.Child("link"));
  if (root.Require("admin")) settings.admin = ReadListen(root.Child("admin"));
  if (root.Require("source")) {
    settings.source = ReadSource(root.Child("source"));
  }
  root.Each("bootstrap_peers", [&settings](section* item) {
    settings.bootstrap_peers.push_back(ReadPeer(item));
  });
  section tls = root.Child("tls");
  settings.http_tls = ReadTls(&tls, "http", false);
  settings.link_tls = ReadTls(&tls, "link", true);
  settings.level = ReadLevel(root.Child("log"));
  settings.limits = ReadLimits(root.Child("limits"));
  return settings;
}

}  // namespace

bool operator==(const endpoint& a, const endpoint& b) {
  return a.address == b.address && a.port == b.port;
}
bool operator==(const tls_files& a, const tls_files& b) {
  return a.certificate == b.certificate && a.key == b.key && a.ca == b.ca;
}
bool operator==(const limit_settings& a, const limit_settings& b) {
  return a.body_bytes == b.body_bytes && a.header_bytes == b.header_bytes &&
         a.calls_in_flight == b.calls_in_flight && a.links == b.links &&
         a.idle_connection_ms == b.idle_connection_ms;
}
bool operator==(const source_settings& a, const source_settings& b) {
  return a.addresses == b.addresses && a.prefix == b.prefix;
}

tl::expected<daemon_settings, config::faults> ParseSettings(
    std::string_view bytes, const std::string& document) {
  config::fault_sink sink(document);
  daemon_settings settings;
  if (auto root = config::ParseDocument(bytes, kMaxSettingsBytes, &sink)) {
    settings = ReadAll(section(&*root, "", &sink));
  }
  if (!sink.Empty()) return tl::make_unexpected(sink.Take());
  return settings;
}

tl::expected<daemon_settings, config::faults> LoadSettings(
    const std::string& path) {
  const auto fail = [&path](const char* problem, const char* fix) {
    return tl::make_unexpected(
        config::faults{config::fault{path, 0, "", problem, fix}});
  };
  std::ifstream file(path, std::ios::binary);
  if (!file) return fail("can't be read", "name a readable file");
  std::ostringstream bytes;
  bytes << file.rdbuf();
  return ParseSettings(bytes.str(), path);
}

}  // namespace pimentohall::net
