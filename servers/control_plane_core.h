#ifndef SERVERS_CONTROL_PLANE_CORE_H_
#define SERVERS_CONTROL_PLANE_CORE_H_

#include <memory>
#include <string>

#include "core/clock.h"
#include "core/ids.h"
#include "core/invariant.h"
#include "core/metrics.h"
#include "servers/control_plane.h"
#include "servers/instance_list.h"
#include "servers/platform_store.h"

namespace shallot {

/// Identity of the router that the control plane belongs to.
struct ControlPlaneOptions {
  InstanceId id;
  FailureDomain failure_domain;
  Region region;
};

/// Control plane of a router, based on the platform store and the instance list. Not thread-safe;
/// does no I/O of its own. Must outlive its calls to the store and the list.
class ControlPlaneCore final : public ControlPlane {
 public:
  ControlPlaneCore(ControlPlaneOptions options, const Clock* clock, PlatformStore* store,
                   InstanceList* instances, MetricsRegistry* metrics, InvariantMonitor* invariants);
  ~ControlPlaneCore() override;
  ControlPlaneCore(const ControlPlaneCore&) = delete;
  ControlPlaneCore& operator=(const ControlPlaneCore&) = delete;

  void SetListener(ControlListener* listener) override;
  void OnTick() override;
  void OnDemand(const EntryId& entry, bool cold) override;
  void OnRunnerUp(const RunnerId& runner, Incarnation incarnation) override;
  void OnRunnerDown(const RunnerId& runner) override;
  void OnRunnerReport(const RunnerId& runner, const Heartbeat& heartbeat) override;
  void OnRunnerMessage(const RunnerId& runner, const Message& message) override;
  void OnRouterHeartbeat(const InstanceId& router, const Heartbeat& heartbeat) override;
  void OnRouterMessage(const InstanceId& router, const Message& message) override;
  ConfigRevision config_revision() const override;
  void BeginDrain() override;
  std::string StatusJson() const override;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace shallot

#endif  // SERVERS_CONTROL_PLANE_CORE_H_
