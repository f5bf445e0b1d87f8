#ifndef PIMENTOHALL_TESTING_FLEET_HTTP_CLIENT_H_
#define PIMENTOHALL_TESTING_FLEET_HTTP_CLIENT_H_

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fleet/fleet_error.h"

namespace pimentohall::testing {

struct http_call {
  std::string method = "GET";  // GET, PUT or POST.
  std::string path;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
};

struct http_reply {
  int status = 0;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;

  // Value of a header, or empty. `name` is in lower case.
  std::string Header(const std::string& name) const;
};

// A blocking client with one persistent connection to 127.0.0.1.
class http_client {
 public:
  http_client(int port, std::chrono::milliseconds timeout);
  ~http_client();
  http_client(http_client&&) noexcept;
  http_client& operator=(http_client&&) noexcept;

  fleet_result<http_reply> Send(const http_call& call);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

// Returns the body of a GET; an error unless it is answered with 200 within
// 3 s.
fleet_result<std::string> HttpGet(int port, const std::string& path);

}  // namespace pimentohall::testing

#endif  // PIMENTOHALL_TESTING_FLEET_HTTP_CLIENT_H_
