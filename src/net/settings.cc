// Settings of the daemon, as docs/settings.md lists them.

#include <event2/util.h>
#include <sys/socket.h>

#include <algorithm>
#include <fstream>
#include <sstream>

#include "net/located_json.h"
#include "pimentohall/net.h"

namespace pimentohall::net {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxSettingsBytes = 1024 * 1024;
constexpr int kMaxPort = 65535;

bool IsIpNumber(const std::string& text) {
  sockaddr_storage parsed{};
  int size = sizeof(parsed);
  // The parser also takes "1.2.3.4:80" and "[::1]:80".
  if (std::count(text.begin(), text.end(), ':') == 1) return false;
  if (text.find('[') != std::string::npos) return false;
  return evutil_parse_sockaddr_port(
             text.c_str(), reinterpret_cast<sockaddr*>(&parsed), &size) == 0;
}

bool IsName(const std::string& text, std::string_view extra) {
  if (text.empty() || text.size() > config::kMaxNameBytes) return false;
  return std::all_of(text.begin(), text.end(), [extra](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || extra.find(c) != std::string_view::npos;
  });
}

// What is common to all sections of one document.
struct fault_list {
  const located_json* source;
  std::string document;
  config::faults faults;

  void Add(const std::string& pointer, std::string problem, std::string fix) {
    faults.push_back({document, source->LineOf(pointer), pointer,
                      std::move(problem), std::move(fix)});
  }
};

// One object of the settings. Fields that no one asked for are faults.
class section {
 public:
  // `value` null: the section is absent, and all its fields have defaults.
  section(const json* value, std::string pointer, fault_list* faults)
      : value_(value), pointer_(std::move(pointer)), faults_(faults) {
    if (value_ != nullptr && !value_->is_object()) {
      faults_->Add(pointer_, "not an object", "write {...}");
      value_ = nullptr;
    }
  }
  ~section() {
    if (value_ == nullptr) return;
    for (const auto& item : value_->items()) {
      const bool known =
          std::find(known_.begin(), known_.end(), item.key()) != known_.end();
      if (!known) {
        faults_->Add(pointer_ + "/" + item.key(), "unknown field",
                     "remove it or correct its name");
      }
    }
  }
  section(const section&) = delete;
  section& operator=(const section&) = delete;

  section Child(const char* name) {
    return {Find(name), pointer_ + "/" + name, faults_};
  }
  bool Has(const char* name) { return Find(name) != nullptr; }

  std::string Text(const char* name, std::string fallback) {
    const json* field = Find(name);
    if (field == nullptr) return fallback;
    if (field->is_string()) return field->get<std::string>();
    Fault(name, "not a string", "write \"...\"");
    return fallback;
  }
  std::string Name(const char* name) {
    if (!Require(name)) return {};
    std::string text = Text(name, "");
    if (!IsName(text, "._-")) {
      Fault(name, "not a name",
            "use 1 to 128 letters, digits, '.', '_' or '-'");
    }
    return text;
  }
  std::int64_t Int(const char* name, std::int64_t low, std::int64_t high,
                   std::int64_t fallback) {
    const json* field = Find(name);
    if (field == nullptr) return fallback;
    const bool fits = field->is_number_integer() &&
                      (!field->is_number_unsigned() ||
                       field->get<std::uint64_t>() <= INT64_MAX) &&
                      field->get<std::int64_t>() >= low &&
                      field->get<std::int64_t>() <= high;
    if (fits) return field->get<std::int64_t>();
    Fault(name, "out of range",
          "write a whole number from " + std::to_string(low) + " to " +
              std::to_string(high));
    return fallback;
  }
  // Calls `read(section)` for each object in the array.
  template <typename step>
  void Each(const char* name, step read) {
    const json* field = Find(name);
    if (field == nullptr) return;
    if (!field->is_array()) return Fault(name, "not an array", "write [...]");
    for (std::size_t i = 0; i < field->size(); ++i) {
      section item(&(*field)[i],
                   pointer_ + "/" + name + "/" + std::to_string(i), faults_);
      read(&item);
    }
  }
  bool Require(const char* name) {
    if (Has(name)) return true;
    if (value_ != nullptr || pointer_.empty()) {
      faults_->Add(pointer_, std::string("field \"") + name + "\" is missing",
                   std::string("add \"") + name + "\"");
    }
    return false;
  }
  void Fault(const char* name, std::string problem, std::string fix) {
    faults_->Add(pointer_ + "/" + name, std::move(problem), std::move(fix));
  }

 private:
  const json* Find(const char* name) {
    known_.emplace_back(name);
    if (value_ == nullptr) return nullptr;
    const auto found = value_->find(name);
    return found == value_->end() ? nullptr : &*found;
  }

  const json* value_;
  const std::string pointer_;
  fault_list* const faults_;
  std::vector<std::string> known_;
};

std::string ReadAddress(section* from, std::string fallback) {
  std::string address = from->Text("address", std::move(fallback));
  if (!IsIpNumber(address)) {
    from->Fault("address", "not an IP number",
                "write an address such as \"127.0.0.1\"");
  }
  return address;
}

// Where the daemon listens. Port 0 lets the system choose.
endpoint ReadListen(section from) {
  endpoint where;
  where.address = ReadAddress(&from, "127.0.0.1");
  if (from.Require("port")) {
    where.port = static_cast<int>(from.Int("port", 0, kMaxPort, 0));
  }
  return where;
}

endpoint ReadTarget(section* from) {
  endpoint where;
  if (from->Require("address")) where.address = ReadAddress(from, "127.0.0.1");
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
  const bool plain = IsName(source.prefix, "._-/") &&
                     source.prefix.front() != '/' &&
                     source.prefix.back() != '/';
  if (!plain) {
    from.Fault("prefix", "not a key prefix",
               "use letters, digits, '.', '_', '-' and inner '/'");
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
  peer.vm = from->Name("vm");
  const endpoint where = ReadTarget(from);
  peer.address = where.address;
  peer.port = where.port;
  return peer;
}

daemon_settings ReadAll(section root) {
  daemon_settings settings;
  settings.vm = root.Name("vm");
  settings.zone = root.Name("zone");
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

std::string FaultText(const config::fault& fault) {
  return fault.document + ":" + std::to_string(fault.line) + ": " +
         fault.field + ": " + fault.problem + "; " + fault.fix;
}

tl::expected<daemon_settings, config::faults> ParseSettings(
    std::string_view bytes, const std::string& document) {
  auto parsed = ParseLocatedJson(bytes, document);
  if (!parsed) return tl::make_unexpected(config::faults{parsed.error()});
  fault_list faults{&*parsed, document, {}};
  for (const std::string& pointer : parsed->repeated) {
    faults.Add(pointer, "repeated field", "keep one of them");
  }
  daemon_settings settings = ReadAll(section(&parsed->root, "", &faults));
  if (!faults.faults.empty()) return tl::make_unexpected(faults.faults);
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
  if (bytes.str().size() > kMaxSettingsBytes) {
    return fail("too large", "keep it under 1 MB");
  }
  return ParseSettings(bytes.str(), path);
}

}  // namespace pimentohall::net
