#ifndef DRIVERS_GATEWAY_GATEWAY_SETTINGS_H_
#define DRIVERS_GATEWAY_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/gateway/gateway_policy.h"

namespace shallot::gateway {

/// What a gateway process is told about itself and its platform. Addresses are "IP:port".
struct GatewaySettings {
  InstanceId instance;
  FailureDomain domain;
  std::string caller_address;
  std::string readiness_address;
  /// Where other gateways send their demand reports and take the leader's notices.
  std::string peer_address;
  /// First port of the range for connections between gateways; the same on all instances.
  int peer_port = 0;
  std::string metrics_address;
  std::string store_address;
  /// Shortest lease that the store grants.
  Millis least_lease{1'000};
  /// Window within which two holders must not take turns in giving orders.
  Millis order_lease{3'000};
  /// Engines reject orders with an outdated fencing number.
  bool orders_fenced = true;
  /// Time from the stop signal to the forced end.
  Millis stop_grace{8'000};
  GatewayPolicy policy;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_GATEWAY_SETTINGS_H_
