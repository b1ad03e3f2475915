#ifndef TESTS_SOAK_SOAK_OPTIONS_H_
#define TESTS_SOAK_SOAK_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "core/clock.h"

namespace shallot::soak {

/// What a run plays besides its random faults.
enum class Incident {
  kNone,
  /// Calls with one prompt part crash each runner that begins to answer them.
  kDeadlyCalls,
  /// One request to a plain service, from all callers, crashes each runner that runs it.
  kDeadlyRequests,
  /// The configuration changes about every second, while single gateways lose the store and it is
  /// restored.
  kConfigBehind,
  /// An engine and a runner of a plain service limit their calls.
  kLimitedRunners,
  /// The store is restored again and again from copies that are seconds old.
  kRestoredStore,
  /// Runners leave and close themselves one after the other, and say so in their answers.
  kUnwillingRunners,
  /// Links have the sockets of a network, some requests are long, waiting watches are cut again and
  /// again, runners leave without a word and gateways stop together.
  kRealNetwork,
  /// Further runners are processes of their own, with queues, late and repeated answers, stalls and
  /// connections that they close; they are paused and killed.
  kRunnerProcesses,
};

struct SoakOptions {
  std::string gateway_program;
  std::string runner_program;
  /// Folder for the settings and logs of the processes.
  std::string folder;
  uint64_t seed = 1;
  Millis fault_time{15'000};
  size_t gateways = 3;
  /// Number of runners that are engines, and of runners of plain services.
  size_t engines = 3;
  size_t desks = 4;
  size_t callers = 24;
  Incident incident = Incident::kNone;
  /// The gateways log to pipes that nobody reads.
  bool stall_logs = false;
};

}  // namespace shallot::soak

#endif  // TESTS_SOAK_SOAK_OPTIONS_H_
