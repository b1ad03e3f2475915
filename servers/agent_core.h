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
  /// Drawn anew at each start.
  Incarnation incarnation;
  RunnerId runner;
  BackendName backend;
  FailureDomain failure_domain;
  /// Fencing number of all orders of this incarnation: boot-time clock in microseconds at start.
  FencingNumber fencing;
  /// Calls that a plain service runs at once; engines report their own.
  uint64_t service_concurrency = 8;
  /// Answer bytes kept for resumes over all calls; beyond it new calls are refused.
  uint64_t answer_buffer_bytes = 32U << 20U;
  /// Loads that this agent may start by itself while no permit can be had: one each interval.
  Millis static_share_interval{10'000};
};

/// What the agent's parts need from outside; none is owned.
struct AgentEnvironment {
  const Clock* clock = nullptr;
  PeerLink* link = nullptr;
  /// Executes calls; the engine itself or a plain service.
  BackendServer* backend = nullptr;
  /// Null beside a plain service.
  ModelEngine* engine = nullptr;
  OrderClaims* claims = nullptr;
  MetricsRegistry* metrics = nullptr;
  InvariantMonitor* invariants = nullptr;
};

/// The decisions of an agent: the only path of calls and orders to its backend server. Single
/// threaded and without I/O.
class AgentCore {
 public:
  AgentCore(AgentOptions options, AgentEnvironment environment);
  ~AgentCore();
  AgentCore(const AgentCore&) = delete;
  AgentCore& operator=(const AgentCore&) = delete;

  /// Policy of idle entries; null or not set: keep_alive_max of the entry. Not owned.
  void SetKeepAlivePolicy(KeepAlivePolicy* policy);
  /// Fetches the inventory; calls are refused as not run until it is known.
  void Start();
  /// A router's message; an unknown connection id is a new connection.
  void OnMessage(ConnectionId connection, const Message& message);
  void OnDisconnect(ConnectionId connection);
  /// Call at least every 20 ms.
  void OnTick();
  /// Refuses new calls, finishes running ones and gives up the slots.
  void BeginDrain(const std::string& reason, Millis grace);
  /// True when a drain is complete and the process may exit.
  bool Drained() const;
  /// True when the inventory is known and a configuration is in force.
  bool Ready() const;
  /// Configuration in force, or null.
  std::shared_ptr<const FleetConfig> config() const;
  /// JSON object for /status.
  std::string StatusJson() const;

  /// Defined by the implementation.
  struct State;

 private:
  std::unique_ptr<State> state_;
};

}  // namespace shallot

#endif  // SERVERS_AGENT_CORE_H_
