#include "servers/gateway/leader_election.h"

#include "core/hashing.h"

namespace shallot::gateway {

LeaderElection::LeaderElection(InstanceId self, Millis term, bool orders_fenced,
                               uint64_t jitter_seed, bool weak)
    : self_(std::move(self)),
      term_(term),
      jitter_(StableHash(self_.value(), jitter_seed) % static_cast<uint64_t>(kRetryPause.count())),
      weak_(weak),
      orders_fenced_(orders_fenced) {}

bool LeaderElection::Leads(BootTime now) const {
  if (!leading_ || stopped_) return false;
  return now + kMargin < lease_end_ || WithinOutageGrace(now);
}

bool LeaderElection::WithinOutageGrace(BootTime now) const {
  return orders_fenced_ && renewal_unanswered_at_ && now - *renewal_unanswered_at_ < kOutageGrace;
}

bool LeaderElection::MayClaim() const {
  if (!record_known_) return false;
  if (!record_) return true;
  // A record of this instance is left over from before a restart or an outage: one instance is one
  // holder. A weak one lets it end, so that a stronger gateway takes over.
  return record_->holder == self_ && !(weak_ && stronger_notice_lag_);
}

Millis LeaderElection::ClaimDelay() const {
  if (!weak_) return Millis(0);
  return kWeakClaimDelay + stronger_notice_lag_.value_or(Millis(0));
}

StoreRevision LeaderElection::ClaimCondition() const {
  return record_ ? record_->position.revision : StoreRevision(0);
}

LeaderElection::Action LeaderElection::Next(BootTime now) {
  if (leading_ && now >= lease_end_ && !WithinOutageGrace(now)) StepDown(now);
  if (action_pending_ || stopped_) return Action::kNone;
  if (leading_) {
    if (now < next_renewal_) return Action::kNone;
    action_pending_ = true;
    return Action::kRenew;
  }
  if (!MayClaim() || now < next_try_) return Action::kNone;
  action_pending_ = true;
  return lease_ == LeaseId() ? Action::kCreateLease : Action::kClaim;
}

void LeaderElection::OnRecord(const std::optional<LeaderRecord>& record, StorePosition as_of,
                              BootTime now) {
  // A record that predates this gateway's claim says nothing about that claim.
  if (leading_ && as_of < claimed_at_) return;
  if (!record && (record_ || !record_known_)) next_try_ = std::max(next_try_, now + ClaimDelay());
  record_ = record;
  record_known_ = true;
  const bool own = record && record->holder == self_ && record->position == claimed_at_;
  if (leading_ && !own) StepDown(now);
}

void LeaderElection::OnLease(const std::optional<LeaseId>& lease, Millis term, BootTime sent,
                             BootTime now) {
  action_pending_ = false;
  if (!lease) {
    next_try_ = now + kRetryPause + Millis(jitter_);
    return;
  }
  lease_ = *lease;
  lease_sent_ = sent;
  term_ = term;
}

void LeaderElection::OnClaim(const std::optional<StorePosition>& position, bool conflict,
                             BootTime now) {
  action_pending_ = false;
  if (!position) {
    // The record is gone or another gateway's: the watch tells which.
    if (conflict && record_ && record_->holder == self_) record_known_ = false;
    // The lease of a claim with an unknown outcome is left to expire.
    lease_ = LeaseId();
    next_try_ = now + kRetryPause + Millis(jitter_);
    return;
  }
  claimed_at_ = *position;
  leading_ = true;
  lease_end_ = lease_sent_ + term_;
  next_renewal_ = lease_sent_ + term_ / kRenewalsPerTerm;
  record_ = LeaderRecord{self_, "", claimed_at_};
}

void LeaderElection::OnRenewed(LeaseRenewal renewal, BootTime sent, BootTime now) {
  action_pending_ = false;
  if (!leading_) return;
  if (renewal == LeaseRenewal::kLost) {
    StepDown(now);
    return;
  }
  if (renewal == LeaseRenewal::kDone) {
    renewal_unanswered_at_.reset();
    lease_end_ = sent + term_;
    next_renewal_ = sent + term_ / kRenewalsPerTerm;
    return;
  }
  renewal_unanswered_at_ = now;
  next_renewal_ = now + kRetryPause / 2;
}

void LeaderElection::OnStoreRestored(BootTime now) {
  if (leading_) StepDown(now);
  lease_ = LeaseId();
  record_.reset();
  record_known_ = false;
  next_try_ = now;
}

void LeaderElection::OnLeaderNotice(FencingNumber fence, BootTime now) {
  if (leading_ && fence > this->fence()) StepDown(now);
}

void LeaderElection::OnFenced(BootTime now) {
  if (leading_) StepDown(now);
}

void LeaderElection::StepDown(BootTime now) {
  leading_ = false;
  renewal_unanswered_at_.reset();
  lease_ = LeaseId();
  next_try_ = now + kRetryPause + Millis(jitter_);
}

}  // namespace shallot::gateway
