#include "servers/agent_core.h"

#include <utility>

#include "servers/agent_state.h"

namespace shallot {
namespace {

/// Dispatches each type of message to the component that handles it.
struct Dispatcher {
  AgentCore::State* state;
  ConnectionId connection;

  void operator()(const Hello& hello) const {
    state->peers.OnHello(connection, hello);
    const std::optional<CrashNotice> notice = state->MakeCrashNotice();
    if (notice) state->peers.Send(connection, *notice);
  }
  void operator()(const Heartbeat& beat) const { state->peers.OnHeartbeat(connection, beat); }
  void operator()(const CallStart& start) const { state->OnCallStart(connection, start.call); }
  void operator()(const CallCancel& cancel) const { state->OnCallCancel(connection, cancel); }
  void operator()(const CallResume& resume) const { state->OnCallResume(connection, resume); }
  void operator()(const CallAck& ack) const { state->OnCallAck(ack); }
  void operator()(const SlotGrant& grant) const { state->OnGrant(grant); }
  void operator()(const ConfigPull& pull) const { state->peers.OnConfigPull(connection, pull); }
  void operator()(const ConfigPush& push) const { state->peers.OnConfigPush(connection, push); }
  void operator()(const LoadPermit& permit) const { state->loads.OnPermit(permit); }
  void operator()(const DrainOrder& order) const { state->BeginDrain(order.reason, order.grace); }
  // Sent by agents only; ignored.
  void operator()(const CallFrame&) const {}
  void operator()(const CallOutcome&) const {}
  void operator()(const SlotReleased&) const {}
  void operator()(const LoadPermitRequest&) const {}
  void operator()(const LoadPermitReturn&) const {}
  void operator()(const CrashNotice&) const {}
};

}  // namespace

AgentCore::AgentCore(AgentOptions options, AgentEnvironment environment)
    : state_(std::make_unique<State>(std::move(options), environment)) {}

AgentCore::~AgentCore() = default;

void AgentCore::SetKeepAlivePolicy(KeepAlivePolicy* policy) { state_->keep_alive = policy; }

void AgentCore::Start() { state_->loads.FetchInventory(); }

void AgentCore::OnMessage(ConnectionId connection, const Message& message) {
  state_->peers.OnMessageReceived(connection);
  std::visit(Dispatcher{state_.get(), connection}, message);
}

void AgentCore::OnDisconnect(ConnectionId connection) { state_->peers.OnDisconnect(connection); }

void AgentCore::OnTick() { state_->Tick(); }

void AgentCore::BeginDrain(const std::string& reason, Millis grace) {
  state_->BeginDrain(reason, grace);
}

bool AgentCore::Drained() const { return state_->Drained(); }

bool AgentCore::Ready() const { return state_->Ready(); }

std::shared_ptr<const FleetConfig> AgentCore::config() const { return state_->config.current(); }

std::string AgentCore::StatusJson() const { return state_->StatusJson(); }

}  // namespace shallot
