#ifndef SERVERS_SLOT_H_
#define SERVERS_SLOT_H_

#include <vector>

#include "core/ids.h"

namespace shallot {

enum class SlotState {
  kActive,
  kReleasing,  ///< No new calls; the runner must unload the entry and confirm.
};

/// Permission for one runner to load one catalogue entry.
struct Slot {
  EntryId entry;
  RunnerId runner;
  Generation generation;
  SlotState state = SlotState::kActive;

  bool operator==(const Slot&) const = default;
};

/// All slots of one shard, as stored at `placement/SHARD`.
struct ShardPlacement {
  ShardId shard;
  /// Version of the stored value; 0 before the first write.
  StoreVersion version;
  std::vector<Slot> slots;

  bool operator==(const ShardPlacement&) const = default;
};

}  // namespace shallot

#endif  // SERVERS_SLOT_H_
