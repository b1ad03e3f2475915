#ifndef SERVERS_DEMAND_TRACKER_H_
#define SERVERS_DEMAND_TRACKER_H_

#include <cstdint>
#include <map>
#include <unordered_map>

#include "core/clock.h"
#include "core/ids.h"

namespace shallot {

/// Turns arrivals of calls into wanted replicas. Replicas rise at once and fall only when the
/// lower number, with a reserve, was enough for `kFallAfter`.
class DemandTracker {
 public:
  static constexpr Seconds kHalfLife{30};
  static constexpr Seconds kFallAfter{60};

  /// A call for the entry arrived at this router.
  void OnCall(const EntryId& entry, SteadyTime now);
  /// Wanted replicas of all entries with demand. `scale` is the number of routers that callers
  /// spread their calls over; `calls_per_replica` the calls per second that one replica serves.
  std::map<EntryId, uint64_t> Wanted(SteadyTime now, double scale, double calls_per_replica);
  /// Calls per second at this router.
  double Rate(const EntryId& entry, SteadyTime now) const;

 private:
  struct Demand {
    /// Calls, each decayed by its age.
    double weight = 0;
    SteadyTime updated;
    uint64_t level = 0;
    /// When the lower number began to be enough.
    SteadyTime low_since = SteadyTime::max();
  };

  static double Decayed(const Demand& demand, SteadyTime now);

  std::unordered_map<EntryId, Demand> demands_;
};

}  // namespace shallot

#endif  // SERVERS_DEMAND_TRACKER_H_
