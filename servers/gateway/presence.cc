#include "servers/gateway/presence.h"

namespace shallot::gateway {

Presence::Action Presence::Next(BootTime now) {
  if (under_way_ || now < due_) return Action::kNone;
  under_way_ = true;
  if (lease_ == LeaseId()) return Action::kCreateLease;
  return registered_ ? Action::kRenew : Action::kRegister;
}

void Presence::OnLease(const std::optional<LeaseId>& lease, BootTime now) {
  under_way_ = false;
  if (!lease) {
    due_ = now + kRetryPause;
    return;
  }
  lease_ = *lease;
  due_ = now;
}

void Presence::OnRegistered(const std::optional<StoreRevision>& revision, BootTime now) {
  under_way_ = false;
  if (!revision) {
    // The condition names an old revision or the response was lost; OnKey() resolves both cases.
    due_ = now + kRetryPause;
    return;
  }
  registered_ = true;
  key_ = *revision;
  due_ = now + kTerm / kRenewalsPerTerm;
}

void Presence::OnRenewed(LeaseRenewal renewal, BootTime now) {
  under_way_ = false;
  if (renewal == LeaseRenewal::kLost) {
    lease_ = LeaseId();
    registered_ = false;
    due_ = now;
    return;
  }
  due_ = now + (renewal == LeaseRenewal::kDone ? kTerm / kRenewalsPerTerm : kRetryPause);
}

void Presence::OnKey(const std::optional<StoreRevision>& key, StoreRevision as_of, BootTime now) {
  // A state from before the own write says nothing about that write.
  if (as_of < key_) return;
  key_ = key.value_or(StoreRevision(0));
  if (key || !registered_) return;
  // The key is gone although its lease was renewed; a new lease rules out the old one as the cause.
  registered_ = false;
  lease_ = LeaseId();
  due_ = now;
}

}  // namespace shallot::gateway
