#ifndef SERVERS_GATEWAY_RETRY_SHARE_H_
#define SERVERS_GATEWAY_RETRY_SHARE_H_

#include <cstdint>
#include <deque>

#include "core/clock.h"
#include "servers/gateway/gateway_policy.h"

namespace shallot::gateway {

/// This gateway's part of the retry limit of one backend. The limit holds for all gateways
/// together over any window, so each takes its own calls' ratio and an equal part of the slack.
class RetryShare {
 public:
  explicit RetryShare(const GatewayPolicy* policy) : policy_(policy) {}

  void OnCall(SteadyTime now);
  /// Takes one retry; false when the share of this window is used up. `gateways`: how many share
  /// the slack; more than known is the safe side.
  bool TryRetry(SteadyTime now, uint64_t gateways);

 private:
  void Expire(SteadyTime now);

  const GatewayPolicy* policy_;
  std::deque<SteadyTime> calls_;
  std::deque<SteadyTime> retries_;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_RETRY_SHARE_H_
