#include <algorithm>
#include <vector>

#include "core/log.h"
#include "servers/agent_state.h"

namespace shallot {
namespace {

/// After the grace the process waits this much longer for the ends of cancelled calls and for the
/// unloads.
constexpr Millis kLastWait{2000};

}  // namespace

void AgentCore::State::BeginDrain(const std::string& reason, Millis grace) {
  if (draining) return;
  LogInfo("drain", "started: " + reason);
  draining = true;
  drain_started = Now();
  drain_until = Now() + grace;
  peers.StartDraining();
  // Calls that wait for a load would keep the runner busy for long; other runners serve them.
  RefuseQueued(
      [this](const QueuedCall& call) { return !call.entry.empty() && !loads.IsUsable(call.entry); },
      Reason::kDraining, Millis(0));
}

bool AgentCore::State::HasOpenCalls() const {
  return std::any_of(calls.begin(), calls.end(), [](const auto& item) {
    const AgentCall& call = *item.second;
    // An ended call stays open until its router has acknowledged it.
    return call.phase != CallPhase::kEnded || call.attached;
  });
}

void AgentCore::State::AdvanceDrain() {
  if (!draining) return;
  if (queue.size() == 0 && running_ids.empty()) GiveUpSlots();
  if (grace_over || Now() < drain_until) return;
  grace_over = true;
  std::vector<CallPtr> open;
  for (const auto& [key, call] : calls) open.push_back(call);
  for (const CallPtr& call : open) {
    // A running order goes on; when the process exits first, its router reports it as unknown.
    if (call->phase == CallPhase::kRunning && !call->call.repeatable) continue;
    if (call->phase == CallPhase::kQueued || call->phase == CallPhase::kRunning) {
      CancelCall(call, Reason::kDraining);
    }
  }
}

void AgentCore::State::GiveUpSlots() {
  loads.ReleaseAll();
  if (env.engine == nullptr) return;
  for (const SlotReleased& slot : slots.Held()) {
    if (loads.IsHeld(slot.entry)) continue;
    slots.MarkReleased(slot.entry, slot.generation);
    Count("shallot_agent_slots_released_total").Add();
    peers.Broadcast(slot);
  }
}

bool AgentCore::State::Drained() const {
  if (!draining) return false;
  if (Now() >= drain_until + kLastWait) return true;
  if (HasOpenCalls()) return false;
  return env.engine == nullptr || (loads.Empty() && slots.Held().empty());
}

}  // namespace shallot
