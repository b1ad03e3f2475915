#ifndef SERVERS_GATEWAY_PRESENCE_H_
#define SERVERS_GATEWAY_PRESENCE_H_

#include <optional>

#include "core/clock.h"
#include "servers/gateway/leader_election.h"

namespace shallot::gateway {

/// Keeps this gateway's own key in the platform store, under a lease, so that the others know it.
/// A gateway that has restarted takes over the key of its earlier run at once instead of waiting
/// for that run's lease to end, and one whose key was removed writes it again. Not thread-safe.
class Presence {
 public:
  static constexpr Millis kTerm{10'000};
  /// Renewals per lease: two may fail in a row.
  static constexpr int64_t kRenewalsPerTerm = 3;
  /// Pause after a call that failed or lost against another write.
  static constexpr Millis kRetryPause{300};

  enum class Action {
    kNone,
    kCreateLease,  ///< Then OnLease.
    kRegister,     ///< Write the key under Condition() with lease(). Then OnRegistered.
    kRenew,        ///< Then OnRenewed.
  };

  /// What to do now; at most one action is under way at a time.
  Action Next(BootTime now);
  /// Revision that the key must have for the write; 0 when it must not exist.
  StoreRevision Condition() const { return key_; }
  LeaseId lease() const { return lease_; }
  bool registered() const { return registered_; }

  void OnLease(const std::optional<LeaseId>& lease, BootTime now);
  /// `revision`: that of the write; empty when it failed or its outcome is unknown.
  void OnRegistered(const std::optional<StoreRevision>& revision, BootTime now);
  void OnRenewed(LeaseRenewal renewal, BootTime now);
  /// News of the own key as of a store revision; `key`: its revision, empty when it is absent.
  void OnKey(const std::optional<StoreRevision>& key, StoreRevision as_of, BootTime now);

 private:
  LeaseId lease_;
  /// Revision of the key as last heard or written; 0 when absent.
  StoreRevision key_;
  bool registered_ = false;
  bool under_way_ = false;
  BootTime due_{};
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_PRESENCE_H_
