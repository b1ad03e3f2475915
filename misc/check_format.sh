#!/usr/bin/env bash
# Checks the formatting of all sources except generated ones; with --fix, formats them.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files -co --exclude-standard '*.cc' '*.h' | grep -v '^drivers/wire/')
if [ "${1:-}" = --fix ]; then
  printf '%s\0' "${files[@]}" | xargs -0 -P "$(nproc)" -n 8 clang-format -i
else
  printf '%s\0' "${files[@]}" | xargs -0 -P "$(nproc)" -n 8 clang-format --dry-run --Werror
  echo "format: ${#files[@]} files clean"
fi
