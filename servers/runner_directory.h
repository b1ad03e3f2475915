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

/// Receives what happens on the connections of a RunnerDirectory.
class DirectoryListener {
 public:
  virtual ~DirectoryListener() = default;
  /// The agent's Hello arrived on a new connection.
  virtual void OnRunnerConnected(const RunnerId& runner, Incarnation incarnation) = 0;
  /// The connection closed or went silent; the directory opens another when it is needed.
  virtual void OnRunnerLost(const RunnerId& runner) = 0;
  /// The runner is no longer listed.
  virtual void OnRunnerGone(const RunnerId& runner) = 0;
  virtual void OnRunnerHeartbeat(const RunnerId& runner, const Heartbeat& heartbeat) = 0;
  /// Every other message of an agent.
  virtual void OnRunnerMessage(const RunnerId& runner, const Message& message) = 0;
  virtual void OnPeerHeartbeat(const InstanceId& router, const Heartbeat& heartbeat) = 0;
  virtual void OnPeerMessage(const InstanceId& router, const Message& message) = 0;
};

/// One runner as this router sees it.
struct RunnerView {
  InstanceRecord record;
  /// Set while the agent has answered on the present connection.
  bool up = false;
  bool draining = false;
  Incarnation incarnation;
  LoadSummary load;
  std::unordered_set<EntryId> loaded;
  std::unordered_set<EntryId> cached_in_memory;
  std::unordered_set<EntryId> cached_on_disk;
  /// Time of the last report; none on a connection without one.
  std::optional<SteadyTime> reported_at;
  /// Calls of this router in progress there, by class.
  std::array<uint64_t, kCallClassCount> outstanding{};
  /// Sum of `outstanding` when the last report came.
  uint64_t outstanding_at_report = 0;
  /// Last time that a connection was lost or did not come up; none since the last Hello.
  std::optional<SteadyTime> failed_at;
  /// Time that the last connection ended; none while one is up.
  std::optional<SteadyTime> lost_at;
  CircuitBreaker breaker;
  PrefixHints hints;

  uint64_t TotalOutstanding() const;
};

/// Connections to agents and other routers: which are kept, heartbeats, silence and backoff; and
/// what the runners report.
class RunnerDirectory {
 public:
  static constexpr Millis kHeartbeatInterval{500};
  static constexpr Millis kSilenceLimit{2'000};
  /// Two reports missed.
  static constexpr Millis kQuietLimit{1'200};
  /// After this time a runner that could not be reached is tried again beside others, and what it
  /// said last no longer rules it out.
  static constexpr Millis kFailureMemory{5'000};
  static constexpr Millis kIdleLimit{60'000};
  static constexpr Millis kFirstBackoff{100};
  static constexpr Millis kLongestBackoff{2'000};
  static constexpr size_t kHomesPerRunner = 2;
  /// Interval of the walk over all connections; a large fleet has 2,000 runners.
  static constexpr Millis kPassInterval{100};

  struct Options {
    InstanceId id;
    Incarnation incarnation;
    FailureDomain failure_domain;
    Region region;
    uint64_t seed = 1;
  };

  RunnerDirectory(Options options, const Clock* clock, PeerLink* link, DirectoryListener* listener);

  void SetInstances(const std::vector<InstanceRecord>& instances);
  void OnMessage(ConnectionId connection, const Message& message);
  void OnDisconnect(ConnectionId connection);
  void OnTick();
  /// Configuration revision, drain state and load that heartbeats carry.
  void SetOwnState(ConfigRevision revision, bool draining, uint64_t running, uint64_t queued);

  /// Sends on the runner's connection. False when it is not up or the transport refused; a
  /// connection is then opened.
  bool SendToRunner(const RunnerId& runner, const Message& message);
  bool SendToRouter(const InstanceId& router, const Message& message);
  /// Opens a connection when there is none, and keeps the present one.
  void Touch(const RunnerId& runner);
  /// Null when the runner is not listed.
  RunnerView* Find(const RunnerId& runner);
  const RunnerView* Find(const RunnerId& runner) const;
  /// Listed runners of a backend.
  const std::vector<RunnerId>& RunnersOf(const BackendName& backend) const;
  /// True when new calls may go there: listed, not leaving, not draining and serving.
  static bool Usable(const RunnerView& view);
  /// True when the runner failed to connect or missed reports lately; others are tried first.
  bool Doubtful(const RunnerView& view) const;
  bool IsHome(const RunnerId& runner) const;
  bool seen_instances() const { return seen_instances_; }
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
    Duration backoff{kFirstBackoff};
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
  /// Owner of a connection that this router opened.
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
  void Drop(Connection* connection);
  void LoseRunner(const RunnerId& runner);
  void Backoff(Connection* connection);
  bool Needed(const RunnerEntry& entry) const;
  void ForgetLastReport(RunnerView* view) const;
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
  DirectoryListener* listener_;
  Random random_;
  bool seen_instances_ = false;
  bool listed_leaving_ = false;
  ConfigRevision revision_;
  bool draining_ = false;
  LoadSummary own_load_;
  std::map<RunnerId, RunnerEntry> runners_;
  std::vector<RunnerId> runner_ids_;
  std::map<BackendName, std::vector<RunnerId>> by_backend_;
  std::map<InstanceId, RouterEntry> routers_;
  /// Routers that stay, this one included, by place.
  std::map<FailureDomain, size_t> routers_in_domain_;
  std::map<Region, size_t> routers_in_region_;
  std::vector<InstanceRecord> last_list_;
  SteadyTime next_pass_;
  std::unordered_map<ConnectionId, Owner> by_connection_;
  std::unordered_map<ConnectionId, Incoming> incoming_;
};

}  // namespace shallot

#endif  // SERVERS_RUNNER_DIRECTORY_H_
