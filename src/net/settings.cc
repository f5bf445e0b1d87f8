// Parses the daemon's settings, which docs/settings.md describes.

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

// Reads one object of the settings. `config::object_reader` has no optional
// objects, and most sections of the settings are optional. The destructor
// reports fields that were never looked up as unknown.
class section {
 public:
  // If `value` is null, the section is absent and all its fields have defaults.
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
  std::string TextMatching(const char* name, const config::text_rule& rule,
                           std::string fallback) {
    std::string text = Text(name, std::move(fallback));
    if (Has(name) && !rule.accepts(text)) {
      Fault(name, std::string("not ") + rule.text_kind,
            std::string("use ") + rule.fix);
    }
    return text;
  }
  std::int64_t Int(const char* name, std::int64_t min_value,
                   std::int64_t max_value, std::int64_t fallback) {
    const json_value* field = Find(name);
    if (field == nullptr) return fallback;
    const bool fits = field->kind == json_kind::kInteger &&
                      field->integer >= min_value &&
                      field->integer <= max_value;
    if (fits) return field->integer;
    Fault(name, "not a whole number in range",
          "write a number from " + std::to_string(min_value) + " to " +
              std::to_string(max_value));
    return fallback;
  }
  // Calls `read(section)` for each object in the array.
  template <typename callback>
  void ForEach(const char* name, callback read) {
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
    known_fields_.emplace_back(name);
    if (value_ == nullptr) return nullptr;
    for (const json_value& child : value_->children) {
      if (child.key == name) return &child;
    }
    return nullptr;
  }

  void CheckMember(const json_value& member, std::size_t index) {
    const std::string pointer = config::AppendToPointer(pointer_, member.key);
    if (std::find(known_fields_.begin(), known_fields_.end(), member.key) ==
        known_fields_.end()) {
      sink_->Add(member.line, pointer, "unknown field",
                 "remove it or correct its name");
    }
    const auto first = value_->children.begin();
    const auto position = first + static_cast<std::ptrdiff_t>(index);
    const bool repeated = std::any_of(
        first, position,
        [&member](const json_value& other) { return other.key == member.key; });
    if (repeated) {
      sink_->Add(member.line, pointer, "repeated field", "keep one of them");
    }
  }

  const json_value* value_;
  const std::string pointer_;
  config::fault_sink* const sink_;
  std::vector<std::string> known_fields_;
};

std::string ReadAddress(section* object) {
  return object->TextMatching("address", config::kAddressRule, "127.0.0.1");
}

std::string ReadName(section* object, const char* field) {
  if (!object->Require(field)) return {};
  return object->TextMatching(field, config::kNameRule, "");
}

// Reads an address on which the daemon listens. With port 0 the system chooses
// the port.
endpoint ReadListen(section object) {
  endpoint listen;
  listen.address = ReadAddress(&object);
  if (object.Require("port")) {
    listen.port = static_cast<int>(object.Int("port", 0, kMaxPort, 0));
  }
  return listen;
}

endpoint ReadTarget(section* object) {
  endpoint target;
  if (object->Require("address")) target.address = ReadAddress(object);
  if (object->Require("port")) {
    target.port = static_cast<int>(object->Int("port", 1, kMaxPort, 0));
  }
  return target;
}

tls_files ReadTls(section* parent, const char* name, bool with_ca) {
  tls_files files;
  if (!parent->Has(name)) return files;
  section object = parent->Child(name);
  const auto read = [&object](const char* field) {
    if (!object.Require(field)) return std::string();
    std::string path = object.Text(field, "");
    if (path.empty()) object.Fault(field, "empty", "name a PEM file");
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

source_settings ReadSource(section object) {
  source_settings source;
  if (object.Require("addresses")) {
    object.ForEach("addresses", [&source](section* item) {
      source.addresses.push_back(ReadTarget(item));
    });
    if (source.addresses.empty()) {
      object.Fault("addresses", "no address",
                   "name at least one source server");
    }
  }
  source.prefix = object.Text("prefix", source.prefix);
  if (!IsKeyPrefix(source.prefix)) {
    object.Fault("prefix", "not a key prefix",
                 "use names separated by '/', without one at the ends");
  }
  return source;
}

core::log_level ReadLevel(section object) {
  const std::string name = object.Text("level", "info");
  if (name == "info") return core::log_level::kInfo;
  if (name == "warning") return core::log_level::kWarning;
  if (name == "error") return core::log_level::kError;
  object.Fault("level", "unknown level",
               "write \"info\", \"warning\" or \"error\"");
  return core::log_level::kInfo;
}

limit_settings ReadLimits(section object) {
  const limit_settings max_limits;
  limit_settings limits;
  limits.body_bytes =
      object.Int("body_bytes", 1, max_limits.body_bytes, max_limits.body_bytes);
  limits.header_bytes = object.Int(
      "header_bytes", 1024, max_limits.header_bytes, max_limits.header_bytes);
  limits.calls_in_flight =
      object.Int("calls_in_flight", 1, max_limits.calls_in_flight,
                 max_limits.calls_in_flight);
  limits.links = object.Int("links", 1, max_limits.links, max_limits.links);
  limits.idle_connection_ms =
      object.Int("idle_connection_ms", 100, max_limits.idle_connection_ms,
                 max_limits.idle_connection_ms);
  return limits;
}

core::bootstrap_peer ReadPeer(section* object) {
  core::bootstrap_peer peer;
  peer.vm = ReadName(object, "vm");
  const endpoint target = ReadTarget(object);
  peer.address = target.address;
  peer.port = target.port;
  return peer;
}

daemon_settings ReadRoot(section root) {
  daemon_settings settings;
  settings.vm = ReadName(&root, "vm");
  settings.zone = ReadName(&root, "zone");
  if (root.Require("http")) settings.http = ReadListen(root.Child("http"));
  if (root.Require("link")) settings.link = ReadListen(root.Child("link"));
  if (root.Require("admin")) settings.admin = ReadListen(root.Child("admin"));
  if (root.Require("source")) {
    settings.source = ReadSource(root.Child("source"));
  }
  root.ForEach("bootstrap_peers", [&settings](section* item) {
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
    settings = ReadRoot(section(&*root, "", &sink));
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
