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

/// Histogram of idle gaps. The bucket bounds grow by a factor of the square root of 2, from 0.25 s
/// to about 48 days. The weight of a gap decays exponentially with each later one.
class GapHistogram {
 public:
  static constexpr size_t kBuckets = 48;

  void Record(Duration gap);
  /// Sum of the decayed weights of all gaps.
  double weight() const { return weight_; }
  /// Expected cost of one gap if the entry is unloaded after `keep` seconds of idle time.
  /// `cold_cost` is the cost of one cold start, `idle_weight` the cost of one idle second.
  double ExpectedCost(double keep, double cold_cost, double idle_weight) const;
  /// Returns the upper bound of a bucket in seconds.
  static double UpperBound(size_t bucket);

 private:
  std::array<float, kBuckets> counts_{};
  double weight_ = 0;
};

/// Keeps an idle entry loaded for the time t, within the policy's bounds, that minimises
/// `cold_weight * cold_time * P(gap > t) + idle_weight * share * E[min(gap, t)]` over the observed
/// idle gaps. `share` is the memory of the entry divided by that of the largest catalogue entry,
/// because an idle adapter occupies far less accelerator memory than an idle model. A call for an
/// adapter also ends an idle gap of its base model.
class GapKeepAlive final : public KeepAlivePolicy {
 public:
  /// An entry whose histogram has less weight than this uses the gaps of all entries.
  static constexpr double kMinOwnGaps = 8;

  /// Sets the configuration with the entries' policies; null means default policies.
  void SetConfig(std::shared_ptr<const FleetConfig> config);
  /// Sets the measured cold start time of the entry. Without one it is estimated from the size.
  void SetColdStartTime(const EntryId& entry, Millis cold_time) override;

  Millis KeepAlive(const EntryId& entry) const override;
  void OnCall(const EntryId& entry, SteadyTime now) override;

 private:
  /// Number of new gaps over all entries after which a choice based on them is recomputed.
  static constexpr uint64_t kRefreshGaps = 64;

  struct History {
    SteadyTime last_call;
    GapHistogram gaps;
  };
  /// Cached keep-alive time. It is requested on every tick and only recomputed when its inputs
  /// change.
  struct Choice {
    Millis keep{0};
    /// Value of `all_gaps_count_` when the choice was based on the gaps of all entries; 0 if it was
    /// based on the entry's own gaps.
    uint64_t all_gaps_count = 0;
  };

  void RecordCall(const EntryId& entry, SteadyTime now);
  Millis ColdStartTime(const EntryId& entry) const;
  double MemoryShare(const CatalogEntry& entry) const;
  Millis ComputeKeepAlive(const EntryId& entry, const GapHistogram& gaps) const;

  std::shared_ptr<const FleetConfig> config_;
  std::unordered_map<EntryId, Millis> cold_start_times_;
  std::unordered_map<EntryId, History> histories_;
  GapHistogram all_gaps_;
  /// Number of gaps recorded over all entries, plus 1.
  uint64_t all_gaps_count_ = 1;
  uint64_t largest_bytes_ = 0;
  mutable std::unordered_map<EntryId, Choice> choices_;
};

}  // namespace shallot

#endif  // SERVERS_GAP_KEEP_ALIVE_H_
