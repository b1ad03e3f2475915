#ifndef SERVERS_PLACEMENT_CODEC_H_
#define SERVERS_PLACEMENT_CODEC_H_

#include <string>
#include <vector>

#include "core/ids.h"
#include "core/result.h"
#include "servers/slot.h"

namespace shallot {

/// Key of the slots of a shard in the platform store.
StoreKey PlacementKey(ShardId shard);

/// JSON text of the slots of a shard. Slots are grouped by runner, because 1 MB must hold the
/// slots of the largest shard.
std::string FormatSlots(const std::vector<Slot>& slots);
/// Slots in order of entry, then runner. Empty text means no slots. kInvalidArgument when the text
/// is malformed.
Result<std::vector<Slot>> ParseSlots(const std::string& text);
/// Sorts slots by entry, then runner, as ParseSlots does.
void SortSlots(std::vector<Slot>* slots);

}  // namespace shallot

#endif  // SERVERS_PLACEMENT_CODEC_H_
