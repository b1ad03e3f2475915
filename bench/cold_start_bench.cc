// Cold-start wait and idle accelerator hours of the keep-alive policy, compared with fixed
// keep-alive times, on synthetic traces of two deployments at their present sizes.
#include <chrono>
#include <cstdio>
#include <fstream>
#include <future>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "bench/agent_simulation.h"
#include "bench/bench_report.h"
#include "servers/gap_keep_alive.h"

namespace shallot::bench {
namespace {

constexpr uint64_t kSeed = 20261204;
constexpr int kDays = 3;
constexpr Duration kMeasuredFrom = std::chrono::hours(24);
constexpr Millis kWeek = std::chrono::hours(24 * 7);

/// Keeps every idle entry loaded for the same time.
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

SimulationOptions WithFixedKeepAlive(SimulationOptions options, Millis time) {
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

SimulationOptions WithGapKeepAlive(SimulationOptions options, double cold_weight) {
  options.shape.cold_weight = cold_weight;
  options.shape.idle_weight = 1;
  options.make_policy = [](const Clock*, const std::shared_ptr<const FleetConfig>& config) {
    auto policy = std::make_unique<GapKeepAlive>();
    policy->SetConfig(config);
    return policy;
  };
  return options;
}

/// Replays all runs concurrently, one thread each.
std::vector<SimulationResult> ReplayAll(const std::vector<SimulationOptions>& runs) {
  std::vector<std::future<SimulationResult>> futures;
  futures.reserve(runs.size());
  for (const SimulationOptions& run : runs) {
    futures.push_back(std::async(std::launch::async, [&run] { return Replay(run); }));
  }
  std::vector<SimulationResult> results;
  results.reserve(runs.size());
  for (auto& future : futures) results.push_back(future.get());
  return results;
}

void PrintComparison(const std::string& name, const SimulationResult& result,
                     const SimulationResult& baseline) {
  Print({name + ".cold_start_p99", static_cast<double>(result.p99.count()), "ms",
         static_cast<double>(baseline.p99.count())});
  Print({name + ".idle_accelerator_hours", result.idle_accelerator_hours, "h",
         baseline.idle_accelerator_hours});
}

/// Writes one point of the trade-off curve: deployment, policy, cold weight, p99 wait in ms, idle
/// accelerator hours, percentage of cold calls.
void WriteCurvePoint(std::ostream& csv, const std::string& shape, const std::string& policy,
                     double weight, const SimulationResult& result) {
  csv << shape << "," << policy << "," << weight << "," << result.p99.count() << ","
      << result.idle_accelerator_hours << ","
      << 100.0 * static_cast<double>(result.cold_calls) / static_cast<double>(result.calls) << "\n";
}

void RunShape(const TraceShape& shape, std::ostream& csv) {
  const SimulationOptions base = MakeOptions(shape);
  const std::vector<double> weights = {shape.cold_weight, 3, 10, 20, 35, 50, 300, 1000};
  std::vector<SimulationOptions> runs = {WithFixedKeepAlive(base, std::chrono::minutes(10)),
                                         WithFixedKeepAlive(base, Millis(0)),
                                         WithFixedKeepAlive(base, kWeek)};
  for (const double weight : weights) runs.push_back(WithGapKeepAlive(base, weight));
  const std::vector<SimulationResult> results = ReplayAll(runs);
  PrintResult(shape.name + ".fixed_10_min", results[0]);
  PrintResult(shape.name + ".unload_at_once", results[1]);
  PrintResult(shape.name + ".never_unload", results[2]);
  for (size_t i = 0; i < weights.size(); ++i) {
    const std::string weight = std::to_string(weights[i]);
    PrintResult(shape.name + ".gaps_" + weight.substr(0, weight.find('.') + 2), results[3 + i]);
  }
  WriteCurvePoint(csv, shape.name, "fixed_10_min", 0, results[0]);
  WriteCurvePoint(csv, shape.name, "unload_at_once", 0, results[1]);
  WriteCurvePoint(csv, shape.name, "never_unload", 0, results[2]);
  for (size_t i = 0; i < weights.size(); ++i) {
    WriteCurvePoint(csv, shape.name, "gaps", weights[i], results[3 + i]);
  }
  PrintComparison(shape.name + ".vs_fixed", results[3], results[0]);
  PrintComparison(shape.name + ".vs_never_unload", results[3], results[2]);
}

}  // namespace
}  // namespace shallot::bench

int main(int argc, char** argv) {
  if (argc > 2) {
    std::fprintf(stderr, "usage: cold_start_bench [CSV_FILE]\n");
    return 2;
  }
  std::ofstream csv;
  if (argc == 2) csv.open(argv[1]);
  csv << "deployment,policy,cold_weight,p99_ms,idle_hours,cold_percent\n";
  shallot::bench::RunShape(shallot::bench::OrderDeskShape(), csv);
  shallot::bench::RunShape(shallot::bench::ManuscriptShape(), csv);
  return 0;
}
