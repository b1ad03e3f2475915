#ifndef SERVERS_GATEWAY_QUOTA_QUOTA_ISSUER_H_
#define SERVERS_GATEWAY_QUOTA_QUOTA_ISSUER_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <vector>

#include "servers/gateway/quota/issuer_choice.h"
#include "servers/gateway/quota/quota_bucket.h"
#include "servers/gateway/quota/quota_messages.h"

namespace shallot::gateway {

/// Issues the tokens of all teams to the gateways that ask. Every gateway has one and uses it when
/// others ask it; it then serves a share of each quota: that of the gateways that are its members.
///
/// A gateway is a member for kMemberTime from a time at which it provably asked, and no sooner than
/// other issuers have stopped counting it. So no gateway is a member of two issuers at a time, and
/// all issuers together never fill faster than the rate, in any partition, with messages that are
/// delayed and with gateways and issuers that are suspended. Gateways that are not yet members get
/// tokens, too. Waiting calls are served in the order in which their gateways asked. Not
/// thread-safe.
class QuotaIssuer {
 public:
  /// Gateways ask at least every half of this time.
  static constexpr Millis kMemberTime{1'000};
  /// A gateway with waiting calls that has not asked again for this long no longer waits.
  static constexpr Millis kWaitLifetime{250};
  /// Grants that a gateway has not confirmed within this time are taken for lost.
  static constexpr Millis kConfirmTime{250};

  /// Assumed number of gateways until the list is known. Usual deployments have more than twice as
  /// many, but a gateway that does not know the list has no configuration, either.
  static constexpr uint64_t kAssumedGateways = 12;

  explicit QuotaIssuer(InstanceId self) : self_(std::move(self)) {}

  void SetQuotas(const std::map<TeamName, Team>& teams, const QuotaTolerance& tolerance,
                 BootTime now);
  /// Number of gateways that the store lists; 0 if that is unknown. The largest number of the last
  /// minute counts, also those that other gateways state when they ask.
  void SetKnownGateways(uint64_t count, BootTime now);
  QuotaGrant Issue(const QuotaAsk& ask, BootTime now);

  /// Gateways that count as members now.
  uint64_t Members(BootTime now) const;
  uint64_t known_gateways() const { return known_; }

 private:
  struct Granted {
    uint64_t number = 0;
    BootTime at{};
    std::map<TeamName, double> tokens;
  };
  struct Member {
    BootTime from{};
    BootTime until{};
    /// Newest request.
    uint64_t last_number = 0;
    std::deque<Granted> unconfirmed;
  };
  struct Waiting {
    InstanceId gateway;
    double units = 0;
    BootTime asked_at{};
  };
  struct Pool {
    TeamQuota quota;
    QuotaBucket bucket;
    std::list<Waiting> waiting;
  };

  /// Adds to the integrals up to `now` and refills all buckets.
  void Advance(BootTime now);
  double Share(BootTime now) const;
  bool MostAreMembers(BootTime now) const;
  TeamGrant IssueTeam(const TeamAsk& ask, Pool* pool, const InstanceId& gateway, double unconfirmed,
                      uint64_t members, BootTime now);

  InstanceId self_;
  QuotaTolerance tolerance_;
  GatewayCount count_;
  uint64_t known_ = kAssumedGateways;
  std::map<InstanceId, Member> members_;
  std::map<TeamName, Pool> pools_;
  BootTime advanced_at_{};
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_QUOTA_QUOTA_ISSUER_H_
