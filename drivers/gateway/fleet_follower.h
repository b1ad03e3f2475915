#ifndef DRIVERS_GATEWAY_FLEET_FOLLOWER_H_
#define DRIVERS_GATEWAY_FLEET_FOLLOWER_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "drivers/gateway/config_driver.h"
#include "drivers/gateway/gateway_context.h"
#include "drivers/gateway/prefix_follower.h"

namespace shallot::gateway {

/// Receives the store's items under one prefix.
class StoreItemListener {
 public:
  virtual ~StoreItemListener() = default;
  /// An item was read, written or deleted.
  virtual void OnItem(const StoreItem& item) = 0;
  /// All items were read and passed to OnItem; `items` has those under all prefixes.
  virtual void OnSnapshot(const std::vector<StoreItem>& items) = 0;
};

/// Keeps the configuration, the runners and the other gateways of a GatewayContext in sync with the
/// store. A single watch serves all three, because the platform charges for each pending watch
/// call.
class FleetFollower final : public PrefixListener, public StoreRestoreListener {
 public:
  /// `config` receives the configuration; `on_change` is called after each answer with changes.
  FleetFollower(GatewayContext* context, ConfigDriver* config, std::function<void()> on_change);

  void Start();
  /// True once the configuration and the runners have been read.
  bool ready() const { return context_->routes != nullptr && context_->view.ready(); }

  void OnSnapshot(const std::vector<StoreItem>& items, StorePosition as_of) override;
  void OnChanges(const std::vector<StoreItem>& items) override;
  void OnStoreSuccess() override;
  void OnUpToDate(BootTime sent_at, bool complete) override;
  void OnStoreRestored() override;

  using LeaderListener = std::function<void(const std::optional<LeaderRecord>&, StorePosition)>;
  /// Sets the callback for the leader's record. It is called with the record and the store position
  /// at which it was valid, after each snapshot and each change of the record.
  void SetLeaderListener(LeaderListener listener) { leader_listener_ = std::move(listener); }

  /// Sets the receiver of the items whose keys begin with `prefix`; `listener` must live as long as
  /// the follower.
  void SetItemListener(std::string prefix, StoreItemListener* listener) {
    item_prefix_ = std::move(prefix);
    item_listener_ = listener;
  }

  using ProofListener = std::function<void(BootTime sent_at, bool complete)>;
  /// Sets the callback for PrefixListener::OnUpToDate().
  void SetProofListener(ProofListener listener) { proof_listener_ = std::move(listener); }

  using KeyListener =
      std::function<void(const std::optional<StorePosition>& key, StorePosition as_of)>;
  /// Sets the callback for the position of one key (empty when the key is absent). It is called
  /// after each snapshot and each change of the key.
  void SetKeyListener(std::string key, KeyListener listener) {
    listener_key_ = std::move(key);
    key_listener_ = std::move(listener);
  }

 private:
  void ApplyChange(const StoreItem& item);
  void OnItem(const StoreItem& item);
  void OnRunner(const StoreItem& item);
  void OnGatewayItem(const StoreItem& item);

  GatewayContext* context_;
  ConfigDriver* config_;
  std::function<void()> on_change_;
  LeaderListener leader_listener_;
  /// The one key whose position `key_listener_` receives.
  std::string listener_key_;
  KeyListener key_listener_;
  ProofListener proof_listener_;
  std::string item_prefix_;
  StoreItemListener* item_listener_ = nullptr;
  PrefixFollower follower_;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_FLEET_FOLLOWER_H_
