#include "servers/gateway/quota/quota_issuer.h"

#include <algorithm>
#include <cmath>

namespace shallot::gateway {
namespace {

/// Longer pauses between two requests mean that the issuer was suspended or that few gateways ask.
constexpr Millis kLongestStep{600};

double SecondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

void QuotaIssuer::SetQuotas(const std::map<TeamName, Team>& teams, const QuotaTolerance& tolerance,
                            BootTime now) {
  Advance(now);
  tolerance_ = tolerance;
  std::erase_if(pools_, [&](const auto& entry) {
    const auto found = teams.find(entry.first);
    // Units of another kind are of no use.
    return found == teams.end() || !found->second.quota.limited() ||
           found->second.quota.unit != entry.second.quota.unit;
  });
  for (const auto& [name, team] : teams) {
    if (!team.quota.limited()) continue;
    Pool& pool = pools_[name];
    pool.quota = team.quota;
    pool.bucket.SetQuota(team.quota, tolerance);
  }
}

void QuotaIssuer::SetKnownGateways(uint64_t count, BootTime now) {
  if (count == 0) return;
  Advance(now);
  count_.OnListed(count, now);
  known_ = count_.Most();
}

uint64_t QuotaIssuer::Members(BootTime now) const {
  return static_cast<uint64_t>(std::count_if(
      members_.begin(), members_.end(),
      [&](const auto& entry) { return entry.second.from <= now && now < entry.second.until; }));
}

double QuotaIssuer::Share(BootTime now) const {
  return std::min(1.0, static_cast<double>(Members(now)) / static_cast<double>(known_));
}

bool QuotaIssuer::MostAreMembers(BootTime now) const { return Members(now) * 2 > known_; }

void QuotaIssuer::Advance(BootTime now) {
  if (now <= advanced_at_) return;
  Duration member_time{0};
  for (const auto& [gateway, member] : members_) {
    const BootTime from = std::max(member.from, advanced_at_);
    const BootTime until = std::min(member.until, now);
    if (from < until) member_time += until - from;
  }
  const Duration passed = now - advanced_at_;
  const double share_s =
      std::min(SecondsOf(passed), SecondsOf(member_time) / static_cast<double>(known_));
  // Only if most gateways were members at the begin and the end of a short step, they were members
  // throughout.
  const bool extra = passed < kLongestStep && MostAreMembers(advanced_at_) && MostAreMembers(now);
  advanced_at_ = now;
  const double share = Share(now);
  for (auto& [team, pool] : pools_) {
    pool.bucket.Refill(share_s, extra ? SecondsOf(passed) : 0, share, now);
  }
  std::erase_if(members_,
                [&](const auto& entry) { return entry.second.until + kMemberTime < now; });
}

QuotaGrant QuotaIssuer::Issue(const QuotaAsk& ask, BootTime now) {
  Advance(now);
  SetKnownGateways(ask.known_gateways, now);
  QuotaGrant grant{self_, ask.number, now, known_, {}};
  if (ask.leaving) {
    const auto found = members_.find(ask.gateway);
    if (found == members_.end()) return grant;
    found->second.until = std::min(found->second.until, now);
    found->second.last_number = std::max(found->second.last_number, ask.number);
    for (auto& [team, pool] : pools_) {
      std::erase_if(pool.waiting, [&](const Waiting& e) { return e.gateway == ask.gateway; });
    }
    return grant;
  }
  if (!ask.stamp) return grant;
  const BootTime sent_after = *ask.stamp + ask.held;
  // The request may have waited in the queue of a suspended process.
  if (sent_after > now || now - sent_after >= kMemberTime) return grant;
  Member& member = members_[ask.gateway];
  // A request that was overtaken by a newer one may state too little time to join.
  if (ask.number <= member.last_number) return grant;
  member.last_number = ask.number;
  if (ask.joins_in > Duration(0) || member.until < now || member.from > now) {
    member.from = now + ask.joins_in;
  }
  member.until = std::max(member.until, sent_after + kMemberTime);
  while (!member.unconfirmed.empty() && (member.unconfirmed.front().number <= ask.seen ||
                                         now - member.unconfirmed.front().at > kConfirmTime)) {
    member.unconfirmed.pop_front();
  }
  const uint64_t members = Members(now);
  Granted granted{ask.number, now, {}};
  for (const TeamAsk& team : ask.teams) {
    const auto found = pools_.find(team.team);
    if (found == pools_.end()) continue;
    double unconfirmed = 0;
    for (const Granted& earlier : member.unconfirmed) {
      const auto entry = earlier.tokens.find(team.team);
      if (entry != earlier.tokens.end()) unconfirmed += entry->second;
    }
    grant.teams.push_back(IssueTeam(team, &found->second, ask.gateway, unconfirmed, members, now));
    if (grant.teams.back().tokens > 0) granted.tokens[team.team] = grant.teams.back().tokens;
  }
  if (!granted.tokens.empty()) member.unconfirmed.push_back(std::move(granted));
  return grant;
}

TeamGrant QuotaIssuer::IssueTeam(const TeamAsk& ask, Pool* pool, const InstanceId& gateway,
                                 double unconfirmed, uint64_t members, BootTime now) {
  QuotaBucket& bucket = pool->bucket;
  bucket.Return(ask.returned);
  std::erase_if(pool->waiting,
                [&](const Waiting& entry) { return now - entry.asked_at > kWaitLifetime; });
  double before = 0;
  auto own = pool->waiting.begin();
  while (own != pool->waiting.end() && own->gateway != gateway) before += (own++)->units;

  TeamGrant grant;
  grant.team = ask.team;
  double waiting = 0;
  for (const double cost : ask.costs) {
    bucket.OnWanted(cost, now);
    // Tokens for this call are on their way.
    if (unconfirmed >= cost) {
      unconfirmed -= cost;
      continue;
    }
    if (waiting == 0 && bucket.Has(cost, before, now)) {
      bucket.Take(cost, now);
      grant.tokens += cost;
    } else {
      waiting += cost;
    }
  }
  if (own == pool->waiting.end()) {
    if (waiting > 0) pool->waiting.push_back({gateway, waiting, now});
  } else if (waiting > 0) {
    own->units = waiting;
    own->asked_at = now;
  } else {
    pool->waiting.erase(own);
  }
  double all = 0;
  for (const Waiting& entry : pool->waiting) all += entry.units;
  // Tokens ahead of demand must leave enough for calls at other gateways.
  const double spare = (bucket.level() - all) / 2;
  const double part =
      std::max(static_cast<double>(pool->quota.plain_tokens),
               bucket.capacity() / (2 * static_cast<double>(std::max<uint64_t>(1, members))));
  const double ahead = std::min(std::max(0.0, ask.ahead - unconfirmed), std::min(spare, part));
  if (waiting == 0 && ahead > 0 && (pool->quota.unit == QuotaUnit::kTokens || ahead >= 1)) {
    const double whole = pool->quota.unit == QuotaUnit::kCalls ? std::floor(ahead) : ahead;
    bucket.Take(whole, now);
    grant.tokens += whole;
  }
  grant.level = bucket.level();
  grant.before = waiting > 0 ? before : all;
  grant.fill_per_s = bucket.FillPerS(members * 2 > known_ && members < known_);
  grant.capacity = bucket.capacity();
  grant.debt = bucket.debt();
  return grant;
}

}  // namespace shallot::gateway
