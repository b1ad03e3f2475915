#include "drivers/gateway/config_driver.h"

#include <fmt/format.h>

#include <set>
#include <utility>

#include "core/log.h"

namespace shallot::gateway {

ConfigDriver::ConfigDriver(GatewayContext* context, std::function<void()> on_change)
    : context_(context), on_change_(std::move(on_change)), exchange_(context->settings.instance) {}

std::optional<FleetVersion> ConfigDriver::OnItem(const StoreItem& item) {
  std::optional<FleetVersion> version = FleetVersion();
  if (!item.deleted) {
    version = Apply(item.value, fmt::format("store revision={}", item.position.revision.value()));
  }
  context_->proof.OnStoreConfig(item.position, version);
  return version;
}

void ConfigDriver::OnVersion(const ConfigVersion& message) {
  switch (exchange_.OnVersion(message.version, context_->loop.Now())) {
    case ConfigExchange::Response::kNone:
      return;
    case ConfigExchange::Response::kSendVersion:
      Send(message.gateway, message.address, OwnVersion());
      return;
    case ConfigExchange::Response::kSendCopy:
      LogInfo("config", fmt::format("event=config-copy-sent gateway={} version={} theirs={}",
                                    message.gateway.value(), exchange_.version().value(),
                                    message.version.value()));
      context_->metrics->GetCounter("config_copies_sent_total").Add();
      Send(message.gateway, message.address,
           ConfigCopy{context_->settings.instance, context_->settings.peer_address, value_});
      return;
  }
}

void ConfigDriver::OnCopy(const ConfigCopy& message) {
  // An address may be used again, by a gateway of another deployment.
  const auto sender = context_->gateways.find(message.gateway);
  if (sender == context_->gateways.end() || sender->second != message.address) {
    LogWarning("config", fmt::format("event=config-copy-rejected gateway={} address={}",
                                     message.gateway.value(), message.address));
    context_->metrics->GetCounter("config_copies_rejected_total").Add();
    return;
  }
  Apply(message.value, "gateway from=" + message.gateway.value());
}

std::optional<FleetVersion> ConfigDriver::Apply(const std::string& value,
                                                const std::string& source) {
  const auto decoded = context_->protocol->DecodeRoutes(value);
  if (!IsOk(decoded)) {
    LogError("config", fmt::format("event=config-invalid source={} reason=\"{}\"", source,
                                   FormatError(ErrorOf(decoded))));
    context_->metrics->GetCounter("config_invalid_total").Add();
    return std::nullopt;
  }
  const FleetRoutes& received = ValueOf(decoded);
  if (context_->routes && received.version <= context_->routes->version) {
    if (received.version < context_->routes->version) {
      LogWarning("config",
                 fmt::format("event=config-not-newer version={} in_force={} source={}",
                             received.version.value(), context_->routes->version.value(), source));
    }
    return received.version;
  }
  LogInfo("config", fmt::format("event=config-applied version={} routes={} source={}",
                                received.version.value(), received.routes.size(), source));
  context_->routes = std::make_shared<const FleetRoutes>(received);
  value_ = value;
  exchange_.OnApplied(received.version, context_->loop.Now());
  context_->proof.OnApplied(received.version);
  on_change_();
  return received.version;
}

void ConfigDriver::RequestCopy(const InstanceId& gateway, const std::string& address) {
  Send(gateway, address, OwnVersion());
}

ConfigVersion ConfigDriver::OwnVersion() const {
  return {context_->settings.instance, context_->settings.peer_address, exchange_.version()};
}

void ConfigDriver::Send(const InstanceId& gateway, const std::string& address,
                        const PeerMessage& message) {
  if (context_->peers.Send(address, message)) return;
  LogInfo("peer", "event=config-not-sent gateway=" + gateway.value());
}

void ConfigDriver::Tick() {
  const SteadyTime now = context_->loop.Now();
  if (!exchange_.Due(now)) return;
  std::set<InstanceId> gateways;
  for (const auto& [gateway, address] : context_->gateways) gateways.insert(gateway);
  for (const InstanceId& gateway : exchange_.TakePartners(gateways, now)) {
    Send(gateway, context_->gateways.at(gateway), OwnVersion());
  }
}

}  // namespace shallot::gateway
