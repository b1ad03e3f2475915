#include "servers/gateway/limit_allocation.h"

#include <algorithm>

namespace shallot::gateway {

void LimitAllocation::Add(const RunnerId& runner, double calls_per_s,
                          const std::vector<HeldModel>& models) {
  double total = 0;
  for (const HeldModel& held : models) {
    if (!held.held_elsewhere) total += held.calls_per_s;
  }
  spare_[runner] = calls_per_s - total;
  for (const HeldModel& held : models) {
    if (held.held_elsewhere) continue;
    Demand& demand = models_[held.model];
    demand.calls_per_s = held.calls_per_s;
    if (total > 0) demand.allowed += calls_per_s * held.calls_per_s / total;
  }
}

double LimitAllocation::Excess(const ModelName& model) const {
  const auto found = models_.find(model);
  return found == models_.end() ? 0
                                : std::max(0.0, found->second.calls_per_s - found->second.allowed);
}

bool LimitAllocation::Sufficient(const ModelName& model) const {
  const auto found = models_.find(model);
  return found == models_.end() || Excess(model) <= kToleratedExcess * found->second.calls_per_s;
}

bool LimitAllocation::Serves(const RunnerId& runner, const ModelName& model) const {
  return !spare_.contains(runner) || models_.contains(model);
}

bool LimitAllocation::HasRoom(const RunnerId& runner, double calls_per_s) const {
  const auto found = spare_.find(runner);
  return found == spare_.end() || calls_per_s <= found->second;
}

}  // namespace shallot::gateway
