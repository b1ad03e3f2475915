#ifndef SERVERS_GRANTED_SLOTS_H_
#define SERVERS_GRANTED_SLOTS_H_

#include <map>
#include <vector>

#include "core/ids.h"
#include "servers/messages.h"
#include "servers/slot.h"

namespace shallot {

enum class GrantResult {
  kAccepted,
  kOtherIncarnation,  ///< Read before this agent started; may contain a slot released since.
  kOutdated,          ///< Older version than the one already applied.
};

/// Slots granted to one agent, and the generations that it has released.
class GrantedSlots {
 public:
  GrantedSlots(RunnerId runner, Incarnation incarnation);

  /// Applies a grant, which replaces all slots of its shard.
  GrantResult Apply(const SlotGrant& grant);
  /// Returns true if a grant for the shard was accepted.
  bool HasGrant(ShardId shard) const { return shards_.contains(shard); }
  /// Returns true if the entry has an active slot whose generation was not released.
  bool IsActive(const EntryId& entry) const;
  /// Returns true if the entry has a slot, in any state, that was not released.
  bool HoldsSlot(const EntryId& entry) const;

  /// Marks this and all lower generations of the entry as released for good.
  void MarkReleased(const EntryId& entry, Generation generation);
  /// Slots in state kReleasing that were not yet marked as released.
  std::vector<SlotReleased> UnconfirmedSlots() const;
  /// All slots that were not yet marked as released.
  std::vector<SlotReleased> HeldSlots() const;
  /// Returns true if the newest grants contain no slot of this runner, released or not.
  bool Empty() const;
  /// Released slots that the newest grant of the shard still contains.
  std::vector<SlotReleased> ConfirmedSlots(ShardId shard) const;

 private:
  struct Shard {
    StoreVersion version;
    std::map<EntryId, Slot> slots;
  };

  bool IsReleased(const Slot& slot) const;
  const Slot* Find(const EntryId& entry) const;

  RunnerId runner_;
  Incarnation incarnation_;
  std::map<ShardId, Shard> shards_;
  std::map<EntryId, Generation> released_;
};

}  // namespace shallot

#endif  // SERVERS_GRANTED_SLOTS_H_
