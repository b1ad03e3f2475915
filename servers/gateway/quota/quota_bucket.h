#ifndef SERVERS_GATEWAY_QUOTA_QUOTA_BUCKET_H_
#define SERVERS_GATEWAY_QUOTA_QUOTA_BUCKET_H_

#include <cstdint>
#include <deque>
#include <utility>

#include "core/clock.h"
#include "servers/gateway/fleet_routes.h"
#include "servers/gateway/gateway_policy.h"

namespace shallot::gateway {

/// How far the calls of a team may exceed its quota in one window.
struct QuotaTolerance {
  Duration window{0};
  double overshoot = 0;
  double slack = 0;

  static QuotaTolerance Of(const GatewayPolicy& policy) {
    return {policy.quota_window, policy.quota_overshoot, policy.quota_slack};
  }
  /// Units on top of the quota in one window.
  double Units(const TeamQuota& quota) const;
  /// The largest cost of all calls in one window.
  double Allowed(const TeamQuota& quota) const;

  bool operator==(const QuotaTolerance&) const = default;
};

/// Units that the bucket must hold before a call of this cost may take them. A call that costs more
/// than `capacity` takes the rest as debt of at most `debt`, which later refills pay.
double NeededFor(double cost, double capacity, double debt);

/// One issuer's part of a team's token bucket. `share` is the part of the fleet that the issuer
/// serves; over all issuers the shares add up to at most 1.
class QuotaBucket {
 public:
  void SetQuota(const TeamQuota& quota, const QuotaTolerance& tolerance);
  /// Adds what the rate yields. `share_s`: integral of the share since the last refill, in seconds.
  /// `extra_s`: seconds since then in which the issuer served more than half of the gateways.
  /// `share`: the share now.
  void Refill(double share_s, double extra_s, double share, BootTime now);
  /// Whether a call of this cost may take its units while `reserved` of them are for others.
  bool Has(double cost, double reserved, BootTime now) const;
  void Take(double cost, BootTime now);
  void Return(double units);
  /// Calls of this cost are wanted. While the capacity is too small for them, the bucket saves for
  /// one of them.
  void OnWanted(double cost, BootTime now);

  double level() const { return level_; }
  double capacity() const;
  double debt() const;
  double FillPerS(bool extra) const;

 private:
  static constexpr Millis kSlot{100};
  double ExtraPerS() const;
  void Limit();

  TeamQuota quota_;
  QuotaTolerance tolerance_;
  double level_ = 0;
  double share_ = 0;
  /// Largest wanted cost of the current and the previous window.
  double largest_ = 0;
  double previous_largest_ = 0;
  BootTime largest_since_{};
  /// Units taken in the last window, by slot.
  std::deque<std::pair<BootTime, double>> taken_;
  double taken_sum_ = 0;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_QUOTA_QUOTA_BUCKET_H_
