#ifndef SERVERS_GATEWAY_DISPATCH_ORDER_H_
#define SERVERS_GATEWAY_DISPATCH_ORDER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "core/clock.h"
#include "servers/gateway/fleet_routes.h"

namespace shallot::gateway {

/// What the order of a waiting call depends on. All values are fixed while the order is computed,
/// so that they order calls consistently.
struct WaitingCall {
  /// 0 is the most urgent.
  uint64_t urgency = 0;
  SteadyTime deadline{};
  /// Its target latency has passed.
  bool late = false;
  /// Empty in deployments without teams.
  TeamName team = {};
  /// Service that the call takes, in the unit of `recent`; see DispatchOrder().
  double cost = 0;
};

/// Order in which waiting calls are offered to runners, as indexes into `calls`: the most urgent
/// first; among these the calls of the teams that have been served least; then those that are not
/// late, and then the one with the earliest deadline. `recent`: the teams' recent service
/// (TeamService). Each call counts as served before the next one of its team is placed, so that
/// teams take turns.
///
/// Answers a burst that fills the runners, and runners that limit their calls for a long time:
/// their free slots go to the calls that callers need soonest, and late calls do not make all
/// others of their team late. A team that sends many times its usual does not delay the others.
std::vector<size_t> DispatchOrder(const std::vector<WaitingCall>& calls,
                                  const std::map<TeamName, double>& recent = {});

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_DISPATCH_ORDER_H_
