#ifndef TESTS_FAULT_RANDOM_RUN_H_
#define TESTS_FAULT_RANDOM_RUN_H_

#include <cstdint>
#include <string>
#include <vector>

namespace shallot::composed {

/// One run of a composed fleet under random calls, changes and faults.
struct RandomRun {
  std::vector<std::string> violations;
  /// What was done, in order, for the search of a cause.
  std::vector<std::string> events;
};

/// The same seed gives the same run: a minute of faults, then the checks of CheckRecovery.
RandomRun RunRandomFaults(uint64_t seed);

}  // namespace shallot::composed

#endif  // TESTS_FAULT_RANDOM_RUN_H_
