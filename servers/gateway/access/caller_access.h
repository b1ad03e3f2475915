#ifndef SERVERS_GATEWAY_ACCESS_CALLER_ACCESS_H_
#define SERVERS_GATEWAY_ACCESS_CALLER_ACCESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "core/clock.h"
#include "servers/gateway/call_request.h"
#include "servers/gateway/fleet_routes.h"
#include "servers/gateway/gateway_policy.h"

namespace shallot::gateway {

/// A call that may run.
struct Access {
  const Route* route = nullptr;
  /// The team that holds the call's key; null if none does or the configuration has no teams.
  const Team* team = nullptr;
  /// The configuration has teams, so the key must not be sent on.
  bool keys_required = false;
};

/// Why a call is not run.
enum class DenialReason {
  kUnknownKey,  ///< No team holds the key, and the configuration is recent enough to say so.
  kNoRoute,     ///< No route serves the path, and the configuration is recent enough to say so.
  kUnproved,    ///< The configuration in force may have been replaced; try again later.
};

const char* DenialReasonName(DenialReason reason);

struct Denial {
  DenialReason reason = DenialReason::kUnproved;
  /// Null if the path has none.
  const Route* route = nullptr;
  /// For kUnproved only.
  Millis retry_after{0};
};

using AccessDecision = std::variant<Access, Denial>;

/// Part of GatewayPolicy::revoke_time that is not used. The platform compares the times at which
/// operators, callers and gateways acted by the clocks of several machines, whose rates differ by
/// up to 0.05%, and a proof may have passed through several gateways, which round it.
inline constexpr Millis kRevokeMargin{200};

/// Maximum age of the proof, at the time at which a call with a key was read, with strict_revoke.
Millis RevokeBound(const GatewayPolicy& policy);

/// Decides whether a call may run by the configuration `routes`.
///
/// `read_at`: when the call was read, or later. `proved_at`: ConfigProof::proved_at(). All versions
/// that the store had acknowledged by then are in `routes`. A call is refused for its key or path
/// only if all versions are that were acknowledged more than config_apply before `read_at`: an
/// added key or route must be in effect after that time. With strict_revoke a known key is accepted
/// only if all versions are that were acknowledged more than revoke_time before. Without
/// strict_revoke a known key needs no proof, and a public route never does. The pointers in the
/// result point into `routes`.
AccessDecision DecideAccess(const FleetRoutes& routes, const CallRequest& call, BootTime read_at,
                            std::optional<BootTime> proved_at, const GatewayPolicy& policy);

/// As DecideAccess(), for a call that has been admitted and has waited while `routes` came into
/// force. If they no longer have a route for the call, it stays with `admitted`, and its key alone
/// decides.
AccessDecision DecideAccessAgain(const FleetRoutes& routes, const CallRequest& call,
                                 const Route& admitted, BootTime read_at,
                                 std::optional<BootTime> proved_at, const GatewayPolicy& policy);

/// The urgency of a call: 0 is the most urgent, 9 the least. The ranks of the teams divide the
/// levels among them; calls of a team without a rank, or without a team, come last. Within the
/// levels of a team's rank, the route's rank counts first and then its target latency, as far as
/// the levels suffice. Without ranked teams, route and target latency alone decide.
uint64_t CallUrgency(const FleetRoutes& routes, const Team* team, const Route& route);

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_ACCESS_CALLER_ACCESS_H_
