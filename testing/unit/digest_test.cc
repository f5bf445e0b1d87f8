#include <doctest/doctest.h>

#include "pimentohall/config.h"

namespace pimentohall::config {
namespace {

// Guards against a digest that differs from SHA-256 (FIPS 180-4 test vectors).
TEST_CASE("Sha256Hex matches the published test vectors") {
  CHECK(Sha256Hex("") ==
        "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
  CHECK(Sha256Hex("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against a comparison that accepts a prefix.
TEST_CASE("ConstantTimeEquals compares whole digests") {
  CHECK(ConstantTimeEquals("abcd", "abcd"));
  CHECK_FALSE(ConstantTimeEquals("abcd", "abce"));
  CHECK_FALSE(ConstantTimeEquals("abcd", "abc"));
}

}  // namespace
}  // namespace pimentohall::config
