#ifndef SERVERS_CONTROL_PLANE_STATE_H_
#define SERVERS_CONTROL_PLANE_STATE_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "servers/config_follower.h"
#include "servers/control_plane_core.h"
#include "servers/counted_store.h"
#include "servers/demand_tracker.h"
#include "servers/grant_sender.h"
#include "servers/lease_keeper.h"
#include "servers/load_budget.h"
#include "servers/placement_owner.h"
#include "servers/placement_replica.h"
#include "servers/runner_registry.h"

namespace shallot {

/// The components of a ControlPlaneCore and the message flow between them.
class ControlPlaneCore::State final : public PlannerInputSource {
 public:
  State(ControlPlaneOptions options, const Clock* clock, PlatformStore* store,
        InstanceList* instances, MetricsRegistry* metrics, InvariantMonitor* invariants);

  bool FillInput(const std::vector<Slot>& slots, PlannerInput* input) override;
  uint64_t InputVersion() const override { return input_version_ + registry_.changes(); }

  void OnTick();
  void OnDemand(const EntryId& entry);
  void OnRunnerMessage(const RunnerId& runner, const Message& message);
  void OnRouterMessage(const InstanceId& router, const Message& message);
  void BeginDrain();
  std::string StatusJson() const;

  ControlListener* listener = nullptr;

 private:
  friend class ControlPlaneCore;

  struct Shard {
    std::unique_ptr<PlacementReplica> replica;
    std::unique_ptr<PlacementOwner> owner;
  };
  /// A release confirmation that is kept until the owner of its shard has written it.
  struct PendingRelease {
    SlotReleased released;
    SteadyTime received;
    SteadyTime next_forward;
    uint64_t forwards = 0;
    /// True if another router sent it. That router keeps forwarding it, so this one does not.
    bool received_from_router = false;
  };

  void FetchInstances(SteadyTime now);
  void OnNewConfig();
  void CreateShards(uint64_t count);
  void AnnounceRevision(SteadyTime now);
  void RequestConfigFromPeer(SteadyTime now);
  uint64_t ComputeRank(const std::string& key) const;
  bool IsWatcher() const;
  /// Returns the routers that are not leaving, in order of preference for `key`. Includes this
  /// router unless it is draining.
  std::vector<InstanceId> RankedRouters(const std::string& key) const;
  /// Number of routers that are preferred to this one for `key`.
  uint64_t RankFor(const std::string& key);
  void UpdateDemand(SteadyTime now);
  void TickShards();
  void TickBudget();
  void SendPermit(const BudgetGrant& grant);
  void OnPermitRequest(const LoadPermitRequest& request, const InstanceId& via);
  void OnPermitReturn(const LoadPermitReturn& returned, bool from_router);
  void OnReleased(const SlotReleased& released, bool from_router);
  void TickReleases(SteadyTime now);
  /// Returns the released slot in the newest placement, or null if it is absent.
  const Slot* FindSlot(const SlotReleased& released) const;
  void SendToPeer(const std::string& peer, const Message& message);

  ControlPlaneOptions options_;
  const Clock* clock_;
  CountedStore store_;
  InstanceList* instances_;
  InvariantMonitor* invariants_;
  uint64_t seed_;
  RunnerRegistry registry_;
  DemandTracker demand_;
  std::map<EntryId, uint64_t> wanted_;
  SteadyTime next_demand_ = SteadyTime::min();
  uint64_t input_version_ = 0;
  ConfigFollower follower_;
  GrantSender grants_;
  LeaseKeeper budget_lease_;
  LoadBudget budget_;
  bool held_budget_ = false;
  /// Router that last sent a permit, and when. Requests are sent to it first.
  InstanceId budget_router_;
  SteadyTime last_permit_at_ = SteadyTime::min();
  uint64_t next_budget_candidate_ = 0;
  std::map<ShardId, Shard> shards_;
  std::vector<PendingRelease> pending_releases_;
  /// Cached results of RankFor for the newest instance list; they are needed on every tick.
  std::map<std::string, uint64_t> ranks_;
  bool watcher_ = true;
  Backoff list_backoff_;
  bool list_in_flight_ = false;
  SteadyTime next_list_ = SteadyTime::min();
  std::string list_error_;
  SteadyTime announce_until_ = SteadyTime::min();
  SteadyTime next_announce_ = SteadyTime::min();
  SteadyTime next_config_request_ = SteadyTime::min();
  uint64_t next_peer_ = 0;
  bool draining_ = false;
};

}  // namespace shallot

#endif  // SERVERS_CONTROL_PLANE_STATE_H_
