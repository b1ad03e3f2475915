#include "servers/router_core.h"

#include <utility>
#include <variant>

#include "servers/call_dispatcher.h"
#include "servers/crash_notices.h"
#include "servers/router_status.h"
#include "servers/runner_directory.h"

namespace shallot {

struct RouterCore::State final : public RunnerDirectoryListener {
  State(RouterOptions router_options, RouterEnvironment router_environment)
      : options(std::move(router_options)),
        environment(router_environment),
        directory({.id = options.id,
                   .incarnation = options.incarnation,
                   .failure_domain = options.failure_domain,
                   .region = options.region,
                   .seed = options.seed},
                  environment.clock, environment.link, this),
        crashes(options.id, environment.metrics),
        calls({.id = options.id,
               .incarnation = options.incarnation,
               .max_calls = options.max_calls,
               .seed = options.seed},
              environment, &directory, &crashes.quarantine()) {}

  void OnRunnerConnected(const RunnerId& runner, Incarnation incarnation) override {
    environment.control->OnRunnerUp(runner, incarnation);
    calls.OnRunnerConnected(runner, incarnation);
  }
  void OnRunnerDisconnected(const RunnerId& runner) override {
    environment.control->OnRunnerDown(runner);
    calls.OnRunnerDisconnected(runner);
  }
  void OnRunnerRemoved(const RunnerId& runner) override { calls.OnRunnerRemoved(runner); }
  void OnRunnerHeartbeat(const RunnerId& runner, const Heartbeat& heartbeat) override {
    environment.control->OnRunnerReport(runner, heartbeat);
  }
  void OnRunnerMessage(const RunnerId& runner, const Message& message) override {
    if (const auto* frame = std::get_if<CallFrame>(&message)) {
      calls.OnFrame(runner, *frame);
      return;
    }
    if (const auto* outcome = std::get_if<CallOutcome>(&message)) {
      calls.OnOutcome(runner, *outcome);
      return;
    }
    if (const auto* notice = std::get_if<CrashNotice>(&message)) {
      OnCrashNotice(*notice);
      return;
    }
    environment.control->OnRunnerMessage(runner, message);
  }
  void OnPeerHeartbeat(const InstanceId& router, const Heartbeat& heartbeat) override {
    environment.control->OnRouterHeartbeat(router, heartbeat);
  }
  void OnPeerMessage(const InstanceId& router, const Message& message) override {
    if (const auto* notice = std::get_if<CrashNotice>(&message)) {
      OnCrashNotice(*notice);
      return;
    }
    environment.control->OnRouterMessage(router, message);
  }
  void OnPeerConnected(const InstanceId& router) override {
    for (const CrashNotice& notice : crashes.ForNewRouter(environment.clock->SteadyNow())) {
      directory.SendToRouter(router, notice);
    }
  }
  void OnCrashNotice(const CrashNotice& notice) {
    if (crashes.OnNotice(notice, environment.clock->SteadyNow())) {
      directory.SendToConnectedRouters(notice);
    }
  }
  void PublishOwnState() {
    directory.SetOwnState(environment.control->config_revision(), draining, calls.in_progress(),
                          calls.waiting());
  }

  RouterOptions options;
  RouterEnvironment environment;
  RunnerDirectory directory;
  CrashNotices crashes;
  CallDispatcher calls;
  bool draining = false;
};

RouterCore::RouterCore(RouterOptions options, RouterEnvironment environment)
    : state_(std::make_unique<State>(std::move(options), environment)) {
  environment.control->SetListener(this);
}

RouterCore::~RouterCore() = default;

CallId RouterCore::Submit(const CallerRequest& request, std::shared_ptr<CallerSink> sink) {
  return state_->calls.Submit(request, std::move(sink));
}

void RouterCore::CancelByCaller(const CallId& call) { state_->calls.CancelByCaller(call); }

void RouterCore::OnMessage(ConnectionId connection, const Message& message) {
  state_->directory.OnMessage(connection, message);
}

void RouterCore::OnDisconnect(ConnectionId connection) {
  state_->directory.OnDisconnect(connection);
}

void RouterCore::OnTick() {
  state_->PublishOwnState();
  state_->directory.OnTick();
  state_->crashes.OnTick(state_->environment.clock->SteadyNow());
  state_->calls.OnTick();
}

void RouterCore::BeginDrain() {
  if (state_->draining) return;
  state_->draining = true;
  state_->calls.BeginDrain();
  state_->environment.control->BeginDrain();
  state_->PublishOwnState();
}

bool RouterCore::Drained() const { return state_->draining && state_->calls.in_progress() == 0; }

bool RouterCore::Ready() const {
  return !state_->draining && state_->calls.config() != nullptr &&
         state_->directory.instances_received();
}

std::shared_ptr<const FleetConfig> RouterCore::config() const { return state_->calls.config(); }

std::string RouterCore::StatusJson() const {
  return RouterStatusJson(state_->options, state_->directory, state_->calls,
                          *state_->environment.clock, state_->environment.control->StatusJson());
}

void RouterCore::OnConfig(const std::shared_ptr<const FleetConfig>& config) {
  state_->calls.SetConfig(config);
}

void RouterCore::OnPlacement(const ShardPlacement& placement) {
  state_->calls.SetPlacement(placement);
}

void RouterCore::OnInstances(const std::vector<InstanceRecord>& instances) {
  state_->directory.SetInstances(instances);
}

void RouterCore::SendToRunner(const RunnerId& runner, const Message& message) {
  state_->directory.SendToRunner(runner, message);
}

void RouterCore::SendToRouter(const InstanceId& router, const Message& message) {
  state_->directory.SendToRouter(router, message);
}

}  // namespace shallot
