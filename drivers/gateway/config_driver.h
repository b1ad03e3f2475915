#ifndef DRIVERS_GATEWAY_CONFIG_DRIVER_H_
#define DRIVERS_GATEWAY_CONFIG_DRIVER_H_

#include <functional>
#include <optional>
#include <string>

#include "drivers/gateway/gateway_context.h"
#include "servers/gateway/config_exchange.h"

namespace shallot::gateway {

/// Puts the operators' configuration into force, from the store or from another gateway, and
/// compares it with other gateways as ConfigExchange decides. Only a higher version replaces the
/// one in force.
class ConfigDriver {
 public:
  /// `on_change` is called after each change of the configuration.
  ConfigDriver(GatewayContext* context, std::function<void()> on_change);

  /// The store has this configuration. Returns its version: absent if it cannot be decoded, 0 if
  /// the key was removed.
  std::optional<FleetVersion> OnItem(const StoreItem& item);
  /// Another gateway has told its version.
  void OnVersion(const ConfigVersion& message);
  /// Another gateway has sent its configuration; ignored unless the store lists that gateway.
  void OnCopy(const ConfigCopy& message);
  /// Tells a gateway that has a higher version which one this gateway has, so that it sends a copy.
  void RequestCopy(const InstanceId& gateway, const std::string& address);
  /// Compares with other gateways when it is due. To be called frequently.
  void Tick();

 private:
  /// `source`: where the value comes from, for log lines. Returns the version of `value`.
  std::optional<FleetVersion> Apply(const std::string& value, const std::string& source);
  void Send(const InstanceId& gateway, const std::string& address, const PeerMessage& message);
  ConfigVersion OwnVersion() const;

  GatewayContext* context_;
  std::function<void()> on_change_;
  ConfigExchange exchange_;
  /// The configuration in force as the operators wrote it.
  std::string value_;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_CONFIG_DRIVER_H_
