#ifndef SERVERS_DEMAND_TRACKER_H_
#define SERVERS_DEMAND_TRACKER_H_

#include <cstdint>
#include <map>
#include <unordered_map>

#include "core/clock.h"
#include "core/ids.h"

namespace shallot {

/// Computes the wanted number of replicas of each entry from its call rate. The number rises at
/// once and falls only after a lower number, with some headroom, has been sufficient for
/// `kScaleDownDelay`.
class DemandTracker {
 public:
  /// Half-life of the exponentially decayed call count.
  static constexpr Seconds kHalfLife{30};
  static constexpr Seconds kScaleDownDelay{60};

  /// Records a call for the entry at this router.
  void OnCall(const EntryId& entry, SteadyTime now);
  /// Wanted replicas of all entries with demand. `scale` is the number of routers among which
  /// callers distribute their calls; `calls_per_replica` is the calls per second that one replica
  /// serves.
  std::map<EntryId, uint64_t> Wanted(SteadyTime now, double scale, double calls_per_replica);
  /// Call rate of the entry at this router, in calls per second.
  double Rate(const EntryId& entry, SteadyTime now) const;

 private:
  struct Demand {
    /// Number of calls, each weighted by exponential decay with its age.
    double weight = 0;
    SteadyTime updated;
    /// Present number of wanted replicas.
    uint64_t level = 0;
    /// Time since which a lower number has been sufficient; max() when it is not.
    SteadyTime low_since = SteadyTime::max();
  };

  static double Decayed(const Demand& demand, SteadyTime now);

  std::unordered_map<EntryId, Demand> demands_;
};

}  // namespace shallot

#endif  // SERVERS_DEMAND_TRACKER_H_
