#include <algorithm>
#include <vector>

#include "core/log.h"
#include "servers/agent_state.h"

namespace shallot {
namespace {

/// After the grace period, the process waits at most this long for cancelled calls to end and for
/// entries to be unloaded.
constexpr Millis kForcedExitDelay{2000};
/// Time for a router to resume a call whose connection was lost. Routers replace a silent
/// connection after 2 s, so a resume arrives well within this time.
constexpr Millis kResumeTimeout{5000};
/// Time for the owners to take back slots that the agent released: two writes and their grants. The
/// slots of an agent that exits earlier are unusable until the instance list drops it.
constexpr Millis kHandOverTimeout{3000};

}  // namespace

void AgentCore::State::BeginDrain(const std::string& reason, Millis grace) {
  if (draining) return;
  LogInfo("drain", "started: " + reason);
  draining = true;
  drain_started = Now();
  drain_until = Now() + grace;
  peers.StartDraining();
  // Calls that wait for a load would prolong the drain; other runners serve them.
  RefuseQueued(
      [this](const QueuedCall& call) { return !call.entry.empty() && !loads.IsUsable(call.entry); },
      Reason::kDraining, Millis(0));
}

bool AgentCore::State::HasOpenCalls() const {
  if (!running_ids.empty()) return true;
  const SteadyTime now = Now();
  return std::any_of(calls.begin(), calls.end(), [now](const auto& item) {
    const AgentCall& call = *item.second;
    if (call.phase != CallPhase::kEnded) return true;
    if (call.outcome.kind == OutcomeKind::kNotRun && call.outcome_sent) return false;
    // The answer must still be acknowledged or, if the connection was lost, resumed by a router.
    return call.attached || now - call.detached_at < kResumeTimeout;
  });
}

void AgentCore::State::AdvanceDrain() {
  if (!draining) return;
  if (queue.size() == 0 && running_ids.empty()) ReleaseSlots();
  if (!grace_period_ended && Now() >= drain_until) EndGracePeriod();
}

void AgentCore::State::EndGracePeriod() {
  grace_period_ended = true;
  std::vector<CallPtr> open;
  for (const auto& [key, call] : calls) {
    if (call->phase == CallPhase::kQueued || call->phase == CallPhase::kRunning) {
      open.push_back(call);
    }
  }
  for (const CallPtr& call : open) {
    if (call->call.repeatable || call->phase == CallPhase::kQueued) {
      CancelCall(call, Reason::kDraining);
      continue;
    }
    // The order keeps running; its answer is still recorded if it ends before the process exits.
    Outcome outcome;
    outcome.kind = OutcomeKind::kUnknown;
    outcome.reason = Reason::kDraining;
    Finish(call, outcome);
  }
}

void AgentCore::State::ReleaseSlots() {
  loads.ReleaseAll();
  if (!slots_released_at) slots_released_at = Now();
  if (env.engine == nullptr) return;
  for (const SlotReleased& slot : slots.HeldSlots()) {
    if (loads.IsHeld(slot.entry)) continue;
    slots.MarkReleased(slot.entry, slot.generation);
    Count("shallot_agent_slots_released_total").Add();
    peers.Broadcast(slot);
  }
}

bool AgentCore::State::Drained() const {
  if (!draining) return false;
  if (Now() >= drain_until + kForcedExitDelay) return true;
  if (HasOpenCalls()) return false;
  return env.engine == nullptr || (loads.Empty() && slots.HeldSlots().empty() && SlotsHandedOver());
}

bool AgentCore::State::SlotsHandedOver() const {
  if (slots.Empty() || peers.size() == 0) return true;
  return slots_released_at && Now() - *slots_released_at >= kHandOverTimeout;
}

}  // namespace shallot
