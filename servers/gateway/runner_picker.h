#ifndef SERVERS_GATEWAY_RUNNER_PICKER_H_
#define SERVERS_GATEWAY_RUNNER_PICKER_H_

#include <map>
#include <optional>
#include <set>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/gateway/call_request.h"
#include "servers/gateway/fleet_view.h"
#include "servers/gateway/gateway_policy.h"
#include "servers/gateway/memory/runner_memory.h"
#include "servers/gateway/prefix_index.h"
#include "servers/gateway/runner_health.h"
#include "servers/gateway/runner_limits.h"
#include "servers/gateway/runner_willingness.h"

namespace shallot::gateway {

/// A selected runner and the predictions behind the choice.
struct PickedRunner {
  RunnerId runner;
  /// Predicted time to the first event or to the response.
  Millis predicted{0};
  /// Factor for the runner's observed slowness that `predicted` contains.
  double slowness = 1.0;
  uint64_t kept_tokens = 0;
  /// `wait` is 0 if the call may be sent now.
  Willingness willingness;
};

/// Why no runner was selected.
enum class PickError { kNone, kNoRunner, kModelNotLoaded, kAllBusy };

/// Selects the runner for a call by the predicted time to its first event, from the runner's queue,
/// the part of the prompt that is not in its prefix cache, its observed speed and failures, and its
/// failure domain. Handles uneven replicas of a busy model, slow, failing and limited runners, and
/// sessions that share prompts.
class RunnerPicker {
 public:
  /// `limits` may be null.
  RunnerPicker(const GatewayPolicy* policy, const FleetView* view, FailureDomain own_domain,
               const RunnerLimits* limits = nullptr)
      : policy_(policy), view_(view), own_domain_(std::move(own_domain)), limits_(limits) {}

  /// A runner without room in its memory counts as pausing. `memory` must outlive the picker.
  void SetMemory(const RunnerMemory* memory) { memory_ = memory; }

  struct Query {
    BackendName backend;
    /// Null for plain services.
    const EngineSpec* engine = nullptr;
    const CallRequest* call = nullptr;
    /// Runners that this call has already tried.
    const std::set<RunnerId>* tried = nullptr;
    /// Runners that must not be selected now.
    const std::set<RunnerId>* excluded = nullptr;
    /// Choose as if every runner had room in its memory.
    bool ignore_memory = false;
    Millis target_latency{0};
    /// 0 is the most urgent; the runner serves more urgent calls first.
    uint64_t urgency = 0;
  };

  std::optional<PickedRunner> Pick(const Query& query, SteadyTime now, PickError* problem);

  RunnerHealth& health(const RunnerId& runner) { return health_[runner]; }
  PrefixIndex& prefixes() { return prefixes_; }
  /// Discards what was learned about a runner that is gone or has restarted.
  void Forget(const RunnerId& runner);
  /// Runners to which no calls may be sent now.
  std::set<RunnerId> Unreachable(SteadyTime now) const;

 private:
  /// Whether the runner takes no call now, but probably soon.
  bool Pausing(const Query& query, const RunnerState& runner, const RunnerHealth& health,
               SteadyTime now) const;
  double Score(const Query& query, const RunnerState& runner, const RunnerHealth& health,
               SteadyTime now, PickedRunner* picked) const;

  const GatewayPolicy* policy_;
  const FleetView* view_;
  FailureDomain own_domain_;
  const RunnerLimits* limits_;
  const RunnerMemory* memory_ = nullptr;
  std::map<RunnerId, RunnerHealth> health_;
  PrefixIndex prefixes_;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_RUNNER_PICKER_H_
