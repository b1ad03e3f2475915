#ifndef SERVERS_GAP_KEEP_ALIVE_H_
#define SERVERS_GAP_KEEP_ALIVE_H_

#include <array>
#include <cstddef>
#include <memory>
#include <unordered_map>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/fleet_config.h"
#include "servers/keep_alive_policy.h"

namespace shallot {

/// Idle gaps in buckets whose bounds grow by the square root of 2 from 0.25 s to about 48 days.
/// Old gaps count less and less.
class GapHistogram {
 public:
  static constexpr size_t kBuckets = 48;

  void Record(Duration gap);
  /// Number of gaps, each decayed.
  double weight() const { return weight_; }
  /// Expected cost of one gap when the entry is unloaded after `keep` seconds idle.
  double Cost(double keep, double cold_cost, double idle_weight) const;
  /// Upper bound of a bucket in seconds.
  static double UpperBound(size_t bucket);

 private:
  std::array<float, kBuckets> counts_{};
  double weight_ = 0;
};

/// Keeps an idle entry loaded for the time t, between the policy's bounds, that minimises
/// `cold_weight * cold_time * P(gap > t) + idle_weight * E[min(gap, t)]` over the idle gaps seen.
class GapKeepAlive final : public KeepAlivePolicy {
 public:
  /// Below this many gaps an entry uses the gaps of all entries.
  static constexpr double kFewGaps = 8;

  /// Policies of the entries; null means default policies.
  void SetConfig(std::shared_ptr<const FleetConfig> config) { config_ = std::move(config); }
  /// Measured time of a cold start of the entry. Without one it is estimated from the size.
  void SetColdTime(const EntryId& entry, Millis cold_time) override {
    cold_times_[entry] = cold_time;
  }

  Millis KeepAlive(const EntryId& entry) const override;
  void OnCall(const EntryId& entry, SteadyTime now) override;

 private:
  struct History {
    SteadyTime last_call;
    GapHistogram gaps;
  };

  Millis ColdTime(const EntryId& entry) const;

  std::shared_ptr<const FleetConfig> config_;
  std::unordered_map<EntryId, Millis> cold_times_;
  std::unordered_map<EntryId, History> histories_;
  GapHistogram fleet_;
};

}  // namespace shallot

#endif  // SERVERS_GAP_KEEP_ALIVE_H_
