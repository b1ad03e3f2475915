#ifndef SERVERS_GATEWAY_RETRY_SHARE_H_
#define SERVERS_GATEWAY_RETRY_SHARE_H_

#include <cstdint>
#include <deque>

#include "core/clock.h"
#include "servers/gateway/gateway_policy.h"

namespace shallot::gateway {

/// This gateway's share of the retry limit of one backend. The limit applies to all gateways
/// together over any window, so each gateway may retry a ratio of its own calls plus an equal part
/// of the slack.
class RetryShare {
 public:
  explicit RetryShare(const GatewayPolicy* policy) : policy_(policy) {}

  void OnCall(SteadyTime now);
  /// Records a retry and returns true, or returns false if the share of this window is used up.
  /// `gateways`: number of gateways that share the slack; an overestimate is safe.
  bool TryRetry(SteadyTime now, uint64_t gateways);

 private:
  void Expire(SteadyTime now);

  const GatewayPolicy* policy_;
  std::deque<SteadyTime> calls_;
  std::deque<SteadyTime> retries_;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_RETRY_SHARE_H_
