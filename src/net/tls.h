#ifndef PIMENTOHALL_NET_TLS_H_
#define PIMENTOHALL_NET_TLS_H_

// TLS contexts and the bufferevents made from them.

#include <string>

#include "net/raii.h"
#include "pimentohall/net.h"

namespace pimentohall::net {

// Reads the PEM files. With a CA, the peer must present a certificate signed by
// the CA; without one (HTTP front), no certificate is requested. Connections
// keep the context that they were opened with.
tl::expected<ssl_context_ptr, std::string> LoadTlsContext(
    const tls_files& files);

enum class tls_role { kAccept, kConnect };

// Returns a bufferevent on `fd` (-1: set later). With a null context it uses
// plain TCP.
bufferevent* NewBufferevent(event_base* base, int fd, SSL_CTX* context,
                            tls_role role);

// Returns true for plain TCP connections, and if `name` is the subject's common
// name in the peer's certificate.
bool PeerHasName(bufferevent* connection, const std::string& name);

}  // namespace pimentohall::net

#endif  // PIMENTOHALL_NET_TLS_H_
