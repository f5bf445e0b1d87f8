#include "net/tls.h"

#include <event2/bufferevent_ssl.h>
#include <openssl/err.h>
#include <openssl/x509.h>

namespace pimentohall::net {
namespace {

std::string OpensslError(const std::string& file) {
  const unsigned long code = ERR_get_error();
  ERR_clear_error();
  char text[256];
  ERR_error_string_n(code, text, sizeof(text));
  return file + ": " + text;
}

using x509_ptr = std::unique_ptr<X509, free_with<X509_free>>;

}  // namespace

tl::expected<ssl_context_ptr, std::string> LoadTlsContext(
    const tls_files& files) {
  ssl_context_ptr context(SSL_CTX_new(TLS_method()));
  SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION);
  if (SSL_CTX_use_certificate_chain_file(context.get(),
                                         files.certificate.c_str()) != 1) {
    return tl::unexpected(OpensslError(files.certificate));
  }
  if (SSL_CTX_use_PrivateKey_file(context.get(), files.key.c_str(),
                                  SSL_FILETYPE_PEM) != 1 ||
      SSL_CTX_check_private_key(context.get()) != 1) {
    return tl::unexpected(OpensslError(files.key));
  }
  if (files.ca.empty()) return context;
  if (SSL_CTX_load_verify_locations(context.get(), files.ca.c_str(), nullptr) !=
      1) {
    return tl::unexpected(OpensslError(files.ca));
  }
  SSL_CTX_set_verify(context.get(),
                     SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT,
                     nullptr);
  return context;
}

bufferevent* NewBufferevent(event_base* base, int fd, SSL_CTX* context,
                            tls_role role) {
  if (context == nullptr) {
    return bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
  }
  bufferevent* stream = bufferevent_openssl_socket_new(
      base, fd, SSL_new(context),
      role == tls_role::kAccept ? BUFFEREVENT_SSL_ACCEPTING
                                : BUFFEREVENT_SSL_CONNECTING,
      BEV_OPT_CLOSE_ON_FREE);
  // Bodies carry their own lengths, so a missing close_notify can't hide a
  // truncation.
  bufferevent_openssl_set_allow_dirty_shutdown(stream, 1);
  return stream;
}

bool PeerHasName(bufferevent* connection, const std::string& name) {
  SSL* ssl = bufferevent_openssl_get_ssl(connection);
  if (ssl == nullptr) return true;
  const x509_ptr certificate(SSL_get1_peer_certificate(ssl));
  if (!certificate) return false;
  X509_NAME* subject = X509_get_subject_name(certificate.get());
  const int index = X509_NAME_get_index_by_NID(subject, NID_commonName, -1);
  if (index < 0) return false;
  const ASN1_STRING* common_name =
      X509_NAME_ENTRY_get_data(X509_NAME_get_entry(subject, index));
  return name ==
         std::string_view(
             reinterpret_cast<const char*>(ASN1_STRING_get0_data(common_name)),
             static_cast<std::size_t>(ASN1_STRING_length(common_name)));
}

}  // namespace pimentohall::net
