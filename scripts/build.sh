#!/usr/bin/env bash
# Configures and builds into the folder $1; further arguments go to cmake.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$1
shift
cmake -S . -B "$folder" -G Ninja "$@" >"/tmp/pimentohall-cmake.$$" 2>&1 ||
  { cat "/tmp/pimentohall-cmake.$$"; rm -f "/tmp/pimentohall-cmake.$$"; exit 1; }
rm -f "/tmp/pimentohall-cmake.$$"
ninja -C "$folder" -j "${JOBS:-8}" --quiet
