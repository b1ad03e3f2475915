#ifndef DRIVERS_GATEWAY_FLEET_FOLLOWER_H_
#define DRIVERS_GATEWAY_FLEET_FOLLOWER_H_

#include <functional>
#include <string>

#include "drivers/gateway/gateway_context.h"
#include "drivers/gateway/prefix_follower.h"

namespace shallot::gateway {

/// Keeps the configuration, the runners and the other gateways of a GatewayContext in sync with the
/// store. A single watch serves all three, because the platform charges for each pending watch
/// call.
class FleetFollower final : public PrefixListener {
 public:
  /// `on_change` is called after each change of the runners or the configuration.
  FleetFollower(GatewayContext* context, std::function<void()> on_change);

  void Start() { follower_.Start(); }
  /// True once the configuration and the runners have been read.
  bool ready() const { return context_->routes != nullptr && context_->view.ready(); }

  void OnSnapshot(const std::vector<StoreItem>& items, StoreRevision revision) override;
  void OnChange(const StoreItem& item) override;
  void OnStoreFailure() override;
  void OnStoreSuccess() override;

  using LeaderListener = std::function<void(const std::optional<LeaderRecord>&, StoreRevision)>;
  /// Sets the callback for the leader's record. It is called with the record and the store revision
  /// at which it was valid, after each snapshot and each change of the record.
  void SetLeaderListener(LeaderListener listener) { leader_listener_ = std::move(listener); }

  using KeyListener =
      std::function<void(const std::optional<StoreRevision>& key, StoreRevision as_of)>;
  /// Sets the callback for the revision of one key (empty when the key is absent). It is called
  /// after each snapshot and each change of the key.
  void SetKeyListener(std::string key, KeyListener listener) {
    listener_key_ = std::move(key);
    key_listener_ = std::move(listener);
  }

 private:
  void OnItem(const StoreItem& item);
  void OnRoutes(const StoreItem& item);
  void OnRunner(const StoreItem& item);
  void OnGatewayItem(const StoreItem& item);

  GatewayContext* context_;
  std::function<void()> on_change_;
  LeaderListener leader_listener_;
  /// The one key whose revision `key_listener_` receives.
  std::string listener_key_;
  KeyListener key_listener_;
  PrefixFollower follower_;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_FLEET_FOLLOWER_H_
