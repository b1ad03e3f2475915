#include "servers/gateway/runner_limits.h"

#include <algorithm>

#include "core/hashing.h"

namespace shallot::gateway {
namespace {

double SecondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

Millis TimePerCall(double calls_per_s) {
  constexpr double kLongest = 60'000;
  return Millis(static_cast<int64_t>(std::min(kLongest, 1000.0 / std::max(calls_per_s, 1e-3))));
}

}  // namespace

RunnerLimits::Limit* RunnerLimits::Find(const RunnerRun& run) {
  const auto found = limits_.find(run.runner);
  if (found != limits_.end() && found->second.born >= run.born) {
    return found->second.born == run.born ? &found->second : nullptr;
  }
  if (found == limits_.end() && limits_.size() >= kMaxRunners) return nullptr;
  Limit& limit = limits_[run.runner];
  limit = Limit();
  limit.born = run.born;
  return &limit;
}

void RunnerLimits::Change(const RunnerId& runner, Limit* limit, double calls_per_s) {
  if (limit->calls_per_s == calls_per_s) return;
  limit->calls_per_s = calls_per_s;
  limit_changes_.push_back({{runner, limit->born}, calls_per_s});
}

void RunnerLimits::OnAnswer(const RunnerRun& run, std::optional<double> calls_per_s,
                            SteadyTime sent_at, SteadyTime now) {
  if (!calls_per_s && !limits_.contains(run.runner)) return;
  Limit* limit = Find(run);
  if (limit == nullptr) return;
  if (calls_per_s) {
    limit->named_at = now;
    limit->ended_at.reset();
    if (limit->calls_per_s == *calls_per_s) return;
    // Only the first gateway that learns of a value tells the others.
    limit->own = true;
    changed_ = true;
    Change(run.runner, limit, *calls_per_s);
    return;
  }
  // An answer to an earlier call may arrive late.
  if (limit->calls_per_s == 0 || (limit->named_at && sent_at <= *limit->named_at)) return;
  limit->ended_at = now;
  limit->own = true;
  changed_ = true;
  Change(run.runner, limit, 0);
}

void RunnerLimits::Merge(const std::vector<LimitFinding>& findings, SteadyTime now) {
  for (const LimitFinding& finding : findings) {
    if (finding.calls_per_s == 0 && !limits_.contains(finding.run.runner)) continue;
    Limit* limit = Find(finding.run);
    if (limit == nullptr || limit->calls_per_s == finding.calls_per_s) continue;
    const bool own_is_newer =
        finding.calls_per_s > 0
            ? limit->named_at || (limit->ended_at && now - *limit->ended_at < kOwnEndTrust)
            : limit->named_at && now - *limit->named_at < kFindingLag;
    if (own_is_newer) continue;
    limit->own = false;
    if (finding.calls_per_s == 0) limit->named_at.reset();
    Change(finding.run.runner, limit, finding.calls_per_s);
  }
}

void RunnerLimits::Forget(const RunnerId& runner, RunnerStartTime born) {
  const auto found = limits_.find(runner);
  if (found == limits_.end() || found->second.born > born) return;
  if (found->second.own) changed_ = true;
  Change(runner, &found->second, 0);
  limits_.erase(found);
}

bool RunnerLimits::Unanswered(const Limit& limit, SteadyTime now) {
  return limit.unanswered_since && now - *limit.unanswered_since > Duration(kResponseTime);
}

Duration RunnerLimits::TurnPeriod(const Limit& limit) const {
  constexpr double kLongestS = 600;
  const double seconds = static_cast<double>(std::max<uint64_t>(gateways_, 1)) /
                         std::max(limit.calls_per_s, 1.0 / kLongestS);
  return std::max<Duration>(
      Millis(1), std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
}

SteadyTime RunnerLimits::NextTurn(const RunnerId& runner, const Limit& limit,
                                  SteadyTime now) const {
  const Duration period = TurnPeriod(limit);
  const uint64_t hash = StableHash(self_.value() + "/" + runner.value());
  const Duration phase(static_cast<int64_t>(hash % static_cast<uint64_t>(period.count())));
  const SteadyTime after = std::max(limit.last_turn, now - Duration(kPermitLifetime));
  const Duration since_phase = after.time_since_epoch() - phase;
  // The first turn later than `after`; the clock may be younger than the phase.
  const int64_t turns = since_phase < Duration(0) ? 0 : since_phase / period + 1;
  return SteadyTime(phase + period * turns);
}

bool RunnerLimits::HasPermit(const Limit& limit, SteadyTime now) {
  return limit.permits > 0 && now < limit.permits_until;
}

Millis RunnerLimits::PermitWait(const RunnerId& runner, SteadyTime now) const {
  const auto found = limits_.find(runner);
  if (found == limits_.end() || found->second.calls_per_s == 0) return Millis(0);
  const Limit& limit = found->second;
  if (HasPermit(limit, now)) return Millis(0);
  if (Unanswered(limit, now)) {
    const Duration until_turn = NextTurn(runner, limit, now) - now;
    if (until_turn <= Duration(0)) return Millis(0);
    const Duration before = TurnPeriod(limit) * static_cast<int64_t>(limit.wanted);
    return std::max(kAskTime, std::chrono::duration_cast<Millis>(until_turn + before));
  }
  // Calls of this gateway that came before this one get the next permits.
  const Millis before = TimePerCall(limit.calls_per_s) * static_cast<int64_t>(limit.wanted);
  const auto next = std::chrono::duration_cast<Millis>(limit.next_permit - now);
  return std::max(kAskTime, next) + before;
}

void RunnerLimits::OnSent(const RunnerId& runner, SteadyTime now) {
  const auto found = limits_.find(runner);
  if (found == limits_.end()) return;
  Limit& limit = found->second;
  if (HasPermit(limit, now)) {
    --limit.permits;
  } else if (limit.calls_per_s > 0) {
    limit.last_turn = NextTurn(runner, limit, now);
  }
}

void RunnerLimits::Want(const RunnerId& runner) {
  const auto found = limits_.find(runner);
  if (found != limits_.end()) ++found->second.wanted;
}

std::vector<PermitWish> RunnerLimits::TakeWishes(SteadyTime now) {
  std::vector<PermitWish> wishes;
  for (auto& [runner, limit] : limits_) {
    // While the leader does not respond, gateways ask whether it is back, also without calls.
    if (limit.calls_per_s == 0) limit.unanswered_since.reset();
    if (limit.wanted == 0 && !limit.unanswered_since) continue;
    const Millis pause = limit.wanted > 0 ? kAskPause : kResponseTime;
    if (now - limit.asked_at >= Duration(pause)) {
      limit.asked_at = now;
      if (!limit.unanswered_since) limit.unanswered_since = now;
      wishes.push_back({{runner, limit.born}, limit.calls_per_s, limit.wanted});
    }
    limit.wanted = 0;
  }
  return wishes;
}

void RunnerLimits::OnPermits(const Permits& permits, SteadyTime asked_at, SteadyTime now) {
  const auto found = limits_.find(permits.run.runner);
  if (found == limits_.end() || found->second.born != permits.run.born) return;
  // After a suspension of either side, the permits may have been meant for calls long gone.
  if (now - asked_at > Duration(kPermitLifetime) / 2) return;
  Limit& limit = found->second;
  limit.unanswered_since.reset();
  limit.next_permit = now + permits.next;
  if (permits.calls == 0) return;
  const uint64_t left = now < limit.permits_until ? limit.permits : 0;
  limit.permits = left + permits.calls;
  limit.permits_until = now + kPermitLifetime;
}

std::vector<LimitFinding> RunnerLimits::Own(SteadyTime now) const {
  std::vector<LimitFinding> findings;
  for (const auto& [runner, limit] : limits_) {
    if (!limit.own || findings.size() >= kMaxOwnFindings) continue;
    const bool told = limit.calls_per_s == 0 && limit.ended_at && now - *limit.ended_at > kEndTold;
    if (!told) findings.push_back({{runner, limit.born}, limit.calls_per_s});
  }
  return findings;
}

std::vector<LimitFinding> RunnerLimits::Limited() const {
  std::vector<LimitFinding> limited;
  for (const auto& [runner, limit] : limits_) {
    if (limit.calls_per_s > 0) limited.push_back({{runner, limit.born}, limit.calls_per_s});
  }
  return limited;
}

void PermitIssuer::Start(SteadyTime now) {
  buckets_.clear();
  started_at_ = now;
}

Permits PermitIssuer::Issue(const InstanceId& gateway, const PermitWish& wish, SteadyTime now) {
  if (!buckets_.contains(wish.run) && buckets_.size() >= kMaxBuckets) buckets_.clear();
  const double most = kBurstCalls + wish.calls_per_s * SecondsOf(kBurstTime);
  const bool settled = now - started_at_ > Duration(kWindow);
  const Bucket first = settled ? Bucket{most, now, {}} : Bucket{0, started_at_, {}};
  Bucket& bucket = buckets_.try_emplace(wish.run, first).first->second;
  bucket.permits = std::min(most, bucket.permits + wish.calls_per_s * SecondsOf(now - bucket.at));
  bucket.at = now;
  const auto calls = std::min(wish.calls, static_cast<uint64_t>(bucket.permits));
  bucket.permits -= static_cast<double>(calls);
  bucket.waiting[gateway] = {wish.calls - calls, now};
  uint64_t waiting = 0;
  std::erase_if(bucket.waiting, [&](const auto& entry) {
    const auto& [count, asked_at] = entry.second;
    waiting += count;
    return count == 0 || now - asked_at > Duration(kWishLifetime);
  });
  return {wish.run, calls, TimePerCall(wish.calls_per_s) * static_cast<int64_t>(waiting)};
}

}  // namespace shallot::gateway
