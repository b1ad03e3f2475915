#include "servers/granted_slots.h"

#include <algorithm>
#include <utility>

#include "core/test_defects.h"

namespace shallot {

GrantedSlots::GrantedSlots(RunnerId runner, Incarnation incarnation)
    : runner_(std::move(runner)), incarnation_(incarnation) {}

GrantResult GrantedSlots::Apply(const SlotGrant& grant) {
  const bool checked = !HasDefect(TestDefect::kSkipIncarnation);
  if (checked && grant.incarnation != incarnation_) return GrantResult::kOtherIncarnation;
  const auto found = shards_.find(grant.shard);
  if (found != shards_.end() && grant.version < found->second.version) {
    return GrantResult::kOutdated;
  }
  Shard shard;
  shard.version = grant.version;
  for (const Slot& slot : grant.slots) {
    if (slot.runner == runner_) shard.slots[slot.entry] = slot;
  }
  shards_[grant.shard] = std::move(shard);
  return GrantResult::kAccepted;
}

bool GrantedSlots::IsReleased(const Slot& slot) const {
  const auto found = released_.find(slot.entry);
  return found != released_.end() && slot.generation <= found->second;
}

const Slot* GrantedSlots::Find(const EntryId& entry) const {
  for (const auto& [id, shard] : shards_) {
    const auto found = shard.slots.find(entry);
    if (found != shard.slots.end()) return &found->second;
  }
  return nullptr;
}

bool GrantedSlots::IsActive(const EntryId& entry) const {
  const Slot* slot = Find(entry);
  return slot != nullptr && slot->state == SlotState::kActive && !IsReleased(*slot);
}

bool GrantedSlots::HoldsSlot(const EntryId& entry) const {
  const Slot* slot = Find(entry);
  return slot != nullptr && !IsReleased(*slot);
}

void GrantedSlots::MarkReleased(const EntryId& entry, Generation generation) {
  Generation& highest = released_[entry];
  highest = std::max(highest, generation);
}

std::vector<SlotReleased> GrantedSlots::UnconfirmedSlots() const {
  std::vector<SlotReleased> result;
  for (const auto& [id, shard] : shards_) {
    for (const auto& [entry, slot] : shard.slots) {
      if (slot.state != SlotState::kReleasing || IsReleased(slot)) continue;
      result.push_back({id, entry, runner_, slot.generation});
    }
  }
  return result;
}

std::vector<SlotReleased> GrantedSlots::HeldSlots() const {
  std::vector<SlotReleased> result;
  for (const auto& [id, shard] : shards_) {
    for (const auto& [entry, slot] : shard.slots) {
      if (!IsReleased(slot)) result.push_back({id, entry, runner_, slot.generation});
    }
  }
  return result;
}

bool GrantedSlots::Empty() const {
  return std::all_of(shards_.begin(), shards_.end(),
                     [](const auto& shard) { return shard.second.slots.empty(); });
}

std::vector<SlotReleased> GrantedSlots::ConfirmedSlots(ShardId shard) const {
  std::vector<SlotReleased> result;
  const auto found = shards_.find(shard);
  if (found == shards_.end()) return result;
  for (const auto& [entry, slot] : found->second.slots) {
    if (IsReleased(slot)) result.push_back({shard, entry, runner_, slot.generation});
  }
  return result;
}

}  // namespace shallot
