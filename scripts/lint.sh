#!/usr/bin/env bash
# Runs clang-tidy on every source of the build folder $1; further arguments are
# the files to check (default: all). A file that was found clean isn't checked
# again while it, the project's headers, the rules and the installed packages
# are the same: such passes are kept in $LINT_CACHE.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
shift || true
files=("$@")
if [ "${#files[@]}" -eq 0 ]; then
  mapfile -t files < <(git ls-files --cached --others --exclude-standard \
    '*.cc' | grep -v '^testing/fuzz/')
fi
cache=${LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/pimentohall-lint}
mkdir -p "$cache"
common=$({
  cat .clang-tidy scripts/lint.sh
  git ls-files --cached --others --exclude-standard '*.h' CMakeLists.txt |
    sort | xargs sha256sum
  dpkg-query -W
} | sha256sum | cut -c1-64)

# lint_file FOLDER CACHE COMMON FILE
lint_file() {
  local key
  key=$(printf '%s %s %s' "$3" "$4" "$(sha256sum <"$4")" | sha256sum |
    cut -c1-64)
  [ -e "$2/$key" ] && return 0
  clang-tidy -p "$1" --quiet "$4" 2>&1 || return 1
  touch "$2/$key"
}
export -f lint_file
printf '%s\n' "${files[@]}" |
  xargs -r -P "${JOBS:-8}" -I {} bash -c 'lint_file "$@"' lint_file \
    "$folder" "$cache" "$common" {} |
  { grep -vE '^[0-9]+ warnings? generated|^Suppressed|^Use -header-filter' || true; }
exit "${PIPESTATUS[1]}"
