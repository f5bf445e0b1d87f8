#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the demo need.
# Does nothing when all of them are already installed.
set -euo pipefail
packages=(
  build-essential cmake ninja-build ccache clang clang-format clang-tidy
  libclang-rt-14-dev openssl pkg-config libsigc++-3.0-dev libevent-dev
  libwebsocketpp-dev libboost-dev prometheus-cpp-dev libtclap-dev
  libgoogle-glog-dev libexpected-dev doctest-dev nlohmann-json3-dev
  libxxhash-dev libssl-dev librapidcheck-dev libbenchmark-dev
  libhttp-parser-dev libsimdjson-dev libzstd-dev
)
missing=()
for package in "${packages[@]}"; do
  status=$(dpkg-query -W -f '${Status}' "$package" 2>/dev/null || true)
  [ "$status" = "install ok installed" ] || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
sudo=()
[ "$(id -u)" -eq 0 ] || sudo=(sudo)
export DEBIAN_FRONTEND=noninteractive
"${sudo[@]}" apt-get update -qq
"${sudo[@]}" apt-get install -y -qq "${missing[@]}" >/dev/null
