#ifndef SERVERS_LEASE_KEEPER_H_
#define SERVERS_LEASE_KEEPER_H_

#include <cstdint>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/backoff.h"
#include "servers/platform_store.h"

namespace shallot {

/// Acquires, renews and releases one lease. Must outlive its calls to the store.
class LeaseKeeper {
 public:
  static constexpr Millis kTtl{10'000};
  /// The lease counts as lost this long before it expires, so that a write sent while it was held
  /// arrives before another router can acquire it.
  static constexpr Millis kMargin{2000};
  static constexpr Millis kRenewInterval{3000};
  /// Only this many routers, in order of preference, try to acquire the lease.
  static constexpr uint64_t kMaxCandidates = 3;

  LeaseKeeper(const Clock* clock, PlatformStore* store, StoreKey key, InstanceId holder,
              uint64_t seed);

  /// `rank` is the number of routers that are preferred to this one as holder; 0 means that this
  /// router is the preferred holder. The other candidates try less often, in case the preferred one
  /// cannot acquire the lease.
  void OnTick(uint64_t rank);
  /// Returns true until kMargin before the lease expires, measured by the boot clock.
  bool Held() const;
  /// Releases the lease and does not acquire it again.
  void Stop();

 private:
  void Acquire();
  void OnAnswer(BootTime sent, const Result<LeaseGrant>& grant);
  void Release();
  void HandOver(uint64_t rank, SteadyTime now);

  const Clock* clock_;
  PlatformStore* store_;
  StoreKey key_;
  InstanceId holder_;
  Backoff backoff_;
  BootTime expiry_{};
  BootTime renewed_{};
  SteadyTime next_try_ = SteadyTime::min();
  /// Time at which another router became the preferred holder while this one holds the lease.
  SteadyTime outranked_since_ = SteadyTime::max();
  SteadyTime next_hand_over_ = SteadyTime::min();
  bool in_flight_ = false;
  bool stopped_ = false;
};

}  // namespace shallot

#endif  // SERVERS_LEASE_KEEPER_H_
