#ifndef PIMENTOHALL_NET_TLS_H_
#define PIMENTOHALL_NET_TLS_H_

// TLS contexts and the bufferevents made from them.

#include <string>

#include "net/raii.h"
#include "pimentohall/net.h"

namespace pimentohall::net {

// Reads the PEM files. With a CA the peer must show a certificate that the CA
// signed; without one (HTTP front) no certificate is asked for. Connections
// keep the context that they were opened with.
tl::expected<ssl_context_ptr, std::string> LoadTlsContext(
    const tls_files& files);

enum class tls_role { kAccept, kConnect };

// A bufferevent on `fd` (-1: set later). With a null context it is plain TCP.
bufferevent* NewBufferevent(event_base* base, int fd, SSL_CTX* context,
                            tls_role role);

// True on plain connections, and if the peer's certificate has `name` as the
// common name of its subject.
bool PeerHasName(bufferevent* connection, const std::string& name);

}  // namespace pimentohall::net

#endif  // PIMENTOHALL_NET_TLS_H_
