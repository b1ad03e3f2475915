#include "servers/gateway/waiting_policy.h"

#include <algorithm>

namespace shallot::gateway {

LoadTime FastestLoad(const FleetView& view, const BackendName& backend, const ModelSpec& model) {
  LoadTime best{model.store_load, "store"};
  for (const auto& [id, runner] : view.runners()) {
    if (runner.entry.backend != backend || !runner.Usable()) continue;
    const Holdings& holdings = runner.entry.holdings;
    if (holdings.in_memory.contains(model.name) && model.memory_load < best.load) {
      best = {model.memory_load, "memory"};
    } else if (holdings.on_disk.contains(model.name) && model.disk_load < best.load) {
      best = {model.disk_load, "disk"};
    }
  }
  return best;
}

WaitDecision DecideWaiting(const FleetView& view, const EngineSpec& engine,
                           const GatewayPolicy& policy, const BackendName& backend,
                           const CallRequest& call, Millis time_left, Millis waited) {
  WaitDecision decision;
  const auto model = engine.models.find(call.model);
  if (model == engine.models.end() || view.UsableRunners(backend).empty()) {
    decision.source = "no-runner";
    decision.retry_after = std::max(kMinRetryAfter, time_left / 3);
    return decision;
  }
  const LoadTime fastest = FastestLoad(view, backend, model->second);
  decision.source = fastest.source;
  // Calls that waited earlier have triggered the load, so part of it has elapsed.
  const Millis remaining = std::max(Millis(0), fastest.load + policy.load_overhead - waited);
  const Millis prefill(
      static_cast<int64_t>(static_cast<double>(call.prompt_tokens) / policy.prefill_tokens_per_ms));
  decision.predicted = remaining + prefill;
  decision.wait = decision.predicted + policy.answer_reserve < time_left;
  decision.retry_after = std::max(kMinRetryAfter, remaining);
  return decision;
}

}  // namespace shallot::gateway
