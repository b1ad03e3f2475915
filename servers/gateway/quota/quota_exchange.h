#ifndef SERVERS_GATEWAY_QUOTA_QUOTA_EXCHANGE_H_
#define SERVERS_GATEWAY_QUOTA_QUOTA_EXCHANGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "servers/gateway/quota/issuer_choice.h"
#include "servers/gateway/quota/quota_account.h"
#include "servers/gateway/quota/quota_issuer.h"

namespace shallot::gateway {

/// What a gateway knows of the fleet when it decides whom to ask.
struct QuotaFleet {
  /// Gateways that may be issuers, other than by necessity.
  std::set<InstanceId> candidates;
  /// Number of gateways that the store lists; 0 if that is unknown.
  uint64_t listed = 0;
};

/// One gateway's part in the exchange of tokens: its account, the choice of its issuer, and the
/// issuer that it is for others and, if need be, for itself. Not thread-safe.
class QuotaExchange {
 public:
  /// A request and the gateway that it is for.
  using Outgoing = std::pair<InstanceId, QuotaAsk>;

  QuotaExchange(const InstanceId& self, BootTime started_at)
      : self_(self), choice_(self), account_(self, started_at), issuer_(self) {}

  void SetQuotas(const std::map<TeamName, Team>& teams, const QuotaTolerance& tolerance,
                 BootTime now);
  /// The requests to send. To be called every 20 ms. Requests to this gateway itself are answered
  /// at once.
  std::vector<Outgoing> Tick(const QuotaFleet& fleet, BootTime now);
  QuotaGrant OnAsk(const QuotaAsk& ask, BootTime now) { return issuer_.Issue(ask, now); }
  void OnGrant(const QuotaGrant& grant, BootTime now);

  QuotaAccount& account() { return account_; }
  const QuotaAccount& account() const { return account_; }
  const QuotaIssuer& issuer() const { return issuer_; }
  /// The gateway that issues tokens to this one; empty before the first request.
  const InstanceId& current() const { return current_; }

 private:
  InstanceId self_;
  IssuerChoice choice_;
  QuotaAccount account_;
  QuotaIssuer issuer_;
  InstanceId current_;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_QUOTA_QUOTA_EXCHANGE_H_
