#!/usr/bin/env bash
# Crowds of clients that ignore the rules, one case after the other, with the
# programs of the build folder $1. Cases that KNOWN-RED.txt lists are run and
# printed, and don't count.
set -uo pipefail
cd "$(dirname "$0")/../.."
folder=$1
result=0
for name in $("$folder/hostile_clients" --programs "$folder" --list); do
  "$folder/hostile_clients" --programs "$folder" --case "$name" && continue
  if grep -qxF "test: hostile_clients $name" KNOWN-RED.txt; then
    echo "KNOWN RED: hostile_clients $name"
  else
    result=1
  fi
done
exit "$result"
