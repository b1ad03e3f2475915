#ifndef DRIVERS_GATEWAY_GATEWAY_SETTINGS_H_
#define DRIVERS_GATEWAY_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/gateway/gateway_policy.h"

namespace shallot::gateway {

/// Settings of a gateway process. Addresses have the form "IP:port".
struct GatewaySettings {
  InstanceId instance;
  FailureDomain domain;
  std::string caller_address;
  std::string readiness_address;
  /// Address on which this gateway takes demand reports and notices of other gateways.
  std::string peer_address;
  /// First port of the range for connections between gateways; the same on all instances.
  int peer_port = 0;
  std::string metrics_address;
  std::string store_address;
  /// Minimum lease time that the store grants.
  Millis min_lease{1'000};
  /// Time window in which orders of two different leaders must not alternate.
  Millis order_lease{3'000};
  /// True when backend servers reject orders with an outdated fencing number.
  bool orders_fenced = true;
  /// Time from the stop signal to the forced end of the process.
  Millis stop_grace{8'000};
  /// Share of a processor core that the process may use.
  double cpu_share = 1.0;
  /// Memory that the process may use, in units of 1,000,000 bytes. The default is that of the
  /// smallest instances.
  double memory_mb = 120;
  GatewayPolicy policy;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_GATEWAY_SETTINGS_H_
