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

/// State of a runner as known to the owner of a shard.
struct PlannerRunner {
  /// kMissing: absent from the newest instance list, but not yet considered gone.
  enum class State { kLive, kLeaving, kMissing };

  RunnerId id;
  BackendName backend;
  FailureDomain failure_domain;
  State state = State::kLive;
  /// False while the engine does not respond. The runner keeps its slots but gets no new ones.
  bool serving = true;
  /// 0 when unknown.
  Bytes memory_capacity;
  std::set<EntryId> loaded;
  std::set<EntryId> cached_in_memory;
  std::set<EntryId> cached_on_disk;
};

/// Complete input of the plan for one shard.
struct PlannerInput {
  const FleetConfig* config = nullptr;
  ShardId shard;
  /// Runners that are not gone. Slots of runners that are not listed here are dropped.
  std::vector<PlannerRunner> runners;
  std::vector<Slot> slots;
  /// Number of replicas that the demand requires; an absent entry needs only its minimum.
  std::map<EntryId, uint64_t> wanted;
  /// Bytes used on each runner by slots of other shards.
  std::map<RunnerId, uint64_t> other_shard_bytes;
  /// Lower bound for the generation of new slots. Prevents a slot that was released and removed
  /// from being recreated with its old generation.
  Generation min_new_generation{1};
};

/// Computes the new slots of a shard. Each existing slot is kept, marked as releasing, or dropped
/// when its runner is gone; new slots are active. Slots are added to an entry only up to its
/// max_replicas, counting releasing ones. A pure function: equal input gives equal output.
std::vector<Slot> PlanPlacement(const PlannerInput& input);

}  // namespace shallot

#endif  // SERVERS_PLACEMENT_PLANNER_H_
