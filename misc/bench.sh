#!/usr/bin/env bash
# Runs each benchmark once; a benchmark prints one JSON object per line.
# Usage: misc/bench.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
for program in "$1"/*_bench; do
  "$program"
done
