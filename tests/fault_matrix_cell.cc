#include "tests/fault_matrix_cell.h"

#include <algorithm>
#include <map>
#include <set>

#include "core/log.h"
#include "servers/order_record.h"
#include "servers/store_order_claims.h"

namespace shallot::composed {
namespace {

/// Limit for the recovery after a fault: the lease of 10 s expires, an instance is missing from two
/// lists of 1 s, connections are silent for 2 s, and the entry loads.
constexpr Millis kRecoveryLimit{15'000};
constexpr Millis kRetryPause{500};
/// A configuration change is in force everywhere within this time of its acceptance.
constexpr Millis kConfigLimit{5000};
constexpr Millis kChangeLimit{3000};

void ReleaseHolds(ComposedFleet& fleet) {
  for (size_t i = 0; i < ComposedFleet::kRunners; ++i) fleet.backend(i).hold_calls = false;
  fleet.SetStoreSlow(false);
}

void RunFault(ComposedFleet& fleet, const Fault& fault, const CellTarget& target) {
  Millis at{0};
  for (const FaultAction& action : fault.actions) {
    fleet.Run(action.at - at);
    at = action.at;
    action.run(fleet, target);
  }
}

template <class SubmitFunction>
bool Completes(ComposedFleet& fleet, SubmitFunction submit) {
  const SteadyTime until = fleet.clock.SteadyNow() + kRecoveryLimit;
  while (fleet.clock.SteadyNow() < until) {
    const auto call = submit();
    const auto left = std::chrono::ceil<Millis>(until - fleet.clock.SteadyNow());
    fleet.RunUntil([&] { return call->sink->ends > 0; }, left);
    if (call->sink->ends > 0 && call->sink->end.kind == OutcomeKind::kCompleted) return true;
    fleet.Run(kRetryPause);
  }
  return false;
}

void CheckChanges(ComposedFleet& fleet) {
  std::shared_ptr<SubmittedChange> last;
  const SteadyTime until = fleet.clock.SteadyNow() + kChangeLimit;
  do {
    last = fleet.Change();
    fleet.RunUntil([&] { return last->answered; }, kChangeLimit);
  } while (!last->accepted && fleet.clock.SteadyNow() < until);
  if (!last->accepted) {
    return fleet.AddViolation("a configuration change is refused after the fault");
  }
  if (!fleet.RunUntil([&] { return fleet.ConfigEverywhere(); }, kConfigLimit)) {
    fleet.AddViolation("the configuration is not the same everywhere after 5 s");
  }
  for (const auto& change : fleet.changes) {
    for (size_t i = 0; i < ComposedFleet::kRouters; ++i) {
      if (!change->accepted || fleet.InForce(*change, i)) continue;
      fleet.AddViolation("the accepted change " + change->exception + " is not in force");
    }
  }
}

void AwaitEnd(ComposedFleet& fleet, const std::shared_ptr<SubmittedCall>& call) {
  fleet.RunUntil([&] { return call->sink->ends > 0; }, kRecoveryLimit);
}

/// At most one of the changes made against the same revision may be accepted, and every change must
/// get an answer.
void CheckRaces(ComposedFleet& fleet) {
  std::map<ConfigRevision, int> winners;
  for (const auto& change : fleet.changes) {
    if (!change->answered) fleet.AddViolation("the change " + change->exception + " has no answer");
    if (change->base != ConfigRevision(0) && change->accepted) ++winners[change->base];
  }
  for (const auto& [base, count] : winners) {
    if (count > 1) fleet.AddViolation("two changes against one revision were accepted");
  }
}

bool HasRecordedAnswer(const ComposedFleet& fleet, const IdempotencyKey& key) {
  const auto record = ParseOrderRecord(fleet.store.Value(OrderKey(key).value()));
  return IsOk(record) && ValueOf(record).state == OrderState::kDone &&
         ValueOf(record).answer.outcome.kind == OutcomeKind::kCompleted;
}

/// Repeats each order that ran. It must get the recorded answer. If its agent was killed before the
/// answer was recorded, it must not run again, which CheckCalls() checks.
void RepeatOrders(ComposedFleet& fleet) {
  std::set<IdempotencyKey> keys;
  for (const auto& call : fleet.calls) {
    if (!call->key.empty() && fleet.Executions(call->key) > 0) keys.insert(call->key);
  }
  // While the store does not answer, agents retry a record every 10 s.
  fleet.RunUntil([&] { return fleet.RecordsWritten(); }, kRecoveryLimit);
  if (!fleet.RecordsWritten()) fleet.AddViolation("the answer of an order is not recorded");
  for (const IdempotencyKey& key : keys) {
    const bool recorded = HasRecordedAnswer(fleet, key);
    const auto repeat = [&, &id = key] {
      return fleet.SubmitOrder(fleet.LiveRouter(), id.value());
    };
    const bool answered = recorded && Completes(fleet, repeat);
    if (!recorded) AwaitEnd(fleet, repeat());
    if (recorded && !answered) fleet.AddViolation("the recorded answer of an order is lost");
  }
}

bool AllEnded(const ComposedFleet& fleet) {
  return std::all_of(fleet.calls.begin(), fleet.calls.end(),
                     [](const auto& call) { return call->disconnected || call->sink->ends > 0; });
}

void CheckAllCompleted(ComposedFleet& fleet) {
  for (const auto& call : fleet.calls) {
    if (call->disconnected ||
        (call->sink->ends > 0 && call->sink->end.kind == OutcomeKind::kCompleted)) {
      continue;
    }
    fleet.AddViolation("call " + call->id.value() + " did not complete without a fault");
  }
}

}  // namespace

void CheckRecovery(ComposedFleet& fleet) {
  const auto model = [&] { return fleet.SubmitModel(fleet.LiveRouter(), "m1"); };
  if (!Completes(fleet, model)) fleet.AddViolation("no model call succeeds after the fault");
  int tries = 0;
  const auto order = [&] {
    return fleet.SubmitOrder(fleet.LiveRouter(), "fresh-" + std::to_string(++tries));
  };
  if (!Completes(fleet, order)) fleet.AddViolation("no order succeeds after the fault");
  if (!fleet.RunUntil([&] { return AllEnded(fleet); }, kRecoveryLimit)) {
    fleet.AddViolation("a call has no outcome");
  }
  RepeatOrders(fleet);
  CheckChanges(fleet);
  CheckRaces(fleet);
  fleet.CheckCalls();
}

void SuppressWarnings() {
  static const bool initialized = [] {
    InitLogging(LogLevel::kError, LogFormat::kText, "fault-matrix");
    return true;
  }();
  (void)initialized;
}

const Fault& NoFault() {
  // Lasts longer than the 5 s after which a router asks for a missing outcome.
  static const Fault none{"none", {{Millis(6000), [](ComposedFleet&, const CellTarget&) {}}}};
  return none;
}

std::vector<std::string> RunCell(const Fault& fault, const ProtocolStep& step) {
  SuppressWarnings();
  ComposedFleet fleet;
  CellTarget target;
  if (!step.reach(fleet, &target)) return {"the step was not reached"};
  ReleaseHolds(fleet);
  RunFault(fleet, fault, target);
  fleet.network.should_drop = nullptr;
  if (target.leaving) fleet.SetLeaving(target.runner, false);
  if (&fault == &NoFault()) CheckAllCompleted(fleet);
  CheckRecovery(fleet);
  return fleet.violations();
}

}  // namespace shallot::composed
