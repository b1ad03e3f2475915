#include "servers/lease_keeper.h"

#include <algorithm>
#include <utility>

namespace shallot {
namespace {

/// Interval at which the preferred holder tries to acquire a lease that another router holds.
constexpr Millis kPreferredInterval{1000};
/// Time that another router must be the preferred holder before the lease is handed over.
constexpr Seconds kHandOverDelay{15};
/// Minimum time between hand-overs, in case the preferred holder does not acquire the lease.
constexpr Seconds kHandOverInterval{300};

}  // namespace

LeaseKeeper::LeaseKeeper(const Clock* clock, PlatformStore* store, StoreKey key, InstanceId holder,
                         uint64_t seed)
    : clock_(clock),
      store_(store),
      key_(std::move(key)),
      holder_(std::move(holder)),
      backoff_(Millis(200), Millis(5000), seed) {}

bool LeaseKeeper::Held() const {
  return !stopped_ && expiry_ != BootTime() && clock_->BootNow() < expiry_ - kMargin;
}

void LeaseKeeper::OnTick(uint64_t rank) {
  const SteadyTime now = clock_->SteadyNow();
  if (stopped_ || in_flight_ || !backoff_.Ready(now)) return;
  if (Held()) {
    if (clock_->BootNow() - renewed_ >= kRenewInterval) Acquire();
    return HandOver(rank, now);
  }
  if (rank >= kMaxCandidates) return;
  const Millis interval(kTtl.count() * static_cast<int64_t>(rank));
  if (rank > 0 && next_try_ == SteadyTime::min()) next_try_ = now + interval;
  // A router that has just become the preferred holder does not wait for its former schedule.
  if (rank == 0) next_try_ = std::min(next_try_, now + kPreferredInterval);
  if (now < next_try_) return;
  next_try_ = now + (rank == 0 ? kPreferredInterval : interval);
  Acquire();
}

void LeaseKeeper::HandOver(uint64_t rank, SteadyTime now) {
  if (rank == 0) {
    outranked_since_ = SteadyTime::max();
    return;
  }
  outranked_since_ = std::min(outranked_since_, now);
  if (in_flight_ || now < next_hand_over_ || now - outranked_since_ < kHandOverDelay) return;
  next_hand_over_ = now + kHandOverInterval;
  next_try_ = now + kTtl;
  outranked_since_ = SteadyTime::max();
  Release();
}

void LeaseKeeper::Acquire() {
  in_flight_ = true;
  const BootTime sent = clock_->BootNow();
  store_->AcquireLease(key_, holder_, kTtl,
                       [this, sent](const Result<LeaseGrant>& grant) { OnAnswer(sent, grant); });
}

void LeaseKeeper::OnAnswer(BootTime sent, const Result<LeaseGrant>& grant) {
  in_flight_ = false;
  if (IsOk(grant)) {
    backoff_.RecordSuccess();
    expiry_ = sent + ValueOf(grant).ttl;
    renewed_ = sent;
    if (stopped_) Release();
    return;
  }
  if (ErrorOf(grant).kind == ErrorKind::kConflict) {
    expiry_ = BootTime();
    return;
  }
  backoff_.RecordFailure(clock_->SteadyNow());
}

void LeaseKeeper::Release() {
  expiry_ = BootTime();
  // Errors are ignored: without a release the lease expires.
  store_->ReleaseLease(key_, holder_, [](const Status&) {});
}

void LeaseKeeper::Stop() {
  const bool held = Held();
  stopped_ = true;
  if (held) Release();
}

}  // namespace shallot
