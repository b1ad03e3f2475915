#ifndef BENCH_TRACE_H_
#define BENCH_TRACE_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/call.h"

namespace shallot::bench {

/// One call of a synthetic trace.
struct TraceCall {
  /// Time since the start of the trace.
  Duration at{0};
  EntryId entry;
  CallClass call_class = CallClass::kInteractive;
  /// Time that the engine takes for it once the entry is loaded.
  Millis service{0};
};

/// Shape of a deployment's demand.
struct TraceShape {
  std::string name;
  BackendName backend;
  int runners = 0;
  int models = 0;
  int adapters = 0;
  /// Accelerator memory of a runner, in megabytes.
  uint64_t runner_memory_mb = 0;
  uint64_t model_mb = 0;
  uint64_t model_kv_mb = 0;
  uint64_t adapter_mb = 0;
  /// Working sessions a day over all entries.
  double sessions_per_day = 0;
  /// Mean number of calls in a session after its opening burst, and mean gap between them.
  double calls_per_session = 0;
  Duration gap_in_session{0};
  /// Largest number of calls that arrive at once when a session opens.
  int opening_burst = 0;
  Millis mean_service{0};
  /// Share of calls in each class, in the order of CallClass.
  std::array<double, kCallClassCount> class_shares{};
  /// First and last hour of the working day.
  int day_begin_hour = 0;
  int day_end_hour = 24;
  double cold_weight = 1;
  double idle_weight = 1;
};

/// Order desk of franchise print shops: short sessions, people at the counter.
TraceShape OrderDeskShape();
/// Checking of long manuscripts: longer sessions, editors who wait.
TraceShape ManuscriptShape();

/// INI text of a fleet configuration with the catalogue and the weights of a shape.
/// `keep_alive_max` bounds the keep-alive time of every entry.
std::string MakeFleetText(const TraceShape& shape, Millis keep_alive_max);

/// Calls of `days` days in order of time. Entries have Zipf popularity (exponent 0.9); sessions
/// arrive as a Poisson process that follows the daily shape. The same seed gives the same trace.
std::vector<TraceCall> MakeTrace(const TraceShape& shape, int days, uint64_t seed);

}  // namespace shallot::bench

#endif  // BENCH_TRACE_H_
