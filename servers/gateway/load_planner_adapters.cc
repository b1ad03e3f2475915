#include <algorithm>
#include <tuple>

#include "core/hashing.h"
#include "servers/gateway/load_planner.h"

// The part of LoadPlanner that loads and unloads adapters of models that runners hold.
namespace shallot::gateway {

bool LoadPlanner::HasRoomForAdapter(const RunnerState& runner, const ModelSpec& model) const {
  return runner.entry.holdings.AdapterCount() < input_.engine->adapter_slots &&
         FreeMb(runner) >= model.adapter_mb;
}

std::optional<PlannedOrder> LoadPlanner::PlanAdapter(const ModelSpec& model,
                                                     const AdapterName& adapter,
                                                     SteadyTime now) const {
  const RunnerState* best = nullptr;
  std::tuple<bool, bool, uint64_t> best_rank;
  for (const RunnerState* candidate : fleet_.eligible) {
    const RunnerState& runner = *candidate;
    const RunnerId& id = runner.entry.id;
    if (!runner.entry.holdings.models.contains(model.name)) continue;
    if (runner.entry.holdings.HoldsOrIsLoading(model.name, adapter)) continue;
    if (!CanTakeOrder(runner, now) || reservations_.contains(id)) continue;
    const std::tuple<bool, bool, uint64_t> rank{
        fleet_.limits.Serves(id, model.name), HasRoomForAdapter(runner, model),
        RendezvousWeight(model.name.value() + "/" + adapter.value(), id.value())};
    if (best != nullptr && rank <= best_rank) continue;
    best = &runner;
    best_rank = rank;
  }
  if (best == nullptr) return std::nullopt;
  if (std::get<1>(best_rank)) {
    return PlannedOrder{MakeOrder(*best, OrderKind::kLoad, model.name, adapter), "adapter-waits"};
  }
  // No adapter slot or no memory is free: unload the adapter that was called least recently.
  std::optional<std::pair<ModelName, AdapterName>> oldest;
  Millis oldest_age{-1};
  for (const auto& [name, adapters] : best->entry.holdings.models) {
    for (const AdapterName& held : adapters) {
      const auto demand = input_.demand->find({input_.backend, name, held});
      const bool known = demand != input_.demand->end();
      if (known && (demand->second.in_flight > 0 || demand->second.waiting > 0)) continue;
      const Millis age = known ? demand->second.since_last_call : Millis::max();
      if (age <= oldest_age) continue;
      oldest = {name, held};
      oldest_age = age;
    }
  }
  if (!oldest) return std::nullopt;
  return PlannedOrder{MakeOrder(*best, OrderKind::kUnload, oldest->first, oldest->second),
                      "adapter-waits"};
}

bool LoadPlanner::HasOrderFor(const std::vector<PlannedOrder>& plan, const RunnerId& runner) const {
  return std::any_of(plan.begin(), plan.end(),
                     [&](const PlannedOrder& planned) { return planned.order.runner == runner; });
}

void LoadPlanner::PlanAdapters(SteadyTime now, std::vector<PlannedOrder>* plan) {
  for (const auto& demanded : *input_.demand) {
    const DemandMeter::Key& key = demanded.first;
    if (key.backend != input_.backend || key.adapter.empty()) continue;
    if (demanded.second.waiting == 0) continue;
    const auto spec = input_.engine->models.find(key.model);
    if (spec == input_.engine->models.end()) continue;
    if (Loading(key.model, key.adapter)) continue;
    if (Quarantined(key.model, key.adapter, now)) continue;
    const bool held =
        std::any_of(fleet_.eligible.begin(), fleet_.eligible.end(), [&](const RunnerState* runner) {
          return runner->entry.holdings.HoldsOrIsLoading(key.model, key.adapter) &&
                 fleet_.limits.Serves(runner->entry.id, key.model);
        });
    if (held) continue;
    const auto planned = PlanAdapter(spec->second, key.adapter, now);
    if (planned && !HasOrderFor(*plan, planned->order.runner)) plan->push_back(*planned);
  }
}

}  // namespace shallot::gateway
