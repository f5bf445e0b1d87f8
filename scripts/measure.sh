#!/usr/bin/env bash
# Runs every measuring program of the build folder $1. Rows go to
# $1/measure.jsonl, tables to standard output. With QUICK=1 the sizes are small.
# Fails only if a row could not be measured.
set -uo pipefail
cd "$(dirname "$0")/.."
folder=$1
rows=$folder/measure.jsonl
quick=()
[ "${QUICK:-0}" = 1 ] && quick=(--quick)
status=0
: >"$rows"
echo "load before the run: $(cut -d' ' -f1-3 /proc/loadavg), $(nproc) cores"
if [ -x "$folder/core_bench" ]; then
  "$folder/core_bench" --out "$rows" "${quick[@]}" || status=1
fi
"$folder/fault_matrix" --examples examples --out "$rows" || status=1
"$folder/fleet_measure" --programs "$folder" --config examples/tsurumaki \
  --out "$rows" "${quick[@]}" || status=1
exit "$status"
