#ifndef SERVERS_PLACEMENT_PLANNER_H_
#define SERVERS_PLACEMENT_PLANNER_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "core/ids.h"
#include "servers/fleet_config.h"
#include "servers/slot.h"

namespace shallot {

/// What the owner of a shard knows about a runner.
struct PlannerRunner {
  /// kMissing: not in the newest instance list, but not yet taken for gone.
  enum class State { kLive, kLeaving, kMissing };

  RunnerId id;
  BackendName backend;
  FailureDomain failure_domain;
  State state = State::kLive;
  /// False while its engine does not answer; it keeps its slots and gets no new ones.
  bool serving = true;
  /// 0 when unknown.
  Bytes memory_capacity;
  std::set<EntryId> loaded;
  std::set<EntryId> cached_in_memory;
  std::set<EntryId> cached_on_disk;
};

/// Everything that the plan of a shard depends on.
struct PlannerInput {
  const FleetConfig* config = nullptr;
  ShardId shard;
  /// Runners that are not gone. Slots of other runners are dropped.
  std::vector<PlannerRunner> runners;
  std::vector<Slot> slots;
  /// Replicas that demand calls for; an entry that is absent needs its minimum.
  std::map<EntryId, uint64_t> wanted;
  /// Bytes of the slots that each runner holds in other shards.
  std::map<RunnerId, uint64_t> other_bytes;
  /// Every new slot gets a generation of at least this, so that a slot that was given up and
  /// forgotten cannot come back under its old generation.
  Generation lowest_new_generation{1};
};

/// Decides the slots of a shard. The result keeps each slot, marks it as releasing, or drops it
/// when its runner is gone; new slots are active. The slots of an entry, releasing ones included,
/// never rise above its max_replicas. A pure function: equal input gives equal output.
std::vector<Slot> PlanPlacement(const PlannerInput& input);

}  // namespace shallot

#endif  // SERVERS_PLACEMENT_PLANNER_H_
