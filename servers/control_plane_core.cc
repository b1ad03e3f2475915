#include "servers/control_plane_core.h"

#include <utility>

#include "servers/control_plane_state.h"

namespace shallot {

ControlPlaneCore::ControlPlaneCore(ControlPlaneOptions options, const Clock* clock,
                                   PlatformStore* store, InstanceList* instances,
                                   MetricsRegistry* metrics, InvariantMonitor* invariants)
    : state_(std::make_unique<State>(std::move(options), clock, store, instances, metrics,
                                     invariants)) {}

ControlPlaneCore::~ControlPlaneCore() = default;

void ControlPlaneCore::SetListener(ControlListener* listener) { state_->listener = listener; }

void ControlPlaneCore::OnTick() { state_->OnTick(); }

void ControlPlaneCore::OnDemand(const EntryId& entry, bool /*cold*/) { state_->OnDemand(entry); }

void ControlPlaneCore::OnRunnerUp(const RunnerId& runner, Incarnation incarnation) {
  state_->grants_.OnRunnerUp(runner, incarnation);
  state_->OnPermitReturn({0, runner, incarnation}, false);
}

void ControlPlaneCore::OnRunnerDown(const RunnerId& runner) {
  state_->grants_.OnRunnerDown(runner);
}

void ControlPlaneCore::OnRunnerReport(const RunnerId& runner, const Heartbeat& heartbeat) {
  state_->registry_.OnReport(runner, heartbeat);
  state_->follower_.OnPeerRevision("runner " + runner.value(), heartbeat.config_revision);
}

void ControlPlaneCore::OnRunnerMessage(const RunnerId& runner, const Message& message) {
  state_->OnRunnerMessage(runner, message);
}

void ControlPlaneCore::OnRouterHeartbeat(const InstanceId& router, const Heartbeat& heartbeat) {
  state_->follower_.OnPeerRevision("router " + router.value(), heartbeat.config_revision);
}

void ControlPlaneCore::OnRouterMessage(const InstanceId& router, const Message& message) {
  state_->OnRouterMessage(router, message);
}

ConfigRevision ControlPlaneCore::config_revision() const {
  return state_->follower_.replica().revision();
}

void ControlPlaneCore::BeginDrain() { state_->BeginDrain(); }

std::string ControlPlaneCore::StatusJson() const { return state_->StatusJson(); }

}  // namespace shallot
