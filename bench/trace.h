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
  /// Time that the engine takes to run the call once the entry is loaded.
  Millis service{0};
};

/// Size and demand of a deployment. Memory sizes are in megabytes.
struct TraceShape {
  std::string name;
  BackendName backend;
  int runners = 0;
  int models = 0;
  int adapters = 0;
  /// Accelerator memory of a runner.
  uint64_t runner_memory_mb = 0;
  uint64_t model_mb = 0;
  uint64_t model_kv_mb = 0;
  uint64_t adapter_mb = 0;
  /// Mean number of sessions a day over all entries. A session is a series of calls of one entry.
  double sessions_per_day = 0;
  /// Mean number of calls in a session after its opening burst, and the mean gap between them.
  double calls_per_session = 0;
  Duration gap_in_session{0};
  /// Largest number of calls that arrive at once when a session opens.
  int opening_burst = 0;
  Millis mean_service{0};
  /// Share of calls in each class, in the order of CallClass.
  std::array<double, kCallClassCount> class_shares{};
  /// Hours of the day at which the working day begins and ends.
  int day_begin_hour = 0;
  int day_end_hour = 24;
  double cold_weight = 1;
  double idle_weight = 1;
};

/// Order desk of print shops: short sessions, with customers who wait at the counter.
TraceShape OrderDeskShape();
/// Checking of long manuscripts: longer sessions, with editors who wait for the result.
TraceShape ManuscriptShape();

/// Fleet configuration as INI text, with the models, adapters and policy weights of a shape.
/// `keep_alive_max` bounds the keep-alive time of every entry.
std::string MakeFleetText(const TraceShape& shape, Millis keep_alive_max);

/// Calls of `days` days in order of time. The popularity of entries follows a Zipf distribution
/// with exponent 0.9; sessions arrive as a Poisson process whose rate follows the time of day. The
/// same seed gives the same trace.
std::vector<TraceCall> MakeTrace(const TraceShape& shape, int days, uint64_t seed);

}  // namespace shallot::bench

#endif  // BENCH_TRACE_H_
