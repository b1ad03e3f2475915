#ifndef SERVERS_RUNNER_DIRECTORY_H_
#define SERVERS_RUNNER_DIRECTORY_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/random.h"
#include "servers/circuit_breaker.h"
#include "servers/instance_list.h"
#include "servers/messages.h"
#include "servers/peer_link.h"
#include "servers/replica_picker.h"

namespace shallot {

/// Receives the connection events and messages of a RunnerDirectory.
class RunnerDirectoryListener {
 public:
  virtual ~RunnerDirectoryListener() = default;
  /// The agent's Hello arrived on a new connection, or with a new incarnation on the present one.
  virtual void OnRunnerConnected(const RunnerId& runner, Incarnation incarnation) = 0;
  /// The connection closed or timed out, or the agent restarted. The directory reconnects when a
  /// connection is needed.
  virtual void OnRunnerDisconnected(const RunnerId& runner) = 0;
  /// The runner is no longer in the instance list, or its instance was replaced.
  virtual void OnRunnerRemoved(const RunnerId& runner) = 0;
  virtual void OnRunnerHeartbeat(const RunnerId& runner, const Heartbeat& heartbeat) = 0;
  /// Any other message from an agent.
  virtual void OnRunnerMessage(const RunnerId& runner, const Message& message) = 0;
  virtual void OnPeerHeartbeat(const InstanceId& router, const Heartbeat& heartbeat) = 0;
  virtual void OnPeerMessage(const InstanceId& router, const Message& message) = 0;
  /// Another router's Hello arrived.
  virtual void OnPeerConnected(const InstanceId& router) = 0;
};

/// State of one runner as known to this router.
struct RunnerView {
  InstanceRecord record;
  /// True when the agent's Hello has arrived on the present connection.
  bool up = false;
  bool draining = false;
  Incarnation incarnation;
  LoadSummary load;
  std::unordered_set<EntryId> loaded;
  std::unordered_set<EntryId> cached_in_memory;
  std::unordered_set<EntryId> cached_on_disk;
  /// Time of the last heartbeat; unset if none has arrived on the present connection.
  std::optional<SteadyTime> reported_at;
  /// Calls from this router in progress on the runner, by class.
  std::array<uint64_t, kCallClassCount> outstanding{};
  /// Sum of `outstanding` at the last heartbeat.
  uint64_t outstanding_at_report = 0;
  /// Time of the last lost connection or failed connection attempt; unset again by a Hello.
  std::optional<SteadyTime> failed_at;
  /// Time at which the last connection ended; unset while one is up.
  std::optional<SteadyTime> lost_at;
  CircuitBreaker breaker;
  PrefixHints hints;

  uint64_t TotalOutstanding() const;
};

/// Manages the connections to agents and other routers: which ones to keep open, heartbeats,
/// timeouts and reconnection backoff. Stores the load and state that each runner reports.
class RunnerDirectory {
 public:
  static constexpr Millis kHeartbeatInterval{500};
  static constexpr Millis kConnectionTimeout{2'000};
  /// A connected runner whose last heartbeat is older is suspect: two heartbeats were missed.
  static constexpr Millis kReportTimeout{1'200};
  /// A runner that could not be reached is tried only after others for this long. Afterwards its
  /// last report, such as draining or not serving, no longer excludes it either.
  static constexpr Millis kFailureExpiry{5'000};
  static constexpr Millis kIdleTimeout{60'000};
  static constexpr Millis kMinBackoff{100};
  static constexpr Millis kMaxBackoff{2'000};
  /// Routers that keep a permanent connection to a runner (its home routers).
  static constexpr size_t kHomesPerRunner = 2;
  /// Interval between checks of all connections; a large fleet has 2,000 runners.
  static constexpr Millis kCheckInterval{100};

  struct Options {
    InstanceId id;
    Incarnation incarnation;
    FailureDomain failure_domain;
    Region region;
    uint64_t seed = 1;
  };

  RunnerDirectory(Options options, const Clock* clock, PeerLink* link,
                  RunnerDirectoryListener* listener);

  void SetInstances(const std::vector<InstanceRecord>& instances);
  void OnMessage(ConnectionId connection, const Message& message);
  void OnDisconnect(ConnectionId connection);
  void OnTick();
  /// Sets the configuration revision, drain state and load that heartbeats carry. The start of a
  /// drain is announced with the next OnTick().
  void SetOwnState(ConfigRevision revision, bool draining, uint64_t running, uint64_t queued);

  /// Sends on the runner's connection, or opens one if there is none. False when the connection is
  /// not up or the transport refused the message.
  bool SendToRunner(const RunnerId& runner, const Message& message);
  bool SendToRouter(const InstanceId& router, const Message& message);
  /// Sends once to each router with which there is a connection.
  void SendToConnectedRouters(const Message& message);
  /// Opens a connection if there is none and the backoff permits it. Restarts the idle timeout.
  void EnsureConnected(const RunnerId& runner);
  /// Null when the runner is not listed.
  RunnerView* Find(const RunnerId& runner);
  const RunnerView* Find(const RunnerId& runner) const;
  /// Listed runners of a backend.
  const std::vector<RunnerId>& RunnersOf(const BackendName& backend) const;
  /// True when the runner accepts new calls: listed, not leaving, not draining and serving.
  static bool IsUsable(const RunnerView& view);
  /// True when a connection to the runner recently failed or heartbeats were missed; other runners
  /// are tried first.
  bool IsSuspect(const RunnerView& view) const;
  /// True when this router is one of the runner's home routers.
  bool IsHome(const RunnerId& runner) const;
  bool instances_received() const { return instances_received_; }
  const std::vector<RunnerId>& runners() const { return runner_ids_; }
  size_t connections() const { return by_connection_.size(); }

 private:
  struct Connection {
    std::optional<ConnectionId> id;
    bool hello_received = false;
    SteadyTime last_received;
    SteadyTime next_heartbeat;
    SteadyTime next_dial;
    SteadyTime last_used;
    Duration backoff{kMinBackoff};
    uint64_t sequence = 0;
    bool keep = false;
  };
  struct RunnerEntry {
    RunnerView view;
    Connection connection;
  };
  struct RouterEntry {
    InstanceRecord record;
    Connection connection;
  };
  struct Incoming {
    InstanceId router;
    SteadyTime last_received;
    SteadyTime next_heartbeat;
    uint64_t sequence = 0;
  };
  /// Peer of a connection that this router opened; exactly one of the ids is set.
  struct Owner {
    RunnerId runner;
    InstanceId router;
  };

  void SetRunners(const std::map<RunnerId, InstanceRecord>& listed);
  void SetRouters(const std::map<InstanceId, InstanceRecord>& listed);
  void ChooseHomes();
  /// 0 in the runner's failure domain, 1 in its region, 2 elsewhere.
  static int Distance(const FailureDomain& domain, const Region& region,
                      const InstanceRecord& runner);
  void CountRouters();
  bool IsHomeOf(const InstanceRecord& runner) const;
  void ChoosePeers();
  void Dial(Connection* connection, const std::string& address, const Owner& owner);
  void CloseConnection(Connection* connection);
  void DisconnectRunner(const RunnerId& runner);
  void ScheduleReconnect(Connection* connection);
  bool NeedsConnection(const RunnerEntry& entry) const;
  void ExpireLastReport(RunnerView* view) const;
  void TickRunner(const RunnerId& id, RunnerEntry* entry);
  void TickRouter(RouterEntry* entry);
  void TickIncoming();
  void SendHeartbeat(ConnectionId connection, uint64_t sequence);
  Hello OwnHello() const;
  void OnRunnerMessage(const RunnerId& id, const Message& message);
  void OnRunnerHello(const RunnerId& id, RunnerEntry* entry, const Hello& hello);
  void OnRunnerReport(const RunnerId& id, RunnerEntry* entry, const Heartbeat& heartbeat);
  void OnRouterMessage(const InstanceId& id, const Message& message);
  void OnIncoming(ConnectionId connection, const Message& message);

  Options options_;
  const Clock* clock_;
  PeerLink* link_;
  RunnerDirectoryListener* listener_;
  Random random_;
  bool instances_received_ = false;
  bool listed_leaving_ = false;
  ConfigRevision revision_;
  bool draining_ = false;
  LoadSummary own_load_;
  std::map<RunnerId, RunnerEntry> runners_;
  std::vector<RunnerId> runner_ids_;
  std::map<BackendName, std::vector<RunnerId>> by_backend_;
  std::map<InstanceId, RouterEntry> routers_;
  /// Number of routers that are not leaving, this one included, by failure domain and by region.
  std::map<FailureDomain, size_t> routers_in_domain_;
  std::map<Region, size_t> routers_in_region_;
  std::vector<InstanceRecord> last_list_;
  SteadyTime next_check_;
  std::unordered_map<ConnectionId, Owner> by_connection_;
  std::unordered_map<ConnectionId, Incoming> incoming_;
};

}  // namespace shallot

#endif  // SERVERS_RUNNER_DIRECTORY_H_
