#include <fmt/format.h>

#include <algorithm>

#include "core/log.h"
#include "drivers/gateway/call_session.h"

// The part of CallSession that charges calls to the quota of their team.
namespace shallot::gateway {

bool CallSession::ChargeQuota() {
  if (charged_at_ || attempts_.sent() > 0) return true;
  QuotaAccount& account = context_->quotas.account();
  if (quota_team_ == nullptr) {
    const Team* team = routes_->FindTeam(call_.caller_key);
    if (team == nullptr || !account.Limited(team->name)) return true;
    quota_team_ = team;
    quota_ticket_ = account.NewTicket();
    quota_cost_ = QuotaCost(team->quota, call_);
  }
  const TeamName& team = quota_team_->name;
  const BootTime now = context_->clock->BootNow();
  const QuotaVerdict verdict =
      account.Admit(team, quota_ticket_, quota_cost_, route_->target_latency, now);
  const auto count = [&](const char* result) {
    context_->metrics
        ->GetCounter(
            fmt::format("quota_calls_total{{team=\"{}\",result=\"{}\"}}", team.value(), result))
        .Add();
  };
  switch (verdict.state) {
    case QuotaVerdict::State::kAdmitted:
      charged_at_ = now;
      waiting_ = false;
      count("admitted");
      context_->metrics->GetCounter(fmt::format("quota_units_total{{team=\"{}\"}}", team.value()))
          .Add(static_cast<uint64_t>(quota_cost_));
      return true;
    case QuotaVerdict::State::kWait:
      if (!waiting_) {
        waiting_ = true;
        waiting_since_ = context_->loop.Now();
        count("waited");
      }
      return false;
    case QuotaVerdict::State::kRefused:
      break;
  }
  count("refused");
  LogInfo("quota",
          fmt::format("event=refused team={} cost={} balance={} issuer={} retry_after_ms={}",
                      team.value(), quota_cost_, account.Balance(team, now),
                      context_->quotas.current().value(), verdict.wait.count()),
          call_.id.value());
  // The caller must not be told that the call has not run if another arrival of it was sent.
  if (MustRunOnce() && !context_->sent_calls.BeforeRefusal(call_.id, false, context_->loop.Now())) {
    AnswerWithError(502, "a call with this id was sent to a runner before", std::nullopt);
    return false;
  }
  AnswerWithError(429, fmt::format("the quota of team {} is exhausted", team.value()),
                  std::max(kMinRetryAfter, verdict.wait));
  return false;
}

void CallSession::SettleQuota() {
  if (quota_team_ == nullptr) return;
  QuotaAccount& account = context_->quotas.account();
  account.Cancel(quota_team_->name, quota_ticket_);
  if (!charged_at_ || !attempts_.NeverRuns()) return;
  account.Refund(quota_team_->name, quota_cost_, *charged_at_, context_->clock->BootNow());
  charged_at_.reset();
}

}  // namespace shallot::gateway
