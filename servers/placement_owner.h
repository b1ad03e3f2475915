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

/// What the owner of a shard decides from; made anew for each plan.
class PlacementView {
 public:
  virtual ~PlacementView() = default;
  /// Fills the plan's input for the shard, except for the slots and the lowest generation. False
  /// when too little is known to decide.
  virtual bool FillInput(const std::vector<Slot>& slots, PlannerInput* input) = 0;
  /// Rises when the plan of the shard may change at once, for reasons other than its slots.
  virtual uint64_t InputVersion() const = 0;
};

/// Decides the placement of one shard while it holds the lease `leases/placement/SHARD`. The lease
/// only avoids contention; each write is a compare-and-swap on the version that was planned from.
class PlacementOwner {
 public:
  /// Changes are collected for this time and written together.
  static constexpr Millis kPlanInterval{500};
  /// Without a change a plan is made this often, for what changes slowly: loaded entries, caches.
  static constexpr Millis kIdlePlanInterval{5000};

  PlacementOwner(ShardId shard, const InstanceId& self, const Clock* clock, PlatformStore* store,
                 PlacementReplica* replica, PlacementView* view, InvariantMonitor* invariants,
                 uint64_t seed);

  /// `rank` as in LeaseKeeper::OnTick.
  void OnTick(uint64_t rank);
  /// A runner confirmed that it gave up a slot. Kept until it is written or outdated.
  void OnReleased(const SlotReleased& released);
  bool HoldsLease() const { return lease_.Held(); }
  /// Gives up the lease for good.
  void Stop() { lease_.Stop(); }
  /// Writes that another writer won.
  uint64_t lost_writes() const { return lost_writes_; }

 private:
  void Plan();
  std::vector<Slot> ApplyReleases(Generation lowest_new) const;
  bool GrowthWithinMaximum(const FleetConfig& config, const std::vector<Slot>& next) const;
  void Write(const std::vector<Slot>& slots);
  void OnWritten(const std::vector<Slot>& slots, const Result<StoreVersion>& version);
  void DropOutdatedReleases();

  ShardId shard_;
  const Clock* clock_;
  PlatformStore* store_;
  PlacementReplica* replica_;
  PlacementView* view_;
  InvariantMonitor* invariants_;
  LeaseKeeper lease_;
  Backoff backoff_;
  bool held_before_ = false;
  /// Read that must complete before the next plan.
  uint64_t awaited_read_ = 0;
  bool write_in_flight_ = false;
  SteadyTime next_plan_ = SteadyTime::min();
  SteadyTime next_idle_plan_ = SteadyTime::min();
  /// The last plan was not written.
  bool replan_ = false;
  uint64_t planned_input_ = 0;
  StoreVersion planned_version_;
  std::vector<SlotReleased> released_;
  uint64_t lost_writes_ = 0;
};

}  // namespace shallot

#endif  // SERVERS_PLACEMENT_OWNER_H_
