#include "servers/gateway/quota/quota_exchange.h"

namespace shallot::gateway {

void QuotaExchange::SetQuotas(const std::map<TeamName, Team>& teams,
                              const QuotaTolerance& tolerance, BootTime now) {
  account_.SetQuotas(teams, now);
  issuer_.SetQuotas(teams, tolerance, now);
}

std::vector<QuotaExchange::Outgoing> QuotaExchange::Tick(const QuotaFleet& fleet, BootTime now) {
  std::vector<Outgoing> outgoing;
  if (!account_.active()) return outgoing;
  issuer_.SetKnownGateways(fleet.listed, now);
  choice_.SetCandidates(fleet.candidates);
  const InstanceId issuer = choice_.Current(now);
  if (issuer != current_ && !current_.empty()) {
    if (auto leave = account_.TakeLeave(current_, now)) {
      if (current_ == self_) {
        OnGrant(issuer_.Issue(*leave, now), now);
      } else {
        outgoing.emplace_back(current_, std::move(*leave));
      }
    }
  }
  current_ = issuer;
  for (const InstanceId& probe : choice_.TakeProbes(now)) {
    outgoing.emplace_back(probe, account_.MakeProbe(probe, fleet.listed, now));
  }
  // The first request to itself only proves the time of the second one.
  for (int round = 0; round < 2; ++round) {
    auto ask = account_.TakeAsk(issuer, fleet.listed, now);
    if (!ask) break;
    if (issuer != self_) {
      choice_.OnAsked(issuer, now);
      outgoing.emplace_back(issuer, std::move(*ask));
      break;
    }
    OnGrant(issuer_.Issue(*ask, now), now);
  }
  return outgoing;
}

void QuotaExchange::OnGrant(const QuotaGrant& grant, BootTime now) {
  const auto asked_at = account_.OnGrant(grant, now);
  if (asked_at) choice_.OnAnswered(grant.issuer, *asked_at);
}

}  // namespace shallot::gateway
