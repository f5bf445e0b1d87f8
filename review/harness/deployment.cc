#include "deployment.h"

#include <event2/event.h>
#include <event2/http.h>
#include <event2/util.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>

namespace pimentohall::review {
namespace {

using nlohmann::json;

// The command of the daemon's role in deploy/system.toml.
constexpr const char* kDaemon = "target/pimentohalld";
constexpr const char* kDaemonArgument = "--platform";
// The site's store has 20 s of history.
constexpr seconds kHistory(20);
constexpr std::size_t kPageItems = 500;
constexpr std::size_t kPageBytes = 1000 * 1000;
constexpr int kMaxCallers = 4000;  // Connections to one daemon.
constexpr int kLogMode = 0644;

std::string EncodeBase64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  text.reserve((bytes.size() + 2) / 3 * 4);
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      const std::uint8_t byte = i + j < bytes.size() ? bytes[i + j] : 0;
      group = group << 8 | byte;
    }
    for (std::size_t j = 0; j < 4; ++j) {
      const bool is_padding = i + j > bytes.size();
      text.push_back(is_padding ? '=' : kDigits[group >> (18 - 6 * j) & 63]);
    }
  }
  return text;
}

std::string Value(const std::map<std::string, std::string>& query,
                  const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() ? "" : found->second;
}

std::map<std::string, std::string> ParseQuery(const std::string& target) {
  std::map<std::string, std::string> query;
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t end = target.find('&', at + 1);
    const std::string field = target.substr(at + 1, end - at - 1);
    const std::size_t equals = field.find('=');
    char* const decoded =
        evhttp_uridecode(field.substr(equals + 1).c_str(), 0, nullptr);
    query[field.substr(0, equals)] = decoded;
    std::free(decoded);
    at = end;
  }
  return query;
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

bool CanBind(const std::string& address, int port) {
  const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_storage where{};
  int size = sizeof(where);
  const std::string text = address + ":" + std::to_string(port);
  evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr*>(&where),
                             &size);
  const bool bound = bind(probe, reinterpret_cast<sockaddr*>(&where),
                          sizeof(sockaddr_in)) == 0;
  close(probe);
  return bound;
}

}  // namespace

// ---------------------------------------------------------------------------
// recorder

recorder::recorder(const net::event_loop& loop, const std::string& file)
    : loop_(loop), start_(loop.Now()), file_(std::fopen(file.c_str(), "we")) {}

recorder::~recorder() {
  if (file_ != nullptr) std::fclose(file_);
}

double recorder::SecondsAt(instant time) const {
  return std::chrono::duration<double>(time - start_).count();
}

void recorder::Write(const std::string& line) {
  if (file_ == nullptr) return;
  std::fprintf(file_, "%8.3f %s\n", SecondsAt(loop_.Now()), line.c_str());
  std::fflush(file_);
}

// ---------------------------------------------------------------------------
// platform_store

bool platform_store::Listen(int vm, const net::endpoint& address) {
  auto server = std::make_unique<stream::server>(
      loop_, timers_, stream::server_options{address, {}, {}});
  server->on_request = [this, vm](const call_ptr& call,
                                  const stream::message_head& head) {
    call->on_end = [this, vm, call, target = head.target] {
      Serve(vm, call, target);
    };
  };
  const bool listening = server->Listen().has_value();
  servers_[vm] = std::move(server);
  return listening;
}

instant platform_store::Put(const std::string& key, const std::string& value) {
  item& held = items_[key];
  held.value = value;
  held.revision = ++revision_;
  if (held.created == 0) held.created = revision_;
  history_.push_back({loop_.Now(), key, revision_, false, held});
  record_.Write("store: " + key + " written, revision " +
                std::to_string(revision_) + ", " +
                std::to_string(value.size()) + " bytes");
  Notify();
  return loop_.Now();
}

instant platform_store::Remove(const std::string& key) {
  if (items_.erase(key) != 0) {
    history_.push_back({loop_.Now(), key, ++revision_, true, {}});
    record_.Write("store: " + key + " removed, revision " +
                  std::to_string(revision_));
    Notify();
  }
  return loop_.Now();
}

std::pair<std::map<std::string, platform_store::item>, std::uint64_t>
platform_store::ItemsBefore(milliseconds age) const {
  if (age.count() == 0) return {items_, revision_};
  std::map<std::string, item> items;
  std::uint64_t revision = 0;
  for (const change& each : history_) {
    if (each.at > loop_.Now() - age) break;
    revision = each.revision;
    if (each.removed) {
      items.erase(each.key);
    } else {
      items[each.key] = each.what;
    }
  }
  return {std::move(items), revision};
}

void platform_store::Serve(int vm, const call_ptr& call,
                           const std::string& target) {
  const auto query = ParseQuery(target);
  if (StartsWith(target, "/api/kv-range")) {
    ServeRange(vm, call, query);
  } else if (StartsWith(target, "/api/kv-watch")) {
    ServeWatch(vm, call, query);
  } else {
    Reply(vm, call, 404, json::object());
  }
}

void platform_store::ServeRange(
    int vm, const call_ptr& call,
    const std::map<std::string, std::string>& query) {
  const std::string prefix = Value(query, "prefix");
  const std::string after = Value(query, "after");
  const bool may_lag = Value(query, "allowStale") == "1" && staleness;
  const milliseconds age =
      may_lag ? staleness(vm, prefix, after) : milliseconds(0);
  const auto [held, revision] = ItemsBefore(age);
  json items = json::array();
  std::size_t bytes = 0;
  bool truncated = false;
  std::string keys;
  for (const auto& [key, each] : held) {
    if (!StartsWith(key, prefix) || (!after.empty() && key <= after)) continue;
    const std::string text = EncodeBase64(each.value);
    const bool is_full =
        items.size() >= kPageItems ||
        (!items.empty() && bytes + each.value.size() > kPageBytes);
    if (is_full) {
      truncated = true;
      break;
    }
    bytes += each.value.size();
    keys += " " + key + "@" + std::to_string(each.revision);
    items.push_back({{"key", key},
                     {"value", text},
                     {"revision", each.revision},
                     {"createRevision", each.created},
                     {"lease", 0}});
  }
  record_.Write("store: vm " + std::to_string(vm) + " reads " + prefix +
                (after.empty() ? "" : " after " + after) + ", " +
                std::to_string(age.count()) +
                " ms old:" + (items.size() > 8 ? " many" : keys) +
                (truncated ? ", truncated" : ""));
  Reply(vm, call, 200,
        {{"items", items}, {"truncated", truncated}, {"asOf", revision}});
}

void platform_store::ServeWatch(
    int vm, const call_ptr& call,
    const std::map<std::string, std::string>& query) {
  auto added = std::make_shared<watch>();
  added->call = call;
  added->prefix = Value(query, "prefix");
  added->after = std::strtoull(Value(query, "after").c_str(), nullptr, 10);
  added->server = vm;
  if (added->after < DroppedRevision()) {
    record_.Write("store: vm " + std::to_string(vm) + " watches " +
                  added->prefix + " from " + std::to_string(added->after) +
                  ": 410");
    Reply(vm, call, 410, json::object());
    return;
  }
  if (FinishWatch(added, false)) return;
  const milliseconds wait(std::atoi(Value(query, "waitMs").c_str()));
  call->on_closed = [this, added](stream::end_reason) {
    added->timer.disconnect();
    watches_.remove(added);
  };
  added->timer = timers_.After(wait, sigc::slot<void()>([this, added] {
                                 watches_.remove(added);
                                 FinishWatch(added, true);
                               }));
  watches_.push_back(std::move(added));
}

std::uint64_t platform_store::DroppedRevision() const {
  std::uint64_t dropped = 0;
  for (const change& each : history_) {
    if (each.at > loop_.Now() - kHistory) break;
    dropped = each.revision;
  }
  return dropped;
}

std::set<int> platform_store::UpstreamWatchers() const {
  std::set<int> vms;
  for (const auto& each : watches_) {
    if (StartsWith(each->prefix, "servers/")) vms.insert(each->server);
  }
  return vms;
}

bool platform_store::FinishWatch(const std::shared_ptr<watch>& which,
                                 bool time_over) {
  json events = json::array();
  for (const change& each : history_) {
    const bool is_new = each.revision > which->after;
    if (!is_new || !StartsWith(each.key, which->prefix)) continue;
    json event = {{"key", each.key}, {"revision", each.revision}};
    if (each.removed) {
      event["removed"] = true;
    } else {
      event["value"] = EncodeBase64(each.what.value);
      event["createRevision"] = each.what.created;
      event["lease"] = 0;
    }
    events.push_back(std::move(event));
  }
  if (events.empty() && !time_over) return false;
  which->timer.disconnect();
  Reply(which->server, which->call, 200,
        {{"events", events}, {"asOf", revision_}});
  return true;
}

void platform_store::Notify() {
  const auto waiting = watches_;
  for (const auto& each : waiting) {
    if (FinishWatch(each, false)) watches_.remove(each);
  }
}

void platform_store::Reply(int vm, const call_ptr& call, int status,
                           const json& body) {
  const std::string text = body.dump();
  stream::message_head head;
  head.status = status;
  head.headers = {{"Content-Type", "application/json"}};
  head.framing = stream::body_framing::kLength;
  head.length = text.size();
  call->SendHead(head);
  call->SendData(text);
  call->SendEnd();
  servers_.at(vm)->FinishRequest(call);
}

// ---------------------------------------------------------------------------
// fleet

fleet::fleet(fleet_options options)
    : options_(std::move(options)),
      timers_(loop_),
      record_(loop_, options_.record),
      store_(loop_, timers_, record_),
      callers_(loop_, timers_,
               {seconds(8), milliseconds(0), seconds(1), kMaxCallers}) {}

fleet::~fleet() {
  for (const auto& each : vms_) {
    if (each->process == 0) continue;
    kill(each->process, SIGKILL);
    waitpid(each->process, nullptr, 0);
  }
}

bool fleet::FindPorts() {
  constexpr int kFirst = 11000;
  constexpr int kRange = 20000;
  constexpr int kStep = 10;
  for (int i = 0; i < kRange / kStep; ++i) {
    first_port_ = kFirst + (getpid() * kStep + i * kStep) % kRange;
    bool are_free = true;
    for (const auto& each : vms_) {
      for (int offset = 0; offset < kPorts; ++offset) {
        are_free = are_free && CanBind(each->address, first_port_ + offset);
      }
    }
    if (are_free) return true;
  }
  return false;
}

bool fleet::Start(const json& configuration) {
  for (std::size_t i = 0; i < options_.services.size(); ++i) {
    auto added = std::make_unique<vm>();
    added->index = static_cast<int>(i);
    added->address = "127." + std::to_string(2 + getpid() % 250) + ".0." +
                     std::to_string(1 + i);
    added->upstream_id = "i-" + std::to_string(i);
    vms_.push_back(std::move(added));
  }
  if (!FindPorts()) return false;
  for (const auto& each : vms_) {
    if (!OpenUpstream(each.get())) return false;
    if (!store_.Listen(each->index, {each->address, Port(kStore)})) {
      return false;
    }
    store_.Put(
        "servers/" + each->upstream_id,
        json{{"service", options_.services[each->index]},
             {"address", each->address + ":" + std::to_string(Port(kUpstream))},
             {"zone", options_.zones[each->index]},
             {"version", "v1"},
             {"slots", options_.slots},
             {"state", "ready"},
             {"warmupLeftMs", 0},
             {"sequence", 1},
             {"born", 1700000000000 + each->index}}
            .dump());
    WriteSettings(each->index, options_.services[each->index]);
  }
  store_.Put("op/config", configuration.dump());
  return std::all_of(vms_.begin(), vms_.end(), [this](const auto& each) {
    return StartDaemon(each->index);
  });
}

void fleet::WriteSettings(int vm, const std::string& service) {
  const auto& at = *vms_[vm];
  const auto address = [&](port which) {
    return at.address + ":" + std::to_string(Port(which));
  };
  json zones = json::object();
  for (const std::string& zone : options_.zones) zones[zone] = "r";
  const json settings = {
      {"name", "vm-" + std::to_string(vm)},
      {"zone", options_.zones[vm]},
      {"zones", zones},
      {"service", service},
      {"callers", address(kCallers)},
      {"peers", address(kPeers)},
      {"ready", address(kReady)},
      {"upstream", address(kUpstream)},
      {"source", address(kStore)},
      {"news_port", Port(kNews)},
      {"admin_port", Port(kAdmin)},
      {"bounds",
       {"contactMs=3000", "drainMs=2000", "graceS=6", "lossSlackMs=200",
        "applyMs=2000", "retryBudgetRatio=0.2", "budgetWindowS=10",
        "retrySlack=56", "evacMs=5000"}}};
  std::ofstream(options_.folder + "/vm-" + std::to_string(vm) + ".json")
      << settings.dump(1) << "\n";
}

bool fleet::StartDaemon(int vm) {
  const std::string name = options_.folder + "/vm-" + std::to_string(vm);
  const std::string settings = name + ".json";
  const std::string log_name = name + ".log";
  const pid_t parent = getpid();
  const pid_t id = fork();
  if (id == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(1);
    const int log =
        open(log_name.c_str(), O_WRONLY | O_CREAT | O_APPEND, kLogMode);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    setenv("PIMENTOHALL_NODE_FILE", settings.c_str(), 1);
    execl(kDaemon, kDaemon, kDaemonArgument, nullptr);
    _exit(1);
  }
  vms_[vm]->process = std::max(id, 0);
  record_.Write("daemon " + std::to_string(vm) + " started");
  return id > 0;
}

void fleet::Signal(int vm, int signal) {
  record_.Write("signal " + std::to_string(signal) + " to daemon " +
                std::to_string(vm));
  if (vms_[vm]->process != 0) kill(vms_[vm]->process, signal);
}

instant fleet::RemoveEntry(int vm) {
  return store_.Remove("servers/" + vms_[vm]->upstream_id);
}

bool fleet::HasEnded(int vm) {
  pid_t& process = vms_[vm]->process;
  int status = 0;
  if (process != 0 && waitpid(process, &status, WNOHANG) == process) {
    process = 0;
    record_.Write("daemon " + std::to_string(vm) + " ended, " +
                  (WIFSIGNALED(status)
                       ? "signal " + std::to_string(WTERMSIG(status))
                       : "status " + std::to_string(WEXITSTATUS(status))));
  }
  return process == 0;
}

void fleet::RunFor(milliseconds time) {
  RunUntil([] { return false; }, time);
}

bool fleet::RunUntil(const std::function<bool()>& done, milliseconds most) {
  bool over = false;
  auto end = timers_.After(most, sigc::slot<void()>([&over] { over = true; }));
  auto tick = timers_.Every(milliseconds(5), sigc::slot<void()>([] {}));
  while (!over && !done()) event_base_loop(loop_.Base(), EVLOOP_ONCE);
  end.disconnect();
  tick.disconnect();
  return !over || done();
}

// ---------------------------------------------------------------------------
// Upstreams.

bool fleet::OpenUpstream(vm* at) {
  at->upstream = std::make_unique<stream::server>(
      loop_, timers_,
      stream::server_options{{at->address, Port(kUpstream)}, {}, {}});
  at->upstream->on_request =
      [this, at](const std::shared_ptr<stream::server_exchange>& inbound,
                 const stream::message_head& head) {
        OnUpstreamCall(at, inbound, head);
      };
  return at->upstream->Listen().has_value();
}

void fleet::Answer(stream::server* server,
                   const std::shared_ptr<stream::server_exchange>& inbound,
                   int status, net::header_list headers,
                   const std::string& body) {
  stream::message_head head;
  head.status = status;
  head.headers = std::move(headers);
  head.framing = stream::body_framing::kLength;
  head.length = body.size();
  inbound->SendHead(head);
  inbound->SendData(body);
  inbound->SendEnd();
  server->FinishRequest(inbound);
}

void fleet::OnUpstreamCall(
    vm* at, const std::shared_ptr<stream::server_exchange>& inbound,
    const stream::message_head& head) {
  inbound->on_data = [](std::string_view) {};
  const std::string id(net::FindHeader(head.headers, "X-Attempt-Id"));
  if (head.target == "/health") {
    inbound->on_end = [at, inbound] {
      Answer(at->upstream.get(), inbound, 200,
             {{"X-Instance-Id", at->upstream_id}}, "");
    };
    return;
  }
  const net::header echo = {"X-Attempt-Id", id};
  if (net::FindHeader(head.headers, "X-Expected-Instance") != at->upstream_id) {
    inbound->on_end = [at, inbound, echo] {
      Answer(at->upstream.get(), inbound, 421, {echo}, "");
    };
    return;
  }
  if (rejects_early && rejects_early(at->index, id)) {
    record_.Write("upstream " + std::to_string(at->index) + " rejects " + id +
                  " before its body is in");
    Answer(at->upstream.get(), inbound, 503, {echo, {"X-Not-Executed", "1"}},
           "");
    return;
  }
  inbound->on_end = [this, at, inbound, head] { BeginRun(at, inbound, head); };
}

void fleet::BeginRun(vm* at,
                     const std::shared_ptr<stream::server_exchange>& inbound,
                     const stream::message_head& head) {
  auto begun = std::make_shared<run>();
  const auto field = [&head](const char* name) {
    return std::string(net::FindHeader(head.headers, name));
  };
  begun->id = field("X-Attempt-Id");
  begun->vm = at->index;
  begun->service = options_.services[at->index];
  begun->path = head.target;
  begun->caller_service = field("X-Caller-Service");
  begun->tenant = field("X-Tenant-Id");
  begun->began = loop_.Now();
  runs_.push_back(begun);
  record_.Write("upstream " + std::to_string(at->index) + " (" +
                begun->service + ") runs " + begun->id + " " + head.target +
                " tenant=" + begun->tenant +
                " caller=" + begun->caller_service);
  auto timer = std::make_shared<sigc::connection>();
  inbound->on_closed = [this, begun, timer](stream::end_reason) {
    timer->disconnect();
    record_.Write("upstream " + std::to_string(begun->vm) + " drops " +
                  begun->id + ": its connection was closed");
  };
  const milliseconds time = work ? work(head.target) : milliseconds(10);
  *timer = timers_.After(
      time, sigc::slot<void()>([this, at, inbound, begun] {
        begun->ended = loop_.Now();
        std::string body = "answer to " + begun->id;
        if (answer_bytes) {
          body.resize(std::max(body.size(), answer_bytes(begun->path)), '.');
        }
        Answer(at->upstream.get(), inbound, 200,
               {{"X-Attempt-Id", begun->id},
                {"X-Response-Seal", "seal-" + begun->id}},
               body);
      }));
}

// ---------------------------------------------------------------------------
// Callers.

std::shared_ptr<call> fleet::Send(int vm, const request& what) {
  auto sent = std::make_shared<call>();
  sent->id = "c" + std::to_string(++last_call_);
  sent->vm = vm;
  sent->what = what;
  sent->sent = loop_.Now();
  calls_.push_back(sent);
  stream::message_head head;
  head.method = what.method;
  head.target = what.path;
  head.headers = {{"Host", what.host},
                  {"X-Attempt-Id", sent->id},
                  {"X-Deadline-Ms", std::to_string(what.budget_ms)}};
  if (!what.key.empty()) {
    head.headers.emplace_back("Authorization", "Token " + what.key);
  }
  if (what.body_bytes > 0) {
    head.framing = stream::body_framing::kLength;
    head.length = what.body_bytes;
  }
  const auto end = [this, sent](const std::string& how) {
    sent->ended = loop_.Now();
    record_.Write("caller of daemon " + std::to_string(sent->vm) + ": " +
                  sent->id + " " + how);
  };
  stream::exchange_handlers handlers;
  handlers.on_head = [sent](const stream::message_head& answer) {
    sent->status = answer.status;
    sent->sealed = !net::FindHeader(answer.headers, "X-Response-Seal").empty();
  };
  handlers.on_data = [](std::string_view) {};
  handlers.on_end = [sent, end] {
    end("answered " + std::to_string(sent->status));
  };
  handlers.on_failed = [sent, end](stream::failure why) {
    sent->status = 0;
    end(why == stream::failure::kNotSent ? "not sent"
                                         : "ended without an answer");
  };
  record_.Write("caller of daemon " + std::to_string(vm) + ": " + sent->id +
                " sends " + what.method + " " + what.path +
                (what.key.empty() ? "" : " key=" + what.key));
  const auto exchange = callers_.Start({vms_[vm]->address, Port(kCallers)},
                                       head, std::move(handlers));
  if (exchange == nullptr) return sent;
  SendPiece(exchange, sent, 0);
  return sent;
}

void fleet::SendPiece(const std::shared_ptr<stream::exchange>& exchange,
                      const std::shared_ptr<call>& sent, int piece) {
  const request& what = sent->what;
  const auto pieces = static_cast<std::size_t>(what.pieces);
  const auto at = static_cast<std::size_t>(piece);
  const std::size_t begin = what.body_bytes * at / pieces;
  const std::size_t end = what.body_bytes * (at + 1) / pieces;
  exchange->SendData(std::string(end - begin, 'x'));
  if (piece + 1 == what.pieces) {
    exchange->SendEnd();
    return;
  }
  timers_.After(what.piece_gap,
                sigc::slot<void()>([this, exchange, sent, piece] {
                  SendPiece(exchange, sent, piece + 1);
                }));
}

const run* fleet::FindRun(const std::string& id) const {
  for (const auto& each : runs_) {
    if (each->id == id) return each.get();
  }
  return nullptr;
}

int RunCase(int argc, char** argv, fleet_options options,
            int (*run_case)(const fleet_options& options, bool trouble)) {
  constexpr int kArguments = 4;
  if (argc != kArguments) return kCouldNotRun;
  options.folder = argv[1];
  options.record = argv[2];
  return run_case(options, std::strcmp(argv[3], "0") != 0);
}

// ---------------------------------------------------------------------------
// Configurations.

json Route(const std::string& name, const std::string& prefix,
           const std::string& service, const std::string& kind, int timeout_ms,
           int aim_ms) {
  return {{"name", name},       {"host", kHost},    {"prefix", prefix},
          {"service", service}, {"kind", kind},     {"timeoutMs", timeout_ms},
          {"aimMs", aim_ms},    {"maxAttempts", 2}, {"priority", 1}};
}

json Service(const std::string& name) {
  return {{"name", name},
          {"healthPath", "/health"},
          {"maxConnections", 110},
          {"warmupS", 3},
          {"warmupPerS", 13}};
}

json Configuration(int version, const std::vector<json>& routes,
                   const std::vector<json>& services) {
  return {{"version", "r" + std::to_string(version)},
          {"routes", routes},
          {"services", services},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 8000000},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}},
          {"tenants",
           {{{"name", "shore"}, {"apiKeys", {"key-of-shore"}}},
            {{"name", "inland"}, {"apiKeys", {"key-of-inland"}}}}}};
}

}  // namespace pimentohall::review
