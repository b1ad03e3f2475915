#include "servers/placement_owner.h"

#include <algorithm>
#include <map>

#include "core/log.h"
#include "core/test_defects.h"
#include "servers/placement_codec.h"

namespace shallot {
namespace {

StoreKey LeaseKey(ShardId shard) {
  return StoreKey("leases/placement/" + std::to_string(shard.value()));
}

bool Matches(const SlotReleased& released, const Slot& slot) {
  return released.entry == slot.entry && released.runner == slot.runner &&
         released.generation == slot.generation;
}

std::map<EntryId, uint64_t> CountByEntry(const std::vector<Slot>& slots) {
  std::map<EntryId, uint64_t> counts;
  for (const Slot& slot : slots) ++counts[slot.entry];
  return counts;
}

}  // namespace

PlacementOwner::PlacementOwner(ShardId shard, const InstanceId& self, const Clock* clock,
                               PlatformStore* store, PlacementReplica* replica,
                               PlannerInputSource* input_source, InvariantMonitor* invariants,
                               uint64_t seed)
    : shard_(shard),
      clock_(clock),
      store_(store),
      replica_(replica),
      input_source_(input_source),
      invariants_(invariants),
      lease_(clock, store, LeaseKey(shard), self, seed),
      backoff_(Millis(200), Millis(5000), seed + 1) {}

void PlacementOwner::OnTick(uint64_t rank) {
  lease_.OnTick(rank);
  const bool held = lease_.Held();
  if (held && !was_held_) required_read_ = replica_->RequestRead();
  was_held_ = held;
  const SteadyTime now = clock_->SteadyNow();
  if (now < next_plan_) return;
  next_plan_ = now + kPlanInterval;
  DropOutdatedReleases();
  if (!held || write_in_flight_ || !backoff_.Ready(now)) return;
  if (!replica_->ReadDone(required_read_)) return;
  const uint64_t input = input_source_->InputVersion();
  const bool changed = replan_ || input != planned_input_ || !released_.empty() ||
                       replica_->current().version != planned_version_;
  if (!changed && now < next_idle_plan_) return;
  replan_ = false;
  planned_input_ = input;
  planned_version_ = replica_->current().version;
  Plan();
  next_idle_plan_ = now + kIdlePlanInterval;
}

void PlacementOwner::OnReleased(const SlotReleased& released) {
  if (released.shard != shard_) return;
  if (std::find(released_.begin(), released_.end(), released) == released_.end()) {
    released_.push_back(released);
  }
}

/// Drops confirmations that match no slot of the newest placement: they were written already or
/// refer to an old generation. A confirmation newer than the local placement is sent again.
void PlacementOwner::DropOutdatedReleases() {
  const std::vector<Slot>& slots = replica_->current().slots;
  std::erase_if(released_, [&](const SlotReleased& released) {
    return std::none_of(slots.begin(), slots.end(),
                        [&](const Slot& slot) { return Matches(released, slot); });
  });
}

/// Removes releasing slots whose release was confirmed. An active slot that its agent released on
/// its own becomes releasing first, with a new generation: the agent may have restarted since and
/// been granted the slot again from a read that still showed it as active.
std::vector<Slot> PlacementOwner::ApplyReleases(Generation min_generation) const {
  std::vector<Slot> slots = replica_->current().slots;
  const auto is_released = [&](const Slot& slot) {
    return std::any_of(released_.begin(), released_.end(),
                       [&](const SlotReleased& released) { return Matches(released, slot); });
  };
  std::erase_if(slots, [&](const Slot& slot) {
    if (slot.state != SlotState::kReleasing) return false;
    return is_released(slot) || HasDefect(TestDefect::kMoveBeforeRelease);
  });
  for (Slot& slot : slots) {
    if (slot.state != SlotState::kActive || !is_released(slot)) continue;
    slot.state = SlotState::kReleasing;
    slot.generation = min_generation;
  }
  return slots;
}

void PlacementOwner::Plan() {
  PlannerInput input;
  input.shard = shard_;
  const ShardPlacement& current = replica_->current();
  uint64_t highest = current.version.value();
  for (const Slot& slot : current.slots) highest = std::max(highest, slot.generation.value());
  input.min_new_generation = Generation(highest + 1);
  input.slots = ApplyReleases(input.min_new_generation);
  if (!input_source_->FillInput(current.slots, &input)) return;
  const std::vector<Slot> next = PlanPlacement(input);
  if (next == current.slots) return;
  const bool within_maximum = AddsWithinMaximum(*input.config, next);
  if (!invariants_->Check(Invariant::kReplicasWithinDecision, within_maximum,
                          "a plan adds slots beyond max_replicas")) {
    return;
  }
  Write(next);
}

/// Returns false if the plan adds slots beyond max_replicas. After the maximum was lowered, surplus
/// slots may remain until they are released.
bool PlacementOwner::AddsWithinMaximum(const FleetConfig& config,
                                       const std::vector<Slot>& next) const {
  const std::map<EntryId, uint64_t> before = CountByEntry(replica_->current().slots);
  for (const auto& [id, count] : CountByEntry(next)) {
    const auto old = before.find(id);
    if (old != before.end() && count <= old->second) continue;
    const CatalogEntry* entry = config.FindEntry(id);
    if (entry == nullptr || count > entry->policy.max_replicas) return false;
  }
  return true;
}

void PlacementOwner::Write(const std::vector<Slot>& slots) {
  if (!lease_.Held()) return;
  write_in_flight_ = true;
  store_->CompareAndSwap(
      PlacementKey(shard_), replica_->current().version, FormatSlots(slots), Millis(0),
      [this, slots](const Result<StoreVersion>& version) { OnWritten(slots, version); });
}

void PlacementOwner::OnWritten(const std::vector<Slot>& slots,
                               const Result<StoreVersion>& version) {
  write_in_flight_ = false;
  if (IsOk(version)) {
    backoff_.RecordSuccess();
    replica_->OnWritten(ValueOf(version), slots);
    return;
  }
  replan_ = true;
  const ErrorKind kind = ErrorOf(version).kind;
  if (kind == ErrorKind::kConflict) {
    ++lost_writes_;
    LogInfo("placement", "shard " + std::to_string(shard_.value()) +
                             ": lost a write to another writer; the placement is read again");
  } else {
    backoff_.RecordFailure(clock_->SteadyNow());
  }
  if (kind != ErrorKind::kUnavailable) required_read_ = replica_->RequestRead();
}

}  // namespace shallot
