#ifndef SERVERS_GATEWAY_WAITING_POLICY_H_
#define SERVERS_GATEWAY_WAITING_POLICY_H_

#include <optional>

#include "core/clock.h"
#include "servers/gateway/call_request.h"
#include "servers/gateway/fleet_view.h"
#include "servers/gateway/gateway_policy.h"

namespace shallot::gateway {

/// Decision whether a call may wait for its model to be loaded.
struct WaitDecision {
  bool wait = false;
  /// Predicted time until the model can take the call.
  Millis predicted{0};
  /// Retry-After of a refusal: when the model will probably be loaded.
  Millis retry_after{0};
  /// For the log: "loading", "memory", "disk", "store" or "no-runner".
  const char* source = "";
};

/// Shortest time in which a usable runner of the backend can load the model, and where it reads the
/// weights from. Excludes the overhead of the order.
struct LoadTime {
  Millis load{0};
  const char* source = "store";
};
LoadTime FastestLoad(const FleetView& view, const BackendName& backend, const ModelSpec& model);

/// Minimum Retry-After of a refusal; a caller that retries sooner finds nothing changed.
inline constexpr Millis kMinRetryAfter{200};

/// Decides whether a call whose model no runner holds may wait, for example while many rarely used
/// models are requested at once. A call that cannot be served within `time_left` is refused
/// immediately. `time_left`: time until the caller gives up. `waited`: how long calls for this
/// model have been waiting already.
WaitDecision DecideWaiting(const FleetView& view, const EngineSpec& engine,
                           const GatewayPolicy& policy, const BackendName& backend,
                           const CallRequest& call, Millis time_left, Millis waited);

/// Decision whether a call that a runner could take is refused instead.
struct RefusalDecision {
  bool refuse = false;
  Millis retry_after{0};
};

/// Refuses a call whose first event is predicted for after the time at which its caller gives up,
/// when a burst or the loss of runners has overloaded every runner of a model. Sending it would
/// only delay the calls behind it. Retry-After is the time until the excess has been processed,
/// spread by the call's id so that refused callers do not return at the same moment.
RefusalDecision DecideRefusal(Millis predicted, Millis patience_left, const RequestId& call);

/// Retry-After while the gateway has no configuration, because it has just started or because the
/// platform's store is away, for example after the loss of all gateways during an outage. The store
/// is expected to stay away as long as it has been. Spread like that of DecideRefusal().
Millis RetryAfterWhileStarting(Millis since_start, const RequestId& call);

/// Retry-After while the gateway cannot prove that its configuration is the latest. `overdue`: how
/// long the proof has been too old; absent if there has been none. A gateway that was suspended
/// has a new proof in a fraction of a second; an outage of the store is expected to last as long
/// again as it has. Spread like that of DecideRefusal().
Millis RetryAfterWithoutProof(std::optional<Millis> overdue, const RequestId& call);

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_WAITING_POLICY_H_
