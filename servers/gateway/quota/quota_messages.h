#ifndef SERVERS_GATEWAY_QUOTA_QUOTA_MESSAGES_H_
#define SERVERS_GATEWAY_QUOTA_QUOTA_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/gateway/fleet_routes.h"

namespace shallot::gateway {

/// Amounts are in the unit of the team's quota: calls or tokens.
struct TeamAsk {
  TeamName team;
  /// Costs of the calls that wait, first come first.
  std::vector<double> costs;
  /// Wanted for calls that are expected soon.
  double ahead = 0;
  /// Unused tokens that the gateway gives back.
  double returned = 0;

  bool operator==(const TeamAsk&) const = default;
};

/// A gateway's request for tokens, sent to its quota issuer.
struct QuotaAsk {
  InstanceId gateway;
  /// "IP:port" where the gateway accepts the response.
  std::string address;
  /// Increases with each request of one run of the gateway.
  uint64_t number = 0;
  /// Highest number that a response of this issuer has echoed; 0 if there was none.
  uint64_t seen = 0;
  /// The issuer's time in its newest response, and how long ago that arrived. They prove that the
  /// request was sent later than `stamp` + `held`. Absent until the issuer has responded.
  std::optional<BootTime> stamp;
  Duration held{0};
  /// Time until no other issuer counts the gateway as its member.
  Duration joins_in{0};
  /// Number of gateways that this one knows.
  uint64_t known_gateways = 0;
  /// The gateway has another issuer now and must no longer be counted.
  bool leaving = false;
  std::vector<TeamAsk> teams;

  bool operator==(const QuotaAsk&) const = default;
};

struct TeamGrant {
  TeamName team;
  double tokens = 0;
  /// The issuer's bucket after this grant; negative while it is in debt.
  double level = 0;
  /// Costs of other gateways' calls that are served before those of this gateway.
  double before = 0;
  /// Units a second that the bucket gains.
  double fill_per_s = 0;
  double capacity = 0;
  /// A call that costs more than the capacity may leave this much debt.
  double debt = 0;

  bool operator==(const TeamGrant&) const = default;
};

/// The issuer's response to a QuotaAsk.
struct QuotaGrant {
  InstanceId issuer;
  /// Echo of the request's number.
  uint64_t number = 0;
  /// The issuer's time.
  BootTime stamp{};
  uint64_t known_gateways = 0;
  std::vector<TeamGrant> teams;

  bool operator==(const QuotaGrant&) const = default;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_QUOTA_QUOTA_MESSAGES_H_
