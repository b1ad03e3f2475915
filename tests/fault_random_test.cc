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

/// False when the run broke a promise; then its seed and events are printed.
bool RunSeed(uint64_t seed) {
  const RandomRun run = RunRandomFaults(seed);
  for (const std::string& violation : run.violations) {
    std::cout << "seed " << seed << ": " << violation << "\n";
  }
  if (run.violations.empty()) return true;
  for (const std::string& event : run.events) std::cout << "  " << event << "\n";
  return false;
}

// Guards against combinations of faults that the matrix does not list.
TEST_CASE("random faults on a composed fleet") {
  QuietLogs();
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    CHECK(RunSeed(seed));
  }
}

// Guards against a slot that moves away from a restarted agent because of what its predecessor gave
// up.
TEST_CASE("a late release of an earlier incarnation does not move a slot") {
  QuietLogs();
  CHECK(RunSeed(153));
  CHECK(RunSeed(187));
}

// Guards against permits of agents that died in the middle of a load, which kept the budget of the
// weight store full for a minute.
TEST_CASE("a model call succeeds soon after slow loads") {
  QuietLogs();
  CHECK(RunSeed(220));
}

// Guards against permits that an agent held when it died and whose successor never asks for one,
// because all slots have moved: the weight store's budget stayed full for a minute.
TEST_CASE("a model call succeeds soon after pauses and replacements") {
  QuietLogs();
  CHECK(RunSeed(334));
  CHECK(RunSeed(90463));
}

// Run by `make soak`: new seeds until the time is over or a promise is broken. Does nothing in a
// plain test run, where the duration is not set.
TEST_CASE("soak") {
  QuietLogs();
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
