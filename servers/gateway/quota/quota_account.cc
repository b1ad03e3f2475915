#include "servers/gateway/quota/quota_account.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "servers/gateway/quota/quota_bucket.h"
#include "servers/gateway/quota/quota_issuer.h"

namespace shallot::gateway {
namespace {

/// Calls that cost at most this share of what the rate yields in a second are asked for ahead.
constexpr double kSmallShare = 0.01;
/// Demand ahead of which tokens are asked for, in seconds, and the number of further calls.
constexpr double kAheadS = 0.1;
constexpr double kAheadCalls = 2;
/// Without small calls for this long, no tokens are kept for them.
constexpr Seconds kSmallMemory{5};
/// Predictions end here, also if an issuer has no members yet.
constexpr Millis kLongestWait{60'000};
constexpr Millis kUnknownWait{1'000};
/// Rounding errors must not keep a call from its tokens.
constexpr double kRounding = 1e-6;
/// Tokens with at least this much time left are kept. Without calls, a gateway asks twice in the
/// lifetime of its tokens, so that none expire unused.
constexpr Millis kFresh{600};
/// Tokens that have less time left are given back while they are valid.
constexpr Millis kAboutToExpire{150};
/// Costs of waiting calls that one request states, for each team.
constexpr size_t kMaxCosts = 64;

double SecondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

double QuotaCost(const TeamQuota& quota, const CallRequest& call) {
  if (quota.unit == QuotaUnit::kCalls) return 1;
  const uint64_t tokens = call.prompt_tokens + call.max_output_tokens;
  return static_cast<double>(tokens > 0 ? tokens : quota.plain_tokens);
}

void QuotaAccount::SetQuotas(const std::map<TeamName, Team>& teams, BootTime now) {
  std::erase_if(teams_, [&](const auto& entry) {
    const auto found = teams.find(entry.first);
    return found == teams.end() || !found->second.quota.limited();
  });
  for (const auto& [name, team] : teams) {
    if (!team.quota.limited()) continue;
    TeamState& state = teams_[name];
    const bool lowered = team.quota.rate_per_s < state.quota.rate_per_s ||
                         team.quota.burst < state.quota.burst ||
                         team.quota.unit != state.quota.unit;
    if (lowered) {
      state.batches.clear();
      state.granted_at.reset();
      state.valid_from = now;
    }
    state.quota = team.quota;
  }
}

void QuotaAccount::DropExpired(TeamState* state, BootTime now) {
  std::erase_if(state->batches,
                [&](const Batch& batch) { return batch.expires <= now || batch.tokens <= 0; });
}

double QuotaAccount::Sum(const TeamState& state, BootTime now) {
  double sum = 0;
  for (const Batch& batch : state.batches) {
    if (batch.expires > now) sum += batch.tokens;
  }
  return sum;
}

double QuotaAccount::Balance(const TeamName& team, BootTime now) const {
  const auto found = teams_.find(team);
  return found == teams_.end() ? 0 : Sum(found->second, now);
}

std::vector<TeamName> QuotaAccount::Teams() const {
  std::vector<TeamName> names;
  for (const auto& [name, state] : teams_) names.push_back(name);
  return names;
}

Millis QuotaAccount::Predict(const TeamState& state, double cost, double earlier, BootTime now) {
  if (!state.granted_at) return kUnknownWait;
  const TeamGrant& grant = state.grant;
  const double level = grant.level + grant.fill_per_s * SecondsOf(now - *state.granted_at);
  const double held = Sum(state, now);
  const double missing =
      grant.before + earlier - held + NeededFor(cost, grant.capacity, grant.debt) - level;
  if (missing <= 0) return Millis(0);
  if (grant.fill_per_s <= 0) return kUnknownWait;
  const double wait_ms = std::ceil(missing / grant.fill_per_s * 1'000);
  return std::min(kLongestWait, Millis(static_cast<int64_t>(std::min(wait_ms, 1e6))));
}

QuotaVerdict QuotaAccount::Admit(const TeamName& team, QuotaTicket ticket, double cost,
                                 Millis target_latency, BootTime now) {
  const auto found = teams_.find(team);
  if (found == teams_.end()) return {};
  TeamState& state = found->second;
  DropExpired(&state, now);
  double earlier = 0;
  auto own = state.waiting.begin();
  while (own != state.waiting.end() && own->ticket != ticket) earlier += (own++)->cost;
  if (own == state.waiting.end()) {
    if (cost <= std::max(static_cast<double>(state.quota.plain_tokens),
                         state.quota.rate_per_s * kSmallShare)) {
      const double passed_s = SecondsOf(now - state.small_at);
      state.small_per_s = state.small_per_s * std::exp(-passed_s) + cost;
      state.small_cost =
          passed_s > SecondsOf(kSmallMemory) ? cost : std::max(state.small_cost, cost);
      state.small_at = now;
    }
    own = state.waiting.insert(own, {ticket, cost, now});
  }
  if (Sum(state, now) - earlier >= cost - kRounding) {
    double left = cost;
    for (Batch& batch : state.batches) {
      const double taken = std::min(left, batch.tokens);
      batch.tokens -= taken;
      left -= taken;
    }
    DropExpired(&state, now);
    state.waiting.erase(own);
    return {QuotaVerdict::State::kAdmitted, Millis(0)};
  }
  const Millis limit = target_latency / kWaitPart;
  const Duration waited = now - own->since;
  const Millis predicted = Predict(state, cost, earlier, now);
  // Without a recent response, the quota may have room again.
  const bool informed = state.granted_at && now - *state.granted_at <= kResponseTime;
  const Duration beyond = std::max(Duration(0), waited - kLateResponse) + predicted;
  const bool refused = informed ? beyond > limit : waited > std::max(limit, kLongestResponse);
  if (!refused) return {QuotaVerdict::State::kWait, predicted};
  state.waiting.erase(own);
  withdrawn_ = true;
  return {QuotaVerdict::State::kRefused, std::max(Millis(1), predicted)};
}

void QuotaAccount::Cancel(const TeamName& team, QuotaTicket ticket) {
  const auto found = teams_.find(team);
  if (found == teams_.end()) return;
  std::erase_if(found->second.waiting,
                [&](const Waiting& waiting) { return waiting.ticket == ticket; });
  withdrawn_ = true;
}

void QuotaAccount::Refund(const TeamName& team, double cost, BootTime admitted_at, BootTime now) {
  const auto found = teams_.find(team);
  // Later, the rate has yielded new tokens, and both could be used in one window.
  const BootTime expires = admitted_at + kTokenLifetime;
  if (found == teams_.end() || expires <= now || admitted_at < found->second.valid_from) return;
  auto& batches = found->second.batches;
  const auto at = std::find_if(batches.begin(), batches.end(),
                               [&](const Batch& batch) { return batch.expires > expires; });
  batches.insert(at, {cost, expires});
}

double QuotaAccount::AheadTarget(const TeamState& state, BootTime now) {
  const double passed_s = SecondsOf(now - state.small_at);
  if (passed_s > SecondsOf(kSmallMemory)) return 0;
  return state.small_per_s * std::exp(-passed_s) * kAheadS + state.small_cost * kAheadCalls;
}

bool QuotaAccount::Due(const InstanceId& issuer, Millis pause, BootTime now) const {
  const Duration passed = now - asked_at_;
  if (passed >= kIdlePause || hurry_ || issuer != last_issuer_) return true;
  if (passed < pause && issuer != self_) return false;
  if (withdrawn_) return true;
  return std::any_of(teams_.begin(), teams_.end(), [&](const auto& entry) {
    const TeamState& state = entry.second;
    const double held = Sum(state, now);
    const double target = AheadTarget(state, now);
    double waiting = 0;
    for (const Waiting& call : state.waiting) waiting += call.cost;
    if (!state.batches.empty() && held > 0 &&
        state.batches.front().expires - now < kAboutToExpire) {
      return true;
    }
    if (waiting > 0 || held > waiting + target * 2 + kRounding) return true;
    return held < target / 2 && passed >= pause * 2;
  });
}

TeamAsk QuotaAccount::AskFor(const TeamName& team, TeamState* state, BootTime now) const {
  TeamAsk ask{team, {}, 0, 0};
  DropExpired(state, now);
  double held = Sum(*state, now);
  for (const Waiting& call : state->waiting) {
    if (held >= call.cost - kRounding && ask.costs.empty()) {
      held -= call.cost;
      continue;
    }
    // Tokens that are held reduce what the first call lacks.
    const double lacks = call.cost - held;
    held = 0;
    ask.costs.push_back(lacks);
    if (ask.costs.size() >= kMaxCosts) break;
  }
  if (!ask.costs.empty()) return ask;
  const double target = AheadTarget(*state, now);
  // Tokens are asked for anew some time before they expire.
  double fresh = 0;
  double expiring = 0;
  for (const Batch& batch : state->batches) {
    if (batch.expires - now > kFresh) fresh += batch.tokens;
    if (batch.expires - now < kAboutToExpire) expiring += batch.tokens;
  }
  if (fresh < target) ask.ahead = target - fresh;
  ask.returned = std::min(held, std::max(held - target, expiring));
  if (ask.returned <= kRounding) ask.returned = 0;
  double left = ask.returned;
  for (Batch& batch : state->batches) {
    const double taken = std::min(left, batch.tokens);
    batch.tokens -= taken;
    left -= taken;
  }
  DropExpired(state, now);
  return ask;
}

QuotaAsk QuotaAccount::MakeAsk(const InstanceId& issuer, uint64_t known_gateways, bool leaving,
                               BootTime now) {
  IssuerState& state = issuers_[issuer];
  QuotaAsk ask;
  ask.gateway = self_;
  ask.number = ++last_number_;
  ask.seen = state.seen;
  ask.known_gateways = known_gateways;
  ask.leaving = leaving;
  sent_.push_back({ask.number, issuer, now, leaving});
  while (now - sent_.front().at > kTokenLifetime) sent_.pop_front();
  return ask;
}

QuotaAsk QuotaAccount::MakeProbe(const InstanceId& issuer, uint64_t known_gateways, BootTime now) {
  return MakeAsk(issuer, known_gateways, false, now);
}

std::optional<QuotaAsk> QuotaAccount::TakeLeave(const InstanceId& issuer, BootTime now) {
  const auto found = issuers_.find(issuer);
  if (found == issuers_.end() || found->second.counted_until <= now) return std::nullopt;
  return MakeAsk(issuer, 0, true, now);
}

std::optional<QuotaAsk> QuotaAccount::TakeAsk(const InstanceId& issuer, uint64_t known_gateways,
                                              BootTime now) {
  const auto many = static_cast<int64_t>(std::max(known_gateways, kGatewaysAtAskPause));
  const Millis pause =
      std::min(kIdlePause, kAskPause * many / static_cast<int64_t>(kGatewaysAtAskPause));
  if (teams_.empty() || !Due(issuer, pause, now)) return std::nullopt;
  asked_at_ = now;
  last_issuer_ = issuer;
  hurry_ = false;
  withdrawn_ = false;
  QuotaAsk ask = MakeAsk(issuer, known_gateways, false, now);
  BootTime joins_at = std::max(start_until_, now);
  for (const auto& [other, state] : issuers_) {
    if (other != issuer) joins_at = std::max(joins_at, state.counted_until);
  }
  std::erase_if(issuers_, [&](const auto& entry) {
    return entry.first != issuer && entry.second.counted_until < now &&
           now - entry.second.stamped_at > kTokenLifetime * 2;
  });
  IssuerState& state = issuers_[issuer];
  const bool unanswered = state.unanswered_since.has_value();
  if (!unanswered) state.unanswered_since = now;
  ask.joins_in = joins_at - now;
  if (!state.stamp || now - state.stamped_at >= kTokenLifetime) return ask;
  ask.stamp = state.stamp;
  // Requests without a response must not prolong the membership, so that it ends soon when this
  // gateway turns to another issuer.
  ask.held = std::max(Duration(0), *state.unanswered_since - state.stamped_at);
  state.counted_until =
      std::max(state.counted_until, *state.unanswered_since + QuotaIssuer::kMemberTime);
  for (auto& [team, team_state] : teams_) {
    TeamAsk team_ask = AskFor(team, &team_state, now);
    const bool asks_costs = !team_ask.costs.empty();
    // Most teams of most gateways need nothing most of the time.
    if (asks_costs || team_state.asked_costs || team_ask.ahead > 0 || team_ask.returned > 0) {
      ask.teams.push_back(std::move(team_ask));
    }
    team_state.asked_costs = asks_costs;
  }
  return ask;
}

std::optional<BootTime> QuotaAccount::OnGrant(const QuotaGrant& grant, BootTime now) {
  const auto sent = std::find_if(sent_.begin(), sent_.end(), [&](const Sent& entry) {
    return entry.number == grant.number && entry.issuer == grant.issuer;
  });
  if (sent == sent_.end()) return std::nullopt;
  const Sent request = *sent;
  sent_.erase(sent);
  if (now - request.at >= kTokenLifetime) return std::nullopt;
  IssuerState& state = issuers_[grant.issuer];
  if (request.leaving) {
    state.counted_until = now;
    return request.at;
  }
  const bool unproved = !state.stamp || now - state.stamped_at >= kTokenLifetime;
  if (unproved || grant.stamp > *state.stamp) {
    if (unproved && grant.issuer == last_issuer_) hurry_ = true;
    state.stamp = grant.stamp;
    state.stamped_at = now;
  }
  state.seen = std::max(state.seen, grant.number);
  state.unanswered_since.reset();
  for (const TeamGrant& granted : grant.teams) {
    const auto found = teams_.find(granted.team);
    if (found == teams_.end() || request.at < found->second.valid_from) continue;
    TeamState& team = found->second;
    if (grant.issuer == last_issuer_) {
      team.grant = granted;
      team.granted_at = now;
    }
    if (granted.tokens > 0) {
      team.batches.push_back({granted.tokens, request.at + kTokenLifetime});
    }
  }
  return request.at;
}

}  // namespace shallot::gateway
