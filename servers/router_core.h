#ifndef SERVERS_ROUTER_CORE_H_
#define SERVERS_ROUTER_CORE_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/invariant.h"
#include "core/metrics.h"
#include "servers/call.h"
#include "servers/control_plane.h"
#include "servers/peer_link.h"

namespace shallot {

/// Identity and limits of a router, from its settings.
struct RouterOptions {
  InstanceId id;
  Incarnation incarnation;
  FailureDomain failure_domain;
  Region region;
  /// Maximum number of calls in progress over all classes; further calls are refused.
  uint64_t max_calls = 2048;
  /// Seed of the random numbers for replica choice and jitter.
  uint64_t seed = 1;
};

/// Receives the answer of a caller's request on the core's thread; must not block.
class CallerSink {
 public:
  virtual ~CallerSink() = default;
  /// Called once, before any data, and only when a backend server answered.
  virtual void OnBegin(int http_status, const std::string& content_type) = 0;
  /// The next bytes of the answer, without gaps.
  virtual void OnData(const std::string& payload) = 0;
  /// Called exactly once, as the last callback.
  virtual void OnEnd(const Outcome& outcome) = 0;
};

/// A request as parsed by the caller interface.
struct CallerRequest {
  RequestId request_id;
  EntryId entry;
  BackendName service;
  /// Class that the caller requested; if empty, the class of the route, or kInteractive for models.
  std::string call_class;
  /// Time allowed for the call; zero for the default of its class.
  Millis deadline{0};
  IdempotencyKey idempotency_key;
  /// When the caller created the key of an order; the router refuses keys that are too old.
  std::optional<WallTime> key_time;
  /// True: answer bytes are forwarded as they arrive. False: only a whole answer is forwarded.
  bool stream = false;
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  /// What the body has in common with those of other calls.
  std::vector<CallTrait> traits;
};

struct RouterEnvironment {
  const Clock* clock = nullptr;
  PeerLink* link = nullptr;
  ControlPlane* control = nullptr;
  MetricsRegistry* metrics = nullptr;
  InvariantMonitor* invariants = nullptr;
};

/// Call handling of a router: admission, replica choice, retries, resumes and outcomes. Owns the
/// connections to agents and other routers. Single-threaded; does no I/O itself.
class RouterCore final : public ControlListener {
 public:
  RouterCore(RouterOptions options, RouterEnvironment environment);
  ~RouterCore() override;
  RouterCore(const RouterCore&) = delete;
  RouterCore& operator=(const RouterCore&) = delete;

  /// Submits a request. The sink gets exactly one outcome by the deadline.
  CallId Submit(const CallerRequest& request, std::shared_ptr<CallerSink> sink);
  /// Ends a call whose caller disconnected.
  void CancelByCaller(const CallId& call);

  /// Handles a message on a connection that this router opened, or that another router opened to
  /// it.
  void OnMessage(ConnectionId connection, const Message& message);
  void OnDisconnect(ConnectionId connection);
  /// Must be called at least every 20 ms.
  void OnTick();

  /// Refuses new requests and lets running ones finish.
  void BeginDrain();
  bool Drained() const;
  /// True when a configuration is loaded and at least one instance list was seen.
  bool Ready() const;
  /// Current configuration, or null.
  std::shared_ptr<const FleetConfig> config() const;
  /// JSON object for /status: runners, what is loaded where and why, refusals by reason, revisions.
  std::string StatusJson() const;

  void OnConfig(const std::shared_ptr<const FleetConfig>& config) override;
  void OnPlacement(const ShardPlacement& placement) override;
  void OnInstances(const std::vector<InstanceRecord>& instances) override;
  void SendToRunner(const RunnerId& runner, const Message& message) override;
  void SendToRouter(const InstanceId& router, const Message& message) override;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace shallot

#endif  // SERVERS_ROUTER_CORE_H_
