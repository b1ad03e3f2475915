#include "servers/demand_tracker.h"

#include <algorithm>
#include <cmath>

namespace shallot {
namespace {

/// Lower rates, of less than about one call in ten minutes, count as no demand. In calls per
/// second.
constexpr double kMinRate = 1.0 / 600;
/// The rate is multiplied by this factor before replicas are removed, to avoid flapping.
constexpr double kScaleDownHeadroom = 1.25;
constexpr double kLn2 = 0.6931471805599453;

double SecondsBetween(SteadyTime from, SteadyTime to) {
  return std::chrono::duration<double>(to - from).count();
}

uint64_t Needed(double rate, double calls_per_replica) {
  if (rate < kMinRate) return 0;
  return static_cast<uint64_t>(std::ceil(rate / calls_per_replica));
}

}  // namespace

double DemandTracker::Decayed(const Demand& demand, SteadyTime now) {
  const double half_lives =
      SecondsBetween(demand.updated, now) / static_cast<double>(kHalfLife.count());
  return demand.weight * std::exp2(-half_lives);
}

void DemandTracker::OnCall(const EntryId& entry, SteadyTime now) {
  Demand& demand = demands_[entry];
  demand.weight = Decayed(demand, now) + 1;
  demand.updated = now;
}

double DemandTracker::Rate(const EntryId& entry, SteadyTime now) const {
  const auto it = demands_.find(entry);
  if (it == demands_.end()) return 0;
  return Decayed(it->second, now) * kLn2 / static_cast<double>(kHalfLife.count());
}

std::map<EntryId, uint64_t> DemandTracker::Wanted(SteadyTime now, double scale,
                                                  double calls_per_replica) {
  std::map<EntryId, uint64_t> wanted;
  for (auto& [entry, demand] : demands_) {
    const double rate = Rate(entry, now) * scale;
    const uint64_t lower = Needed(rate * kScaleDownHeadroom, calls_per_replica);
    demand.level = std::max(demand.level, Needed(rate, calls_per_replica));
    if (lower >= demand.level) {
      demand.low_since = SteadyTime::max();
    } else if (demand.low_since == SteadyTime::max()) {
      demand.low_since = now;
    } else if (now - demand.low_since >= kScaleDownDelay) {
      demand.level = lower;
      demand.low_since = SteadyTime::max();
    }
    if (demand.level > 0) wanted[entry] = demand.level;
  }
  std::erase_if(demands_, [&](const auto& item) {
    return item.second.level == 0 && Decayed(item.second, now) < 0.01;
  });
  return wanted;
}

}  // namespace shallot
