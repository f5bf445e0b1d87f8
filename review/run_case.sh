#!/usr/bin/env bash
# Runs case $1 with a temporary folder: 1 the rule was broken, 0 it held, 2 the
# case couldn't run.
set -uo pipefail
cd "$(dirname "$0")/.."
program=build-review/review_case_$1
if [ ! -x "$program" ] || [ ! -x target/pimentohalld ]; then
  echo "not built: see deploy/system.toml and review/build.sh" >&2
  exit 2
fi
folder=$(mktemp -d)
"$program" "$folder" "review/$1/record.txt" "${TROUBLE:-1}"
result=$?
rm -rf "$folder"
[ "$result" -le 1 ] && exit "$result"
exit 2
