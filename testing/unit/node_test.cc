// Tests whole daemons against stand-ins: what callers and upstreams observe.

#include <arpa/inet.h>
#include <unistd.h>

#include <algorithm>
#include <deque>
#include <fstream>

#include "node/call_header.h"
#include "node_fixture.h"

namespace pimentohall::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::store_mode;

TEST_CASE(
    "a call is answered in full and attributed to the tenant of its key") {
  node_fleet fleet(2);
  fleet.Start();
  const auto call = fleet.Call(0, "POST", "/write/1?x=2", "the body",
                               {{"Authorization", "Token key-1"},
                                {"X-Tenant-Id", "forged"},
                                {"X-Caller-Service", "forged"},
                                {"X-Pimentohall-Call", "[]"},
                                {"X-Pimentohall-Outcome", "[0]"},
                                {"X-Other", "kept"}});
  CHECK(call->status == 200);
  CHECK(call->body == "hello");
  CHECK(net::FindHeader(call->headers, "X-Response-Seal") == "seal");
  CHECK(net::FindHeader(call->headers, "X-Pimentohall-Outcome").empty());
  REQUIRE(fleet.Runs() == 1);
  const auto& upstream =
      fleet.upstreams[fleet.upstreams[0]->Runs() == 1 ? 0 : 1];
  const stream::message_head& seen = upstream->requests.at(0);
  CHECK(seen.method == "POST");
  CHECK(seen.target == "/write/1?x=2");
  CHECK(upstream->bodies.at(0) == "the body");
  CHECK(net::FindHeader(seen.headers, "X-Tenant-Id") == "t1");
  CHECK(net::FindHeader(seen.headers, "X-Caller-Service") == "service-0");
  CHECK(net::FindHeader(seen.headers, "X-Other") == "kept");
  CHECK(net::FindHeader(seen.headers, "Authorization").empty());
  CHECK(net::FindHeader(seen.headers, "X-Pimentohall-Call").empty());
  const std::string budget(net::FindHeader(seen.headers, "X-Deadline-Ms"));
  CHECK(std::stoi(budget) <= 1500);
  CHECK(std::stoi(budget) > 1000);
}

TEST_CASE("calls that aren't allowed are refused with the matching status") {
  node_fleet fleet(1);
  fleet.StartNode(0);
  // No configuration is known: not 404, not 401.
  fleet.RunFor(milliseconds(100));
  const auto early = fleet.Call(0, "GET", "/read/1");
  CHECK(early->status == 503);
  CHECK_FALSE(net::FindHeader(early->headers, "Retry-After").empty());
  fleet.PutConfig("r1");
  fleet.PutEntry(0);
  fleet.RunFor(milliseconds(800));
  CHECK(fleet.Call(0, "GET", "/read/1")->status == 200);
  CHECK(fleet.Call(0, "GET", "/none/1")->status == 404);
  const std::string wrong_key = "Token key-2";
  CHECK(fleet.Call(0, "GET", "/read/1", "", {{"Authorization", wrong_key}})
            ->status == 401);
  CHECK(fleet.Call(0, "GET", "/read/1", "", {{"X-None", "1"}})->status == 401);
  std::string long_body(1000, 'x');
  while (long_body.size() < 9000000) long_body += long_body;
  CHECK(fleet.Call(0, "PUT", "/write/1", long_body)->status == 413);
}

TEST_CASE("a removed key is refused and an older version is ignored") {
  node_fleet fleet(1);
  fleet.Start();
  fleet.config["tenants"][0]["apiKeys"] = {"key-9"};
  fleet.PutConfig("r3");
  fleet.RunFor(milliseconds(100));
  CHECK(fleet.Call(0, "GET", "/read/1")->status == 401);
  fleet.config["tenants"][0]["apiKeys"] = {"key-1"};
  fleet.PutConfig("r2");
  fleet.RunFor(milliseconds(100));
  CHECK(fleet.Call(0, "GET", "/read/1")->status == 401);
}

// Guards REFUSED and TWICE (further-grown trouble-2, trouble-3): a daemon that
// was started again didn't know the attempts of its earlier process, and
// reported that they hadn't run.
TEST_CASE("a daemon doesn't speak for attempts of its earlier process") {
  node_fleet fleet(2);
  fleet.Start();
  fleet.PutEntry(0, "draining");
  fleet.RunFor(milliseconds(600));
  fleet.upstreams[1]->script =
      [](const std::shared_ptr<stream::server_exchange>&, const std::string&) {
      };
  const auto write = fleet.StartCall(0, "POST", "/write/1", "x");
  REQUIRE(fleet.net.RunUntil([&] { return fleet.Runs() == 1; }));
  fleet.nodes[1].reset();
  fleet.StartNode(1);
  CHECK(fleet.net.RunUntil([&] { return write->ended; }));
  CHECK(write->status == 502);
  CHECK(fleet.Runs() == 1);
}

// Sent ahead on one connection: reads run together, a write waits for the
// answers before it.
TEST_CASE("requests sent ahead are answered in order, and writes run in turn") {
  node_fleet fleet(2);
  fleet.Start();
  std::vector<std::pair<std::string, std::function<void()>>> waiting;
  for (auto& owned : fleet.upstreams) {
    upstream_standin* const upstream = owned.get();
    owned->script = [upstream, &waiting](
                        const std::shared_ptr<stream::server_exchange>& call,
                        const std::string& id) {
      waiting.emplace_back(id, [upstream, call, id] {
        upstream->Answer(call, id, 200, "answer to " + id);
      });
    };
  }
  const auto answer = [&waiting](const std::string& id) {
    for (const auto& [waiting_id, send] : waiting) {
      if (waiting_id == id) send();
    }
  };
  const auto request = [](const std::string& start, const std::string& id) {
    return start + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id +
           "\r\nX-Deadline-Ms: 2000\r\nAuthorization: Token key-1\r\n\r\n";
  };
  net::raw_stream caller(fleet.net, node_fleet::Address(0),
                         fleet.ports[node_fleet::kCallers]);
  caller.Write(request("GET /read/1", "one") + request("POST /write/2", "two") +
               request("GET /none/3", "three") +
               request("GET /read/4", "four"));
  REQUIRE(fleet.net.RunUntil([&] { return waiting.size() == 2; }));
  fleet.RunFor(milliseconds(50));
  CHECK(waiting.size() == 2);  // The write doesn't run yet.
  answer("four");
  fleet.RunFor(milliseconds(50));
  CHECK(caller.received.empty());
  answer("one");
  REQUIRE(fleet.net.RunUntil([&] { return waiting.size() == 3; }));
  answer("two");
  REQUIRE(fleet.net.RunUntil([&] { return caller.Has("answer to four"); }));
  const std::string& all = caller.received;
  CHECK(all.find("answer to one") < all.find("answer to two"));
  CHECK(all.find("answer to two") < all.find("404"));
  CHECK(all.find("404") < all.find("answer to four"));
  CHECK(fleet.Runs() == 3);
}

TEST_CASE("a call whose answer was lost is retried only if it is idempotent") {
  node_fleet fleet(2);
  fleet.Start();
  for (auto& upstream : fleet.upstreams) {
    upstream->script = [](const std::shared_ptr<stream::server_exchange>& conn,
                          const std::string&) { conn->Close(); };
  }
  const auto write = fleet.Call(0, "POST", "/write/1", "x");
  CHECK(write->status == 502);
  CHECK(fleet.Runs() == 1);
  CHECK(fleet.Call(0, "GET", "/read/1")->status == 502);
  CHECK(fleet.Runs() == 3);
  // One healthy upstream is enough for a read.
  fleet.upstreams[1]->script = nullptr;
  CHECK(fleet.Call(0, "GET", "/read/2")->status == 200);
}

TEST_CASE("a truncated answer never looks complete") {
  node_fleet fleet(1);
  fleet.Start();
  for (const std::size_t bytes : {std::size_t{10}, std::size_t{300000}}) {
    fleet.upstreams[0]->script =
        [bytes](const std::shared_ptr<stream::server_exchange>& conn,
                const std::string& id) {
          stream::message_head head;
          head.status = 200;
          head.headers = {{"X-Attempt-Id", id}};
          head.framing = stream::body_framing::kLength;
          head.length = bytes;
          conn->SendHead(head);
          conn->SendData(std::string(bytes - 5, 'x'));
          conn->on_drained = [conn] { conn->Close(); };
        };
    const auto call = fleet.Call(0, "POST", "/write/1", "x");
    CAPTURE(bytes);
    CHECK((call->failed || call->status == 502));
  }
}

// Guards against REFUSED and TWICE: an upstream wrote a refusal of an earlier
// request again, and it was taken as the refusal of a request that ran.
TEST_CASE("a refusal that doesn't name its request refuses none") {
  struct refusal {
    int status;
    net::header_list headers;
  };
  const refusal refusals[] = {
      {503, {{"X-Not-Executed", "1"}}},
      {400, {{"X-Not-Executed", "1"}}},
      {503, {}},
      {429, {}},
      {421, {}},
      {503, {{"X-Not-Executed", "1"}, {"X-Attempt-Id", "id-of-another"}}},
  };
  for (const refusal& again : refusals) {
    CAPTURE(again.status);
    node_fleet fleet(2);
    fleet.Start();
    for (auto& owned : fleet.upstreams) {
      upstream_standin* const upstream = owned.get();
      upstream->script = [&again, upstream](
                             const std::shared_ptr<stream::server_exchange>& c,
                             const std::string&) {
        upstream->Answer(c, "", again.status, "", again.headers);
      };
    }
    const auto call =
        fleet.Call(0, "POST", "/write/1", "x", {}, /*budget=*/"500");
    CHECK((call->status == 502 || call->status == 504));
    CHECK(fleet.Runs() == 1);
  }
}

TEST_CASE("a repeated refusal doesn't hide the answer behind it") {
  node_fleet fleet(1);
  fleet.Start();
  upstream_standin* const upstream = fleet.upstreams[0].get();
  upstream->script = [upstream](
                         const std::shared_ptr<stream::server_exchange>& c,
                         const std::string& id) {
    stream::message_head again;
    again.status = 503;
    again.headers = {{"X-Not-Executed", "1"}};
    again.framing = stream::body_framing::kLength;
    c->SendHead(again);
    upstream->Answer(c, id, 200, "hello", {{"X-Response-Seal", "seal"}});
  };
  const auto call = fleet.Call(0, "POST", "/write/1", "x");
  CHECK(call->status == 200);
  CHECK(call->body == "hello");
}

TEST_CASE("large bodies are streamed in both directions") {
  node_fleet fleet(2);
  fleet.Start();
  std::string body(1000, 'b');
  while (body.size() < 3000000) body += body;
  std::string answer(1000, 'a');
  while (answer.size() < 2000000) answer += answer;
  for (auto& owned : fleet.upstreams) {
    upstream_standin* const upstream = owned.get();
    owned->script = [upstream, &answer](
                        const std::shared_ptr<stream::server_exchange>& c,
                        const std::string& id) {
      upstream->Answer(c, id, 200, answer);
    };
  }
  const auto call = fleet.Call(0, "PUT", "/write/1", body);
  CHECK(call->status == 200);
  CHECK(call->body == answer);
  CHECK(fleet.Runs() == 1);
  for (const auto& upstream : fleet.upstreams) {
    for (const std::string& seen : upstream->bodies) CHECK(seen == body);
  }
}

TEST_CASE(
    "a call that one upstream sheds goes to another, else it gets a 503") {
  node_fleet fleet(2);
  fleet.Start();
  fleet.upstreams[0]->sheds = true;
  for (int i = 0; i < 5; ++i) {
    CHECK(fleet.Call(0, "POST", "/write/1", "x")->status == 200);
  }
  fleet.upstreams[1]->sheds = true;
  const int before = fleet.Runs();
  const auto refused = fleet.Call(0, "POST", "/write/2", "x");
  CHECK(refused->status == 503);
  CHECK_FALSE(net::FindHeader(refused->headers, "Retry-After").empty());
  CHECK(fleet.Runs() == before);
}

// Guards against tsurumaki scale-1: an upstream's failed answer was replaced by
// a 502 when the retry was refused by another upstream.
TEST_CASE(
    "an upstream's own failed answer is relayed when no repeat succeeds") {
  node_fleet fleet(2);
  fleet.Start();
  upstream_standin* const failing = fleet.upstreams[0].get();
  failing->script = [failing](
                        const std::shared_ptr<stream::server_exchange>& conn,
                        const std::string& id) {
    failing->Answer(conn, id, 500, "broken", {{"X-Response-Seal", "s500"}});
  };
  fleet.upstreams[1]->sheds = true;
  int passed_on = 0;
  for (int i = 0; i < 6; ++i) {
    const auto call = fleet.Call(0, "GET", "/read/1");
    if (call->status != 500) continue;
    CHECK(call->body == "broken");
    CHECK(net::FindHeader(call->headers, "X-Response-Seal") == "s500");
    ++passed_on;
  }
  CHECK(passed_on >= 1);
  CHECK(fleet.upstreams[1]->requests.size() >= 1);
}

TEST_CASE("a call is cancelled at the upstream when its caller disconnects") {
  node_fleet fleet(1);
  fleet.Start();
  fleet.upstreams[0]->script =
      [](const std::shared_ptr<stream::server_exchange>&, const std::string&) {
      };
  const auto call = fleet.StartCall(0, "GET", "/read/1");
  CHECK(fleet.net.RunUntil([&] { return fleet.Runs() == 1; }));
  const int before = fleet.upstreams[0]->closed;
  call->exchange->Cancel();
  const core::instant left = fleet.net.loop.Now();
  CHECK(
      fleet.net.RunUntil([&] { return fleet.upstreams[0]->closed > before; }));
  CHECK(fleet.net.loop.Now() - left < milliseconds(500));
}

// Guards against GONE in permisos-sur-grown scale-2 seed 848738194131: a daemon
// short of processor time started calls whose callers had disconnected long
// before.
TEST_CASE("a call whose connection closed before it was read isn't run") {
  node_fleet fleet(1);
  fleet.Start();
  const auto send_and_close = [&fleet](int port, const std::string& header) {
    const int caller = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = inet_addr(node_fleet::Address(0).c_str());
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    REQUIRE(connect(caller, reinterpret_cast<sockaddr*>(&to), sizeof(to)) == 0);
    const std::string text = "GET /read/1 HTTP/1.1\r\nHost: a.example\r\n" +
                             header + "X-Attempt-Id: late\r\n\r\n";
    REQUIRE(send(caller, text.data(), text.size(), 0) ==
            static_cast<ssize_t>(text.size()));
    close(caller);
    fleet.RunFor(milliseconds(200));
  };
  SUBCASE("by its caller") {
    send_and_close(fleet.ports[node_fleet::kCallers],
                   "Authorization: Token key-1\r\nX-Deadline-Ms: 2000\r\n");
  }
  SUBCASE("by its ingress") {
    call_header call;
    call.attempt = "a-1";
    call.upstream = "i-0";
    call.route = "read";
    call.budget_ms = 2000;
    call.aim_ms = 400;
    call.typical_ms = 5;
    send_and_close(fleet.ports[node_fleet::kPeers],
                   std::string(kCallHeader) + ": " + EncodeCall(call) + "\r\n");
  }
  CHECK(fleet.Runs() == 0);
  CHECK(fleet.Call(0, "GET", "/read/2")->status == 200);
}

// Guards against permisos inc-0043: in the seconds after many daemons
// restarted, 327 calls were refused for lack of an upstream, although there was
// one.
TEST_CASE("a daemon that has just started reaches the others at once") {
  node_fleet fleet(4);
  fleet.Start();
  fleet.PutEntry(0, "draining");
  fleet.RunFor(milliseconds(800));
  fleet.nodes.erase(0);
  fleet.StartNode(0);
  const core::instant started_at = fleet.net.loop.Now();
  int status = 0;
  for (int tries = 0; tries < 100 && status != 200; ++tries) {
    status = fleet.Call(0, "GET", "/read/1")->status;
    if (status != 200) fleet.RunFor(milliseconds(5));
  }
  CHECK(status == 200);
  const auto took = fleet.net.loop.Now() - started_at;
  MESSAGE("first answer after us: " << took.count());
  CHECK(took < milliseconds(200));
}

TEST_CASE("an unanswered call ends at the earlier of budget and timeout") {
  node_fleet fleet(1);
  fleet.Start();
  fleet.upstreams[0]->script =
      [](const std::shared_ptr<stream::server_exchange>&, const std::string&) {
      };
  for (const char* budget : {"300", "9000"}) {
    const core::instant started_at = fleet.net.loop.Now();
    const auto call = fleet.Call(0, "POST", "/write/1", "x", {}, budget);
    const auto took = fleet.net.loop.Now() - started_at;
    CHECK(call->status == 504);
    const auto due = milliseconds(std::min(std::stoi(budget), 1500));
    CHECK(took >= due - milliseconds(20));
    CHECK(took < due + milliseconds(250));
  }
}

// Calls wait in a queue for as long as their budget allows, which may exceed
// the time within which an evacuated zone must get no more calls.
TEST_CASE("an evacuated upstream gets none of the calls that wait for it") {
  node_fleet fleet(1);
  // With overload control, the queue would refuse these calls by itself.
  fleet.overload_control = sched::feature_mode::kOff;
  fleet.Start();
  std::vector<std::pair<std::shared_ptr<stream::server_exchange>, std::string>>
      held;
  fleet.upstreams[0]->script =
      [&held](const std::shared_ptr<stream::server_exchange>& call,
              const std::string& id) { held.emplace_back(call, id); };
  std::vector<std::shared_ptr<caller_exchange>> calls(6);
  for (auto& call : calls) call = fleet.StartCall(0, "POST", "/write/1", "x");
  REQUIRE(fleet.net.RunUntil([&held] { return held.size() == 4; }));
  fleet.store.Put("op/evacuate/z", "{}");
  fleet.RunFor(milliseconds(100));
  fleet.upstreams[0]->Answer(held[0].first, held[0].second, 200, "hello");
  const auto ended = [&calls] {
    return std::count_if(calls.begin(), calls.end(),
                         [](const auto& call) { return call->ended; });
  };
  CHECK(fleet.net.RunUntil([&ended] { return ended() == 3; }));
  CHECK(held.size() == 4);
  for (std::size_t i = 1; i < held.size(); ++i) {
    fleet.upstreams[0]->Answer(held[i].first, held[i].second, 200, "hello");
  }
  CHECK(fleet.net.RunUntil([&ended] { return ended() == 6; }));
  const auto with_status = [&calls](int status) {
    return std::count_if(
        calls.begin(), calls.end(),
        [status](const auto& call) { return call->status == status; });
  };
  CHECK(with_status(200) == 4);
  CHECK(with_status(503) == 2);
  CHECK(fleet.Runs() == 4);
}

TEST_CASE("upstreams that drain, are removed or evacuated get no more calls") {
  node_fleet fleet(2);
  fleet.Start();
  fleet.PutEntry(0, "draining");
  fleet.RunFor(milliseconds(100));
  for (int i = 0; i < 4; ++i) {
    CHECK(fleet.Call(i % 2, "GET", "/read/1")->status == 200);
  }
  CHECK(fleet.upstreams[0]->Runs() == 0);
  fleet.PutEntry(0);
  fleet.store.Remove("servers/i-1");
  fleet.RunFor(milliseconds(400));
  for (int i = 0; i < 4; ++i) {
    CHECK(fleet.Call(i % 2, "GET", "/read/1")->status == 200);
  }
  CHECK(fleet.upstreams[1]->Runs() == 4);
  // A malformed entry disables its own upstream only.
  fleet.PutEntry(1);
  fleet.store.Put("servers/i-0", "\xff not an entry");
  fleet.RunFor(milliseconds(400));
  CHECK(fleet.Call(0, "GET", "/read/1")->status == 200);
  CHECK(fleet.upstreams[1]->Runs() == 5);
  fleet.store.Put("op/evacuate/z", "{}");
  fleet.RunFor(milliseconds(100));
  CHECK(fleet.Call(0, "GET", "/read/1")->status == 503);
  fleet.store.Remove("op/evacuate/z");
  fleet.RunFor(milliseconds(400));
  CHECK(fleet.Call(0, "GET", "/read/1")->status == 200);
}

TEST_CASE(
    "a daemon that the store doesn't answer gets changes from its peers") {
  node_fleet fleet(2);
  fleet.stores[1] =
      std::make_unique<testing::store_standin>(fleet.net.loop.Base());
  fleet.stores[1]->SetMode(store_mode::kSilent);
  fleet.PutConfig("r1");
  fleet.PutEntry(0);
  fleet.PutEntry(1);
  fleet.StartNode(0);
  fleet.StartNode(1);
  const auto wait_for = [&fleet](int status) {
    int seen = 0;
    for (int i = 0; i < 40 && seen != status; ++i) {
      fleet.RunFor(milliseconds(50));
      seen = fleet.Call(1, "GET", "/read/1")->status;
    }
    return seen;
  };
  CHECK(wait_for(200) == 200);
  fleet.config["tenants"][0]["apiKeys"] = {"key-9"};
  const core::instant started_at = fleet.net.loop.Now();
  fleet.PutConfig("r2");
  CHECK(wait_for(401) == 401);
  CHECK(fleet.net.loop.Now() - started_at < seconds(2));
}

TEST_CASE("the known configuration stays in force during a store outage") {
  node_fleet fleet(2);
  fleet.Start();
  for (const store_mode mode :
       {store_mode::kSilent, store_mode::kBusy, store_mode::kGarbage}) {
    fleet.store.SetMode(mode);
    fleet.store.Compact();
    fleet.RunFor(milliseconds(300));
    CHECK(fleet.Call(0, "GET", "/read/1")->status == 200);
  }
  fleet.store.SetMode(store_mode::kServing);
  fleet.config["routes"][0]["prefix"] = "/moved/";
  fleet.PutConfig("r2");
  int status = 0;
  for (int i = 0; i < 60 && status != 404; ++i) {
    fleet.RunFor(milliseconds(50));
    status = fleet.Call(0, "GET", "/read/1")->status;
  }
  CHECK(status == 404);
}

TEST_CASE("a planned stop finishes running calls") {
  node_fleet fleet(2);
  fleet.Start();
  std::vector<std::function<void()>> answers;
  for (auto& owned : fleet.upstreams) {
    upstream_standin* const upstream = owned.get();
    owned->script = [&answers, upstream](
                        const std::shared_ptr<stream::server_exchange>& c,
                        const std::string& id) {
      answers.emplace_back(
          [upstream, c, id] { upstream->Answer(c, id, 200, "late"); });
    };
  }
  const auto running = fleet.StartCall(0, "POST", "/write/1", "x");
  CHECK(fleet.net.RunUntil([&] { return answers.size() == 1; }));
  fleet.nodes[0]->BeginStop();
  fleet.RunFor(milliseconds(300));
  answers[0]();
  CHECK(fleet.net.RunUntil([&] { return running->ended; }));
  CHECK(running->status == 200);
  CHECK(running->body == "late");
}

TEST_CASE("calls to a cold upstream are limited") {
  node_fleet fleet(1);
  fleet.upstreams[0]->warmup_ms = "60000";
  fleet.PutConfig("r1");
  fleet.PutEntry(0);
  fleet.StartNode(0);
  fleet.RunFor(milliseconds(800));
  std::vector<std::shared_ptr<caller_exchange>> calls;
  calls.reserve(60);
  for (int i = 0; i < 60; ++i) {
    calls.push_back(fleet.StartCall(0, "GET", "/read/1"));
  }
  fleet.RunFor(milliseconds(1000));
  CHECK(fleet.upstreams[0]->probes >= 1);
  CHECK(fleet.Runs() >= 5);
  CHECK(fleet.Runs() <= 10 * 1.5 + 5);
}

// Guards against belief in the store alone (review case 7): the upstream
// becomes cold again while its entry says nothing, and only its health answers
// tell.
TEST_CASE("an upstream that becomes cold again under load is asked in time") {
  node_fleet fleet(1);
  fleet.Start();
  upstream_standin& upstream = *fleet.upstreams[0];
  const auto call_for = [&](core::duration time) {
    std::vector<std::shared_ptr<caller_exchange>> calls;
    for (core::duration at{0}; at < time; at += milliseconds(15)) {
      calls.push_back(fleet.StartCall(0, "GET", "/read/1"));
      fleet.RunFor(milliseconds(15));
    }
    return calls;
  };
  const int probes_before = upstream.probes;
  call_for(milliseconds(1500));
  const int warm_runs = fleet.Runs();
  CHECK(warm_runs >= 70);
  // One check for a handful of calls at most.
  CHECK(upstream.probes - probes_before <= warm_runs / 3);
  upstream.warmup_ms = "20000";
  upstream.runs.clear();
  call_for(milliseconds(950));
  CHECK(fleet.Runs() >= 5);
  CHECK(fleet.Runs() <= 10 * 1.5 + 5);
}

TEST_CASE("the readiness, metrics and state pages are served without keys") {
  node_fleet fleet(1);
  fleet.upstreams[0]->load = [] { return "1,0,4,2000"; };
  fleet.Start();
  net::http_client client(fleet.net.loop, fleet.net.timers);
  const auto get = [&](int port, const std::string& path) {
    net::http_request request;
    request.target = {node_fleet::Address(0), fleet.ports[port]};
    request.path = path;
    request.timeout = seconds(2);
    std::string body;
    bool done = false;
    client.Start(request, [&](const auto& answer) {
      done = true;
      if (answer) body = std::to_string(answer->status) + " " + *answer->body;
    });
    CHECK(fleet.net.RunUntil([&done] { return done; }));
    return body;
  };
  CHECK(get(node_fleet::kReady, "/api/ready").substr(0, 3) == "200");
  const std::string metrics = get(node_fleet::kAdmin, "/metrics");
  CHECK(metrics.find("pimentohall_config_version 1") != std::string::npos);
  CHECK(metrics.find("pimentohall_call_seconds_bucket") != std::string::npos);
  for (const char* name :
       {"pimentohall_upstream_speed", "pimentohall_usable_slots 4",
        "pimentohall_hidden_calls",
        "pimentohall_peer_bytes_total{direction=\"sent\",kind=\"call\"",
        "pimentohall_peer_links_total{event=\"opened\"",
        "pimentohall_upstream_connections_total{event=\"opened\"} 1",
        "closed_total{reason=\"expired\"} 0"}) {
    CAPTURE(name);
    CHECK(metrics.find(name) != std::string::npos);
  }
  CHECK(metrics.find("pimentohall_upstream_pace 1\n") == std::string::npos);
  const std::string state = get(node_fleet::kAdmin, "/state");
  CHECK(state.find("\"usable_slots\": 4") != std::string::npos);
  CHECK(state.find("\"config_version\": 1") != std::string::npos);
  CHECK(state.find("key-1") == std::string::npos);
}

// ---------------------------------------------------------------------------
// Overload.

double RetryAfterS(const caller_exchange& call) {
  const std::string wait(net::FindHeader(call.headers, "Retry-After"));
  return wait.empty() ? -1 : std::stod(wait);
}

// Guards against calls that wait until their deadline for a slot that they
// can't get in time. Without overload control they are queued, as before.
TEST_CASE("a call that can't be in time is refused at once under overload") {
  for (const auto mode :
       {sched::feature_mode::kAuto, sched::feature_mode::kOff}) {
    node_fleet fleet(1);
    fleet.overload_control = mode;
    fleet.Start();
    fleet.upstreams[0]->script =
        [](const std::shared_ptr<stream::server_exchange>&,
           const std::string&) {};
    constexpr std::size_t kCalls = 20;
    std::vector<std::shared_ptr<caller_exchange>> calls;
    calls.reserve(kCalls);
    while (calls.size() < kCalls) {
      calls.push_back(fleet.StartCall(0, "POST", "/write/1", "x"));
    }
    fleet.RunFor(milliseconds(100));
    int refused = 0;
    for (const auto& call : calls) {
      if (!call->ended) continue;
      ++refused;
      CHECK(call->status == 503);
      CHECK(RetryAfterS(*call) >= 0);
      CHECK(RetryAfterS(*call) <= 2.0 / 3);
    }
    CHECK((refused > 0) == (mode == sched::feature_mode::kAuto));
    CHECK(fleet.Runs() == 4);
  }
}

// Guards against slots for callers whose aim passed during earlier attempts:
// the rest of the budget tells that they came before.
TEST_CASE("a caller that comes back has the aim of its first attempt") {
  node_fleet fleet(1);
  fleet.Start();
  fleet.upstreams[0]->script =
      [](const std::shared_ptr<stream::server_exchange>&, const std::string&) {
      };
  for (int i = 0; i < 4; ++i) fleet.StartCall(0, "POST", "/write/1", "x");
  REQUIRE(fleet.net.RunUntil([&] { return fleet.Runs() == 4; }));
  const auto first = fleet.StartCall(0, "POST", "/write/1", "x");
  const auto later = fleet.StartCall(0, "POST", "/write/1", "x", {}, "1500");
  fleet.RunFor(milliseconds(60));
  CHECK_FALSE(first->ended);
  CHECK(later->status == 503);
  CHECK(RetryAfterS(*later) <= 0.5);
}

// ---------------------------------------------------------------------------
// Answers without end.

// Sends `bytes` again whenever all is sent, until the connection closes.
void SendWithoutEnd(const std::shared_ptr<stream::connection>& conn,
                    const std::string& bytes) {
  std::string block;
  while (block.size() < 16 * 1024) block += bytes;
  conn->on_drained = [raw = conn.get(), block] { raw->SendData(block); };
  conn->SendData(block);
}

TEST_CASE("answers without end are cut off, and cost others nothing") {
  struct endless_case {
    const char* name;
    std::string start;
    std::string repeated;
    std::vector<int> statuses;  // 0: the answer is seen to be cut.
  };
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  const endless_case cases[] = {
      {"a head without an end", "HTTP/1.1 200 OK\r\nX: ", "x", {502}},
      {"headers without end", "HTTP/1.1 200 OK\r\n", "X: y\r\n", {502}},
      {"no status line", "", "garbage", {502}},
      {"interim answers", "", "HTTP/1.1 103 Early\r\n\r\n", {502}},
      {"a chunk extension", chunked + "1;", "x", {502}},
      {"digits of a chunk size", chunked, "0", {502, 504}},
      {"trailers", chunked + "0\r\n", "X: y\r\n", {502}},
      {"bytes behind the answer",
       "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nContent-Length: 2\r\n\r\nok",
       "x",
       {200}},
      {"a body until the close",
       "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n\r\n",
       "x",
       {0}},
      {"another request's answer",
       "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n\r\n",
       "x",
       {504}},
  };
  for (const endless_case& test_case : cases) {
    CAPTURE(test_case.name);
    node_fleet fleet(1);
    fleet.Start();
    const std::size_t before = net::ResidentBytes();
    fleet.upstreams[0]->script =
        [&test_case](const std::shared_ptr<stream::server_exchange>& call,
                     const std::string& id) {
          std::string start = test_case.start;
          const std::size_t at = start.find("ID\r\n");
          if (at != std::string::npos) start.replace(at, 2, id);
          call->Connection()->SendData(start);
          SendWithoutEnd(call->Connection(), test_case.repeated);
        };
    const auto endless = fleet.StartCall(0, "POST", "/write/1", "x");
    endless->keeps_body = false;
    CHECK(fleet.net.RunUntil([&] { return fleet.Runs() == 1; }));
    fleet.upstreams[0]->script = nullptr;
    CHECK(fleet.Call(0, "POST", "/write/2", "x")->status == 200);
    CHECK(fleet.net.RunUntil([&] { return endless->ended; }));
    const int status = endless->failed ? 0 : endless->status;
    CAPTURE(status);
    CHECK(std::count(test_case.statuses.begin(), test_case.statuses.end(),
                     status) == 1);
    fleet.RunFor(milliseconds(50));
    CHECK(net::ResidentBytes() < before + 4 * 1024 * 1024);
    CHECK(fleet.Runs() == 2);
  }
}

// A daemon closes connections beyond its limit for one address. If its peers
// opened more, calls that they had sent would be lost.
TEST_CASE("with few descriptors, calls are refused and not lost") {
  node_fleet fleet(1);
  fleet.max_descriptors = 64;
  fleet.Start();
  fleet.upstreams[0]->script =
      [&fleet](const std::shared_ptr<stream::server_exchange>& call,
               const std::string& id) {
        fleet.net.timers.After(
            milliseconds(100), sigc::slot<void()>([&fleet, call, id] {
              fleet.upstreams[0]->Answer(call, id, 200, "hello");
            }));
      };
  std::vector<std::shared_ptr<caller_exchange>> calls(15);
  for (auto& call : calls) call = fleet.StartCall(0, "POST", "/write/1", "x");
  int answered = 0;
  for (const auto& call : calls) {
    CHECK(fleet.net.RunUntil([&call] { return call->ended; }));
    CHECK((call->status == 200 || call->status == 503));
    answered += call->status == 200 ? 1 : 0;
  }
  CHECK(answered > 0);
  CHECK(fleet.Runs() == answered);
}

// The ingress of a call may lose power: its link stays open and silent.
TEST_CASE("a call that nobody waits for leaves its slot after its deadline") {
  node_fleet fleet(1);
  fleet.Start();
  fleet.upstreams[0]->script =
      [](const std::shared_ptr<stream::server_exchange>&, const std::string&) {
      };
  call_header info;
  info.attempt = "lost-1";
  info.upstream = "i-0";
  info.route = "write";
  info.budget_ms = 300;
  info.aim_ms = 300;
  net::raw_stream link(fleet.net, node_fleet::Address(0),
                       fleet.ports[node_fleet::kPeers]);
  link.Write("GET /write/1 HTTP/1.1\r\nHost: a.example\r\n" +
             std::string(kCallHeader) + ": " + EncodeCall(info) + "\r\n\r\n");
  REQUIRE(fleet.net.RunUntil([&] { return fleet.Runs() == 1; }));
  const int before = fleet.upstreams[0]->closed;
  fleet.RunFor(milliseconds(1200));
  CHECK(fleet.upstreams[0]->closed > before);
}

// An upstream with 4 slots that queues up to 6 calls itself, sheds more, and
// runs every accepted call to its end, also if it was cancelled.
struct stubborn_upstream {
  static constexpr int kSlots = 4;
  static constexpr int kRoom = 6;

  explicit stubborn_upstream(node_fleet* used) : fleet(used) {
    upstream_standin* const at = fleet->upstreams[0].get();
    at->load = [this] {
      return std::to_string(running) + "," + std::to_string(waiting.size()) +
             "," + std::to_string(kSlots) + "," + std::to_string(pace);
    };
    at->script = [this, at](
                     const std::shared_ptr<stream::server_exchange>& conn,
                     const std::string& id) {
      if (running >= kSlots && waiting.size() >= kRoom) {
        ++shed;
        at->Answer(conn, id, 503, "", {{"X-Not-Executed", "1"}});
        return;
      }
      auto is_open = std::make_shared<bool>(true);
      conn->on_closed = [is_open](stream::end_reason) { *is_open = false; };
      waiting.push_back([this, at, conn, id, is_open] {
        --running;
        if (*is_open) at->Answer(conn, id, 200, "done");
        StartNext();
      });
      StartNext();
    };
  }
  void StartNext() {
    while (running < kSlots && !waiting.empty()) {
      ++running;
      fleet->net.timers.After(work, sigc::slot<void()>(waiting.front()));
      waiting.pop_front();
    }
    most_waiting = std::max(most_waiting, waiting.size());
  }

  node_fleet* fleet;
  core::duration work = milliseconds(300);
  int pace = 100;
  int running = 0;
  int shed = 0;
  std::size_t most_waiting = 0;
  std::deque<std::function<void()>> waiting;
};

// A service shed 8,387 of 38,883 calls although its egress believed that a slot
// was free: the egress freed the slot of a cancelled run, which the upstream
// went on with, and started another call.
TEST_CASE("an upstream that runs cancelled calls to their end isn't overrun") {
  for (const auto mode :
       {sched::feature_mode::kOff, sched::feature_mode::kOn}) {
    const bool on = mode == sched::feature_mode::kOn;
    CAPTURE(on);
    node_fleet fleet(1);
    fleet.overload_control = mode;
    fleet.cost_routing = mode;
    stubborn_upstream upstream(&fleet);
    upstream.work = milliseconds(1);
    fleet.Start();
    for (int i = 0; i < 4; ++i) fleet.Call(0, "GET", "/read/usual");
    upstream.work = milliseconds(300);
    std::vector<std::shared_ptr<caller_exchange>> calls;
    for (int i = 0; i < 60; ++i) {
      // Callers that wait for less time than a run takes.
      calls.push_back(fleet.StartCall(0, "GET", "/read/1", "", {}, "120"));
      fleet.RunFor(milliseconds(20));
    }
    CHECK((upstream.shed == 0) == on);
    CHECK((upstream.most_waiting <= 2) == on);
    // The slots become usable again.
    fleet.RunFor(milliseconds(1500));
    upstream.work = milliseconds(1);
    CHECK(fleet.Call(0, "GET", "/read/2")->status == 200);
  }
}

}  // namespace
}  // namespace pimentohall::node
