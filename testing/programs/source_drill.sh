#!/usr/bin/env bash
# Drills of a store that comes back from an older copy, all at once, with the
# programs of the build folder $1. Cases that KNOWN-RED.txt lists are run and
# printed, and don't count.
set -uo pipefail
cd "$(dirname "$0")/../.."
folder=$1
result=0
seed=100
names=()
processes=()
for name in $("$folder/source_drill" --list); do
  seed=$((seed + 1))
  "$folder/source_drill" --programs "$folder" --case "$name" --seed "$seed" &
  names+=("$name")
  processes+=("$!")
done
for i in "${!names[@]}"; do
  wait "${processes[$i]}" && continue
  if grep -qxF "test: source_drill ${names[$i]}" KNOWN-RED.txt; then
    echo "KNOWN RED: source_drill ${names[$i]}"
  else
    result=1
  fi
done
exit "$result"
