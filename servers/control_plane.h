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

/// Receives the control plane's updates and outgoing messages. Called on the core's thread.
class ControlListener {
 public:
  virtual ~ControlListener() = default;
  virtual void OnConfig(const std::shared_ptr<const FleetConfig>& config) = 0;
  /// A newer placement of one shard.
  virtual void OnPlacement(const ShardPlacement& placement) = 0;
  virtual void OnInstances(const std::vector<InstanceRecord>& instances) = 0;
  /// Sends a message to the agent of a runner, connecting if necessary. The message is dropped if
  /// the agent is unreachable; the control plane repeats the messages that must arrive.
  virtual void SendToRunner(const RunnerId& runner, const Message& message) = 0;
  virtual void SendToRouter(const InstanceId& router, const Message& message) = 0;
};

/// Control plane of a router: configuration, placement of the shards whose leases it holds, slot
/// grants, and the budgets of the weight store. All methods are called on the core's thread.
class ControlPlane {
 public:
  virtual ~ControlPlane() = default;
  /// Must be called once, before any other method.
  virtual void SetListener(ControlListener* listener) = 0;
  /// Must be called at least every 50 ms.
  virtual void OnTick() = 0;
  /// A call for the entry arrived; `cold` if no runner is known to have it loaded.
  virtual void OnDemand(const EntryId& entry, bool cold) = 0;
  /// A connection to an agent was established. Grants follow from a placement read that starts
  /// after this call.
  virtual void OnRunnerUp(const RunnerId& runner, Incarnation incarnation) = 0;
  virtual void OnRunnerDown(const RunnerId& runner) = 0;
  virtual void OnRunnerReport(const RunnerId& runner, const Heartbeat& heartbeat) = 0;
  /// Handles ConfigPull, ConfigPush, SlotReleased and LoadPermit* messages from an agent.
  virtual void OnRunnerMessage(const RunnerId& runner, const Message& message) = 0;
  virtual void OnRouterHeartbeat(const InstanceId& router, const Heartbeat& heartbeat) = 0;
  /// Handles the same messages from another router, which may forward them for its agents.
  virtual void OnRouterMessage(const InstanceId& router, const Message& message) = 0;
  /// Revision of the current configuration; 0 if there is none yet.
  virtual ConfigRevision config_revision() const = 0;
  /// Releases all leases, so that other routers can take over at once.
  virtual void BeginDrain() = 0;
  /// Returns a JSON object for /status: leases held, placement versions, permits, last store error.
  virtual std::string StatusJson() const = 0;
};

}  // namespace shallot

#endif  // SERVERS_CONTROL_PLANE_H_
