#ifndef DRIVERS_GATEWAY_STORE_CALLS_H_
#define DRIVERS_GATEWAY_STORE_CALLS_H_

#include <optional>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "drivers/gateway/buffered_call.h"
#include "drivers/gateway/platform_protocol.h"
#include "servers/gateway/store_contact.h"
#include "servers/gateway/store_history.h"

namespace shallot::gateway {

/// Is told when the platform has restored its store from a copy.
class StoreRestoreListener {
 public:
  virtual ~StoreRestoreListener() = default;
  /// Revisions and leases of the time before are void. Called before the callbacks of the calls
  /// that were in progress, which then end with an error.
  virtual void OnStoreRestored() = 0;
};

/// Calls to the platform's store. Used on the event loop's thread only.
class StoreCalls {
 public:
  /// Timeout of lease and key calls, which usually take 4 ms.
  static constexpr Millis kTimeout{700};

  StoreCalls(BufferedCalls* calls, const PlatformProtocol* protocol, std::string address,
             StoreContact* contact, MetricsRegistry* metrics);

  /// As BufferedCalls::Start(), to the store. A call that was in progress while the store was
  /// restored ends with kUnknownOutcome.
  void Start(const HttpMessage& request, Millis timeout, BufferedCalls::Done done);
  /// `listener` must live as long as this object.
  void AddListener(StoreRestoreListener* listener) { listeners_.push_back(listener); }
  /// The present era; absent if no answer has named one.
  std::optional<StoreEra> era() const { return history_.era(); }

 private:
  /// Tells `contact_` how a call ended, and logs what that changed.
  void RecordEnd(const Result<HttpMessage>& answer, SteadyTime sent_at);
  /// Returns whether the answer may be used.
  bool Check(std::optional<StoreEra> sent_in, const HttpHead& answer);

  BufferedCalls* calls_;
  const PlatformProtocol* protocol_;
  std::string address_;
  StoreContact* contact_;
  MetricsRegistry* metrics_;
  StoreHistory history_;
  std::vector<StoreRestoreListener*> listeners_;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_STORE_CALLS_H_
