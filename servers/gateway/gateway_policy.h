#ifndef SERVERS_GATEWAY_GATEWAY_POLICY_H_
#define SERVERS_GATEWAY_GATEWAY_POLICY_H_

#include <cstdint>

#include "core/clock.h"

namespace shallot::gateway {

/// Figures that the decisions use. Defaults are fleet defaults; [policy] of the settings file
/// overrides single ones.
struct GatewayPolicy {
  /// Prompt tokens that a runner reads in a millisecond; the deployments state 38.
  double prefill_tokens_per_ms = 38.0;
  /// Share of a runner's prefill rate that one model may use before it gets another replica.
  /// Prompts are read between the tokens of running streams, so a higher share makes their pauses
  /// long.
  double replica_utilization = 0.2;
  /// Calls in flight at one replica, as a share of its slots, before the model gets another one.
  double replica_slot_share = 0.25;
  /// Calls a second from which a model has two replicas at least, so that calls go on while one of
  /// its runners leaves and another load from the weight store takes its time.
  double hot_calls_per_s = 1.5;
  /// Most replicas that placement gives one model.
  uint64_t max_replicas = 6;
  /// Loads from the weight store at the same time; the store slows each one down beyond 4.
  uint64_t store_loads_at_once = 4;
  /// Window for the rate of loads from the weight store; the platform judges the same span.
  Millis store_load_window{5'000};
  /// Time from a decided load to the first call at the runner, besides the load itself: two calls
  /// to the runner and the lag of its report (100 ms).
  Millis load_overhead{350};
  /// A model without calls for this long may lose its last replica to one that is waited for, and
  /// one with more recent calls only when there is no other.
  Millis idle_after{2'000};
  /// Extra score of a runner in another failure domain; traffic between domains is paid for.
  Millis cross_domain_cost{15};
  /// Score per call in flight at a model runner: each one slows every decode step.
  Millis in_flight_cost{4};
  /// Retries as a share of calls, over all gateways.
  double retry_ratio = 0.2;
  /// Retries per window on top of the share, over all gateways together.
  double retry_slack = 58;
  Millis retry_window{10'000};
  /// Share of the retry limits that is used; the rest absorbs gateways that this one does not know.
  double retry_margin = 0.7;
  /// A new connection to a runner that takes longer has failed; round trips take 1 to 3 ms.
  Millis connect_timeout{300};
  /// Time that is kept back from a call's deadline for the refusal to reach the caller.
  Millis answer_reserve{60};
  /// A plain service's answer is given up for another runner after this share of the time left.
  double silent_share = 0.4;
  /// A stream's first event is given up for another runner after this many target latencies.
  double first_event_targets = 1.6;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_GATEWAY_POLICY_H_
