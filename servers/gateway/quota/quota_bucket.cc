#include "servers/gateway/quota/quota_bucket.h"

#include <algorithm>

namespace shallot::gateway {
namespace {

/// Part of the tolerance that the issuer of most gateways uses. Calls are owed up to the quota with
/// its tolerance, so what is left unused of it is refused to callers without need; at most one
/// issuer has most gateways at a time.
constexpr double kExtraPart = 0.5;
/// Part of the tolerance for debts of calls that cost more than a bucket holds. The rest is for
/// tokens that gateways hold when a window begins.
constexpr double kDebtPart = 0.25;

double SecondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

double QuotaTolerance::Units(const TeamQuota& quota) const {
  return (quota.rate_per_s * SecondsOf(window) + quota.burst) * overshoot + slack;
}

double QuotaTolerance::Allowed(const TeamQuota& quota) const {
  return quota.rate_per_s * SecondsOf(window) + quota.burst + Units(quota);
}

double NeededFor(double cost, double capacity, double debt) {
  return cost <= capacity ? cost : std::max(capacity, cost - debt);
}

void QuotaBucket::SetQuota(const TeamQuota& quota, const QuotaTolerance& tolerance) {
  quota_ = quota;
  tolerance_ = tolerance;
  Limit();
}

double QuotaBucket::capacity() const { return quota_.burst * share_; }

double QuotaBucket::debt() const { return kDebtPart * tolerance_.Units(quota_) * share_; }

double QuotaBucket::ExtraPerS() const {
  const double window_s = std::max(0.001, SecondsOf(tolerance_.window));
  return kExtraPart * tolerance_.Units(quota_) / window_s;
}

double QuotaBucket::FillPerS(bool extra) const {
  return quota_.rate_per_s * share_ + (extra ? ExtraPerS() : 0);
}

void QuotaBucket::Limit() {
  const double largest = std::max(largest_, previous_largest_);
  level_ = std::min(level_, std::max(capacity(), NeededFor(largest, capacity(), debt())));
}

void QuotaBucket::Refill(double share_s, double extra_s, double share, BootTime now) {
  share_ = share;
  level_ += quota_.rate_per_s * share_s + ExtraPerS() * extra_s;
  while (!taken_.empty() && now - taken_.front().first > tolerance_.window + kSlot) {
    taken_sum_ -= taken_.front().second;
    taken_.pop_front();
  }
  if (now - largest_since_ > tolerance_.window) {
    largest_since_ = now;
    previous_largest_ = std::exchange(largest_, 0);
  }
  Limit();
}

bool QuotaBucket::Has(double cost, double reserved, BootTime /*now*/) const {
  if (level_ - reserved < NeededFor(cost, capacity(), debt()) - 1e-6) return false;
  // Many issuers with small buckets may each run one call that is larger than its bucket.
  return cost <= capacity() || taken_sum_ + cost <= share_ * tolerance_.Allowed(quota_);
}

void QuotaBucket::Take(double cost, BootTime now) {
  level_ -= cost;
  taken_sum_ += cost;
  if (taken_.empty() || now - taken_.back().first > kSlot) {
    taken_.emplace_back(now, cost);
  } else {
    taken_.back().second += cost;
  }
}

void QuotaBucket::Return(double units) {
  level_ += units;
  Limit();
}

void QuotaBucket::OnWanted(double cost, BootTime now) {
  if (largest_since_ == BootTime()) largest_since_ = now;
  largest_ = std::max(largest_, cost);
}

}  // namespace shallot::gateway
