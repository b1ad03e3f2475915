#ifndef BENCH_AGENT_SIMULATION_H_
#define BENCH_AGENT_SIMULATION_H_

#include <functional>
#include <memory>
#include <vector>

#include "bench/trace.h"
#include "servers/fleet_config.h"
#include "servers/keep_alive_policy.h"

namespace shallot::bench {

/// Result of one replay of a trace.
struct SimulationResult {
  uint64_t calls = 0;
  uint64_t cold_calls = 0;
  uint64_t completed = 0;
  uint64_t loads = 0;
  uint64_t overcommits = 0;
  uint64_t violations = 0;
  /// Quantiles of the time from arrival to execution over all calls.
  Millis p50{0};
  Millis p99{0};
  Millis p999{0};
  /// 99th percentile over the calls that waited at all.
  Millis p99_of_cold{0};
  double idle_accelerator_hours = 0;
};

/// What is replayed.
struct SimulationOptions {
  TraceShape shape;
  std::vector<TraceCall> trace;
  /// Calls before this time warm caches and learned distributions and are not counted.
  Duration measured_from{0};
  Millis keep_alive_max{0};
  /// Makes the policy of one agent; a null policy keeps entries for `keep_alive_max`.
  std::function<std::unique_ptr<KeepAlivePolicy>(const Clock*,
                                                 const std::shared_ptr<const FleetConfig>&)>
      make_policy;
};

/// Replays a trace through one AgentCore for each runner with simulated engines and time. Slots are
/// one for each entry, spread evenly over the runners, adapters with their base model.
SimulationResult Replay(const SimulationOptions& options);

}  // namespace shallot::bench

#endif  // BENCH_AGENT_SIMULATION_H_
