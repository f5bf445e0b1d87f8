#!/usr/bin/env bash
# Runs clang-tidy on every source of the build folder $1; further arguments are
# the files to check (default: all).
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
shift || true
files=("$@")
if [ "${#files[@]}" -eq 0 ]; then
  mapfile -t files < <(git ls-files --cached --others --exclude-standard \
    '*.cc' | grep -v '^testing/fuzz/')
fi
printf '%s\n' "${files[@]}" |
  xargs -r -n 1 -P "${JOBS:-8}" clang-tidy -p "$folder" --quiet 2>&1 |
  { grep -vE '^[0-9]+ warnings? generated|^Suppressed|^Use -header-filter' || true; }
exit "${PIPESTATUS[1]}"
