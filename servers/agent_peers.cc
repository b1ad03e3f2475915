#include "servers/agent_peers.h"

#include <utility>

#include "core/log.h"

namespace shallot {
namespace {

constexpr Millis kHeartbeatInterval{500};
constexpr Millis kSilenceLimit{2000};
/// Minimum time between two pulls on a connection; a pull whose answer was lost is repeated after
/// it.
constexpr Millis kPullInterval{1000};

}  // namespace

AgentPeers::AgentPeers(Hello self, const Clock* clock, PeerLink* link, ConfigReplica* config,
                       MetricsRegistry* metrics, Events events)
    : self_(std::move(self)),
      clock_(clock),
      link_(link),
      config_(config),
      metrics_(metrics),
      events_(std::move(events)) {}

void AgentPeers::OnMessageReceived(ConnectionId connection) {
  const auto [found, added] = peers_.try_emplace(connection);
  Peer& peer = found->second;
  peer.last_received = clock_->SteadyNow();
  if (!added) return;
  peer.next_heartbeat = peer.last_received + kHeartbeatInterval;
  peer.next_pull = peer.last_received;
  metrics_->GetCounter("shallot_agent_connections_total").Add();
  SendHello(connection, peer);
}

void AgentPeers::SendHello(ConnectionId connection, Peer& peer) {
  Hello hello = self_;
  hello.config_revision = config_->revision();
  peer.hello_sent = Send(connection, hello);
}

void AgentPeers::OnHello(ConnectionId connection, const Hello& hello) {
  CompareRevision(connection, hello.config_revision);
}

void AgentPeers::OnHeartbeat(ConnectionId connection, const Heartbeat& heartbeat) {
  CompareRevision(connection, heartbeat.config_revision);
}

void AgentPeers::CompareRevision(ConnectionId connection, ConfigRevision revision) {
  if (revision <= config_->revision()) return;
  const auto found = peers_.find(connection);
  const SteadyTime now = clock_->SteadyNow();
  if (found == peers_.end() || now < found->second.next_pull) return;
  found->second.next_pull = now + kPullInterval;
  Send(connection, ConfigPull{config_->revision()});
}

void AgentPeers::OnConfigPull(ConnectionId connection, const ConfigPull& pull) {
  if (!config_->current() || pull.known >= config_->revision()) return;
  Send(connection, config_->MakePush(pull.known));
}

void AgentPeers::OnConfigPush(ConnectionId connection, const ConfigPush& push) {
  const Result<bool> applied = config_->Apply(push);
  if (IsOk(applied)) {
    if (ValueOf(applied)) events_.on_config();
    return;
  }
  LogWarning("config", FormatError(ErrorOf(applied)));
  metrics_->GetCounter("shallot_agent_config_rejected_total").Add();
  if (ErrorOf(applied).kind != ErrorKind::kNotFound) return;
  Send(connection, ConfigPull{ConfigRevision(0)});
}

void AgentPeers::OnDisconnect(ConnectionId connection) {
  if (peers_.erase(connection) > 0) events_.on_lost(connection);
}

void AgentPeers::OnTick() {
  const SteadyTime now = clock_->SteadyNow();
  std::vector<ConnectionId> silent;
  for (auto& [connection, peer] : peers_) {
    if (now - peer.last_received >= kSilenceLimit) {
      silent.push_back(connection);
      continue;
    }
    if (!peer.hello_sent) SendHello(connection, peer);
    if (now >= peer.next_heartbeat) SendHeartbeat(connection, peer);
  }
  for (const ConnectionId connection : silent) {
    metrics_->GetCounter("shallot_agent_silent_connections_total").Add();
    link_->Close(connection);
    OnDisconnect(connection);
  }
  metrics_->GetGauge("shallot_agent_connections").Set(static_cast<int64_t>(peers_.size()));
}

void AgentPeers::SendHeartbeat(ConnectionId connection, Peer& peer) {
  peer.next_heartbeat = clock_->SteadyNow() + kHeartbeatInterval;
  Heartbeat heartbeat;
  heartbeat.sequence = ++peer.sequence;
  heartbeat.config_revision = config_->revision();
  heartbeat.draining = self_.draining;
  heartbeat.load = events_.load();
  Send(connection, heartbeat);
}

void AgentPeers::StartDraining() {
  self_.draining = true;
  for (auto& [connection, peer] : peers_) SendHeartbeat(connection, peer);
}

bool AgentPeers::Send(ConnectionId connection, const Message& message) {
  const bool sent = IsOk(link_->Send(connection, message));
  if (!sent) metrics_->GetCounter("shallot_agent_send_refused_total").Add();
  return sent;
}

void AgentPeers::Broadcast(const Message& message) {
  for (const auto& [connection, peer] : peers_) Send(connection, message);
}

bool AgentPeers::SendToAny(const Message& message) {
  auto next = peers_.upper_bound(last_used_);
  for (size_t i = 0; i < peers_.size(); ++i, ++next) {
    if (next == peers_.end()) next = peers_.begin();
    last_used_ = next->first;
    if (Send(last_used_, message)) return true;
  }
  return false;
}

}  // namespace shallot
