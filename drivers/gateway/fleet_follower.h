#ifndef DRIVERS_GATEWAY_FLEET_FOLLOWER_H_
#define DRIVERS_GATEWAY_FLEET_FOLLOWER_H_

#include <functional>

#include "drivers/gateway/gateway_context.h"
#include "drivers/gateway/prefix_follower.h"

namespace shallot::gateway {

/// Keeps the configuration, the runners and the other gateways of a context as the store has them.
class FleetFollower {
 public:
  /// `changed` runs after each change of the runners or the configuration.
  FleetFollower(GatewayContext* context, std::function<void()> changed);
  ~FleetFollower();

  void Start();
  /// True when configuration and runners were read once.
  bool ready() const { return context_->routes != nullptr && context_->view.ready(); }
  using LeaderListener = std::function<void(const std::optional<LeaderRecord>&, StoreRevision)>;
  /// Called with the leader's record, as of a revision, when it was read or has changed.
  void SetLeaderListener(LeaderListener listener) { leader_listener_ = std::move(listener); }

 private:
  class RoutesListener;
  class RunnersListener;
  class GatewaysListener;

  void OnRoutes(const StoreItem& item);
  void OnRunner(const StoreItem& item);
  void OnGatewayItem(const StoreItem& item);

  GatewayContext* context_;
  std::function<void()> changed_;
  LeaderListener leader_listener_;
  std::unique_ptr<RoutesListener> routes_listener_;
  std::unique_ptr<RunnersListener> runners_listener_;
  std::unique_ptr<GatewaysListener> gateways_listener_;
  std::unique_ptr<PrefixFollower> routes_;
  std::unique_ptr<PrefixFollower> runners_;
  std::unique_ptr<PrefixFollower> gateways_;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_FLEET_FOLLOWER_H_
