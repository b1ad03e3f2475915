#ifndef MAIN_STANDIN_ROLE_H_
#define MAIN_STANDIN_ROLE_H_

#include <memory>
#include <optional>
#include <string>

#include "main/standin/exchange.h"
#include "main/standin/faults.h"

namespace shallot::standin {

/// Options of all roles; each role reads only its own.
struct Options {
  std::string role;
  std::string listen;
  /// Factor on the durations of model loads; below 1 it shortens demos.
  double time_scale = 1.0;
  /// Engine: address of the weights stand-in. When empty, loads from remote storage take no time.
  std::string weights;
  uint64_t memory_mb = 80'000;
  uint64_t host_memory_mb = 160'000;
  uint64_t disk_mb = 1'000'000;
  uint64_t concurrency = 8;
  uint64_t token_ms = 2;
  uint64_t load_report_lag_ms = 500;
  uint64_t cache_lag_ms = 500;
  bool ignore_fencing = false;
  /// Platform: delay until a change appears in the instance list.
  uint64_t instance_lag_ms = 500;
  /// Service: duration of a call.
  uint64_t call_ms = 5;
};

/// Stand-in for one external system.
class Role {
 public:
  virtual ~Role() = default;
  /// Answers a request; returns nullopt when the answer was streamed. Must be thread-safe.
  virtual std::optional<Reply> Handle(Exchange& exchange) = 0;
};

std::unique_ptr<Role> MakeEngine(const Options& options, Faults* faults);
std::unique_ptr<Role> MakePlatform(const Options& options, Faults* faults);
std::unique_ptr<Role> MakeService(const Options& options, Faults* faults);
std::unique_ptr<Role> MakeWeights(const Options& options, Faults* faults);

/// Serves the role on `options.listen` until SIGTERM or SIGINT. Returns the exit code.
int Serve(const Options& options, Role* role, Faults* faults);

}  // namespace shallot::standin

#endif  // MAIN_STANDIN_ROLE_H_
