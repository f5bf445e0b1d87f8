#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include "net_harness.h"

namespace pimentohall::net {
namespace {

// Replaces standard output by a pipe during its lifetime.
struct stdout_pipe {
  stdout_pipe() : saved(dup(STDOUT_FILENO)) {
    REQUIRE(pipe(ends) == 0);
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    dup2(ends[1], STDOUT_FILENO);
  }
  ~stdout_pipe() {
    dup2(saved, STDOUT_FILENO);
    close(saved);
    close(ends[0]);
    close(ends[1]);
  }
  std::string Read() const {
    std::string text;
    char bytes[4096];
    for (ssize_t size = 0; (size = read(ends[0], bytes, sizeof(bytes))) > 0;) {
      text.append(bytes, static_cast<std::size_t>(size));
    }
    return text;
  }

  int saved;
  int ends[2] = {-1, -1};
};

// Guards against a log reader that stops reading and so blocks the daemon or
// fills its memory.
TEST_CASE("a stalled log reader loses lines and costs the daemon no time") {
  net_harness net;
  std::string text;
  std::uint64_t dropped = 0;
  core::duration elapsed{0};
  {
    const stdout_pipe out;
    const log_stream log(net.loop, net.timers,
                         {64 * 1024, 1e9, std::chrono::milliseconds(10)});
    const core::instant start = net.loop.Now();
    // The lines of ten seconds, in ten parts with a flush after each.
    for (int part = 0; part < 10; ++part) {
      for (int i = 0; i < 400; ++i) {
        Log(core::log_level::kInfo, "call ended",
            {{"request", std::string(60, 'r')}});
      }
      net.timers.RunDue(net.loop.Now() + std::chrono::seconds(1));
    }
    elapsed = net.loop.Now() - start;
    dropped = DroppedLogLines();
    for (int i = 0; i < 20; ++i) {
      text += out.Read();
      net.timers.RunDue(net.loop.Now() + std::chrono::seconds(20 + i));
    }
  }
  CHECK(elapsed < std::chrono::seconds(2));
  CHECK(dropped > 0);
  CHECK(text.find("log lines dropped") != std::string::npos);
  CHECK(text.find("\"call ended\":\"") != std::string::npos);
}

TEST_CASE("lines above the rate limit are dropped, warnings are kept") {
  net_harness net;
  std::string text;
  {
    const stdout_pipe out;
    const log_stream log(net.loop, net.timers,
                         {64 * 1024, 5, std::chrono::milliseconds(10)});
    for (int i = 0; i < 50; ++i) Log(core::log_level::kInfo, "plain");
    Log(core::log_level::kWarning, "important");
    net.timers.RunDue(net.loop.Now() + std::chrono::seconds(1));
    text = out.Read();
    CHECK(DroppedLogLines() >= 40);
  }
  CHECK(text.find("\"important\"") != std::string::npos);
  std::size_t plain_lines = 0;
  for (std::size_t position = 0;
       (position = text.find("\"message\":\"plain\"", position)) !=
       std::string::npos;
       ++position) {
    ++plain_lines;
  }
  CHECK(plain_lines <= 6);
}

}  // namespace
}  // namespace pimentohall::net
