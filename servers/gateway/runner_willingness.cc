#include "servers/gateway/runner_willingness.h"

#include <algorithm>

namespace shallot::gateway {

const char* WillingnessName(Willingness::State state) {
  switch (state) {
    case Willingness::State::kWilling:
      return "willing";
    case Willingness::State::kLeaving:
      return "leaving";
    case Willingness::State::kUnavailable:
      return "unavailable";
    case Willingness::State::kClosed:
      return "closed";
    case Willingness::State::kLimited:
      return "limited";
  }
  return "unknown";
}

Willingness AssessWillingness(const RunnerState& runner, const RunnerHealth& health,
                              const RunnerLimits* limits, SteadyTime now) {
  using State = Willingness::State;
  if (!runner.Usable()) return {State::kLeaving, Millis(0)};
  const Millis closed = health.ClosedFor(now);
  const Millis permit = limits == nullptr ? Millis(0) : limits->PermitWait(runner.entry.id, now);
  if (closed > Millis(0)) return {State::kClosed, std::max(closed, permit)};
  if (!health.Available(now)) return {State::kUnavailable, permit};
  if (permit > Millis(0)) return {State::kLimited, permit};
  return {};
}

}  // namespace shallot::gateway
