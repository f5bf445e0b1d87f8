#!/usr/bin/env bash
# Guards against wrong exit codes of `pimentohall check-platform`, and against
# output that differs from the session in docs/operators.md. Runs the program
# of the build folder $1 on the files of platform/examples.
set -uo pipefail
cd "$(dirname "$0")/../.."
program=$(realpath "$1")/pimentohall
documented=$(realpath docs/operators.md)
cd platform/examples
result=0

# expect CODE ARGUMENTS...: the exit code, with and without --json.
expect() {
  local wanted=$1 got
  shift
  for json in "" --json; do
    "$program" check-platform "$@" $json >/dev/null 2>&1
    got=$?
    [ "$got" -eq "$wanted" ] && continue
    echo "check-platform $* $json: exit code $got, expected $wanted"
    result=1
  done
}

expect 0 current.json --current current.json
expect 1 current.json --current current.json --servers servers.json
expect 2 faulty.json
expect 3 servers.json                        # No configuration.
expect 3 current.json --current missing.json
expect 3 current.json --servers current.json # No entries.
expect 3 current.json --evacuated north      # Has no effect alone.
expect 3

arguments=(faulty.json --current current.json --servers servers.json
  --evacuated north --memory-mb 160)
# The lines between the command and the next one, without the indentation.
session=$(sed -n '/--evacuated north --memory-mb 160$/,/^    \$ /p' "$documented" |
  sed '1d;$d;s/^    //')
diff <(echo "$session") <("$program" check-platform "${arguments[@]}") || result=1
exit "$result"
