#!/usr/bin/env bash
# Formats every C++ file; with --check, fails if one would change.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = "--check" ] && mode=(--dry-run -Werror)
git ls-files --cached --others --exclude-standard '*.cc' '*.h' |
  xargs -r clang-format --style=file "${mode[@]}"
