// hostile_clients: a daemon as a process of its own, with a store, an upstream
// and a crowd of clients that ignore the rules. Checks that the daemon lives,
// that its memory and descriptors stay within the limits of its settings, and
// that an ordinary request is answered while the crowd is there and afterwards.
// Nothing is checked that depends on the machine's speed.
//
//   hostile_clients --programs build --case head_without_end
//
// Exit code 0: all held; 1: not; 2: the case couldn't run.

#include <sys/resource.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "fleet/child_process.h"
#include "fleet/ports.h"
#include "hostile/crowd.h"
#include "pimentohall/stream.h"
#include "store_standin/store.h"

namespace pimentohall::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Limits of the daemon under test. A daemon at rest takes about 10 MB.
constexpr int kMemoryMb = 64;
constexpr int kMaxDescriptors = 256;
constexpr int kClients = 300;
constexpr int kMaxHeaderBytes = 16384;
constexpr std::size_t kLargeAnswerBytes = 1024 * 1024;
constexpr milliseconds kCrowdTime(4000);
constexpr milliseconds kRetryPause(100);
// An ordinary request that isn't answered by then counts as never answered.
constexpr milliseconds kPatience(90000);
constexpr milliseconds kStartTime(30000);
constexpr milliseconds kSamplePeriod(50);
constexpr char kAddress[] = "127.0.0.1";

// Memory under a sanitizer isn't that of the daemon.
#if defined(__SANITIZE_ADDRESS__)
constexpr bool kChecksMemory = false;
#else
constexpr bool kChecksMemory = true;
#endif

enum class listener { kCallers, kPeers, kReady, kAdmin };

struct hostile_case {
  const char* name;
  listener at;
  client_plan plan;
  // What the upstream answers to `kEndlessPath`: the opening once, and then the
  // piece again and again.
  std::string answer_opening{};
  std::string answer_piece{};
};

constexpr char kEndlessPath[] = "/read/endless";

std::string Repeat(std::string_view text, std::size_t times) {
  std::string repeated;
  repeated.reserve(text.size() * times);
  for (std::size_t i = 0; i < times; ++i) repeated.append(text);
  return repeated;
}

std::string Get(const std::string& path, const std::string& headers = "") {
  return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n" + headers;
}

std::string Post(const std::string& path, const std::string& headers) {
  return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\n" + headers + "\r\n";
}

const std::vector<hostile_case>& Cases() {
  constexpr milliseconds kSlow(100);
  const std::string tiny_headers = Repeat("a:\r\n", 256);
  const std::string endless_chunks =
      Post("/read/c", "Transfer-Encoding: chunked\r\n");
  // Just below http-parser's own limit of 80 KB, and then silence.
  const std::string many_headers = Get("/read/h") + Repeat("a:\r\n", 19000);
  const std::string half_body =
      Post("/read/b", "Content-Length: 524288\r\nX-Deadline-Ms: 600000\r\n") +
      std::string(500000, 'b');
  const std::string ask_endless =
      Get(kEndlessPath, "X-Deadline-Ms: 60000\r\n\r\n");
  static const std::vector<hostile_case> kCases = {
      {"head_over_limit", listener::kCallers, {many_headers, ""}},
      {"head_without_end", listener::kCallers, {Get("/read/h"), tiny_headers}},
      {"head_in_small_pieces",
       listener::kCallers,
       {Get("/read/h"), Repeat("a:\r\n", 64), milliseconds(20)}},
      {"header_value_without_end",
       listener::kCallers,
       {Get("/read/h", "X-Long: "), std::string(16384, 'v')}},
      {"target_without_end",
       listener::kCallers,
       {"GET /read/", std::string(16384, 't')}},
      {"empty_lines_without_end",
       listener::kCallers,
       {"", Repeat("\r\n", 4096)}},
      {"empty_lines_slowly",
       listener::kCallers,
       {"", Repeat("\r\n", 8), kSlow}},
      {"chunk_extension_without_end",
       listener::kCallers,
       {endless_chunks + "1;", std::string(16384, 'e')}},
      {"trailers_without_end",
       listener::kCallers,
       {endless_chunks + "0\r\n", tiny_headers}},
      {"chunks_without_end",
       listener::kCallers,
       {endless_chunks, Repeat("1\r\nx\r\n", 1024)}},
      {"body_byte_by_byte",
       listener::kCallers,
       {Post("/read/b", "Content-Length: 1000000\r\n"), "b", kSlow}},
      {"half_bodies", listener::kCallers, {half_body, ""}},
      {"silent_connections", listener::kCallers, {"", ""}},
      {"half_heads", listener::kCallers, {Get("/read/h"), ""}},
      {"answers_unread",
       listener::kCallers,
       {Get("/read/large", "X-Deadline-Ms: 600000\r\n\r\n"), "", {}, false}},
      {"sent_ahead_unread",
       listener::kCallers,
       {"",
        Repeat(Get("/read/s", "X-Deadline-Ms: 600000\r\n\r\n"), 64),
        {},
        false}},
      {"resets_in_heads",
       listener::kCallers,
       {Get("/read/h"), tiny_headers, kSlow, true, milliseconds(200)}},
      {"resets_in_bodies",
       listener::kCallers,
       {half_body, "", {}, true, milliseconds(200)}},
      {"not_http", listener::kCallers, {"", std::string(4096, '\x16')}},
      {"answer_interim_without_end",
       listener::kCallers,
       {ask_endless, ""},
       "",
       Repeat("HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n", 256)},
      {"answer_head_without_end",
       listener::kCallers,
       {ask_endless, ""},
       "HTTP/1.1 200 OK\r\n",
       tiny_headers},
      {"answer_trailers_without_end",
       listener::kCallers,
       {ask_endless, ""},
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
       tiny_headers},
      {"answer_body_without_end",
       listener::kCallers,
       {ask_endless, "", {}, false},
       "HTTP/1.1 200 OK\r\n\r\n",
       std::string(16384, 'b')},
      {"peers_silent", listener::kPeers, {"", ""}},
      {"peers_head_over_limit", listener::kPeers, {many_headers, ""}},
      {"peers_half_bodies", listener::kPeers, {half_body, ""}},
      {"ready_silent", listener::kReady, {"", ""}},
      {"ready_head_without_end",
       listener::kReady,
       {Get("/api/ready"), tiny_headers}},
      {"admin_silent", listener::kAdmin, {"", ""}},
      {"admin_unread",
       listener::kAdmin,
       {"", Repeat(Get("/metrics", "\r\n"), 64), {}, false}},
  };
  return kCases;
}

// Resident memory at its peak, in MB.
int PeakMemoryMb(pid_t id) {
  std::ifstream status("/proc/" + std::to_string(id) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.rfind("VmHWM:", 0) == 0) return std::stoi(line.substr(6)) / 1024;
  }
  return 0;
}

int CountDescriptors(pid_t id) {
  std::error_code error;
  const std::filesystem::directory_iterator open(
      "/proc/" + std::to_string(id) + "/fd", error);
  if (error) return 0;
  return static_cast<int>(std::distance(begin(open), end(open)));
}

class hostile_test {
 public:
  explicit hostile_test(std::string programs)
      : programs_(std::move(programs)), store_(loop_.Base()) {}

  // Returns the exit code.
  int Run(const hostile_case& played) {
    played_ = &played;
    folder_ = "/tmp/pimentohall-hostile-" + std::to_string(getpid());
    std::filesystem::create_directories(folder_);
    if (!SetUp() || !IsAnswered(kStartTime)) {
      std::printf("%s: the daemon didn't start; log: %s\n", played.name,
                  LogFile().c_str());
      return 2;
    }
    const int memory_at_rest = PeakMemoryMb(daemon_.Id());
    bool answered_meanwhile = false;
    int opened = 0;
    {
      crowd clients(loop_, timers_, {kAddress, PortOf(played.at)}, played.plan);
      clients.Start(kClients);
      RunFor(kCrowdTime);
      answered_meanwhile = IsAnswered(kPatience);
      opened = clients.Opened();
    }
    const bool answered_afterwards = IsAnswered(kPatience);
    const bool alive = daemon_.IsRunning();
    const int memory = alive ? PeakMemoryMb(daemon_.Id()) : -1;
    const bool holds = alive && answered_meanwhile && answered_afterwards &&
                       (!kChecksMemory || memory <= kMemoryMb) &&
                       most_descriptors_ < kMaxDescriptors;
    std::printf(
        "%s: %s; alive %d, answered meanwhile %d, afterwards %d, memory %d MB "
        "(rest %d, limit %d), descriptors %d (limit %d), connections %d\n",
        played.name, holds ? "held" : "BROKEN", alive, answered_meanwhile,
        answered_afterwards, memory, memory_at_rest, kMemoryMb,
        most_descriptors_, kMaxDescriptors, opened);
    daemon_.Kill();
    if (holds) std::filesystem::remove_all(folder_);
    return holds ? 0 : 1;
  }

 private:
  enum port { kCallers, kPeers, kNews, kReady, kAdmin, kUpstream, kPorts };

  std::string LogFile() const { return folder_ + "/daemon.log"; }

  int PortOf(listener at) const {
    switch (at) {
      case listener::kCallers:
        return first_port_ + kCallers;
      case listener::kPeers:
        return first_port_ + kPeers;
      case listener::kReady:
        return first_port_ + kReady;
      case listener::kAdmin:
        return first_port_ + kAdmin;
    }
    return 0;
  }

  bool SetUp() {
    const auto ports = FindFreePorts(kPorts);
    if (!ports) return false;
    first_port_ = *ports;
    upstream_ = std::make_unique<stream::server>(
        loop_, timers_,
        stream::server_options{{kAddress, first_port_ + kUpstream}, {}, {}});
    upstream_->on_request =
        [this](const std::shared_ptr<stream::server_exchange>& call,
               const stream::message_head& head) {
          call->on_end = [this, call, head] { AnswerAsUpstream(call, head); };
        };
    if (!upstream_->Listen()) return false;
    PutDocuments();
    const std::string settings_file = folder_ + "/settings.json";
    const auto at = [this](port which) {
      return std::string(kAddress) + ":" + std::to_string(first_port_ + which);
    };
    const json settings = {
        {"name", "vm-1"},
        {"zone", "zone-0"},
        {"zones", {{"zone-0", "r"}}},
        {"service", "ledger"},
        {"callers", at(kCallers)},
        {"peers", at(kPeers)},
        {"ready", at(kReady)},
        {"upstream", at(kUpstream)},
        {"source", std::string(kAddress) + ":" + std::to_string(store_.Port())},
        {"news_port", first_port_ + kNews},
        {"admin_port", first_port_ + kAdmin},
        {"memory_mb", kMemoryMb},
        {"max_descriptors", kMaxDescriptors},
        {"bounds", {"graceS=6"}}};
    std::ofstream(settings_file) << settings.dump(1) << "\n";
    setenv("PIMENTOHALL_NODE_FILE", settings_file.c_str(), 1);
    auto started = child_process::Start(
        {programs_ + "/pimentohalld", "--platform"}, LogFile());
    if (!started) return false;
    daemon_ = std::move(*started);
    const rlimit descriptors = {kMaxDescriptors, kMaxDescriptors};
    if (prlimit(daemon_.Id(), RLIMIT_NOFILE, &descriptors, nullptr) != 0) {
      return false;
    }
    sample_timer_ =
        timers_.Every(kSamplePeriod, sigc::slot<void()>([this] {
                        most_descriptors_ = std::max(
                            most_descriptors_, CountDescriptors(daemon_.Id()));
                      }));
    return true;
  }

  void PutDocuments() {
    const json config = {{"version", "r1"},
                         {"routes",
                          {{{"name", "read"},
                            {"host", "a.example"},
                            {"prefix", "/read/"},
                            {"kind", "idempotent"},
                            {"timeoutMs", 600000},
                            {"aimMs", 400},
                            {"priority", 0},
                            {"maxAttempts", 2},
                            {"service", "ledger"}}}},
                         {"services",
                          {{{"name", "ledger"},
                            {"healthPath", "/health"},
                            {"maxConnections", 100},
                            {"warmupS", 0},
                            {"warmupPerS", 0}}}},
                         {"limits",
                          {{"maxHeaderBytes", kMaxHeaderBytes},
                           {"maxBodyBytes", 8000000},
                           {"headerTimeoutMs", 60000},
                           {"idleTimeoutMs", 60000}}}};
    const json entry = {
        {"service", "ledger"},
        {"address",
         std::string(kAddress) + ":" + std::to_string(first_port_ + kUpstream)},
        {"zone", "zone-0"},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"warmupLeftMs", 0},
        {"sequence", 1},
        {"born", 1700000000000}};
    store_.Put("op/config", config.dump());
    store_.Put("servers/i-1", entry.dump());
  }

  // Sends the bytes as they are.
  void AnswerWithoutEnd(const std::shared_ptr<stream::server_exchange>& call) {
    const auto send_piece = [this, raw = call->Connection().get()] {
      raw->SendData(played_->answer_piece);
    };
    call->on_drained = send_piece;
    call->Connection()->SendData(played_->answer_opening);
    send_piece();
  }

  void AnswerAsUpstream(const std::shared_ptr<stream::server_exchange>& call,
                        const stream::message_head& request) {
    if (request.target == kEndlessPath) {
      AnswerWithoutEnd(call);
      return;
    }
    const bool is_large = request.target == "/read/large";
    const std::string body =
        is_large ? std::string(kLargeAnswerBytes, 'l') : "hello";
    stream::message_head head;
    head.status = 200;
    head.headers = {{"X-Attempt-Id", std::string(net::FindHeader(
                                         request.headers, "X-Attempt-Id"))},
                    {"X-Instance-Id", "i-1"},
                    {"X-Warmup-Ms", "0"}};
    head.framing = stream::body_framing::kLength;
    head.length = body.size();
    call->SendHead(head);
    call->SendData(body);
    call->SendEnd();
    upstream_->FinishRequest(call);
  }

  void RunFor(milliseconds time) {
    timers_.After(time, sigc::slot<void()>([this] { loop_.Stop(); }));
    loop_.Run();
  }

  // Sends an ordinary request, again and again until one is answered 200.
  bool IsAnswered(milliseconds patience) {
    const core::instant end = loop_.Now() + patience;
    while (loop_.Now() < end && daemon_.IsRunning()) {
      if (AskOnce()) return true;
      RunFor(kRetryPause);
    }
    return false;
  }

  bool AskOnce() {
    stream::client_pool pool(loop_, timers_,
                             {std::chrono::seconds(1), std::chrono::seconds(5),
                              std::chrono::seconds(5), 1});
    stream::message_head head;
    head.method = "GET";
    head.target = "/read/ordinary";
    head.headers = {{"Host", "a.example"},
                    {"X-Attempt-Id", "ordinary-" + std::to_string(++asked_)},
                    {"X-Deadline-Ms", "5000"}};
    auto status = std::make_shared<int>(0);
    auto done = std::make_shared<bool>(false);
    stream::exchange_handlers handlers;
    handlers.on_head = [status](const stream::message_head& answer) {
      *status = answer.status;
    };
    handlers.on_end = [this, done] {
      *done = true;
      loop_.Stop();
    };
    handlers.on_failed = [this, status, done](stream::failure) {
      *status = 0;
      *done = true;
      loop_.Stop();
    };
    const auto exchange = pool.Start({kAddress, first_port_ + kCallers}, head,
                                     std::move(handlers));
    exchange->SendEnd();
    auto late = timers_.After(std::chrono::seconds(6),
                              sigc::slot<void()>([this] { loop_.Stop(); }));
    while (!*done && late.connected()) loop_.Run();
    late.disconnect();
    exchange->Cancel();
    return *done && *status == 200;
  }

  std::string programs_;
  std::string folder_;
  const hostile_case* played_ = nullptr;
  net::event_loop loop_;
  net::timer_service timers_{loop_};
  store_standin store_;
  std::unique_ptr<stream::server> upstream_;
  child_process daemon_;
  sigc::connection sample_timer_;
  int first_port_ = 0;
  int most_descriptors_ = 0;
  int asked_ = 0;
};

int Main(int argc, char** argv) {
  TCLAP::CmdLine line("Crowds of clients that ignore the rules");
  TCLAP::ValueArg<std::string> programs("p", "programs", "Folder of programs",
                                        true, "", "DIR", line);
  TCLAP::ValueArg<std::string> name("c", "case", "Case to play", false, "",
                                    "NAME", line);
  TCLAP::SwitchArg list("l", "list", "List the cases", line);
  line.parse(argc, argv);
  if (list.getValue()) {
    for (const hostile_case& each : Cases()) std::printf("%s\n", each.name);
    return 0;
  }
  EndChildrenOnSignals();
  for (const hostile_case& each : Cases()) {
    if (name.getValue() != each.name) continue;
    return hostile_test(programs.getValue()).Run(each);
  }
  std::fprintf(stderr, "no case \"%s\"; --list shows them\n",
               name.getValue().c_str());
  return 2;
}

}  // namespace
}  // namespace pimentohall::testing

int main(int argc, char** argv) {
  return pimentohall::testing::Main(argc, argv);
}
