#ifndef SERVERS_GAP_KEEP_ALIVE_H_
#define SERVERS_GAP_KEEP_ALIVE_H_

#include <array>
#include <cstddef>
#include <cstdint>
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
/// `cold_weight * cold_time * P(gap > t) + idle_weight * share * E[min(gap, t)]` over the idle gaps
/// seen. `share` is the memory of the entry over that of the largest entry of the catalogue,
/// because an idle adapter holds far less of an accelerator than an idle model. A call for an
/// adapter ends a gap of its base model too.
class GapKeepAlive final : public KeepAlivePolicy {
 public:
  /// Below this many gaps an entry uses the gaps of all entries.
  static constexpr double kFewGaps = 8;

  /// Policies of the entries; null means default policies.
  void SetConfig(std::shared_ptr<const FleetConfig> config);
  /// Measured time of a cold start of the entry. Without one it is estimated from the size.
  void SetColdTime(const EntryId& entry, Millis cold_time) override;

  Millis KeepAlive(const EntryId& entry) const override;
  void OnCall(const EntryId& entry, SteadyTime now) override;

 private:
  /// New gaps of the fleet after which a choice made from them is made anew.
  static constexpr uint64_t kFleetRefresh = 64;

  struct History {
    SteadyTime last_call;
    GapHistogram gaps;
  };
  /// The time chosen last; asked for on every tick, so it is kept until its inputs change.
  struct Choice {
    Millis keep{0};
    /// Value of `fleet_gaps_` when the choice was made from the gaps of all entries; 0 otherwise.
    uint64_t fleet_gaps = 0;
  };

  void RecordCall(const EntryId& entry, SteadyTime now);
  Millis ColdTime(const EntryId& entry) const;
  double ShareOf(const CatalogEntry& entry) const;
  Millis Choose(const EntryId& entry, const GapHistogram& gaps) const;

  std::shared_ptr<const FleetConfig> config_;
  std::unordered_map<EntryId, Millis> cold_times_;
  std::unordered_map<EntryId, History> histories_;
  GapHistogram fleet_;
  /// Gaps recorded so far over all entries, from 1.
  uint64_t fleet_gaps_ = 1;
  uint64_t largest_bytes_ = 0;
  mutable std::unordered_map<EntryId, Choice> choices_;
};

}  // namespace shallot

#endif  // SERVERS_GAP_KEEP_ALIVE_H_
