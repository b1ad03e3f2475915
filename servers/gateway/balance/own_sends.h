#ifndef SERVERS_GATEWAY_BALANCE_OWN_SENDS_H_
#define SERVERS_GATEWAY_BALANCE_OWN_SENDS_H_

#include <cstdint>
#include <deque>

#include "core/clock.h"

namespace shallot::gateway {

/// Calls that this gateway sent to one runner: those that its last report cannot contain, and how
/// many it recently got for all its models.
class OwnSends {
 public:
  /// A report can lack calls that were sent this long before it was read: it travels for 1 to 3 ms,
  /// and a gateway with 0.068 of a core reads it up to some tens of milliseconds later.
  static constexpr Millis kReportTravel{10};
  /// Time constant of Recent(); long enough that a gateway with one call a second has counts to
  /// compare.
  static constexpr Millis kRecentTime{20'000};

  void OnSent(SteadyTime now);
  /// A call that was sent at `sent_at` ended.
  void OnEnded(SteadyTime sent_at);
  /// The runner's load was reported.
  void OnReport(SteadyTime now);

  /// Calls in flight that the last report cannot contain.
  uint64_t Unreported() const { return unreported_.size(); }
  /// Calls in the last report that have ended since.
  uint64_t EndedSince() const { return ended_since_; }
  /// Number of calls sent within about kRecentTime, decaying.
  double Recent(SteadyTime now) const;

 private:
  /// When they were sent, in order.
  std::deque<SteadyTime> unreported_;
  uint64_t ended_since_ = 0;
  double recent_ = 0;
  SteadyTime recent_at_{};
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_BALANCE_OWN_SENDS_H_
