#ifndef SERVERS_SLOT_BOOK_H_
#define SERVERS_SLOT_BOOK_H_

#include <map>
#include <vector>

#include "core/ids.h"
#include "servers/messages.h"
#include "servers/slot.h"

namespace shallot {

enum class GrantResult {
  kAccepted,
  kOtherIncarnation,  ///< Read before this agent started; may give back a slot that was released.
  kOutdated,          ///< An older version than one already seen.
};

/// The slots granted to one agent, and the generations that it has released.
class SlotBook {
 public:
  SlotBook(RunnerId runner, Incarnation incarnation);

  /// Takes a grant over; it replaces all slots of its shard.
  GrantResult Apply(const SlotGrant& grant);
  /// True when a grant of the shard was accepted.
  bool Knows(ShardId shard) const { return shards_.contains(shard); }
  /// True when the entry has an active slot whose generation was not released.
  bool IsActive(const EntryId& entry) const;
  /// True when the entry has any slot that was not released.
  bool Holds(const EntryId& entry) const;

  /// Records that this generation is unloaded for good.
  void MarkReleased(const EntryId& entry, Generation generation);
  /// Slots in state kReleasing that were not yet marked released.
  std::vector<SlotReleased> Unconfirmed() const;
  /// All slots that were not yet marked released.
  std::vector<SlotReleased> Held() const;
  /// True when the newest grants show no slot of this runner, released or not.
  bool Empty() const;
  /// Slots of the shard that the newest grant still shows although they were released.
  std::vector<SlotReleased> Confirmed(ShardId shard) const;

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

#endif  // SERVERS_SLOT_BOOK_H_
