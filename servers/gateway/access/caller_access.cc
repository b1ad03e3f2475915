#include "servers/gateway/access/caller_access.h"

#include <algorithm>
#include <iterator>
#include <set>

#include "servers/gateway/waiting_policy.h"

namespace shallot::gateway {
namespace {

/// Number of urgency levels.
constexpr uint64_t kLevels = 10;
/// Urgency levels per route rank; operators set the rank. Level 0 is the most urgent.
constexpr uint64_t kLevelsPerRouteRank = 2;
/// Routes whose target latency is at most this are more urgent than others of the same rank.
constexpr Millis kTightTargetLatency{1'000};

bool ProvedWithin(Millis bound, BootTime read_at, std::optional<BootTime> proved_at) {
  return proved_at && *proved_at >= read_at - Duration(bound);
}

/// `bound`: maximum age of the proof that was needed.
Denial Unproved(const CallRequest& call, const Route* route, Millis bound, BootTime read_at,
                std::optional<BootTime> proved_at) {
  std::optional<Millis> overdue;
  if (proved_at) overdue = std::chrono::duration_cast<Millis>(read_at - *proved_at) - bound;
  return {DenialReason::kUnproved, route, RetryAfterWithoutProof(overdue, call.id)};
}

AccessDecision DecideKey(const FleetRoutes& routes, const CallRequest& call, const Route& route,
                         BootTime read_at, std::optional<BootTime> proved_at,
                         const GatewayPolicy& policy) {
  const Team* team = call.caller_key.empty() ? nullptr : routes.FindTeam(call.caller_key);
  if (route.is_public) return Access{&route, team, true};
  if (team == nullptr) {
    if (ProvedWithin(policy.config_apply, read_at, proved_at)) {
      return Denial{DenialReason::kUnknownKey, &route};
    }
    return Unproved(call, &route, policy.config_apply, read_at, proved_at);
  }
  const Millis bound = RevokeBound(policy);
  if (policy.strict_revoke && !ProvedWithin(bound, read_at, proved_at)) {
    return Unproved(call, &route, bound, read_at, proved_at);
  }
  return Access{&route, team, true};
}

}  // namespace

const char* DenialReasonName(DenialReason reason) {
  switch (reason) {
    case DenialReason::kUnknownKey:
      return "unknown-key";
    case DenialReason::kNoRoute:
      return "no-route";
    case DenialReason::kUnproved:
      return "unproved";
  }
  return "unknown";
}

Millis RevokeBound(const GatewayPolicy& policy) {
  return std::max(Millis(0), policy.revoke_time - kRevokeMargin);
}

AccessDecision DecideAccess(const FleetRoutes& routes, const CallRequest& call, BootTime read_at,
                            std::optional<BootTime> proved_at, const GatewayPolicy& policy) {
  const Route* route = routes.Find(call.host, call.path);
  if (route == nullptr) {
    if (!routes.keys_required || ProvedWithin(policy.config_apply, read_at, proved_at)) {
      return Denial{DenialReason::kNoRoute, nullptr};
    }
    return Unproved(call, nullptr, policy.config_apply, read_at, proved_at);
  }
  if (!routes.keys_required) return Access{route, nullptr, false};
  return DecideKey(routes, call, *route, read_at, proved_at, policy);
}

AccessDecision DecideAccessAgain(const FleetRoutes& routes, const CallRequest& call,
                                 const Route& admitted, BootTime read_at,
                                 std::optional<BootTime> proved_at, const GatewayPolicy& policy) {
  if (!routes.keys_required) return Access{&admitted, nullptr, false};
  const Route* route = routes.Find(call.host, call.path);
  return DecideKey(routes, call, route == nullptr ? admitted : *route, read_at, proved_at, policy);
}

uint64_t CallUrgency(const FleetRoutes& routes, const Team* team, const Route& route) {
  const uint64_t loose_target = route.target_latency > kTightTargetLatency ? 1 : 0;
  // Larger ranks are not told apart, and must not overflow.
  const uint64_t route_rank = std::min(route.rank, kLevels);
  const uint64_t within = route_rank * kLevelsPerRouteRank + loose_target;
  std::set<uint64_t> ranks;
  for (const auto& [name, other] : routes.teams) {
    if (other.rank) ranks.insert(*other.rank);
  }
  if (ranks.empty()) return std::min(within, kLevels - 1);
  const auto position = team != nullptr && team->rank ? ranks.find(*team->rank) : ranks.end();
  const auto index = static_cast<uint64_t>(std::distance(ranks.begin(), position));
  // The last class is that of the calls without a rank.
  const uint64_t classes = ranks.size() + 1;
  const uint64_t first = index * kLevels / classes;
  const uint64_t end = (index + 1) * kLevels / classes;
  return end > first ? std::min(first + within, end - 1) : first;
}

}  // namespace shallot::gateway
