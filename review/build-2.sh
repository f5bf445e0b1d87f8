#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into build-review-2/. They need the
# C++ compiler only; the daemon is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
g++ -std=c++17 -O2 -Wall -Wextra -c review/standins-2/bed.cc \
  -o build-review-2/bed.o
for source in review/*/case-2.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++17 -O2 -Wall -Wextra -Ireview/standins-2 "$source" \
    build-review-2/bed.o -o "build-review-2/case-$number"
done
