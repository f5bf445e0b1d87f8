#ifndef PIMENTOHALL_TESTING_HTTP_SERVER_H_
#define PIMENTOHALL_TESTING_HTTP_SERVER_H_

// A thin owner of an evhttp server for the stand-ins.
//
//   http_server server;
//   server.OnRequest([](evhttp_request* request) { Reply(request, 200, ""); });
//   if (!server.Listen("127.0.0.1", 8500)) return 1;
//   server.Run();

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace pimentohall::testing {

// Sends a whole answer.
void Reply(evhttp_request* request, int status, const std::string& body);

// Value of a header of the request, or empty.
std::string Header(evhttp_request* request, const char* name);

// Path of the request without the query, and the decoded query parameters.
std::string Path(evhttp_request* request);
std::map<std::string, std::string> Query(evhttp_request* request);

// Whole body of the request.
std::string Body(evhttp_request* request);

// True if the request has this method.
bool HasMethod(evhttp_request* request, evhttp_cmd_type method);

class http_server {
 public:
  using handler = std::function<void(evhttp_request*)>;

  http_server();
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  void OnRequest(handler handler);
  bool Listen(const std::string& address, int port);
  // Runs until SIGTERM or SIGINT.
  void Run();
  // Calls `run` once after the delay.
  void After(std::chrono::microseconds delay, std::function<void()> run);
  event_base* Base() { return base_; }

 private:
  static void Dispatch(evhttp_request* request, void* self);

  event_base* base_;
  evhttp* http_;
  event* terminate_ = nullptr;
  event* interrupt_ = nullptr;
  handler handler_;
};

}  // namespace pimentohall::testing

#endif  // PIMENTOHALL_TESTING_HTTP_SERVER_H_
