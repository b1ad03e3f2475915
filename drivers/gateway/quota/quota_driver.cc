#include "drivers/gateway/quota/quota_driver.h"

#include <fmt/format.h>

#include "core/log.h"

namespace shallot::gateway {
namespace {

/// A list with this gateway alone may be incomplete for this long after the start.
constexpr Seconds kLoneTime{10};

}  // namespace

void QuotaDriver::ApplyQuotas() {
  const QuotaTolerance tolerance = QuotaTolerance::Of(context_->settings.policy);
  if (context_->routes == nullptr) return;
  if (applied_ == context_->routes && tolerance_ == tolerance) return;
  applied_ = context_->routes;
  tolerance_ = tolerance;
  context_->quotas.SetQuotas(applied_->teams, tolerance, context_->clock->BootNow());
}

QuotaFleet QuotaDriver::Fleet() const {
  QuotaFleet fleet{context_->strong_gateways, context_->gateways.size()};
  const bool young = context_->loop.Now() - context_->started_at < kLoneTime;
  if (fleet.listed <= 1 && young) fleet.listed = 0;
  return fleet;
}

bool QuotaDriver::Tick() {
  const BootTime now = context_->clock->BootNow();
  ApplyQuotas();
  if (!context_->quotas.account().active()) return false;
  const InstanceId before = context_->quotas.current();
  for (auto& [issuer, ask] : context_->quotas.Tick(Fleet(), now)) {
    const auto found = context_->gateways.find(issuer);
    ask.address = context_->settings.peer_address;
    if (found == context_->gateways.end() || !context_->peers.Send(found->second, ask)) {
      LogInfo("peer", "event=quota-request-not-sent issuer=" + issuer.value());
    }
    context_->metrics->GetCounter("quota_requests_total").Add();
  }
  const InstanceId& issuer = context_->quotas.current();
  if (issuer == before) return issuer == context_->settings.instance;
  LogInfo("quota", fmt::format("event=issuer issuer={} before={}", issuer.value(),
                               before.empty() ? "none" : before.value()));
  context_->metrics->GetCounter("quota_issuer_changes_total").Add();
  return issuer == context_->settings.instance;
}

void QuotaDriver::OnAsk(const QuotaAsk& ask) {
  // The quotas may be newer than the last tick.
  const BootTime now = context_->clock->BootNow();
  ApplyQuotas();
  context_->metrics->GetCounter("quota_responses_total").Add();
  if (context_->peers.Send(ask.address, context_->quotas.OnAsk(ask, now))) return;
  LogInfo("peer", "event=quota-response-not-sent gateway=" + ask.gateway.value());
}

void QuotaDriver::OnGrant(const QuotaGrant& grant) {
  context_->quotas.OnGrant(grant, context_->clock->BootNow());
}

}  // namespace shallot::gateway
