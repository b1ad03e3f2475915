#ifndef SERVERS_AGENT_CORE_H_
#define SERVERS_AGENT_CORE_H_

#include <memory>
#include <string>

#include "core/clock.h"
#include "core/ids.h"
#include "core/invariant.h"
#include "core/metrics.h"
#include "servers/backend_server.h"
#include "servers/fleet_config.h"
#include "servers/keep_alive_policy.h"
#include "servers/messages.h"
#include "servers/order_claims.h"
#include "servers/peer_link.h"

namespace shallot {

/// Identity and limits of an agent, from its settings.
struct AgentOptions {
  InstanceId id;
  /// New for each start of the agent.
  Incarnation incarnation;
  RunnerId runner;
  BackendName backend;
  FailureDomain failure_domain;
  /// Fencing number of all engine orders of this incarnation: boot-time clock in microseconds at
  /// start.
  FencingNumber fencing;
  /// Maximum number of concurrent calls of a plain service; engines report their own limit.
  uint64_t service_concurrency = 8;
  /// Limit for the answer bytes of all calls kept for resumes; once reached, new calls are refused.
  uint64_t answer_buffer_bytes = 32U << 20U;
  /// While no permit can be obtained, the agent may start one load without a permit per interval.
  Millis static_share_interval{10'000};
};

/// External dependencies of an agent; the pointers are not owned.
struct AgentEnvironment {
  const Clock* clock = nullptr;
  PeerLink* link = nullptr;
  /// Executes calls; either the engine itself or a plain service.
  BackendServer* backend = nullptr;
  /// Null if the backend server is a plain service.
  ModelEngine* engine = nullptr;
  OrderClaims* claims = nullptr;
  MetricsRegistry* metrics = nullptr;
  InvariantMonitor* invariants = nullptr;
};

/// Decision logic of an agent and the only path of calls and orders to its backend server.
/// Single-threaded and without I/O of its own.
class AgentCore {
 public:
  AgentCore(AgentOptions options, AgentEnvironment environment);
  ~AgentCore();
  AgentCore(const AgentCore&) = delete;
  AgentCore& operator=(const AgentCore&) = delete;

  /// Sets the policy for idle entries, which is not owned. Without a policy, or with null, an idle
  /// entry stays loaded for its keep_alive_max.
  void SetKeepAlivePolicy(KeepAlivePolicy* policy);
  /// Requests the inventory of the engine; until it is known, calls are refused as not run.
  void Start();
  /// Handles a message from a router; an unknown connection id denotes a new connection.
  void OnMessage(ConnectionId connection, const Message& message);
  void OnDisconnect(ConnectionId connection);
  /// Does the periodic work. Call at least every 20 ms.
  void OnTick();
  /// Refuses new calls, lets running ones finish within `grace` and releases the slots. Has no
  /// effect if a drain has begun already.
  void BeginDrain(const std::string& reason, Millis grace);
  /// True when a drain is complete and the process may exit.
  bool Drained() const;
  /// True when a configuration was applied and the inventory of the engine, if any, is known.
  bool Ready() const;
  /// Active configuration, or null before the first one.
  std::shared_ptr<const FleetConfig> config() const;
  /// JSON object for /status.
  std::string StatusJson() const;

  /// Implementation; defined in agent_state.h.
  struct State;

 private:
  std::unique_ptr<State> state_;
};

}  // namespace shallot

#endif  // SERVERS_AGENT_CORE_H_
