#!/usr/bin/env bash
# Builds the fuzz targets with clang and runs them one after the other, each for the given time.
# Failing inputs are written to build-fuzz/failures. Usage: misc/fuzz.sh SECONDS [TARGET...]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=$1
shift
build=build-fuzz
cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_CXX_FLAGS_RELEASE=-O1 -DSHALLOT_FUZZ=ON > /dev/null
cmake --build "$build" -j "${JOBS:-4}"
if [ $# -eq 0 ]; then
  for source in fuzz/*_fuzz.cc; do set -- "$@" "$(basename "$source" .cc)"; done
fi
mkdir -p "$build/failures"
failed=0
for target in "$@"; do
  corpus=$build/corpus/$target
  mkdir -p "$corpus"
  log=$build/$target.log
  # libFuzzer writes new inputs to the first folder only, so the committed seeds do not change.
  if "$build/$target" -max_total_time="$seconds" -max_len=65536 -timeout=10 -rss_limit_mb=2048 -seed=1 \
    -print_final_stats=1 -artifact_prefix="$build/failures/$target-" "$corpus" "fuzz/corpus/$target" > "$log" 2>&1; then
    echo "$target: no fault, $(grep -o 'number_of_executed_units: [0-9]*' "$log")"
  else
    echo "$target: FAILED, see $log"
    failed=1
  fi
done
exit "$failed"
