#include <fmt/format.h>

#include <chrono>
#include <ctime>
#include <vector>

#include "tests/gateway_balance_model.h"

// Compares the strategies by which gateways choose runners in the model of gateway_even_load_test,
// and measures the processor time of a choice. Usage: balance_bench
namespace shallot::gateway {
namespace {

constexpr uint64_t kSeeds = 3;

struct Load {
  int gateways;
  int holders;
  double calls_per_s_per_holder;
  double first_pace;
  double rare_share;
};

struct Strategy {
  ChoiceKind choice;
  LoadEstimate estimate;
  int64_t send_surplus_ms;
  int64_t load_surplus_ms;
};

BalanceResult MeanResult(const Load& load, const Strategy& strategy) {
  BalanceResult mean;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BalanceSetup setup;
    setup.gateways = load.gateways;
    setup.holders = load.holders;
    setup.calls_per_s_per_holder = load.calls_per_s_per_holder;
    setup.first_pace = load.first_pace;
    setup.rare_share = load.rare_share;
    setup.choice = strategy.choice;
    setup.estimate = strategy.estimate;
    setup.send_surplus_cost = Millis(strategy.send_surplus_ms);
    setup.load_surplus_cost = Millis(strategy.load_surplus_ms);
    setup.seed = seed;
    const BalanceResult result = BalanceModel(setup).Run();
    mean.busiest += result.busiest / kSeeds;
    mean.first += result.first / kSeeds;
    mean.kept += result.kept / kSeeds;
    mean.mean_ms += result.mean_ms / kSeeds;
    mean.p99_ms += result.p99_ms / kSeeds;
  }
  return mean;
}

void CompareStrategies() {
  const std::vector<Load> loads = {{1, 10, 3, 1, 0},  {21, 2, 3, 1, 0},    {21, 10, 0.5, 1, 0},
                                   {21, 10, 3, 1, 0}, {31, 56, 0.5, 1, 0}, {31, 56, 3, 1, 0},
                                   {31, 56, 8, 1, 0}, {100, 10, 3, 1, 0},  {100, 56, 3, 1, 0},
                                   {31, 10, 3, 3, 0}, {31, 10, 3, 1, 0.5}};
  const std::vector<Strategy> strategies = {
      {ChoiceKind::kLowest, LoadEstimate::kReported, 0, 0},
      {ChoiceKind::kTwoRandom, LoadEstimate::kReported, 0, 0},
      {ChoiceKind::kWeighted, LoadEstimate::kReported, 0, 0},
      {ChoiceKind::kLowest, LoadEstimate::kCounted, 0, 0},
      {ChoiceKind::kTwoRandom, LoadEstimate::kCounted, 0, 0},
      {ChoiceKind::kWeighted, LoadEstimate::kCounted, 0, 0},
      {ChoiceKind::kLowest, LoadEstimate::kCounted, 10, 120},
      {ChoiceKind::kTwoRandom, LoadEstimate::kCounted, 10, 120},
      {ChoiceKind::kWeighted, LoadEstimate::kReported, 10, 120},
      {ChoiceKind::kWeighted, LoadEstimate::kCounted, 80, 0},
      {ChoiceKind::kWeighted, LoadEstimate::kCounted, 10, 120}};
  for (const Load& load : loads) {
    fmt::print("gateways={} holders={} calls_per_s={} first_pace={} rare_share={}\n", load.gateways,
               load.holders, load.calls_per_s_per_holder, load.first_pace, load.rare_share);
    for (const Strategy& strategy : strategies) {
      const BalanceResult result = MeanResult(load, strategy);
      fmt::print(
          "  {:10} {:8} {:2}/{:3}: busiest={:.2f} first={:.2f} kept={:.2f} mean_ms={:.0f} "
          "p99_ms={:.0f}\n",
          ChoiceName(strategy.choice),
          strategy.estimate == LoadEstimate::kCounted ? "counted" : "reported",
          strategy.send_surplus_ms, strategy.load_surplus_ms, result.busiest, result.first,
          result.kept, result.mean_ms, result.p99_ms);
    }
  }
}

void MeasureChoice(int runners, int holders) {
  GatewayPolicy policy;
  FleetView view;
  EngineSpec engine;
  CallRequest call;
  call.model = ModelName("busy");
  call.prompt = {{"shared", 2'000}, {"session", 1'200}, {"own", 600}};
  call.prompt_tokens = 3'800;
  RunnerPicker picker(&policy, &view, FailureDomain());
  const SteadyTime now{std::chrono::seconds(1'000)};
  for (int number = 0; number < runners; ++number) {
    RunnerEntry entry;
    entry.id = RunnerId(fmt::format("r{}", number));
    entry.backend = BackendName("engine");
    entry.slots = 64;
    if (number < holders) entry.holdings.models[call.model];
    view.Apply(entry, now);
    picker.health(entry.id).OnLoad(3, 0, 1.2, now);
    picker.health(entry.id).OnSent(now);
  }
  RunnerPicker::Query query;
  query.backend = BackendName("engine");
  query.engine = &engine;
  query.call = &call;
  query.target_latency = Millis(800);
  constexpr int kCalls = 5'000;
  PickError problem = PickError::kNone;
  const std::clock_t begun = std::clock();
  for (int number = 0; number < kCalls; ++number) picker.Pick(query, now, &problem);
  const double passed_us = 1e6 * static_cast<double>(std::clock() - begun) / CLOCKS_PER_SEC;
  fmt::print("choice: runners={} holders={}: {:.1f} us\n", runners, holders, passed_us / kCalls);
}

}  // namespace
}  // namespace shallot::gateway

int main() {
  shallot::gateway::MeasureChoice(56, 56);
  shallot::gateway::MeasureChoice(2'000, 56);
  shallot::gateway::CompareStrategies();
  fmt::print("bytes a runner: {}\n", sizeof(shallot::gateway::RunnerHealth));
  return 0;
}
