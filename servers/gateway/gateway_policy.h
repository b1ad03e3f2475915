#ifndef SERVERS_GATEWAY_GATEWAY_POLICY_H_
#define SERVERS_GATEWAY_GATEWAY_POLICY_H_

#include <cstdint>

#include "core/clock.h"
#include "servers/gateway/balance/runner_choice.h"

namespace shallot::gateway {

/// The backends whose runners get even load.
enum class BalanceScope {
  /// Those of which a runner has stated its pace: their runners share machines.
  kStatedPace,
  kAll,
};

/// How a gateway estimates the calls at a runner.
enum class LoadEstimate {
  /// As last reported, or this gateway's own calls in flight if those are more.
  kReported,
  /// As last reported, corrected by this gateway's calls that were sent or ended since; a runner
  /// without a recent report is assumed to be as busy as the others.
  kCounted,
};

/// Parameters of the gateway's decisions. These defaults apply to the whole fleet; [policy] in the
/// settings file overrides individual values.
struct GatewayPolicy {
  /// Prompt tokens that a runner processes per millisecond; the deployments state 38.
  double prefill_tokens_per_ms = 38.0;
  /// Share of a runner's prefill rate that one model may use before it gets another replica.
  /// Prompts are processed between the tokens of running streams, so a higher share causes long
  /// pauses in those streams.
  double replica_utilization = 0.2;
  /// Calls in flight at one replica, as a share of its slots, above which the model gets another
  /// one.
  double replica_slot_share = 0.25;
  /// Calls per second from which a model has at least two replicas, so that calls continue while
  /// one of its runners leaves and another one loads the model from the weight store.
  double hot_calls_per_s = 1.5;
  /// Calls at one replica, relative to the mean runner's, above which a model gets another one
  /// where that costs little; 0: never.
  double even_replica_load = 1.3;
  /// Maximum number of replicas that placement gives one model.
  uint64_t max_replicas = 6;
  /// Maximum concurrent loads from the weight store; beyond 4 the store slows each one down.
  uint64_t store_loads_at_once = 4;
  /// Window for the rate of loads from the weight store; the platform measures over the same span.
  Millis store_load_window{5'000};
  /// Time from the decision to load until the first call at the runner, besides the load itself:
  /// two calls to the runner and the lag of its report (100 ms).
  Millis load_overhead{350};
  /// A model without calls for this long may lose its last replica to a model with waiting calls. A
  /// model with more recent calls loses it only if there is no other candidate.
  Millis idle_after{2'000};
  /// Score added for a runner in another failure domain; traffic between domains costs money.
  Millis cross_domain_cost{15};
  /// Score per call in flight at a model runner, because each call slows down every decode step.
  Millis in_flight_cost{4};
  /// Which backends get even load by the figures below. Calls of the others go to the runner with
  /// the lowest score, by its last report.
  BalanceScope balance = BalanceScope::kStatedPace;
  /// How a runner is chosen among those that can take a call, and how its calls are estimated.
  ChoiceKind choice = ChoiceKind::kWeighted;
  LoadEstimate load_estimate = LoadEstimate::kCounted;
  /// Score of a runner that recently got twice its share of this gateway's calls, in proportion to
  /// the surplus; one that got less gets a bonus. Spreads calls that the predicted times alone
  /// would send to the same runner again, such as those with a popular prefix.
  Millis send_surplus_cost{10};
  /// The same for a runner whose mean load, as reported, is twice that of the others. It counts the
  /// calls of all gateways, so that a gateway may keep to a few runners if the others use the rest.
  Millis load_surplus_cost{120};
  /// Whether a surplus is compared with runners of all failure domains; otherwise calls stay in the
  /// own domain, because traffic between domains costs money.
  bool even_across_domains = false;
  /// Maximum retries as a share of calls, over all gateways.
  double retry_ratio = 0.2;
  /// Retries per window allowed on top of that share, over all gateways together.
  double retry_slack = 58;
  Millis retry_window{10'000};
  /// Share of the retry limits that is used; the rest allows for gateways that this one does not
  /// know.
  double retry_margin = 0.7;
  /// Time limit for a new connection to a runner; round trips take 1 to 3 ms.
  Millis connect_timeout{300};
  /// Time reserved before a call's deadline for a refusal to reach the caller.
  Millis answer_reserve{60};
  /// An attempt at a plain service without a response is abandoned for another runner after this
  /// share of the time left.
  double silent_share = 0.4;
  /// An attempt at a stream without a first event is abandoned for another runner after this many
  /// target latencies.
  double first_event_targets = 1.6;
  /// Whether runners crash when their calls exceed their memory, so that gateways divide it.
  bool bound_runner_memory = false;
  /// Time after which a change of the configuration is in force at all gateways, counted from the
  /// store's acknowledgement to the operators.
  Millis config_apply{2'000};
  /// Whether a call must not run if it was sent later than `revoke_time` after the acknowledgement
  /// of a configuration without its key.
  bool strict_revoke = false;
  Millis revoke_time{5'000};
  /// Quotas of teams are measured over any span of this length.
  Millis quota_window{8'000};
  /// Share by which calls may exceed a quota, and units that may exceed it on top of that.
  double quota_overshoot = 0;
  double quota_slack = 0;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_GATEWAY_POLICY_H_
