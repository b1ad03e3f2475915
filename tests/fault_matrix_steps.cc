#include "servers/store_order_claims.h"
#include "tests/fault_matrix_table.h"

namespace shallot::composed {
namespace {

using Fleet = ComposedFleet;

/// Without a fault, a fleet reaches each step well within this time.
constexpr Millis kReachLimit{10'000};
const char* const kKey = "order-1";

/// Stops or resumes the progress of running calls. RunCell() resumes them before the fault begins.
void HoldCalls(Fleet& fleet, bool hold) {
  for (size_t i = 0; i < Fleet::kRunners; ++i) fleet.backend(i).hold_calls = hold;
}

bool SelectTarget(Fleet& fleet, CellTarget* target, const std::string& entry = "m1") {
  target->runner = fleet.HolderOf(entry);
  target->router = 0;
  return target->runner < Fleet::kRunners;
}

/// Loads m1 by running one call to completion.
bool LoadModel(Fleet& fleet, CellTarget* target) {
  if (!SelectTarget(fleet, target)) return false;
  const auto call = fleet.SubmitModel(1, "m1");
  const bool ended = fleet.RunUntil([&] { return call->sink->ends > 0; }, kReachLimit);
  return ended && call->sink->end.kind == OutcomeKind::kCompleted && SelectTarget(fleet, target);
}

bool ColdBefore(Fleet& fleet, CellTarget* target) {
  fleet.SubmitModel(0, "m1");
  return SelectTarget(fleet, target);
}

bool ColdDuring(Fleet& fleet, CellTarget* target) {
  // Calls at all routers at once.
  for (size_t i = 0; i < Fleet::kRouters; ++i) fleet.SubmitModel(i, "m1");
  if (!SelectTarget(fleet, target)) return false;
  return fleet.RunUntil([&] { return fleet.backend(target->runner).Loading(); }, kReachLimit);
}

bool ColdAfter(Fleet& fleet, CellTarget* target) {
  if (!ColdDuring(fleet, target)) return false;
  return fleet.RunUntil([&] { return !fleet.backend(target->runner).Loading(); }, kReachLimit);
}

bool Releasing(const Fleet& fleet) {
  for (const Slot& slot : fleet.StoredSlots()) {
    if (slot.entry == EntryId("m1") && slot.state == SlotState::kReleasing) return true;
  }
  return false;
}

bool MoveWritten(Fleet& fleet, CellTarget* target) {
  if (!LoadModel(fleet, target)) return false;
  target->router = fleet.Owner();
  if (target->router >= Fleet::kRouters) return false;
  target->leaving = true;
  fleet.SetLeaving(target->runner, true);
  if (!fleet.RunUntil([&] { return Releasing(fleet); }, kReachLimit)) return false;
  fleet.SubmitModel((target->router + 1) % Fleet::kRouters, "m1");
  return true;
}

bool MoveUnloading(Fleet& fleet, CellTarget* target) {
  if (!MoveWritten(fleet, target)) return false;
  return fleet.RunUntil([&] { return fleet.backend(target->runner).Unloading(); }, kReachLimit);
}

bool MoveReleased(Fleet& fleet, CellTarget* target) {
  if (!MoveUnloading(fleet, target)) return false;
  return fleet.RunUntil([&] { return !fleet.backend(target->runner).Has(EntryId("m1")); },
                        kReachLimit);
}

bool AdapterBefore(Fleet& fleet, CellTarget* target) {
  if (!LoadModel(fleet, target)) return false;
  fleet.SubmitModel(0, "a1");
  return true;
}

bool AdapterDuring(Fleet& fleet, CellTarget* target) {
  if (!AdapterBefore(fleet, target)) return false;
  return fleet.RunUntil([&] { return fleet.backend(target->runner).Loading(); }, kReachLimit);
}

bool OrderBefore(Fleet& fleet, CellTarget* target) {
  target->runner = Fleet::kService;
  fleet.SubmitOrder(0, kKey);
  return true;
}

bool OrderClaimed(Fleet& fleet, CellTarget* target) {
  fleet.SetStoreSlow(true);
  OrderBefore(fleet, target);
  const std::string key = OrderKey(IdempotencyKey(kKey)).value();
  return fleet.RunUntil([&] { return fleet.store.Has(key); }, kReachLimit);
}

bool OrderRunning(Fleet& fleet, CellTarget* target) {
  HoldCalls(fleet, true);
  OrderBefore(fleet, target);
  return fleet.RunUntil([&] { return fleet.Executions(IdempotencyKey(kKey)) > 0; }, kReachLimit);
}

bool OrderRecording(Fleet& fleet, CellTarget* target) {
  if (!OrderRunning(fleet, target)) return false;
  HoldCalls(fleet, false);
  fleet.SetStoreSlow(true);
  return fleet.RunUntil([&] { return fleet.backend(Fleet::kService).calls().running.empty(); },
                        kReachLimit);
}

bool StreamBefore(Fleet& fleet, CellTarget* target) {
  if (!LoadModel(fleet, target)) return false;
  HoldCalls(fleet, true);
  fleet.SubmitModel(0, "m1", true);
  return fleet.RunUntil([&] { return !fleet.backend(target->runner).calls().running.empty(); },
                        kReachLimit);
}

bool StreamMiddle(Fleet& fleet, CellTarget* target) {
  if (!StreamBefore(fleet, target)) return false;
  HoldCalls(fleet, false);
  return fleet.RunUntil([&] { return !fleet.calls.back()->sink->data.empty(); }, kReachLimit);
}

bool StreamOutcomeLost(Fleet& fleet, CellTarget* target) {
  if (!StreamBefore(fleet, target)) return false;
  HoldCalls(fleet, false);
  auto lost = std::make_shared<bool>(false);
  fleet.network.should_drop = [lost](const Message& message) {
    if (*lost || !std::holds_alternative<CallOutcome>(message)) return false;
    return *lost = true;
  };
  return fleet.RunUntil([&] { return *lost; }, kReachLimit);
}

bool ChangeBefore(Fleet& fleet, CellTarget* target) {
  fleet.Change();
  return SelectTarget(fleet, target);
}

bool ChangeAfter(Fleet& fleet, CellTarget* target) {
  const ConfigRevision before = fleet.StoredRevision();
  ChangeBefore(fleet, target);
  return fleet.RunUntil([&] { return fleet.StoredRevision() > before; }, kReachLimit);
}

bool DrainBegun(Fleet& fleet, CellTarget* target) {
  if (!LoadModel(fleet, target)) return false;
  fleet.DrainAgent(target->runner);
  fleet.SubmitModel(0, "m1");
  return true;
}

bool DrainWithCall(Fleet& fleet, CellTarget* target) {
  if (!StreamBefore(fleet, target)) return false;
  fleet.DrainAgent(target->runner);
  fleet.Run(Millis(100));
  return true;
}

bool AgentRestart(Fleet& fleet, CellTarget* target) {
  if (!LoadModel(fleet, target)) return false;
  fleet.KillAgent(target->runner);
  fleet.Run(Millis(200));
  fleet.StartAgent(target->runner);
  fleet.SubmitModel(0, "m1");
  return true;
}

bool RouterRestart(Fleet& fleet, CellTarget* target) {
  if (!LoadModel(fleet, target)) return false;
  fleet.KillRouter(0);
  fleet.Run(Millis(200));
  fleet.StartRouter(0);
  fleet.SubmitModel(1, "m1");
  return true;
}

}  // namespace

const std::vector<ProtocolStep>& ProtocolSteps() {
  static const std::vector<ProtocolStep> steps = {
      {"cold start", "before the order", ColdBefore, true, false},
      {"cold start", "during the load", ColdDuring, true, true},
      {"cold start", "after the load", ColdAfter, false, false},
      {"slot move", "releasing written", MoveWritten, true, false},
      {"slot move", "unloading", MoveUnloading, true, true},
      {"slot move", "released", MoveReleased, true, false},
      {"adapter load", "before the order", AdapterBefore, true, false},
      {"adapter load", "during the load", AdapterDuring, true, true},
      {"order", "before the claim", OrderBefore, false, false},
      {"order", "claim written", OrderClaimed, false, false},
      {"order", "running", OrderRunning, false, false},
      {"order", "answer being recorded", OrderRecording, false, false},
      {"stream", "before the first frame", StreamBefore, false, false},
      {"stream", "in the middle", StreamMiddle, false, false},
      {"stream", "outcome lost", StreamOutcomeLost, false, false},
      {"configuration change", "before the write", ChangeBefore, false, false},
      {"configuration change", "after the write", ChangeAfter, false, false},
      {"drain", "begun", DrainBegun, true, false},
      {"drain", "with a call in progress", DrainWithCall, true, false},
      {"restart", "agent starts", AgentRestart, false, false},
      {"restart", "router starts", RouterRestart, false, false}};
  return steps;
}

std::string EmptyReason(const Fault& fault, const ProtocolStep& step) {
  const auto includes = [&](const char* name) {
    return fault.name.find(name) != std::string::npos;
  };
  if (includes("weight store slow") && !step.loads) return "the step loads nothing";
  if (includes("fencing") && !step.engine_order_open) {
    return "no order to the engine is under way; the same as \"agent killed\"";
  }
  return "";
}

}  // namespace shallot::composed
