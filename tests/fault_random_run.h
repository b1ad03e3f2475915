#ifndef TESTS_FAULT_RANDOM_RUN_H_
#define TESTS_FAULT_RANDOM_RUN_H_

#include <cstdint>
#include <string>
#include <vector>

namespace shallot::composed {

/// One run of a composed fleet under random calls, changes and faults.
struct RandomRun {
  std::vector<std::string> violations;
  /// Injected faults in order, with time and target, for diagnosis.
  std::vector<std::string> events;
};

/// Runs a minute of random faults, then CheckRecovery(). The same seed gives the same run.
RandomRun RunRandomFaults(uint64_t seed);

}  // namespace shallot::composed

#endif  // TESTS_FAULT_RANDOM_RUN_H_
