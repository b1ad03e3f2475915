#!/usr/bin/env bash
# Checks, or with --fix applies, the formatting of all sources but generated ones.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files -co --exclude-standard '*.cc' '*.h' | grep -v '^drivers/wire/')
if [ "${1:-}" = --fix ]; then
  printf '%s\0' "${files[@]}" | xargs -0 -P "$(nproc)" -n 8 clang-format -i
else
  printf '%s\0' "${files[@]}" | xargs -0 -P "$(nproc)" -n 8 clang-format --dry-run --Werror
  echo "format: ${#files[@]} files clean"
fi
