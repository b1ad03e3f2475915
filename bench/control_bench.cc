// CPU time of the control plane's periodic work at the target size: 100 models, 19,000
// adapters, 2,000 runners and 340 routers.
#include <ctime>
#include <functional>
#include <string>
#include <vector>

#include "bench/bench_report.h"
#include "servers/fleet_config.h"
#include "servers/placement_codec.h"
#include "servers/placement_planner.h"
#include "servers/runner_registry.h"

namespace shallot::bench {
namespace {

constexpr int kModels = 100;
constexpr int kAdaptersPerModel = 190;
constexpr int kRunners = 2000;
constexpr int kRouters = 340;
constexpr int kRepetitions = 5;

double CpuSeconds() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

/// Prints the mean CPU time of `work` in milliseconds, after one run to warm up.
void Measure(const std::string& name, const std::function<void()>& work) {
  work();
  const double begin = CpuSeconds();
  for (int i = 0; i < kRepetitions; ++i) work();
  Print({"control_" + name, (CpuSeconds() - begin) * 1000 / kRepetitions, "cpu_ms", 0});
}

std::string MakeConfigText(uint64_t shards) {
  std::string text = "[fleet]\nname = target\nshards = " + std::to_string(shards) +
                     "\n[defaults]\nmax_replicas = 3\n[models b]\n";
  for (int i = 0; i < kModels; ++i) text += "m" + std::to_string(i) + " = v1 14000 2000\n";
  for (int i = 0; i < kModels; ++i) {
    text += "[adapters m" + std::to_string(i) + "]\n";
    for (int j = 0; j < kAdaptersPerModel; ++j) {
      text += "a" + std::to_string(i) + "-" + std::to_string(j) + " = v1 20\n";
    }
  }
  return text;
}

std::vector<InstanceRecord> MakeInstances() {
  std::vector<InstanceRecord> records;
  for (int i = 0; i < kRunners + kRouters; ++i) {
    InstanceRecord record;
    record.id = InstanceId("instance" + std::to_string(i));
    record.failure_domain = FailureDomain("d" + std::to_string(i % 21));
    record.role = i < kRunners ? PeerRole::kAgent : PeerRole::kRouter;
    if (i < kRunners) record.runner = RunnerId("r" + std::to_string(i));
    record.backend = BackendName("b");
    records.push_back(record);
  }
  return records;
}

int Run() {
  const std::string text = MakeConfigText(8);
  const Result<FleetConfig> parsed = ParseFleetConfig(text, "bench", ConfigRevision(1));
  if (!IsOk(parsed)) return 1;
  const FleetConfig& config = ValueOf(parsed);
  Measure("parse_config", [&] { (void)ParseFleetConfig(text, "bench", ConfigRevision(1)); });

  const ManualClock clock;
  RunnerRegistry registry(&clock, InstanceId("instance2000"));
  const std::vector<InstanceRecord> instances = MakeInstances();
  Measure("take_instance_list", [&] { registry.OnList(instances); });

  PlannerInput input;
  input.config = &config;
  input.shard = ShardOf(EntryId("m0"), config.shard_count);
  Measure("list_runners", [&] { input.runners = registry.Runners(); });
  Measure("first_plan_of_one_of_8_shards", [&] { (void)PlanPlacement(input); });
  input.slots = PlanPlacement(input);
  Measure("unchanged_plan_of_one_of_8_shards", [&] { (void)PlanPlacement(input); });
  const std::string value = FormatSlots(input.slots);
  Measure("parse_placement", [&] { (void)ParseSlots(value); });
  Print({"control_placement_of_one_of_8_shards", static_cast<double>(value.size()), "bytes", 0});
  return 0;
}

}  // namespace
}  // namespace shallot::bench

// NOLINTNEXTLINE(bugprone-exception-escape): an uncaught exception aborts the run.
int main() { return shallot::bench::Run(); }
