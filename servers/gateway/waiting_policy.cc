#include "servers/gateway/waiting_policy.h"

#include <algorithm>

#include "core/hashing.h"

namespace shallot::gateway {

namespace {

/// Share by which Retry-After is spread over the callers that are refused at the same time.
constexpr double kRetrySpread = 0.5;
constexpr uint64_t kSpreadSteps = 1'000;
/// Range of Retry-After while the gateway has no configuration.
constexpr Millis kMinStartRetry{1'000};
constexpr Millis kMaxStartRetry{3'000};
/// Minimum Retry-After without a proof that the configuration is the latest: the time in which a
/// gateway that has resumed gets one from the store or another gateway.
constexpr Millis kMinProofRetry{300};

/// Lengthens `delay` by up to kRetrySpread, depending on the call.
Millis Spread(Millis delay, const RequestId& call) {
  const double position = static_cast<double>(StableHash(call.value()) % kSpreadSteps) /
                          static_cast<double>(kSpreadSteps);
  return Millis(
      static_cast<int64_t>(static_cast<double>(delay.count()) * (1.0 + kRetrySpread * position)));
}

}  // namespace

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
  // Calls that waited earlier have triggered the load, so part of it has elapsed. A load that is
  // overdue, for example because there is no leader, is expected to take as long again.
  const Millis whole = fastest.load + policy.load_overhead;
  const Millis remaining = waited <= whole ? whole - waited : waited;
  const Millis prefill(
      static_cast<int64_t>(static_cast<double>(call.prompt_tokens) / policy.prefill_tokens_per_ms));
  decision.predicted = remaining + prefill;
  decision.wait = decision.predicted + policy.answer_reserve < time_left;
  decision.retry_after = std::max(kMinRetryAfter, remaining);
  return decision;
}

RefusalDecision DecideRefusal(Millis predicted, Millis patience_left, const RequestId& call) {
  RefusalDecision decision;
  decision.refuse = predicted > patience_left;
  if (!decision.refuse) return decision;
  decision.retry_after = std::max(kMinRetryAfter, Spread(predicted - patience_left / 2, call));
  return decision;
}

Millis RetryAfterWhileStarting(Millis since_start, const RequestId& call) {
  return Spread(std::clamp(since_start, kMinStartRetry, kMaxStartRetry), call);
}

Millis RetryAfterWithoutProof(std::optional<Millis> overdue, const RequestId& call) {
  return Spread(std::clamp(overdue.value_or(kMinStartRetry), kMinProofRetry, kMaxStartRetry), call);
}

}  // namespace shallot::gateway
