// The client with which `pimentohall` reads a daemon's pages.

#include "cli/admin_client.h"

#include <doctest/doctest.h>

#include <future>

#include "net_harness.h"

namespace pimentohall::cli {
namespace {

// Reads a page from a server that answers with these bytes and closes.
tl::expected<std::string, admin_error> Get(const std::string& host,
                                           const std::string& answer) {
  net::net_harness net;
  net::raw_server server(net);
  server.on_read = [&answer](net::raw_stream* stream) {
    if (!net::HasWholeHead(*stream)) return;
    stream->Write(answer);
    stream->CloseAfterWrite();
  };
  const std::string address = host + ":" + std::to_string(server.port);
  auto page = std::async(std::launch::async,
                         [&address] { return AdminGet(address, "/state"); });
  const auto is_done = [&page] {
    return page.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
  };
  const sigc::connection wake_up =
      net.timers.Every(std::chrono::milliseconds(5), sigc::slot<void()>([] {}));
  CHECK(net.RunUntil(is_done));
  return page.get();
}

TEST_CASE("a daemon's page is read, and errors are reported") {
  for (const char* host : {"127.0.0.1", "localhost"}) {
    const auto page =
        Get(host, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    REQUIRE(page);
    CHECK(*page == "{}");
  }
  const auto missing =
      Get("127.0.0.1", "HTTP/1.1 404 No\r\nContent-Length: 2\r\n\r\nno");
  REQUIRE_FALSE(missing);
  CHECK(missing.error().problem == "answered 404");
}

TEST_CASE("a malformed or truncated page is reported as no answer") {
  const std::string answers[] = {
      "",
      "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
      "HTTP/1.1 0200 OK\r\nContent-Length: 2\r\n\r\n{}",
      "HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\n{}",
      "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}",
      "HTTP/1.1 200 OK\r\nA\x01: b\r\nContent-Length: 2\r\n\r\n{}",
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n{}",
      "HTTP/1.1 200 OK\r\nX: " + std::string(100000, 'x') +
          "\r\nContent-Length: 2\r\n\r\n{}"};
  for (const std::string& answer : answers) {
    CAPTURE(answer.substr(0, 60));
    const auto page = Get("127.0.0.1", answer);
    CHECK_FALSE(page);
    if (!page) CHECK(page.error().problem == "no answer");
  }
}

}  // namespace
}  // namespace pimentohall::cli
