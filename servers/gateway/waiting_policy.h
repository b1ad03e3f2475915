#ifndef SERVERS_GATEWAY_WAITING_POLICY_H_
#define SERVERS_GATEWAY_WAITING_POLICY_H_

#include <optional>

#include "core/clock.h"
#include "servers/gateway/call_request.h"
#include "servers/gateway/fleet_view.h"
#include "servers/gateway/gateway_policy.h"

namespace shallot::gateway {

/// Whether a call may wait for its model, and until when.
struct WaitingVerdict {
  bool wait = false;
  /// Predicted time until the model can take the call.
  Millis predicted{0};
  /// What a refused caller is told: when the model will probably be there.
  Millis retry_after{0};
  /// For the log: "loading", "memory", "disk", "store" or "no-runner".
  const char* source = "";
};

/// Fastest way in which some usable runner can load the model, without the order's overhead.
struct LoadTime {
  Millis load{0};
  const char* source = "store";
};
LoadTime FastestLoad(const FleetView& view, const BackendName& backend, const ModelSpec& model);

/// Shortest Retry-After that a refusal names; a caller that comes back sooner finds no change.
inline constexpr Millis kLeastRetryAfter{200};

/// Decides about a call whose model no runner holds. A call that cannot be served within its time
/// is refused at once. Load pattern: many rare models are asked for at the same time.
/// `waited`: how long calls for this model have been waiting already.
WaitingVerdict DecideWaiting(const FleetView& view, const EngineSpec& engine,
                             const GatewayPolicy& policy, const BackendName& backend,
                             const CallRequest& call, Millis time_left, Millis waited);

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_WAITING_POLICY_H_
