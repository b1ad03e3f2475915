#!/usr/bin/env bash
# Mutation test: builds the library with the selectable defects of core/test_defects.h and checks
# for each that its test passes without the defect and fails with it.
# Usage: misc/mutants.sh [BUILD_DIR [JOBS]]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build-mutants}
jobs=${2:-4}
cmake -S . -B "$build" -G Ninja -DSHALLOT_DEFECTS=ON > "$build-configure.log"
mkdir -p "$build" && mv "$build-configure.log" "$build/configure.log"
cmake --build "$build" -j "$jobs" --target shallot_tests

# Defect, test file and test case that must detect it.
mutants="skip-incarnation|granted_slots_test|grants of other incarnations and older versions are refused
release-memory-early|agent_loads_test|memory is free only when the engine confirmed the unload
retry-order|fault_matrix_test|each fault at each step
run-without-claim|fault_matrix_test|each fault at each step
forget-tombstones|agent_calls_test|a cancelled waiting call is not run, nor is a late copy of its start
accept-older-config|config_replica_test|a replica takes newer revisions only
drop-attempt-check|router_core_test|frames of an earlier attempt on the same runner are dropped
move-before-release|fault_matrix_test|each fault at each step
accept-while-draining|agent_core_test|a call on a cold entry is loaded, run and answered, then the agent drains
not-run-after-sending|fault_matrix_test|each fault at each step"

# doctest takes a comma as the end of a name, so a wildcard replaces it.
run_test() {
  SHALLOT_DEFECT=$1 "$build/shallot_tests" --source-file="*/tests/$2.cc" --test-case="${3//,/?}" \
    > "$build/mutant-$1.log" 2>&1
}

failed=0
while IFS='|' read -r defect file name; do
  # A name that matches no test case would pass without running anything.
  if ! SHALLOT_DEFECT=none run_test none "$file" "$name" ||
    grep -q 'test cases: *0 ' "$build/mutant-none.log"; then
    echo "mutants: $file fails without a defect, or has no case \"$name\""
    failed=1
  elif run_test "$defect" "$file" "$name"; then
    echo "mutants: $defect is NOT found by $file: $name"
    failed=1
  else
    echo "mutants: $defect is found by $file: $name"
  fi
done <<< "$mutants"
exit "$failed"
