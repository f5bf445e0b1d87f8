#!/usr/bin/env bash
# A short seeded run of the soak, with the programs of the build folder $1: two
# seeds, and those that once failed.
set -euo pipefail
cd "$(dirname "$0")/../.."
folder=$1
"$folder/soak" --programs "$folder" --seed 1 --seeds 2 --length 5
while read -r seed daemons length _; do
  [[ "$seed" =~ ^[0-9]+$ ]] || continue
  "$folder/soak" --programs "$folder" --seed "$seed" --daemons "$daemons" \
    --length "$length"
done <testing/soak/seeds.txt
