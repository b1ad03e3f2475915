#include "drivers/gateway/permit_driver.h"

#include <fmt/format.h>

#include "core/log.h"

namespace shallot::gateway {

bool PermitDriver::Tick() {
  const SteadyTime now = context_->loop.Now();
  if (!was_leader_ && placement_->Leads()) issuer_.Start(now);
  was_leader_ = placement_->Leads();
  ForgetGoneRunners();
  context_->limits.SetGateways(context_->KnownGateways());
  LogChanges();
  while (!requests_.empty() && now - requests_.front().second > RunnerLimits::kPermitLifetime) {
    requests_.pop_front();
  }
  PermitRequest request{context_->settings.instance, context_->settings.peer_address,
                        last_number_ + 1, context_->limits.TakeWishes(now)};
  if (request.wishes.empty()) return false;
  ++last_number_;
  requests_.emplace_back(last_number_, now);
  if (placement_->Leads()) {
    OnResponse(Issue(request));
    return true;
  }
  if (!context_->leader) return false;
  if (!context_->peers.Send(context_->leader->address, request)) {
    LogInfo("peer", "event=permit-request-not-sent leader=" + context_->leader->holder.value());
  }
  return false;
}

PermitResponse PermitDriver::Issue(const PermitRequest& request) {
  PermitResponse response{request.number, {}};
  for (const PermitWish& wish : request.wishes) {
    response.permits.push_back(issuer_.Issue(request.gateway, wish, context_->loop.Now()));
    context_->metrics->GetCounter("permits_issued_total").Add(response.permits.back().calls);
  }
  return response;
}

void PermitDriver::OnRequest(const PermitRequest& request) {
  // Without a response, the gateway uses its equal share until it knows the leader.
  if (!placement_->Leads()) return;
  if (!context_->peers.Send(request.address, Issue(request))) {
    LogInfo("peer", "event=permits-not-sent gateway=" + request.gateway.value());
  }
}

void PermitDriver::OnResponse(const PermitResponse& response) {
  for (const auto& [number, asked_at] : requests_) {
    if (number != response.number) continue;
    for (const Permits& permits : response.permits) {
      context_->limits.OnPermits(permits, asked_at, context_->loop.Now());
    }
    return;
  }
}

void PermitDriver::ForgetGoneRunners() {
  for (const LimitFinding& limit : context_->limits.Limited()) {
    const RunnerState* runner = context_->view.Find(limit.run.runner);
    if (runner != nullptr && runner->entry.born <= limit.run.born) continue;
    context_->limits.Forget(limit.run.runner, limit.run.born);
  }
}

void PermitDriver::LogChanges() {
  for (const LimitFinding& change : context_->limits.TakeLimitChanges()) {
    LogInfo("limits",
            fmt::format("event={} runner={} born={} calls_per_s={}",
                        change.calls_per_s > 0 ? "limit" : "limit-ended", change.run.runner.value(),
                        change.run.born.value(), change.calls_per_s));
  }
}

}  // namespace shallot::gateway
