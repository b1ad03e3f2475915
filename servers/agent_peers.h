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

/// The connections of an agent: greeting, heartbeats, silence and the relay of the configuration.
class AgentPeers {
 public:
  struct Events {
    std::function<LoadSummary()> load;
    /// A newer configuration is in force.
    std::function<void()> on_config;
    /// The connection is gone.
    std::function<void(ConnectionId)> on_lost;
  };

  /// `self` is the greeting of this agent; its revision and draining flag are filled in.
  AgentPeers(Hello self, const Clock* clock, PeerLink* link, ConfigReplica* config,
             MetricsRegistry* metrics, Events events);

  /// Notes that the connection lives; greets a new one. Call before any other use of a message.
  void OnHeard(ConnectionId connection);
  void OnHello(ConnectionId connection, const Hello& hello);
  void OnHeartbeat(ConnectionId connection, const Heartbeat& heartbeat);
  void OnConfigPull(ConnectionId connection, const ConfigPull& pull);
  void OnConfigPush(ConnectionId connection, const ConfigPush& push);
  void OnDisconnect(ConnectionId connection);
  /// Sends the heartbeats that are due and drops silent connections.
  void OnTick();
  /// Tells all peers at once.
  void StartDraining();

  bool Send(ConnectionId connection, const Message& message);
  /// Sends on every connection.
  void Broadcast(const Message& message);
  /// Sends on one connection that takes the message; false when there is none. Successive calls
  /// start at different connections, so that one bad connection does not get them all.
  bool SendToAny(const Message& message);
  bool Has(ConnectionId connection) const { return peers_.contains(connection); }
  size_t size() const { return peers_.size(); }

 private:
  struct Peer {
    SteadyTime last_heard;
    SteadyTime next_heartbeat;
    SteadyTime next_pull;
    bool greeted = false;
    uint64_t sequence = 0;
  };

  void Greet(ConnectionId connection, Peer& peer);
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
