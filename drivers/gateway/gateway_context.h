#ifndef DRIVERS_GATEWAY_GATEWAY_CONTEXT_H_
#define DRIVERS_GATEWAY_GATEWAY_CONTEXT_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/hashing.h"
#include "core/metrics.h"
#include "core/random.h"
#include "drivers/gateway/buffered_call.h"
#include "drivers/gateway/event_loop.h"
#include "drivers/gateway/gateway_settings.h"
#include "drivers/gateway/http_client.h"
#include "drivers/gateway/peer_channel.h"
#include "drivers/gateway/platform_protocol.h"
#include "drivers/gateway/store_calls.h"
#include "servers/crash_quarantine.h"
#include "servers/gateway/access/config_proof.h"
#include "servers/gateway/demand_aggregator.h"
#include "servers/gateway/fleet_routes.h"
#include "servers/gateway/fleet_view.h"
#include "servers/gateway/leader_election.h"
#include "servers/gateway/memory/runner_memory.h"
#include "servers/gateway/memory/send_budget.h"
#include "servers/gateway/quota/quota_exchange.h"
#include "servers/gateway/retry_share.h"
#include "servers/gateway/runner_limits.h"
#include "servers/gateway/runner_picker.h"
#include "servers/gateway/sent_calls.h"
#include "servers/gateway/team_service.h"

namespace shallot::gateway {

/// A call that ended with its runner's connection before its answer had begun, or a load that its
/// runner did not complete.
struct LostCall {
  /// The run of the runner that it was sent to.
  RunnerRun crash;
  SteadyTime sent_at;
  std::vector<CallTrait> traits;
};

/// Is told of calls and loads that may have crashed their runner.
class CrashObserver {
 public:
  virtual ~CrashObserver() = default;
  virtual void OnCallLost(const LostCall& call) = 0;
};

/// State shared by the components of one gateway process. Used on the event loop's thread only.
struct GatewayContext {
  GatewayContext(const GatewaySettings& process_settings, const PlatformProtocol* platform,
                 const Clock* system_clock, MetricsRegistry* registry)
      : settings(process_settings),
        protocol(platform),
        clock(system_clock),
        started_at(system_clock->SteadyNow()),
        metrics(registry),
        send_budget(BufferLimits::FromMemory(settings.memory_mb)),
        loop(system_clock),
        client(&loop),
        calls(&loop, &client,
              [platform](const HttpHead& head) {
                return !platform->DecodeAnswer(head).call.empty();
              }),
        store(&calls, platform, settings.store_address, &view.contact(), registry),
        limits(settings.instance),
        quotas(settings.instance, system_clock->BootNow()),
        picker(&settings.policy, &view, settings.domain, &limits,
               StableHash(settings.instance.value())),
        quarantine(settings.instance),
        proof(settings.instance, EntropySeed()) {
    picker.SetMemory(&runner_memory);
  }

  GatewaySettings settings;
  const PlatformProtocol* protocol;
  const Clock* clock;
  SteadyTime started_at;
  MetricsRegistry* metrics;
  /// Outlives the connections and calls whose destruction the loop defers.
  SendBudget send_budget;
  EventLoop loop;
  HttpClient client;
  BufferedCalls calls;
  FleetView view;
  StoreCalls store;
  PeerChannel peers;
  /// Newest configuration; null until the first one has been read.
  std::shared_ptr<const FleetRoutes> routes;
  RunnerLimits limits;
  QuotaExchange quotas;
  RunnerMemory runner_memory;
  /// In use while this gateway leads placement.
  MemoryIssuer memory_issuer;
  RunnerPicker picker;
  DemandMeter meter;
  TeamService team_service;
  CrashQuarantine quarantine;
  SentCalls sent_calls;
  /// As of when `routes` was the latest configuration.
  ConfigProof proof;
  /// Set while the gateway runs.
  CrashObserver* crash_observer = nullptr;
  std::map<BackendName, RetryShare> retry_shares;
  /// Peer addresses of all registered gateways, by instance.
  std::map<InstanceId, std::string> gateways;
  /// Those of them that are not weak, see LeaderElection.
  std::set<InstanceId> strong_gateways;
  std::optional<LeaderRecord> leader;

  /// Number of gateways that share the retry slack. Until the list is known, more are assumed than
  /// usual deployments have, because the limit applies to all gateways together.
  uint64_t KnownGateways() const {
    constexpr uint64_t kAssumedGateways = 12;
    return gateways.size() < 2 ? kAssumedGateways : gateways.size();
  }

  RetryShare& RetryShareOf(const BackendName& backend) {
    return retry_shares.try_emplace(backend, &settings.policy).first->second;
  }
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_GATEWAY_CONTEXT_H_
