#ifndef SERVERS_PLACEMENT_CODEC_H_
#define SERVERS_PLACEMENT_CODEC_H_

#include <string>
#include <vector>

#include "core/ids.h"
#include "core/result.h"
#include "servers/slot.h"

namespace shallot {

/// Returns the key of a shard's slots in the platform store.
StoreKey PlacementKey(ShardId shard);

/// Formats the slots of a shard as JSON. Slots are grouped by runner to save space: the slots of
/// the largest shard must fit into 1 MB.
std::string FormatSlots(const std::vector<Slot>& slots);
/// Parses the slots of a shard and sorts them by entry, then by runner. Empty text means no slots.
/// Returns kInvalidArgument if the text is malformed.
Result<std::vector<Slot>> ParseSlots(const std::string& text);
/// Sorts slots by entry, then by runner, as ParseSlots does.
void SortSlots(std::vector<Slot>* slots);

}  // namespace shallot

#endif  // SERVERS_PLACEMENT_CODEC_H_
