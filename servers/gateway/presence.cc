#include "servers/gateway/presence.h"

namespace shallot::gateway {

Presence::Action Presence::Next(BootTime now) {
  if (action_pending_ || now < next_action_at_) return Action::kNone;
  if (key_unknown_ && lease_ != LeaseId()) return Action::kNone;
  action_pending_ = true;
  if (lease_ == LeaseId()) return Action::kCreateLease;
  return registered_ ? Action::kRenew : Action::kRegister;
}

void Presence::OnLease(const std::optional<LeaseId>& lease, BootTime now) {
  action_pending_ = false;
  if (!lease) {
    next_action_at_ = now + kRetryPause;
    return;
  }
  lease_ = *lease;
  next_action_at_ = now;
}

void Presence::OnRegistered(const std::optional<StorePosition>& position, BootTime now) {
  action_pending_ = false;
  if (!position) {
    // The condition names an old revision or the response was lost; OnKey() resolves both cases.
    next_action_at_ = now + kRetryPause;
    return;
  }
  registered_ = true;
  key_position_ = *position;
  next_action_at_ = now + kTerm / kRenewalsPerTerm;
}

void Presence::OnRenewed(LeaseRenewal renewal, BootTime now) {
  action_pending_ = false;
  if (renewal == LeaseRenewal::kLost) {
    lease_ = LeaseId();
    registered_ = false;
    next_action_at_ = now;
    return;
  }
  next_action_at_ = now + (renewal == LeaseRenewal::kDone ? kTerm / kRenewalsPerTerm : kRetryPause);
}

void Presence::OnKey(const std::optional<StorePosition>& key, StorePosition as_of, BootTime now) {
  // A state that predates this gateway's write says nothing about that write.
  if (as_of < key_position_) return;
  key_unknown_ = false;
  key_position_ = key.value_or(StorePosition{as_of.era, StoreRevision(0)});
  if (key || !registered_) return;
  // The key is gone although its lease was renewed; a new lease rules out the old one as the cause.
  registered_ = false;
  lease_ = LeaseId();
  next_action_at_ = now;
}

void Presence::OnStoreRestored(BootTime now) {
  lease_ = LeaseId();
  registered_ = false;
  key_unknown_ = true;
  next_action_at_ = now;
}

}  // namespace shallot::gateway
