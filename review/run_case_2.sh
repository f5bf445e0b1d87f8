#!/usr/bin/env bash
# Runs case $1 with a temporary folder: 1 the rule was broken, 0 it held, 2 the
# case couldn't run.
set -uo pipefail
cd "$(dirname "$0")/.."
program=build-review-2/case-$1
if [ ! -x "$program" ] || [ ! -x target/pimentohalld ]; then
  echo "not built: see deploy/system.toml and review/build-2.sh" >&2
  exit 2
fi
folder=$(mktemp -d)
"$program" "$folder" "review/$1/record.txt"
result=$?
[ -n "${KEEP_LOGS:-}" ] && cp -r "$folder" "$KEEP_LOGS"
rm -rf "$folder"
[ "$result" -le 1 ] && exit "$result"
exit 2
