#ifndef SERVERS_GATEWAY_LEADER_ELECTION_H_
#define SERVERS_GATEWAY_LEADER_ELECTION_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/gateway/store_position.h"

namespace shallot::gateway {

/// Outcome of a lease renewal. kLost: the lease has ended. kUnknown: no response, or an
/// inconclusive one.
enum class LeaseRenewal { kDone, kLost, kUnknown };

/// The store item that names the placement leader.
struct LeaderRecord {
  InstanceId holder;
  /// "IP:port" where the leader accepts demand reports.
  std::string address;
  StorePosition position;
  /// Share of a core that the instance has; 0 if unknown.
  double cpu_share = 0;

  bool operator==(const LeaderRecord&) const = default;
};

/// Elects the one gateway that sends placement orders. The leader holds a lease on one key of the
/// platform store, written under the condition that no other gateway has written it. The fencing
/// number is made of the store era and revision of that write, so it increases with each holder.
/// Not thread-safe.
///
/// Where runners reject orders with an outdated fencing number, a leader whose renewals get no
/// response continues past its lease: during a store outage no other gateway can take over, and
/// placement would stop. If another holder has taken over after all, this leader steps down when
/// the first runner that has seen the new holder's orders rejects one of its own, or when the new
/// holder's first notice arrives. Without fencing, leadership ends with the lease.
class LeaderElection {
 public:
  /// A leader stops sending orders this long before its lease can end: an order takes a few
  /// milliseconds to reach its runner, and a late one up to half a second.
  static constexpr Millis kMargin{500};
  /// Renewals per lease; two consecutive ones may fail.
  static constexpr int64_t kRenewalsPerTerm = 3;
  /// Pause after a failed attempt; jitter from the instance's name adds up to the same time again.
  static constexpr Millis kRetryPause{400};

  /// A leader may continue past its lease while its last renewal without a response is more recent
  /// than this. A process that was suspended has not tried to renew, and must renew first.
  static constexpr Millis kOutageGrace{1'500};

  /// Lease duration where runners reject orders with an outdated fencing number. Two concurrent
  /// holders do no harm there, and nobody loads cold models until the lease of a leader that is
  /// gone has ended.
  static constexpr Millis kFencedTerm{1'200};

  /// Lease duration to request. `order_lease`: the platform's window for consecutive holders, which
  /// is binding where fencing numbers are not checked. `least_lease`: shortest lease that the store
  /// grants.
  static Millis Term(bool orders_fenced, Millis order_lease, Millis least_lease) {
    return std::max(orders_fenced ? kFencedTerm : order_lease, least_lease);
  }

  enum class Action {
    kNone,
    kCreateLease,  ///< Then OnLease.
    kClaim,        ///< Write the record under ClaimCondition() with lease(). Then OnClaim.
    kRenew,        ///< Then OnRenewed.
  };

  /// Instances with a smaller share of a core are weak: a large fleet's placement keeps such a
  /// leader from renewing its lease in time. They let others claim first.
  static constexpr double kWeakCpuShare = 0.15;
  /// Time from the end of another leader to a weak instance's claim, in which stronger gateways
  /// create a lease and claim. The time until they notice is added.
  static constexpr Millis kWeakClaimDelay{400};
  static bool IsWeak(double cpu_share) { return cpu_share < kWeakCpuShare; }

  /// `term`: lease duration, see Term(). `orders_fenced`: runners reject orders with an outdated
  /// fencing number. `weak`: see IsWeak().
  LeaderElection(InstanceId self, Millis term, bool orders_fenced, uint64_t jitter_seed,
                 bool weak = false);

  /// `notice_lag`: the longest time after which a gateway that is not weak notices that there is no
  /// leader; absent if no such gateway is known.
  void SetStrongerGateways(std::optional<Millis> notice_lag) { stronger_notice_lag_ = notice_lag; }

  /// Returns the next action; at most one is in progress at a time.
  Action Next(BootTime now);
  /// The record in the store as of `as_of`; absent if there was no leader.
  void OnRecord(const std::optional<LeaderRecord>& record, StorePosition as_of, BootTime now);
  void OnLease(const std::optional<LeaseId>& lease, Millis term, BootTime sent, BootTime now);
  /// `position`: that of the write; absent if it failed or its outcome is unknown. `conflict`: the
  /// store rejected the write because the record is not the expected one.
  void OnClaim(const std::optional<StorePosition>& position, bool conflict, BootTime now);
  void OnRenewed(LeaseRenewal renewal, BootTime sent, BootTime now);
  /// The store was restored from a copy: the lease may be gone, or another gateway's.
  void OnStoreRestored(BootTime now);
  /// A runner has rejected an order because of a higher fencing number.
  void OnFenced(BootTime now);
  /// A notice from a leader with this fencing number was received.
  void OnLeaderNotice(FencingNumber fence, BootTime now);
  /// Ends leadership and makes no further claims.
  void Stop() { stopped_ = true; }

  /// Whether this gateway may send orders. Check immediately before each order.
  bool Leads(BootTime now) const;
  FencingNumber fence() const { return FenceOf(claimed_at_); }
  LeaseId lease() const { return lease_; }
  /// Revision that the record must have for a claim to succeed; 0 if it must be absent.
  StoreRevision ClaimCondition() const;
  const std::optional<LeaderRecord>& record() const { return record_; }
  /// Whether a claim would replace the record under which this gateway has led, so that no other
  /// gateway can have led since. A record of its own that it has not led under, for example after a
  /// restart or a claim without an answer, may have replaced another gateway's a moment ago.
  bool ReclaimsOwnRecord() const {
    return record_ && record_->holder == self_ && record_->position == claimed_at_;
  }

 private:
  bool MayClaim() const;
  Millis ClaimDelay() const;
  bool WithinOutageGrace(BootTime now) const;
  void StepDown(BootTime now);

  InstanceId self_;
  Millis term_;
  uint64_t jitter_;
  bool weak_;
  std::optional<Millis> stronger_notice_lag_;
  std::optional<LeaderRecord> record_;
  bool record_known_ = false;
  LeaseId lease_;
  BootTime lease_sent_{};
  BootTime lease_end_{};
  /// Where this gateway's last successful claim was written.
  StorePosition claimed_at_;
  BootTime next_try_{};
  BootTime next_renewal_{};
  bool orders_fenced_;
  std::optional<BootTime> renewal_unanswered_at_;
  bool leading_ = false;
  bool action_pending_ = false;
  bool stopped_ = false;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_LEADER_ELECTION_H_
