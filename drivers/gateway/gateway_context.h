#ifndef DRIVERS_GATEWAY_GATEWAY_CONTEXT_H_
#define DRIVERS_GATEWAY_GATEWAY_CONTEXT_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/metrics.h"
#include "drivers/gateway/buffered_call.h"
#include "drivers/gateway/event_loop.h"
#include "drivers/gateway/gateway_settings.h"
#include "drivers/gateway/http_client.h"
#include "drivers/gateway/peer_channel.h"
#include "drivers/gateway/platform_protocol.h"
#include "servers/gateway/demand_board.h"
#include "servers/gateway/fleet_routes.h"
#include "servers/gateway/fleet_view.h"
#include "servers/gateway/leader_election.h"
#include "servers/gateway/retry_share.h"
#include "servers/gateway/runner_picker.h"

namespace shallot::gateway {

/// What the parts of one gateway process share. Everything runs on the loop's thread.
struct GatewayContext {
  GatewayContext(const GatewaySettings& process_settings, const PlatformProtocol* platform,
                 const Clock* system_clock, MetricsRegistry* registry)
      : settings(process_settings),
        protocol(platform),
        clock(system_clock),
        metrics(registry),
        loop(system_clock),
        client(&loop),
        calls(&loop, &client),
        picker(&settings.policy, &view, settings.domain) {}

  GatewaySettings settings;
  const PlatformProtocol* protocol;
  const Clock* clock;
  MetricsRegistry* metrics;
  EventLoop loop;
  HttpClient client;
  BufferedCalls calls;
  PeerChannel peers;
  /// Newest configuration; null until the first one was read.
  std::shared_ptr<const FleetRoutes> routes;
  FleetView view;
  RunnerPicker picker;
  DemandMeter meter;
  std::map<BackendName, RetryShare> retry_shares;
  /// Addresses of all gateways, by instance.
  std::map<InstanceId, std::string> gateways;
  std::optional<LeaderRecord> leader;

  /// Gateways that share the retry slack. Before the list is known, more are assumed than usual
  /// deployments have, because the limit holds over all of them.
  uint64_t KnownGateways() const {
    constexpr uint64_t kAssumedGateways = 12;
    return gateways.size() < 2 ? kAssumedGateways : gateways.size();
  }

  RetryShare& ShareOf(const BackendName& backend) {
    return retry_shares.try_emplace(backend, &settings.policy).first->second;
  }
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_GATEWAY_CONTEXT_H_
