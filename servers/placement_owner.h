#ifndef SERVERS_PLACEMENT_OWNER_H_
#define SERVERS_PLACEMENT_OWNER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/invariant.h"
#include "servers/backoff.h"
#include "servers/lease_keeper.h"
#include "servers/messages.h"
#include "servers/placement_planner.h"
#include "servers/placement_replica.h"
#include "servers/platform_store.h"

namespace shallot {

/// Provides the input that the owner of a shard plans from.
class PlannerInputSource {
 public:
  virtual ~PlannerInputSource() = default;
  /// Fills the input for the shard's plan, except for the slots and the lowest generation. Returns
  /// false if too little is known to plan.
  virtual bool FillInput(const std::vector<Slot>& slots, PlannerInput* input) = 0;
  /// Increases when the shard has to be replanned for a reason other than a change of its slots.
  virtual uint64_t InputVersion() const = 0;
};

/// Plans the placement of one shard while it holds the lease `leases/placement/SHARD`. The lease
/// only avoids contention: each write is a compare-and-swap against the version that the plan was
/// based on.
class PlacementOwner {
 public:
  /// Minimum time between plans; changes within it are written together.
  static constexpr Millis kPlanInterval{500};
  /// Interval of plans without a detected change, to pick up slowly changing state such as loaded
  /// entries and caches.
  static constexpr Millis kIdlePlanInterval{5000};

  PlacementOwner(ShardId shard, const InstanceId& self, const Clock* clock, PlatformStore* store,
                 PlacementReplica* replica, PlannerInputSource* input_source,
                 InvariantMonitor* invariants, uint64_t seed);

  /// `rank` as in LeaseKeeper::OnTick.
  void OnTick(uint64_t rank);
  /// Records a runner's confirmation that it released a slot. Kept until it is written or outdated.
  void OnReleased(const SlotReleased& released);
  bool HoldsLease() const { return lease_.Held(); }
  /// Releases the lease and does not acquire it again.
  void Stop() { lease_.Stop(); }
  /// Number of writes that lost the compare-and-swap to another writer.
  uint64_t lost_writes() const { return lost_writes_; }

 private:
  void Plan();
  std::vector<Slot> ApplyReleases(Generation min_generation) const;
  bool AddsWithinMaximum(const FleetConfig& config, const std::vector<Slot>& next) const;
  void Write(const std::vector<Slot>& slots);
  void OnWritten(const std::vector<Slot>& slots, const Result<StoreVersion>& version);
  void DropOutdatedReleases();

  ShardId shard_;
  const Clock* clock_;
  PlatformStore* store_;
  PlacementReplica* replica_;
  PlannerInputSource* input_source_;
  InvariantMonitor* invariants_;
  LeaseKeeper lease_;
  Backoff backoff_;
  bool was_held_ = false;
  /// Ticket of the read that must complete before the next plan.
  uint64_t required_read_ = 0;
  bool write_in_flight_ = false;
  SteadyTime next_plan_ = SteadyTime::min();
  SteadyTime next_idle_plan_ = SteadyTime::min();
  /// True if the last plan could not be written.
  bool replan_ = false;
  uint64_t planned_input_ = 0;
  StoreVersion planned_version_;
  std::vector<SlotReleased> released_;
  uint64_t lost_writes_ = 0;
};

}  // namespace shallot

#endif  // SERVERS_PLACEMENT_OWNER_H_
