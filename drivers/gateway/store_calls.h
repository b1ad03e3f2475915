#ifndef DRIVERS_GATEWAY_STORE_CALLS_H_
#define DRIVERS_GATEWAY_STORE_CALLS_H_

#include <optional>
#include <string>

#include "core/metrics.h"
#include "drivers/gateway/buffered_call.h"
#include "drivers/gateway/platform_protocol.h"

namespace shallot::gateway {

/// Calls to the platform's store. Used on the event loop's thread only.
class StoreCalls {
 public:
  /// Timeout of lease and key calls, which usually take 4 ms.
  static constexpr Millis kTimeout{700};

  StoreCalls(BufferedCalls* calls, const PlatformProtocol* protocol, std::string address,
             MetricsRegistry* metrics);

  /// As BufferedCalls::Start(), to the store.
  void Start(const HttpMessage& request, Millis timeout, BufferedCalls::Done done);
  /// The era of the newest answer; absent if no answer has named one.
  std::optional<StoreEra> era() const { return era_; }

 private:
  void OnEra(StoreEra era);

  BufferedCalls* calls_;
  const PlatformProtocol* protocol_;
  std::string address_;
  MetricsRegistry* metrics_;
  std::optional<StoreEra> era_;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_STORE_CALLS_H_
