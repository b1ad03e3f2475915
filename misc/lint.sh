#!/usr/bin/env bash
# Runs clang-tidy on all sources except tests and generated code. A cache in the build folder skips
# files that were clean before with the same preprocessed content and linter settings.
# Usage: misc/lint.sh BUILD_DIR [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
shift
if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files -co --exclude-standard 'core/*.cc' 'servers/*.cc' 'drivers/*.cc' 'main/*.cc' 'bench/*.cc' 'platform/*.cc' | grep -v '^drivers/wire/')
fi
cache=$build/lint-cache
mkdir -p "$cache"
export build cache
lint_one() {
  local file=$1 key
  key=$( (cat .clang-tidy; g++ -std=c++20 -E -P -I. -DBOOST_LOG_DYN_LINK "$file" 2>/dev/null; cat "$file") | sha256sum | cut -d' ' -f1)
  [ -e "$cache/$key" ] && return 0
  if clang-tidy -p "$build" --quiet "$file" 2>/dev/null; then touch "$cache/$key"; else echo "lint: $file failed" >&2; return 1; fi
}
export -f lint_one
printf '%s\0' "${files[@]}" | xargs -0 -P "$(nproc)" -n 1 bash -c 'lint_one "$0"'
echo "lint: ${#files[@]} files clean"
