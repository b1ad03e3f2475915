#include <algorithm>
#include <cmath>

#include "servers/gateway/load_planner.h"

// The part of LoadPlanner that decides how many replicas a model needs.
namespace shallot::gateway {
namespace {

/// A model is overloaded when its load is enough for at least this many times its replicas.
constexpr double kOverloadFactor = 2;
/// Cost of loading on a runner that would then get as many calls as the mean runner. Runners with
/// the weights on disk (0.8 s) stay ahead of those that load from the weight store (6 s).
constexpr double kTrafficCostMs = 500;
/// Highest traffic that counts, relative to the mean.
constexpr double kMaxTraffic = 4;
/// Averaging time of the rates that decide on replicas for evenness. Demand that shifts within
/// seconds would otherwise load and displace replicas all the time.
constexpr Millis kMeanRateTime{20'000};

}  // namespace

double LoadPlanner::ReplicasForLoad(const ModelName& model) const {
  const TotalDemand& demand = DemandFor(model);
  const double by_tokens = demand.prompt_tokens_per_s /
                           (policy_->prefill_tokens_per_ms * 1000 * policy_->replica_utilization);
  const double by_slots =
      static_cast<double>(demand.in_flight) /
      std::max(1.0, static_cast<double>(input_.engine->slots) * policy_->replica_slot_share);
  return std::max(by_tokens, by_slots);
}

uint64_t LoadPlanner::EvenReplicas(const ModelName& model) const {
  const auto found = mean_rates_.find({input_.backend, model});
  if (found == mean_rates_.end() || policy_->even_replica_load <= 0 || !fleet_.balance) return 0;
  // Below this rate, a replica saves less than its load costs.
  const double most =
      std::max(policy_->even_replica_load * fleet_.even_calls_per_s, policy_->hot_calls_per_s);
  return static_cast<uint64_t>(std::ceil(found->second / most));
}

uint64_t LoadPlanner::TargetReplicas(const ModelName& model) const {
  const TotalDemand& demand = DemandFor(model);
  const auto replicas =
      static_cast<uint64_t>(std::ceil(ReplicasForLoad(model) * HolderPace(model)));
  const uint64_t min_replicas = demand.calls_per_s >= policy_->hot_calls_per_s ? 2 : 1;
  return std::clamp<uint64_t>(replicas, min_replicas,
                              std::max(min_replicas, policy_->max_replicas));
}

double LoadPlanner::HolderPace(const ModelName& model) const {
  double speed = 0;
  double holders = 0;
  for (const RunnerState* runner : fleet_.eligible) {
    if (!runner->entry.holdings.models.contains(model)) continue;
    const auto pace = input_.pace.find(runner->entry.id);
    speed += pace == input_.pace.end() ? 1.0 : 1.0 / pace->second;
    ++holders;
  }
  return holders == 0 ? 1.0 : holders / speed;
}

uint64_t LoadPlanner::Replicas(const ModelName& model) const {
  const auto found = fleet_.replicas.find(model);
  return found == fleet_.replicas.end() ? 0 : found->second;
}

bool LoadPlanner::Overloaded(const ModelName& model) const {
  if (!fleet_.limits.Sufficient(model)) return true;
  const uint64_t replicas = Replicas(model);
  return replicas > 0 && ReplicasForLoad(model) >= kOverloadFactor * static_cast<double>(replicas);
}

double LoadPlanner::TrafficCost(const RunnerId& runner, const ModelName& model) const {
  if (fleet_.mean_calls_per_s <= 0 || !fleet_.balance) return 0;
  const double added = DemandFor(model).calls_per_s / static_cast<double>(Replicas(model) + 1);
  const auto pace = input_.pace.find(runner);
  const double calls_per_s =
      (fleet_.calls_per_s.at(runner) + added) * (pace == input_.pace.end() ? 1.0 : pace->second);
  return kTrafficCostMs * std::min(kMaxTraffic, calls_per_s / fleet_.mean_calls_per_s);
}

void LoadPlanner::UpdateMeanRates(SteadyTime now) {
  const auto [at, first] = mean_rates_at_.try_emplace(input_.backend, now);
  const std::chrono::duration<double> passed = now - at->second;
  const double keep = std::exp(-passed / std::chrono::duration<double>(kMeanRateTime));
  at->second = now;
  for (const auto& [name, spec] : input_.engine->models) {
    double& rate = mean_rates_[{input_.backend, name}];
    rate = rate * keep + DemandFor(name).calls_per_s * (1.0 - keep);
    fleet_.even_calls_per_s += rate / std::max(1.0, static_cast<double>(fleet_.eligible.size()));
  }
}

void LoadPlanner::ReserveReplica(const ModelSpec& model, Urgency urgency, SteadyTime now) {
  const uint64_t replicas = Replicas(model.name);
  if (replicas == 0 && fleet_.limits.Sufficient(model.name)) return;
  if (replicas >= TargetReplicas(model.name)) return;
  if (Reserved(model.name)) return;
  if (Loading(model.name, AdapterName())) return;
  Reserve(model, urgency, urgency == Urgency::kOverload ? "overload" : "replica", now);
}

void LoadPlanner::ReserveReplicas(bool overloaded, SteadyTime now) {
  for (const auto& [key, total] : *input_.demand) {
    if (key.backend != input_.backend || !key.adapter.empty()) continue;
    const auto spec = input_.engine->models.find(key.model);
    if (spec == input_.engine->models.end() || Overloaded(key.model) != overloaded) continue;
    ReserveReplica(spec->second, overloaded ? Urgency::kOverload : Urgency::kReplica, now);
  }
}

void LoadPlanner::ReserveEven(SteadyTime now) {
  for (const auto& [name, spec] : input_.engine->models) {
    const uint64_t replicas = Replicas(name);
    const uint64_t wanted = std::min(EvenReplicas(name), policy_->max_replicas);
    if (replicas == 0 || replicas >= wanted || Reserved(name)) continue;
    if (Loading(name, AdapterName())) continue;
    Reserve(spec, Urgency::kEven, "even-load", now);
  }
}

}  // namespace shallot::gateway
