#!/usr/bin/env bash
# Runs the fault matrix and writes its table and results to docs/fault-matrix.md. Exits with 1 when
# a cell failed. Usage: misc/fault_matrix.sh [BUILD_DIR]
set -euo pipefail
build=$(realpath "${1:-build}")
cd "$(dirname "$0")/.."
SHALLOT_FAULT_MATRIX_PAGE=docs/fault-matrix.md "$build/shallot_tests" \
  --source-file='*/tests/fault_matrix_test.cc' --test-case='the page of the fault matrix*'
if grep -q 'FAILED |' docs/fault-matrix.md; then
  echo "some cells of the fault matrix failed; see docs/fault-matrix.md" >&2
  exit 1
fi
