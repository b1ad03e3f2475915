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
  /// Loads that brought a runner's entries above its memory.
  uint64_t overcommits = 0;
  /// Violations that the invariant monitor counted.
  uint64_t violations = 0;
  /// Quantiles of the time from arrival to execution over all calls.
  Millis p50{0};
  Millis p99{0};
  Millis p999{0};
  /// 99th percentile over the calls that waited at all.
  Millis p99_of_cold{0};
  double idle_accelerator_hours = 0;
};

/// Trace, deployment and keep-alive policy of a replay.
struct SimulationOptions {
  TraceShape shape;
  std::vector<TraceCall> trace;
  /// Time since the start of the trace. Earlier calls warm the caches and the learned
  /// distributions and are not counted.
  Duration measured_from{0};
  Millis keep_alive_max{0};
  /// Creates the policy of one agent. Without a policy, entries are kept for `keep_alive_max`.
  std::function<std::unique_ptr<KeepAlivePolicy>(const Clock*,
                                                 const std::shared_ptr<const FleetConfig>&)>
      make_policy;
};

/// Replays a trace through one AgentCore per runner, with simulated engines and simulated time.
/// Each entry has one slot. Models are spread evenly over the runners; adapters are placed on the
/// runner of their base model.
SimulationResult Replay(const SimulationOptions& options);

}  // namespace shallot::bench

#endif  // BENCH_AGENT_SIMULATION_H_
