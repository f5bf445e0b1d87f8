#include <openssl/crypto.h>
#include <openssl/evp.h>

#include "pimentohall/config.h"

namespace pimentohall::config {

std::string Sha256Hex(std::string_view bytes) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  EVP_Digest(bytes.data(), bytes.size(), digest, &size, EVP_sha256(), nullptr);
  static constexpr char kHexDigits[] = "0123456789abcdef";
  std::string hex;
  hex.reserve(2 * size);
  for (unsigned int i = 0; i < size; ++i) {
    hex.push_back(kHexDigits[digest[i] >> 4]);
    hex.push_back(kHexDigits[digest[i] & 0xf]);
  }
  return hex;
}

bool ConstantTimeEquals(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace pimentohall::config
