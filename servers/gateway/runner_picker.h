#ifndef SERVERS_GATEWAY_RUNNER_PICKER_H_
#define SERVERS_GATEWAY_RUNNER_PICKER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/random.h"
#include "servers/gateway/balance/runner_choice.h"
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
  /// Factor for the runner's stated pace that `predicted` contains.
  double pace = 1.0;
  /// Number of runners among which this one was chosen.
  size_t candidates = 1;
  uint64_t kept_tokens = 0;
  /// `wait` is 0 if the call may be sent now.
  Willingness willingness;
};

/// How even the calls of this gateway are over the runners of a backend.
struct BalanceSummary {
  uint64_t runners = 0;
  /// Recent calls of this gateway to the runner with most of them, over the mean; 0 without calls.
  double send_spread = 0;
  /// Lasting paces; 1 for runners that state none.
  double mean_pace = 1.0;
  double slowest_pace = 1.0;
};

/// Why no runner was selected.
enum class PickError { kNone, kNoRunner, kModelNotLoaded, kAllBusy };

/// Selects the runner for a call by the predicted time to its first event, from the runner's queue,
/// the part of the prompt that is not in its prefix cache, its observed speed and failures, and its
/// failure domain. Handles uneven replicas of a busy model, slow, failing and limited runners,
/// sessions that share prompts, runners that differ in speed, and many gateways that choose at the
/// same time on old reports.
class RunnerPicker {
 public:
  /// `limits` may be null. `seed` differs between gateways, so that they choose differently among
  /// runners with equal scores.
  RunnerPicker(const GatewayPolicy* policy, const FleetView* view, FailureDomain own_domain,
               const RunnerLimits* limits = nullptr, uint64_t seed = 0)
      : policy_(policy),
        view_(view),
        own_domain_(std::move(own_domain)),
        limits_(limits),
        random_(seed) {}

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
  std::map<BackendName, BalanceSummary> Summarize(SteadyTime now) const;
  /// Lasting paces of the runners that have stated one to this gateway.
  std::map<RunnerId, double> LastingPaces(SteadyTime now) const;
  /// Lasting paces that changed by at least kPaceChange since this function returned them.
  std::map<RunnerId, double> TakePaceChanges(SteadyTime now);
  /// Runners to which no calls may be sent now.
  std::set<RunnerId> Unreachable(SteadyTime now) const;

 private:
  /// Whether the runner takes no call now, but probably soon.
  bool Pausing(const Query& query, const RunnerState& runner, const RunnerHealth& health,
               SteadyTime now) const;
  struct Candidate {
    const RunnerState* runner = nullptr;
    const RunnerHealth* health = nullptr;
    PickedRunner picked;
    double score = 0;
    /// The call can be sent now, and the runner is no last resort.
    bool ready = false;
  };
  /// What the candidates for a call have in common.
  struct Usual {
    /// The backend gets even load; see GatewayPolicy::balance.
    bool balance = false;
    /// Mean number of calls at those with a recent report.
    double calls = 0;
    struct Group {
      /// Mean number of recent calls of this gateway per unit of speed.
      double sends = 0;
      double speed = 0;
      /// Mean load of the runners that have reported any, and their number.
      double load = 0;
      uint64_t reported = 0;
    };
    /// By GroupOf().
    std::array<Group, 2> groups{};
  };

  /// Runners that can take the call, now or after a known time.
  std::vector<Candidate> FindCandidates(const Query& query, SteadyTime now, PickError* problem);
  Usual UsualOf(const std::vector<Candidate>& candidates, SteadyTime now) const;
  /// Runners whose numbers of calls are compared have the same group: those of the own failure
  /// domain, and the others.
  size_t GroupOf(const Candidate& candidate) const;
  /// Cost in ms of another call to a runner that got more calls, for all its models, than others:
  /// from this gateway in proportion to their speed, and from all by its mean load. Negative if it
  /// got fewer.
  double SurplusCost(const Candidate& candidate, const Usual& usual, SteadyTime now) const;
  void Score(const Query& query, const Usual& usual, SteadyTime now, Candidate* candidate) const;
  RunnerChoice& Choice(ChoiceKind kind);

  const GatewayPolicy* policy_;
  const FleetView* view_;
  FailureDomain own_domain_;
  const RunnerLimits* limits_;
  Random random_;
  std::map<ChoiceKind, std::unique_ptr<RunnerChoice>> choices_;
  const RunnerMemory* memory_ = nullptr;
  std::map<RunnerId, RunnerHealth> health_;
  /// Lasting paces as TakePaceChanges() last returned them.
  std::map<RunnerId, double> reported_paces_;
  PrefixIndex prefixes_;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_RUNNER_PICKER_H_
