#include "servers/gateway/stop_sequence.h"

#include <algorithm>

namespace shallot::gateway {

bool StopSequence::RefusesNewCalls(SteadyTime now, Millis limit) const {
  return now - began_at_ > Duration(std::min(kNewCallWindow, limit - kFinalAnswerMargin));
}

StopActions StopSequence::Decide(SteadyTime now, Millis limit, const Progress& progress) const {
  StopActions actions;
  const Duration elapsed = now - began_at_;
  actions.final_answers = elapsed > Duration(limit - kFinalAnswerMargin);
  actions.refuse = RefusesNewCalls(now, limit);
  if (elapsed < Duration(kMinServeTime)) return actions;
  actions.close_idle = true;
  if (progress.requests_open) return actions;
  actions.stop_accepting = true;
  actions.exit = !progress.accepting && !progress.connections_open;
  return actions;
}

}  // namespace shallot::gateway
