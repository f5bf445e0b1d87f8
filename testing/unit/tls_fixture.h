#ifndef PIMENTOHALL_UNIT_TLS_FIXTURE_H_
#define PIMENTOHALL_UNIT_TLS_FIXTURE_H_

// A certificate authority in a temporary folder, and a TLS client.

#include <doctest/doctest.h>
#include <event2/bufferevent_ssl.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <cstdlib>
#include <filesystem>
#include <string>

#include "net/raii.h"
#include "net_harness.h"

namespace pimentohall::net {

using x509_ptr = std::unique_ptr<X509, free_with<X509_free>>;
using key_ptr = std::unique_ptr<EVP_PKEY, free_with<EVP_PKEY_free>>;

class test_authority {
 public:
  test_authority() {
    std::string pattern =
        std::filesystem::temp_directory_path() / "pimentohall-XXXXXX";
    REQUIRE(mkdtemp(pattern.data()) != nullptr);
    folder_ = pattern;
    ca_key_.reset(EVP_EC_gen("P-256"));
    ca_ = Certify("test-ca", ca_key_.get(), nullptr);
    WriteCertificate(folder_ / "ca.pem", ca_.get());
  }
  ~test_authority() { std::filesystem::remove_all(folder_); }
  test_authority(const test_authority&) = delete;
  test_authority& operator=(const test_authority&) = delete;

  // Issues a certificate with this common name, signed by the authority, and
  // returns its files.
  tls_files Issue(const std::string& name) {
    const key_ptr key(EVP_EC_gen("P-256"));
    const x509_ptr certificate = Certify(name, key.get(), ca_.get());
    tls_files files = {folder_ / (name + ".pem"), folder_ / (name + ".key"),
                       folder_ / "ca.pem"};
    WriteCertificate(files.certificate, certificate.get());
    FILE* file = std::fopen(files.key.c_str(), "w");
    PEM_write_PrivateKey(file, key.get(), nullptr, nullptr, 0, nullptr,
                         nullptr);
    std::fclose(file);
    return files;
  }

  // Moves the files of `source` over those of `target`.
  static void Replace(const tls_files& source, const tls_files& target) {
    std::filesystem::rename(source.certificate, target.certificate);
    std::filesystem::rename(source.key, target.key);
  }

 private:
  x509_ptr Certify(const std::string& name, EVP_PKEY* key, X509* issuer) {
    x509_ptr certificate(X509_new());
    X509_set_version(certificate.get(), 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), ++serial_);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -3600);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), 3600);
    X509_set_pubkey(certificate.get(), key);
    X509_NAME* subject = X509_get_subject_name(certificate.get());
    X509_NAME_add_entry_by_txt(
        subject, "CN", MBSTRING_ASC,
        reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
    X509_set_issuer_name(certificate.get(), issuer != nullptr
                                                ? X509_get_subject_name(issuer)
                                                : subject);
    if (issuer == nullptr) {
      X509_EXTENSION* extension = X509V3_EXT_conf_nid(
          nullptr, nullptr, NID_basic_constraints, "critical,CA:TRUE");
      X509_add_ext(certificate.get(), extension, -1);
      X509_EXTENSION_free(extension);
    }
    X509_sign(certificate.get(), ca_key_.get(), EVP_sha256());
    return certificate;
  }

  static void WriteCertificate(const std::filesystem::path& path,
                               X509* certificate) {
    FILE* file = std::fopen(path.c_str(), "w");
    PEM_write_X509(file, certificate);
    std::fclose(file);
  }

  std::filesystem::path folder_;
  key_ptr ca_key_;
  x509_ptr ca_;
  long serial_ = 0;
};

// A TLS client that presents no certificate and accepts any.
class tls_client {
 public:
  tls_client(net_harness& net, int port)
      : context_(SSL_CTX_new(TLS_client_method())),
        ssl_(SSL_new(context_.get())) {
    bufferevent* stream = bufferevent_openssl_socket_new(
        net.loop.Base(), -1, ssl_, BUFFEREVENT_SSL_CONNECTING,
        BEV_OPT_CLOSE_ON_FREE);
    stream_ = std::make_unique<raw_stream>(stream);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    bufferevent_socket_connect(stream, reinterpret_cast<sockaddr*>(&address),
                               sizeof(address));
  }

  void Write(const std::string& bytes) { stream_->Write(bytes); }
  bool Has(const std::string& text) const { return stream_->Has(text); }
  bool IsClosed() const { return stream_->closed; }

  // Returns the common name of the server's certificate.
  std::string PeerName() const {
    const x509_ptr peer(SSL_get1_peer_certificate(ssl_));
    char name[128] = "";
    X509_NAME_get_text_by_NID(X509_get_subject_name(peer.get()), NID_commonName,
                              name, sizeof(name));
    return name;
  }

 private:
  ssl_context_ptr context_;
  SSL* ssl_;  // Owned by the stream.
  std::unique_ptr<raw_stream> stream_;
};

}  // namespace pimentohall::net

#endif  // PIMENTOHALL_UNIT_TLS_FIXTURE_H_
