#ifndef SERVERS_GATEWAY_DISPATCH_ORDER_H_
#define SERVERS_GATEWAY_DISPATCH_ORDER_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/clock.h"

namespace shallot::gateway {

/// What the order of a waiting call depends on. All values are fixed while the order is computed,
/// so that they order calls consistently.
struct WaitingCall {
  /// 0 is the most urgent.
  uint64_t urgency = 0;
  SteadyTime deadline{};
  /// Its target latency has passed.
  bool late = false;
};

/// Order in which waiting calls are offered to runners, as indexes into `calls`: the most urgent
/// first; among these those that are not late, and then the one with the earliest deadline. Answers
/// a burst that fills the runners, and runners that limit their calls for a long time: their free
/// slots go to the calls that callers need soonest, and late calls do not make all others late.
std::vector<size_t> DispatchOrder(const std::vector<WaitingCall>& calls);

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_DISPATCH_ORDER_H_
