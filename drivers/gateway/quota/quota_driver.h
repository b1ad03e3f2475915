#ifndef DRIVERS_GATEWAY_QUOTA_QUOTA_DRIVER_H_
#define DRIVERS_GATEWAY_QUOTA_QUOTA_DRIVER_H_

#include <memory>

#include "drivers/gateway/gateway_context.h"

namespace shallot::gateway {

/// Carries the messages of QuotaExchange between gateways, and passes the quotas of the
/// configuration in force on to it. Without a team that has a quota, it sends nothing.
class QuotaDriver {
 public:
  explicit QuotaDriver(GatewayContext* context) : context_(context) {}

  /// Puts the quotas of the configuration in force into effect.
  void ApplyQuotas();
  /// Sends the requests that are due. Returns true if this gateway issues tokens to itself.
  bool Tick();
  void OnAsk(const QuotaAsk& ask);
  void OnGrant(const QuotaGrant& grant);

 private:
  QuotaFleet Fleet() const;

  GatewayContext* context_;
  /// The configuration whose quotas are in force, and how far calls may exceed them.
  std::shared_ptr<const FleetRoutes> applied_;
  QuotaTolerance tolerance_;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_QUOTA_QUOTA_DRIVER_H_
