#ifndef DRIVERS_GATEWAY_PERMIT_DRIVER_H_
#define DRIVERS_GATEWAY_PERMIT_DRIVER_H_

#include <cstdint>
#include <deque>
#include <utility>

#include "drivers/gateway/gateway_context.h"
#include "drivers/gateway/placement_driver.h"

namespace shallot::gateway {

/// Asks the placement leader for the permits that RunnerLimits wishes for and, while this gateway
/// leads, answers such requests with permits of PermitIssuer.
class PermitDriver {
 public:
  PermitDriver(GatewayContext* context, const PlacementDriver* placement)
      : context_(context), placement_(placement) {}

  /// Sends the requests that are due, forgets runners that are gone, and logs limits that began or
  /// ended. Returns true if this gateway issued permits to itself.
  bool Tick();
  void OnRequest(const PermitRequest& request);
  void OnResponse(const PermitResponse& response);

 private:
  PermitResponse Issue(const PermitRequest& request);
  void ForgetGoneRunners();
  void LogChanges();

  GatewayContext* context_;
  const PlacementDriver* placement_;
  PermitIssuer issuer_;
  bool was_leader_ = false;
  uint64_t last_number_ = 0;
  /// Numbers and times of recent requests.
  std::deque<std::pair<uint64_t, SteadyTime>> requests_;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_PERMIT_DRIVER_H_
