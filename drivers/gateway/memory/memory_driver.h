#ifndef DRIVERS_GATEWAY_MEMORY_MEMORY_DRIVER_H_
#define DRIVERS_GATEWAY_MEMORY_MEMORY_DRIVER_H_

#include <cstdint>

#include "drivers/gateway/gateway_context.h"
#include "drivers/gateway/placement_driver.h"

namespace shallot::gateway {

/// Sends the requests of RunnerMemory to the placement leader and, while this gateway leads,
/// answers such requests with grants of MemoryIssuer.
class MemoryDriver {
 public:
  MemoryDriver(GatewayContext* context, const PlacementDriver* placement)
      : context_(context), placement_(placement) {}

  /// Sends the requests that are due. Returns true if this gateway granted memory to itself.
  bool Tick();
  void OnRequest(const MemoryRequest& request);
  void OnResponse(const MemoryResponse& response);

 private:
  /// Interval at which the ledgers of runners that are gone are dropped.
  static constexpr Millis kCleanInterval{1'000};

  MemoryResponse Issue(const MemoryRequest& request);
  /// The memory of a runner in tokens; 0 if it is not known.
  uint64_t Capacity(const RunnerRun& run) const;
  void DropGoneRunners(SteadyTime now);
  /// Logs when the issuer begins or ceases to decide.
  void LogIssuer(SteadyTime now);

  GatewayContext* context_;
  const PlacementDriver* placement_;
  bool was_leader_ = false;
  bool was_governed_ = false;
  uint64_t last_number_ = 0;
  SteadyTime cleaned_at_{};
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_MEMORY_MEMORY_DRIVER_H_
