#ifndef PIMENTOHALL_CLI_ADMIN_CLIENT_H_
#define PIMENTOHALL_CLI_ADMIN_CLIENT_H_

#include <string>
#include <tl/expected.hpp>

namespace pimentohall::cli {

// Reports a malformed address, or a daemon that did not answer or answered with
// a status other than 200.
struct admin_error {
  std::string address;
  std::string problem;
  std::string ToString() const { return address + ": " + problem; }
};

// Timeout of a request to a daemon.
inline constexpr int kAdminTimeoutSeconds = 3;

// Returns the body of GET `path` at a daemon's admin address
// ("127.0.0.1:9901").
tl::expected<std::string, admin_error> AdminGet(const std::string& address,
                                                const std::string& path);

// Percent-encodes a query parameter.
std::string EncodeParameter(const std::string& text);

}  // namespace pimentohall::cli

#endif  // PIMENTOHALL_CLI_ADMIN_CLIENT_H_
