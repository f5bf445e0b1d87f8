#include <doctest/doctest.h>

#include <algorithm>

#include "net_harness.h"
#include "tls_fixture.h"

namespace pimentohall::net {
namespace {

link_options Options(const std::string& vm, const tls_files& tls) {
  link_options options;
  options.vm = vm;
  options.tls = tls;
  return options;
}

// The links of one daemon, which records each event as a line of text.
struct node {
  node(net_harness& net, const std::string& name, link_options options)
      : vm(name), links(net.loop, net.timers, std::move(options)) {
    links.on_link_up = [this](const core::link_up& up) { Add("up " + up.vm); };
    links.on_link_down = [this](const core::link_down& d) {
      Add("down " + d.vm);
    };
    links.on_message = [this](const core::message_received& m) {
      Add("message " + m.vm + " " +
          std::get<core::status_message>(m.body).config_digest);
    };
    links.on_call = [this](const core::peer_call& call,
                           const http_message& request) {
      Add("call " + call.vm + " " + std::to_string(call.attempt) + " " +
          call.info.path + " " + *request.body);
    };
    links.on_cancel = [this](const core::peer_cancel& c) {
      Add("cancel " + c.vm + " " + std::to_string(c.attempt));
    };
    links.on_answer = [this](const core::peer_answer& a,
                             const http_answer& body) {
      Add("answer " + a.vm + " " + std::to_string(a.attempt) + " " +
          std::to_string(a.http_status) + " " + *body.body);
    };
    links.on_forward_failed = [this](const core::forward_failed& f) {
      Add("failed " + std::to_string(f.attempt));
    };
    links.on_call_link_down = [this](const core::call_link_down& d) {
      Add("calls down " + d.vm);
    };
    const auto listening = links.Listen();
    REQUIRE(listening);
    port = *listening;
  }
  node(net_harness& net, const std::string& name, const tls_files& tls = {})
      : node(net, name, Options(name, tls)) {}

  void Add(std::string line) { lines.push_back(std::move(line)); }
  bool Has(const std::string& line) const {
    return std::find(lines.begin(), lines.end(), line) != lines.end();
  }
  void OpenTo(const node& other) {
    links.Open({other.vm, "127.0.0.1", other.port});
  }
  void SendText(const std::string& to, const std::string& text) {
    core::status_message status;
    status.config_digest = text;
    links.Send(to, status);
  }
  void Forward(const node& other, core::attempt_id attempt,
               const std::string& body) {
    links.SetAddress(other.vm, {"127.0.0.1", other.port});
    forward_frame frame;
    frame.attempt = attempt;
    frame.info.path = "/p";
    frame.request.body = ShareBytes(body);
    links.Forward(other.vm, frame);
  }
  void Answer(const std::string& to, core::attempt_id attempt,
              const std::string& body) {
    answer_frame frame;
    frame.attempt = attempt;
    frame.outcome = core::outcome_kind::kAnswered;
    frame.answer = {200, {}, ShareBytes(body)};
    links.AnswerPeer(to, frame);
  }

  std::string vm;
  std::vector<std::string> lines;
  int port = 0;
  link_service links;
};

using lines = std::vector<std::string>;

// Guards against links that don't open, messages that are lost or reordered,
// and a close that one end doesn't notice.
TEST_CASE("control link") {
  net_harness net;
  node a(net, "a");
  node b(net, "b");
  a.OpenTo(b);
  REQUIRE(net.RunUntil([&] { return a.Has("up b") && b.Has("up a"); }));
  for (const char* text : {"1", "2", "3"}) a.SendText("b", text);
  b.SendText("a", "4");
  REQUIRE(
      net.RunUntil([&] { return b.lines.size() == 4 && a.lines.size() == 2; }));
  CHECK(b.lines == lines{"up a", "message a 1", "message a 2", "message a 3"});
  CHECK(a.lines == lines{"up b", "message b 4"});
  a.OpenTo(b);  // Already up: reported again without a second connection.
  REQUIRE(net.RunUntil([&] { return a.lines.size() == 3; }));
  CHECK(a.lines.back() == "up b");
  a.links.Close("b");
  a.SendText("b", "lost");
  a.OpenTo(b);
  REQUIRE(
      net.RunUntil([&] { return a.lines.size() == 4 && b.lines.size() == 6; }));
  CHECK(a.lines.back() == "up b");
  // The old connection's end comes before the new one's handshake.
  CHECK(b.lines[4] == "down a");
  CHECK(b.lines[5] == "up a");
}

// Guards against two daemons that dial each other and then repeatedly close
// each other's connection.
TEST_CASE("simultaneous dials give one stable link") {
  net_harness net;
  node a(net, "a");
  node b(net, "b");
  a.OpenTo(b);
  b.OpenTo(a);
  REQUIRE(net.RunUntil([&] { return a.Has("up b") && b.Has("up a"); }));
  net.RunReady();
  a.SendText("b", "x");
  b.SendText("a", "y");
  REQUIRE(net.RunUntil(
      [&] { return a.Has("message b y") && b.Has("message a x"); }));
  CHECK(a.lines == lines{"up b", "message b y"});
  CHECK(b.lines == lines{"up a", "message a x"});
}

// Guards against a failed dial that isn't reported exactly once.
TEST_CASE("dials that fail") {
  net_harness net;
  link_options options = Options("a", {});
  options.open_timeout = std::chrono::milliseconds(100);
  node a(net, "a", options);
  node c(net, "c");
  int closed_port = 0;
  {
    raw_server closed_server(net);
    closed_port = closed_server.port;
  }
  raw_server silent(net);
  raw_server refusing(net);
  refusing.on_read = [](raw_stream* s) {
    s->Write("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n");
  };
  const std::pair<const char*, int> test_cases[] = {{"nobody", closed_port},
                                                    {"silent", silent.port},
                                                    {"refusing", refusing.port},
                                                    {"not c", c.port}};
  for (const auto& entry : test_cases) {
    const auto& vm = entry.first;
    const auto& port = entry.second;
    CAPTURE(vm);
    a.lines.clear();
    a.links.Open({vm, "127.0.0.1", port});
    REQUIRE(net.RunUntil([&] { return !a.lines.empty(); }));
    net.RunReady();
    CHECK(a.lines == lines{std::string("down ") + vm});
  }
}

// Guards against calls that receive another call's answer, and against bodies
// that are altered in transit.
TEST_CASE("calls over a link that is dialled at the first one") {
  net_harness net;
  node a(net, "a");
  node b(net, "b");
  const std::string large_body(1024 * 1024, 'x');
  a.Forward(b, 1, "one");
  a.Forward(b, 2, large_body);
  b.Forward(a, 1, "other way");
  REQUIRE(
      net.RunUntil([&] { return b.lines.size() == 2 && a.lines.size() == 1; }));
  CHECK(b.lines == lines{"call a 1 /p one", "call a 2 /p " + large_body});
  CHECK(a.lines == lines{"call b 1 /p other way"});
  b.Answer("a", 2, large_body);
  b.Answer("a", 1, "first");
  a.Answer("b", 1, "back");
  REQUIRE(
      net.RunUntil([&] { return a.lines.size() == 3 && b.lines.size() == 3; }));
  CHECK(a.lines[1] == "answer b 2 200 " + large_body);
  CHECK(a.lines[2] == "answer b 1 200 first");
  CHECK(b.lines[2] == "answer a 1 200 back");
  b.Answer("a", 1, "twice");
  net.RunReady();
  CHECK(a.lines.size() == 3);
}

// Guards against a cancelled call that continues, and against reporting an
// answer to it.
TEST_CASE("cancellation") {
  net_harness net;
  node a(net, "a");
  node b(net, "b");
  a.Forward(b, 1, "waiting");
  a.links.CancelForward("b", 1);  // Not sent yet, so it is never sent.
  a.Forward(b, 2, "sent");
  REQUIRE(net.RunUntil([&] { return b.lines.size() == 1; }));
  CHECK(b.lines == lines{"call a 2 /p sent"});
  a.links.CancelForward("b", 2);
  REQUIRE(net.RunUntil([&] { return b.Has("cancel a 2"); }));
  b.Answer("a", 2, "late");
  net.RunReady();
  CHECK(a.lines.empty());
}

// Guards against a forward that was never sent but isn't reported as failed.
TEST_CASE("forwards that can't be written fail") {
  net_harness net;
  link_options options = Options("a", {});
  options.open_timeout = std::chrono::milliseconds(100);
  node a(net, "a", options);
  node b(net, "b");
  b.port = 0;  // No address is known.
  a.Forward(b, 1, "");
  raw_server silent(net);
  b.vm = "c";
  b.port = silent.port;
  a.Forward(b, 2, "");
  a.Forward(b, 3, "");
  REQUIRE(net.RunUntil([&] { return a.lines.size() == 3; }));
  CHECK(a.lines == lines{"failed 1", "failed 2", "failed 3"});
  node d(net, "d");
  a.Forward(d, 4, std::string(kMaxFrameBytes, 'x'));
  REQUIRE(net.RunUntil([&] { return a.Has("failed 4"); }));
  a.Forward(d, 5, "small");
  REQUIRE(net.RunUntil([&] { return d.Has("call a 5 /p small"); }));
}

// Guards against attempts that wait forever, at either end, after their link
// was lost.
TEST_CASE("a lost call link is reported at both ends") {
  net_harness net;
  node a(net, "a");
  auto b = std::make_unique<node>(net, "b");
  a.Forward(*b, 1, "x");
  REQUIRE(net.RunUntil([&] { return b->lines.size() == 1; }));
  b.reset();
  REQUIRE(net.RunUntil([&] { return !a.lines.empty(); }));
  CHECK(a.lines == lines{"calls down b"});
  auto c = std::make_unique<node>(net, "c");
  node d(net, "d");
  c->Forward(d, 1, "x");
  REQUIRE(net.RunUntil([&] { return d.lines.size() == 1; }));
  c.reset();
  REQUIRE(net.RunUntil([&] { return d.Has("calls down c"); }));
}

// Guards against idle call links that stay open, and against reporting the
// close of an idle link as a loss.
TEST_CASE("idle call links close silently and open again") {
  net_harness net;
  link_options options = Options("a", {});
  options.call_idle_timeout = std::chrono::milliseconds(40);
  node a(net, "a", options);
  node b(net, "b");
  a.Forward(b, 1, "x");
  REQUIRE(net.RunUntil([&] { return b.lines.size() == 1; }));
  b.Answer("a", 1, "y");
  REQUIRE(net.RunUntil([&] { return a.lines.size() == 1; }));
  bool elapsed = false;
  net.timers.After(std::chrono::milliseconds(150),
                   sigc::slot<void()>([&] { elapsed = true; }));
  REQUIRE(net.RunUntil([&] { return elapsed; }));
  a.Forward(b, 2, "z");
  REQUIRE(net.RunUntil([&] { return b.lines.size() == 2; }));
  CHECK(a.lines == lines{"answer b 1 200 y"});
  CHECK(b.lines == lines{"call a 1 /p x", "call a 2 /p z"});
}

// Returns the request that opens a WebSocket for `path` as daemon `vm`.
std::string Handshake(const std::string& path, const std::string& vm) {
  return "GET " + path +
         " HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\n"
         "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
         "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n" +
         (vm.empty() ? "" : "X-Pimentohall-Vm: " + vm + "\r\n") + "\r\n";
}
std::string MaskedFrame(const std::string& payload) {
  REQUIRE(payload.size() < 126);
  return std::string("\x82") + static_cast<char>(0x80 | payload.size()) +
         std::string(4, '\0') + payload;
}

// Guards against a bad frame that affects other links.
TEST_CASE("bad frames close their link only") {
  net_harness net;
  node a(net, "a");
  node b(net, "b");
  a.OpenTo(b);
  REQUIRE(net.RunUntil([&] { return b.Has("up a"); }));
  const std::string huge_head("\x82\xff\0\0\0\0\x00\x20\x00\x01\0\0\0\0", 14);
  const std::pair<std::string, std::string> test_cases[] = {
      {"/v1/control", MaskedFrame("nonsense")},
      {"/v1/control", MaskedFrame("")},
      {"/v1/control", MaskedFrame(EncodeFrame(cancel_frame{1}))},
      {"/v1/control", "\xff\xff\xff\xff\xff\xff"},
      {"/v1/control", huge_head},
      {"/v1/calls", MaskedFrame("\x81\x81\x81")},
      {"/v1/calls", MaskedFrame(EncodeFrame(answer_frame{}))},
  };
  for (const auto& entry : test_cases) {
    const auto& path = entry.first;
    const auto& bytes = entry.second;
    CAPTURE(path);
    raw_stream client(net, b.port);
    client.Write(Handshake(path, "x"));
    REQUIRE(net.RunUntil([&] { return client.Has("\r\n\r\n"); }));
    CHECK(client.Has("HTTP/1.1 101"));
    client.Write(bytes);
    REQUIRE(net.RunUntil([&] { return client.closed; }));
  }
  CHECK(b.links.Counts().bad_frames == 5);
  a.SendText("b", "still up");
  REQUIRE(net.RunUntil([&] { return b.Has("message a still up"); }));
  CHECK_FALSE(b.Has("down a"));
}

// Guards against unknown clients on the link port.
TEST_CASE("handshakes that are refused") {
  net_harness net;
  node b(net, "b");
  const std::string test_cases[] = {
      Handshake("/other", "x"), Handshake("/v1/control", ""),
      Handshake("/v1/control", std::string(200, 'x')),
      "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "nonsense\r\n\r\n"};
  for (const std::string& bytes : test_cases) {
    CAPTURE(bytes);
    raw_stream client(net, b.port);
    client.Write(bytes);
    REQUIRE(net.RunUntil([&] { return client.closed; }));
    CHECK_FALSE(client.Has("HTTP/1.1 101"));
  }
  CHECK(b.lines.empty());
}

// Guards against a link to a peer without the right certificate.
TEST_CASE("mutual TLS") {
  net_harness net;
  test_authority authority;
  test_authority other_authority;
  node a(net, "a", authority.Issue("a"));
  node b(net, "b", authority.Issue("b"));
  a.OpenTo(b);
  a.Forward(b, 1, "secret");
  REQUIRE(net.RunUntil([&] { return b.lines.size() == 2; }));
  CHECK(b.Has("up a"));
  CHECK(b.Has("call a 1 /p secret"));
  // Peers with a certificate of another authority, a certificate of another
  // name, no certificate, or no TLS.
  node stranger(net, "s", other_authority.Issue("s"));
  node impostor(net, "a", authority.Issue("c"));
  node plain(net, "p");
  b.lines.clear();
  for (node* n : {&stranger, &impostor, &plain}) {
    n->OpenTo(b);
    REQUIRE(net.RunUntil([&] { return n->Has("down b"); }));
    CHECK_FALSE(n->Has("up b"));
  }
  tls_client anonymous(net, b.port);
  anonymous.Write(Handshake("/v1/control", "a"));
  REQUIRE(net.RunUntil([&] { return anonymous.IsClosed(); }));
  CHECK_FALSE(anonymous.Has("101"));
  // A dial that reaches another daemon than it asked for.
  a.links.Open({"elsewhere", "127.0.0.1", b.port});
  REQUIRE(net.RunUntil([&] { return a.Has("down elsewhere"); }));
  CHECK_FALSE(b.Has("message a"));
  b.lines.erase(std::remove(b.lines.begin(), b.lines.end(), "up a"),
                b.lines.end());
  CHECK(std::none_of(b.lines.begin(), b.lines.end(), [](const auto& line) {
    return line.rfind("up", 0) == 0;
  }));
}

}  // namespace
}  // namespace pimentohall::net
