#ifndef SERVERS_GATEWAY_RUNNER_WILLINGNESS_H_
#define SERVERS_GATEWAY_RUNNER_WILLINGNESS_H_

#include "core/clock.h"
#include "servers/gateway/fleet_view.h"
#include "servers/gateway/runner_health.h"
#include "servers/gateway/runner_limits.h"

namespace shallot::gateway {

/// Whether a runner takes calls of this gateway, from the list of runners and from its own answers.
struct Willingness {
  enum class State {
    kWilling,
    kLeaving,      ///< Takes no new calls until it is replaced; streams in progress end there.
    kUnavailable,  ///< Does not respond, or fails most calls.
    kClosed,       ///< Asked for no calls for some time.
    kLimited,      ///< Takes a limited number of calls; this gateway has no permit now.
  };
  State state = State::kWilling;
  /// Predicted time until a call may be sent; 0 if it may be sent now or if that is not known.
  Millis wait{0};

  bool operator==(const Willingness&) const = default;
};

const char* WillingnessName(Willingness::State state);

/// Decides whether a call may be sent to the runner. Load pattern: runners that leave or turn calls
/// away in their answers, earlier than the list of runners tells and also while the store is away;
/// a burst meets several closed runners at once. `limits` may be null.
Willingness AssessWillingness(const RunnerState& runner, const RunnerHealth& health,
                              const RunnerLimits* limits, SteadyTime now);

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_RUNNER_WILLINGNESS_H_
