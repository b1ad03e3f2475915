// Cold-start wait and idle accelerator hours of the keep-alive policy against fixed policies, on
// synthetic traces of both deployments at today's sizes.
#include <chrono>
#include <cstdio>
#include <future>
#include <string>
#include <utility>
#include <vector>

#include "bench/agent_simulation.h"
#include "bench/bench_report.h"

namespace shallot::bench {
namespace {

constexpr uint64_t kSeed = 20261204;
constexpr int kDays = 3;
constexpr Duration kMeasuredFrom = std::chrono::hours(24);
constexpr Millis kWeek = std::chrono::hours(24 * 7);

/// Keeps every entry for the same time.
class FixedKeepAlive final : public KeepAlivePolicy {
 public:
  explicit FixedKeepAlive(Millis time) : time_(time) {}
  Millis KeepAlive(const EntryId& /*entry*/) const override { return time_; }
  void OnCall(const EntryId& /*entry*/, SteadyTime /*now*/) override {}

 private:
  Millis time_;
};

SimulationOptions MakeOptions(const TraceShape& shape) {
  SimulationOptions options;
  options.shape = shape;
  options.trace = MakeTrace(shape, kDays, kSeed);
  options.measured_from = kMeasuredFrom;
  options.keep_alive_max = kWeek;
  return options;
}

SimulationOptions WithFixed(SimulationOptions options, Millis time) {
  options.make_policy = [time](const Clock*, const std::shared_ptr<const FleetConfig>&) {
    return std::make_unique<FixedKeepAlive>(time);
  };
  return options;
}

void PrintResult(const std::string& name, const SimulationResult& result) {
  std::fprintf(stderr,
               "%-28s calls %6lu cold %5.2f%% p99 %6ld ms p99.9 %6ld ms p99 of cold %6ld ms idle "
               "%7.2f h loads %5lu overcommits %lu violations %lu unserved %lu\n",
               name.c_str(), result.calls,
               100.0 * static_cast<double>(result.cold_calls) / static_cast<double>(result.calls),
               result.p99.count(), result.p999.count(), result.p99_of_cold.count(),
               result.idle_accelerator_hours, result.loads, result.overcommits, result.violations,
               result.calls - result.completed);
}

void RunShape(const TraceShape& shape) {
  const SimulationOptions base = MakeOptions(shape);
  std::vector<std::pair<std::string, SimulationOptions>> runs = {
      {"fixed_10_min", WithFixed(base, std::chrono::minutes(10))},
      {"unload_at_once", WithFixed(base, Millis(0))},
      {"never_unload", WithFixed(base, kWeek)},
  };
  std::vector<std::future<SimulationResult>> results;
  results.reserve(runs.size());
  for (const auto& run : runs) {
    results.push_back(std::async(std::launch::async, [&run] { return Replay(run.second); }));
  }
  for (size_t i = 0; i < runs.size(); ++i) {
    PrintResult(shape.name + "." + runs[i].first, results[i].get());
  }
}

}  // namespace
}  // namespace shallot::bench

int main() {
  shallot::bench::RunShape(shallot::bench::OrderDeskShape());
  shallot::bench::RunShape(shallot::bench::ManuscriptShape());
  return 0;
}
