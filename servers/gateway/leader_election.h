#ifndef SERVERS_GATEWAY_LEADER_ELECTION_H_
#define SERVERS_GATEWAY_LEADER_ELECTION_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/ids.h"

namespace shallot::gateway {

using LeaseId = StrongNumber<struct LeaseIdTag>;
/// Position in the platform store's history; rises with each change.
using StoreRevision = StrongNumber<struct StoreRevisionTag>;

/// Outcome of a lease's renewal; kLost: the lease has ended.
enum class LeaseRenewal { kDone, kLost, kUnknown };

/// The item that names the placement leader.
struct LeaderRecord {
  InstanceId holder;
  /// "IP:port" where the leader takes demand reports.
  std::string address;
  StoreRevision revision;

  bool operator==(const LeaderRecord&) const = default;
};

/// Elects the one gateway that gives placement orders: a lease on one key of the platform store,
/// written under the condition that nobody else has written it. The fencing number is the store
/// revision of that write, so it rises with each holder. Not thread-safe.
///
/// Where runners reject orders with an outdated fencing number, a leader whose renewals get no
/// answer goes on past its lease: in a store outage nobody else can take over, and placement would
/// stand still. If another holder has taken over after all, the first runner that has seen its
/// orders, or its first notice, ends this. Without fencing the lease is the limit.
class LeaderElection {
 public:
  /// Stop giving orders this long before the lease can end: an order takes a few milliseconds to
  /// reach its runner, and a late one up to half a second.
  static constexpr Millis kMargin{500};
  /// Renewals per lease: two may fail in a row.
  static constexpr int64_t kRenewalsPerTerm = 3;
  /// Pause after a failed try, doubled by jitter from the instance's name.
  static constexpr Millis kRetryPause{400};

  /// A leader may go on past its lease while its last renewal without an answer is newer than this.
  /// A process that was suspended has not tried, and must renew first.
  static constexpr Millis kHoldOverWindow{1'500};

  /// Lease where runners reject orders with an outdated fencing number. Two holders do no harm
  /// there, and cold models are loaded by nobody until the lease of a leader that is gone has
  /// ended.
  static constexpr Millis kFencedTerm{1'200};

  /// Lease to ask for. `order_lease`: the platform's window for holders that take turns, which
  /// binds where fencing numbers are not checked. `least_lease`: shortest lease of the store.
  static Millis Term(bool orders_fenced, Millis order_lease, Millis least_lease) {
    return std::max(orders_fenced ? kFencedTerm : order_lease, least_lease);
  }

  enum class Action {
    kNone,
    kCreateLease,  ///< Then OnLease.
    kClaim,        ///< Write the record under ClaimCondition() with lease(). Then OnClaim.
    kRenew,        ///< Then OnRenewed.
  };

  /// `term`: lease time, see Term().
  /// `orders_fenced`: runners reject orders with an outdated fencing number.
  LeaderElection(InstanceId self, Millis term, bool orders_fenced, uint64_t jitter_seed);

  /// What to do now; at most one action is under way at a time.
  Action Next(BootTime now);
  /// The record as the store had it at `revision`; absent when nobody led.
  void OnRecord(const std::optional<LeaderRecord>& record, StoreRevision revision, BootTime now);
  void OnLease(const std::optional<LeaseId>& lease, Millis term, BootTime sent, BootTime now);
  /// `revision`: of the write; absent when it failed or its outcome is unknown.
  void OnClaim(const std::optional<StoreRevision>& revision, BootTime now);
  void OnRenewed(LeaseRenewal renewal, BootTime sent, BootTime now);
  /// Another holder has given orders with a higher fencing number.
  void OnFenced(BootTime now);
  /// A notice of a leader with this fencing number was received.
  void OnOtherFence(FencingNumber fence, BootTime now);
  /// Stops leading and standing for election.
  void Stop() { stopped_ = true; }

  /// True while this gateway may give orders. Check right before each order.
  bool Leads(BootTime now) const;
  FencingNumber fence() const { return FencingNumber(fence_.value()); }
  LeaseId lease() const { return lease_; }
  /// Revision that the record must still have for a claim; 0: absent.
  StoreRevision ClaimCondition() const;
  const std::optional<LeaderRecord>& record() const { return record_; }

 private:
  bool MayClaim() const;
  bool HoldsOver(BootTime now) const;
  void StepDown(BootTime now);

  InstanceId self_;
  Millis term_;
  uint64_t jitter_;
  std::optional<LeaderRecord> record_;
  bool record_known_ = false;
  LeaseId lease_;
  BootTime lease_sent_{};
  BootTime lease_end_{};
  StoreRevision fence_;
  BootTime next_try_{};
  BootTime next_renewal_{};
  bool orders_fenced_;
  std::optional<BootTime> renewal_unanswered_at_;
  bool leading_ = false;
  bool under_way_ = false;
  bool stopped_ = false;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_LEADER_ELECTION_H_
