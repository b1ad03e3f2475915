#ifndef DRIVERS_GATEWAY_PRESENCE_DRIVER_H_
#define DRIVERS_GATEWAY_PRESENCE_DRIVER_H_

#include <optional>
#include <string>

#include "drivers/gateway/gateway_context.h"
#include "servers/gateway/presence.h"

namespace shallot::gateway {

/// Performs the store calls that Presence decides on, which keep this gateway registered under its
/// own key.
class PresenceDriver final : public StoreRestoreListener {
 public:
  static constexpr Millis kTickInterval{100};

  explicit PresenceDriver(GatewayContext* context);

  void Start();
  void OnStoreRestored() override;
  /// Key of this gateway in the store.
  const std::string& key() const { return key_; }
  void OnKey(const std::optional<StorePosition>& key, StorePosition as_of);

 private:
  void Tick();
  void RunNextAction();
  void CreateLease();
  void Register();
  void Renew();
  /// Logs the first failed call and the first one that succeeds after a failure.
  void LogOutcomeChange(bool succeeded, const std::string& call);

  GatewayContext* context_;
  std::string key_;
  Presence presence_;
  bool last_call_failed_ = false;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_PRESENCE_DRIVER_H_
