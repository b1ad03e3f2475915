#ifndef SERVERS_GATEWAY_PRESENCE_H_
#define SERVERS_GATEWAY_PRESENCE_H_

#include <optional>

#include "core/clock.h"
#include "servers/gateway/leader_election.h"

namespace shallot::gateway {

/// Maintains this gateway's own key in the platform store, under a lease, so that the other
/// gateways know it. A gateway that has restarted takes over the key of its previous run
/// immediately instead of waiting for that run's lease to end, and a gateway whose key was removed
/// writes it again. Not thread-safe.
class Presence {
 public:
  static constexpr Millis kTerm{10'000};
  /// Renewals per lease; two consecutive ones may fail.
  static constexpr int64_t kRenewalsPerTerm = 3;
  /// Pause after a call that failed or whose condition another write had invalidated.
  static constexpr Millis kRetryPause{300};

  enum class Action {
    kNone,
    kCreateLease,  ///< Then OnLease.
    kRegister,     ///< Write the key under Condition() with lease(). Then OnRegistered.
    kRenew,        ///< Then OnRenewed.
  };

  /// Returns the next action; at most one is in progress at a time.
  Action Next(BootTime now);
  /// Revision that the key must have for the write to succeed; 0 if it must not exist.
  StoreRevision Condition() const { return key_position_.revision; }
  LeaseId lease() const { return lease_; }
  bool registered() const { return registered_; }

  void OnLease(const std::optional<LeaseId>& lease, BootTime now);
  /// `position`: that of the write; absent if it failed or its outcome is unknown.
  void OnRegistered(const std::optional<StorePosition>& position, BootTime now);
  void OnRenewed(LeaseRenewal renewal, BootTime now);
  /// The state of this gateway's key as of `as_of`; `key`: its position, absent if it does not
  /// exist.
  void OnKey(const std::optional<StorePosition>& key, StorePosition as_of, BootTime now);
  /// The store was restored from a copy: the lease may be gone, or another gateway's.
  void OnStoreRestored(BootTime now);

 private:
  LeaseId lease_;
  /// Position of the key as last read or written; its revision is 0 if the key is absent.
  StorePosition key_position_;
  bool registered_ = false;
  /// The store was restored and the key has not been read since.
  bool key_unknown_ = false;
  bool action_pending_ = false;
  BootTime next_action_at_{};
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_PRESENCE_H_
