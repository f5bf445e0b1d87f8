// Baseline for the daemon's cost: a bare evhttp server that answers every
// request at once with its X-Call-Id.

#include <tclap/CmdLine.h>

#include "http_standin/http_server.h"

int main(int argc, char** argv) {
  using pimentohall::testing::Header;
  using pimentohall::testing::Reply;
  TCLAP::CmdLine line("Bare evhttp echo server", ' ', "0.1.0");
  TCLAP::ValueArg<int> port("", "port", "port", true, 0, "port", line);
  line.parse(argc, argv);
  pimentohall::testing::http_server server;
  server.OnRequest([](evhttp_request* request) {
    const std::string call_id = Header(request, "X-Call-Id");
    if (!call_id.empty()) {
      evhttp_add_header(evhttp_request_get_output_headers(request), "X-Call-Id",
                        call_id.c_str());
    }
    Reply(request, 200, call_id + "\n");
  });
  if (!server.Listen("127.0.0.1", port.getValue())) return 1;
  server.Run();
  return 0;
}
