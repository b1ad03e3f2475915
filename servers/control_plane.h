#ifndef SERVERS_CONTROL_PLANE_H_
#define SERVERS_CONTROL_PLANE_H_

#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/fleet_config.h"
#include "servers/instance_list.h"
#include "servers/messages.h"
#include "servers/slot.h"

namespace shallot {

/// What the control plane of a router tells the router core, on the same thread.
class ControlListener {
 public:
  virtual ~ControlListener() = default;
  virtual void OnConfig(const std::shared_ptr<const FleetConfig>& config) = 0;
  /// A newer placement of one shard.
  virtual void OnPlacement(const ShardPlacement& placement) = 0;
  virtual void OnInstances(const std::vector<InstanceRecord>& instances) = 0;
  /// Sends to the agent of a runner, connecting when needed. Dropped when there is no way; the
  /// control plane repeats what matters.
  virtual void SendToRunner(const RunnerId& runner, const Message& message) = 0;
  virtual void SendToRouter(const InstanceId& router, const Message& message) = 0;
};

/// Control duties of a router: configuration, placement of the shards whose leases it holds, slot
/// grants, and the budgets of the weight store. All methods are called on the core's thread.
class ControlPlane {
 public:
  virtual ~ControlPlane() = default;
  /// Set once, before anything else.
  virtual void SetListener(ControlListener* listener) = 0;
  /// Call at least every 50 ms.
  virtual void OnTick() = 0;
  /// A call for the entry arrived; `cold` when no loaded runner is known.
  virtual void OnDemand(const EntryId& entry, bool cold) = 0;
  /// A connection to an agent is up. Grants follow from a placement read that begins after this.
  virtual void OnRunnerUp(const RunnerId& runner, Incarnation incarnation) = 0;
  virtual void OnRunnerDown(const RunnerId& runner) = 0;
  virtual void OnRunnerReport(const RunnerId& runner, const Heartbeat& heartbeat) = 0;
  /// ConfigPull, ConfigPush, SlotReleased and LoadPermit* from an agent.
  virtual void OnRunnerMessage(const RunnerId& runner, const Message& message) = 0;
  virtual void OnRouterHeartbeat(const InstanceId& router, const Heartbeat& heartbeat) = 0;
  /// The same from another router, which may forward messages of its agents.
  virtual void OnRouterMessage(const InstanceId& router, const Message& message) = 0;
  /// Revision in force here; 0 when there is none yet.
  virtual ConfigRevision config_revision() const = 0;
  /// Gives up its leases, so that another router takes over at once.
  virtual void BeginDrain() = 0;
  /// JSON object for /status: leases held, placement versions, permits, last store error.
  virtual std::string StatusJson() const = 0;
};

}  // namespace shallot

#endif  // SERVERS_CONTROL_PLANE_H_
