#ifndef SERVERS_AGENT_PEERS_H_
#define SERVERS_AGENT_PEERS_H_

#include <functional>
#include <map>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/metrics.h"
#include "servers/config_replica.h"
#include "servers/messages.h"
#include "servers/peer_link.h"

namespace shallot {

/// Connections of an agent: Hello and heartbeat messages, detection of silent connections, and
/// exchange of the configuration with peers.
class AgentPeers {
 public:
  struct Events {
    /// Returns the load to report in heartbeats.
    std::function<LoadSummary()> load;
    /// Called after a newer configuration was applied.
    std::function<void()> on_config;
    /// Called after a connection was lost or closed.
    std::function<void(ConnectionId)> on_lost;
  };

  /// `self` is the Hello of this agent; its revision and draining flag are set by this class.
  AgentPeers(Hello self, const Clock* clock, PeerLink* link, ConfigReplica* config,
             MetricsRegistry* metrics, Events events);

  /// Records that a message arrived and sends a Hello on a new connection. Call before the message
  /// is processed.
  void OnMessageReceived(ConnectionId connection);
  void OnHello(ConnectionId connection, const Hello& hello);
  void OnHeartbeat(ConnectionId connection, const Heartbeat& heartbeat);
  void OnConfigPull(ConnectionId connection, const ConfigPull& pull);
  void OnConfigPush(ConnectionId connection, const ConfigPush& push);
  void OnDisconnect(ConnectionId connection);
  /// Sends due heartbeats, repeats refused Hello messages and closes silent connections.
  void OnTick();
  /// Sets the draining flag and reports it to all peers at once.
  void StartDraining();

  /// Returns false if the transport refused the message.
  bool Send(ConnectionId connection, const Message& message);
  /// Sends on every connection.
  void Broadcast(const Message& message);
  /// Sends on the first connection that accepts the message; returns false if none does. Successive
  /// calls start at different connections, so that one bad connection does not get every message.
  bool SendToAny(const Message& message);
  bool Has(ConnectionId connection) const { return peers_.contains(connection); }
  size_t size() const { return peers_.size(); }

 private:
  struct Peer {
    SteadyTime last_received;
    SteadyTime next_heartbeat;
    SteadyTime next_pull;
    bool hello_sent = false;
    uint64_t sequence = 0;
  };

  void SendHello(ConnectionId connection, Peer& peer);
  void SendHeartbeat(ConnectionId connection, Peer& peer);
  void CompareRevision(ConnectionId connection, ConfigRevision revision);

  Hello self_;
  const Clock* clock_;
  PeerLink* link_;
  ConfigReplica* config_;
  MetricsRegistry* metrics_;
  Events events_;
  std::map<ConnectionId, Peer> peers_;
  /// Connection after which SendToAny starts.
  ConnectionId last_used_;
};

}  // namespace shallot

#endif  // SERVERS_AGENT_PEERS_H_
