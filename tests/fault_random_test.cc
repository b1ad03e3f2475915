#include <doctest/doctest.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>

#include "tests/fault_matrix_cell.h"
#include "tests/fault_random_run.h"

namespace shallot::composed {
namespace {

uint64_t FromEnvironment(const char* name, uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::stoull(text);
}

/// Returns false when the run violated a guarantee, and then prints its seed and events.
bool RunSeed(uint64_t seed) {
  const RandomRun run = RunRandomFaults(seed);
  for (const std::string& violation : run.violations) {
    std::cout << "seed " << seed << ": " << violation << "\n";
  }
  if (run.violations.empty()) return true;
  for (const std::string& event : run.events) std::cout << "  " << event << "\n";
  return false;
}

// Guards against a guarantee that is violated only by a combination of faults which the matrix does
// not contain.
TEST_CASE("random faults on a composed fleet") {
  SuppressWarnings();
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    CHECK(RunSeed(seed));
  }
}

// Guards against a slot that moves away from a restarted agent because of a release by the agent's
// earlier incarnation.
TEST_CASE("a late release of an earlier incarnation does not move a slot") {
  SuppressWarnings();
  CHECK(RunSeed(153));
  CHECK(RunSeed(187));
}

// Guards against load permits of agents that were killed during a load: they kept the weight
// store's budget exhausted for a minute.
TEST_CASE("a model call succeeds soon after slow loads") {
  SuppressWarnings();
  CHECK(RunSeed(220));
}

// Guards against load permits of a killed agent whose successor never requests one, because all
// slots have moved: the weight store's budget stayed exhausted for a minute.
TEST_CASE("a model call succeeds soon after pauses and replacements") {
  SuppressWarnings();
  CHECK(RunSeed(334));
  CHECK(RunSeed(90463));
}

// Run by `make soak`: tries new seeds until the time is over or a run fails. Does nothing in a
// plain test run, where the duration is not set.
TEST_CASE("soak") {
  SuppressWarnings();
  const auto until =
      std::chrono::steady_clock::now() + std::chrono::seconds(FromEnvironment("SHALLOT_SOAK_S", 0));
  uint64_t seed = FromEnvironment("SHALLOT_SOAK_SEED", 1);
  for (; std::chrono::steady_clock::now() < until; ++seed) {
    std::cout << "seed " << seed << std::endl;
    REQUIRE(RunSeed(seed));
  }
}

}  // namespace
}  // namespace shallot::composed
