#!/usr/bin/env bash
# Runs every test of the build folder $1 and prints "N passed, N failed".
# Tests that KNOWN-RED.txt lists are run, printed, and not counted as failed.
set -uo pipefail
cd "$(dirname "$0")/.."
folder=$1
passed=0
failed=0

# count_result NAME STATUS
count_result() {
  if [ "$2" -eq 0 ]; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "FAILED: $1"
  fi
}

known_red() { grep -qxF "test: $1" KNOWN-RED.txt 2>/dev/null; }

log=$(mktemp)
trap 'rm -f "$log"' EXIT

# Unit tests: one count for each doctest case. The load patterns need only
# processor time, so they run beside the other cases.
logs=$(mktemp -d)
trap 'rm -rf "$log" "$logs"' EXIT
counted_cases() {
  "$folder/unit_tests" "$@" --count |
    sed -nE 's/.*passing the current filters: ([0-9]+).*/\1/p'
}
shards=("-tce=pattern*" "-tc=pattern:*" "-tc=patterns with*"
  "-tc=*part 1:*" "-tc=*part 2:*" "-tc=*part 3:*")
for i in "${!shards[@]}"; do
  {
    timeout 2400 "$folder/unit_tests" "${shards[$i]}" >"$logs/$i" 2>&1
    echo "$?" >"$logs/$i.status"
  } &
done
wait
sharded=0
for shard in "${shards[@]}"; do
  sharded=$((sharded + $(counted_cases "$shard")))
done
if [ "$sharded" -ne "$(counted_cases)" ]; then
  count_result "unit_tests: $sharded of $(counted_cases) cases are in a shard" 1
fi
for i in "${!shards[@]}"; do
  status=$(cat "$logs/$i.status")
  grep -E 'ERROR|FATAL|TEST CASE|values:' "$logs/$i" | head -60
  summary=$(sed 's/\x1b\[[0-9;]*m//g' "$logs/$i" | grep -E 'test cases:' |
    tail -1)
  unit_passed=$(sed -nE 's/.*\| +([0-9]+) passed.*/\1/p' <<<"$summary")
  unit_failed=$(sed -nE 's/.*\| +([0-9]+) failed.*/\1/p' <<<"$summary")
  passed=$((passed + ${unit_passed:-0}))
  failed=$((failed + ${unit_failed:-0}))
  # A shard that matches no case, or that ends early, has failed too.
  if [ "${unit_passed:-0}" -eq 0 ] ||
    { [ "$status" -ne 0 ] && [ "${unit_failed:-0}" -eq 0 ]; }; then
    tail -20 "$logs/$i"
    count_result "unit_tests ${shards[$i]} (exit $status)" 1
  fi
done

# Scenarios: one count for each file.
if [ -x "$folder/scenario_runner" ]; then
  for scenario in testing/scenarios/*.scn; do
    [ -e "$scenario" ] || continue
    timeout 600 "$folder/scenario_runner" "$scenario" >"$log" 2>&1
    status=$?
    if [ "$status" -ne 0 ] && known_red "$scenario"; then
      echo "KNOWN RED: $scenario: $(tail -1 "$log")"
      continue
    fi
    [ "$status" -eq 0 ] || tail -5 "$log"
    count_result "$scenario" "$status"
  done
fi

# Fuzz targets: the corpus and mutations of it from fixed seeds.
for target in "$folder"/fuzz_*; do
  [ -f "$target" ] && [ -x "$target" ] || continue
  name=$(basename "$target")
  timeout 600 "$target" testing/corpus/"$name" >"$log" 2>&1
  status=$?
  [ "$status" -eq 0 ] || tail -20 "$log"
  count_result "$name" "$status"
done

# Tests of the programs themselves.
for script in testing/programs/*.sh; do
  [ -e "$script" ] || continue
  timeout 600 bash "$script" "$folder" >"$log" 2>&1
  status=$?
  [ "$status" -eq 0 ] || tail -20 "$log"
  count_result "$script" "$status"
done

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
