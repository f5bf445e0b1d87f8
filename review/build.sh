#!/usr/bin/env bash
# Builds the stand-ins of the cases into build-review/. The daemon itself is
# built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-review -G Ninja -DCMAKE_BUILD_TYPE=Release \
  -DCMAKE_PROJECT_INCLUDE="$PWD/review/defer.cmake"
cmake --build build-review -j "${JOBS:-6}" --target review_cases
